"""Tracks which software versions the targets of a service have had lately.

While a service has had a single version for as long as a stream may last, all
of its streams began at that version.  A box can tell only if it has read the
list of targets for that long: not while its list is old, and after a start
only with the summary that boxes keep in the platform's store.
"""

import math
import typing

from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import stream_bindings

# Seconds for which a version counts after its last target was listed: streams
# that it began may be continued for as long.
RETENTION_S = stream_bindings.MAX_AGE_S
# Seconds after which the list of targets is old.  What a held read proves is
# up to 4.8 s old as the next one is answered, and 5.8 s behind a box that
# reads for others; a short cut of a domain from the store is bridged.
LIST_TIMEOUT_S = 10.0
# Greatest age that the log names, seconds.
MAX_LOGGED_S = 9999.0


class Summary(typing.NamedTuple):
    """What running streams may have begun under, as boxes store it.

    Attributes
    ----------
    versions : frozenset of tuple of str
        Services and software versions.
    moved : frozenset of tuple of str
        Hosts and prefixes of routes that have led elsewhere.
    """

    versions: frozenset = frozenset()
    moved: frozenset = frozenset()


class SoftwareHistory:
    """The software versions that one box has seen, by service.

    >>> history = SoftwareHistory()
    >>> history.confirm_list(0.0, is_first_start=True)
    >>> history.record('s', 'v1', 1.0)
    >>> history.list_recent('s', 2.0)
    ['v1']
    >>> history.record('s', 'v2', 3.0)
    >>> history.list_recent('s', 4.0), history.list_recent('s', 62.0)
    (['v1', 'v2'], ['v2'])
    """

    def __init__(self):
        self._seen = {}
        self._watched_since = math.inf
        self._confirmed = -math.inf
        self._shares = {}
        self._moved = {}

    def confirm_list(self, at, is_first_start=False):
        """Record that the list of targets was complete at some time.

        Parameters
        ----------
        at : float
            When the read was sent that has returned it.
        is_first_start : bool
            Whether the whole system has just started for the first time, so
            that no stream began before.
        """
        if at - self._confirmed > LIST_TIMEOUT_S:
            is_first = self._watched_since == math.inf and is_first_start
            self._watched_since = -math.inf if is_first else at
        self._confirmed = max(self._confirmed, at)

    def lose_list(self):
        """Have the watch begin anew at the next read of the list.

        >>> history = SoftwareHistory()
        >>> history.confirm_list(0.0)
        >>> history.lose_list()
        >>> history.confirm_list(5.0)
        >>> history.has_watched(62.0), history.has_watched(65.0)
        (False, True)
        """
        self._confirmed = -math.inf

    def record(self, service, software, now):
        """Record that a target of a service is listed."""
        seen = self._seen.setdefault(service, {})
        seen[software] = max(now, seen.get(software, now))

    def observe(self, entries, now):
        """Record all targets that are listed at present."""
        for service, software in {(e.service, e.software) for e in entries}:
            self.record(service, software, now)

    def put_table(self, table, now):
        """Record to which services the resumable routes lead from now on."""
        shares = {
            (route.host, route.prefix): {s.service for s in route.shares}
            for found in table.hosts.values()
            for route in found
            if routes.is_resumable(route)
        }
        for place, services in self._shares.items():
            if shares.get(place) != services:
                self._moved[place] = now
        self._shares = shares

    def drop_expired(self, now):
        """Forget the versions and moves that no running stream has seen."""
        for service, seen in list(self._seen.items()):
            recent = {v: at for v, at in seen.items() if is_recent(at, now)}
            self._seen[service] = recent
        self._moved = {
            place: at
            for place, at in self._moved.items()
            if is_recent(at, now)
        }

    def has_watched(self, now):
        """Return whether the history is as long as a stream may last."""
        return not is_recent(self._watched_since, now)

    def get_ages(self, now):
        """Return the seconds of the watch, and of the list, for the log."""
        ages = now - self._watched_since, now - self._confirmed
        return [round(min(age, MAX_LOGGED_S), 1) for age in ages]

    def is_proved_since(self, at):
        """Return whether the list of targets was read at `at` or later."""
        return self._confirmed >= at

    def is_witness(self, now):
        """Return whether no version can have escaped this box."""
        is_listed = now - self._confirmed < LIST_TIMEOUT_S
        return is_listed and self.has_watched(now)

    def summarize(self, now):
        """Return the Summary of this history."""
        return Summary(
            frozenset(
                (service, software)
                for service in self._seen
                for software in self.list_recent(service, now)
            ),
            frozenset(
                p for p, at in self._moved.items() if is_recent(at, now)
            ),
        )

    def adopt(self, summary, at, now):
        """Extend this history by the summary in the platform's store.

        Boxes store a change as soon as they see it.  So the summary tells what
        they had seen when this box began to watch, unless it was read long
        before.

        Parameters
        ----------
        summary : Summary
        at : float
            When the newest read was sent that showed it to be the newest.

        Returns
        -------
        bool
            Whether it was adopted: not before this box has read the list of
            targets itself.

        >>> history = SoftwareHistory()
        >>> stored = Summary(frozenset([('s', 'v1')]))
        >>> history.adopt(stored, 1.0, 1.0)
        False
        >>> history.confirm_list(20.0)
        >>> history.adopt(stored, 1.0, 20.0)
        False
        >>> history.adopt(stored, 20.0, 20.0), history.has_watched(20.0)
        (True, True)
        >>> history.list_recent('s', 21.0)
        ['v1']
        """
        if math.isinf(self._confirmed):
            return False
        if at < self._watched_since - LIST_TIMEOUT_S:
            return False
        self._watched_since = -math.inf
        for service, software in summary.versions:
            self.record(service, software, now)
        self._moved.update(dict.fromkeys(summary.moved, now))
        return True

    def list_recent(self, service, now):
        """List the versions at which running streams may have begun."""
        seen = self._seen.get(service, {})
        return sorted(v for v, at in seen.items() if is_recent(at, now))

    def list_mixed(self, now):
        """Return the versions of the services that have several."""
        found = {name: self.list_recent(name, now) for name in self._seen}
        return {name: rows for name, rows in found.items() if len(rows) > 1}

    def list_bindings(self, route, now):
        """List the bindings that running streams of a route may have."""
        return [
            stream_bindings.Binding(share.service, software)
            for share in route.shares
            for software in self.list_recent(share.service, now)
        ]

    def find_only(self, route, now):
        """Return the Binding of all running streams of a route.

        Returns
        -------
        stream_bindings.Binding or None
            None: there may be several, or this box can't tell.
        """
        moved = self._moved.get((route.host, route.prefix), -math.inf)
        if is_recent(moved, now) or not self.is_witness(now):
            return None
        bindings = self.list_bindings(route, now)
        return bindings[0] if len(bindings) == 1 else None


def merge(one, other):
    """Return the Summary of what either of two summaries has."""
    return Summary(one.versions | other.versions, one.moved | other.moved)


def is_recent(at, now):
    """Return whether a stream that still runs may have begun at a time."""
    return now - at < RETENTION_S
