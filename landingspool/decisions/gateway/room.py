"""The room that limits leave a box at the targets of a service.

It matters where all targets of a service name limits: then it says who may
have some of it, and when who gets none should come back.
"""

from landingspool.decisions.gateway import limits as limits_module
from landingspool.decisions.gateway import scarcity


class Room:
    """What this box may send to targets with limits.

    Parameters
    ----------
    fleet : fleet.Fleet
    bars : bars.Bars
    """

    def __init__(self, fleet, bars):
        self._fleet = fleet
        self._bars = bars
        self._scarcity = scarcity.Scarcity()

    def note(self, work, now):
        """Note that a request has come."""
        self._scarcity.note(work.service, work.route.priority, now)

    def take(self, work, table, now):
        """Tell whether a request may have some of the room that is scarce."""
        room_per_s = self._measure(self._list_limited(work, table), now)
        return self._scarcity.take(
            work.service, work.route.priority, room_per_s, now
        )

    def find_return(self, work, table, left_s, now):
        """Give the seconds after which a caller refused for limits finds room.

        A box without permits of its own can't know when other boxes have room:
        half of all permits are free again by half a window.

        Parameters
        ----------
        left_s : float
            Seconds for which the caller waits.
        """
        entries = self._list_limited(work, table)
        room_per_s = self._measure(entries, now)
        wait_s = self._find_wait(entries, now)
        if wait_s is None:
            room_per_s = self._measure_even(entries)
            wait_s = limits_module.WINDOW_S / 2
        return self._scarcity.promise(
            work.service, work.route.priority, room_per_s, wait_s, left_s, now
        )

    def _list_limited(self, work, table):
        """List the targets for a request that nothing but limits forbids."""
        limits = self._bars.find_limits(work, table)
        entries = self._fleet.list_service(work.service)
        return self._bars.list_limited(entries, limits)

    def _measure(self, entries, now):
        """Give the requests a second that this box may send to targets."""
        limits = self._bars.limits
        return sum(limits.find_room(entry.name, now) for entry in entries)

    def _measure_even(self, entries):
        """Give an even part for each box of what targets take."""
        names = [entry.name for entry in entries]
        named = self._bars.limits.list_named(names).values()
        boxes = max(self._bars.shares.count_boxes(), 1)
        return sum(known.per_s for known in named) / boxes

    def _find_wait(self, entries, now):
        """Give the seconds until one may get a request; None: no permit."""
        limits = self._bars.limits
        waits = [limits.find_wait(entry.name, now) for entry in entries]
        return min((wait for wait in waits if wait is not None), default=None)
