"""Paces requests by priority while all targets of a service are limited.

A box then has capacity for a few requests a second, and far more may arrive.
Requests without capacity are refused at once, with a time to retry: callers
are given successive times at the rate of the capacity, so that they don't all
come back at once.  More urgent priorities go first: a less urgent one gets the
capacity that they leave.
"""

import math
import typing

# Seconds over which the rate of requests is averaged: as long as the window in
# which limits count.
RATE_S = 4.0
# Requests are not paced if more urgent priorities leave at least this share of
# the capacity.  Otherwise MAX_PACE_S is the longest pause, in seconds, between
# two that are served.
UNPACED_SHARE = 0.9
MAX_PACE_S = 2 * RATE_S
# Minimum share of the capacity assumed for the least urgent, so that they are
# given a time to retry, too.
MIN_SHARE = 0.1
# Maximum time to retry that a caller is given, in seconds.
MAX_RETRY_AFTER_S = 30.0


class Rate(typing.NamedTuple):
    """Requests a second as of `at`, with older requests weighing less."""

    per_s: float
    at: float

    def find(self, now):
        """Return the requests a second as of `now`."""
        return self.per_s * math.exp(-max(now - self.at, 0.0) / RATE_S)


class Pacer:
    """The capacity that one box divides, by service and by priority."""

    def __init__(self):
        self._rates = {}
        self._last_returns = {}
        self._due = {}

    def record(self, service, priority, now):
        """Record that a request has arrived.

        Parameters
        ----------
        priority : int
            0 is the most urgent.
        """
        rates = self._rates.setdefault(service, {})
        known = rates.get(priority, Rate(0.0, now))
        rates[priority] = Rate(known.find(now) + 1 / RATE_S, now)

    def compute_left(self, service, priority, free_per_s, now):
        """Return the requests a second that more urgent priorities leave.

        >>> pacer = Pacer()
        >>> for _ in range(8):
        ...     pacer.record('s', 0, 1.0)
        >>> pacer.compute_left('s', 0, 3.0, 1.0)
        3.0
        >>> pacer.compute_left('s', 2, 3.0, 1.0)
        1.0
        """
        rates = self._rates.get(service, {})
        urgent = sum(
            rate.find(now) for other, rate in rates.items() if other < priority
        )
        return max(free_per_s - urgent, 0.0)

    def take(self, service, priority, free_per_s, now):
        """Return whether a request may use some of the capacity.

        Less urgent requests are paced to the capacity that more urgent ones
        leave.
        If they were admitted at random, too few would arrive while there is
        capacity.

        Parameters
        ----------
        free_per_s : float
            Requests a second that this box may send to targets of the service.

        >>> pacer = Pacer()
        >>> for _ in range(8):
        ...     pacer.record('s', 0, 1.0)
        >>> pacer.take('s', 0, 2.0, 1.0), pacer.take('s', 2, 2.0, 1.0)
        (True, False)
        >>> [pacer.take('s', 2, 4.0, at) for at in (1.0, 1.1, 1.2)]
        [True, True, False]
        """
        left = self.compute_left(service, priority, free_per_s, now)
        if left >= free_per_s * UNPACED_SHARE:
            return True
        due = self._due.get((service, priority), -math.inf)
        if not left or now < due:
            return False
        pace_s = min(1 / left, MAX_PACE_S)
        # A slot that was not used when it was due may be used a little later.
        self._due[service, priority] = max(due, now - pace_s) + pace_s
        return True

    def compute_retry_after(
        self, service, priority, free_per_s, first_s, left_s, now
    ):
        """Return the seconds after which a refused caller should retry.

        A caller that can't wait for so long takes no capacity from the next
        one.

        Parameters
        ----------
        free_per_s : float
            As in `take`.
        first_s : float
            Seconds until there is capacity for a request.
        left_s : float
            Seconds for which the caller waits.

        >>> pacer = Pacer()
        >>> retry_after = pacer.compute_retry_after
        >>> [retry_after('s', 0, 2.0, 1.0, 1.6, 10.0) for _ in range(4)]
        [1.0, 1.5, 2.0, 2.0]
        >>> retry_after('s', 0, 2.0, 0.25, 1.0, 20.0)
        0.25
        """
        left = self.compute_left(service, priority, free_per_s, now)
        pace_s = 1 / max(left, free_per_s * MIN_SHARE, 1 / MAX_RETRY_AFTER_S)
        last = self._last_returns.get((service, priority), -math.inf)
        at = max(now + first_s, last + pace_s)
        if at <= now + left_s:
            self._last_returns[service, priority] = at
        return min(at - now, MAX_RETRY_AFTER_S)
