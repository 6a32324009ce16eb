"""Which boxes of a failure domain look after targets that went dark.

Where each box looks after each dark target by itself, probes grow with the
product of both: 195 boxes and 13 targets made some 1,200 a second.  So in a
large domain two boxes go on trying each dark target, found by rendezvous
hashing, and the others wait for their word that it is back.  A watcher that
has not been heard for a second is not waited for.
"""

import typing

from landingspool.decisions.gateway import readers
from landingspool.decisions import ownership

# Boxes of a domain that look after one target: one may fail unnoticed.
WATCHERS = 2
# Seconds for which a box's word counts: five digests.
FRESH_S = 1.0


class Word(typing.NamedTuple):
    """The targets that a box could not reach, as it told at `at`."""

    unreached: frozenset
    at: float


class Watchers:
    """The duties of the boxes of one domain, as one of them sees them."""

    def __init__(self):
        self._box = ''
        self._members = ()
        self._words = {}

    def set_members(self, box, near):
        """Set the name of this box and those of the others of its domain."""
        self._box = box
        self._members = tuple(sorted((*near, box)))

    def receive_report(self, box, unreached, now):
        """Take in which targets another box can't reach.

        Returns
        -------
        frozenset of str
            Targets that it looks after and reaches again.

        >>> watching = Watchers()
        >>> watching.set_members('a', 'bcdef')
        >>> first, second = watching.list_watchers('t')
        >>> watching.receive_report(first, ('t',), 1.0), watching.receive_report(first, (), 1.2)
        (frozenset(), frozenset({'t'}))
        """
        known = self._words.get(box)
        word = Word(frozenset(unreached), now)
        self._words[box] = word
        if known is None:
            return frozenset()
        back = known.unreached - word.unreached
        return frozenset(t for t in back if box in self.list_watchers(t))

    def exclude_stall(self, seconds):
        """Leave out seconds for which this box did not run."""
        for box, word in self._words.items():
            self._words[box] = word._replace(at=word.at + seconds)

    def list_watchers(self, target):
        """List the boxes that look after a target; empty: each for itself."""
        if len(self._members) <= readers.MAX_DIRECT_READERS:
            return ()
        return ownership.rank(target, self._members)[:WATCHERS]

    def is_duty(self, target):
        """Tell whether this box looks after a target for others."""
        return self._box in self.list_watchers(target)

    def is_watched(self, target, now):
        """Tell whether others look after a target and find it dark.

        >>> watching = Watchers()
        >>> watching.set_members('a', 'bcdef')
        >>> names = [f't{n}' for n in range(20)]
        >>> name = next(n for n in names if not watching.is_duty(n))
        >>> watching.is_watched(name, 1.0)
        False
        >>> watcher = watching.list_watchers(name)[0]
        >>> _ = watching.receive_report(watcher, (name,), 1.0)
        >>> watching.is_watched(name, 1.5), watching.is_watched(name, 2.5)
        (True, False)
        """
        watchers = self.list_watchers(target)
        if self._box in watchers:
            return False
        words = [self._words[box] for box in watchers if box in self._words]
        return any(
            target in word.unreached and now - word.at < FRESH_S
            for word in words
        )
