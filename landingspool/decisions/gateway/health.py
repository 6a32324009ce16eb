"""Estimates the health of targets from the requests sent to them.

Health checks may be wrong either way, so a target is judged by its requests.
Failures in a row exclude it for a growing time, after which one request or
probe at a time may prove its recovery; its slowness is compared with that of
its peers.  A request without any byte for long counts before it ends: a silent
target must not get more work while the first requests wait.
"""

import typing

# Failures in a row that exclude a target; a single one is ordinary (a route
# may have a share of failing requests of its own).
FAILURES_TO_AVOID = 3
# Seconds of exclusion, the first time and at most; a crash takes seconds.
AVOID_S = 0.5
MAX_AVOID_S = 4.0
# Weight of the newest sample in the moving averages.
SAMPLE_WEIGHT = 0.15
# Ratio to the median of its peers from which on a target counts as slow.
SLOW_RATIO = 2.5
# Samples that a target needs before its average is compared with others.
MIN_SLOW_SAMPLES = 4
# Lowest median in seconds: the expected time is subtracted from waits, so the
# median may be zero or negative.
MIN_MEDIAN_S = 0.005


class Health(typing.NamedTuple):
    """Health of one target.

    Attributes
    ----------
    failures : int
        Failures in a row.
    avoid_until : float
        Monotonic seconds until which it gets no new work.
    avoid_s : float
        Length of its last exclusion in seconds.
    wait_s : float
        Moving average of the seconds to the first byte beyond those expected.
    samples : int
    failing : float
        Moving average of the share of requests that failed.
    """

    failures: int = 0
    avoid_until: float = 0.0
    avoid_s: float = 0.0
    wait_s: float = 0.0
    samples: int = 0
    failing: float = 0.0


def record_answer(health, wait_s, failed):
    """Return the health after an answer.

    Parameters
    ----------
    wait_s : float
        Seconds to the first byte beyond those expected.
    failed : bool
        Whether it is a failure that another target might not have returned.

    >>> record_answer(Health(failures=2), 0.1, False).failures
    0
    """
    weight = SAMPLE_WEIGHT if health.samples else 1.0
    failing = health.failing + SAMPLE_WEIGHT * (failed - health.failing)
    wait = health.wait_s + weight * (wait_s - health.wait_s)
    return health._replace(
        failures=health.failures + 1 if failed else 0,
        wait_s=wait,
        samples=health.samples + 1,
        failing=failing,
        avoid_s=health.avoid_s if failed else 0.0,
        avoid_until=health.avoid_until if failed else 0.0,
    )


def record_loss(health, now, certain=False):
    """Return the health after a request without an answer.

    Parameters
    ----------
    certain : bool
        Whether the target can't be reached at all.

    >>> record_loss(Health(), 10.0, certain=True).avoid_until
    10.5
    >>> record_loss(Health(), 10.0).avoid_until
    0.0
    """
    failures = health.failures + 1
    failing = health.failing + SAMPLE_WEIGHT * (1 - health.failing)
    health = health._replace(failures=failures, failing=failing)
    if not certain and failures < FAILURES_TO_AVOID:
        return health
    if now < health.avoid_until:
        return health
    avoid = min(max(health.avoid_s * 2, AVOID_S), MAX_AVOID_S)
    return health._replace(avoid_s=avoid, avoid_until=now + avoid)


def is_avoided(health, now):
    """Return whether the target gets no new work at `now`."""
    return now < health.avoid_until


def is_on_trial(health, now):
    """Return whether the target was avoided and has not answered since."""
    return health.avoid_s > 0 and now >= health.avoid_until


class Peers(typing.NamedTuple):
    """Common values of the targets of one service, for comparison.

    `median_s` is None if too little is known; `failing` is the lowest share.
    """

    median_s: float | None
    failing: float


def measure_peers(healths):
    """Return the Peers of a list of healths, which is not empty."""
    known = sorted(h.wait_s for h in healths if h.samples >= MIN_SLOW_SAMPLES)
    median = None
    if known:
        median = max(known[(len(known) - 1) // 2], MIN_MEDIAN_S)
    return Peers(median, min(h.failing for h in healths))


def compute_slowness(health, peers):
    """Return how many times slower than its peers a target is, at least 1.

    Parameters
    ----------
    peers : Peers
        Peers of the same service, this target included.

    >>> fast = Health(wait_s=0.1, samples=9)
    >>> peers = measure_peers([fast, fast])
    >>> compute_slowness(Health(wait_s=0.8, samples=9), peers)
    8.0
    >>> compute_slowness(fast, peers)
    1.0
    """
    if health.samples < MIN_SLOW_SAMPLES or peers.median_s is None:
        return 1.0
    ratio = health.wait_s / peers.median_s
    return round(ratio, 3) if ratio >= SLOW_RATIO else 1.0
