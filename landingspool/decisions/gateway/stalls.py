"""Leaves the time for which a box did not run out of what it believes.

Peers were silent for it only because it did not listen, and what they sent
meanwhile is still to be read.  Times that others count by, too (rests,
limits, leases, deadlines, the proof of the table), go on.
"""


def exclude_stall(view, seconds, now):
    """Leave out so many seconds that ended at `now`.

    Parameters
    ----------
    view : view.View
    seconds : float
    now : float
    """
    view.loads.exclude_stall(seconds)
    view.neighbours.exclude_stall(seconds)
    view.watching.exclude_stall(seconds)
    view.fleet.exclude_stall(seconds)
    # What it may send to limited targets the others could not know.
    view.bars.shares.restart(now)
