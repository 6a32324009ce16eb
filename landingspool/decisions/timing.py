"""Noticing that this process did not run for a time.

A process may be frozen between deciding and acting.  It beats with its
timer; when the last beat is too long ago at the moment of acting, what was
decided before is thrown away and asked for again.
"""

MOST_SILENCE_S = 0.75


def measure_stall(last, now):
    """Give the seconds for which the process seems not to have run.

    Parameters
    ----------
    last : float or None
        When it is last known to have run; None: it has only begun.

    >>> measure_stall(10.0, 10.2), measure_stall(10.0, 15.25)
    (0.0, 5.25)
    >>> measure_stall(None, 15.0)
    0.0
    """
    if last is None or now - last <= MOST_SILENCE_S:
        return 0.0
    return now - last


class Heartbeat:
    """The last time at which the timer is known to have run.

    >>> beat = Heartbeat()
    >>> beat.record(10.0)
    >>> beat.is_fresh(10.2), beat.is_fresh(14.0)
    (True, False)
    """

    def __init__(self):
        self._last = None

    def record(self, now):
        """Note that the timer runs at `now`."""
        self._last = now

    def is_fresh(self, now):
        """Tell whether the timer ran shortly before `now`."""
        return not measure_stall(self._last, now)
