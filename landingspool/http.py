"""HTTP/1.1 over asyncio streams, with h11 on both sides.

Both the callers' side and the clients of targets, stores and platform use
it.  It bounds what a peer can make us hold (headers, body, time) and knows
nothing of what the requests mean.
"""

import asyncio
import collections
import json
import typing
from urllib import parse

import h11

from landingspool import patience

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024
HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 20.0
IDLE_TIMEOUT_S = 60.0
IDLE_CONNECTIONS = 16
CONNECT_TIMEOUT_S = 1.0


class Address(typing.NamedTuple):
    """A TCP endpoint by IP number."""

    host: str
    port: int


class Request(typing.NamedTuple):
    """One whole HTTP request."""

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes

    def json(self):
        """Decode the body.

        Returns
        -------
        object
            The decoded body; an empty dict where there is none.

        Raises
        ------
        ValueError
            If the body is not JSON.
        """
        return json.loads(self.body) if self.body else {}


class Response(typing.NamedTuple):
    """One whole HTTP response."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        """Decode the body as JSON; raises ValueError where it is not."""
        return json.loads(self.body) if self.body else {}


class BadRequest(Exception):
    """The peer sent what can't be served; holds the status to answer."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status = status
        self.text = text


class Unreachable(Exception):
    """A peer could not be spoken to; `sent` tells if a byte went out."""

    def __init__(self, text, sent):
        super().__init__(text)
        self.sent = sent


class Exchange:
    """The server's side of one request: what is answered goes through it.

    Parameters
    ----------
    conn : h11.Connection
        Protocol state of the connection.
    reader, writer
        The asyncio streams of the connection.
    """

    def __init__(self, conn, reader, writer):
        self._conn = conn
        self._reader = reader
        self._writer = writer
        self.started = False
        self.sent_bytes = 0

    async def send_json(self, status, value, headers=()):
        """Send one whole JSON answer."""
        body = json.dumps(value).encode()
        await self.send_body(status, body, 'application/json', headers)

    async def send_body(self, status, body, kind, headers=()):
        """Send one whole answer of the content type `kind`."""
        fixed = [
            ('content-type', kind),
            ('content-length', str(len(body))),
        ]
        self._write(
            h11.Response(status_code=status, headers=[*fixed, *headers])
        )
        self._write(h11.Data(data=body))
        await self.finish()

    async def start_stream(self, headers=()):
        """Start an answer of server-sent events."""
        fixed = [
            ('content-type', 'text/event-stream'),
            ('cache-control', 'no-store'),
        ]
        self._write(h11.Response(status_code=200, headers=[*fixed, *headers]))

    async def send_event(self, value):
        """Send one server-sent event; `value` is JSON or a bare text."""
        text = value if isinstance(value, str) else json.dumps(value)
        self._write(h11.Data(data=b'data: ' + text.encode() + b'\n\n'))
        await self._writer.drain()

    async def finish(self):
        """End the answer."""
        self._write(h11.EndOfMessage())
        await self._writer.drain()

    def abort(self):
        """Drop the connection in the middle of an answer."""
        self._writer.transport.abort()

    async def wait_gone(self):
        """Wait until the peer has closed its side."""
        while not self._reader.at_eof():
            data = await self._reader.read(READ_BYTES)
            if not data:
                return
            self._conn.receive_data(data)

    def _write(self, event):
        self.started = True
        data = self._conn.send(event)
        if data:
            self.sent_bytes += len(data)
            self._writer.write(data)


class Server:
    """Serves HTTP on one address until it is closed.

    Parameters
    ----------
    handle : callable
        ``async handle(request, exchange)``; must send one answer.
    max_body : int, optional
        Largest accepted body, in bytes.
    """

    def __init__(self, handle, max_body=MAX_BODY_BYTES):
        self._handle = handle
        self._max_body = max_body
        self._server = None
        self._tasks = set()
        self._idle = set()

    async def start(self, host, port):
        """Listen; returns the Address in use (port 0 takes a free one)."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=READ_BYTES
        )
        bound = self._server.sockets[0].getsockname()
        return Address(bound[0], bound[1])

    async def close(self, grace_s=0.0):
        """Stop listening, close idle connections, wait for busy ones."""
        if self._server is None:
            return
        self._server.close()
        for task in list(self._idle):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=grace_s)
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve_connection(task, reader, writer)
        except (OSError, asyncio.CancelledError, h11.ProtocolError):
            pass
        finally:
            self._tasks.discard(task)
            self._idle.discard(task)
            writer.close()

    async def _serve_connection(self, task, reader, writer):
        conn = h11.Connection(h11.SERVER, MAX_HEADER_BYTES)
        while True:
            exchange = Exchange(conn, reader, writer)
            self._idle.add(task)
            try:
                request = await self._read_request(task, conn, reader)
                if request is None:
                    return
                await self._handle(request, exchange)
            except BadRequest as error:
                if not exchange.started:
                    await answer_bad_request(exchange, error)
                return
            if conn.our_state is not h11.DONE:
                return
            if conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read_request(self, task, conn, reader):
        head = await read_event(conn, reader, IDLE_TIMEOUT_S, self._idle, task)
        if not isinstance(head, h11.Request):
            return None
        body = bytearray()
        deadline = asyncio.get_running_loop().time() + BODY_TIMEOUT_S
        while True:
            left = deadline - asyncio.get_running_loop().time()
            event = await read_event(conn, reader, left)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise BadRequest(400, 'the request ended too early')
            body += event.data
            if len(body) > self._max_body:
                raise BadRequest(413, f'body over {self._max_body} bytes')
        url = parse.urlsplit(head.target.decode('ascii', 'replace'))
        query = dict(parse.parse_qsl(url.query))
        headers = {k.decode(): v.decode('latin-1') for k, v in head.headers}
        method = head.method.decode()
        return Request(method, url.path, query, headers, bytes(body))


async def answer_bad_request(exchange, error):
    """Answer a request that could not be read; never run by definition."""
    reply = {
        'error': {
            'type': 'bad_request',
            'message': error.text,
            'verdict': 'not_run',
        }
    }
    headers = [('connection', 'close'), ('x-verdict', 'not_run')]
    try:
        await exchange.send_json(error.status, reply, headers)
    except (h11.ProtocolError, OSError):
        exchange.abort()


async def read_event(conn, reader, timeout, idle=None, task=None):
    """Read the next h11 event.

    Raises
    ------
    BadRequest
        With 408 when the time is over, with 400 or 431 for what is not
        HTTP.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    while True:
        try:
            event = conn.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint, str(error)) from error
        if event is not h11.NEED_DATA:
            if idle is not None:
                idle.discard(task)
            return event
        try:
            async with asyncio.timeout_at(deadline):
                data = await reader.read(READ_BYTES)
        except TimeoutError:
            raise BadRequest(408, 'the request took too long') from None
        if data and idle is not None and task in idle:
            idle.discard(task)
            deadline = min(deadline, loop.time() + HEADER_TIMEOUT_S)
        conn.receive_data(data)


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
        Response

        Raises
        ------
        Unreachable
            When no whole answer came within `timeout` seconds.
        """
        call = self.open(address)
        work = asyncio.ensure_future(
            call.fetch_whole(method, path, value, headers)
        )
        try:
            await patience.wait_running(work, timeout)
            if not work.done():
                raise Unreachable(f'{path}: no answer in time', call.sent)
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
        self._address = Address(*address)
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
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._address)
        except (OSError, TimeoutError) as error:
            raise Unreachable(f'connect: {error}', False) from error
        conn = h11.Connection(h11.CLIENT, MAX_HEADER_BYTES)
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
            raise Unreachable(str(error), True) from error
        if not isinstance(event, h11.Response):
            raise Unreachable('the connection was closed', True)
        self.status = event.status_code
        self.headers = fold_headers(event.headers)

    async def fetch_whole(self, method, path, value, headers):
        """Send the request and read the whole answer; gives a Response."""
        await self.send(method, path, value, headers)
        body = bytearray()
        async for data in self.read():
            body += data
        return Response(self.status, self.headers, bytes(body))

    async def read(self):
        """Yield the body in parts; raises Unreachable if it is cut off."""
        while True:
            try:
                event = await self._next()
            except (OSError, h11.ProtocolError) as error:
                raise Unreachable(str(error), True) from error
            if isinstance(event, h11.EndOfMessage):
                self._give_back()
                return
            if not isinstance(event, h11.Data):
                raise Unreachable('the answer was cut off', True)
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
            conn.receive_data(await reader.read(READ_BYTES))


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
