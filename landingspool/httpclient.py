"""The asking side of HTTP/1.1: calls of targets, stores, platform and boxes.

It keeps idle connections, and tells of a call that failed whether a byte of
it went out.
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
    """Sends HTTP requests and keeps idle connections for the next one."""

    def __init__(self):
        self._idle = collections.defaultdict(list)

    async def fetch(
        self, address, method, path, value=None, headers=(), timeout=5.0
    ):
        """Send one request and read the whole answer.

        Returns
        -------
        http.Response

        Raises
        ------
        http.Unreachable
            When no whole answer came within `timeout` seconds.
        """
        call = self.open(address)
        work = asyncio.ensure_future(
            call.fetch_whole(method, path, value, headers)
        )
        try:
            await timeouts.wait_running(work, timeout)
            if not work.done():
                raise http.Unreachable(f'{path}: no answer in time', call.sent)
            return work.result()
        except BaseException:
            call.close()
            raise
        finally:
            work.cancel()

    def open(self, address):
        """Give a Call to `address` whose answer is read as it comes."""
        return Call(self, address)

    def take(self, address):
        """Take an idle connection to `address`, or None."""
        while self._idle[address]:
            reader, writer, conn = self._idle[address].pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer, conn
            writer.close()
        return None

    def keep(self, address, kept):
        """Keep a finished connection for the next request."""
        if len(self._idle[address]) < IDLE_CONNECTIONS:
            self._idle[address].append(kept)
        else:
            kept[1].close()

    def close(self):
        """Close all idle connections."""
        for kept in self._idle.values():
            for _, writer, _ in kept:
                writer.close()
        self._idle.clear()


def fold_headers(rows):
    """Give the fields of a head by name, those of several lines as a list.

    Any byte over 0x7f may stand in a value (RFC 9110, 5.5): read as UTF-8 it
    ended whatever was following the peer.

    >>> fold_headers([(b'a', b'1'), (b'b', b'x'), (b'a', b'2')])
    {'a': '1, 2', 'b': 'x'}
    """
    folded = {}
    for name, value in rows:
        name, value = name.decode('latin-1'), value.decode('latin-1')
        folded[name] = f'{folded[name]}, {value}' if name in folded else value
    return folded


class Call:
    """One request to a peer, whose answer is read as it comes.

    `sent` is true from the moment before the first byte is handed to the
    socket: what happens later can't prove that the peer saw nothing.
    """

    def __init__(self, client, address):
        self._client = client
        self._address = http.Address(*address)
        self._stream = None
        self.sent = False
        self.status = 0
        self.headers = {}

    async def connect(self, fresh=False):
        """Take an idle connection or open one; sends nothing.

        With `fresh` a new one is opened in any case.
        """
        if not fresh:
            self._stream = self._client.take(self._address)
        if self._stream is not None:
            return
        try:
            async with timeouts.Timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._address)
        except (OSError, TimeoutError) as error:
            raise http.Unreachable(f'connect: {error}', False) from error
        conn = h11.Connection(h11.CLIENT, http.MAX_HEADER_BYTES)
        self._stream = reader, writer, conn

    async def send(self, method, path, value=None, headers=(), host=''):
        """Send the request and read the head of the answer.

        `host` goes into the head in place of the address.
        """
        if self._stream is None:
            await self.connect()
        body = encode_body(value)
        fixed = [
            ('host', host or f'{self._address.host}:{self._address.port}'),
            ('content-length', str(len(body))),
        ]
        _, writer, conn = self._stream
        head = h11.Request(
            method=method, target=path, headers=[*fixed, *headers]
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
        self.headers = fold_headers(event.headers)

    async def fetch_whole(self, method, path, value, headers):
        """Send the request and read the whole answer; gives a Response."""
        await self.send(method, path, value, headers)
        body = bytearray()
        async for data in self.read():
            body += data
        return http.Response(self.status, self.headers, bytes(body))

    async def read(self):
        """Yield the body in parts; raises Unreachable if it is cut off."""
        while True:
            try:
                event = await self._next()
            except (OSError, h11.ProtocolError) as error:
                raise http.Unreachable(str(error), True) from error
            if isinstance(event, h11.EndOfMessage):
                self._give_back()
                return
            if not isinstance(event, h11.Data):
                raise http.Unreachable('the answer was cut off', True)
            yield bytes(event.data)

    async def read_events(self):
        """Yield the data of server-sent events as text."""
        rest = b''
        async for data in self.read():
            rest += data
            while b'\n\n' in rest:
                event, rest = rest.split(b'\n\n', 1)
                yield event.removeprefix(b'data: ').decode()

    def close(self):
        """Drop the connection, whatever state it is in."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None

    def _give_back(self):
        reader, writer, conn = self._stream
        self._stream = None
        done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        if not done:
            writer.close()
            return
        conn.start_next_cycle()
        self._client.keep(self._address, (reader, writer, conn))

    async def _next(self):
        reader, _, conn = self._stream
        while True:
            event = conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            conn.receive_data(await reader.read(http.READ_BYTES))


def encode_body(value):
    """Encode a request body: bytes as they are, the rest as JSON.

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
