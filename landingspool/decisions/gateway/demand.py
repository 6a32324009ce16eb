"""Describes what a request asks of admission, in one record.

Admission of engines and of plain services, the queue of those that wait and
the times to retry all order requests by it.  So urgency, the workspace's use,
the time left and the size are separate values: none of them stands for
another.
"""

import typing

from landingspool.decisions.gateway import prompts


class Demand(typing.NamedTuple):
    """What admission needs to know of one request.

    Attributes
    ----------
    priority : int
        Priority in force, the workspace's or else the route's; 0 is the most
        urgent.
    route_priority : int
        Priority of the route, which orders the requests of workspaces of the
        same priority.
    excess : float
        How far its workspace is above its share of what is served; 0.0 if it
        is at or under its share.
    left_s : float
        Seconds for which the caller still waits.
    returns : bool
        Whether the caller was refused before and has waited since.
    read_tokens : int
        Prompt tokens that a target would read; 0 for plain services.
    chance : float
        Uniform between 0 and 1, drawn once for each request: who waits
        gets no further draw.
    """

    priority: int
    route_priority: int = 0
    excess: float = 0.0
    left_s: float = 0.0
    returns: bool = False
    read_tokens: int = 0
    chance: float = 0.0


def find_priority(work):
    """Return the priority of a request's workspace, or else of its route.

    Parameters
    ----------
    work : plans.Work
    """
    tenancy = work.tenancy
    if tenancy is not None and tenancy.priority is not None:
        return tenancy.priority
    return work.route.priority


def make_demand(work, left_s, returns, chance, excess=0.0):
    """Return the Demand of a request before its target is known.

    Its size is that of the whole prompt; a plan may lower it to what the
    target has to read.
    """
    tokens = 0 if work.prompt is None else prompts.count_read(work.prompt, 0)
    return Demand(
        find_priority(work),
        work.route.priority,
        excess,
        left_s,
        returns,
        tokens,
        chance,
    )


def rank(demand, deadline):
    """Return the key by which requests are ordered, the first one lowest.

    Urgency comes first, then callers that return, then workspaces at or under
    their share, then the earliest deadline.

    Parameters
    ----------
    deadline : float

    >>> new, back = Demand(1), Demand(1, returns=True)
    >>> sorted([rank(new, 1.0), rank(back, 2.0), rank(Demand(0), 3.0)])[0]
    (0, 0, True, 0.0, 3.0)
    >>> rank(back, 2.0) < rank(new, 1.0)
    True
    >>> rank(new, 2.0) < rank(Demand(1, excess=0.5), 1.0)
    True
    """
    urgency = demand.priority, demand.route_priority
    return *urgency, not demand.returns, demand.excess, deadline


def is_as_urgent(demand, other):
    """Return whether two requests have the same priorities."""
    return (demand.priority, demand.route_priority) == (
        other.priority,
        other.route_priority,
    )
