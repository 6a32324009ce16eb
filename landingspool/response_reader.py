"""Reads the response to a request from a connection, within bounds.

What a peer sends before the final head of its response, and around the data
of the body, is bounded in bytes.  A reader lets other tasks run at regular
intervals, also while bytes wait to be read.
"""

import asyncio

import h11

from landingspool import bodies
from landingspool import framing

# Bytes of all heads of a response, interim ones (1xx) included.
MAX_HEAD_BYTES = 32 * 1024
MAX_INTERIM_HEADS = 16
# The highest status that HTTP knows (RFC 9110, 15); the parser knows more.
MAX_STATUS = 599
# Bytes given to the parser at once.
PIECE_BYTES = 64 * 1024
# Steps (events parsed, pieces taken) after which other tasks may run.
STEPS_PER_TURN = 16
# Least bytes that a part of a body counts for, since each takes time to parse.
MIN_PART_BYTES = 64


class ResponseError(Exception):
    """No response can be read from the connection any more."""


class ResponseTooLong(ResponseError):
    """The peer sent more than the bounds allow."""


class ResponseReader:
    """Writes requests to a connection and reads their responses.

    A read that is cancelled can be repeated: nothing is lost by it.

    Parameters
    ----------
    connection : connection.Connection
    """

    def __init__(self, connection):
        self._connection = connection
        self._codec = make_codec()
        self._request = ()
        self._unread = bytearray()
        self._steps = 0
        self._begin_response()

    def send(self, method, target, headers, body, is_last=False):
        """Send a complete request.

        Parameters
        ----------
        body : bytes or bodies.Body
            A long one is sent no faster than the peer takes it.
        is_last : bool, optional
            Whether the body isn't needed again.
        """
        self._request = (
            h11.Request(method=method, target=target, headers=headers),
            # The encoder needs to know no more of the body than its length.
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        head = self._encode_request()
        if len(body) <= bodies.INLINE_BYTES:
            self._connection.write(head + bodies.join(body))
            return
        self._connection.write(head)
        self._connection.write_pieces(bodies.list_pieces(body, is_last))

    async def next_event(self):
        """Return the next event of the response, past interim heads.

        Returns
        -------
        h11.Response, h11.Data, h11.EndOfMessage or h11.ConnectionClosed

        Raises
        ------
        ResponseError
            ResponseTooLong if the response exceeds a bound.
        OSError
            If the connection was reset.
        h11.ProtocolError
        """
        while True:
            await self._give_turn()
            event = self._codec.next_event()
            if event is h11.NEED_DATA:
                await self._feed()
            elif event is h11.PAUSED:
                raise ResponseError('bytes after the end of the response')
            elif isinstance(event, h11.InformationalResponse):
                self._count_interim()
            else:
                self._count(event)
                return event

    async def read_head(self):
        """Read the final head.

        Returns
        -------
        h11.Response

        Raises
        ------
        ResponseError, OSError, h11.ProtocolError
            As in `next_event`.
        """
        event = await self.next_event()
        if not isinstance(event, h11.Response):
            raise ResponseError('closed before an answer')
        return event

    async def read_data(self):
        """Return the next bytes of the body; b'' at its complete end.

        Raises
        ------
        ResponseError, OSError, h11.ProtocolError
            As in `next_event`.
        """
        event = await self.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise ResponseError('the answer was cut off')

    def expect_another(self):
        """Prepare for another response to the same request.

        The one before must have been read to its end.
        """
        trailing, _ = self._codec.trailing_data
        self._unread[:0] = trailing
        self._codec = make_codec()
        # How a response is framed depends on its request.
        self._encode_request()
        self._begin_response()

    def start_next_cycle(self):
        """Prepare for another request.

        Raises
        ------
        h11.LocalProtocolError
            If the connection can't be used again.
        """
        self._codec.start_next_cycle()
        self._begin_response()

    @property
    def is_complete(self):
        """Whether a whole response was read, after which others may follow."""
        codec = self._codec
        return codec.our_state is h11.DONE and codec.their_state is h11.DONE

    @property
    def has_unread(self):
        """Whether bytes were received that belong to no event so far."""
        return bool(self._unread or self._codec.trailing_data[0])

    def _begin_response(self):
        self._has_head = False
        self._interim_heads = 0
        self._fed_bytes = 0
        self._data_bytes = 0

    def _encode_request(self):
        """Return the head of the request; the body follows as it is."""
        parts = []
        for event in self._request:
            encoded = self._codec.send_with_data_passthrough(event)
            if not isinstance(event, h11.Data):
                parts += encoded
        return b''.join(parts)

    async def _give_turn(self):
        self._steps += 1
        if self._steps >= STEPS_PER_TURN:
            self._steps = 0
            await asyncio.sleep(0)

    async def _feed(self):
        """Give the parser the next piece."""
        size = min(self._compute_budget(), PIECE_BYTES)
        if size <= 0:
            raise ResponseTooLong(self._describe_excess())
        if not self._unread:
            self._unread += await self._connection.read()
        piece = bytes(self._unread[:size])
        del self._unread[:size]
        self._fed_bytes += len(piece)
        # An empty piece is the end of the file.
        self._codec.receive_data(piece)

    def _compute_budget(self):
        """Return how many bytes more the response may take by now."""
        allowed = MAX_HEAD_BYTES
        if self._has_head:
            allowed += framing.compute_limit(self._data_bytes)
        return allowed - self._fed_bytes

    def _describe_excess(self):
        part = 'framing' if self._has_head else 'head'
        return f'too long a {part} of an answer'

    def _count_interim(self):
        self._interim_heads += 1
        if self._interim_heads > MAX_INTERIM_HEADS:
            raise ResponseTooLong('too many interim answers')

    def _count(self, event):
        if isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS:
                raise ResponseError(f'status {event.status_code}')
            self._has_head = True
        elif isinstance(event, h11.Data):
            self._data_bytes += len(event.data)


async def read_body(reader, max_bytes):
    """Read a body to its complete end.

    Parameters
    ----------
    reader
        Anything with ``read_data()``, as ResponseReader has it.
    max_bytes : int
        Size limit of the body; very small parts count for more.

    Returns
    -------
    bytes

    Raises
    ------
    ResponseTooLong
        If the body is longer than `max_bytes`.
    """
    body = bytearray()
    counter = BodyCounter(max_bytes)
    while data := await reader.read_data():
        counter.count(data)
        body += data
    return bytes(body)


async def skip_body(reader, counter):
    """Read a body to its complete end and drop it.

    Parameters
    ----------
    reader
        As of `read_body`.
    counter : BodyCounter

    Raises
    ------
    ResponseTooLong
        If the body is longer than the counter allows.
    """
    while data := await reader.read_data():
        counter.count(data)


class BodyCounter:
    """Counts what was read of one or more bodies.

    Parameters
    ----------
    max_bytes : int
        Size limit of all of them.
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._bytes = 0

    def count(self, data):
        """Count the next part of a body.

        Raises
        ------
        ResponseTooLong
        """
        self._bytes += max(len(data), MIN_PART_BYTES)
        if self._bytes > self._max_bytes:
            raise ResponseTooLong(f'a body of over {self._max_bytes} bytes')


def make_codec():
    """Return the codec for one connection."""
    return h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
