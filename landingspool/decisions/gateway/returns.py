"""Recognizes callers that return after a refusal.

A caller that returns has a new request id and mostly reaches another box, so
no box can look it up.  But callers state for how long they wait, those of a
route much the same time at first; whoever states less than any of them has
used the remainder.  A box also knows the fingerprints of those that it refused
itself, and when it told them to return.
"""

import bisect
import collections
import typing

from landingspool.decisions.gateway import bounded

# Times left of a route's latest first callers that are kept, and how many are
# needed to tell what is usual.
SAMPLES = 64
MIN_SAMPLES = 16
# Of these, as many may be lower than what counts as usual: callers of another
# kind.
LOWER = 1
# Least share of the lowest usual time that is left to a caller that returns: a
# third is used by each of two times to retry.  Other callers state less.
MIN_LEFT_SHARE = 0.4
# Refused callers that are remembered, and for how long after the time told.
MAX_REFUSED = 512
REMEMBERED_S = 3.0
# Share of the time to retry after which a caller may return: timers of callers
# are not exact.
DUE_SHARE = 0.9


class FirstTimes:
    """The times left that the latest callers of one route stated at first."""

    def __init__(self):
        self._latest = collections.deque()
        self._ordered = []

    def record(self, left_s):
        """Record the time left that a caller states that comes first."""
        self._latest.append(left_s)
        bisect.insort(self._ordered, left_s)
        if len(self._latest) > SAMPLES:
            oldest = bisect.bisect_left(self._ordered, self._latest.popleft())
            del self._ordered[oldest]

    def find_lowest(self):
        """Return the lowest seconds that callers usually state, or None.

        >>> times = FirstTimes()
        >>> for number in range(80):
        ...     times.record(2.5 - number % 10 / 100)
        >>> times.find_lowest()
        2.41
        """
        if len(self._ordered) < MIN_SAMPLES:
            return None
        return self._ordered[LOWER]


class Refused(typing.NamedTuple):
    """When a refused caller may return, and until when that counts."""

    due: float
    until: float


class Returns:
    """What one box knows of callers that return."""

    def __init__(self):
        self._first_times = collections.defaultdict(FirstTimes)
        self._refused = collections.OrderedDict()

    def record_refused(self, fingerprint, after_s, now):
        """Record the time to retry that a refused caller was given."""
        due = now + after_s * DUE_SHARE
        self._refused[fingerprint] = Refused(due, due + REMEMBERED_S)
        self._refused.move_to_end(fingerprint)
        bounded.trim(self._refused, MAX_REFUSED)

    def take(self, route, left_s, fingerprint, is_short, now):
        """Return whether an arriving caller returns after a refusal.

        A caller that returns before the time told is not one that returns: it
        has not waited.

        Parameters
        ----------
        route : str
            Name of the route.
        left_s : float
            Seconds for which the caller waits.
        fingerprint : bytes
        is_short : bool
            Whether requests for the service were refused lately; only while
            there were none, all callers are taken to come first.
        """
        times = self._first_times[route]
        if not is_short:
            times.record(left_s)
        refused = self._refused.get(fingerprint)
        if refused is not None and now < refused.until:
            if now < refused.due:
                return False
            del self._refused[fingerprint]
            return True
        return is_short and has_waited(left_s, times.find_lowest())


def has_waited(left_s, lowest_s):
    """Return whether a caller states less time than is usual at first.

    Parameters
    ----------
    left_s : float
    lowest_s : float or None
        None if it is not known.

    >>> has_waited(2.5, 2.5), has_waited(2.0, 2.5), has_waited(0.5, 2.5)
    (False, True, False)
    >>> has_waited(2.0, None)
    False
    """
    if lowest_s is None:
        return False
    return lowest_s * MIN_LEFT_SHARE <= left_s < lowest_s
