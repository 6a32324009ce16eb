"""Assigns to each unreachable target the boxes of a domain that probe it.

If each box probes each unreachable target, the number of probes grows with the
product of both: 195 boxes and 13 targets made some 1,200 a second.  So in a
large domain two boxes, assigned by rendezvous hashing, keep probing each
unreachable target, and the others wait for their report that it is back.  A
watcher that has sent no digest for a second is not waited for.
"""

import typing

from landingspool.decisions.gateway import readers
from landingspool.decisions import ownership

# Number of boxes of a domain that watch one target: one may fail unnoticed.
WATCHERS_PER_TARGET = 2
# Seconds for which the report of a box counts: five digests.
FRESH_S = 1.0


class Report(typing.NamedTuple):
    """The targets that a box could not reach, as reported at `at`."""

    unreached: frozenset
    at: float


class Watchers:
    """The watchers of one domain, as seen by one of its boxes."""

    def __init__(self):
        self._box = ''
        self._members = ()
        self._reports = {}
        # Boxes that reach no target.
        self._partitioned = set()

    def set_members(self, box, near):
        """Set the name of this box and those of its peers in the domain."""
        self._box = box
        self._members = tuple(sorted((*near, box)))

    def receive_report(self, box, unreached, now):
        """Record which targets a peer can't reach.

        Returns
        -------
        frozenset of str
            Targets that the peer watches and reaches again.

        >>> watchers = Watchers()
        >>> watchers.set_members('a', 'bcdef')
        >>> first, second = watchers.list_watchers('t')
        >>> watchers.receive_report(first, ('t',), 1.0)
        frozenset()
        >>> watchers.receive_report(first, (), 1.2)
        frozenset({'t'})
        """
        self._partitioned.discard(box)
        known = self._reports.get(box)
        report = Report(frozenset(unreached), now)
        self._reports[box] = report
        if known is None:
            return frozenset()
        back = known.unreached - report.unreached
        return frozenset(t for t in back if box in self.list_watchers(t))

    def record_partitioned(self, box):
        """Record that a peer reaches no target until its next report."""
        self._reports.pop(box, None)
        self._partitioned.add(box)

    def is_partitioned(self, box):
        """Return whether a peer has reported that it reaches no target."""
        return box in self._partitioned

    def exclude_stall(self, seconds):
        """Exclude a stall of this box from the age of reports."""
        for box, report in self._reports.items():
            self._reports[box] = report._replace(at=report.at + seconds)

    def list_watchers(self, target):
        """List the boxes that watch a target; empty: each box probes it."""
        if len(self._members) <= readers.MAX_DIRECT_READERS:
            return ()
        ranked = ownership.rank(target, self._members)
        if self._partitioned:
            ranked = [box for box in ranked if box not in self._partitioned]
        return ranked[:WATCHERS_PER_TARGET]

    def is_duty(self, target):
        """Return whether this box watches a target for its peers."""
        return self._box in self.list_watchers(target)

    def is_watched(self, target, now):
        """Return whether peers watch a target and find it unreachable.

        >>> watchers = Watchers()
        >>> watchers.set_members('a', 'bcdef')
        >>> names = [f't{n}' for n in range(20)]
        >>> name = next(n for n in names if not watchers.is_duty(n))
        >>> watchers.is_watched(name, 1.0)
        False
        >>> watcher = watchers.list_watchers(name)[0]
        >>> _ = watchers.receive_report(watcher, (name,), 1.0)
        >>> watchers.is_watched(name, 1.5), watchers.is_watched(name, 2.5)
        (True, False)
        """
        watchers = self.list_watchers(target)
        if self._box in watchers:
            return False
        reports = [
            self._reports[box] for box in watchers if box in self._reports
        ]
        return any(
            target in report.unreached and now - report.at < FRESH_S
            for report in reports
        )
