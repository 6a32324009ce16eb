"""Excludes the time for which a box stalled from its view of other processes.

Peers were silent only because this box did not read, and what they sent during
the stall is still to be read.  Times that other processes count, too
(back-offs, limits, leases, deadlines, the proof of the table), are not
extended.
"""


def exclude_stall(view, seconds, now):
    """Exclude a stall of some seconds that ended at `now`.

    Parameters
    ----------
    view : view.View
    seconds : float
    now : float
    """
    view.loads.exclude_stall(seconds)
    view.peer_digests.exclude_stall(seconds)
    view.fair_admission.exclude_stall(seconds)
    view.grouping.summaries.exclude_stall(seconds)
    view.watchers.exclude_stall(seconds)
    view.fleet.exclude_stall(seconds)
    if view.contention is not None:
        view.contention.exclude_stall()
    # Peers may have taken over this box's permits for targets with limits.
    view.exclusions.shares.restart(now)
