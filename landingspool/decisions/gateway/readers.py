"""Which boxes read from the platform's store, and which from these.

Few boxes read all for themselves: that is the simplest, and the calls cost
little.  Where a domain has many, the two with the widest links read and the
others follow one of these; where these fail, the next two in the same order.

Two things bound how late a table may be.  A box that the store does not
answer says so at once, and follows others itself.  And whatever the others
say, a box reads for itself as soon as its own proof is old: leaving failed
readers one after the other took 2.4 s with two of them, in a domain of 19,
and 0.1 s since (tests/gateway/test_turned_away.py).
"""

import typing

from landingspool.decisions import ownership

# Boxes of a large domain that read: one may fail and the other goes on.
READERS = 2
# Boxes of a domain up to which each reads for itself.
MAX_DIRECT_READERS = 4
# Seconds for which a reader that failed is not asked again.
SHUN_S = 4.0
# Seconds over two holds by which a reader's own word may be old: a sound one
# renews it in two holds and the trips of a slow store.
STALE_SLACK_S = 0.5
# Share of the bound for tables for which a read of them is held at most; in a
# chain of two reads, half of it each.
HOLD_SHARE = 0.4
# Seconds for which a read of tables is held whatever the bound.
MOST_HOLD_S = 1.2
# Share of the bound for tables at which a word is too old to go on with: over
# that of a chain, and what is left suffices for a read that has to wait for
# its time-out of a second (1.8 of 3 s) or for a busy store (1.2 of 2 s).
OLD_SHARE = 0.6


class Ages(typing.NamedTuple):
    """What follows from the bound within which tables are to hold.

    Attributes
    ----------
    hold_s, chained_s : float
        Seconds for which a read is held where boxes read for themselves, and
        where some follow others.
    old_s : float
        Age of a box's own proof at which it reads for itself.
    """

    hold_s: float
    chained_s: float
    old_s: float


def plan_ages(bound_s):
    """Give the Ages for a bound in seconds.

    >>> plan_ages(2.0)
    Ages(hold_s=0.8, chained_s=0.4, old_s=1.2)
    """
    hold_s = min(bound_s * HOLD_SHARE, MOST_HOLD_S)
    return Ages(hold_s, hold_s / 2, bound_s * OLD_SHARE)


def is_stale(age_s, hold_s, old_s):
    """Tell whether a reader's word is so old that it can't read itself.

    >>> is_stale(1.2, 0.6, 1.8), is_stale(1.9, 0.6, 1.8)
    (False, True)
    >>> is_stale(4.8, 2.4, 1.8)
    False
    """
    return age_s > max(2 * hold_s + STALE_SLACK_S, old_s)


def rank_readers(links):
    """List boxes in the order in which they are to read for the others.

    A reader sends every change to half of its domain.  Over the narrowest
    links (5 Mbit/s) one sent all that these bear, 0.7 MB/s, for 17 others,
    and answered them too late.

    Parameters
    ----------
    links : dict of str to float
        Width of the link of each box, Mbit/s.

    >>> rank_readers({'a': 5.0, 'b': 100.0, 'c': 5.0})[0]
    'b'
    """
    ranked = ownership.rank('reader', tuple(sorted(links)))
    return sorted(ranked, key=lambda name: -links[name])


class Readers:
    """The readers of one domain as one box sees them.

    Parameters
    ----------
    box : str
    link_mbps : float
        Width of its link.
    old_s : float
        Age of the own proof at which the box reads for itself.
    """

    def __init__(self, box, link_mbps, old_s):
        self._box = box
        self._link_mbps = link_mbps
        self._old_s = old_s
        self._shunned = {}

    def shun(self, name, now):
        """Note that a box failed; the own name: the store failed it."""
        self._shunned[name] = now + SHUN_S

    def is_shunned(self, name, now):
        """Tell whether a box failed shortly before `now`."""
        return now < self._shunned.get(name, 0.0)

    def pick(self, links, age_s, now):
        """Pick the box to read from; None: the store itself.

        Parameters
        ----------
        links : dict of str to float
            The other boxes of this domain, with the width of their links.
        age_s : float
            Age of the proof that this box has.

        >>> readers = Readers('a', 5.0, 1.2)
        >>> readers.pick({'b': 5.0}, 0.0, 1.0) is None
        True
        """
        if len(links) + 1 <= MAX_DIRECT_READERS:
            return None
        # Where the first ones fail the next ones read for the others: if
        # all did, a store in trouble would be asked by every box.
        ranked = rank_readers({**links, self._box: self._link_mbps})
        sound = [n for n in ranked if not self.is_shunned(n, now)]
        reads = age_s > self._old_s or self._box in sound[:READERS]
        if reads and self._box in sound:
            return None
        others = [n for n in sound if n != self._box]
        # Spread over the readers, each of which then has half to send.
        return ownership.find_owner(self._box, others[:READERS])
