"""Tracks the targets that accept no connection, and when to probe them.

A request sent to an unreachable target waits for the whole connection
time-out, and without reports each box would learn of the target by requests of
its own.  So one failed connection excludes a target until a probe connects,
and boxes report excluded targets to each other.  A report from a peer only
makes this box probe the target: the path that failed may be the peer's own.
"""

import typing

# Seconds from a failed connection to the next probe, doubled up to the
# maximum: a target is back after a second or more, and a probe costs one small
# packet.
RETRY_S = 0.3
MAX_RETRY_S = 2.0
# Seconds for which reports from peers are ignored after this box has reached
# the target itself: each probe is a new connection, which has a cost.
CONFIRMED_S = 10.0
# The same for a box that watches the target for its peers.
WATCHER_CONFIRMED_S = 1.0
# Seconds to the next probe if peers watch a target: they report when it is
# back, and this covers the case that none does.  With 13 unreachable targets,
# 195 boxes that all kept probing made 18,300 probes in 15 s; with this pause
# they make 9,500.
WATCHED_RETRY_S = 8.0
# Seconds without a byte from a target with requests after which its path is
# checked, and seconds to the next such check.
SILENCE_S = 0.8
SILENCE_RETRY_S = 3.0
# Consecutive failed connections before a target is reported to peers: a single
# failure may only have met a full queue, and each report makes all boxes
# probe.
REPORT_AFTER = 2


class Outage(typing.NamedTuple):
    """A target that gets no requests.

    Attributes
    ----------
    failed : int
        Consecutive failed connections; 0: only a peer reported it.
    due : float
        When the next probe is due.
    """

    failed: int
    due: float


class Reachability:
    """The unreachable targets, as seen by one box."""

    def __init__(self):
        self._outages = {}
        self._reached = {}
        self._checked = {}

    def record_failed(self, name, now, watched=False):
        """Record that a connection to a target failed.

        Parameters
        ----------
        watched : bool
            Whether other boxes watch the target.

        >>> known = Reachability()
        >>> known.record_failed('a', 10.0)
        >>> known.is_out('a'), known.list_due(10.1), known.list_due(10.4)
        (True, [], ['a'])
        """
        known = self._outages.get(name)
        failed = known.failed + 1 if known is not None else 1
        pause = min(RETRY_S * 2 ** (failed - 1), MAX_RETRY_S)
        if watched:
            pause = WATCHED_RETRY_S
        self._outages[name] = Outage(failed, now + pause)

    def record_reached(self, name, now):
        """Record that a target was connected to or answered."""
        self._outages.pop(name, None)
        self._reached[name] = now

    def suspect(self, name, now, sure_s=CONFIRMED_S):
        """Record a peer's report that it can't connect to a target.

        Parameters
        ----------
        sure_s : float
            Seconds for which this box's own connection overrides the report.

        >>> known = Reachability()
        >>> known.record_reached('a', 9.0)
        >>> known.suspect('a', 10.0)
        >>> known.is_out('a')
        False
        >>> known.suspect('a', 19.0)
        >>> known.is_out('a'), known.list_due(19.0), known.list_failed()
        (True, ['a'], [])
        """
        if name in self._outages:
            return
        if now - self._reached.get(name, -sure_s) >= sure_s:
            self._outages[name] = Outage(0, now)

    def take_unchecked(self, silent, now):
        """Return which silent targets are due to be checked.

        A silent target may be sound: it is probed, and is excluded only if
        the probe fails.

        >>> known = Reachability()
        >>> [known.take_unchecked(['a'], now) for now in (10.0, 11.0)]
        [['a'], []]
        >>> known.take_unchecked(['a'], 13.0)
        ['a']
        """
        due = [
            name
            for name in silent
            if name not in self._outages
            and now - self._checked.get(name, -SILENCE_RETRY_S)
            >= SILENCE_RETRY_S
        ]
        self._checked.update(dict.fromkeys(due, now))
        return due

    def expedite(self, name, now):
        """Expedite the next probe: a peer reports that the target is back.

        >>> known = Reachability()
        >>> known.record_failed('a', 10.0, watched=True)
        >>> known.list_due(11.0)
        []
        >>> known.expedite('a', 11.0)
        >>> known.list_due(11.0)
        ['a']
        """
        out = self._outages.get(name)
        if out is not None:
            self._outages[name] = out._replace(due=min(out.due, now))

    def is_out(self, name):
        """Return whether a target is excluded as unreachable."""
        return name in self._outages

    def list_due(self, now):
        """List the targets that are due to be probed."""
        return [name for name, out in self._outages.items() if now >= out.due]

    def get_dues(self):
        """Return when the next probe of each target is due."""
        return {name: out.due for name, out in self._outages.items()}

    def list_failed(self):
        """List the targets that this box itself could not connect to."""
        return [name for name, out in self._outages.items() if out.failed]

    def list_reported(self):
        """List the targets that are reported to peers.

        >>> known = Reachability()
        >>> known.record_failed('a', 10.0)
        >>> known.list_reported()
        ()
        >>> known.record_failed('a', 10.5)
        >>> known.list_reported()
        ('a',)
        """
        rows = self._outages.items()
        return tuple(name for name, out in rows if out.failed >= REPORT_AFTER)

    def forget(self, name):
        """Forget a target that is gone."""
        self._outages.pop(name, None)
        self._reached.pop(name, None)
        self._checked.pop(name, None)
