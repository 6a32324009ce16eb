"""Orders the requests that wait in one box for room at a service.

A burst lasts longer than a caller can wait unseen, so only few wait, and not
for long: an eighth of the route's latency objective, which costs its caller
nothing.  More urgent requests go first, then callers that return, then those
whose deadline is nearest.
"""

import bisect
import typing

from landingspool.decisions.gateway import demand as demand_module

# Share of its latency objective for which a request waits at most.
WAIT_SHARE = 0.125
# Requests of one service that wait in one box at most.  As many as a box gets
# in the time for which one of them waits.
MAX_WAITING = 12


class Waiter(typing.NamedTuple):
    """One request that waits.

    Attributes
    ----------
    key : tuple
        Its rank, as demand.rank returns, and then its number, which keeps
        those of equal rank in the order of their arrival.
    request : hashable
    demand : demand.Demand
    until : float
        When it is refused if there was no room.
    """

    key: tuple
    request: typing.Hashable
    demand: demand_module.Demand
    until: float


class Waiting:
    """The requests of one box that wait, by service."""

    def __init__(self):
        self._waiters = {}
        self._numbers = 0

    def put(self, service, request, demand, deadline, until):
        """Add a request; return the Waiter that has no place, if any.

        If the queue is full the last in the order has no place, which may be
        the new one.

        Parameters
        ----------
        request : hashable
            Identifies it.
        demand : demand.Demand
        deadline : float
            When its caller gives up.
        until : float
            When it is refused if there was no room.

        >>> waiting = Waiting()
        >>> Demand = demand_module.Demand
        >>> for n in range(MAX_WAITING):
        ...     assert waiting.put('s', n, Demand(2), 9.0 + n, 2.0) is None
        >>> waiting.put('s', 'late', Demand(2), 99.0, 2.0).request
        'late'
        >>> waiting.put('s', 'urgent', Demand(0), 99.0, 2.0).request
        11
        >>> waiting.take_first('s').request, waiting.take_first('s').request
        ('urgent', 0)
        """
        self._numbers += 1
        key = *demand_module.rank(demand, deadline), self._numbers
        rows = self._waiters.setdefault(service, [])
        bisect.insort(rows, Waiter(key, request, demand, until))
        return rows.pop() if len(rows) > MAX_WAITING else None

    def remove(self, service, request):
        """Remove a request; return whether it was waiting."""
        rows = self._waiters.get(service, ())
        for place, waiter in enumerate(rows):
            if waiter.request is request:
                del rows[place]
                return True
        return False

    def take_first(self, service):
        """Remove and return the first Waiter, or None."""
        rows = self._waiters.get(service)
        return rows.pop(0) if rows else None

    def take_before(self, service, demand):
        """Remove and return the Waiter that a new request lets go first.

        That is one of the same priority: others have bounds of their own, by
        which room for one need not be room for the other.  A caller that
        returns lets only such callers go first.
        """
        for waiter in self._waiters.get(service, ()):
            if not demand_module.is_as_urgent(waiter.demand, demand):
                continue
            if demand.returns and not waiter.demand.returns:
                return None
            self.remove(service, waiter.request)
            return waiter
        return None

    def count(self, service):
        """Count the requests that wait for a service."""
        return len(self._waiters.get(service, ()))

    def count_all(self):
        """Count all requests that wait."""
        return sum(map(len, self._waiters.values()))

    def list_services(self):
        """List the services for which requests wait."""
        return [service for service, rows in self._waiters.items() if rows]

    def take_all(self):
        """Remove and return all: a planned stop or a stall has begun."""
        rows = [w for known in self._waiters.values() for w in known]
        self._waiters.clear()
        return rows


def compute_wait_s(objective_s, left_s):
    """Return the seconds for which a request may wait for room.

    >>> compute_wait_s(0.4, 9.0), compute_wait_s(0.4, 0.02)
    (0.05, 0.01)
    """
    return min(objective_s * WAIT_SHARE, left_s / 2)
