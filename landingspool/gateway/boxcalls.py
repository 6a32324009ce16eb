"""Send CBOR calls to other boxes and answer theirs.

A box that gives no usable answer is not asked again for some time: the
caller can read from the platform's store instead.
"""

import cbor2
import msgspec

from landingspool.decisions import decoding
from landingspool import http

CONTENT_TYPE = 'application/cbor'
# Bound of an answer: the entries of 10,000 targets of 500 bytes with the
# table, or the changes of all stores.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class NoAnswer(Exception):
    """The box gave no usable answer."""


async def ask(hub, peer, kind, call, body=None, *, timeout):
    """Ask a box that this one reads from, and avoid it if it fails.

    Parameters and result are those of `fetch`, with `hub` and a
    registry.Peer instead of the client and the address.
    """
    sent = hub.clock()
    try:
        return await fetch(
            hub.client, peer.address, kind, call, body, timeout=timeout
        )
    except NoAnswer as error:
        # If this process stalled during the call, the failure says nothing
        # about the peer.
        if hub.timer.ran_since(sent):
            hub.peering.avoid(peer.name, str(error))
        raise


async def fetch(
    client,
    address,
    kind,
    call,
    body=None,
    *,
    timeout,
    max_bytes=MAX_ANSWER_BYTES,
):
    """Ask another box and return its answer as `kind`.

    Parameters
    ----------
    client : httpclient.Client
    address : http.Address
    kind : type
        The type to which msgspec converts the answer.
    call : tuple of str
        Method and path.
    timeout : float
        Seconds until the answer has to be complete.
    max_bytes : int, optional
        Size limit of the answer.

    Raises
    ------
    NoAnswer
    """
    try:
        reply = await client.fetch(
            address, *call, body, timeout=timeout, max_bytes=max_bytes
        )
        return read(kind, reply.body)
    except (http.Unreachable, decoding.Malformed) as error:
        raise NoAnswer(str(error)) from error


def read(kind, body):
    """Decode what another box sent as `kind`.

    Raises
    ------
    decoding.Malformed
    """
    return decoding.decode(
        'box', lambda data: msgspec.convert(cbor2.loads(data), kind), body
    )


async def answer(exchange, value):
    """Answer another box with a value of built-in types."""
    await exchange.send_body(200, cbor2.dumps(value), CONTENT_TYPE)
