"""Which boxes read from the platform's store, and which from these.

Few boxes read all for themselves: that is the simplest, and the calls cost
little.  Where a domain has many, two of them read and the others follow
those two; where these fail, the next two in the same order.  A box whose
proof has grown old all the same reads for itself.
"""

from landingspool.decisions import ownership

# Boxes of a large domain that read: one may fail and the other goes on.
READERS = 2
# Boxes of a domain up to which each reads for itself.
MOST_ALONE = 4
# Seconds for which a reader that failed is not asked again.
SHUN_S = 4.0
# Seconds over two holds by which a reader's own word may be old: a sound one
# renews it in two holds and the trips of a slow store.  For tables that makes
# 1.7 s, under the least bound (two seconds) within which they are to hold.
STALE_SLACK_S = 0.5
# Age of the proof at which a box reads for itself whatever its place: over
# that of a chain of two held reads (2.4 s), under the bound for keys (5 s).
ALONE_AGE_S = 3.4


def is_stale(age_s, hold_s):
    """Tell whether a reader's word is so old that it can't read itself.

    >>> is_stale(1.2, 0.6), is_stale(1.8, 0.6), is_stale(4.8, 2.4)
    (False, True, False)
    """
    return age_s > 2 * hold_s + STALE_SLACK_S


class Readers:
    """The readers of one domain as one box sees them.

    Parameters
    ----------
    box : str
    """

    def __init__(self, box):
        self._box = box
        self._shunned = {}

    def shun(self, name, now):
        """Note that a box did not answer."""
        self._shunned[name] = now + SHUN_S

    def pick(self, boxes, age_s, now):
        """Pick the box to read from; None: the store itself.

        Parameters
        ----------
        boxes : iterable of str
            The other boxes of this domain.
        age_s : float
            Age of the proof that this box has.

        >>> readers = Readers('a')
        >>> readers.pick(['b'], 0.0, 1.0) is None
        True
        """
        names = sorted({*boxes, self._box})
        if len(names) <= MOST_ALONE or age_s > ALONE_AGE_S:
            return None
        # Where the first ones fail the next ones read for the others: if
        # all did, a store in trouble would be asked by every box.
        ranked = ownership.rank('reader', tuple(names))
        sound = [n for n in ranked if now >= self._shunned.get(n, 0.0)]
        if self._box in sound[:READERS]:
            return None
        return sound[0]
