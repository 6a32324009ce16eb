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
# A fence fits into a signed integer of 64 bits.  Up to round 2**21 it is exact
# as a float, too.
MAX_ROUND = 2**31 - 1
# Seconds for which other boxes are told of a round after it was first heard.
TOLD_S = 30.0

Round = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_ROUND)]


class RoundQuery(typing.NamedTuple):
    """Asks a box for the highest round that it has used or heard of."""

    box: str
    number: decoding.Count


class RoundReply(typing.NamedTuple):
    """Answers a RoundQuery, with its number."""

    box: str
    number: decoding.Count
    round: Round


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


def make_fence(round_, number):
    """Return the fence of a box in a round.

    >>> make_fence(1, 7) < make_fence(2, 3) < make_fence(2, 4)
    True
    >>> make_fence(MAX_ROUND, 2**NUMBER_BITS - 1) == 2**63 - 1
    True
    """
    return round_ << NUMBER_BITS | number


class Rounds:
    """The rounds that this box has heard of.

    Attributes
    ----------
    claimed : int
        The highest one that a claim is known to bear.
    heard_at : float
        When another box told of it, in seconds of this box's clock; minus
        infinity if it was this box's own.
    """

    def __init__(self):
        self.claimed = 0
        self.heard_at = -math.inf
        # The highest one known, also if no claim was made with it.
        self._highest = 0
        # That of a claim of this box that has no answer yet, or 0.
        self._tried = 0
        self._raised_at = -math.inf
        self._jump = 1

    def hear(self, round_, now):
        """Record the round of a claim that was read, or told by another box.

        >>> rounds = Rounds()
        >>> rounds.hear(4, 1.0)
        >>> rounds.pick(), rounds.pick()
        (5, 6)
        """
        if round_ > self.claimed:
            self.heard_at = now
            self._raise_to(round_, now)

    @contextlib.contextmanager
    def trying(self, round_):
        """Count a round as possibly claimed while a claim has no answer."""
        self._tried = round_
        try:
            yield
        finally:
            self._tried = 0

    def get_possible(self):
        """Return the highest round that a claim bears or may bear soon.

        >>> rounds = Rounds()
        >>> with rounds.trying(rounds.pick()):
        ...     rounds.get_possible()
        1
        >>> rounds.get_possible()
        0
        """
        return max(self.claimed, self._tried)

    def record_claimed(self, round_, now):
        """Record that this box has claimed with a round."""
        if round_ > self.claimed:
            self._raise_to(round_, now)

    def pick(self):
        """Return a round above all that are known.

        Raises
        ------
        Exhausted
        """
        if self._highest >= MAX_ROUND:
            raise Exhausted(f'round {MAX_ROUND} has been used')
        self._highest += 1
        return self._highest

    def record_refused(self):
        """Record that a target has seen a higher fence than this box knows.

        Which one is not told, so the next round is further above with each
        refusal.

        >>> rounds = Rounds()
        >>> for _ in range(3):
        ...     rounds.record_refused()
        >>> rounds.pick()
        8
        """
        self._highest = min(self._highest + self._jump, MAX_ROUND)
        self._jump *= 2

    def record_taken(self):
        """Record that a target has taken an order of this box."""
        self._jump = 1

    def tell_again(self, now):
        """Tell the other boxes again of the highest round claimed."""
        self._raised_at = now

    def get_due(self, now):
        """Return the round to tell other boxes of, or 0.

        >>> rounds = Rounds()
        >>> rounds.hear(4, 1.0)
        >>> rounds.get_due(2.0), rounds.get_due(40.0)
        (4, 0)
        """
        return self.claimed if now - self._raised_at < TOLD_S else 0

    def _raise_to(self, round_, now):
        self.claimed = round_
        self._raised_at = now
        self._highest = max(self._highest, round_)
