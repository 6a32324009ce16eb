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
