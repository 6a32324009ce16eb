"""Timer service with periodic ticks, and detection of process stalls.

Parts subscribe to ticks and to stalls.  If the time between two checks of the
clock far exceeds the period of the checks, the process has stalled: the
machine was suspended, the process was stopped, or no core was free.  Its
information is then out of date, though its peers may be healthy, and its
decisions may have expired.  Subscribers are notified of a stall before
anything else is handled.
"""

import asyncio
import collections
import math
import typing

from landingspool import boot_clock
from landingspool.decisions import timing

# Period of the checks for a stall, in seconds.
CHECK_PERIOD_S = 0.1
# Seconds by which the event loop may run a tick before it is due: the
# resolution of its timers.
EARLY_S = 0.002
# Number of stalls that are remembered; older ones are dropped.
MAX_STALLS = 64


class Tick(typing.NamedTuple):
    """One tick, at the time `now` of the timer's clock."""

    now: float


class Stall(typing.NamedTuple):
    """A period in which this process did not run.

    Attributes
    ----------
    seconds : float
        Duration of the stall.
    now : float
        Time at which it was detected, on the timer's clock, in seconds.
    """

    seconds: float
    now: float


class Timer:
    """Calls each subscriber periodically.

    Parameters
    ----------
    clock : callable, optional
        Returns monotonic time in seconds.
    sleep : coroutine function, optional
        Waits for a number of seconds; tests pass in virtual time.
    on_error : callable, optional
        ``on_error(name, exception)`` if a subscriber fails, with the name
        of its function; it is called again, and the others are called as
        before.  Without it a stall raises the error of the first one that
        failed, and ticks that raise an error end.
    """

    def __init__(
        self, clock=boot_clock.read, sleep=asyncio.sleep, on_error=None
    ):
        self._clock = clock
        self._on_error = on_error
        self._sleep = sleep
        self._origin = clock()
        self._tasks = []
        self._last_check = None
        self._on_stall = []
        self._stalls = collections.deque(maxlen=MAX_STALLS)

    def subscribe(self, period, call):
        """Call ``call(Tick)`` every `period` seconds until `close`.

        All ticks are due at multiples of their periods, counted from when the
        timer was created.  So the process wakes up once for ticks of several
        subscribers, and a box is woken some dozen times a second less.
        """
        task = asyncio.ensure_future(self._run(period, call))
        self._tasks.append(task)
        return task

    def subscribe_stall(self, call):
        """Call ``call(Stall)`` after each stall until `close`."""
        if not self._on_stall:
            self._last_check = self.now()
            self.subscribe(CHECK_PERIOD_S, lambda tick: None)
        self._on_stall.append(call)

    def now(self):
        """Return the time in seconds, after a check for a stall.

        Every reading of the time is a check.  A process can stall between
        any two statements, and a decision at a time after a stall must not
        be made before the subscribers are notified of it.
        """
        now = self._clock()
        if self._on_stall:
            self._check(now)
        return now

    def ran_since(self, moment):
        """Return whether this process has not stalled since `moment`."""
        self.now()
        return not self._stalls or self._stalls[-1].now <= moment

    def measure_running_s(self, since):
        """Return the seconds since `since` without the stalls."""
        now = self.now()
        stalled_s = sum(
            min(past.seconds, past.now - since)
            for past in self._stalls
            if past.now > since
        )
        return now - since - stalled_s

    def close(self):
        """Cancel all subscriptions."""
        self._on_stall.clear()
        for task in self._tasks:
            task.cancel()

    def _check(self, now):
        seconds = timing.measure_stall(self._last_check, now)
        self._last_check = now
        if seconds:
            stall = Stall(seconds, now)
            self._stalls.append(stall)
            self._notify(stall)

    def _notify(self, stall):
        """Call all subscribers of stalls, whichever of them fails."""
        errors = []
        for call in list(self._on_stall):
            try:
                call(stall)
            except Exception as error:
                errors.append(error)
                self._report(call, error)
        if errors and self._on_error is None:
            raise errors[0]

    async def _run(self, period, call):
        while True:
            await self._sleep(self._compute_wait(period))
            try:
                call(Tick(self.now()))
            except Exception as error:
                if self._on_error is None:
                    raise
                self._report(call, error)

    def _report(self, call, error):
        if self._on_error is not None:
            name = getattr(call, '__qualname__', type(call).__name__)
            self._on_error(name, error)

    def _compute_wait(self, period):
        """Return the seconds until the next multiple of `period`.

        A tick that is run early, by less than EARLY_S, is not repeated.
        """
        passed = self._clock() - self._origin
        due = (math.floor((passed + EARLY_S) / period) + 1) * period
        return due - passed
