"""HTTP/1.1 client for calls to targets, stores, the platform and boxes.

It pools idle connections, and reports of a failed call whether any byte of
the request may have been sent.

A peer may send an answer once more, and the answers to calls do not say to
which call they belong.  So a connection on which bytes wait to be read is not
used again, and a call that must not take the answer of another one asks for a
connection of its own (`fresh`).

A peer announces by Keep-Alive for how long it keeps a connection at rest; a
connection is not used again once that time is nearly over.

The owner of a call bounds its answer in bytes.  A connection whose answer is
too long is reset at once.
"""

import asyncio
import collections
import json
import math
import typing

import h11

from landingspool import boot_clock
from landingspool import connection as connection_module
from landingspool import http
from landingspool import keep_alive
from landingspool import response_reader
from landingspool import timeouts

IDLE_CONNECTIONS = 16
CONNECT_TIMEOUT_S = 1.0
# Bound of an answer whose call names none.
MAX_ANSWER_BYTES = 1024 * 1024
# Bound of one server-sent event, and the events after which other tasks run.
MAX_EVENT_BYTES = 1024 * 1024
EVENTS_PER_TURN = 16
EVENT_END = b'\n\n'
READ_ERRORS = (OSError, h11.ProtocolError, response_reader.ResponseError)


class Stream(typing.NamedTuple):
    """A connection, and the reader of the answers on it."""

    connection: connection_module.Connection
    reader: response_reader.ResponseReader


class IdleStream(typing.NamedTuple):
    """A Stream that may be used until `until`, seconds of the clock."""

    stream: Stream
    until: float


class Client:
    """Sends HTTP requests and pools idle connections.

    Parameters
    ----------
    clock : callable, optional
        Returns the boot-time clock, seconds.
    """

    def __init__(self, clock=boot_clock.read):
        self._clock = clock
        self._idle = collections.defaultdict(list)

    async def fetch(
        self,
        address,
        method,
        path,
        value=None,
        headers=(),
        timeout=5.0,
        fresh=False,
        max_bytes=MAX_ANSWER_BYTES,
    ):
        """Send one request and read the complete answer.

        Parameters
        ----------
        address : http.Address
        method, path : str
        value : object, optional
            The body: bytes are sent as they are, the rest as JSON.
        headers : iterable of tuple, optional
        timeout : float, optional
            Seconds until the answer has to be complete.
        fresh : bool, optional
            Whether to use a new connection.
        max_bytes : int, optional
            Size limit of the body of the answer.

        Returns
        -------
        http.Response

        Raises
        ------
        http.Unreachable
            If no complete answer arrived within `timeout` seconds, or the
            answer is too long.
        """
        call = self.open(address)
        task = asyncio.ensure_future(
            call.fetch_response(method, path, value, headers, fresh, max_bytes)
        )
        try:
            await timeouts.wait_with_timeout(task, timeout)
            if not task.done():
                raise http.Unreachable(f'{path}: no answer in time', call.sent)
            return task.result()
        except BaseException:
            call.close()
            raise
        finally:
            task.cancel()

    def open(self, address):
        """Return a Call to `address` whose answer is read as a stream."""
        return Call(self, address)

    def acquire(self, address):
        """Return an idle Stream to `address`, or None."""
        now = self._clock()
        while self._idle[address]:
            stream, until = self._idle[address].pop()
            if now < until and stream.connection.is_at_rest:
                return stream
            stream.connection.close()
        return None

    def release(self, address, stream, kept_s=None):
        """Return a Stream to the pool, or close it if it can't be used again.

        Bytes that are unread now belong to no call.

        Parameters
        ----------
        kept_s : float, optional
            Seconds for which the peer keeps the connection, if it said so.
        """
        left_s = math.inf if kept_s is None else kept_s - keep_alive.MARGIN_S
        is_clean = stream.connection.is_idle and not stream.reader.has_unread
        has_room = len(self._idle[address]) < IDLE_CONNECTIONS
        if is_clean and has_room and left_s > 0:
            row = IdleStream(stream, self._clock() + left_s)
            self._idle[address].append(row)
        else:
            stream.connection.close()

    def close(self):
        """Close all idle connections."""
        for rows in self._idle.values():
            for row in rows:
                row.stream.connection.close()
        self._idle.clear()


def combine_headers(rows):
    """Return the header fields by name, with repeated ones joined by commas.

    A value may contain any byte over 0x7f (RFC 9110, 5.5).  Decoding it as
    UTF-8 would raise an error, which would end the task that reads from the
    peer.

    >>> combine_headers([(b'a', b'1'), (b'b', b'x'), (b'a', b'2')])
    {'a': '1, 2', 'b': 'x'}
    """
    combined = {}
    for name, value in rows:
        name, value = name.decode('latin-1'), value.decode('latin-1')
        combined[name] = (
            f'{combined[name]}, {value}' if name in combined else value
        )
    return combined


class Call:
    """One request to a peer, whose answer is read as a stream.

    `sent` is set before the first byte is written to the socket: a later
    failure does not prove that the peer received nothing.
    """

    def __init__(self, client, address):
        self._client = client
        self._address = http.Address(*address)
        self._stream = None
        self.sent = False
        self.status = 0
        self.headers = {}

    async def connect(self, fresh=False):
        """Take an idle connection or open one, without sending anything.

        With `fresh` a new one is always opened.
        """
        if not fresh:
            self._stream = self._client.acquire(self._address)
        if self._stream is not None:
            return
        loop = asyncio.get_running_loop()
        try:
            async with timeouts.Timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    connection_module.Connection, *self._address
                )
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise http.Unreachable(
                f'connect: {error}', False, refused
            ) from error
        reader = response_reader.ResponseReader(connection)
        self._stream = Stream(connection, reader)

    async def send(self, method, path, value=None, headers=(), host=''):
        """Send the request and read the head of the answer.

        `host` is the value of the Host header; the address by default.
        """
        if self._stream is None:
            await self.connect()
        body = encode_body(value)
        framing = [
            ('host', host or f'{self._address.host}:{self._address.port}'),
            ('content-length', str(len(body))),
        ]
        connection, reader = self._stream
        self.sent = True
        try:
            reader.send(method, path, [*framing, *headers], body)
            await connection.drain()
            head = await reader.read_head()
        except READ_ERRORS as error:
            raise self._fail(error) from error
        self.status = head.status_code
        self.headers = combine_headers(head.headers)

    async def fetch_response(
        self,
        method,
        path,
        value,
        headers,
        fresh=False,
        max_bytes=MAX_ANSWER_BYTES,
    ):
        """Send the request and return the complete Response."""
        if fresh:
            await self.connect(fresh=True)
        await self.send(method, path, value, headers)
        body = await self.read_body(max_bytes)
        return http.Response(self.status, self.headers, body)

    async def read_body(self, max_bytes):
        """Return the complete body.

        Parameters
        ----------
        max_bytes : int
            Size limit of the body.

        Raises
        ------
        http.Unreachable
            If it is incomplete or too long.
        """
        reader = self._stream.reader
        try:
            body = await response_reader.read_body(reader, max_bytes)
        except READ_ERRORS as error:
            raise self._fail(error) from error
        self._release()
        return body

    async def read(self):
        """Yield the body in parts; raises Unreachable if it is incomplete.

        Its length is not bounded.
        """
        reader = self._stream.reader
        while True:
            try:
                data = await reader.read_data()
            except READ_ERRORS as error:
                raise self._fail(error) from error
            if not data:
                self._release()
                return
            yield data

    async def read_events(self):
        """Yield the data of server-sent events as text.

        Raises
        ------
        http.Unreachable
            If the stream is incomplete, or an event is too long or no text.
        """
        buffer = bytearray()
        async for data in self.read():
            searched = max(len(buffer) - len(EVENT_END) + 1, 0)
            buffer += data
            events = 0
            while (end := buffer.find(EVENT_END, searched)) >= 0:
                event = bytes(buffer[:end])
                del buffer[: end + len(EVENT_END)]
                searched = 0
                yield self._decode(event.removeprefix(b'data: '))
                events += 1
                if events % EVENTS_PER_TURN == 0:
                    await asyncio.sleep(0)
            if len(buffer) > MAX_EVENT_BYTES:
                raise self._fail(f'an event of over {MAX_EVENT_BYTES} bytes')

    def close(self):
        """Close the connection, whatever its state."""
        if self._stream is not None:
            self._stream.connection.close()
            self._stream = None

    def _decode(self, event):
        try:
            return event.decode()
        except UnicodeDecodeError as error:
            raise self._fail(error) from error

    def _fail(self, reason):
        """Reset the connection; return the error for the caller."""
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.connection.reset()
        return http.Unreachable(str(reason), True)

    def _release(self):
        stream, self._stream = self._stream, None
        if stream is None:
            return
        if stream.reader.is_complete:
            stream.reader.start_next_cycle()
            kept_s = keep_alive.read_seconds(
                self.headers.get(keep_alive.HEADER, '')
            )
            self._client.release(self._address, stream, kept_s)
        else:
            stream.connection.close()


def encode_body(value):
    """Encode a request body: bytes are not changed, the rest is JSON.

    >>> encode_body({'a': 1})
    b'{"a": 1}'
    >>> encode_body(None)
    b''
    """
    if value is None:
        return b''
    if isinstance(value, bytes):
        return value
    return json.dumps(value).encode()
