"""How two boxes make sure of each other before they talk.

The shared secret never goes over the wire: each side proves that it has it
by a digest over the other's nonce.  A version that differs ends the link
with a reason, so that a mixed fleet fails loudly.
"""

import hashlib
import hmac
import typing

import msgspec

VERSION = 1


class Hello(typing.NamedTuple):
    """What one side says of itself."""

    version: int
    box: str
    domain: str
    incarnation: str
    nonce: bytes
    proof: bytes


class Refused(Exception):
    """The other side is not one of ours, or not of this version."""


def prove(secret, nonce, box):
    """Give the proof of the secret for the other side's nonce."""
    data = nonce + box.encode()
    return hmac.digest(secret.encode(), data, hashlib.sha256)


def read_hello(value, secret, nonce):
    """Check the other side's Hello.

    Parameters
    ----------
    value : object
        As decoded from the wire.
    secret : str
    nonce : bytes
        The nonce that was sent to the other side.

    Returns
    -------
    Hello

    Raises
    ------
    Refused
        With the reason.
    """
    try:
        hello = msgspec.convert(value, Hello)
    except msgspec.ValidationError as error:
        raise Refused(f'bad hello: {error}') from error
    if hello.version != VERSION:
        raise Refused(f'version {hello.version}, here {VERSION}')
    wanted = prove(secret, nonce, hello.box)
    if not hmac.compare_digest(wanted, hello.proof):
        raise Refused('wrong secret')
    return hello
