"""Tracking of how long a pool has had no usable target.

A scheduler that has just started, or whose process has stalled, has no load
reports or only old ones, even if all targets are healthy, and may not have
received a summary of each other domain.  Requests are then queued for a short
time while the targets are polled.  Otherwise new requests are refused at once,
and queued ones as soon as the shortage has lasted.
"""

from landingspool.decisions import outputs
from landingspool.decisions import pool

# Seconds to wait for load reports of targets and summaries of domains.
SETTLE_S = 1.0


def explain(scheduler, refused, now):
    """Return an event for each request refused for want of a target.

    Parameters
    ----------
    scheduler : scheduler.Scheduler
    refused : list of records.Work
    now : float
        Monotonic seconds.

    Returns
    -------
    list of TimelineEvent
    """
    if not refused:
        return []
    fields = {
        'pool': f'{scheduler.model}@{scheduler.domain}',
        **pool.describe_targets(scheduler.targets.values(), now),
        **scheduler.domains.describe(now),
    }
    return [
        outputs.TimelineEvent('refused', {'request': work.request, **fields})
        for work in refused
    ]


class Shortage:
    """Shortage of usable targets in one pool.

    Parameters
    ----------
    now : float
        Start of the scheduler, in monotonic seconds.
    """

    def __init__(self, now):
        self._settles_until = now + SETTLE_S
        self._since = None

    def resume(self, now):
        """Wait for the targets again after a stall of the process."""
        self._settles_until = now + SETTLE_S

    def is_settling(self, targets, domains, now):
        """Return whether a usable target may still report.

        This includes the targets of other domains, which these summarize.

        >>> from landingspool.decisions import spill
        >>> shortage, domains = Shortage(1.0), spill.OtherDomains()
        >>> [shortage.is_settling([], domains, now) for now in (1.5, 2.0)]
        [True, False]
        """
        if now >= self._settles_until:
            return False
        if not targets or domains.is_unheard():
            return True
        return any(not target.is_leaving() for target in targets)

    def has_lasted(self, usable, is_settling, now):
        """Return whether queued requests have waited long enough for a target.

        >>> shortage = Shortage(1.0)
        >>> [shortage.has_lasted([], False, now) for now in (1.5, 2.0, 2.5)]
        [False, False, True]
        """
        if usable:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        long = now - self._since >= SETTLE_S
        return long and not is_settling
