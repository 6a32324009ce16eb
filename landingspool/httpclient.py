"""HTTP/1.1 client for calls to targets, stores, the platform and boxes.

It pools idle connections, and reports of a failed call whether any byte of
the request may have been sent.
"""

import asyncio
import collections
import json

import h11

from landingspool import http
from landingspool import timeouts

IDLE_CONNECTIONS = 16
CONNECT_TIMEOUT_S = 1.0


class Client:
    """Sends HTTP requests and pools idle connections."""

    def __init__(self):
        self._idle = collections.defaultdict(list)

    async def fetch(
        self, address, method, path, value=None, headers=(), timeout=5.0
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

        Returns
        -------
        http.Response

        Raises
        ------
        http.Unreachable
            If no complete answer arrived within `timeout` seconds.
        """
        call = self.open(address)
        task = asyncio.ensure_future(
            call.fetch_response(method, path, value, headers)
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
        """Return an idle connection to `address`, or None."""
        while self._idle[address]:
            reader, writer, conn = self._idle[address].pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer, conn
            writer.close()
        return None

    def release(self, address, connection):
        """Return a connection to the pool, or close it if the pool is full."""
        if len(self._idle[address]) < IDLE_CONNECTIONS:
            self._idle[address].append(connection)
        else:
            connection[1].close()

    def close(self):
        """Close all idle connections."""
        for connection in self._idle.values():
            for _, writer, _ in connection:
                writer.close()
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
        try:
            async with timeouts.Timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._address)
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise http.Unreachable(
                f'connect: {error}', False, refused
            ) from error
        conn = h11.Connection(h11.CLIENT, http.MAX_HEADER_BYTES)
        self._stream = reader, writer, conn

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
        _, writer, conn = self._stream
        head = h11.Request(
            method=method, target=path, headers=[*framing, *headers]
        )
        self.sent = True
        try:
            data = conn.send(head) + conn.send(h11.Data(data=body))
            writer.write(data + conn.send(h11.EndOfMessage()))
            await writer.drain()
            event = await self._next()
        except (OSError, h11.ProtocolError) as error:
            raise http.Unreachable(str(error), True) from error
        if not isinstance(event, h11.Response):
            raise http.Unreachable('the connection was closed', True)
        self.status = event.status_code
        self.headers = combine_headers(event.headers)

    async def fetch_response(self, method, path, value, headers):
        """Send the request and return the complete Response."""
        await self.send(method, path, value, headers)
        body = bytearray()
        async for data in self.read():
            body += data
        return http.Response(self.status, self.headers, bytes(body))

    async def read(self):
        """Yield the body in parts; raises Unreachable if it is incomplete."""
        while True:
            try:
                event = await self._next()
            except (OSError, h11.ProtocolError) as error:
                raise http.Unreachable(str(error), True) from error
            if isinstance(event, h11.EndOfMessage):
                self._release()
                return
            if not isinstance(event, h11.Data):
                raise http.Unreachable('the answer was cut off', True)
            yield bytes(event.data)

    async def read_events(self):
        """Yield the data of server-sent events as text."""
        buffer = b''
        async for data in self.read():
            buffer += data
            while b'\n\n' in buffer:
                event, buffer = buffer.split(b'\n\n', 1)
                yield event.removeprefix(b'data: ').decode()

    def close(self):
        """Close the connection, whatever its state."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None

    def _release(self):
        reader, writer, conn = self._stream
        self._stream = None
        done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        if not done:
            writer.close()
            return
        conn.start_next_cycle()
        self._client.release(self._address, (reader, writer, conn))

    async def _next(self):
        reader, _, conn = self._stream
        while True:
            event = conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            conn.receive_data(await reader.read(http.READ_BYTES))


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
