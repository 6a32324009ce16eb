"""Divides scarce capacity max-min fairly among workspaces, in pure arithmetic.

Workspaces that ask for less than their fair share get all of it, and what they
leave is divided among the others.  The highest amount that a workspace of
weight 1 gets is the level.
"""

import math
import typing

# Share of the usual admissions that a workspace keeps however much it asks
# for: a large one has as many callers waiting for each answer, and must not be
# served much less often than all.
MIN_ADMITTED = 0.5
# Range of the factor by which admissions are corrected if a workspace was
# served more or less than its fair share: its requests may be more urgent than
# others, or be refused for another reason.
CORRECTIONS = 0.5, 1.5
# Steps of the refused share for which the level is computed and cached.
LEVEL_STEPS = 25
# Iterations to find a level: it is then exact to a thousandth.
LEVEL_ITERATIONS = 16
# Highest ratio of what a workspace asks for to what it is due.
MAX_RATIO = 1000.0


class Demands(typing.NamedTuple):
    """What workspaces ask of one service, as of `at`.

    Attributes
    ----------
    usage : dict of int to workspace_usage.Usage
        By the hash of the workspace.
    weights : dict of int to float
        Likewise; 1 if a workspace isn't in it.
    asked, served : float
        Totals.
    levels : dict of int to float
        Levels computed so far, by the step of the refused share.
    """

    usage: dict
    weights: dict
    asked: float
    served: float
    levels: dict
    at: float


def make_demands(usage, weights, now):
    """Return the Demands of a service from the usage of its workspaces."""
    asked = sum(row.asked for row in usage.values())
    served = sum(row.served for row in usage.values())
    return Demands(usage, weights, asked, served, {}, now)


def compute_admitted(asked, weight, level, refused):
    """Return the share of a workspace's requests that is admitted.

    Parameters
    ----------
    asked : float
    weight : float
    level : float
        What a workspace of weight 1 gets at most.
    refused : float
        Share of all requests that is refused.

    >>> compute_admitted(50.0, 1.0, 100.0, 0.2)
    1.0
    >>> compute_admitted(200.0, 1.0, 100.0, 0.2)
    0.5
    >>> compute_admitted(9000.0, 1.0, 100.0, 0.2)
    0.4
    """
    if asked <= 0:
        return 1.0
    fair = min(level * weight / asked, 1.0)
    return max(fair, (1.0 - refused) * MIN_ADMITTED)


def compute_level(demands, refused):
    """Return the level at which the given share of all requests is refused.

    >>> from landingspool.decisions.gateway import workspace_usage
    >>> usage = {
    ...     1: workspace_usage.Usage(60.0, 60.0, 0.0),
    ...     2: workspace_usage.Usage(20.0, 20.0, 0.0),
    ...     3: workspace_usage.Usage(20.0, 20.0, 0.0),
    ... }
    >>> round(compute_level(make_demands(usage, {}, 0.0), 0.2))
    40
    """
    wanted = demands.asked * (1.0 - refused)
    rows = [
        (row.asked, demands.weights.get(key, 1.0))
        for key, row in demands.usage.items()
    ]
    low, high = 0.0, max((asked / w for asked, w in rows), default=0.0)
    for _ in range(LEVEL_ITERATIONS):
        level = (low + high) / 2
        admitted = sum(
            asked * compute_admitted(asked, weight, level, refused)
            for asked, weight in rows
        )
        low, high = (level, high) if admitted < wanted else (low, level)
    return high


def find_admitted(demands, workspace, step):
    """Return the share of a workspace's requests that should be admitted.

    Parameters
    ----------
    demands : Demands
    workspace : int
        Hash of its name.
    step : int
        Of LEVEL_STEPS, the share of all requests that is refused.
    """
    row = demands.usage.get(workspace)
    if row is None:
        return 1.0
    refused = step / LEVEL_STEPS
    if step not in demands.levels:
        demands.levels[step] = compute_level(demands, refused)
    weight = demands.weights.get(workspace, 1.0)
    return compute_admitted(row.asked, weight, demands.levels[step], refused)


def find_due(demands, workspace):
    """Return the share of its requests that a workspace was due lately.

    It is that of what all workspaces were served.
    """
    if demands.asked <= 0:
        return 1.0
    refused = 1.0 - demands.served / demands.asked
    step = int(refused * LEVEL_STEPS)
    return find_admitted(demands, workspace, step) if step > 0 else 1.0


def compute_correction(demands, workspace):
    """Return the factor by which admissions of a workspace are corrected.

    It compares what the workspace was served with what it was due.
    """
    row = demands.usage.get(workspace)
    if row is None or row.served <= 0:
        return 1.0
    due = row.asked * find_due(demands, workspace)
    lowest, highest = CORRECTIONS
    return min(max(due / row.served, lowest), highest)


def compute_excess(demands, workspace):
    """Return how far a workspace asks for more than it was due lately.

    Returns
    -------
    float
        0 at or under its fair share, 1 at twice the share.
    """
    return 1.0 / max(find_due(demands, workspace), 1 / MAX_RATIO) - 1.0


def spread_refused(demands, workspace, refused):
    """Return the share of a workspace's requests that is refused.

    Over all workspaces the share remains as it is.

    Parameters
    ----------
    demands : Demands
    workspace : int
        Hash of its name.
    refused : float
        Share of all requests that is refused.
    """
    if not 0.0 < refused < 1.0:
        return refused
    step = math.ceil(refused * LEVEL_STEPS)
    admitted = find_admitted(demands, workspace, step)
    if admitted >= 1.0:
        return 0.0
    admitted *= compute_correction(demands, workspace)
    least = (1.0 - refused) * MIN_ADMITTED
    admitted = min(max(admitted, least), 1.0)
    return (1.0 - admitted) * refused * LEVEL_STEPS / step
