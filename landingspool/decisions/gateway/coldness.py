"""Bounds what all boxes together send to a target that is cold.

A target that has just started bears few requests a second, and falls over at
more.  The bound is on the sum over all boxes, also of those that are cut off
from each other, so it can't rest on what boxes hear of each other's sending.
Instead the hash order of all boxes names a few for each life of a target,
and each of these may send a fixed number in any second; the others send it
nothing while it is cold.  Two lists of boxes may be in use at once while
boxes come and go, so the numbers keep under half of the bound: as many boxes
as are named may be missing from a list.  A box that has not read the list of
the boxes sends nothing, nor does one in its first second, since it has
forgotten what it sent before.

A target counts as cold for as long as it told, and, since it tells late, for
the time of a whole start after its path or its domain came back.

An equal share for each of 71 boxes would be less than one request a second,
for any bound under 142 (tests/gateway/test_coldness.py plays both).
"""

import collections
import typing

from landingspool.decisions import ownership

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


class Share(typing.NamedTuple):
    """How many boxes may send to a cold target, and how much in a window."""

    boxes: int
    requests: int


def plan_share(most):
    """Give the Share with which all boxes keep under a bound.

    Parameters
    ----------
    most : float
        Requests that may arrive in one window, from all boxes.

    >>> plan_share(32.0), plan_share(12.5), plan_share(1.0)
    (Share(boxes=8, requests=2), Share(boxes=6, requests=1), \
Share(boxes=0, requests=1))
    """
    requests = max(int(most // (LISTS * SENDERS)), 1)
    boxes = min(int(most // (LISTS * requests)), SENDERS)
    return Share(boxes, requests)


class Coldness:
    """The cold targets, and what this box sent them.

    Parameters
    ----------
    over, slack : float
        The bound of all boxes is `over` times what a target bears, and
        `slack` more.
    """

    def __init__(self, over, slack):
        self._over = over
        self._slack = slack
        self._until = {}
        self._sent = {}
        self._members = ()
        self._box = ''
        self._since = None

    def set_members(self, box, members, now):
        """Take in the list of the boxes, this one included."""
        if self._since is None:
            self._since = now
        self._box = box
        self._members = tuple(sorted(members))

    def note_told(self, name, cold_s, now):
        """Take in how much longer a target says that it is cold."""
        if cold_s > 0:
            self._extend(name, now + cold_s)

    def note_back(self, name, bound, now):
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

        >>> coldness = Coldness(1.5, 5.0)
        >>> coldness.note_told('t', 2.0, 10.0)
        >>> coldness.find_left('t', 11.5), coldness.find_left('t', 12.0)
        (0.5, 0.0)
        """
        until = self._until.get(name)
        return 0.0 if until is None else max(until - now, 0.0)

    def may_send(self, name, bound, now):
        """Tell whether this box may send a target one more request now."""
        if not bound.per_s or not self.find_left(name, now):
            return True
        share = plan_share(bound.per_s * self._over + self._slack)
        if not self._is_sender(name, share, now):
            return False
        return self._count(name, now) < share.requests

    def note_sent(self, name, now):
        """Note that a request goes to a target."""
        if self.find_left(name, now):
            sent = self._sent.setdefault(name, collections.deque())
            sent.append(now)

    def list_cold(self, now):
        """List the names of the targets that count as cold."""
        return [name for name in self._until if self.find_left(name, now)]

    def forget(self, name):
        """Forget a life that is over."""
        self._until.pop(name, None)
        self._sent.pop(name, None)

    def _extend(self, name, until):
        self._until[name] = max(until, self._until.get(name, until))

    def _is_sender(self, name, share, now):
        if self._since is None or now - self._since <= WINDOW_S:
            return False
        order = ownership.rank(f'cold/{name}', self._members)
        return self._box in order[: share.boxes]

    def _count(self, name, now):
        sent = self._sent.get(name, ())
        while sent and now - sent[0] > WINDOW_S:
            sent.popleft()
        return len(sent)
