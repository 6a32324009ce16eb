"""Detection of stalls: periods in which this process did not run.

A process can be suspended between a decision and the action that follows.
Its timer records heartbeats.  If the last heartbeat is too old when the
process acts, earlier decisions are discarded and requested again.
"""

# Seconds between two heartbeats above which the gap counts as a stall.
MAX_SILENCE_S = 0.75


def measure_stall(last, now):
    """Return the length in seconds of a stall that ends now, or 0.

    Parameters
    ----------
    last : float or None
        Monotonic time at which the process last ran, in seconds; None if it
        has just started.
    now : float
        Monotonic time in seconds.

    >>> measure_stall(10.0, 10.2), measure_stall(10.0, 15.25)
    (0.0, 5.25)
    >>> measure_stall(None, 15.0)
    0.0
    """
    if last is None or now - last <= MAX_SILENCE_S:
        return 0.0
    return now - last


class Heartbeat:
    """Time of the last heartbeat of the timer.

    >>> heartbeat = Heartbeat()
    >>> heartbeat.record(10.0)
    >>> heartbeat.is_fresh(10.2), heartbeat.is_fresh(14.0)
    (True, False)
    """

    def __init__(self):
        self._last = None

    def record(self, now):
        """Record that the timer runs at `now`."""
        self._last = now

    def is_fresh(self, now):
        """Return whether the timer ran shortly before `now`."""
        return not measure_stall(self._last, now)


class RunningTime:
    """Time for which this process ran, counted by regular checks.

    A step between two checks counts for one period at most.  In a longer one
    this process did not run for a part of it, and could not notice what other
    processes did, nor did they if the cause was common.

    Parameters
    ----------
    period_s : float
        Period of the checks, in seconds.

    >>> running = RunningTime(0.1)
    >>> [round(running.advance(now), 2) for now in (5.0, 5.1, 8.1, 8.15)]
    [0.0, 0.1, 0.2, 0.25]
    >>> running.restart()
    >>> running.advance(9.0)
    0.0
    """

    def __init__(self, period_s):
        self._period_s = period_s
        self.restart()

    def restart(self):
        """Count from the next check on."""
        self._last = None
        self._seconds = 0.0

    def advance(self, now):
        """Record a check at `now`; return the seconds since the first one."""
        if self._last is not None:
            self._seconds += min(now - self._last, self._period_s)
        self._last = now
        return self._seconds
