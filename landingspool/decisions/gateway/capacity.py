"""Computes the request rate that limits and back-offs of targets leave a box.

This rate is needed if all targets of a service advertise limits: requests are
then admitted only as far as it allows.  If no target may get a request, the
rate determines when refused callers should retry.
"""

from landingspool.decisions.gateway import limits as limits_module
from landingspool.decisions.gateway import pacing

# Minimum rate in requests a second to a target after its back-off: one request
# at a time is sent until the first is answered.
AFTER_BACKOFF_PER_S = 1.0


class FreeCapacity:
    """What this box may send to targets with limits.

    Parameters
    ----------
    fleet : fleet.Fleet
    exclusions : exclusions.Exclusions
    """

    def __init__(self, fleet, exclusions):
        self._fleet = fleet
        self._exclusions = exclusions
        self._pacer = pacing.Pacer()

    def record(self, work, now):
        """Record that a request has arrived."""
        self._pacer.record(work.service, work.route.priority, now)

    def take(self, work, table, now):
        """Return whether a request may use some of the scarce capacity."""
        requirements = self._exclusions.get_requirements(work, table)
        known = self._fleet.list_service(work.service)
        entries = self._exclusions.list_limited(known, requirements, now)
        free_per_s = self._sum_capacity(entries, now)
        return self._pacer.take(
            work.service, work.route.priority, free_per_s, now
        )

    def compute_retry_after(self, work, table, left_s, now):
        """Return the seconds after which a refused caller should retry.

        The first target that this box may send to again sets the time.  From
        then on the callers of this box are given successive times, more urgent
        priorities first.  A box without permits of its own can't know when
        peers have capacity, and assumes half a window: half of all permits are
        free again by then.

        Parameters
        ----------
        left_s : float
            Seconds for which the caller waits.
        """
        requirements = self._exclusions.get_requirements(work, table)
        known = self._fleet.list_service(work.service)
        entries = self._exclusions.list_temporary(known, requirements, now)
        free_per_s = self._sum_capacity(entries, now)
        wait_s = self._compute_wait(entries, now)
        if wait_s is None:
            free_per_s = self._get_even_share(entries)
            wait_s = limits_module.WINDOW_S / 2
        return self._pacer.compute_retry_after(
            work.service, work.route.priority, free_per_s, wait_s, left_s, now
        )

    def pace_return(self, service, priority, per_s, first_s, left_s, now):
        """Return the seconds after which a refused caller should retry.

        Where room is short, refused callers are given successive times like
        those that a limit refuses; the parameters are those of
        pacing.Pacer.compute_retry_after.
        """
        return self._pacer.compute_retry_after(
            service, priority, per_s, first_s, left_s, now
        )

    def _sum_capacity(self, entries, now):
        """Return the requests a second that this box may send to targets."""
        return sum(self._get_capacity(entry, now) for entry in entries)

    def _get_capacity(self, entry, now):
        limits = self._exclusions.limits
        if limits.find(entry.name) is not None:
            return limits.find_room(entry.name, now)
        # This box's part of the target's slots, each of which serves at least
        # one request a second.
        boxes = max(self._exclusions.shares.count_boxes(), 1)
        return max(entry.slots / boxes, AFTER_BACKOFF_PER_S)

    def _get_even_share(self, entries):
        """Return an even share for each box of the targets' limits."""
        names = [entry.name for entry in entries]
        named = self._exclusions.limits.list_named(names).values()
        boxes = max(self._exclusions.shares.count_boxes(), 1)
        return sum(known.per_s for known in named) / boxes

    def _compute_wait(self, entries, now):
        """Return the seconds until a request may be sent; None: no permit."""
        waits = [
            self._exclusions.compute_wait(entry.name, now) for entry in entries
        ]
        return min((wait for wait in waits if wait is not None), default=None)
