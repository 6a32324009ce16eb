"""Mutual authentication of two boxes when a link is opened.

The shared secret is never sent: each side proves that it knows it with an
HMAC over the nonce of the other side.  Differing protocol versions close the
link with a reason, so that a fleet of mixed versions fails visibly.
"""

import hashlib
import hmac
import typing

import msgspec

VERSION = 1


class Hello(typing.NamedTuple):
    """Identity that one side presents, with its proof of the secret."""

    version: int
    box: str
    domain: str
    incarnation: str
    nonce: bytes
    proof: bytes


class Refused(Exception):
    """The peer failed authentication or speaks another protocol version."""


def compute_proof(secret, nonce, box):
    """Return the HMAC that proves the secret for the peer's nonce."""
    data = nonce + box.encode()
    return hmac.digest(secret.encode(), data, hashlib.sha256)


def read_hello(value, secret, nonce):
    """Decode and verify the Hello of the peer.

    Parameters
    ----------
    value : object
        Decoded CBOR, not yet validated.
    secret : str
    nonce : bytes
        Nonce that was sent to the peer.

    Returns
    -------
    Hello

    Raises
    ------
    Refused
        With the reason as its text.
    """
    try:
        hello = msgspec.convert(value, Hello)
    except msgspec.ValidationError as error:
        raise Refused(f'bad hello: {error}') from error
    if hello.version != VERSION:
        raise Refused(f'version {hello.version}, here {VERSION}')
    expected_proof = compute_proof(secret, nonce, hello.box)
    if not hmac.compare_digest(expected_proof, hello.proof):
        raise Refused('wrong secret')
    return hello
