"""Keeps all boxes together to the limits that targets name.

A target in need names the requests a second that it takes from all boxes
together, in each answer for as long as that holds.  Boxes tell each other of
it, and the figure is a quota that is dealt out (shares.py): what a box may
send follows from its permits, never from what the others seem to send.

Answers overtake one another, and a stream's head is read long before its end,
so which of two answers says what holds now follows from when they were asked
for and heard: an answer was made between both.  Where the order can't be told
the stricter word holds, since what is sent too much can't be taken back.

A limit does not lapse with time, since a target that nobody asks says
nothing.  It ends by what its permits are for: requests still go to the target,
and the first success without a limit is told to all.
"""

import collections
import functools
import math
import typing

from landingspool.decisions.gateway import bounded
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import shares as shares_module

# Seconds of the window in which the users count what arrives: one and a half
# times the limit, and five more.
WINDOW_S = 4.0
# A figure beyond what any target takes counts as this many: it binds nobody,
# and a number of 308 digits must not end in an error.
MOST_PER_S = 10_000.0
# A target that takes less gets so many requests a second all the same: by
# nothing else could be learnt that it takes more again.  Far under what the
# users allow on top of any limit, five in a window.
LEAST_PER_S = 1 / shares_module.MOST_WINDOW_S
# Stands for the figure of a target that names no limit any more.
NO_LIMIT = 0.0
# Lives of which a word is kept: more than deployments have targets.
MOST_KNOWN = 1024
# Seconds for which a word may have been on its way between boxes: its ages
# lack that time, so that it seems the newer by so much.
TRAVEL_S = 1.0
# Seconds for which a new word goes into each digest, and after which only
# into each fifth: with datagrams to 24 boxes it is everywhere by then.
NEW_S = 1.0
AGAIN_EVERY = 5
# Seconds for which it is told that a limit has ended.
ENDED_S = 10.0
# Notices in one digest at most, 22 bytes each.
MOST_TOLD = 40
# Seconds without news of a limit after which boxes without a permit may ask
# the target in turn: one that missed the end would believe in it for ever.
UNRENEWED_S = 30.0


class Known(typing.NamedTuple):
    """The word of a target that holds.

    Attributes
    ----------
    per_s : float
        Requests a second, from all boxes; NO_LIMIT once it names none.
    asked, heard : float
        When the request went out whose answer said so, and when that came.
    changed : float
        When this box learnt that the figure is what it is.
    box : str
        The box that told this one of it; empty where the target did.
    since : float
        When this box learnt that the target is limited at all.
    """

    per_s: float
    asked: float
    heard: float
    changed: float
    box: str = ''
    since: float = 0.0


class Change(typing.NamedTuple):
    """A figure that is new, for the log.

    `life` is the code of the target's life (neighbours.hash_target).
    """

    life: int
    known: Known


class Limits:
    """The limits that targets name.

    Parameters
    ----------
    shares : shares.Shares

    Attributes
    ----------
    fresh : list of Change
        What changed since it was last emptied.
    is_urgent : bool
        Whether a limit has begun that no digest has told yet.
    """

    def __init__(self, shares):
        self.fresh = []
        self.is_urgent = False
        self._shares = shares
        self._known = collections.OrderedDict()
        self._digests = 0

    def record_named(self, name, per_s, asked, heard):
        """Take in the limit that an answer of a target named.

        Parameters
        ----------
        name : str
            Of the target's life.

        >>> limits = Limits(shares_module.Shares())
        >>> limits.record_named('t', 1.8, 1.0, 1.1)
        >>> limits.find('t').per_s, limits.find('u')
        (1.8, None)
        """
        word = Known(per_s, asked, heard, heard)
        self._put(peer_digests.hash_target(name), word)

    def record_unnamed(self, name, asked, heard):
        """Take in an answer that named none.

        It ends a limit only if it was asked for after that was heard.

        >>> limits = Limits(shares_module.Shares())
        >>> limits.record_named('t', 1.8, 1.0, 1.1)
        >>> limits.record_unnamed('t', 1.05, 1.2)
        >>> limits.find('t').per_s
        1.8
        >>> limits.record_unnamed('t', 1.15, 1.3)
        >>> limits.find('t')
        """
        life = peer_digests.hash_target(name)
        if life in self._known:
            self._put(life, Known(NO_LIMIT, asked, heard, heard))

    def take(self, word, box, now):
        """Take in what another box tells of a limit.

        Parameters
        ----------
        word : neighbours.LimitNotice
        """
        if not is_figure(word.per_s):
            return
        if not word.per_s and word.life not in self._known:
            return
        asked, heard = now - word.asked_ms / 1000, now - word.heard_ms / 1000
        self._put(
            word.life, Known(word.per_s, asked, heard, now, box), TRAVEL_S
        )

    def tell(self, now):
        """Give the words for the next digest."""
        self._digests += 1
        self.is_urgent = False
        again = self._digests % AGAIN_EVERY == 0
        words = [
            make_notice(life, known, now)
            for life, known in self._known.items()
            if is_due(known, again, now)
        ]
        # Where there are too many, others each time.
        first = self._digests * MOST_TOLD % max(len(words), 1)
        return tuple((words[first:] + words[:first])[:MOST_TOLD])

    def list_notices(self, now):
        """List the words of all limits that hold, for a box that starts."""
        return [
            make_notice(life, known, now)
            for life, known in self._known.items()
            if known.per_s
        ]

    def find(self, name):
        """Give the Known limit of a target; None where it names none."""
        known = self._known.get(peer_digests.hash_target(name))
        return known if known is not None and known.per_s else None

    def list_named(self, names):
        """Give the Known limits of some targets, by name."""
        found = {name: self.find(name) for name in names}
        return {name: known for name, known in found.items() if known}

    def may_send(self, name, now):
        """Tell whether this box may send a target one more request now."""
        known = self.find(name)
        if known is None:
            return True
        quota = find_open(known, now)
        if self._shares.may_send(name, quota, now):
            return True
        return self._is_turn(name, known, quota, now)

    def find_wait(self, name, now):
        """Give the seconds until it may; None where it has no permit."""
        quota = find_open(self.find(name), now)
        return self._shares.find_wait(name, quota, now)

    def find_room(self, name, now):
        """Give the requests a second that this box may send to a target."""
        quota = plan_quota(self.find(name).per_s)
        permits = self._shares.count_permits(name, quota, now)
        return permits * quota.requests / quota.window_s

    def compute_used_rate(self, name, now):
        """Give the requests a second that this box sent a target of late."""
        return len(self._shares.list_sent(name, WINDOW_S, now)) / WINDOW_S

    def _is_turn(self, name, known, quota, now):
        """Tell whether this box may ask a target that nobody asks."""
        order = self._shares.find_order(name)
        if order is None or order < quota.permits:
            return False
        begins = known.heard + UNRENEWED_S + order * quota.window_s
        if not begins <= now < begins + quota.window_s:
            return False
        return not self._shares.list_sent(name, quota.window_s, now)

    def forget(self, name):
        """Forget a life that is over."""
        self._known.pop(peer_digests.hash_target(name), None)

    def _put(self, life, word, travel_s=0.0):
        known = self._known.get(life)
        if known is not None and not supersedes(word, known, travel_s):
            return
        if known is not None and known.per_s == word.per_s:
            word = known._replace(
                asked=max(word.asked, known.asked),
                heard=max(word.heard, known.heard),
            )
        else:
            begins = known is None or not known.per_s
            since = word.changed if begins else known.since
            word = word._replace(since=since)
            self.is_urgent = self.is_urgent or begins
            self.fresh.append(Change(life, word))
        self._known[life] = word
        self._known.move_to_end(life)
        bounded.trim(self._known, MOST_KNOWN)


def is_looser(word, known):
    """Tell whether a word allows more than another one."""
    if not known.per_s:
        return False
    return not word.per_s or word.per_s > known.per_s


def supersedes(word, known, travel_s=0.0):
    """Tell whether a word holds from now on in place of what is known.

    One that allows more has to be the newer for sure; any other one only must
    not be the older for sure.

    Parameters
    ----------
    word, known : Known
    travel_s : float
        By which the word may seem too new.

    >>> known = Known(2.0, 5.0, 5.3, 5.3)
    >>> supersedes(Known(3.0, 5.2, 5.4, 5.4), known)
    False
    >>> supersedes(Known(3.0, 5.4, 5.5, 5.5), known)
    True
    >>> supersedes(Known(1.0, 4.0, 5.1, 5.1), known)
    True
    >>> supersedes(Known(1.0, 4.0, 4.9, 4.9), known)
    False
    """
    if is_looser(word, known):
        return word.asked > known.heard + travel_s
    return word.heard > known.asked


def is_figure(per_s):
    """Tell whether a number from another box is a limit, or NO_LIMIT."""
    return 0.0 <= per_s < math.inf


def is_due(known, again, now):
    """Tell whether a word belongs into a digest.

    Parameters
    ----------
    again : bool
        Whether the digest has those that are not new, too.
    """
    age_s = now - known.changed
    if age_s < NEW_S:
        return True
    return again and (bool(known.per_s) or age_s < ENDED_S)


def make_notice(life, known, now):
    """Give the neighbours.LimitNotice of a life."""
    asked_ms, heard_ms = (
        max(int((now - at) * 1000), 0) for at in (known.asked, known.heard)
    )
    return peer_digests.LimitNotice(life, known.per_s, asked_ms, heard_ms)


def find_open(known, now):
    """Give the Quota of a limit with those permits that are open by now.

    They open one after the other over the first window.  Used all at once
    they would be free again all at once, so that the target got 8 requests in
    a tenth of a second and then none for 4 s (7 boxes, 1.8 a second).
    """
    quota = plan_quota(known.per_s)
    share = (now - known.since) / quota.window_s
    if share >= 1.0:
        return quota
    return quota._replace(permits=int(max(share, 0.0) * quota.permits) + 1)


@functools.lru_cache(maxsize=MOST_KNOWN)
def plan_quota(per_s):
    """Give the Quota of a limit, which is the limit itself.

    With as many permits as a window has requests no window holds more than
    these, also over two lists of boxes of which half of the permits differ:
    the users allow one and a half times as many, and five.  An equal share of
    a limit of 2 a second for 195 boxes would be one request in 98 s each.

    Parameters
    ----------
    per_s : float

    Returns
    -------
    shares.Quota

    >>> plan_quota(2.0), plan_quota(0.3).permits, plan_quota(0.001).window_s
    (Quota(permits=8, requests=1, window_s=4.0), 2, 10.0)
    >>> plan_quota(1.7e308)
    Quota(permits=40000, requests=1, window_s=4.0)
    """
    per_s = min(max(per_s, LEAST_PER_S), MOST_PER_S)
    permits = math.ceil(WINDOW_S * per_s)
    return shares_module.Quota(permits, 1, permits / per_s)
