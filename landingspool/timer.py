"""The timer service: parts subscribe to it and get ticks.

It is also the one place where a standstill of this process is found.  When
far more time went by between two looks at the clock than the beat takes, the
process did not run in between (a suspension, a frozen process, a machine
without a free core): what it knows has aged, though its peers may be as sound
as before, and what was decided may have lapsed.  Subscribers are told of a
standstill before anything else is done.
"""

import asyncio
import collections
import typing

from landingspool.decisions import timing
from landingspool import boot_clock

# Period in which the clock is looked at, whoever else subscribes, seconds.
BEAT_S = 0.1
# Standstills that are remembered, the newest.
MOST_KEPT = 64


class Tick(typing.NamedTuple):
    """One tick, at `now` on the timer's clock."""

    now: float


class Stall(typing.NamedTuple):
    """A time in which this process did not run.

    Attributes
    ----------
    seconds : float
        How long it took.
    now : float
        When it was found, on the timer's clock.
    """

    seconds: float
    now: float


class Timer:
    """Calls its subscribers, each in its own period.

    Parameters
    ----------
    clock : callable, optional
        Gives monotonic seconds.
    sleep : coroutine function, optional
        Waits for some seconds; tests hand in virtual time.
    """

    def __init__(self, clock=boot_clock.read, sleep=asyncio.sleep):
        self.now = clock
        self._sleep = sleep
        self._tasks = []
        self._seen = None
        self._on_stall = []
        self._stalls = collections.deque(maxlen=MOST_KEPT)

    def subscribe(self, period, call):
        """Call ``call(Tick)`` every `period` seconds until `close`."""
        task = asyncio.ensure_future(self._run(period, call))
        self._tasks.append(task)
        return task

    def subscribe_stall(self, call):
        """Call ``call(Stall)`` after each standstill until `close`."""
        if not self._on_stall:
            self.look()
            self.subscribe(BEAT_S, lambda tick: None)
        self._on_stall.append(call)

    def look(self):
        """Look at the clock; gives the time.

        A standstill is found here.  Who decides on what has just arrived
        looks first: after a standstill that is handled before any tick.
        """
        now = self.now()
        seconds = timing.measure_stall(self._seen, now)
        self._seen = now
        if seconds:
            stall = Stall(seconds, now)
            self._stalls.append(stall)
            for call in self._on_stall:
                call(stall)
        return now

    def ran_since(self, moment):
        """Tell whether this process has run all the time since a moment."""
        self.look()
        return not self._stalls or self._stalls[-1].now <= moment

    def measure_running_s(self, since):
        """Give the seconds since a moment for which this process ran."""
        now = self.look()
        lost = sum(
            min(row.seconds, row.now - since)
            for row in self._stalls
            if row.now > since
        )
        return now - since - lost

    def close(self):
        """End all subscriptions."""
        self._on_stall.clear()
        for task in self._tasks:
            task.cancel()

    async def _run(self, period, call):
        while True:
            await self._sleep(period)
            call(Tick(self.look()))
