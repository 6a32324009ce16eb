"""Who is served while all targets of a service take few requests a second.

Then a box has room for a few requests a second, and far more may come.  What
finds no room is refused at once, and told when there is some: callers are
given one time after the other, as many as there is room for, so that they
don't all come back at once.  The more urgent go first: of the less
urgent as many are served as the others leave room for.
"""

import math
import typing

# Seconds over which the rate of requests is taken: as long as the window in
# which limits count.
RATE_S = 4.0
# Share of the room that the more urgent leave from which on nobody waits for
# them, and the longest pause between two that are served meanwhile, seconds.
NEARLY_ALL = 0.9
MOST_PACE_S = 2 * RATE_S
# Share of the room that is reckoned with at least for those who come last, so
# that they are told a time, too.
LEAST_SHARE = 0.1
# Seconds after which a caller is told to come back at most.
MOST_RETURN_S = 30.0


class Rate(typing.NamedTuple):
    """Requests a second as of `at`, the older ones weighing less."""

    per_s: float
    at: float

    def find(self, now):
        """Give the requests a second as of `now`."""
        return self.per_s * math.exp(-max(now - self.at, 0.0) / RATE_S)


class Scarcity:
    """What one box has to serve, by service and by priority."""

    def __init__(self):
        self._rates = {}
        self._promised = {}
        self._due = {}

    def record(self, service, priority, now):
        """Note that a request has come.

        Parameters
        ----------
        priority : int
            0 is the most urgent.
        """
        rates = self._rates.setdefault(service, {})
        known = rates.get(priority, Rate(0.0, now))
        rates[priority] = Rate(known.find(now) + 1 / RATE_S, now)

    def find_left(self, service, priority, room_per_s, now):
        """Give the room that the more urgent leave, requests a second.

        >>> scarcity = Scarcity()
        >>> for _ in range(8):
        ...     scarcity.record('s', 0, 1.0)
        >>> scarcity.find_left('s', 0, 3.0, 1.0)
        3.0
        >>> scarcity.find_left('s', 2, 3.0, 1.0)
        1.0
        """
        rates = self._rates.get(service, {})
        urgent = sum(
            rate.find(now) for other, rate in rates.items() if other < priority
        )
        return max(room_per_s - urgent, 0.0)

    def take(self, service, priority, room_per_s, now):
        """Tell whether a request may have some of the room.

        The less urgent are paced to what the others leave.  Were they let
        through by chance, too few would come when there is room.

        Parameters
        ----------
        room_per_s : float
            Requests a second that this box may send to targets of the
            service.

        >>> scarcity = Scarcity()
        >>> for _ in range(8):
        ...     scarcity.record('s', 0, 1.0)
        >>> scarcity.take('s', 0, 2.0, 1.0), scarcity.take('s', 2, 2.0, 1.0)
        (True, False)
        >>> [scarcity.take('s', 2, 4.0, at) for at in (1.0, 1.1, 1.2)]
        [True, True, False]
        """
        left = self.find_left(service, priority, room_per_s, now)
        if left >= room_per_s * NEARLY_ALL:
            return True
        due = self._due.get((service, priority), -math.inf)
        if not left or now < due:
            return False
        pace_s = min(1 / left, MOST_PACE_S)
        # One that was not used when it was due may be used a little later.
        self._due[service, priority] = max(due, now - pace_s) + pace_s
        return True

    def promise(self, service, priority, room_per_s, first_s, left_s, now):
        """Give the seconds after which a refused caller finds room.

        Who can't wait for so long takes no room from who comes next.

        Parameters
        ----------
        room_per_s : float
            As in take.
        first_s : float
            Seconds until there is room for a request.
        left_s : float
            Seconds for which the caller waits.

        >>> scarcity = Scarcity()
        >>> [scarcity.promise('s', 0, 2.0, 1.0, 1.6, 10.0) for _ in range(4)]
        [1.0, 1.5, 2.0, 2.0]
        >>> scarcity.promise('s', 0, 2.0, 0.25, 1.0, 20.0)
        0.25
        """
        left = self.find_left(service, priority, room_per_s, now)
        pace_s = 1 / max(left, room_per_s * LEAST_SHARE, 1 / MOST_RETURN_S)
        last = self._promised.get((service, priority), -math.inf)
        at = max(now + first_s, last + pace_s)
        if at <= now + left_s:
            self._promised[service, priority] = at
        return min(at - now, MOST_RETURN_S)
