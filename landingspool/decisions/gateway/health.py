"""What requests show of a target's health.

Health answers may be false either way, so a target is judged by what its
requests do: failures in a row take it out for a growing time, after which
one request or probe at a time may prove it well again; slowness is weighed
against its peers.  A request that hears nothing for long counts before its
end: a silent target must not collect more work while the first ones wait.
"""

import typing

# Failures in a row that take a target out; one failure is ordinary (a
# route may have a share of failing requests of its own).
FAILURES_TO_AVOID = 3
# Seconds out after the first time, and at most; a crash lasts seconds.
AVOID_S = 0.5
AVOID_MOST_S = 4.0
# Weight of the newest sample in the moving averages.
SAMPLE_WEIGHT = 0.15
# A target is slow that takes so many times the median of its peers.
SLOW_RATIO = 2.5
# Samples that a target needs before its average is compared with others.
SLOW_LEAST_SAMPLES = 4
# Seconds that the median counts at least: what was expected is taken off the
# waits, so the median may be nothing, or less.
LEAST_MEDIAN_S = 0.005


class Health(typing.NamedTuple):
    """What is known of one target.

    Attributes
    ----------
    failures : int
        Failures in a row.
    avoid_until : float
        Monotonic seconds until which it gets no new work.
    avoid_s : float
        How long it was avoided last.
    wait_s : float
        Moving average of the time to the first byte, less what was
        expected for the request.
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
    """Give the health after an answer.

    Parameters
    ----------
    wait_s : float
        Seconds to the first byte beyond what was expected.
    failed : bool
        Whether it was a failure that another target might not have given.

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
    """Give the health after a request that got no answer.

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
    avoid = min(max(health.avoid_s * 2, AVOID_S), AVOID_MOST_S)
    return health._replace(avoid_s=avoid, avoid_until=now + avoid)


def is_avoided(health, now):
    """Tell whether the target gets no new work at `now`."""
    return now < health.avoid_until


def is_on_trial(health, now):
    """Tell whether the target was avoided and has not answered since."""
    return health.avoid_s > 0 and now >= health.avoid_until


class Peers(typing.NamedTuple):
    """What the targets of one service have in common, for comparing them.

    `median_s` is None where too little is known; `failing` is the least.
    """

    median_s: float | None
    failing: float


def measure_peers(healths):
    """Measure the Peers that some targets make, one at least."""
    known = sorted(
        h.wait_s for h in healths if h.samples >= SLOW_LEAST_SAMPLES
    )
    median = None
    if known:
        median = max(known[(len(known) - 1) // 2], LEAST_MEDIAN_S)
    return Peers(median, min(h.failing for h in healths))


def weigh_slowness(health, peers):
    """Give how many times slower than its peers a target is, 1 at least.

    Parameters
    ----------
    peers : Peers
        Of the same service, this target included.

    >>> fast = Health(wait_s=0.1, samples=9)
    >>> peers = measure_peers([fast, fast])
    >>> weigh_slowness(Health(wait_s=0.8, samples=9), peers)
    8.0
    >>> weigh_slowness(fast, peers)
    1.0
    """
    if health.samples < SLOW_LEAST_SAMPLES or peers.median_s is None:
        return 1.0
    ratio = health.wait_s / peers.median_s
    return round(ratio, 3) if ratio >= SLOW_RATIO else 1.0
