"""Tracks what each workspace asks of a service and gets, over all boxes.

A workspace sends its requests to many boxes, so no box sees what it takes.
Each box keeps decaying sums of its own requests and adds the largest to some
of its digests while requests of the service are refused.  A sum that is a
second old is good enough: admission shifts refusals by it, and the number of
refusals follows from the load of the targets alone.
"""

import functools
import math
import struct
import typing

import xxhash

from landingspool.decisions import fairness

# Seconds over which requests are summed up: about the time that callers wait
# for an answer.  A workspace whose callers come in bursts isn't over its share
# for a burst of a second, and idle time earns no more credit than this.
AVERAGE_S = 5.0
# Seconds between two reports of a box.
REPORT_S = 0.6
# Seconds for which a report counts in full: some reports, since each box sends
# its digests only to some peers.  From then on it decays like the requests.
FRESH_S = 2.0
# Seconds after which a report is discarded, as nearly nothing is left of it.
KEPT_S = FRESH_S + 3 * AVERAGE_S
# Workspaces of one service in a report: eight bytes each, so that a digest
# still fits into one packet.  The smallest are left out; they are under their
# share whatever they ask for.
MAX_REPORTED = 32
# Workspaces of one service that a box tracks.  A table may name more, and a
# new table may rename all of them.
MAX_TRACKED = 512
# Hash of the workspace, what it asked for and what it was served, in units.
ROW = struct.Struct('<Iee')
ROW_UNIT = 1000.0
MAX_ROW_VALUE = 65504.0


class Usage(typing.NamedTuple):
    """What one workspace asked for and was served, as of `at`."""

    asked: float
    served: float
    at: float

    def decay(self, now):
        """Return the usage as of `now`.

        >>> usage = Usage(100.0, 50.0, 10.0).decay(10.0 + AVERAGE_S)
        >>> round(usage.asked, 1), round(usage.served, 1)
        (36.8, 18.4)
        """
        left = math.exp(-max(now - self.at, 0.0) / AVERAGE_S)
        return Usage(self.asked * left, self.served * left, now)


class Report(typing.NamedTuple):
    """The newest report of another box; `services` as in the digests."""

    domain: str
    number: int
    services: dict[int, bytes]
    at: float


@functools.lru_cache(maxsize=4096)
def hash_name(name):
    """Return the hash by which reports identify a workspace or service.

    >>> 0 <= hash_name('w') < 2 ** 32
    True
    """
    return xxhash.xxh32_intdigest(name.encode())


def compute_cost(work):
    """Return what a request costs its service.

    For engines these are tokens.  The whole prompt counts, also what is
    cached: it takes memory as well, and whether it is cached is decided by
    the boxes and not by the workspace.

    Parameters
    ----------
    work : plans.Work
    """
    if work.prompt is None:
        return 1.0
    prompt = work.prompt
    return fairness.compute_cost(prompt.tokens_in, prompt.tokens_out)


def compute_fade(age_s):
    """Return the share with which a report of some age counts.

    >>> compute_fade(1.0), round(compute_fade(FRESH_S + AVERAGE_S), 2)
    (1.0, 0.37)
    """
    return math.exp(-max(age_s - FRESH_S, 0.0) / AVERAGE_S)


class WorkspaceUsage:
    """The usage of all workspaces, of this box and as its peers report it."""

    def __init__(self):
        self._own = {}
        self._reports = {}

    def record_asked(self, work, now):
        """Record that a request has arrived."""
        self._add(work, compute_cost(work), 0.0, now)

    def record_served(self, work, now):
        """Record that a request is sent to a target."""
        self._add(work, 0.0, compute_cost(work), now)

    def keep_services(self, services):
        """Drop the usage of services that are no longer published."""
        for service in set(self._own) - set(services):
            del self._own[service]

    def _add(self, work, asked, served, now):
        rows = self._own.setdefault(work.service, {})
        key = hash_name(work.workspace)
        known = rows.get(key)
        if known is None:
            if len(rows) >= MAX_TRACKED:
                drop_smallest(rows, now)
            known = Usage(0.0, 0.0, now)
        known = known.decay(now)
        rows[key] = Usage(known.asked + asked, known.served + served, now)

    def make_report(self, services, now):
        """Return the usage of some services as digests encode it.

        Parameters
        ----------
        services : iterable of str

        Returns
        -------
        dict of int to bytes
        """
        return {
            hash_name(service): encode_rows(self._own.get(service, {}), now)
            for service in services
        }

    def take(self, digest, now):
        """Store what a digest reports, unless a newer report is known."""
        if not digest.usage:
            return
        known = self._reports.get(digest.box)
        if known is not None and known.number >= digest.number:
            if now - known.at < FRESH_S:
                # A digest that arrived out of order.  An older report is that
                # of a box which has since restarted.
                return
        self._reports[digest.box] = Report(
            digest.domain, digest.number, digest.usage, now
        )

    def exclude_stall(self, seconds):
        """Exclude a stall of this box from the age of requests and reports.

        >>> usage = WorkspaceUsage()
        >>> usage.exclude_stall(6.0)
        """
        for rows in self._own.values():
            for key, row in rows.items():
                rows[key] = row._replace(at=row.at + seconds)
        for box, report in self._reports.items():
            self._reports[box] = report._replace(at=report.at + seconds)

    def sum_usage(self, service, peers_by_domain, now):
        """Return the usage of a service over all boxes, by workspace's hash.

        The boxes heard of stand for the others in the same domains.  A domain
        without any fresh report is partitioned from this box.

        Parameters
        ----------
        service : str
        peers_by_domain : dict of str to int
            Number of other boxes in each domain.

        Returns
        -------
        dict of int to Usage
        """
        self._discard_old(now)
        reported, heard, domains = {}, 0.0, set()
        key = hash_name(service)
        for report in self._reports.values():
            rows = report.services.get(key)
            if rows is None:
                continue
            fade = compute_fade(now - report.at)
            heard += fade
            if now - report.at < FRESH_S:
                domains.add(report.domain)
            add_rows(reported, rows, fade * ROW_UNIT, now)
        boxes = sum(peers_by_domain.get(domain, 0) for domain in domains)
        scale = max(boxes / heard, 1.0) if heard else 0.0
        total = {
            workspace: Usage(row.asked * scale, row.served * scale, now)
            for workspace, row in reported.items()
        }
        for workspace, row in self._own.get(service, {}).items():
            own, peers = row.decay(now), total.get(workspace, NO_USAGE)
            total[workspace] = Usage(
                own.asked + peers.asked, own.served + peers.served, now
            )
        return total

    def _discard_old(self, now):
        self._reports = {
            box: report
            for box, report in self._reports.items()
            if now - report.at < KEPT_S
        }


NO_USAGE = Usage(0.0, 0.0, 0.0)


def add_rows(total, rows, factor, now):
    """Add the encoded rows of one report to a total, each times a factor.

    A row that no box writes is passed over.
    """
    whole = len(rows) // ROW.size * ROW.size
    for workspace, asked, served in ROW.iter_unpack(rows[:whole]):
        if not (0 <= asked <= MAX_ROW_VALUE and 0 <= served <= MAX_ROW_VALUE):
            continue
        known = total.get(workspace, NO_USAGE)
        total[workspace] = Usage(
            known.asked + asked * factor, known.served + served * factor, now
        )


def encode_rows(rows, now):
    """Return the rows of the largest workspaces as reports encode them.

    >>> rows = {7: Usage(2000.0, 500.0, 1.0)}
    >>> ROW.unpack(encode_rows(rows, 1.0))
    (7, 2.0, 0.5)
    """
    decayed = [(key, row.decay(now)) for key, row in rows.items()]
    decayed.sort(key=lambda pair: pair[1].asked, reverse=True)
    return b''.join(
        ROW.pack(key, scale_value(row.asked), scale_value(row.served))
        for key, row in decayed[:MAX_REPORTED]
    )


def scale_value(value):
    """Return a value in ROW_UNIT, within what a row can hold."""
    return min(value / ROW_UNIT, MAX_ROW_VALUE)


def drop_smallest(rows, now):
    """Drop the half of the workspaces that asked for the least lately."""
    kept = sorted(rows, key=lambda key: rows[key].decay(now).asked)
    for key in kept[: len(kept) // 2]:
        del rows[key]
