"""Divides a target's request quota among the boxes, without messages.

A limit over all boxes can't be based on the reports of peers about their
sending: some boxes are partitioned, and all reports arrive late.  So a quota
has permits, and the hash order of all boxes for a target assigns them.  A box
may send a number of requests in any window for each permit that it has, and
none without a permit.

Boxes join and leave, and two member lists may be in use at the same time.  A
permit that moves from one box to another is used by neither for one window: a
box counts only the permits that it has by every list that it used during the
last window.  So a box that has started or stalled begins without permits.
While lists differ, no more is sent than the permits of one list and those that
moved: if half of them moved, one and a half times the quota, for however long
(tests/gateway/test_shares.py).
"""

import collections
import typing

from landingspool.decisions import ownership

# Seconds for which sends and former member lists are kept: the longest window.
MAX_WINDOW_S = 10.0


class Quota(typing.NamedTuple):
    """What all boxes together may send to one target.

    Attributes
    ----------
    permits : int
        Number of permits to be assigned to boxes.
    requests : int
        Requests that may be sent in any window for each permit.
    window_s : float
        Up to MAX_WINDOW_S.
    """

    permits: int
    requests: int
    window_s: float


class Former(typing.NamedTuple):
    """A former member list, and until when this box used it."""

    members: tuple[str, ...]
    until: float


class Shares:
    """The permits of one box, and what it sent lately.

    A box without a member list has no permit.
    """

    def __init__(self):
        self._box = ''
        self._members = ()
        self._since = None
        self._former = []
        self._sent = {}

    def set_members(self, box, members, now):
        """Set the list of the boxes, including this one."""
        members = tuple(sorted(members))
        if self._since is None:
            self._since = now
        elif members != self._members:
            self._former = [
                row for row in self._former if now - row.until <= MAX_WINDOW_S
            ]
            self._former.append(Former(self._members, now))
        self._box = box
        self._members = members

    def restart(self, now):
        """Start without permits: this box stalled while its peers did not."""
        if self._since is not None:
            self._since = now

    def count_boxes(self):
        """Count the boxes, including this one; 0 before they are known."""
        return len(self._members)

    def get_rank(self, name):
        """Return this box's rank in the hash order for a target, from 0.

        None before it knows the boxes.
        """
        if self._since is None:
            return None
        return compute_rank(name, self._box, self._members)

    def count_permits(self, name, quota, now):
        """Count the permits of a quota that this box may use now.

        Parameters
        ----------
        name : str
            Name of the target's incarnation.

        >>> shares, quota = Shares(), Quota(4, 1, 2.0)
        >>> shares.set_members('a', 'ab', 10.0)
        >>> shares.count_permits('t', quota, 11.0)
        0
        >>> shares.count_permits('t', quota, 12.1)
        2
        >>> shares.set_members('a', 'a', 13.0)
        >>> shares.count_permits('t', quota, 14.0)
        2
        >>> shares.count_permits('t', quota, 15.1)
        4
        """
        if self._since is None or now - self._since <= quota.window_s:
            return 0
        lists = [self._members]
        for former in self._former:
            if now - former.until <= quota.window_s:
                lists.append(former.members)
        return min(
            deal_permits(name, self._box, members, quota.permits)
            for members in lists
        )

    def may_send(self, name, quota, now):
        """Return whether this box may send a target one more request now."""
        permits = self.count_permits(name, quota, now)
        sent = self.list_sent(name, quota.window_s, now)
        return len(sent) < permits * quota.requests

    def compute_wait(self, name, quota, now):
        """Return the seconds until this box may send; None: no permit.

        >>> shares, quota = Shares(), Quota(1, 1, 2.0)
        >>> shares.set_members('a', 'a', 0.0)
        >>> shares.record_sent('t', 9.5)
        >>> shares.compute_wait('t', quota, 10.0)
        1.5
        >>> shares.compute_wait('t', quota, 1) is None
        True
        """
        most = self.count_permits(name, quota, now) * quota.requests
        if not most:
            return None
        sent = self.list_sent(name, quota.window_s, now)
        if len(sent) < most:
            return 0.0
        return sent[len(sent) - most] + quota.window_s - now

    def record_sent(self, name, now):
        """Record that a request is sent to a target."""
        sent = self._sent.setdefault(name, collections.deque())
        sent.append(now)
        while now - sent[0] > MAX_WINDOW_S:
            sent.popleft()

    def list_sent(self, name, window_s, now):
        """List when requests were sent to a target in the last seconds."""
        return [at for at in self._sent.get(name, ()) if now - at <= window_s]

    def forget(self, name):
        """Forget an incarnation that has ended."""
        self._sent.pop(name, None)


def compute_rank(name, box, members):
    """Return the rank of a box in the hash order of all boxes for a target."""
    return ownership.rank(f'share/{name}', members).index(box)


def deal_permits(name, box, members, permits):
    """Return how many of a target's permits a box has by a member list.

    >>> members = 'a', 'b', 'c'
    >>> sorted(deal_permits('t', box, members, 5) for box in members)
    [1, 2, 2]
    >>> sorted(deal_permits('t', box, members, 2) for box in members)
    [0, 1, 1]
    """
    if box not in members:
        return 0
    rank = compute_rank(name, box, members)
    return permits // len(members) + (rank < permits % len(members))
