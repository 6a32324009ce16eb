"""Limits the requests that all boxes together send to a cold target.

A target that has just started can take only a few requests a second and
crashes if it gets more.  The limit is on the sum over all boxes, including
boxes that are partitioned from each other.  It is divided by the hash order of
the boxes (shares.py): a few boxes may each send a fixed number of requests in
any second, and the others send none while the target is cold.  During a
partition two member lists may be in use, so the quota stays under half of the
limit: as many boxes as have a permit may be missing from a list.

A target counts as cold for as long as it reports.  Since its report arrives
late, it also counts as cold for the time of a full start after its path or its
domain became reachable again.

An equal share for each of 71 boxes would be less than one request a second for
any limit under 142 (tests/gateway/test_coldness.py covers both).
"""

import typing

from landingspool.decisions.gateway import shares as shares_module

# Maximum number of boxes that may send to one cold target.  With more boxes,
# more requests find a permitted box; with fewer, each may send more.
MAX_SENDERS = 8
# Member lists that may be in use at the same time.
MEMBER_LISTS = 2
# Length of the sliding window in which requests are counted, in seconds.
WINDOW_S = 1.0


class Bound(typing.NamedTuple):
    """What the targets of a service can take while they are cold.

    Attributes
    ----------
    seconds : float
        Duration of a start; 0 if there is no such time.
    per_s : float
        Requests a second that a cold target can take.
    """

    seconds: float = 0.0
    per_s: float = 0.0


def plan_quota(max_requests):
    """Return the Quota that keeps all boxes within a limit.

    Parameters
    ----------
    max_requests : float
        Requests that may arrive in one window, from all boxes.

    Returns
    -------
    shares.Quota

    >>> [plan_quota(max_requests)[:2] for max_requests in (32.0, 12.5, 1.0)]
    [(8, 2), (6, 1), (0, 1)]
    """
    requests = max(int(max_requests // (MEMBER_LISTS * MAX_SENDERS)), 1)
    boxes = min(int(max_requests // (MEMBER_LISTS * requests)), MAX_SENDERS)
    return shares_module.Quota(boxes, requests, WINDOW_S)


class ColdTargets:
    """The cold targets.

    Parameters
    ----------
    shares : shares.Shares
    over, slack : float
        All boxes together may send `over` times what a target can take, plus
        `slack`.
    """

    def __init__(self, shares, over, slack):
        self._shares = shares
        self._over = over
        self._slack = slack
        self._until = {}

    def record_reported(self, name, cold_s, now):
        """Record for how much longer a target reports that it is cold."""
        if cold_s > 0:
            self._extend(name, now + cold_s)

    def record_reconnected(self, name, bound, now):
        """Record that a target's path or domain is reachable again.

        Parameters
        ----------
        bound : Bound
            Of the target's service.
        """
        if bound.seconds > 0:
            self._extend(name, now + bound.seconds)

    def get_seconds_left(self, name, now):
        """Return the seconds for which a target still counts as cold.

        >>> cold_targets = ColdTargets(shares_module.Shares(), 1.5, 5.0)
        >>> cold_targets.record_reported('t', 2.0, 10.0)
        >>> [cold_targets.get_seconds_left('t', at) for at in (11.5, 12.0)]
        [0.5, 0.0]
        """
        until = self._until.get(name)
        return 0.0 if until is None else max(until - now, 0.0)

    def may_send(self, name, bound, now):
        """Return whether this box may send a target one more request now."""
        if not bound.per_s or not self.get_seconds_left(name, now):
            return True
        quota = plan_quota(bound.per_s * self._over + self._slack)
        return self._shares.may_send(name, quota, now)

    def list_cold(self, now):
        """List the names of the targets that count as cold."""
        return [
            name for name in self._until if self.get_seconds_left(name, now)
        ]

    def forget(self, name):
        """Forget an incarnation that has ended."""
        self._until.pop(name, None)

    def _extend(self, name, until):
        self._until[name] = max(until, self._until.get(name, until))
