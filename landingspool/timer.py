"""The timer service: parts subscribe to it and get ticks.

It is also where a frozen process is noticed.  When far more time went by
between two ticks than the period, the process did not run in between, and
what was decided before may have lapsed; each tick says so in `gap`.
"""

import asyncio
import typing

from landingspool import uptime

FREEZE_S = 0.75


class Tick(typing.NamedTuple):
    """One tick: the monotonic time and the seconds lost before it."""

    now: float
    gap: float


class Timer:
    """Calls its subscribers, each in its own period.

    Parameters
    ----------
    clock : callable, optional
        Gives monotonic seconds.
    sleep : coroutine function, optional
        Waits for some seconds; tests hand in virtual time.
    """

    def __init__(self, clock=uptime.read, sleep=asyncio.sleep):
        self.now = clock
        self._sleep = sleep
        self._tasks = []

    def subscribe(self, period, call):
        """Call ``call(Tick)`` every `period` seconds until `close`."""
        task = asyncio.ensure_future(self._run(period, call))
        self._tasks.append(task)
        return task

    def close(self):
        """End all subscriptions."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, period, call):
        last = self.now()
        while True:
            await self._sleep(period)
            now = self.now()
            call(Tick(now, measure_gap(last, now, period)))
            last = now


def measure_gap(last, now, period):
    """Give the seconds for which the process seems not to have run.

    >>> measure_gap(10.0, 10.2, 0.2)
    0.0
    >>> measure_gap(10.0, 15.2, 0.2)
    5.0
    """
    lost = now - last - period
    return round(lost, 6) if lost > FREEZE_S else 0.0
