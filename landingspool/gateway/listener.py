"""HTTP/1.1 server for callers: one request after another per connection."""

import asyncio
import collections
import functools
import itertools
import typing

import h11

from landingspool import connection as connection_module
from landingspool.gateway import closings
from landingspool.gateway import heads
from landingspool.gateway import persistence
from landingspool.gateway import replies
from landingspool import http
from landingspool import http_server
from landingspool import listening

# Connections that are looked at for one that may give way to a new one.
MAX_LOOKS = 16
# Seconds after which a connection that brings nothing may be closed for a new
# one: a caller's first request arrives a round trip after its connection.
MIN_SILENCE_S = 0.1
# Turns of the event loop in which it accepts a waiting connection and reads
# what has arrived on it.
ACCEPT_TURNS = 5
# Seconds in which a caller may take what is left of the last answer on a
# connection that is closed.
FLUSH_TIMEOUT_S = 60.0
# Seconds in which cancelled connections may finish when the listener closes.
CANCEL_TIMEOUT_S = 0.05


class Waiting(typing.NamedTuple):
    """A connection that waits for its next request.

    Attributes
    ----------
    connection : connection.Connection
    since : float
        When it began to wait, seconds of the event loop's clock.
    """

    connection: connection_module.Connection
    since: float


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
        Concurrent connections.  A further one takes the place of one that
        waits for a request, and is closed if there is none.
    on_unanswered : callable
        Called with a request that was read and the reason if its handler
        fails, so that its caller gets no whole answer.
    on_closed : callable
        Called with a closings.Closing for each connection that ends.
    count_others : callable, optional
        Returns the number of connections of other listeners that count
        towards `max_connections`.
    margin_s : float, optional
        Seconds for which callers may know of a newer configuration.
    on_error : callable, optional
        ``on_error(exception)`` if a request can't be read or a connection not
        be served for an unexpected error.
    open_lease : callable
        ``open_lease(connection, request)`` returns the intake.Lease of a
        request whose head has come.
    buffers : buffers.Buffers
        Counts the bytes that connections hold.

    Attributes
    ----------
    stopping : bool
        Whether callers are asked to connect elsewhere.
    displaced : int
        Connections that were closed to make room for new ones.
    """

    def __init__(
        self,
        handle,
        get_limits,
        max_connections,
        on_unanswered,
        on_closed,
        count_others=lambda: 0,
        margin_s=0.0,
        on_error=http_server.raise_to_loop,
        open_lease=None,
        buffers=None,
    ):
        self._handle = handle
        self._open_lease = open_lease
        self._buffers = buffers
        self._get_limits = get_limits
        self._max_connections = max_connections
        self._on_unanswered = on_unanswered
        self._on_closed = on_closed
        self._count_others = count_others
        self._margin_s = margin_s
        self._on_error = on_error
        self._server = None
        # The connection that each task serves.
        self._tasks = {}
        # The persistence of the connection of each task.
        self._uses = {}
        # Tasks that have begun to receive a request and not ended its answer.
        self._busy = set()
        # Tasks that wait for a request, the longest wait first: for the
        # first one of their connection, and for a further one.
        self._unused = collections.OrderedDict()
        self._kept = collections.OrderedDict()
        # Tasks that receive a request, the longest first.
        self._receiving = collections.OrderedDict()
        self._closing = False
        self.stopping = False
        self.displaced = 0

    async def start(self, address):
        """Begin to accept connections at a http.Address."""
        loop = asyncio.get_running_loop()
        self._server = await listening.listen(
            listening.open_socket(*address),
            functools.partial(loop.create_server, self._make_connection),
        )

    def _make_connection(self):
        return connection_module.Connection(self._accept, self._buffers, True)

    def stop(self):
        """Close each connection after its next answer from now on."""
        self.stopping = True

    async def close(self, seconds):
        """Close idle connections, and the others after `seconds` at most."""
        self.stopping = True
        if self._server is not None:
            # It is None if the process is stopped while it starts.
            await give_turns()
            self._server.close()
            await give_turns()
        self._closing = True
        for task, connection in list(self._tasks.items()):
            if task not in self._busy and connection.is_at_rest:
                self._end(task, connection, closings.Reason.STOPPING)
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=seconds)
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=CANCEL_TIMEOUT_S)

    def count_busy(self):
        """Return the number of connections with a request in progress."""
        return len(self._busy)

    def count_open(self):
        """Return the number of connections."""
        return len(self._tasks)

    def _accept(self, connection):
        taken = len(self._tasks) + self._count_others()
        is_full = taken >= self._max_connections
        if self._closing:
            self._turn_away(connection, closings.Reason.STOPPING)
            return
        if is_full and not self._displace():
            self._turn_away(connection, closings.Reason.FULL)
            return
        task = asyncio.ensure_future(self._serve(connection))
        self._tasks[task] = connection
        self._uses[task] = self._make_use()
        self._unused[task] = self._begin_wait(connection)
        task.add_done_callback(self._forget)

    def _turn_away(self, connection, reason):
        """Close a connection that has just been opened."""
        self._record_closing(connection, reason)
        connection.write(replies.REST_OVER)
        connection.abort()

    def _end(self, task, connection, reason):
        """Close a connection at rest at once: no request is read any more."""
        self._record_closing(connection, reason, task)
        self._end_wait(task)
        connection.write(replies.REST_OVER)
        close_in_time(connection)
        task.cancel()

    def _record_closing(self, connection, reason, task=None):
        use = self._uses.pop(task, None) or self._make_use()
        self._on_closed(
            closings.Closing(
                reason,
                connection.count_unread(),
                use.served,
                self._measure_wait(task),
                use.compute_limit(self._get_limits()),
                use.longest_rest_s,
                connection.peer,
            )
        )

    def _make_use(self):
        return persistence.Persistence(self._margin_s)

    def _measure_wait(self, task):
        """Return the seconds for which a task has waited for a request."""
        row = self._unused.get(task) or self._kept.get(task)
        now = asyncio.get_running_loop().time()
        return now - row.since if row is not None else 0.0

    def _begin_wait(self, connection):
        now = asyncio.get_running_loop().time()
        return Waiting(connection, now)

    def _displace(self):
        """Close the connection that has waited longest; False if none has.

        One that never brought a request goes first, and one that has stopped
        within a request last: it is incomplete and was not handled.
        """
        latest = asyncio.get_running_loop().time() - MIN_SILENCE_S
        for rows in (self._unused, self._kept, self._receiving):
            for task, row in itertools.islice(rows.items(), MAX_LOOKS):
                if row.since > latest:
                    break
                if row.connection.has_stopped(latest):
                    self.displaced += 1
                    self._end(task, row.connection, closings.Reason.DISPLACED)
                    return True
        return False

    def _end_wait(self, task):
        self._unused.pop(task, None)
        self._kept.pop(task, None)
        self._receiving.pop(task, None)

    def _forget(self, task):
        self._busy.discard(task)
        self._end_wait(task)
        self._uses.pop(task, None)
        del self._tasks[task]

    async def _serve(self, connection):
        task = asyncio.current_task()
        # Of a task that is cancelled.
        reason = closings.Reason.STOPPING
        try:
            reason = await self._serve_all(connection)
        except (OSError, h11.ProtocolError):
            # The caller reset the connection or broke off within a request,
            # of which nothing was handled yet.
            reason = closings.Reason.RESET
            connection.abort()
        except Exception as error:
            reason = closings.Reason.BROKEN_OFF
            self._on_error(error)
            connection.abort()
        finally:
            if task in self._uses:
                self._record_closing(connection, reason, task)
            close_in_time(connection)

    async def _serve_all(self, connection):
        """Serve one request after another; return why that ends."""
        task = asyncio.current_task()
        while True:
            reason = await self._serve_one(connection)
            if reason is not None:
                return reason
            self._uses[task].served += 1
            self._busy.discard(task)
            self._kept[task] = self._begin_wait(connection)

    async def _serve_one(self, connection):
        """Serve one request.

        Returns
        -------
        closings.Reason or None
            None if the next request may be waited for.
        """
        task = asyncio.current_task()
        use = self._uses[task]
        if not await heads.wait_for_request(
            connection, lambda: use.compute_limit(self._get_limits())
        ):
            if connection.closed:
                return closings.Reason.CALLER
            connection.write(replies.REST_OVER)
            return closings.Reason.IDLE
        use.record_request(self._measure_wait(task))
        self._busy.add(task)
        self._end_wait(task)
        self._receiving[task] = self._begin_wait(connection)
        limits = self._get_limits()
        try:
            read = await heads.read_request(
                connection,
                limits,
                functools.partial(self._open_lease, connection),
            )
        except http.BadRequest as error:
            await replies.refuse(connection, error)
            return closings.Reason.UNREADABLE
        except (OSError, h11.ProtocolError):
            raise
        except Exception as error:
            self._on_error(error)
            await replies.refuse(connection, http.BadRequest(500, 'fault'))
            return closings.Reason.UNREADABLE
        if read is None:
            return closings.Reason.CALLER
        self._end_wait(task)
        codec, request, body = read
        try:
            return await self._serve_request(
                connection, codec, request, body, use, limits
            )
        finally:
            body.close()

    async def _serve_request(
        self, connection, codec, request, body, use, limits
    ):
        """Answer one request; return as `_serve_one`."""
        reply = replies.Reply(
            codec,
            connection,
            lambda: self.stopping,
            request.method,
            use.announce(limits),
        )
        try:
            await self._answer(connection, request, body, reply)
        except Exception as error:
            self._break_off(request, reply, repr(error))
        if not reply.started and not connection.closed:
            self._break_off(request, reply, 'no reply')
        # An answer begun before the stop doesn't ask the caller to connect
        # elsewhere: it may have sent its next request by now.
        is_over = self._closing and connection.is_at_rest
        if reply.is_reusable and not is_over:
            return None
        if reply.is_reusable:
            connection.write(replies.REST_OVER)
        return self._explain_end(connection, reply)

    def _explain_end(self, connection, reply):
        """Return why a connection takes no request after this reply."""
        if connection.closed:
            return closings.Reason.LEFT
        if reply.broken:
            return closings.Reason.BROKEN_OFF
        return closings.Reason.LAST_ANSWER

    def _break_off(self, request, reply, reason):
        if not reply.broken:
            self._on_unanswered(request, reason)
            reply.abort()

    async def _cut_off(self, request, reply):
        """Answer a request that the box can't wait for any longer."""
        if reply.started:
            self._break_off(request, reply, 'stopped')
        else:
            # The request may have been executed.
            await reply.send_error(502, 'stopped')

    async def _run_handler(self, connection, request, body, reply):
        # A handler cancelled before its first step would log nothing.
        connection.on_close = asyncio.current_task().cancel
        await self._handle(request, body, reply)

    async def _answer(self, connection, request, body, reply):
        work = asyncio.ensure_future(
            self._run_handler(connection, request, body, reply)
        )
        try:
            await work
        except asyncio.CancelledError:
            if connection.closed:
                reply.broken = True
                return
            # The listener is closing, and has cancelled the handler, too,
            # unless the answer was complete by then.
            if work.cancelled():
                await self._cut_off(request, reply)
            raise
        finally:
            connection.on_close = None


async def give_turns():
    """Let the event loop take what waits in the kernel."""
    for _ in range(ACCEPT_TURNS):
        await asyncio.sleep(0)


def close_in_time(connection):
    """Close a connection; drop what its caller doesn't take in time."""
    connection.close()
    if not connection.is_flushed:
        loop = asyncio.get_running_loop()
        loop.call_later(FLUSH_TIMEOUT_S, connection.abort)
