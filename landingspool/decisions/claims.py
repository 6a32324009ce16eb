"""At-most-once execution: claims on idempotency keys, folded from the log.

A request that must not be repeated and has an idempotency key is claimed in
the log before it is dispatched.  The first claim in log order wins, and a
box dispatches only after it has read its own claim back as the first.  A
lost answer of the log therefore never leads to a second execution: a box
that has not read its claim back has not dispatched.
"""

import collections
import typing

import msgspec

from landingspool.decisions import decoding

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
        Hash over the workspace and the caller's key.
    claim : str
        Identifier of this claim; never reused.
    box : str
        The claiming box, with its incarnation.
    minted : float
        The time contained in the caller's key, in wall-clock seconds.  It
        is the same in each retry.  A box whose clock is wrong therefore
        considers the keys of all callers too old and claims nothing.
    action : str
        ``claim``, or ``release`` for a claim that was never dispatched.
    """

    key: str
    claim: str
    box: str
    minted: float
    action: typing.Literal['claim', 'release'] = CLAIM


BATCH_DECODER = msgspec.json.Decoder(tuple[Claim, ...])


class Holder(typing.NamedTuple):
    """The claim that holds a key: the first in log order."""

    claim: str
    box: str
    minted: float
    offset: int


class Ledger:
    """The claims within a time window, folded in log order.

    Parameters
    ----------
    window : float
        Seconds for which claims are remembered.  A claim that is older
        when it is read is refused by every reader.
    """

    def __init__(self, window):
        self.window = window
        self.offset = -1
        self._holders = {}
        self._by_age = collections.deque()
        self._newest = 0.0

    def __len__(self):
        return len(self._holders)

    def fold(self, offset, data):
        """Apply one record and return a list of (Claim, outcome).

        A record is a batch of claims.  Any other record is ignored by all
        readers.
        """
        if offset <= self.offset:
            return []
        self.offset = offset
        try:
            batch = decoding.decode('claims', BATCH_DECODER.decode, data)
        except decoding.Malformed:
            return []
        results = [(claim, self._apply(claim, offset)) for claim in batch]
        self._forget()
        return results

    def find(self, key):
        """Return the Holder of a key, or None."""
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
            self._by_age.append((claim.minted, claim.key, claim.claim))
            return WON
        return WON if holder.claim == claim.claim else LOST

    def _release(self, claim, offset):
        holder = self._holders.get(claim.key)
        if holder is None or holder.claim != claim.claim:
            return SPENT
        # A claim is released only by its own box, and only if that box
        # will never dispatch it, so the key is free for the next claim.
        del self._holders[claim.key]
        return WON

    def _forget(self):
        # Claims expire by the times in the log and not by a local clock, so
        # that all readers drop a claim at the same record.  Twice the
        # window is longer than any retry of the claim is accepted.
        while self._by_age:
            minted, key, claim = self._by_age[0]
            if minted >= self._newest - 2 * self.window:
                return
            self._by_age.popleft()
            holder = self._holders.get(key)
            if holder is not None and holder.claim == claim:
                del self._holders[key]


ACTIONS = {CLAIM: Ledger._claim, RELEASE: Ledger._release}


def encode_batch(batch):
    """Encode claims as one record for the log."""
    return msgspec.json.encode(list(batch))


def check_age(minted, now, window):
    """Return whether a caller's key is young enough to be claimed.

    A key contains the time at which it was made and may be claimed for half
    a window.  Its first claim falls into that time and is therefore still
    known to every reader when the last retry arrives.

    >>> check_age(100.0, 120.0, 60.0)
    True
    >>> check_age(100.0, 140.0, 60.0)
    False
    """
    return abs(now - minted) <= window / 2
