"""Knows which targets have said that they leave.

A target that leaves says so in its answers, before or without the platform's
list.  The word holds for the life of the target that said it and for as long
as that lasts, whatever is read later: a list read anew, another box's state or
an entry that lapsed and came back tell what was written before.

The other boxes are told, since one that has not asked the target of late, or
that starts, would learn it by a request that runs on a target about to go.
"""

import collections
import typing

from landingspool.decisions.gateway import bounded
from landingspool.decisions.gateway import peer_digests

# Lives of which the word is kept: more than leave while any box is up, but
# for the longest lives.
MOST_KNOWN = 4096
# Seconds for which a new word goes into each digest, and after which only
# into each fifth, for as long as targets usually take to leave.
NEW_S = 1.0
AGAIN_EVERY = 5
TOLD_S = 60.0
# Notices in one digest at most, 9 bytes each.
MOST_TOLD = 40


class Known(typing.NamedTuple):
    """The word of one life.

    Attributes
    ----------
    life : int
        Its code (neighbours.hash_target).
    heard : float
        When the answer came that said so.
    box : str
        The box that told this one; empty where the target did.
    is_over : bool
        Whether the life is over.
    """

    life: int
    heard: float
    box: str = ''
    is_over: bool = False


class Leaving:
    """The lives that have said that they leave.

    Attributes
    ----------
    fresh : list of Known
        What was learnt, or is over, since it was last emptied.
    """

    def __init__(self):
        self.fresh = []
        self._known = collections.OrderedDict()
        self._digests = 0

    def record_reported(self, name, now):
        """Take in that an answer of a target said so.

        Parameters
        ----------
        name : str
            Of the target's life.

        >>> leaving = Leaving()
        >>> leaving.record_reported('t', 1.0)
        >>> leaving.holds('t'), leaving.holds('u')
        (True, False)
        """
        self._put(Known(peer_digests.hash_target(name), now))

    def take(self, word, box, now):
        """Take in what another box tells.

        Parameters
        ----------
        word : neighbours.LeavingNotice
        """
        self._put(Known(word.life, now - word.age_ms / 1000, box))

    def record_over(self, name):
        """Note that a life is over; its word stays, it may only seem so."""
        life = peer_digests.hash_target(name)
        known = self._known.get(life)
        if known is not None and not known.is_over:
            self._known[life] = known._replace(is_over=True)
            self.fresh.append(self._known[life])

    def holds(self, name):
        """Tell whether a target has said that it leaves."""
        return peer_digests.hash_target(name) in self._known

    def find(self, name):
        """Give the Known word of a life; None where there is none."""
        return self._known.get(peer_digests.hash_target(name))

    def tell(self, now):
        """Give the words for the next digest.

        >>> leaving = Leaving()
        >>> leaving.record_reported('t', 1.0)
        >>> [len(leaving.tell(at)) for at in (1.1, 2.1, 2.3, 2.5, 2.7, 70.0)]
        [1, 0, 0, 0, 1, 0]
        """
        self._digests += 1
        again = self._digests % AGAIN_EVERY == 0
        words = [
            make_notice(known, now)
            for known in self._known.values()
            if now - known.heard < (TOLD_S if again else NEW_S)
        ]
        return tuple(words[-MOST_TOLD:])

    def list_notices(self, now):
        """List the words of the lives that last, for a box that starts."""
        return [
            make_notice(known, now)
            for known in self._known.values()
            if not known.is_over
        ]

    def _put(self, known):
        if known.life in self._known:
            return
        self._known[known.life] = known
        self.fresh.append(known)
        bounded.trim(self._known, MOST_KNOWN)


def make_notice(known, now):
    """Give the neighbours.LeavingNotice of a Known."""
    age_ms = max(int((now - known.heard) * 1000), 0)
    return peer_digests.LeavingNotice(known.life, age_ms)
