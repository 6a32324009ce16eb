"""Noticing that this process did not run for a time.

A process may be frozen between deciding and acting.  It beats with its
timer; when the last beat is too long ago at the moment of acting, what was
decided before is thrown away and asked for again.
"""

MOST_SILENCE_S = 0.75


class Beat:
    """The last time at which the timer is known to have run.

    >>> beat = Beat()
    >>> beat.note(10.0)
    >>> beat.is_fresh(10.2), beat.is_fresh(14.0)
    (True, False)
    """

    def __init__(self):
        self._last = None

    def note(self, now):
        """Note that the timer runs at `now`."""
        self._last = now

    def is_fresh(self, now):
        """Tell whether the timer ran shortly before `now`."""
        return self._last is None or now - self._last <= MOST_SILENCE_S
