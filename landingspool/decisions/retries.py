"""Retry budget, circuit breaker and the spread of Retry-After.

Retries are what turns the trouble of one target into that of all, so they
are a bounded share of successful work, and a target that fails is probed
with one request at a time before it gets its load back.
"""

import typing

BUDGET_SHARE = 0.1
BUDGET_BURST = 10.0
FAILURES_TO_OPEN = 3
OPEN_S = 2.0
OPEN_MOST_S = 30.0
LEAST_RETRY_AFTER_S = 1.0
MOST_RETRY_AFTER_S = 30.0
SPREAD = 0.5

CLOSED = 'closed'
OPEN = 'open'
PROBING = 'probing'


class Budget:
    """Retries as a share of successful work.

    >>> budget = Budget(burst=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    >>> for _ in range(10): budget.earn()
    >>> budget.take()
    True
    """

    def __init__(self, share=BUDGET_SHARE, burst=BUDGET_BURST):
        self._share = share
        self._burst = burst
        self._tokens = burst
        self.taken = 0
        self.refused = 0

    def earn(self):
        """Count one success."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self):
        """Take one retry; returns False when the budget is used up."""
        if self._tokens < 1.0 - 1e-9:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.taken += 1
        return True


class Breaker(typing.NamedTuple):
    """State of the breaker of one target; `until` is monotonic seconds."""

    state: str = CLOSED
    failures: int = 0
    until: float = 0.0
    wait: float = OPEN_S


def record_success(breaker, now):
    """Give the breaker after a success: closed."""
    return Breaker()


def record_failure(breaker, now):
    """Give the breaker after a failure.

    >>> breaker = Breaker()
    >>> for _ in range(3): breaker = record_failure(breaker, 10.0)
    >>> breaker.state, breaker.until
    ('open', 12.0)
    """
    failures = breaker.failures + 1
    if breaker.state == PROBING:
        wait = min(breaker.wait * 2, OPEN_MOST_S)
        return Breaker(OPEN, failures, now + wait, wait)
    if breaker.state == CLOSED and failures < FAILURES_TO_OPEN:
        return breaker._replace(failures=failures)
    if breaker.state == OPEN:
        return breaker._replace(failures=failures)
    return Breaker(OPEN, failures, now + breaker.wait, breaker.wait)


def allow(breaker, now, in_flight):
    """Give how many requests a target may have, and the breaker after.

    Returns
    -------
    tuple of (int or None, Breaker)
        None where there is no bound; 1 while it is probed.

    >>> allow(Breaker(OPEN, 3, 12.0), 11.0, 0)[0]
    0
    >>> allow(Breaker(OPEN, 3, 12.0), 12.0, 0)[0]
    1
    """
    if breaker.state == CLOSED:
        return None, breaker
    if breaker.state == OPEN and now < breaker.until:
        return 0, breaker
    # One probe at a time: a second would only add load to a sick target.
    return 1, breaker._replace(state=PROBING)


def spread_retry_after(seconds, rng):
    """Spread the time to come back, so that callers don't return together.

    Parameters
    ----------
    seconds : float
        When there should be room, from now.
    rng : random.Random

    Returns
    -------
    float
        Whole seconds, as the header wants.
    """
    bounded = min(max(seconds, LEAST_RETRY_AFTER_S), MOST_RETRY_AFTER_S)
    spread = bounded * rng.uniform(1 - SPREAD, 1 + SPREAD)
    return float(max(1, round(spread + LEAST_RETRY_AFTER_S)))
