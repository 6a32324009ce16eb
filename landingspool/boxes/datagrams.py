"""Sends small messages between boxes as UDP datagrams of CBOR.

Meant for messages that are repeated soon, so that a lost datagram does no
harm.  There is no connection whose state could be wrong after a partition.
"""

import asyncio
import io

import cbor2
import msgspec

from landingspool.decisions.gateway import peer_digests

MESSAGE_TYPES = {
    'digest': peer_digests.Digest,
    'ask': peer_digests.ProofQuery,
    'tell': peer_digests.ProofReply,
}
MESSAGE_NAMES = {kind: name for name, kind in MESSAGE_TYPES.items()}
# A larger datagram is fragmented on the way and therefore easily lost.
MAX_DATAGRAM_BYTES = 8192


class Datagrams(asyncio.DatagramProtocol):
    """UDP socket of one box.

    Parameters
    ----------
    on_message : callable
        ``on_message(message, address)``.
    on_bad : callable
        ``on_bad(reason)`` for a datagram that can't be decoded.
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
        """Store the transport (asyncio callback)."""
        self._transport = transport

    def datagram_received(self, data, address):
        """Decode and deliver one datagram (asyncio callback)."""
        message = decode(data)
        if message is None:
            self._on_bad(f'{len(data)} bytes from {address[0]}')
            return
        self._on_message(message, address)

    def error_received(self, error):
        """Ignore send errors (asyncio callback).

        An unreachable peer is detected by its missing messages.
        """

    def send(self, message, address):
        """Send a message without any guarantee of delivery.

        A message over `MAX_DATAGRAM_BYTES` is dropped.
        """
        data = encode(message)
        if self._transport is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        self._transport.sendto(data, tuple(address))

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


def encode(message):
    """Encode a message.

    >>> decode(encode(peer_digests.ProofQuery('a', 1)))
    ProofQuery(box='a', number=1)
    """
    return cbor2.dumps([MESSAGE_NAMES[type(message)], *message])


def decode(data):
    """Decode a message; None if it is not a valid message of a box.

    >>> decode(b'nonsense') is None
    True
    """
    try:
        name, *fields = cbor2.load(io.BytesIO(data))
        return msgspec.convert(fields, MESSAGE_TYPES[name])
    except (
        cbor2.CBORError,
        msgspec.ValidationError,
        ValueError,
        KeyError,
        TypeError,
    ):
        return None
