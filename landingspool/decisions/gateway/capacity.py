"""The room that limits and rests leave a box at the targets of a service.

It matters where all targets of a service name limits: then it says who may
have some of it.  Where none may get a request it says when who gets none
should come back.
"""

from landingspool.decisions.gateway import limits as limits_module
from landingspool.decisions.gateway import pacing

# Requests a second that a box sends to a target after its rest, at least: one
# at a time goes there until the first is answered.
RESTED_PER_S = 1.0


class FreeCapacity:
    """What this box may send to targets with limits.

    Parameters
    ----------
    fleet : fleet.Fleet
    bars : bars.Exclusions
    """

    def __init__(self, fleet, bars):
        self._fleet = fleet
        self._bars = bars
        self._scarcity = pacing.Scarcity()

    def record(self, work, now):
        """Note that a request has come."""
        self._scarcity.record(work.service, work.route.priority, now)

    def take(self, work, table, now):
        """Tell whether a request may have some of the room that is scarce."""
        limits = self._bars.get_requirements(work, table)
        known = self._fleet.list_service(work.service)
        entries = self._bars.list_limited(known, limits, now)
        room_per_s = self._measure(entries, now)
        return self._scarcity.take(
            work.service, work.route.priority, room_per_s, now
        )

    def compute_retry_after(self, work, table, left_s, now):
        """Give the seconds after which a refused caller finds room.

        The first rest or limit to end says when, and the callers of this box
        are given one time after the other from then on, the urgent first.
        A box without permits of its own can't know when other boxes have room:
        half of all permits are free again by half a window.

        Parameters
        ----------
        left_s : float
            Seconds for which the caller waits.
        """
        limits = self._bars.get_requirements(work, table)
        known = self._fleet.list_service(work.service)
        entries = self._bars.list_passing(known, limits, now)
        room_per_s = self._measure(entries, now)
        wait_s = self._find_wait(entries, now)
        if wait_s is None:
            room_per_s = self._measure_even(entries)
            wait_s = limits_module.WINDOW_S / 2
        return self._scarcity.promise(
            work.service, work.route.priority, room_per_s, wait_s, left_s, now
        )

    def _measure(self, entries, now):
        """Give the requests a second that this box may send to targets."""
        return sum(self._measure_one(entry, now) for entry in entries)

    def _measure_one(self, entry, now):
        limits = self._bars.limits
        if limits.find(entry.name) is not None:
            return limits.find_room(entry.name, now)
        # A part of its places, each of which serves one a second and more.
        boxes = max(self._bars.shares.count_boxes(), 1)
        return max(entry.slots / boxes, RESTED_PER_S)

    def _measure_even(self, entries):
        """Give an even part for each box of what targets take."""
        names = [entry.name for entry in entries]
        named = self._bars.limits.list_named(names).values()
        boxes = max(self._bars.shares.count_boxes(), 1)
        return sum(known.per_s for known in named) / boxes

    def _find_wait(self, entries, now):
        """Give the seconds until one may get a request; None: no permit."""
        waits = [self._bars.find_wait(entry.name, now) for entry in entries]
        return min((wait for wait in waits if wait is not None), default=None)
