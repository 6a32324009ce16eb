"""Makes the fences of orders, so that no two boxes ever use the same one.

An offset in the platform's store can't be a fence: a store that comes back
from a copy gives offsets out again.  A fence is a ballot instead: a round, and
in its low bits the number of the box, which no other box has.  A box takes a
round above every one that it has heard of, from claims, from other boxes and
by refusals of targets.  So fences differ whatever the store has lost, and rise
as far as their holders have heard of each other.
"""

import contextlib
import ipaddress
import math
import typing

import msgspec

from landingspool.decisions import decoding

# Bits of the number of a box, which is its IPv4 address.
NUMBER_BITS = 32
# A ballot fits into a signed integer of 64 bits.  Up to round 2**21 it is
# exact as a float, too.
MAX_ROUND = 2**31 - 1
# Rounds that a refusal adds at most: a target that refuses whatever it gets
# must not use them up.
MAX_STEP = 1024
# Seconds for which other boxes are told of a ballot after it was first heard.
TOLD_S = 30.0

# A ballot that was used, or 0.
Ballot = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class BallotQuery(typing.NamedTuple):
    """Asks a box for the highest ballot that it has used or heard of."""

    box: str
    number: decoding.Count


class BallotReply(typing.NamedTuple):
    """Answers a BallotQuery, with its number."""

    box: str
    number: decoding.Count
    ballot: Ballot


class Exhausted(Exception):
    """There is no round above the highest one."""


def number_box(host):
    """Return the number of a box; None if its address gives it none.

    Parameters
    ----------
    host : str
        Address at which other boxes reach it.

    >>> number_box('10.0.0.1'), number_box('0.0.0.0'), number_box('a.example')
    (167772161, None, None)
    """
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return None if address.is_unspecified else int(address)


def make_ballot(round_, number):
    """Return the ballot of a box in a round.

    >>> make_ballot(1, 7) < make_ballot(2, 3) < make_ballot(2, 4)
    True
    >>> make_ballot(MAX_ROUND, 2**NUMBER_BITS - 1) == 2**63 - 1
    True
    """
    return round_ << NUMBER_BITS | number


def get_round(ballot):
    """Return the round of a ballot.

    >>> get_round(make_ballot(5, 7))
    5
    """
    return ballot >> NUMBER_BITS


class Ballots:
    """The ballots that this box has used or heard of.

    Attributes
    ----------
    claimed : int
        The highest one that a claim is known to bear.
    told_at : float
        When another box told of it, in seconds of this box's clock; minus
        infinity if it was this box's own.
    """

    def __init__(self):
        self.claimed = 0
        self.told_at = -math.inf
        # The highest round known, also if no claim was made in it.
        self._highest = 0
        # The ballot of a claim of this box that has no answer yet, or 0.
        self._tried = 0
        self._raised_at = -math.inf
        # The last ballot of this box that was refused, and what the next
        # refusal adds.
        self._refused = 0
        self._step = 1

    def hear(self, ballot, now, is_renewed=False):
        """Record the ballot of a claim that was read, or told by another box.

        Parameters
        ----------
        is_renewed : bool
            Whether its holder may have renewed the claim until now.

        >>> ballots = Ballots()
        >>> ballots.hear(make_ballot(4, 7), 1.0)
        >>> [get_round(ballots.pick(9)) for _ in 'ab']
        [5, 6]
        """
        if ballot > self.claimed:
            self._raise_to(ballot, now)
            self.told_at = now
        elif is_renewed and ballot == self.claimed:
            self.told_at = max(self.told_at, now)

    def pick(self, number):
        """Return a ballot of this box in a round above all that are known.

        Raises
        ------
        Exhausted
        """
        if self._highest >= MAX_ROUND:
            raise Exhausted(f'round {MAX_ROUND} has been used')
        self._highest += 1
        return make_ballot(self._highest, number)

    @contextlib.contextmanager
    def trying(self, ballot):
        """Count a ballot as possibly claimed while a claim has no answer."""
        self._tried = ballot
        try:
            yield
        finally:
            self._tried = 0

    def get_possible(self):
        """Return the highest ballot that a claim bears or may bear soon.

        >>> ballots = Ballots()
        >>> with ballots.trying(5):
        ...     ballots.get_possible()
        5
        >>> ballots.get_possible()
        0
        """
        return max(self.claimed, self._tried)

    def record_claimed(self, ballot, now):
        """Record that this box has claimed with a ballot."""
        if ballot > self.claimed:
            self._raise_to(ballot, now)
            self.told_at = -math.inf

    def record_refused(self, ballot):
        """Record that a target has seen a higher fence than this ballot.

        Which one is not told, so the next round is further above with each
        ballot that is refused.

        >>> ballots = Ballots()
        >>> for _ in range(3):
        ...     ballots.record_refused(ballots.pick(7))
        >>> get_round(ballots.pick(7))
        11
        """
        if ballot <= self._refused:
            # One of the orders under the same ballot.
            return
        self._refused = ballot
        self._highest = min(self._highest + self._step, MAX_ROUND - 1)
        self._step = min(2 * self._step, MAX_STEP)

    def record_taken(self):
        """Record that a target has taken an order of this box."""
        self._step = 1

    def tell_again(self, now):
        """Tell the other boxes again of the highest ballot claimed."""
        self._raised_at = now

    def get_due(self, now):
        """Return the ballot to tell other boxes of, or 0.

        >>> ballots = Ballots()
        >>> ballots.hear(4, 1.0)
        >>> ballots.get_due(2.0), ballots.get_due(40.0)
        (4, 0)
        """
        return self.claimed if now - self._raised_at < TOLD_S else 0

    def _raise_to(self, ballot, now):
        self.claimed = ballot
        self._raised_at = now
        self._highest = max(self._highest, get_round(ballot))
