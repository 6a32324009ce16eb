"""Tracking of how long a pool has had no usable target.

A scheduler that has just started, or whose process has stalled, has no load
reports or only old ones, even if all targets are healthy.  Requests are then
queued for a short time while the targets are polled.  Otherwise new requests
are refused at once, and queued ones as soon as the shortage has lasted.
"""

# Seconds to wait for load reports of targets.
SETTLE_S = 1.0


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

    def is_settling(self, targets, now):
        """Return whether a usable target may still report.

        >>> shortage = Shortage(1.0)
        >>> shortage.is_settling([], 1.5), shortage.is_settling([], 2.0)
        (True, False)
        """
        if now >= self._settles_until:
            return False
        return not targets or any(not t.is_leaving() for t in targets)

    def has_lasted(self, usable, targets, now):
        """Return whether queued requests have waited long enough for a target.

        >>> shortage = Shortage(1.0)
        >>> [shortage.has_lasted([], [], now) for now in (1.5, 2.0, 2.5)]
        [False, False, True]
        """
        if usable:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        long = now - self._since >= SETTLE_S
        return long and not self.is_settling(targets, now)
