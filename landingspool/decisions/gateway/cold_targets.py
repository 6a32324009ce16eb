"""Bounds what all boxes together send to a target that is cold.

A target that has just started bears few requests a second, and falls over at
more.  The bound is on the sum over all boxes, also of those that are cut off
from each other, so it is divided by their hash order (shares.py): a few boxes
may send a fixed number in any second, the others nothing while it is cold.
Two lists of boxes may be in use for as long as a cut lasts, so the numbers
keep under half of the bound: as many boxes as have a permit may be missing
from a list.

A target counts as cold for as long as it told, and, since it tells late, for
the time of a whole start after its path or its domain came back.

An equal share for each of 71 boxes would be less than one request a second,
for any bound under 142 (tests/gateway/test_coldness.py plays both).
"""

import typing

from landingspool.decisions.gateway import shares as shares_module

# Boxes that may send to one cold target, where the bound allows it.  More of
# them find more requests that fit, fewer may send more each.
SENDERS = 8
# Lists of boxes that may be in use at once.
LISTS = 2
# Seconds of the window in which requests count; it slides.
WINDOW_S = 1.0


class Bound(typing.NamedTuple):
    """What the targets of a service bear while they are cold.

    Attributes
    ----------
    seconds : float
        For which a start lasts; 0 where there is no such time.
    per_s : float
        Requests a second that a cold target bears.
    """

    seconds: float = 0.0
    per_s: float = 0.0


def plan_quota(most):
    """Give the Quota with which all boxes keep under a bound.

    Parameters
    ----------
    most : float
        Requests that may arrive in one window, from all boxes.

    Returns
    -------
    shares.Quota

    >>> [plan_quota(most)[:2] for most in (32.0, 12.5, 1.0)]
    [(8, 2), (6, 1), (0, 1)]
    """
    requests = max(int(most // (LISTS * SENDERS)), 1)
    boxes = min(int(most // (LISTS * requests)), SENDERS)
    return shares_module.Quota(boxes, requests, WINDOW_S)


class ColdTargets:
    """The cold targets.

    Parameters
    ----------
    shares : shares.Shares
    over, slack : float
        The bound of all boxes is `over` times what a target bears, and
        `slack` more.
    """

    def __init__(self, shares, over, slack):
        self._shares = shares
        self._over = over
        self._slack = slack
        self._until = {}

    def record_reported(self, name, cold_s, now):
        """Take in how much longer a target says that it is cold."""
        if cold_s > 0:
            self._extend(name, now + cold_s)

    def record_back(self, name, bound, now):
        """Note that a target's path or domain came back.

        Parameters
        ----------
        bound : Bound
            Of its service.
        """
        if bound.seconds > 0:
            self._extend(name, now + bound.seconds)

    def find_left(self, name, now):
        """Give the seconds for which a target still counts as cold.

        >>> cold_targets = ColdTargets(shares_module.Shares(), 1.5, 5.0)
        >>> cold_targets.record_reported('t', 2.0, 10.0)
        >>> cold_targets.find_left('t', 11.5), cold_targets.find_left('t', 12.0)
        (0.5, 0.0)
        """
        until = self._until.get(name)
        return 0.0 if until is None else max(until - now, 0.0)

    def may_send(self, name, bound, now):
        """Tell whether this box may send a target one more request now."""
        if not bound.per_s or not self.find_left(name, now):
            return True
        quota = plan_quota(bound.per_s * self._over + self._slack)
        return self._shares.may_send(name, quota, now)

    def list_cold(self, now):
        """List the names of the targets that count as cold."""
        return [name for name in self._until if self.find_left(name, now)]

    def forget(self, name):
        """Forget a life that is over."""
        self._until.pop(name, None)

    def _extend(self, name, until):
        self._until[name] = max(until, self._until.get(name, until))
