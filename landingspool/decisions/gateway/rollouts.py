"""Brings targets to a named version of their weights, by fenced orders.

One box at a time holds the right to give orders for a model.  It is taken
by an append to the platform's store that succeeds only where nobody
appended in between, and the offset of that append is the fence.  The lease
has no clock of the store behind it: a box that sees somebody else's claim
waits until that claim has not changed for the whole lease plus the time for
which an order may be under way.
"""

import typing

# Seconds for which a claim is good after the append was sent.
LEASE_S = 3.0
# Seconds by which a foreign claim has to be old before it is taken over:
# the lease, and the time for which the old holder's calls may be under way.
TAKEOVER_S = 4.5
# A holder appends again when its claim is so old, seconds.
RENEW_S = 1.2
# An order that got no answer may be carried out late; only the target's
# own report, or this many seconds, allows another try.
UNANSWERED_S = 2.5
# An order under way is believed for so long without the target's word.
LOAD_S = 8.0
# Pause after an order that was refused, seconds.
REFUSED_S = 0.6


class Claim(typing.NamedTuple):
    """A holder's claim as it stands in the store."""

    holder: str
    fence: int


class Lease(typing.NamedTuple):
    """This box's own claim: sent at `since`, on its own clock."""

    fence: int
    since: float


def is_held(lease, now):
    """Tell whether orders may be given under the lease.

    >>> is_held(Lease(4, 10.0), 12.0), is_held(Lease(4, 10.0), 13.0)
    (True, False)
    >>> is_held(None, 12.0)
    False
    """
    return lease is not None and now - lease.since < LEASE_S - 0.5


class Watch:
    """Follows the claims of others on this box's clock."""

    def __init__(self):
        self._claim = None
        self._since = 0.0

    def note(self, claim, now):
        """Note the newest claim that was read."""
        if claim != self._claim:
            self._claim = claim
            self._since = now

    def may_claim(self, holder, now):
        """Tell whether the box `holder` may append a claim of its own.

        >>> watch = Watch()
        >>> watch.may_claim('a', 0.0)
        True
        >>> watch.note(Claim('b', 7), 1.0)
        >>> watch.may_claim('a', 2.0), watch.may_claim('a', 6.0)
        (False, True)
        """
        if self._claim is None or self._claim.holder == holder:
            return True
        return now - self._since >= TAKEOVER_S


class Order(typing.NamedTuple):
    """An order to load a version, valid only while `taken` orders ran."""

    target: str
    model: str
    version: int
    taken: int


class Pending(typing.NamedTuple):
    """An order that was given: when, and what became of it."""

    order: Order
    sent: float
    state: str


SENT = 'sent'
ACCEPTED = 'accepted'
UNANSWERED = 'unanswered'
REFUSED = 'refused'

WAITS = {
    SENT: LOAD_S,
    ACCEPTED: LOAD_S,
    UNANSWERED: UNANSWERED_S,
    REFUSED: REFUSED_S,
}


class Rollout:
    """Plans the orders for one model."""

    def __init__(self):
        self._pending = {}

    def note(self, order, now, state):
        """Note what became of an order."""
        self._pending[order.target] = Pending(order, now, state)

    def plan(self, model, version, targets, most, now):
        """List the orders to give now.

        Parameters
        ----------
        version : int
            The newest one named.
        targets : dict of str to tuple of (int, int)
            For each target of the model the version that it has and the
            orders that it has taken.
        most : int
            Targets that may load at once without slowing each other.
        """
        self._forget(version, targets, now)
        room = most - len(self._pending)
        behind = sorted(
            name
            for name, (has, _) in targets.items()
            if has < version and name not in self._pending
        )
        return [
            Order(name, model, version, targets[name][1])
            for name in behind[: max(room, 0)]
        ]

    def list_pending(self):
        """List the targets with an order that is not known to be done."""
        return list(self._pending)

    def is_loading(self, target):
        """Tell whether a target is believed to load now."""
        pending = self._pending.get(target)
        return pending is not None and pending.state in (SENT, ACCEPTED)

    def _forget(self, version, targets, now):
        for name, pending in list(self._pending.items()):
            has = targets.get(name, (version, 0))[0]
            done = has >= pending.order.version
            over = now - pending.sent >= WAITS[pending.state]
            if name not in targets or done or over:
                del self._pending[name]


def is_needed(version, targets):
    """Tell whether any target is behind the named version.

    >>> is_needed(2, {'a': (1, 0), 'b': (2, 0)})
    True
    """
    return any(has < version for has, _ in targets.values())
