"""Sends small messages between boxes as UDP datagrams of CBOR.

Meant for messages that are repeated soon, so that a lost datagram does no
harm.  There is no connection whose state could be wrong after a partition.
"""

import asyncio
import io
import socket

import cbor2
import msgspec

from landingspool.decisions import decoding
from landingspool.decisions.gateway import ballots
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import stream_records

MESSAGE_TYPES = {
    'digest': peer_digests.Digest,
    'ask': peer_digests.ProofQuery,
    'tell': peer_digests.ProofReply,
    'round?': ballots.BallotQuery,
    'round': ballots.BallotReply,
    'streams': stream_records.StreamRecords,
}
MESSAGE_NAMES = {kind: name for name, kind in MESSAGE_TYPES.items()}
# Seconds between two readings of the socket: short beside the period of the
# digests, whose age grows by half of it on average.
READ_PERIOD_S = 0.05
# The same where reports of single requests decide the next choices.
SHORT_READ_PERIOD_S = 0.025
# Datagrams that one reading delivers, so that a flood does not keep the
# process from its requests; the rest is read at the next.
MAX_READ = 256
# A larger datagram is fragmented on the way and therefore easily lost.
MAX_DATAGRAM_BYTES = 8192


class Datagrams:
    """UDP socket of one box, read at the ticks of a timer.

    A box receives a hundred datagrams a second from its peers.  To wake up
    for each of them takes longer than to read them, so those that have
    arrived are read together, READ_PERIOD_S after the last ones.

    Parameters
    ----------
    timer : timer.Timer
    on_message : callable
        ``on_message(message, address)``.
    on_bad : callable
        ``on_bad(reason)`` for a datagram that can't be decoded.
    """

    def __init__(self, timer, on_message, on_bad):
        self._timer = timer
        self._on_message = on_message
        self._on_bad = on_bad
        self._socket = None
        self._reading = None
        self._period_s = None

    async def start(self, address):
        """Open the socket."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(tuple(address))
        self.set_read_period(READ_PERIOD_S)
        self._timer.subscribe_stall(self._read_soon)

    def set_read_period(self, seconds):
        """Read the socket every `seconds` from now on."""
        if seconds == self._period_s:
            return
        self._period_s = seconds
        if self._reading is not None:
            self._reading.cancel()
        self._reading = self._timer.subscribe(seconds, self._read_arrived)

    def _read_soon(self, stall):
        """Read at once what arrived during a stall."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self._read_arrived, stall)

    def _read_arrived(self, event):
        self.read_arrived()

    def read_arrived(self):
        """Deliver the datagrams that have arrived."""
        for _ in range(MAX_READ):
            if self._socket is None:
                return
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # The platform reports that an earlier send met a closed port;
                # an unreachable peer is noticed by its missing messages.
                self._on_bad(f'receive: {error!r}')
                continue
            self._deliver(data, address)

    def _deliver(self, data, address):
        message = decode(data)
        if message is None:
            self._on_bad(f'{len(data)} bytes from {address[0]}')
            return
        self._on_message(message, address)

    def send(self, message, address):
        """Send a message without any guarantee of delivery.

        A message over `MAX_DATAGRAM_BYTES` is dropped.
        """
        self.send_to_all(message, (address,))

    def send_to_all(self, message, addresses):
        """Send a message to several boxes, encoded once."""
        data = encode(message)
        if self._socket is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        for address in addresses:
            try:
                self._socket.sendto(data, tuple(address))
            except OSError as error:
                # Such as a full buffer; the next message replaces this one.
                self._on_bad(f'send: {error!r}')

    def close(self):
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def encode(message):
    """Encode a message, without the fields at its end that have defaults.

    So boxes of an earlier release understand it while nothing is in use that
    they don't know.

    >>> decode(encode(peer_digests.ProofQuery('a', 1)))
    ProofQuery(box='a', number=1)
    """
    fields, defaults = list(message), message._field_defaults
    for name in reversed(message._fields):
        if name not in defaults or fields[-1] != defaults[name]:
            break
        fields.pop()
    return cbor2.dumps([MESSAGE_NAMES[type(message)], *fields])


def decode(data):
    """Decode a message; None if it is not a valid message of a box.

    Fields that boxes of a later release have added at its end are dropped.

    >>> decode(b'nonsense') is None
    True
    >>> foul = peer_digests.Digest('b', 'd', 1, {7: (-1, 0, 0, 0)})
    >>> decode(encode(foul)) is None
    True
    >>> decode(cbor2.dumps(['ask', 'a', 1, 'a field of a later version']))
    ProofQuery(box='a', number=1)
    """
    try:
        message = decoding.decode('datagram', read_message, data)
    except decoding.Malformed:
        return None
    is_digest = isinstance(message, peer_digests.Digest)
    if is_digest and not peer_digests.is_plausible(message):
        return None
    return message


def read_message(data):
    """Decode a message.

    Raises
    ------
    ValueError, TypeError, LookupError, cbor2.CBORError
    """
    name, *fields = cbor2.load(io.BytesIO(data))
    kind = MESSAGE_TYPES[name]
    return msgspec.convert(fields[: len(kind._fields)], kind)
