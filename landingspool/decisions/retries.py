"""Retry budget, circuit breaker and jitter of Retry-After.

Retries can spread the overload of one target to all others.  They are
therefore limited to a share of the successful requests, and a failing target
is probed with one request at a time before it receives its full load again.
"""

import typing

BUDGET_SHARE = 0.1
BUDGET_BURST = 10.0
FAILURES_TO_OPEN = 3
INITIAL_OPEN_S = 2.0
MAX_OPEN_S = 30.0
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
RETRY_AFTER_JITTER = 0.5

CLOSED = 'closed'
OPEN = 'open'
PROBING = 'probing'


class Budget:
    """Retry budget that grows with the number of successful requests.

    Parameters
    ----------
    share : float
        Retries earned by each success.
    burst : float
        Maximum number of retries that can be saved up.

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
        """Take one retry; return False if the budget is exhausted."""
        if self._tokens < 1.0 - 1e-9:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.taken += 1
        return True


class Breaker(typing.NamedTuple):
    """State of the circuit breaker of one target.

    Attributes
    ----------
    state : str
        ``closed``, ``open`` or ``probing``.
    failures : int
        Consecutive failures.
    until : float
        Monotonic time in seconds until which an open breaker refuses.
    wait : float
        Seconds for which the breaker opens; doubled when a probe fails.
    """

    state: str = CLOSED
    failures: int = 0
    until: float = 0.0
    wait: float = INITIAL_OPEN_S


def record_success(breaker, now):
    """Return the breaker after a success, which closes it."""
    return Breaker()


def record_failure(breaker, now):
    """Return the breaker after a failure.

    >>> breaker = Breaker()
    >>> for _ in range(3): breaker = record_failure(breaker, 10.0)
    >>> breaker.state, breaker.until
    ('open', 12.0)
    """
    failures = breaker.failures + 1
    if breaker.state == PROBING:
        wait = min(breaker.wait * 2, MAX_OPEN_S)
        return Breaker(OPEN, failures, now + wait, wait)
    if breaker.state == CLOSED and failures < FAILURES_TO_OPEN:
        return breaker._replace(failures=failures)
    if breaker.state == OPEN:
        return breaker._replace(failures=failures)
    return Breaker(OPEN, failures, now + breaker.wait, breaker.wait)


def allow(breaker, now, in_flight):
    """Return the number of requests a target may have, and its breaker.

    Returns
    -------
    tuple of (int or None, Breaker)
        None if there is no limit, 1 while the target is probed.

    >>> allow(Breaker(OPEN, 3, 12.0), 11.0, 0)[0]
    0
    >>> allow(Breaker(OPEN, 3, 12.0), 12.0, 0)[0]
    1
    """
    if breaker.state == CLOSED:
        return None, breaker
    if breaker.state == OPEN and now < breaker.until:
        return 0, breaker
    # One probe at a time: a second would only add load to a failing target.
    return 1, breaker._replace(state=PROBING)


def spread_retry_after(seconds, rng):
    """Add jitter to a retry delay, so that callers don't retry together.

    Parameters
    ----------
    seconds : float
        Expected time until there is free capacity.
    rng : random.Random

    Returns
    -------
    float
        Whole seconds, as the Retry-After header requires.
    """
    bounded = min(max(seconds, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    spread = bounded * rng.uniform(
        1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER
    )
    return float(max(1, round(spread + MIN_RETRY_AFTER_S)))
