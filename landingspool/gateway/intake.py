"""Grants room for the bodies of requests before they are read.

A body that finds no room waits for a short time.  Meanwhile bodies that have
stopped give way: their requests are incomplete, so none of them has run.
"""

import asyncio
import collections
import random
import typing

from landingspool.decisions.gateway import byte_budget
from landingspool import http

NO_ROOM = 'no_memory'
STALLED = 'stalled'
# Bytes that a body of unknown length takes at once: it is no large one yet.
GRAIN_BYTES = 32 * 1024
# A body that brings fewer bytes in this time, seconds, may give way; those of
# fewer bytes are too small for that.
PROGRESS_BYTES = 16 * 1024
PROGRESS_S = 0.5
# Time in which a body that gives way returns its room, seconds.
EVICTION_S = 0.05
# Longest wait for room, seconds: a caller gives up a request that isn't read
# after a second.
WAIT_S = 0.75
# Range of the random Retry-After where there is no room, seconds.
RETRY_AFTER_S = (0.3, 1.0)


class Reception(typing.NamedTuple):
    """A body that is being received.

    Attributes
    ----------
    connection : connection.Connection
    left_bytes : int
        What it has still to bring to count as going on.
    since : float
        When it last did, seconds of the event loop's clock.
    """

    connection: object
    left_bytes: int
    since: float


class Intake:
    """The room for bodies of requests at one box.

    Parameters
    ----------
    budget : byte_budget.BodyBudget
    counter
        Counts the requests that are refused for lack of room or give way, by
        reason; anything with ``counter.labels(reason).inc()``.
    """

    def __init__(self, budget, counter):
        self._budget = budget
        self._counter = counter
        # The same since they were last taken, for the log.
        self._refusals = collections.Counter()
        # Bodies on their way by lease, the longest without progress first.
        self._receptions = collections.OrderedDict()
        # In the order in which they have come.
        self._waiters = {}

    @property
    def used_bytes(self):
        """Bytes of bodies that are held or promised."""
        return self._budget.used_bytes

    def count_receptions(self):
        """Return the number of bodies on their way that hold room."""
        return len(self._receptions)

    def take_refusals(self):
        """Return the refusals since the last call, by reason."""
        refusals, self._refusals = self._refusals, collections.Counter()
        return refusals

    def _count(self, reason):
        self._refusals[reason] += 1
        self._counter.labels(reason).inc()

    def open(self, connection, judge):
        """Return the Lease of a request whose body is to be read.

        Parameters
        ----------
        connection : connection.Connection
        judge : callable
            Returns the workspace of the request, or raises http.BadRequest
            if the head tells that it can't be served.
        """
        return Lease(self, connection, judge)

    async def take(self, lease, size):
        """Take room for a lease, at once or after a short wait.

        Raises
        ------
        http.BadRequest
            With 503 if there is none in time.
        """
        if not self._budget.take(lease.owner, lease.held, size):
            await self._wait_for_room(lease, size)
        if lease.held + size >= PROGRESS_BYTES:
            self._record(lease)

    def move(self, lease, owner):
        """Let what a lease holds count for its owner."""
        self._budget.free(lease.owner, lease.held)
        self._budget.add(owner, lease.held)

    def receive(self, lease, size):
        """Record that bytes of a body have come."""
        row = self._receptions.get(lease)
        if row is None:
            return
        if row.left_bytes > size:
            left_bytes = row.left_bytes - size
            self._receptions[lease] = row._replace(left_bytes=left_bytes)
            return
        self._record(lease)

    def finish(self, lease):
        """Record that a body has come whole, or won't."""
        self._receptions.pop(lease, None)

    def free(self, owner, size):
        """Return room, and let those that wait try again."""
        self._budget.free(owner, size)
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def _wait_for_room(self, lease, size):
        # It is not at fault while it waits.
        self.finish(lease)
        loop = asyncio.get_running_loop()
        ends = loop.time() + WAIT_S
        while not self._budget.take(lease.owner, lease.held, size):
            now = loop.time()
            if now >= ends:
                self._count(NO_ROOM)
                after = random.uniform(*RETRY_AFTER_S)
                raise http.BadRequest(503, NO_ROOM, after)
            await self._wait(min(ends - now, self._make_way(now)))

    def _record(self, lease):
        now = asyncio.get_running_loop().time()
        row = Reception(lease.connection, PROGRESS_BYTES, now)
        self._receptions[lease] = row
        self._receptions.move_to_end(lease)

    def _make_way(self, now):
        """Have the longest stopped body give way, if there is one.

        Returns
        -------
        float
            Seconds until it pays to try again.
        """
        lease, row = next(iter(self._receptions.items()), (None, None))
        if row is None:
            return PROGRESS_S
        left_s = row.since + PROGRESS_S - now
        if left_s > 0:
            return left_s
        self.finish(lease)
        self._count(STALLED)
        row.connection.interrupt(http.BadRequest(408, STALLED))
        return EVICTION_S

    async def _wait(self, seconds):
        """Wait until room is returned, for some seconds at most."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            # Its caller looks once more, and at the time.
            return
        finally:
            del self._waiters[waiter]


class Lease:
    """The room that one body takes.

    Attributes
    ----------
    owner : str or None
        The workspace; None until the body is a large one.
    held : int
        Bytes taken and not returned.
    describe_refusal : callable
        ``describe_refusal(reason)`` returns further headers of a refusal.
    """

    def __init__(self, intake, connection, judge):
        self._intake = intake
        self._judge = judge
        self.connection = connection
        self.owner = None
        self.held = 0
        self.describe_refusal = describe_nothing

    async def take(self, size):
        """Take room for further bytes, before they are read.

        Raises
        ------
        http.BadRequest
            If the request can't be served, or finds no room.
        """
        if not size:
            return
        is_large = self.held + size >= byte_budget.LARGE_BYTES
        if is_large and self._judge is not None:
            judge, self._judge = self._judge, None
            owner = judge()
            self._intake.move(self, owner)
            self.owner = owner
        await self._intake.take(self, size)
        self.held += size

    def receive(self, size):
        """Record that bytes have come for which room was taken."""
        self._intake.receive(self, size)

    def settle(self, size):
        """Keep the room of a body that has come whole, and no more."""
        self._intake.finish(self)
        self.connection.interrupt(None)
        self.free(self.held - size)

    def free(self, size):
        """Return room."""
        if size:
            self.held -= size
            self._intake.free(self.owner, size)

    def close(self):
        """Return all room."""
        self._intake.finish(self)
        self.free(self.held)


def describe_nothing(reason):
    """Return no headers."""
    return ()
