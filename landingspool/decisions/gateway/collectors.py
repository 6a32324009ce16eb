"""Which boxes add up what the boxes of a domain tell, in a large fleet.

Each box tells two boxes of its domain; these tell each other's sums between
domains and give the total back to whoever told them.  No box is appointed:
whoever is told collects.  A box that gives no total back is left for the
next one in the order that all boxes agree on.
"""

import typing

from landingspool.decisions import ownership

# Collectors that each box tells: one may stop at any time.
COLLECTORS = 2
# Boxes of a fleet up to which each tells all others: the same bytes as a
# total, and no step between.
MOST_FLAT = 25
# Seconds without a total from a collector that is told: four of its periods.
SILENT_S = 0.8
# Seconds for which a silent one is not told; a box that was killed is back
# after a second or two.
SHUN_S = 4.0
# Seconds for which a box that told, or a collector of another domain that
# was heard, is answered.
KNOWN_S = 1.0


class Collectors:
    """The collectors of its domain as one box sees them.

    Parameters
    ----------
    box : str
    """

    def __init__(self, box):
        self._box = box
        self._waiting = {}
        self._shunned = {}

    def pick(self, boxes, now):
        """Pick the boxes to be told, this one left out.

        Parameters
        ----------
        boxes : iterable of str
            The other boxes of this domain.

        >>> known = Collectors('a')
        >>> sorted(known.pick(['b'], 0.0))
        ['b']
        >>> known.pick(['b'], 1.0)
        []
        """
        self._shun_silent(now)
        names = [
            name
            for name in rank({*boxes, self._box})
            if now >= self._shunned.get(name, now)
        ][:COLLECTORS]
        told = [name for name in names if name != self._box]
        self._waiting = {n: self._waiting.get(n, now) for n in told}
        return told

    def is_collector(self, boxes):
        """Tell whether this box is among the first of its domain."""
        return self._box in rank({*boxes, self._box})[:COLLECTORS]

    def note_total(self, name, now):
        """Note that a collector gave its total."""
        if name in self._waiting:
            self._waiting[name] = now

    def _shun_silent(self, now):
        for name, since in self._waiting.items():
            if now - since > SILENT_S:
                self._shunned[name] = now + SHUN_S


class Contact(typing.NamedTuple):
    """Another box that this one answers, and when it was heard."""

    address: tuple
    at: float


class Contacts:
    """The boxes that told this one something shortly ago.

    >>> contacts = Contacts()
    >>> contacts.note('b', ('10.0.0.2', 8000), 1.0)
    >>> contacts.list_fresh(1.5), contacts.list_fresh(3.0)
    ([('10.0.0.2', 8000)], [])
    """

    def __init__(self):
        self._rows = {}

    def note(self, name, address, now):
        """Note that a box told something."""
        self._rows[name] = Contact(address, now)

    def list_fresh(self, now):
        """List the addresses of those heard shortly before `now`."""
        self._rows = {
            name: row
            for name, row in self._rows.items()
            if now - row.at < KNOWN_S
        }
        return [row.address for row in self._rows.values()]


def rank(boxes):
    """List the boxes of a domain in the order in which they collect."""
    return ownership.rank('collector', tuple(sorted(boxes)))
