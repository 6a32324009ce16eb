"""Routing policies that choose the target of a request.

A policy is a registered function.  It gets the request, a view of each target
with a free slot and the `PolicyState` kept between decisions, and returns the
chosen view.
"""

import itertools
import random
import typing

POLICIES = {}
UNKNOWN_SLOWNESS = 1.0


class View(typing.NamedTuple):
    """Current state of a target as known to the scheduler.

    Attributes
    ----------
    target : str
    free : int
        Free slots after all grants.
    reported : int
        Running requests in its last load report, which lags.
    in_flight : int
        Requests granted by this scheduler that have not finished.
    backlog : float
        Prompt tokens queued at the target, including those granted since
        the report.
    prefill : float
        Nominal prefill speed in prompt tokens a second.
    cached : int
        Prompt tokens of this request that are probably in its cache.
    fetchable : int
        Further prompt tokens that are available in a store.
    fetch_s : float
        Seconds to fetch them, including the price of the link.
    slowness : float
        Nominal prefill speed over the measured one.
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


class PolicyState:
    """State that the policies keep between decisions."""

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
    """Return whether fetching context is faster than computing it again.

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
def choose_round_robin(work, views, state):
    """Choose the targets in rotation, regardless of their load."""
    return views[next(state.count) % len(views)]


@policy('least_loaded')
def choose_least_loaded(work, views, state):
    """Choose the target with the lowest reported load, which lags."""
    return min(views, key=lambda view: (view.reported, view.target))


@policy('two_choices')
def choose_two(work, views, state):
    """Choose the less loaded of two random targets.

    Source: Mitzenmacher, "The power of two choices in randomized load
    balancing", 2001.
    """
    pair = state.rng.sample(views, min(2, len(views)))
    return min(pair, key=lambda view: view.reported)


@policy('affinity')
def choose_affinity(work, views, state):
    """Choose the target with most of the prompt in its cache."""
    return min(views, key=lambda view: (-view.cached, view.in_flight))


@policy('earliest')
def choose_earliest(work, views, state):
    """Choose the target with the earliest expected first token."""

    def rank(view):
        first = estimate_first_token(work, view)
        return first, view.in_flight, view.target

    return min(views, key=rank)


def choose(name, work, views, state):
    """Choose a target by the policy `name`.

    Parameters
    ----------
    name : str
    work : records.Work
    views : sequence of View
        Targets that may run the request.
    state : PolicyState

    Returns
    -------
    View or None
        None if no target has a free slot.
    """
    usable = [view for view in views if view.free > 0]
    preferred = [view for view in usable if view.target not in work.avoid]
    if not usable:
        return None
    # If only targets that failed the request before are left, one of them
    # is used again: it may be the only target of its model.
    return POLICIES[name](work, preferred or usable, state)
