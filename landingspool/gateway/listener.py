"""The callers' side: connections, one request after another on each."""

import asyncio
import json

import h11

from landingspool.gateway import heads
from landingspool.gateway import wire as wire_module
from landingspool import http

BACKLOG = 512
# How often a planned stop looks whether connections are still open, seconds.
POLL_S = 0.05
REASONS = {
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class Reply:
    """The answer to one request; exactly one is sent.

    Parameters
    ----------
    conn : h11.Connection
        In the state after the request was read.
    wire : wire.Wire
    is_closing : callable
        Tells whether the caller should be told to connect anew.
    """

    def __init__(self, conn, wire, is_closing):
        self._conn = conn
        self._wire = wire
        self._is_closing = is_closing
        self.started = False
        self.broken = False

    async def send_whole(self, status, headers, body):
        """Send a whole answer."""
        framed = [*headers, (b'content-length', str(len(body)).encode())]
        data = self._begin(status, framed)
        data += self._conn.send(h11.Data(data=body))
        data += self._conn.send(h11.EndOfMessage())
        self._wire.write(data)
        await self._wire.drain()

    async def send_error(self, status, reason, retry_after=None):
        """Send an answer of our own."""
        rows = [(b'content-type', b'application/json')]
        if retry_after is not None:
            rows.append((b'retry-after', f'{retry_after:.2f}'.encode()))
        body = json.dumps({'error': reason}).encode()
        await self.send_whole(status, rows, body)

    async def start(self, status, headers, data):
        """Begin an answer that goes on, with its first bytes."""
        head = self._begin(status, headers)
        self._wire.write(head + self._conn.send(h11.Data(data=data)))
        await self._wire.drain()

    async def send_data(self, data):
        """Go on with an answer."""
        self._wire.write(self._conn.send(h11.Data(data=data)))
        await self._wire.drain()

    async def finish(self):
        """End an answer that is whole."""
        self._wire.write(self._conn.send(h11.EndOfMessage()))
        await self._wire.drain()

    def abort(self):
        """Break off, so that the answer can't be taken for whole."""
        self.broken = True
        self._wire.abort()

    async def fail(self):
        """Answer that this side failed, or break off what has begun."""
        if self.started:
            self.abort()
            return
        self._is_closing = lambda: True
        await self.send_error(500, 'fault')

    @property
    def may_go_on(self):
        """Whether the connection can take a next request."""
        return not self.broken and self._conn.our_state is h11.DONE

    def _begin(self, status, headers):
        self.started = True
        rows = list(headers)
        if self._is_closing():
            rows.append((b'connection', b'close'))
        reason = REASONS.get(status, b'')
        return self._conn.send(
            h11.Response(status_code=status, headers=rows, reason=reason)
        )


class Listener:
    """Accepts callers' connections.

    Parameters
    ----------
    handle : callable
        ``async handle(request, body, reply)``: answers one request; it is
        cancelled when the caller leaves.
    get_limits : callable
        Gives the routes.Limits in force.
    most : int
        Connections at once.
    """

    def __init__(self, handle, get_limits, most):
        self._handle = handle
        self._get_limits = get_limits
        self._most = most
        self._server = None
        self._tasks = {}
        self.stopping = False

    async def start(self, address):
        """Begin to accept."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: wire_module.Wire(self._accept),
            address.host,
            address.port,
            backlog=BACKLOG,
        )

    def stop(self):
        """Begin to tell callers to connect elsewhere."""
        self.stopping = True

    async def close(self, seconds):
        """Close; requests under way get some seconds to end."""
        self._server.close()
        for task, busy in list(self._tasks.items()):
            if not busy:
                task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=seconds)
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=POLL_S)

    def count_busy(self):
        """Count the connections with a request under way."""
        return sum(1 for busy in self._tasks.values() if busy)

    def _accept(self, wire):
        if len(self._tasks) >= self._most:
            wire.abort()
            return
        task = asyncio.ensure_future(self._serve(wire))
        self._tasks[task] = False
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _serve(self, wire):
        try:
            while await self._serve_one(wire):
                pass
            wire.close()
        except (OSError, h11.ProtocolError):
            # The caller broke off, or stopped in the middle of a request.
            wire.abort()
        except asyncio.CancelledError:
            wire.close()
            raise

    async def _serve_one(self, wire):
        task = asyncio.current_task()
        self._tasks[task] = False
        limits = self._get_limits()
        try:
            read = await heads.read_request(wire, limits)
        except http.BadRequest as error:
            await refuse(wire, error)
            return False
        if read is None:
            return False
        self._tasks[task] = True
        conn, request, body = read
        reply = Reply(conn, wire, lambda: self.stopping)
        await self._answer(wire, request, body, reply)
        return reply.may_go_on and not self.stopping

    async def _answer(self, wire, request, body, reply):
        work = asyncio.ensure_future(self._handle(request, body, reply))
        wire.on_end = work.cancel
        try:
            await work
        except asyncio.CancelledError:
            if not wire.ended:
                # This side is closing: the handler is stopped with it.
                work.cancel()
                raise
            reply.broken = True
        finally:
            wire.on_end = None


async def refuse(wire, error):
    """Answer what could not be read as a request, and close."""
    conn = h11.Connection(h11.SERVER)
    reply = Reply(conn, wire, lambda: True)
    await reply.send_error(error.status, error.text)
