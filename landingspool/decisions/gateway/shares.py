"""Divides what all boxes may send to a target, by a rule that each applies.

A bound over all boxes can't rest on what boxes hear of each other's sending:
some are cut off, all hear late.  So a quota has permits, and the hash order of
all boxes for a target deals them out: a box may send so many requests in any
window for each permit that it has, and nothing where it has none.

Boxes come and go, and two lists of them may be in use at once.  A permit that
changes hands is used by neither for a window: a box counts only the permits
that it has by each list that it went by of late.  So a box that starts, or
stood still, begins with none, and while lists differ no more is sent than by
one list and the permits that moved: with half of them moved, one and a half
times the quota, for however long (tests/gateway/test_shares.py).
"""

import collections
import typing

from landingspool.decisions import ownership

# Seconds for which sends and former lists are kept: the longest window.
MOST_WINDOW_S = 10.0


class Quota(typing.NamedTuple):
    """What all boxes together may send to one target.

    Attributes
    ----------
    permits : int
        To be dealt out to the boxes.
    requests : int
        That may be sent in any window for each permit.
    window_s : float
        Up to MOST_WINDOW_S.
    """

    permits: int
    requests: int
    window_s: float


class Former(typing.NamedTuple):
    """A list of the boxes, and until when this box went by it."""

    members: tuple[str, ...]
    until: float


class Shares:
    """The permits of one box, and what it sent of late.

    One without the list of the boxes has no permit.
    """

    def __init__(self):
        self._box = ''
        self._members = ()
        self._since = None
        self._former = []
        self._sent = {}

    def set_members(self, box, members, now):
        """Take in the list of the boxes, this one included."""
        members = tuple(sorted(members))
        if self._since is None:
            self._since = now
        elif members != self._members:
            self._former = [
                row for row in self._former if now - row.until <= MOST_WINDOW_S
            ]
            self._former.append(Former(self._members, now))
        self._box = box
        self._members = members

    def restart(self, now):
        """Begin without permits: this box stood still, others did not."""
        if self._since is not None:
            self._since = now

    def count_boxes(self):
        """Count the boxes, this one included; 0 before they are known."""
        return len(self._members)

    def find_order(self, name):
        """Give this box's rank in the hash order for a target, from 0.

        None before it knows the boxes.
        """
        if self._since is None:
            return None
        return find_rank(name, self._box, self._members)

    def count_permits(self, name, quota, now):
        """Count the permits of a quota that this box may use now.

        Parameters
        ----------
        name : str
            Of the target's life.

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
            deal(name, self._box, members, quota.permits) for members in lists
        )

    def may_send(self, name, quota, now):
        """Tell whether this box may send a target one more request now."""
        permits = self.count_permits(name, quota, now)
        sent = self.list_sent(name, quota.window_s, now)
        return len(sent) < permits * quota.requests

    def find_wait(self, name, quota, now):
        """Give the seconds until it may; None where it has no permit.

        >>> shares, quota = Shares(), Quota(1, 1, 2.0)
        >>> shares.set_members('a', 'a', 0.0)
        >>> shares.record_sent('t', 9.5)
        >>> shares.find_wait('t', quota, 10.0), shares.find_wait('t', quota, 1)
        (1.5, None)
        """
        most = self.count_permits(name, quota, now) * quota.requests
        if not most:
            return None
        sent = self.list_sent(name, quota.window_s, now)
        if len(sent) < most:
            return 0.0
        return sent[len(sent) - most] + quota.window_s - now

    def record_sent(self, name, now):
        """Note that a request goes to a target."""
        sent = self._sent.setdefault(name, collections.deque())
        sent.append(now)
        while now - sent[0] > MOST_WINDOW_S:
            sent.popleft()

    def list_sent(self, name, window_s, now):
        """List when requests went to a target in the last so many seconds."""
        return [at for at in self._sent.get(name, ()) if now - at <= window_s]

    def forget(self, name):
        """Forget a life that is over."""
        self._sent.pop(name, None)


def find_rank(name, box, members):
    """Give the rank of a box in the hash order of all, for a target."""
    return ownership.rank(f'share/{name}', members).index(box)


def deal(name, box, members, permits):
    """Give how many of a target's permits a box has by a list of the boxes.

    >>> members = 'a', 'b', 'c'
    >>> sorted(deal('t', box, members, 5) for box in members)
    [1, 2, 2]
    >>> sorted(deal('t', box, members, 2) for box in members)
    [0, 1, 1]
    """
    if box not in members:
        return 0
    rank = find_rank(name, box, members)
    return permits // len(members) + (rank < permits % len(members))
