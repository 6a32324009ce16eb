"""Decides which boxes read the platform's store and which follow a peer.

In a small domain each box reads for itself: this is the simplest, and the
calls cost little.  In a large domain the two boxes with the fastest links
read, and the others follow one of them.  If these fail, the next two in the
same order take over.

Two rules limit the age of a table.  A box that gets no answer from the store
reports so at once, and follows a peer itself.  And whatever its peers report,
a box reads for itself as soon as its own proof is old.  Without this rule, in
a domain of 19 boxes, giving up two failed readers one after the other took
2.4 s; with it, 0.1 s (tests/gateway/test_turned_away.py).
"""

import typing

from landingspool.decisions import ownership

# Boxes of a large domain that read: if one fails the other continues.
READERS = 2
# Domain size up to which each box reads for itself.
MAX_DIRECT_READERS = 4
# Seconds for which a failed reader is avoided.
AVOID_S = 4.0
# Seconds by which a reader's own proof may be older than two holds: a reader
# that works renews it within two holds and the round trips to a slow store.
STALE_SLACK_S = 0.5
# Share of the maximum table age for which a read of tables is held at most.
# In a chain of two reads each is held for half of it.
HOLD_SHARE = 0.4
# Maximum seconds for which a read of tables is held, whatever the maximum age.
MAX_HOLD_S = 1.2
# Share of the maximum table age at which a box's own proof is too old to rely
# on.  It is above the age reached in a chain of two reads, and the remainder
# suffices for a read that has to wait for its time-out of a second
# (1.8 of 3 s) or for a busy store (1.2 of 2 s).
OLD_SHARE = 0.6


class Ages(typing.NamedTuple):
    """The ages that follow from the maximum age of tables.

    Attributes
    ----------
    hold_s, chained_s : float
        Seconds for which a read is held if boxes read for themselves, and if
        some follow others.
    old_s : float
        Age of a box's own proof at which it reads for itself.
    """

    hold_s: float
    chained_s: float
    old_s: float


def plan_ages(bound_s):
    """Return the Ages for a maximum table age in seconds.

    >>> plan_ages(2.0)
    Ages(hold_s=0.8, chained_s=0.4, old_s=1.2)
    """
    hold_s = min(bound_s * HOLD_SHARE, MAX_HOLD_S)
    return Ages(hold_s, hold_s / 2, bound_s * OLD_SHARE)


def is_stale(age_s, hold_s, old_s):
    """Return whether a reader's proof is so old that it can't be reading.

    >>> is_stale(1.2, 0.6, 1.8), is_stale(1.9, 0.6, 1.8)
    (False, True)
    >>> is_stale(4.8, 2.4, 1.8)
    False
    """
    return age_s > max(2 * hold_s + STALE_SLACK_S, old_s)


def rank_readers(links):
    """List boxes in the order in which they read for the others.

    A reader sends every change to half of its domain.  One with the slowest
    link (5 Mbit/s) sent all that it can carry, 0.7 MB/s, for 17 followers, and
    answered them too late.

    Parameters
    ----------
    links : dict of str to float
        Capacity of the link of each box, Mbit/s.

    >>> rank_readers({'a': 5.0, 'b': 100.0, 'c': 5.0})[0]
    'b'
    """
    ranked = ownership.rank('reader', tuple(sorted(links)))
    return sorted(ranked, key=lambda name: -links[name])


class Readers:
    """The readers of one domain as seen by one box.

    Parameters
    ----------
    box : str
    link_mbps : float
        Capacity of its link, Mbit/s.
    old_s : float
        Age of its own proof, in seconds, at which the box reads for itself.
    """

    def __init__(self, box, link_mbps, old_s):
        self._box = box
        self._link_mbps = link_mbps
        self._old_s = old_s
        self._avoided = {}

    def avoid(self, name, now):
        """Record that a box failed; the own name: the store failed it."""
        self._avoided[name] = now + AVOID_S

    def is_avoided(self, name, now):
        """Return whether a box failed shortly before `now`."""
        return now < self._avoided.get(name, 0.0)

    def pick(self, links, age_s, now):
        """Pick the box to read from; None: the store itself.

        Parameters
        ----------
        links : dict of str to float
            Capacity of the links, in Mbit/s, of the peers in this domain.
        age_s : float
            Age of this box's own proof, in seconds.

        >>> readers = Readers('a', 5.0, 1.2)
        >>> readers.pick({'b': 5.0}, 0.0, 1.0) is None
        True
        """
        if len(links) + 1 <= MAX_DIRECT_READERS:
            return None
        # If the first readers fail the next two read for all: if every box
        # did, each of them would add load to a failing store.
        ranked = rank_readers({**links, self._box: self._link_mbps})
        sound = [n for n in ranked if not self.is_avoided(n, now)]
        reads = age_s > self._old_s or self._box in sound[:READERS]
        if reads and self._box in sound:
            return None
        others = [n for n in sound if n != self._box]
        # Followers are spread over the readers, so that each sends to half of
        # them.
        return ownership.get_owner(self._box, others[:READERS])
