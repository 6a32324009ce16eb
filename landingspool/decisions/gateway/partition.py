"""Detects that this box is partitioned from all targets.

If connections to two targets have failed and none has answered since, a few
targets that stand for the others are probed.  If none of these accepts a
connection either, the box counts as partitioned until a probe connects.  So it
knows within two connection time-outs, and a dead target or a dead failure
domain costs a few probes at most.
"""

import collections

# Seconds within which connections to two targets have to fail: a box with few
# requests, or with orders alone, seldom opens one.
WINDOW_S = 3.0
# Number of targets that are probed to tell a partition from dead targets.
SAMPLES = 4
# Minimum seconds between two samples: each probe is a new connection.
SAMPLE_PERIOD_S = 2.0
# Period of the probes of a partitioned box, and the targets probed in each.
RETRY_PERIOD_S = 0.3
RETRIES = 2

# Share of all targets from which on a box that reports them as unreached is
# itself cut off, and the lowest number of targets of which this is concluded.
CUT_OFF_SHARE = 0.9
MIN_CUT_OFF = 4


class Partition:
    """Whether one box is partitioned from all targets.

    Attributes
    ----------
    is_on : bool
    """

    def __init__(self):
        self.is_on = False
        self._failed = {}
        self._answered = float('-inf')
        self._sampled = float('-inf')
        self._retried = float('-inf')
        self._pending = set()

    def record_failed(self, name, is_new, now):
        """Record that a connection to a target failed.

        Parameters
        ----------
        is_new : bool
            Whether the target counted as reachable until now.
        """
        if is_new:
            self._failed = {
                other: at
                for other, at in self._failed.items()
                if now - at <= WINDOW_S
            }
            self._failed[name] = now
        if name in self._pending and now - self._sampled < SAMPLE_PERIOD_S:
            self._pending.discard(name)
            if not self._pending:
                self.begin(now)

    def record_answered(self, now):
        """Record that a target has answered a request."""
        self._answered = now

    def record_connected(self, now):
        """Record that a new connection to a target was established.

        Returns
        -------
        bool
            Whether the box counted as partitioned until now.
        """
        was_on, self.is_on = self.is_on, False
        self._answered = now
        self._failed.clear()
        self._pending.clear()
        return was_on

    def pick_samples(self, untried, now):
        """Pick the targets to be probed at once: a partition is suspected.

        Parameters
        ----------
        untried : sequence of fleet.Entry
            Targets to which no connection has failed.

        Returns
        -------
        list of str
        """
        self._sampled = now
        names = pick_varied(untried, SAMPLES)
        self._pending = set(names)
        return names

    def begin(self, now):
        """Record that the box is partitioned from all targets."""
        self.is_on = True
        self._pending.clear()
        self._retried = now

    def list_retries(self, dues, now):
        """List the targets that a partitioned box probes now.

        Parameters
        ----------
        dues : dict of str to float
            When the next probe of each target that failed would be due.

        >>> partition = Partition()
        >>> partition.list_retries({'a': 2.0, 'b': 3.0, 'c': 1.0}, 1.0)
        ['c', 'a']
        >>> partition.list_retries({'a': 2.0, 'b': 3.0, 'c': 1.0}, 1.1)
        []
        """
        if now - self._retried < RETRY_PERIOD_S:
            return []
        self._retried = now
        return sorted(dues, key=dues.get)[:RETRIES]

    def is_suspected(self, now):
        """Return whether targets should be probed to tell a partition.

        >>> partition = Partition()
        >>> partition.record_failed('a', True, 1.0)
        >>> partition.is_suspected(1.0)
        False
        >>> partition.record_failed('b', True, 1.2)
        >>> partition.is_suspected(1.2)
        True
        >>> partition.record_answered(1.3)
        >>> partition.is_suspected(1.3)
        False
        """
        recent = [at for at in self._failed.values() if now - at <= WINDOW_S]
        return (
            not self.is_on
            and len(recent) > 1
            and self._answered < min(recent)
            and now - self._sampled >= SAMPLE_PERIOD_S
        )


def is_nearly_all(unreached, targets):
    """Return whether the number of unreached targets is nearly all.

    >>> is_nearly_all(50, 55), is_nearly_all(40, 55), is_nearly_all(2, 2)
    (True, False, False)
    """
    return unreached >= max(targets * CUT_OFF_SHARE, MIN_CUT_OFF)


def pick_varied(entries, count):
    """Pick targets that differ in domain and service as far as possible.

    >>> from landingspool.decisions.gateway import fleet
    >>> rows = ('a', 's', 'd1'), ('b', 's', 'd1'), ('c', 's', 'd2')
    >>> pick_varied(
    ...     [
    ...         fleet.Entry(name, service, (), domain, 'ready', 1, {})
    ...         for name, service, domain in rows
    ...     ],
    ...     2,
    ... )
    ['a', 'c']
    """
    rest, names = list(entries), []
    domains, services = collections.Counter(), collections.Counter()
    while rest and len(names) < count:
        entry = min(
            rest, key=lambda e: domains[e.domain] + services[e.service]
        )
        rest.remove(entry)
        names.append(entry.name)
        domains[entry.domain] += 1
        services[entry.service] += 1
    return names
