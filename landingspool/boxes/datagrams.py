"""Small messages between boxes, as datagrams of CBOR.

For what is soon said again: a datagram that is lost is not missed, and
there is no connection whose state could be wrong after a partition.
"""

import asyncio
import io

import cbor2
import msgspec

from landingspool.decisions.gateway import peer_digests

KINDS = {
    'digest': peer_digests.Digest,
    'ask': peer_digests.Ask,
    'tell': peer_digests.Tell,
}
NAMES = {kind: name for name, kind in KINDS.items()}
# A datagram that needs more than this is split on the way and easily lost.
MOST_BYTES = 8192


class Datagrams(asyncio.DatagramProtocol):
    """The socket of one box.

    Parameters
    ----------
    on_message : callable
        ``on_message(message, address)``.
    on_bad : callable
        ``on_bad(reason)`` for a datagram that can't be read.
    """

    def __init__(self, on_message, on_bad):
        self._on_message = on_message
        self._on_bad = on_bad
        self._transport = None

    async def start(self, address):
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=tuple(address)
        )

    def connection_made(self, transport):
        """Keep the transport (asyncio)."""
        self._transport = transport

    def datagram_received(self, data, address):
        """Decode one datagram (asyncio)."""
        message = decode(data)
        if message is None:
            self._on_bad(f'{len(data)} bytes from {address[0]}')
            return
        self._on_message(message, address)

    def error_received(self, error):
        """Ignore that a peer is away (asyncio): its silence tells enough."""

    def send(self, message, address):
        """Send a message; it may be lost."""
        data = encode(message)
        if self._transport is None or len(data) > MOST_BYTES:
            return
        self._transport.sendto(data, tuple(address))

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


def encode(message):
    """Encode a message.

    >>> decode(encode(peer_digests.Ask('a', 1)))
    Ask(box='a', number=1)
    """
    return cbor2.dumps([NAMES[type(message)], *message])


def decode(data):
    """Decode a message; None where it is none of ours.

    >>> decode(b'nonsense') is None
    True
    """
    try:
        name, *fields = cbor2.load(io.BytesIO(data))
        return msgspec.convert(fields, KINDS[name])
    except (
        cbor2.CBORError,
        msgspec.ValidationError,
        ValueError,
        KeyError,
        TypeError,
    ):
        return None
