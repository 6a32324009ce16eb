"""Keeps all boxes together within the limits that targets advertise.

An overloaded target advertises in each answer how many requests a second it
accepts from all boxes together, for as long as that holds.  Boxes announce the
limit to each other, and it becomes a quota that is divided among them
(shares.py): what a box may send follows from its permits, never from what its
peers seem to send.

Answers may arrive out of order, and the head of a stream is read long before
its end.  So the order of two answers follows from the times when their
requests were sent and the answers received: an answer was made between the
two.  If the order is unknown the stricter limit holds, since requests sent in
excess can't be taken back.

A limit does not expire with time, since a target that gets no requests
announces nothing.  Requests keep going to the target under its permits, and
the first success without a limit ends it and is announced to all boxes.
"""

import collections
import functools
import math
import typing

from landingspool.decisions.gateway import bounded
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import shares as shares_module

# Length in seconds of the window in which the users count arrivals: one and a
# half times the limit, plus five, are allowed in it.
WINDOW_S = 4.0
# Larger limits are capped to this value, which restricts no box.  It keeps a
# number of 308 digits from raising an error.
MAX_PER_S = 10_000.0
# A target with a lower limit still gets this many requests a second: only an
# answer can show that it accepts more again.  This is far below what the users
# allow above any limit, five in a window.
MIN_PER_S = 1 / shares_module.MAX_WINDOW_S
# Stands for the limit of a target that advertises none any more.
NO_LIMIT = 0.0
# Incarnations whose limit is remembered: more than deployments have targets.
MAX_KNOWN = 1024
# Maximum transit time in seconds of a notice between boxes.  The ages in a
# notice lack that time, so it seems newer by up to as much.
MAX_TRANSIT_S = 1.0
# Seconds for which a new notice goes into each digest.  After that it goes
# only into each fifth: with datagrams to 24 boxes all of them have it by then.
NEW_S = 1.0
REPEAT_EVERY = 5
# Seconds for which the end of a limit is announced.
ENDED_S = 10.0
# Maximum number of notices in one digest, 22 bytes each.
MAX_NOTICES = 40
# Seconds without an update of a limit after which boxes without a permit may
# probe the target in turn: a box that missed the end of the limit would
# otherwise keep it forever.
UNRENEWED_S = 30.0


class Known(typing.NamedTuple):
    """The limit of a target as last advertised.

    Attributes
    ----------
    per_s : float
        Requests a second, from all boxes; NO_LIMIT once it advertises none.
    asked, heard : float
        When the request was sent whose answer advertised it, and when the
        answer was received.
    changed : float
        When this box received the present value.
    box : str
        The peer that reported it; empty if the target itself did.
    since : float
        When this box first received any limit of the target.
    """

    per_s: float
    asked: float
    heard: float
    changed: float
    box: str = ''
    since: float = 0.0


class Change(typing.NamedTuple):
    """A changed limit, for the log.

    `incarnation` is the hash of the incarnation's name (peer_digests.hash_target).
    """

    incarnation: int
    known: Known


class Limits:
    """The limits that targets advertise.

    Parameters
    ----------
    shares : shares.Shares

    Attributes
    ----------
    fresh : list of Change
        What changed since the list was last emptied.
    is_urgent : bool
        Whether a limit has begun that has not been in a digest yet.
    """

    def __init__(self, shares):
        self.fresh = []
        self.is_urgent = False
        self._shares = shares
        self._known = collections.OrderedDict()
        self._digests = 0

    def record_named(self, name, per_s, asked, heard):
        """Record the limit that an answer of a target advertised.

        Parameters
        ----------
        name : str
            Of the target's incarnation.

        >>> limits = Limits(shares_module.Shares())
        >>> limits.record_named('t', 1.8, 1.0, 1.1)
        >>> limits.find('t').per_s, limits.find('u')
        (1.8, None)
        """
        notice = Known(per_s, asked, heard, heard)
        self._put(peer_digests.hash_target(name), notice)

    def record_unnamed(self, name, asked, heard):
        """Record an answer that advertised no limit.

        It ends a limit only if its request was sent after the limit was
        received.

        >>> limits = Limits(shares_module.Shares())
        >>> limits.record_named('t', 1.8, 1.0, 1.1)
        >>> limits.record_unnamed('t', 1.05, 1.2)
        >>> limits.find('t').per_s
        1.8
        >>> limits.record_unnamed('t', 1.15, 1.3)
        >>> limits.find('t')
        """
        incarnation = peer_digests.hash_target(name)
        if incarnation in self._known:
            self._put(incarnation, Known(NO_LIMIT, asked, heard, heard))

    def take(self, notice, box, now):
        """Apply a notice of a limit from a peer.

        Parameters
        ----------
        notice : peer_digests.LimitNotice
        """
        if not is_valid_rate(notice.per_s):
            return
        if not notice.per_s and notice.incarnation not in self._known:
            return
        asked, heard = (
            now - notice.asked_ms / 1000,
            now - notice.heard_ms / 1000,
        )
        self._put(
            notice.incarnation,
            Known(notice.per_s, asked, heard, now, box),
            MAX_TRANSIT_S,
        )

    def tell(self, now):
        """Return the notices for the next digest."""
        self._digests += 1
        self.is_urgent = False
        again = self._digests % REPEAT_EVERY == 0
        notices = [
            make_notice(incarnation, known, now)
            for incarnation, known in self._known.items()
            if is_due(known, again, now)
        ]
        # If there are too many notices, each digest has others.
        first = self._digests * MAX_NOTICES % max(len(notices), 1)
        return tuple((notices[first:] + notices[:first])[:MAX_NOTICES])

    def list_notices(self, now):
        """List the notices of all limits in force, for a box that starts."""
        return [
            make_notice(incarnation, known, now)
            for incarnation, known in self._known.items()
            if known.per_s
        ]

    def find(self, name):
        """Return the Known limit of a target, or None if it has none."""
        known = self._known.get(peer_digests.hash_target(name))
        return known if known is not None and known.per_s else None

    def list_named(self, names):
        """Return the Known limits of some targets, by name."""
        found = {name: self.find(name) for name in names}
        return {name: known for name, known in found.items() if known}

    def may_send(self, name, now):
        """Return whether this box may send a target one more request now."""
        known = self.find(name)
        if known is None:
            return True
        quota = get_open_quota(known, now)
        if self._shares.may_send(name, quota, now):
            return True
        return self._is_turn(name, known, quota, now)

    def compute_wait(self, name, now):
        """Return the seconds until this box may send; None: no permit."""
        quota = get_open_quota(self.find(name), now)
        return self._shares.compute_wait(name, quota, now)

    def find_room(self, name, now):
        """Return the requests a second that this box may send to a target."""
        quota = plan_quota(self.find(name).per_s)
        permits = self._shares.count_permits(name, quota, now)
        return permits * quota.requests / quota.window_s

    def compute_used_rate(self, name, now):
        """Return the requests a second that this box sent lately."""
        return len(self._shares.list_sent(name, WINDOW_S, now)) / WINDOW_S

    def _is_turn(self, name, known, quota, now):
        """Return whether this box may probe a target that gets no requests."""
        order = self._shares.get_rank(name)
        if order is None or order < quota.permits:
            return False
        begins = known.heard + UNRENEWED_S + order * quota.window_s
        if not begins <= now < begins + quota.window_s:
            return False
        return not self._shares.list_sent(name, quota.window_s, now)

    def forget(self, name):
        """Forget an incarnation that has ended."""
        self._known.pop(peer_digests.hash_target(name), None)

    def _put(self, incarnation, notice, transit_s=0.0):
        known = self._known.get(incarnation)
        if known is not None and not supersedes(notice, known, transit_s):
            return
        if known is not None and known.per_s == notice.per_s:
            notice = known._replace(
                asked=max(notice.asked, known.asked),
                heard=max(notice.heard, known.heard),
            )
        else:
            begins = known is None or not known.per_s
            since = notice.changed if begins else known.since
            notice = notice._replace(since=since)
            self.is_urgent = self.is_urgent or begins
            self.fresh.append(Change(incarnation, notice))
        self._known[incarnation] = notice
        self._known.move_to_end(incarnation)
        bounded.trim(self._known, MAX_KNOWN)


def is_looser(notice, known):
    """Return whether a limit allows more than another one."""
    if not known.per_s:
        return False
    return not notice.per_s or notice.per_s > known.per_s


def supersedes(notice, known, transit_s=0.0):
    """Return whether a limit replaces the one that is known.

    A limit that allows more must be confirmed to be newer.  Any other one only
    must not be confirmed to be older.

    Parameters
    ----------
    notice, known : Known
    transit_s : float
        Seconds by which `notice` may seem too new.

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
    if is_looser(notice, known):
        return notice.asked > known.heard + transit_s
    return notice.heard > known.asked


def is_valid_rate(per_s):
    """Return whether a number from a peer is a limit or NO_LIMIT."""
    return 0.0 <= per_s < math.inf


def is_due(known, again, now):
    """Return whether a limit belongs into a digest.

    Parameters
    ----------
    again : bool
        Whether the digest repeats limits that are not new.
    """
    age_s = now - known.changed
    if age_s < NEW_S:
        return True
    return again and (bool(known.per_s) or age_s < ENDED_S)


def make_notice(incarnation, known, now):
    """Return the peer_digests.LimitNotice of an incarnation."""
    asked_ms, heard_ms = (
        max(int((now - at) * 1000), 0) for at in (known.asked, known.heard)
    )
    return peer_digests.LimitNotice(
        incarnation, known.per_s, asked_ms, heard_ms
    )


def get_open_quota(known, now):
    """Return the Quota of a limit with the permits that are open by now.

    Permits open one after the other over the first window.  If all were used
    at once they would also become free at once: with 7 boxes and 1.8 a second
    the target got 8 requests in a tenth of a second and then none for 4 s.
    """
    quota = plan_quota(known.per_s)
    share = (now - known.since) / quota.window_s
    if share >= 1.0:
        return quota
    return quota._replace(permits=int(max(share, 0.0) * quota.permits) + 1)


@functools.lru_cache(maxsize=MAX_KNOWN)
def plan_quota(per_s):
    """Return the Quota of a limit, which equals the limit itself.

    With as many permits as a window has requests, no window holds more than
    the limit.  With two member lists in use of which half of the permits
    differ, it holds up to one and a half times as many; the users allow that,
    plus five.  An equal share of a limit of 2 a second for 195 boxes would be
    one request in 98 s for each.

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
    per_s = min(max(per_s, MIN_PER_S), MAX_PER_S)
    permits = math.ceil(WINDOW_S * per_s)
    return shares_module.Quota(permits, 1, permits / per_s)
