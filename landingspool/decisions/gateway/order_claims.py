"""Decides which box may give load orders: one at a time, under a lease.

Orders of two boxes would load more targets at once than planned.  A box claims
the lease by an append to the platform's store that succeeds only if nothing
was appended since its last read.  The store has no clock for the lease: a box
that sees another box's claim waits until that claim has not changed for the
whole lease plus the time for which an order may be under way.

The store may lose a claim whose lease still runs, by a return from a copy.  So
a box that may have missed a claim, since it has just started or its reads were
interrupted, waits as long as for a claim that it has seen.  After an
interruption it need not wait if all other boxes have told it since then which
claims they know.
"""

import math
import typing

# Seconds beyond the lease by which another box's claim has to be old before it
# is taken over.  An order of the former holder may be under way for longer,
# but the target refuses it for its lower fence.
TAKEOVER_S = 0.4
# Seconds before the lease's end at which its holder gives no more orders.
LEASE_MARGIN_S = 0.5
# Seconds between the attempts of two boxes to claim a free lease, in the hash
# order of all boxes: longer than it takes until all have read a claim (an
# append of some ms, and two long-polled reads).  Otherwise all boxes would
# append for each published version, and all but one in vain.  The delay has a
# maximum, since many boxes may be disconnected from the store.
CLAIM_DELAY_S = 0.15
MAX_CLAIM_DELAY_S = 2.0
# Share of the lease after which its holder appends again.
RENEW_SHARE = 0.4


class Claim(typing.NamedTuple):
    """A holder's claim as it is in the store.

    `offset` is its place in the log, and `ballot` the fence of its orders; 0
    in the claim of an earlier build, or in one that can't be decoded.
    `loading` has the targets that the holder has ordered or will order, and in
    how many seconds: every box reads the claim and sends them only requests
    that end before.  `versions` has a peer_digests.VersionNotice of each
    version that boxes have to know: one that starts can't tell their ages.
    `age_s` is the time since its writing by the time of day, 0 if not told.
    `given` has a rollouts.Given of each order that may be carried out, for
    the next holder.
    """

    holder: str
    offset: int
    loading: dict = {}
    versions: tuple = ()
    age_s: float = 0.0
    given: tuple = ()
    ballot: int = 0

    @property
    def rank(self):
        """Return what orders claims, also those of a log that went back."""
        return self.ballot, self.offset


class Lease(typing.NamedTuple):
    """This box's own claim, appended at `offset`.

    It was sent at `since`, on this box's clock.
    """

    ballot: int
    since: float
    seconds: float
    offset: int = -1


def is_held(lease, now):
    """Return whether orders may be given under the lease.

    >>> lease = Lease(4, 10.0, 3.0)
    >>> is_held(lease, 12.0), is_held(lease, 13.0), is_held(None, 12.0)
    (True, False, False)
    """
    return (
        lease is not None
        and now - lease.since < lease.seconds - LEASE_MARGIN_S
    )


def is_recent(lease, now):
    """Return whether the lease need not be renewed yet.

    >>> lease = Lease(4, 10.0, 3.0)
    >>> is_recent(lease, 11.1), is_recent(lease, 11.3)
    (True, False)
    """
    return now - lease.since < lease.seconds * RENEW_SHARE


class ClaimWatch:
    """Track the newest claim on this box's clock.

    Parameters
    ----------
    lease_s : float
        Seconds for which a claim is valid after its append was sent.
    is_first_start : bool
        Whether no box can have claimed before this one started.

    Attributes
    ----------
    end : int or None
        Offset of the end of the claims in the store, as far as was read.
    claim : Claim or None
        The newest one.
    rollbacks : int
        How often the log was rolled back.
    is_interrupted : bool
        Whether claims may be missed until the next answered read.
    resumed_at : float
        When the last interruption was over.
    """

    def __init__(self, lease_s, is_first_start=False):
        self._takeover_s = lease_s + TAKEOVER_S
        self.end = None
        self.claim = None
        self.rollbacks = 0
        self._since = 0.0
        self.is_interrupted = not is_first_start
        self._interrupted_at = -math.inf
        # Whether the words of the other boxes don't settle the interruption.
        self._has_to_wait = not is_first_start
        # When the last interruption was over.
        self.resumed_at = -math.inf
        # Until when a claim that this box has missed may be valid.
        self._unsettled_until = -math.inf

    @property
    def written(self):
        """Return when the newest claim was written, on this box's clock."""
        return self._since - self.claim.age_s

    def record(self, claim, now):
        """Record a claim that was read, if it is the newest.

        One with a lower ballot was on its way before the newest was made.

        >>> watch = ClaimWatch(3.0)
        >>> watch.record(Claim('b', 7, ballot=5), 1.0)
        >>> watch.record(Claim('a', 8, ballot=4), 2.0)
        >>> watch.claim.holder
        'b'
        """
        known = self.claim
        if known is not None and claim.offset <= known.offset:
            return
        if known is not None and 0 < claim.ballot < known.ballot:
            return
        self.claim = claim
        self._since = now

    def is_overtaken(self, holder, lease):
        """Return whether another box has claimed since a box has.

        Parameters
        ----------
        holder : str
            Name of the box that has the lease.
        lease : Lease
        """
        if self.claim is None or self.claim.holder == holder:
            return False
        return (
            self.claim.ballot > lease.ballot
            or self.claim.offset > lease.offset
        )

    def may_claim(self, holder, now):
        """Return whether no other box than `holder` has a valid claim.

        Claims that this box may have missed are left to `is_settled`.

        >>> watch = ClaimWatch(3.0)
        >>> watch.may_claim('a', 0.0)
        True
        >>> watch.record(Claim('b', 7), 1.0)
        >>> watch.may_claim('a', 2.0), watch.may_claim('a', 6.0)
        (False, True)
        """
        if self.claim is None or self.claim.holder == holder:
            return True
        return now - self._since >= self._takeover_s

    def interrupt(self, now):
        """Record that claims may be missed from now on.

        >>> watch = ClaimWatch(3.0, True)
        >>> watch.interrupt(5.0)
        >>> watch.resume(6.0, 4.9)
        >>> watch.is_interrupted
        True
        >>> watch.resume(6.0, 5.1)
        >>> watch.is_interrupted
        False
        """
        self.is_interrupted = True
        self._interrupted_at = now

    def resume(self, now, proved):
        """Record that claims are read again.

        Parameters
        ----------
        proved : float
            When the store was read that the answer at `now` comes from.
        """
        if not self.is_interrupted or proved < self._interrupted_at:
            return
        self.is_interrupted = False
        self.resumed_at = now
        if self._has_to_wait:
            self._has_to_wait = False
            self.suspect(now)

    def suspect(self, at):
        """Record that a claim which is not known may have been made at `at`.

        >>> from landingspool.decisions.gateway import ballots
        >>> watch, told = ClaimWatch(3.0, True), ballots.Ballots()
        >>> watch.is_settled(told, 1.0)
        True
        >>> watch.suspect(2.0)
        >>> [watch.is_settled(told, at) for at in (5.3, 5.5)]
        [False, True]
        """
        until = at + self._takeover_s
        self._unsettled_until = max(self._unsettled_until, until)

    def needs_inquiry(self, now):
        """Return whether other boxes may have claimed in an interruption."""
        return now - self.resumed_at < self._takeover_s

    def is_settled(self, told, now, are_all_heard=False):
        """Return whether no claim that this box has not read is valid.

        Parameters
        ----------
        told : ballots.Ballots
            Those of the claims that other boxes have told of.
        are_all_heard : bool
            Whether all other boxes have told of theirs since `resumed_at`.

        >>> from landingspool.decisions.gateway import ballots
        >>> watch, told = ClaimWatch(3.0, True), ballots.Ballots()
        >>> watch.interrupt(1.9)
        >>> watch.resume(2.0, 1.9)
        >>> [watch.is_settled(told, at) for at in (5.3, 5.5)]
        [False, True]
        >>> watch.is_settled(told, 2.1, are_all_heard=True)
        True
        """
        if self.is_interrupted or now < self._unsettled_until:
            return False
        if self.needs_inquiry(now) and not are_all_heard:
            return False
        known = self.claim.ballot if self.claim is not None else 0
        return told.claimed <= known or now - told.told_at >= self._takeover_s

    def roll_back(self, now):
        """Record that the log has lost claims, and must be read again."""
        self.rollbacks += 1
        self.end = None
        self.claim = None
        self.interrupt(now)
        self._has_to_wait = True
        self.suspect(now)

    def is_last_holder(self, holder):
        """Return whether the newest claim is that of the box `holder`."""
        return self.claim is not None and self.claim.holder == holder


def compute_claim_delay(rank):
    """Return the seconds for which a box leaves a free lease to others.

    Parameters
    ----------
    rank : int
        Rank of the box in the hash order of all boxes.

    >>> [compute_claim_delay(rank) for rank in (0, 2, 194)]
    [0.0, 0.3, 2.0]
    """
    return min(rank * CLAIM_DELAY_S, MAX_CLAIM_DELAY_S)
