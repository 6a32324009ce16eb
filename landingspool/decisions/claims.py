"""At most once: claims on request keys as a fold over the log.

A request that must not be repeated and has a key of its caller's is
claimed in the log before it is dispatched.  The first claim in log order
runs; a box dispatches only after it has read its own claim back as the
first.  So a lost answer of the log can never lead to a second run: whoever
did not read its claim back has not dispatched.
"""

import collections
import typing

import msgspec

STREAM = 'claims'
CLAIM = 'claim'
RELEASE = 'release'

WON = 'won'
LOST = 'lost'
SPENT = 'spent'
OLD = 'old'


class Claim(typing.NamedTuple):
    """One claim or its release.

    Attributes
    ----------
    key : str
        Hash over workspace and the caller's key.
    claim : str
        Identity of this claim; never used again.
    box : str
        The box that claims, with its incarnation.
    minted : float
        The time inside the caller's key, in wall-clock seconds.  It is the
        same in each retry, and a box whose clock is wrong finds the keys
        of all others too old and claims nothing.
    action : str
        ``claim``, or ``release`` for a claim that was never dispatched.
    """

    key: str
    claim: str
    box: str
    minted: float
    action: typing.Literal['claim', 'release'] = CLAIM


class Holder(typing.NamedTuple):
    """Who holds a key: the first claim in log order."""

    claim: str
    box: str
    minted: float
    offset: int


class Ledger:
    """The claims of the window, folded in log order.

    Parameters
    ----------
    window : float
        Seconds for which claims are kept; a claim that is older when it
        is read is refused by every reader alike.
    """

    def __init__(self, window):
        self.window = window
        self.offset = -1
        self._holders = {}
        self._order = collections.deque()
        self._newest = 0.0

    def __len__(self):
        return len(self._holders)

    def fold(self, offset, data):
        """Fold one record; returns a list of (Claim, outcome).

        A batch is one record.  What is not a batch of claims is passed
        over, the same way by all readers.
        """
        if offset <= self.offset:
            return []
        self.offset = offset
        try:
            batch = msgspec.json.decode(data, type=tuple[Claim, ...])
        except (msgspec.ValidationError, msgspec.DecodeError):
            return []
        results = [(claim, self._apply(claim, offset)) for claim in batch]
        self._forget()
        return results

    def find(self, key):
        """Give the Holder of a key, or None."""
        return self._holders.get(key)

    def _apply(self, claim, offset):
        self._newest = max(self._newest, claim.minted)
        if claim.minted < self._newest - self.window:
            return OLD
        return ACTIONS[claim.action](self, claim, offset)

    def _claim(self, claim, offset):
        holder = self._holders.get(claim.key)
        if holder is None:
            held = Holder(claim.claim, claim.box, claim.minted, offset)
            self._holders[claim.key] = held
            self._order.append((claim.minted, claim.key, claim.claim))
            return WON
        return WON if holder.claim == claim.claim else LOST

    def _release(self, claim, offset):
        holder = self._holders.get(claim.key)
        if holder is None or holder.claim != claim.claim:
            return SPENT
        # Only its own box releases a claim, and only one that it will
        # never dispatch, so the key is free for the next claim.
        del self._holders[claim.key]
        return WON

    def _forget(self):
        # Claims are forgotten by the times inside the log and not by a
        # local clock, so that all readers forget at the same record.  The
        # double window keeps a claim for longer than any retry is taken.
        while self._order:
            minted, key, claim = self._order[0]
            if minted >= self._newest - 2 * self.window:
                return
            self._order.popleft()
            holder = self._holders.get(key)
            if holder is not None and holder.claim == claim:
                del self._holders[key]


ACTIONS = {CLAIM: Ledger._claim, RELEASE: Ledger._release}


def encode_batch(batch):
    """Encode claims as one record for the log."""
    return msgspec.json.encode(list(batch))


def check_age(minted, now, window):
    """Tell whether a caller's key is young enough to be claimed.

    A key that names the time at which it was made may be claimed for half
    a window: its first claim, made in that time, is then still known to
    every reader when the last retry comes.

    >>> check_age(100.0, 120.0, 60.0)
    True
    >>> check_age(100.0, 140.0, 60.0)
    False
    """
    return abs(now - minted) <= window / 2
