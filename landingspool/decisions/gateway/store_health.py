"""Estimates how long fetches wait at each store of cached context.

A store whose link turns slow queues fetches until their offers end, and the
requests behind them are read late.  Stores report nothing of this, so each box
compares the time to the first byte of its own requests: those that fetched
from one store with what is usual on the same service.  Whatever delays all
requests alike, such as full engines, is usual and delays no store.

A box has few fetches from each store.  It reports stores that seem slow to it
in its digest, and also believes such reports from a share of the boxes, so
that a queue is noticed before one box alone has seen enough of it.  Reports of
a single box may be due to that box.
"""

import collections
import math
import statistics
import typing

from landingspool.decisions.gateway import bounded

# Seconds after which a delay counts half: a slow store is tried again after
# some seconds without any fetch from it.
HALF_LIFE_S = 2.0
# Weight of the newest fetch in the mean delay of its store.
SAMPLE_WEIGHT = 0.4
# Newest requests of a service that a fetch is compared with: their number and
# age in seconds, and the least number of them.  Engines that fill up raise the
# waits of all requests within a second.
MAX_USUAL = 40
USUAL_S = 2.5
MIN_USUAL = 4
# Share of these that must be left without the stores that seem slow; if fewer
# are, all requests are delayed, and all are compared.
MIN_SOUND_SHARE = 0.3
# Highest delay of one fetch that counts: offers end before that.
MAX_DELAY_S = 3.0
# Delay from which on a store is slow: mean deviations of the service, and at
# least 0.3 of the shortest objective for which engines are used (0.5 s).
# A shorter one lets answers begin in time, and reading delays others.
SLOW_DEVIATIONS = 3.0
MIN_SLOW_S = 0.15
# A store that was slow is so until its delay is below this share of the limit.
RECOVERED_SHARE = 0.5
# Delayed fetches in a row, and their targets, that show a store to be slow.  A
# single target may itself be slow.
MIN_DELAYED = 3
MIN_TARGETS = 2
# Seconds for which a report of another box counts.
REPORT_S = 1.5
# Boxes whose reports are believed: a share of all, within bounds.  In a large
# deployment few boxes fetch from the same store within that time.
REPORTING_SHARE = 0.15
MIN_REPORTS = 3
MAX_REPORTS = 5
# Where engines delay all requests, all stores seem slow: only those count for
# which so many times the boxes vote as for the least suspect quarter of them.
VOTES_RATIO = 3
# Seconds for which a store without fetches is compared with the others.
KNOWN_S = 10.0
# Seconds for which verdicts are cached: requests ask for several stores each.
VERDICT_S = 0.1
# Stores and services whose values are kept.
MAX_STORES = 256
MAX_SERVICES = 64


class Usual(typing.NamedTuple):
    """Usual seconds to the first byte beyond those expected, of a service.

    `deviation_s` is the mean distance of the requests from the median.
    """

    median_s: float
    deviation_s: float


class Delay(typing.NamedTuple):
    """Delay of fetches from one store, as this box has seen it.

    Attributes
    ----------
    seconds : float
        Moving average, as of `at`.
    at : float
    limit_s : float
        Delay from which on the store is slow.
    delayed : int
        Fetches in a row that were delayed.
    targets : tuple of str
        Up to MIN_TARGETS different targets of these.
    slow : bool
    """

    seconds: float = 0.0
    at: float = 0.0
    limit_s: float = math.inf
    delayed: int = 0
    targets: tuple = ()
    slow: bool = False

    def get_seconds(self, now):
        """Return the delay that still counts at `now`.

        >>> Delay(0.4, 10.0).get_seconds(10.0 + HALF_LIFE_S)
        0.2
        """
        return self.seconds * 0.5 ** (max(now - self.at, 0.0) / HALF_LIFE_S)


NO_DELAY = Delay()


class Sample(typing.NamedTuple):
    """Time to the first byte of one request.

    Attributes
    ----------
    service, target : str
    store : str
        Store that it fetched most from; empty if it fetched nothing.
    beyond_s : float
        Seconds beyond those expected without any delay at stores.
    """

    service: str
    target: str
    store: str
    beyond_s: float


class StoreHealth:
    """Hold the delays of all stores that one box knows."""

    def __init__(self):
        self._recent = collections.OrderedDict()
        self._suspects = set()
        self._delays = collections.OrderedDict()
        self._reports = {}
        # When stores were last judged, and the delays of the slow ones.
        self._verdicts = -math.inf, {}

    def record(self, sample, now):
        """Record the time to the first byte of a request."""
        recent = self._recent.get(sample.service)
        if recent is None:
            recent = collections.deque(maxlen=MAX_USUAL)
            self._recent[sample.service] = recent
            bounded.trim(self._recent, MAX_SERVICES)
        while recent and now - recent[0][0] > USUAL_S:
            recent.popleft()
        if sample.store and len(recent) >= MIN_USUAL:
            self._compare(sample, [row for _, row in recent], now)
        recent.append((now, sample))

    def _compare(self, sample, recent, now):
        store = sample.store
        usual = measure_usual(recent, {store, *self._suspects})
        known = add_sample(
            self._delays.get(store, NO_DELAY), sample, usual, now
        )
        self._delays[store] = known
        bounded.trim(self._delays, MAX_STORES)
        self._suspects.discard(store)
        if is_suspect(known, now):
            self._suspects.add(store)

    def take_reports(self, box, reports, now):
        """Store the delays that another box reports.

        Parameters
        ----------
        reports : dict of str to int
            Milliseconds by store.
        """
        for store, delay_ms in reports.items():
            rows = self._reports.setdefault(store, {})
            rows[box] = delay_ms / 1000, now
        if len(self._reports) > MAX_STORES:
            self._drop_old_reports(now)

    def forget(self, store):
        """Discard what is known of a store: it has restarted or is gone."""
        self._delays.pop(store, None)
        self._reports.pop(store, None)
        self._suspects.discard(store)
        self._verdicts = -math.inf, {}

    def get_delay(self, store, boxes, now):
        """Return the seconds by which fetches from a store are delayed.

        Parameters
        ----------
        boxes : int
            Number of boxes, this one included.

        Returns
        -------
        float
            0 unless the store is slow.
        """
        if not self._reports and not self._suspects:
            return 0.0
        return self.list_slow(boxes, now).get(store, 0.0)

    def list_slow(self, boxes, now):
        """Return the delay in seconds of each slow store."""
        judged, verdicts = self._verdicts
        if not 0 <= now - judged < VERDICT_S:
            verdicts = self._judge(boxes, now)
            self._verdicts = now, verdicts
        return verdicts

    def list_reported(self, now):
        """Return the milliseconds of delay of the stores that seem slow."""
        return {
            store: int(known.get_seconds(now) * 1000)
            for store, known in self._delays.items()
            if is_suspect(known, now)
        }

    def _judge(self, boxes, now):
        self._drop_old_reports(now)
        votes = {
            store: self._list_votes(store, now)
            for store in {*self._delays, *self._reports}
            if self._is_compared(store, now)
        }
        counts = sorted(map(len, votes.values()))
        common = counts[len(counts) // 4] if counts else 0
        needed = math.ceil(boxes * REPORTING_SHARE)
        needed = min(max(needed, MIN_REPORTS), MAX_REPORTS)
        slow = {}
        for store, delays in votes.items():
            own = is_slow(self._delays.get(store, NO_DELAY), now)
            if len(delays) <= VOTES_RATIO * common:
                continue
            if own or len(delays) >= needed:
                slow[store] = statistics.median(delays)
        return slow

    def _is_compared(self, store, now):
        known = self._delays.get(store, NO_DELAY)
        return store in self._reports or now - known.at < KNOWN_S

    def _list_votes(self, store, now):
        """Return the delays that boxes see, where the store seems slow."""
        rows = self._reports.get(store, {})
        delays = [s for s, at in rows.values() if now - at < REPORT_S]
        # What this box has seen itself counts as one report.
        known = self._delays.get(store, NO_DELAY)
        if is_suspect(known, now):
            delays.append(known.get_seconds(now))
        return delays

    def _drop_old_reports(self, now):
        self._reports = {
            store: rows
            for store, rows in self._reports.items()
            if any(now - at < REPORT_S for _, at in rows.values())
        }


def measure_usual(recent, suspects):
    """Return what is usual on a service.

    Parameters
    ----------
    recent : sequence of Sample
        Its newest requests, not empty.
    suspects : set of str
        Stores that seem slow, and the one that is compared.

    >>> rows = [Sample('s', 't', store, 0.1) for store in ('', 'a', '', 'b')]
    >>> rows.append(Sample('s', 't', 'k', 2.0))
    >>> usual = measure_usual(rows, {'k'})
    >>> usual.median_s, round(usual.deviation_s, 3)
    (0.1, 0.0)
    """
    sound = [row.beyond_s for row in recent if row.store not in suspects]
    if len(sound) < len(recent) * MIN_SOUND_SHARE:
        sound = [row.beyond_s for row in recent]
    sound.sort()
    median_s = sound[len(sound) // 2]
    deviation_s = sum(abs(row - median_s) for row in sound) / len(sound)
    return Usual(median_s, deviation_s)


def add_sample(known, sample, usual, now):
    """Return the delay of a store after one more fetch."""
    delay_s = min(max(sample.beyond_s - usual.median_s, 0.0), MAX_DELAY_S)
    limit_s = max(usual.deviation_s * SLOW_DEVIATIONS, MIN_SLOW_S)
    delayed, targets = 0, ()
    if delay_s > limit_s:
        delayed = known.delayed + 1
        targets = (sample.target, *known.targets)
        targets = tuple(dict.fromkeys(targets))[:MIN_TARGETS]
    before_s = known.get_seconds(now)
    seconds = before_s + SAMPLE_WEIGHT * (delay_s - before_s)
    enough = delayed >= MIN_DELAYED and len(targets) >= MIN_TARGETS
    added = Delay(seconds, now, limit_s, delayed, targets, known.slow)
    slow = is_slow(known, now) or enough
    return added._replace(slow=slow and is_suspect(added, now))


def is_suspect(known, now):
    """Return whether fetches seem delayed, if only by a single sample."""
    limit_s = known.limit_s * (RECOVERED_SHARE if known.slow else 1.0)
    return known.get_seconds(now) > limit_s


def is_slow(known, now):
    """Return whether enough fetches from a store were delayed."""
    return known.slow and is_suspect(known, now)
