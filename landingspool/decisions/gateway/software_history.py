"""Tracks which software versions the targets of a service have had lately.

While a service has had a single version for as long as a stream may last, all
of its streams began at that version.  A box can tell only if it has read the
list of targets for that long: not while its list is old, and after a start
only with the history of a box that has watched since before.
"""

import math
import typing

from landingspool.decisions.gateway import stream_bindings

# Seconds for which a version counts after its last target was listed: streams
# that it began may be continued for as long.
RETENTION_S = stream_bindings.MAX_AGE_S
# Seconds after which the list of targets is old: two held reads of it, one
# behind the other, and the time to answer them.
LIST_TIMEOUT_S = 6.0
# Age that stands for all longer ones in a report, seconds.
LONG_S = 1e6


class Report(typing.NamedTuple):
    """The history of a box, as it tells other boxes.

    Attributes
    ----------
    watched_s : float
        Seconds since which it has watched the list of targets.
    confirmed_s : float
        Seconds since its list was last complete.
    seen : list of tuple
        Service, version, and the seconds since a target of it was listed.
    moved : list of tuple
        Host, prefix, and the seconds since the route led elsewhere.
    """

    watched_s: float
    confirmed_s: float
    seen: list[tuple[str, str, float]]
    moved: list[tuple[str, str, float]]


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
            is_first = math.isinf(self._watched_since) and is_first_start
            self._watched_since = -math.inf if is_first else at
        self._confirmed = max(self._confirmed, at)

    def record(self, service, software, now):
        """Record that a target of a service is listed."""
        seen = self._seen.setdefault(service, {})
        seen[software] = max(now, seen.get(software, now))

    def observe(self, entries, now):
        """Record all targets that are listed at present."""
        for service, software in {(e.service, e.software) for e in entries}:
            self.record(service, software, now)

    def put_table(self, table, now):
        """Record to which services the routes lead from now on."""
        shares = {
            (route.host, route.prefix): {s.service for s in route.shares}
            for routes in table.hosts.values()
            for route in routes
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

    def make_report(self, now):
        """Return the Report of this history."""
        return Report(
            min(now - self._watched_since, LONG_S),
            min(now - self._confirmed, LONG_S),
            [
                (service, software, now - at)
                for service, seen in self._seen.items()
                for software, at in seen.items()
                if is_recent(at, now)
            ],
            [
                (*place, now - at)
                for place, at in self._moved.items()
                if is_recent(at, now)
            ],
        )

    def adopt(self, report, sent):
        """Extend this history by that of a box that has watched for longer.

        Parameters
        ----------
        report : Report
        sent : float
            When the box was asked for it.

        Returns
        -------
        bool
            Whether it has; not if the list of that box had not been complete
            since this box began to watch.

        >>> old, new = SoftwareHistory(), SoftwareHistory()
        >>> old.confirm_list(0.0)
        >>> old.record('s', 'v1', 1.0)
        >>> old.confirm_list(5.0)
        >>> new.confirm_list(4.0)
        >>> new.adopt(old.make_report(6.0), 6.0), new.has_watched(60.0)
        (True, True)
        >>> new.list_recent('s', 6.0)
        ['v1']
        >>> late = SoftwareHistory()
        >>> late.confirm_list(5.5)
        >>> late.adopt(old.make_report(6.0), 6.0)
        False
        """
        since = sent - report.watched_s
        if since >= self._watched_since:
            return False
        if sent - report.confirmed_s < self._watched_since:
            return False
        self._watched_since = since
        for service, software, age_s in report.seen:
            self.record(service, software, sent - age_s)
        for host, prefix, age_s in report.moved:
            at = max(sent - age_s, self._moved.get((host, prefix), -math.inf))
            self._moved[(host, prefix)] = at
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
        if is_recent(max(moved, self._watched_since), now):
            return None
        if now - self._confirmed >= LIST_TIMEOUT_S:
            return None
        bindings = self.list_bindings(route, now)
        return bindings[0] if len(bindings) == 1 else None


def is_recent(at, now):
    """Return whether a stream that still runs may have begun at a time."""
    return now - at < RETENTION_S
