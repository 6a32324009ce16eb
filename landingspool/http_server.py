"""HTTP/1.1 server over asyncio streams with h11.

It limits the header bytes, the body bytes and the time of each request, the
connections and what all bodies hold together, and does not interpret
requests.  A request whose handling fails is answered.
"""

import asyncio
import contextlib
import functools
import json
import socket
from urllib import parse

import h11

from landingspool import connection
from landingspool import framing
from landingspool import http
from landingspool import keep_alive
from landingspool import listening
from landingspool import timeouts
from landingspool import verdict

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
# Connections of a server, and bytes of bodies that all of them may hold.
MAX_CONNECTIONS = 1024
MAX_HELD_BYTES = 64 * 1024 * 1024
# Seconds after which a request comes again that found no room.
NO_ROOM_RETRY_AFTER_S = 1.0
READ_BYTES = 64 * 1024
# Turns of the event loop in which it reads what has arrived.
READ_TURNS = 5
# Bytes of next requests that are read while a request is served.
MAX_EARLY_BYTES = 256 * 1024
HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 20.0
IDLE_TIMEOUT_S = 60.0
# Seconds for which the rest of a request that is refused is dropped.
DISCARD_S = 1.0
# Seconds for which a connection at rest is kept, as each answer announces:
# less than the time-out, since a request sent at the end has to arrive.
ANNOUNCED_S = 58
# States of a server's codec once an answer is complete.
FINISHED_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


class NoAnswer(Exception):
    """Raised if the handling of a request ended without a whole answer."""


class Exchange:
    """Sends the answer to one request, on the server's side.

    Parameters
    ----------
    conn : h11.Connection
        Protocol state of the connection.
    reader, writer
        The asyncio streams of the connection.

    Attributes
    ----------
    has_body : bool
        Whether an answer has a body: that to HEAD has none.
    """

    def __init__(self, conn, reader, writer):
        self._conn = conn
        self._reader = reader
        self._writer = writer
        self.has_body = True
        self.started = False
        self.sent_bytes = 0

    async def send_json(self, status, value, headers=()):
        """Send a complete answer in JSON."""
        body = json.dumps(value).encode()
        await self.send_body(status, body, 'application/json', headers)

    async def send_body(self, status, body, kind, headers=()):
        """Send a complete answer of the content type `kind`."""
        framing = [
            ('content-type', kind),
            ('content-length', str(len(body))),
        ]
        self._write(
            h11.Response(status_code=status, headers=[*framing, *headers])
        )
        if self.has_body:
            self._write(h11.Data(data=body))
        await self.finish()

    async def start_stream(self, headers=()):
        """Start an answer that is a stream of server-sent events."""
        framing = [
            ('content-type', 'text/event-stream'),
            ('cache-control', 'no-store'),
        ]
        self._write(
            h11.Response(status_code=200, headers=[*framing, *headers])
        )

    async def send_event(self, value):
        """Send one server-sent event; `value` is a text or is sent as JSON."""
        text = value if isinstance(value, str) else json.dumps(value)
        self._write(h11.Data(data=b'data: ' + text.encode() + b'\n\n'))
        await self._writer.drain()

    async def finish(self):
        """Finish the answer."""
        self._write(h11.EndOfMessage())
        await self._writer.drain()

    @property
    def is_finished(self):
        """Whether the answer was sent whole."""
        return self.started and self._conn.our_state in FINISHED_STATES

    @property
    def is_gone(self):
        """Whether the connection is closed or about to be."""
        return self._writer.transport.is_closing()

    @property
    def has_left(self):
        """Whether the peer has closed its side, as far as was read."""
        return self.is_gone or self._reader.at_eof()

    async def fail(self, value, headers):
        """Send 500, or abort an answer that has been started."""
        if self.started and self.sent_bytes:
            self.abort()
            return
        # The codec refuses all further events after one that it can't send.
        self._conn = h11.Connection(h11.SERVER)
        if not self.has_body:
            # The new codec doesn't know that the answer has no body.
            await self.send_body(500, b'', 'application/json', headers)
            return
        await self.send_json(500, value, headers)

    def abort(self):
        """Reset the connection without finishing the answer.

        The end of an answer without a length is its close, so after a close it
        would look whole.
        """
        if not self.is_gone:
            self._writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, connection.NO_LINGER
            )
        self._writer.transport.abort()

    async def wait_gone(self):
        """Wait until the peer has closed its side.

        What it sends in the meantime is kept for the next request, up to
        MAX_EARLY_BYTES; from then on only a reset is noticed.
        """
        early_bytes = 0
        with contextlib.suppress(OSError):
            while early_bytes < MAX_EARLY_BYTES:
                data = await self._reader.read(READ_BYTES)
                if not data:
                    return
                early_bytes += len(data)
                self._conn.receive_data(data)
            await self._writer.wait_closed()

    def _announce(self, head):
        """Return the head with the time for which its connection is kept."""
        rows = list(head.headers)
        is_last = self._conn.their_state is not h11.DONE
        if is_last or (b'connection', b'close') in rows:
            return head
        rows.append(keep_alive.write_row(ANNOUNCED_S))
        return h11.Response(status_code=head.status_code, headers=rows)

    def _write(self, event):
        self.started = True
        if isinstance(event, h11.Response):
            event = self._announce(event)
        data = self._conn.send(event)
        if data:
            self.sent_bytes += len(data)
            self._writer.write(data)


class Server:
    """HTTP server on one address.

    Parameters
    ----------
    handle : callable
        ``async handle(request, exchange)``; must send one answer.
    max_body : int, optional
        Size limit of a request's body, in bytes.
    max_connections : int, optional
        A further one takes the place of the oldest that has no request in
        hand, and is closed if there is none.
    max_held : int, optional
        Size limit of the bodies of all requests together, in bytes.
    on_error : callable, optional
        ``on_error(exception)`` if the handling of a request fails.  Without
        it the event loop's handler of exceptions gets the error.
    """

    def __init__(
        self,
        handle,
        max_body=MAX_BODY_BYTES,
        on_error=None,
        max_connections=MAX_CONNECTIONS,
        max_held=MAX_HELD_BYTES,
    ):
        self._handle = handle
        self._max_body = max_body
        self._max_connections = max_connections
        self._max_held = max_held
        self._on_error = on_error or raise_to_loop
        self._server = None
        # The tasks of all connections, the oldest first, each with the bytes
        # of the body that it holds.
        self._tasks = {}
        self._idle = set()
        self._handling = set()
        self._held = 0

    async def start(self, host, port):
        """Listen and return the Address in use; port 0 takes a free port."""
        self._server = await listening.listen(
            listening.open_socket(host, port),
            functools.partial(
                asyncio.start_server, self._serve, limit=READ_BYTES
            ),
        )
        bound = self._server.sockets[0].getsockname()
        return http.Address(bound[0], bound[1])

    async def close(self, grace_s=0.0):
        """Stop listening and close all connections.

        Connections with an open request have `grace_s` seconds to finish.
        """
        if self._server is None:
            return
        self._server.close()
        # What has arrived is read first.
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        for task in list(self._idle):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=grace_s)
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        if len(self._tasks) >= self._max_connections and not self._displace():
            writer.transport.abort()
            return
        self._tasks[task] = 0
        try:
            await self._serve_connection(task, reader, writer)
        except (OSError, asyncio.CancelledError, h11.ProtocolError):
            pass
        finally:
            self._free(task)
            self._tasks.pop(task, None)
            self._idle.discard(task)
            writer.close()

    def _displace(self):
        """End the oldest connection that has no request in hand, if any.

        One that waits for a request goes before one that receives it.
        """
        waiting = [task for task in self._tasks if task not in self._handling]
        if not waiting:
            return False
        task = min(waiting, key=lambda task: task not in self._idle)
        self._free(task)
        del self._tasks[task]
        task.cancel()
        return True

    def _take(self, task, size):
        """Count bytes of a body that a task holds.

        Raises
        ------
        BadRequest
            If all bodies together hold too much.
        """
        if self._held + size > self._max_held:
            raise http.BadRequest(503, 'no memory', NO_ROOM_RETRY_AFTER_S)
        self._held += size
        self._tasks[task] += size

    def _free(self, task):
        """Count the body of a task no longer."""
        self._held -= self._tasks.get(task, 0)
        if task in self._tasks:
            self._tasks[task] = 0

    async def _serve_connection(self, task, reader, writer):
        conn = h11.Connection(h11.SERVER, MAX_HEADER_BYTES)
        meter = framing.Meter()
        while True:
            exchange = Exchange(conn, reader, writer)
            self._idle.add(task)
            try:
                request = await self._read_request(task, conn, reader, meter)
                if request is None:
                    return
                exchange.has_body = request.method != 'HEAD'
                self._handling.add(task)
                if not await self._handle_request(request, exchange):
                    return
            except http.BadRequest as error:
                self._free(task)
                await answer_bad_request(exchange, error)
                await discard_rest(reader, writer, self._max_body)
                return
            except (OSError, h11.ProtocolError):
                raise
            except Exception as error:
                # It could not be read, and was not handled.
                self._on_error(error)
                refusal = http.BadRequest(
                    500, 'a fault of landingspool itself'
                )
                await answer_bad_request(exchange, refusal)
                return
            finally:
                self._handling.discard(task)
                self._free(task)
            if conn.our_state is not h11.DONE:
                return
            if conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _handle_request(self, request, exchange):
        """Handle a request; return whether its answer was sent whole.

        Raises
        ------
        BadRequest
        """
        try:
            await self._handle(request, exchange)
            if not exchange.is_finished and not exchange.has_left:
                raise NoAnswer(f'no whole answer to {request.path}')
        except http.BadRequest:
            raise
        except asyncio.CancelledError as error:
            if asyncio.current_task().cancelling():
                raise
            # Something that the request waits for was cancelled.
            await self._answer_fault(exchange, error)
            return False
        except Exception as error:
            await self._answer_fault(exchange, error)
            return False
        return True

    async def _answer_fault(self, exchange, error):
        """Report an error, and answer unless the caller has left."""
        if exchange.is_gone and isinstance(
            error, (OSError, h11.ProtocolError)
        ):
            return
        self._on_error(error)
        await answer_fault(exchange)

    async def _read_request(self, task, conn, reader, meter):
        meter.start_request()
        head = await read_event(
            conn, reader, meter, IDLE_TIMEOUT_S, self._idle, task
        )
        if not isinstance(head, h11.Request):
            return None
        if int(dict(head.headers).get(b'content-length', 0)) > self._max_body:
            raise self._make_too_long()
        body = bytearray()
        deadline = asyncio.get_running_loop().time() + BODY_TIMEOUT_S
        while True:
            remaining_s = deadline - asyncio.get_running_loop().time()
            event = await read_event(conn, reader, meter, remaining_s)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise http.BadRequest(400, 'the request ended too early')
            if len(body) + len(event.data) > self._max_body:
                raise self._make_too_long()
            self._take(task, len(event.data))
            body += event.data
        return make_request(head, bytes(body))

    def _make_too_long(self):
        return http.BadRequest(413, f'body over {self._max_body} bytes')


def raise_to_loop(error):
    """Report an error to the event loop's handler of exceptions."""
    loop = asyncio.get_running_loop()
    loop.call_exception_handler(
        {'message': 'the handling of a request failed', 'exception': error}
    )


def make_request(head, body):
    """Return the Request of an h11.Request and its body.

    Raises
    ------
    BadRequest
        With 400 if the target of the request is no URL.
    """
    try:
        url = parse.urlsplit(head.target.decode('ascii', 'replace'))
        query = dict(parse.parse_qsl(url.query))
    except ValueError as error:
        raise http.BadRequest(400, f'the target is no URL: {error}') from error
    headers = {k.decode(): v.decode('latin-1') for k, v in head.headers}
    return http.Request(head.method.decode(), url.path, query, headers, body)


async def answer_fault(exchange):
    """Answer a request whose handling failed, and so may have run."""
    reply = {
        'error': {
            'type': 'fault',
            'message': 'a fault of landingspool itself',
            'verdict': verdict.Verdict.MAY_HAVE_RUN.value,
        }
    }
    headers = [
        ('connection', 'close'),
        ('x-verdict', verdict.Verdict.MAY_HAVE_RUN.value),
    ]
    try:
        await exchange.fail(reply, headers)
    except (h11.ProtocolError, OSError):
        exchange.abort()


async def answer_bad_request(exchange, error):
    """Answer a request that could not be read, and so was not run."""
    reply = {
        'error': {
            'type': 'bad_request',
            'message': error.text,
            'verdict': 'not_run',
        }
    }
    headers = [('connection', 'close'), ('x-verdict', 'not_run')]
    if error.retry_after is not None:
        headers.append(('retry-after', f'{error.retry_after:.2f}'))
    if exchange.started:
        exchange.abort()
        return
    try:
        await exchange.send_json(error.status, reply, headers)
    except (h11.ProtocolError, OSError):
        exchange.abort()


async def discard_rest(reader, writer, max_bytes):
    """Drop what a refused peer still sends, up to a limit and for some time.

    A close with unread bytes is a reset, which can take the refusal from it.
    """
    if writer.transport.is_closing() or not writer.can_write_eof():
        return
    writer.write_eof()
    with contextlib.suppress(TimeoutError, OSError):
        async with timeouts.Timeout(DISCARD_S):
            while max_bytes > 0 and (data := await reader.read(READ_BYTES)):
                max_bytes -= len(data)


async def read_event(conn, reader, meter, timeout, idle=None, task=None):
    """Read the next h11 event.

    Parameters
    ----------
    conn : h11.Connection
    reader : asyncio.StreamReader
    meter : framing.Meter
        Of the connection.
    timeout : float
        Time limit in seconds.
    idle : set, optional
        The tasks whose connection waits for a request; `task` is removed
        from it once data has arrived.
    task : asyncio.Task, optional
        The task that serves the connection.

    Returns
    -------
    h11 event
        `h11.ConnectionClosed` if an idle connection timed out.

    Raises
    ------
    BadRequest
        With status 408 at a time-out within a request, with 400 or 431 if
        the data is not valid HTTP or has too much framing.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    while True:
        try:
            event = conn.next_event()
            await meter.count_event(event)
        except h11.RemoteProtocolError as error:
            raise http.BadRequest(
                error.error_status_hint, str(error)
            ) from error
        except framing.FramingTooLong as error:
            raise http.BadRequest(400, str(error)) from error
        if event is not h11.NEED_DATA:
            if idle is not None:
                idle.discard(task)
            return event
        try:
            async with timeouts.Timeout(deadline - loop.time()):
                data = await reader.read(READ_BYTES)
        except TimeoutError:
            if idle is not None and task in idle:
                # No answer is sent on an idle connection: the client would
                # take it for the answer to its next request.
                return h11.ConnectionClosed()
            raise http.BadRequest(408, 'the request took too long') from None
        if data and idle is not None and task in idle:
            idle.discard(task)
            deadline = min(deadline, loop.time() + HEADER_TIMEOUT_S)
        meter.count_received(data)
        conn.receive_data(data)
