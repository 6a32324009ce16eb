"""Decides which requests are sent where callers compete for room.

The load it answers: bursts in which engines get half as much again as they can
serve in time, while the most urgent requests are also the largest ones.  Who
waits how long follows from what its caller loses.  The most urgent requests
may use their whole latency objective; less urgent ones must not let an engine
fill up beyond what the urgent ones can wait for.  A large request is refused
for its size only if it delays more urgent ones, and only by that delay.
"""

import collections
import typing

# Share of their latency objective that the most urgent requests of a service
# may be expected to wait.  Above the objective, since engines begin them
# before the less urgent ones that the estimate counts as well.
URGENT_WAIT_SHARE = 1.2
# The same for less urgent requests, by the steps that they are behind: the
# later part of the objective is for their own answer, or to come
# back after a refusal.
WAIT_SHARES = 0.6, 0.4
# Share of its latency objective in which a request to a plain service has to
# be answered, as far as known: the other part is for its way, and for what
# peers have sent since.
ANSWER_SHARE = 0.8
# Least share of its own objective that any request may be expected to wait:
# however large it is, it is served by engines that have little to do.
MIN_WAIT_SHARE = 0.1


class Urgent(typing.NamedTuple):
    """The most urgent routes of a service, and what workspaces it has.

    Attributes
    ----------
    priority : int
        Lowest number among the priorities of the routes.
    objective_s : float
        The shortest latency objective among routes of that priority.
    workspace : int or None
        Priority that most workspaces have; None if most have none.
    """

    priority: int
    objective_s: float
    workspace: int | None = None


class Urgency:
    """The Urgent of each service of the table in force."""

    def __init__(self):
        self._table = None
        self._found = {}

    def find(self, table, service):
        """Return the Urgent of a service; None if no route leads to it."""
        if table is not self._table:
            self._table = table
            self._found = {}
        if service not in self._found:
            self._found[service] = find_urgent(table, service)
        return self._found[service]


def find_urgent(table, service):
    """Return the Urgent of a service; None if no route leads to it.

    Parameters
    ----------
    table : routes.Table
    """
    found = [
        Urgent(route.priority, route.target_latency_s)
        for rows in table.hosts.values()
        for route in rows
        if any(share.service == service for share in route.shares)
    ]
    if not found:
        return None
    workspaces = {tenancy.name: tenancy for tenancy in table.keys.values()}
    counts = collections.Counter(w.priority for w in workspaces.values())
    usual = counts.most_common(1)[0][0] if counts else None
    return min(found)._replace(workspace=usual)


def count_steps(demand, urgent):
    """Return how many steps a request is behind the most urgent ones.

    Most workspaces have the same priority; among their requests the route's
    counts.  Those of a more urgent workspace are all among the most urgent,
    and those of a less urgent one among the least.

    >>> from landingspool.decisions.gateway import demand as d
    >>> urgent = Urgent(0, 0.5, workspace=1)
    >>> asked = d.Demand(1, 0), d.Demand(1, 2), d.Demand(0, 2), d.Demand(3, 0)
    >>> [count_steps(demand, urgent) for demand in asked]
    [0, 2, 0, 2]
    >>> count_steps(d.Demand(1, 2), Urgent(0, 0.5))
    1
    """
    last = len(WAIT_SHARES)
    if urgent.workspace is None:
        return min(max(demand.priority - urgent.priority, 0), last)
    if demand.priority != urgent.workspace:
        return 0 if demand.priority < urgent.workspace else last
    return min(max(demand.route_priority - urgent.priority, 0), last)


def compute_wait_limit(steps, objective_s, urgent, read_s):
    """Return the longest expected wait with which a request is admitted.

    Parameters
    ----------
    steps : int
        As count_steps returns.
    objective_s : float
        Latency objective of its route.
    urgent : Urgent
        The most urgent routes of its service.
    read_s : float
        Seconds that the engine reads its prompt, which delays others.

    Returns
    -------
    float
        Seconds.

    >>> urgent = Urgent(0, 0.5)
    >>> compute_wait_limit(0, 0.5, urgent, 0.1)
    0.6
    >>> round(compute_wait_limit(2, 1.5, urgent, 0.02), 2)
    0.48
    >>> round(compute_wait_limit(1, 0.5, urgent, 0.3), 2)
    0.05
    """
    if not steps:
        return objective_s * URGENT_WAIT_SHARE
    share = WAIT_SHARES[steps - 1]
    limit_s = min(objective_s * share, urgent.objective_s) - read_s
    return max(limit_s, objective_s * MIN_WAIT_SHARE)


def compute_chance(demand):
    """Return the chance by which a request is refused as room fills up.

    Callers that return are drawn from the upper half: most of them are refused
    after the others of their priority, but not all are sent, which would keep
    the engines over their capacity.

    >>> from landingspool.decisions.gateway import demand as d
    >>> compute_chance(d.Demand(1, chance=0.4))
    0.4
    >>> compute_chance(d.Demand(1, chance=0.4, returns=True))
    0.7
    """
    return (1.0 + demand.chance) / 2 if demand.returns else demand.chance


def is_admitted(demand, wait_s, limit_s, refused):
    """Return whether a request is sent to an engine.

    Parameters
    ----------
    demand : demand.Demand
    wait_s : float
        Expected wait at the planned engine.
    limit_s : float
        As compute_wait_limit returns.
    refused : sequence of float
        Shares of such requests that are refused for want of slots, and of
        memory.

    >>> from landingspool.decisions.gateway import demand as d
    >>> asked = d.Demand(1, 2, chance=0.5)
    >>> is_admitted(asked, 0.1, 0.6, [0.6, -2.0])
    False
    >>> is_admitted(asked._replace(returns=True), 0.1, 0.6, [0.6, -2.0])
    True
    """
    return wait_s <= limit_s and compute_chance(demand) >= max(refused)
