"""HTTP/1.1 server for callers: one request after another per connection."""

import asyncio
import json

import h11

from landingspool.gateway import connection as connection_module
from landingspool.gateway import heads
from landingspool import http

BACKLOG = 512
# Seconds in which cancelled connections may finish when the listener closes.
CANCEL_TIMEOUT_S = 0.05
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
    codec : h11.Connection
        In the state after the request was read.
    connection : connection.Connection
    is_closing : callable
        Returns whether the answer should have ``Connection: close``.

    Attributes
    ----------
    started : bool
        Whether the head of the answer was sent.
    broken : bool
        Whether the answer was broken off.
    """

    def __init__(self, codec, connection, is_closing):
        self._codec = codec
        self._connection = connection
        self._is_closing = is_closing
        self.started = False
        self.broken = False

    async def send_complete(self, status, headers, body):
        """Send a complete answer with a length."""
        framed = [*headers, (b'content-length', str(len(body)).encode())]
        data = self._begin(status, framed)
        data += self._codec.send(h11.Data(data=body))
        data += self._codec.send(h11.EndOfMessage())
        self._connection.write(data)
        await self._connection.drain()

    async def send_error(self, status, reason, retry_after=None, extra=()):
        """Send an error of this box as JSON.

        Parameters
        ----------
        status : int
        reason : str
        retry_after : float, optional
            Seconds for the Retry-After header.
        extra : iterable of tuple of bytes, optional
            Further headers.
        """
        rows = [(b'content-type', b'application/json'), *extra]
        if retry_after is not None:
            rows.append((b'retry-after', f'{retry_after:.2f}'.encode()))
        body = json.dumps({'error': reason}).encode()
        await self.send_complete(status, rows, body)

    async def start(self, status, headers, data):
        """Begin an answer of unknown length with its first bytes."""
        head = self._begin(status, headers)
        self._connection.write(head + self._codec.send(h11.Data(data=data)))
        await self._connection.drain()

    async def send_data(self, data):
        """Send the next bytes of an answer."""
        self._connection.write(self._codec.send(h11.Data(data=data)))
        await self._connection.drain()

    async def finish(self):
        """End a complete answer."""
        self._connection.write(self._codec.send(h11.EndOfMessage()))
        await self._connection.drain()

    def abort(self):
        """Reset the connection, so that the answer doesn't look complete."""
        self.broken = True
        self._connection.abort()

    async def fail(self):
        """Send 500, or break off an answer that has been started."""
        if self.started:
            self.abort()
            return
        self._is_closing = lambda: True
        await self.send_error(500, 'fault')

    @property
    def is_reusable(self):
        """Whether the connection can take another request."""
        return not self.broken and self._codec.our_state is h11.DONE

    def _begin(self, status, headers):
        self.started = True
        rows = list(headers)
        if self._is_closing():
            rows.append((b'connection', b'close'))
        reason = REASONS.get(status, b'')
        return self._codec.send(
            h11.Response(status_code=status, headers=rows, reason=reason)
        )


class Listener:
    """Accepts connections of callers and reads their requests.

    Parameters
    ----------
    handle : callable
        ``async handle(request, body, reply)``: answers one request; it is
        cancelled when the caller disconnects.
    get_limits : callable
        Returns the routes.Limits in force.
    max_connections : int
        Concurrent connections; further ones are reset.
    count_others : callable, optional
        Returns the number of connections of other listeners that count
        towards `max_connections`.

    Attributes
    ----------
    stopping : bool
        Whether callers are asked to connect elsewhere.
    """

    def __init__(
        self, handle, get_limits, max_connections, count_others=lambda: 0
    ):
        self._handle = handle
        self._get_limits = get_limits
        self._max_connections = max_connections
        self._count_others = count_others
        self._server = None
        self._tasks = {}
        self.stopping = False

    async def start(self, address):
        """Begin to accept connections at a http.Address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: connection_module.Connection(self._accept),
            address.host,
            address.port,
            backlog=BACKLOG,
        )

    def stop(self):
        """Close each connection after its next answer from now on."""
        self.stopping = True

    async def close(self, seconds):
        """Close idle connections, and the others after `seconds` at most."""
        if self._server is not None:
            # It is None if the process is stopped while it starts.
            self._server.close()
        for task, busy in list(self._tasks.items()):
            if not busy:
                task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=seconds)
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=CANCEL_TIMEOUT_S)

    def count_busy(self):
        """Return the number of connections with a request in progress."""
        return sum(1 for busy in self._tasks.values() if busy)

    def count_open(self):
        """Return the number of connections."""
        return len(self._tasks)

    def _accept(self, connection):
        taken = len(self._tasks) + self._count_others()
        if taken >= self._max_connections:
            connection.abort()
            return
        task = asyncio.ensure_future(self._serve(connection))
        self._tasks[task] = False
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _serve(self, connection):
        try:
            while await self._serve_one(connection):
                pass
            connection.close()
        except (OSError, h11.ProtocolError):
            # The caller reset the connection or broke off within a request.
            connection.abort()
        except asyncio.CancelledError:
            connection.close()
            raise

    async def _serve_one(self, connection):
        task = asyncio.current_task()
        self._tasks[task] = False
        limits = self._get_limits()
        try:
            read = await heads.read_request(connection, limits)
        except http.BadRequest as error:
            await refuse(connection, error)
            return False
        if read is None:
            return False
        self._tasks[task] = True
        codec, request, body = read
        reply = Reply(codec, connection, lambda: self.stopping)
        await self._answer(connection, request, body, reply)
        return reply.is_reusable and not self.stopping

    async def _answer(self, connection, request, body, reply):
        work = asyncio.ensure_future(self._handle(request, body, reply))
        connection.on_close = work.cancel
        try:
            await work
        except asyncio.CancelledError:
            if not connection.closed:
                # The listener is closing: the handler is cancelled, too.
                work.cancel()
                raise
            reply.broken = True
        finally:
            connection.on_close = None


async def refuse(connection, error):
    """Answer a request that could not be read; its connection is closed."""
    codec = h11.Connection(h11.SERVER)
    reply = Reply(codec, connection, lambda: True)
    await reply.send_error(error.status, error.text)
