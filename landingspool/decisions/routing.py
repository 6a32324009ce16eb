"""Which target runs a request: registered policies, one function each.

A policy gets the request, a view of each target that could take it and a
`Turn` with what it may remember, and returns the chosen view.  All of them
were measured on the same load; docs/design.md has the figures.
"""

import itertools
import random
import typing

POLICIES = {}
UNKNOWN_SLOWNESS = 1.0


class View(typing.NamedTuple):
    """One target as the scheduler knows it now.

    Attributes
    ----------
    target : str
    free : int
        Places that are left after all that was granted.
    reported : int
        Requests running in its last load report, which lags.
    in_flight : int
        Requests that this scheduler gave it and has not got back.
    backlog : float
        Prompt tokens before it, corrected by what was granted since the
        report.
    prefill : float
        Prompt tokens a second.
    cached : int
        Prompt tokens of this request that it probably has in its cache.
    fetchable : int
        Prompt tokens beyond those that a store has.
    fetch_s : float
        Seconds to fetch them, with the price of the link.
    slowness : float
        Measured time to first token over the expected one.
    """

    target: str
    free: int
    reported: int
    in_flight: int
    backlog: float
    prefill: float
    cached: int
    fetchable: int
    fetch_s: float
    slowness: float = UNKNOWN_SLOWNESS


class Turn:
    """What the policies may remember between two choices."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.count = itertools.count()


def policy(name):
    """Register a routing policy under `name`."""

    def add(function):
        POLICIES[name] = function
        return function

    return add


def wants_fetch(work, view):
    """Tell whether fetching beats computing the context again.

    >>> view = View('t', 1, 0, 0, 0.0, 1000.0, 0, 2000, 0.5)
    >>> wants_fetch(None, view), wants_fetch(None, view._replace(fetch_s=3.0))
    (True, False)
    """
    if not view.fetchable:
        return False
    return view.fetch_s < view.fetchable / view.prefill


def estimate_first_token(work, view):
    """Estimate the seconds to the first token at a target."""
    compute = max(work.prompt_tokens - view.cached, 0)
    fetch_s = 0.0
    if wants_fetch(work, view):
        compute = max(compute - view.fetchable, 0)
        fetch_s = view.fetch_s
    work_s = (view.backlog + compute) / view.prefill
    return work_s * view.slowness + fetch_s


@policy('round_robin')
def choose_round_robin(work, views, turn):
    """Take the targets in turn, whatever their load."""
    return views[next(turn.count) % len(views)]


@policy('least_loaded')
def choose_least_loaded(work, views, turn):
    """Take the target with the lowest reported load; reports lag."""
    return min(views, key=lambda view: (view.reported, view.target))


@policy('two_choices')
def choose_two(work, views, turn):
    """Take the less loaded of two random targets.

    Source: Mitzenmacher, "The power of two choices in randomized load
    balancing", 2001.
    """
    pair = turn.rng.sample(views, min(2, len(views)))
    return min(pair, key=lambda view: view.reported)


@policy('affinity')
def choose_affinity(work, views, turn):
    """Take the target that has most of the prompt in its cache."""
    return min(views, key=lambda view: (-view.cached, view.in_flight))


@policy('earliest')
def choose_earliest(work, views, turn):
    """Take the target with the earliest expected first token."""

    def rank(view):
        first = estimate_first_token(work, view)
        return first, view.in_flight, view.target

    return min(views, key=rank)


def choose(name, work, views, turn):
    """Choose a target by the policy `name`.

    Parameters
    ----------
    name : str
    work : records.Work
    views : sequence of View
        The targets that may take the request.
    turn : Turn

    Returns
    -------
    View or None
        None where no target has a free place that the request may use.
    """
    usable = [view for view in views if view.free > 0]
    preferred = [view for view in usable if view.target not in work.avoid]
    if not usable:
        return None
    # A target that failed the request before is taken again rather than
    # none at all: it may be the only one of its model.
    return POLICIES[name](work, preferred or usable, turn)
