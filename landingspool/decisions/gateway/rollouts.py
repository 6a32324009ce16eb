"""Brings targets to a named version of their weights, by fenced orders.

One box at a time holds the right to give orders for a model.  It is taken
by an append to the platform's store that succeeds only where nobody
appended in between, and the offset of that append is the fence.  The lease
has no clock of the store behind it: a box that sees somebody else's claim
waits until that claim has not changed for the whole lease plus the time for
which an order may be under way.
"""

import typing

# Seconds over the lease by which a foreign claim has to be old before it is
# taken over.  An order of the old holder may be under way longer, but the
# target refuses it for its lower fence.
TAKEOVER_S = 0.4
# Seconds before the lease's end at which its holder gives no more orders.
END_S = 0.5
# Seconds between the tries of two boxes to take a right that nobody holds, in
# the hash order of all boxes: longer than it takes until all have heard of a
# claim (an append of some ms, and two held reads).  Without turns each of 195
# boxes appended for each named version, and all but one in vain.  At most so
# long: many boxes may be cut off from the store.
TURN_S = 0.15
MOST_TURN_S = 2.0
# Share of the lease after which a holder appends again.
RENEW_SHARE = 0.4
# An order that got no answer may be carried out late; only the target's
# own report, or this many seconds, allows another try.
UNANSWERED_S = 2.5
# An order under way is believed for so long without the target's word.
LOAD_S = 8.0
# Seconds between telling all boxes and the order: what is under way arrives,
# what waits begins, short runs end.  Longer ones go on across the load, which
# costs a part of their worth; waiting for them costs a fifth of all targets
# for seconds (five targets, three runs each: worth 0.755 with 0.5 s and one
# target at once; 0.683 when loads waited for all runs, two at once).
CLOSING_S = 0.5
# Targets under way at once, as a share of them; twice as many may load
# without slowing each other (the users' pages: 2 of 5, 18 of 45, 22 of 56),
# and are under way where the time left asks for it.
LOADS_SHARE = 0.2
MOST_LOADS_SHARE = 0.4
# Seconds that one target is under way: closing, two reports, and a load of
# 1.3 s (the users' pages; 0.9 on others).
UNDER_WAY_S = 2.2
# Pause after an order that was refused, seconds.
REFUSED_S = 0.6


class Claim(typing.NamedTuple):
    """A holder's claim as it stands in the store.

    `loading` are the targets that it has ordered or will order, and after
    how many seconds: every box reads the claim and sends them only what
    ends before.
    """

    holder: str
    fence: int
    loading: dict = {}


class Lease(typing.NamedTuple):
    """This box's own claim: sent at `since`, on its own clock."""

    fence: int
    since: float
    seconds: float


def is_held(lease, now):
    """Tell whether orders may be given under the lease.

    >>> lease = Lease(4, 10.0, 3.0)
    >>> is_held(lease, 12.0), is_held(lease, 13.0), is_held(None, 12.0)
    (True, False, False)
    """
    return lease is not None and now - lease.since < lease.seconds - END_S


def is_recent(lease, now):
    """Tell whether the lease need not be renewed yet.

    >>> lease = Lease(4, 10.0, 3.0)
    >>> is_recent(lease, 11.1), is_recent(lease, 11.3)
    (True, False)
    """
    return now - lease.since < lease.seconds * RENEW_SHARE


class ClaimWatch:
    """Follows the claims on this box's clock.

    Parameters
    ----------
    lease_s : float
        For which a claim is good after its append was sent.

    Attributes
    ----------
    end : int or None
        Where the claims end in the store, as far as was read.
    """

    def __init__(self, lease_s):
        self._lease_s = lease_s
        self.end = None
        self._claim = None
        self._since = 0.0

    def record(self, claim, now):
        """Note the newest claim that was read."""
        if self._claim is None or claim.fence > self._claim.fence:
            self._claim = claim
            self._since = now

    def may_claim(self, holder, now):
        """Tell whether the box `holder` may append a claim of its own.

        >>> watch = ClaimWatch(3.0)
        >>> watch.may_claim('a', 0.0)
        True
        >>> watch.record(Claim('b', 7), 1.0)
        >>> watch.may_claim('a', 2.0), watch.may_claim('a', 6.0)
        (False, True)
        """
        if self._claim is None or self._claim.holder == holder:
            return True
        return now - self._since >= self._lease_s + TAKEOVER_S

    def is_last_holder(self, holder):
        """Tell whether the newest claim is that of the box `holder`."""
        return self._claim is not None and self._claim.holder == holder


def compute_claim_delay(place):
    """Give the seconds for which a box leaves a free right to others.

    Parameters
    ----------
    place : int
        Of the box in the hash order of all boxes.

    >>> compute_claim_delay(0), compute_claim_delay(2), compute_claim_delay(194)
    (0.0, 0.3, 2.0)
    """
    return min(place * TURN_S, MOST_TURN_S)


class Order(typing.NamedTuple):
    """An order to load a version of a model's weights."""

    target: str
    model: str
    version: int


class Pending(typing.NamedTuple):
    """An order that was given: when, and what became of it."""

    order: Order
    sent: float
    state: str


PREPARING = 'preparing'
ACCEPTED = 'accepted'
UNANSWERED = 'unanswered'
REFUSED = 'refused'

# How long a state keeps a target from being ordered again, seconds.
WAITS = {
    PREPARING: LOAD_S,
    ACCEPTED: LOAD_S,
    UNANSWERED: UNANSWERED_S,
    REFUSED: REFUSED_S,
}
# States in which a target is about to refuse requests, or does already.
LOADING = (PREPARING, ACCEPTED, UNANSWERED)


class Rollout:
    """Plans the orders for one model."""

    def __init__(self):
        self._pending = {}

    def record(self, order, now, state):
        """Note what became of an order."""
        self._pending[order.target] = Pending(order, now, state)

    def finish(self, target):
        """Note that nothing is under way at a target any more."""
        self._pending.pop(target, None)

    def plan(self, model, version, targets, most, now):
        """List the orders to give now.

        Parameters
        ----------
        version : int
            The newest one named.
        targets : dict of str to int
            The version that each target of the model has.
        most : int
            Targets that may load at once without slowing each other.

        >>> rollout = Rollout()
        >>> orders = rollout.plan('m', 2, {'a': 1, 'b': 1, 'c': 2}, 1, 0.0)
        >>> orders
        [Order(target='a', model='m', version=2)]
        >>> rollout.record(orders[0], 0.0, ACCEPTED)
        >>> rollout.plan('m', 2, {'a': 1, 'b': 1, 'c': 2}, 1, 1.0)
        []
        """
        self._forget(targets, now)
        # One that was refused does not load: it takes up no room.
        loading = [p for p in self._pending.values() if p.state in LOADING]
        room = max(most - len(loading), 0)
        # The furthest behind first: each version has a bound of its own.
        behind = sorted(
            (
                name
                for name, has in targets.items()
                if has < version and name not in self._pending
            ),
            key=lambda name: (targets[name], name),
        )
        return [Order(name, model, version) for name in behind[:room]]

    def list_loading(self, now):
        """Give the targets that load or will, and after how many seconds."""
        return {
            name: find_delay(pending, now)
            for name, pending in self._pending.items()
            if pending.state in LOADING
        }

    def _forget(self, targets, now):
        for name, pending in list(self._pending.items()):
            done = targets.get(name, 0) >= pending.order.version
            over = now - pending.sent >= WAITS[pending.state]
            if name not in targets or done or over:
                del self._pending[name]


def find_delay(pending, now):
    """Give after how many seconds a target loads.

    >>> find_delay(Pending(None, 10.0, PREPARING), 10.1)
    0.4
    >>> find_delay(Pending(None, 10.0, ACCEPTED), 10.5)
    0.0
    """
    if pending.state != PREPARING:
        return 0.0
    return round(max(pending.sent + CLOSING_S - now, 0.0), 2)


def is_needed(version, targets):
    """Tell whether any target is behind the named version.

    >>> is_needed(2, {'a': 1, 'b': 2})
    True
    """
    return any(has < version for has in targets.values())


def compute_concurrency(targets, left):
    """Give how many targets may be under way at once.

    As few as bring all to the new weights in time, since the others have to
    carry the load: with 195 boxes, and two fifths of 50 engines under way
    from five seconds after a naming on whatever the time left, 0.60 to 0.73
    of the credit was earned in those seconds.

    Parameters
    ----------
    targets : int
        Targets of the model.
    left : sequence of float
        For each that is behind, the seconds for which it may still be used.

    >>> compute_concurrency(50, [12.0] * 50), compute_concurrency(50, [7.0] * 30)
    (10, 10)
    >>> compute_concurrency(50, [4.0] * 10 + [9.0] * 40), compute_concurrency(50, [1.0] * 30)
    (12, 20)
    >>> compute_concurrency(5, [9.0] * 5), compute_concurrency(5, [2.4] * 2), compute_concurrency(1, [9.0])
    (1, 2, 1)
    """
    usual = int(targets * LOADS_SHARE)
    most = int(targets * MOST_LOADS_SHARE)
    room = min(max(find_pace(left), usual), most)
    return max(min(room, targets - 1), 1)


def find_pace(left):
    """Give how many targets have to be under way for all to be in time.

    >>> find_pace([4.4, 4.4, 4.4]), find_pace([])
    (2, 0)
    """
    paces = [
        place * UNDER_WAY_S / max(seconds, UNDER_WAY_S)
        for place, seconds in enumerate(sorted(left), 1)
    ]
    return round(max(paces, default=0.0))
