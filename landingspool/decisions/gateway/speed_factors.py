"""Estimates how much slower or faster a target is than its peers.

Targets of one service may differ evenly, by less than a failing one does.
Each answer gives the ratio of its time to that of a typical target.  One
target has few answers, so the targets are first judged together: only if their
mean logs differ by more than chance explains do they count as uneven, and each
mean is then drawn towards the median as far as chance may have made it (the
estimate of DerSimonian and Laird, and its shrinkage).  What slows all of them
alike, such as a load or a busy box, cancels out.
"""

import math
import typing

# Half-life in seconds of what is known about one target.  Even differences
# last; shorter ones (seconds) are the business of health.
HALF_LIFE_S = 30.0
# Seconds within which the answers of a target count as one observation, their
# mean: a queue lasts about so long, and all who come meanwhile wait.
BATCH_S = 1.0
# Observations (faded) of a target from which on it is compared, and targets
# of a service that must be comparable.
MIN_OBSERVATIONS = 5.0
MIN_TARGETS = 3
# Largest factor, either way.  A wrong factor then delays a request by no more
# than its own time to a first byte.
MAX_FACTOR = 2.0
MAX_LOG = math.log(MAX_FACTOR)
# Least factor that is acted on, either way: a smaller difference is no longer
# than a trip between domains.
MIN_FACTOR = 1.08
# Standard deviations by which the spread of the targets has to exceed what
# chance gives, by whether they count as uneven already.  Waits of some seconds
# at some engines, all alike, reach three to four.
MIN_EXCESS = {False: 5.0, True: 1.0}
# Lowest variance assumed of the logs of one target's ratios.
MIN_VARIANCE = 0.01


class Evidence(typing.NamedTuple):
    """Observations of one target, faded: how many, and sums of their logs.

    Each is the mean log of the seconds of some answers divided by those that
    the service's line gives.  `squares` is the sum of their squares; `batch`
    has the logs of the newest answers, which began at `begun`.
    """

    name: str
    service: str
    count: float = 0.0
    logs: float = 0.0
    squares: float = 0.0
    at: float = 0.0
    batch: tuple[int, float] = (0, 0.0)
    begun: float = 0.0


class Spread(typing.NamedTuple):
    """How the targets of a service differ.

    Attributes
    ----------
    median : float
        Of the mean logs of all targets.
    variance : float
        Of the logs of one target.
    between : float
        Of the targets' own means, without what chance adds; 0: all alike.
    """

    median: float
    variance: float
    between: float


def fade(evidence, now):
    """Return the evidence as it counts at `now`.

    >>> fade(Evidence('t', 's', 8.0, 2.0, 4.0, 10.0), 40.0)[2:]
    (4.0, 1.0, 2.0, 40.0, (0, 0.0), 0.0)
    """
    share = 0.5 ** (max(now - evidence.at, 0.0) / HALF_LIFE_S)
    return evidence._replace(
        count=evidence.count * share,
        logs=evidence.logs * share,
        squares=evidence.squares * share,
        at=now,
    )


def add_answer(evidence, ratio, now):
    """Return the evidence with one more answer.

    Parameters
    ----------
    ratio : float
        Its seconds, divided by those expected of a typical target.

    >>> evidence = Evidence('t', 's')
    >>> for now in (1.0, 1.1, 2.5):
    ...     evidence = add_answer(evidence, 1.0, now)
    >>> evidence.count, evidence.batch
    (1.0, (1, 0.0))
    """
    log = min(max(math.log(ratio), -MAX_LOG), MAX_LOG)
    count, logs = evidence.batch
    if not count:
        return evidence._replace(batch=(1, log), begun=now)
    if now - evidence.begun < BATCH_S:
        return evidence._replace(batch=(count + 1, logs + log))
    mean, known = logs / count, fade(evidence, now)
    return Evidence(
        known.name,
        known.service,
        known.count + 1.0,
        known.logs + mean,
        known.squares + mean * mean,
        now,
        (1, log),
        now,
    )


def measure_spread(rows, was_uneven):
    """Return the Spread of a service's targets; None if too few are known.

    Parameters
    ----------
    rows : sequence of Evidence
    was_uneven : bool
        Whether the targets count as uneven already.

    >>> rows = [Evidence('t', 's', 50.0, n, n * n / 9) for n in (5.0, 6.0)]
    >>> measure_spread(rows, False) is None
    True
    >>> measure_spread([*rows, rows[1]], False).between
    0.0
    >>> slow = Evidence('t', 's', 50.0, 20.0, 12.0)
    >>> round(measure_spread([*rows, slow], False).between, 2)
    0.03
    """
    known = [row for row in rows if row.count >= MIN_OBSERVATIONS]
    if len(known) < MIN_TARGETS:
        return None
    means = sorted(row.logs / row.count for row in known)
    median = means[(len(means) - 1) // 2]
    count = sum(row.count for row in known)
    within = sum(row.squares - row.logs**2 / row.count for row in known)
    # One degree of freedom of each target is spent on its own mean.
    variance = max(within / (count - len(known)), MIN_VARIANCE)
    mean = sum(row.logs for row in known) / count
    found = sum(
        row.count * (row.logs / row.count - mean) ** 2 for row in known
    )
    # By chance alone, the expected value of found / variance is `free`.
    free = len(known) - 1
    excess = found / variance - free
    if excess < MIN_EXCESS[was_uneven] * math.sqrt(2.0 * free):
        return Spread(median, variance, 0.0)
    squared = sum(row.count**2 for row in known) / count
    return Spread(median, variance, excess * variance / (count - squared))


def estimate_factor(evidence, spread):
    """Return how many times as long as a typical target one takes.

    Parameters
    ----------
    spread : Spread

    Returns
    -------
    float
        1 if the target does not differ enough to be acted on.

    >>> spread = Spread(0.1, 0.16, 0.04)
    >>> slower = Evidence('t', 's', 40.0, 16.0)
    >>> round(estimate_factor(slower, spread), 2)
    1.31
    >>> round(estimate_factor(slower._replace(count=4, logs=1.6), spread), 2)
    1.16
    >>> estimate_factor(slower, spread._replace(between=0.0))
    1.0
    """
    if not evidence.count or not spread.between:
        return 1.0
    chance = spread.variance / evidence.count
    share = spread.between / (spread.between + chance)
    log = (evidence.logs / evidence.count - spread.median) * share
    if abs(log) < math.log(MIN_FACTOR):
        return 1.0
    return min(max(math.exp(log), 1.0 / MAX_FACTOR), MAX_FACTOR)
