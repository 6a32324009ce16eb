"""Tracks when requests for a service are refused for want of room.

An operator needs the beginning and the end of a shortage rather than one line
for each refused request.
"""

import typing

# Seconds without a refusal after which a shortage is over: refused callers
# have come back by then.
OVER_S = 3.0


class Shortage(typing.NamedTuple):
    """A period in which a service refused requests for want of room."""

    since: float
    last: float
    refused: int


class Shortages:
    """The shortages of all services, as one box sees them."""

    def __init__(self):
        self._known = {}

    def record(self, service, now):
        """Record a refused request; return whether a shortage begins.

        >>> shortages = Shortages()
        >>> shortages.record('s', 1.0), shortages.record('s', 2.0)
        (True, False)
        >>> shortages.take_over(4.0)
        {}
        >>> shortages.take_over(5.0)
        {'s': Shortage(since=1.0, last=2.0, refused=2)}
        """
        known = self._known.get(service, Shortage(now, now, 0))
        self._known[service] = known._replace(
            last=now, refused=known.refused + 1
        )
        return not known.refused

    def is_short(self, service, now):
        """Return whether a request was refused within OVER_S."""
        known = self._known.get(service)
        return known is not None and now - known.last < OVER_S

    def take_over(self, now):
        """Remove and return the shortages that are over, by service."""
        over = {
            service: known
            for service, known in self._known.items()
            if now - known.last >= OVER_S
        }
        for service in over:
            del self._known[service]
        return over
