"""The targets of one pool as its scheduler sees them.

Load reports lag, so the load of a target is its last report plus what was
granted since it was made.  A target that is leaving gets nothing new: the
mark comes from the live list, from its own report or from a peer, and it
sticks for that incarnation of the target.
"""

import typing

from landingspool.decisions import messages
from landingspool.decisions import records
from landingspool.decisions import retries

SLOWNESS_SMOOTHING = 0.2
SLOWNESS_LEAST = 0.5
SLOWNESS_MOST = 20.0
REPORT_OLD_S = 5.0
BUSY_HALF_S = 2.0
BUSY_LEAST_S = 0.8
HOLD_SMOOTHING = 0.1
FIRST_HOLD_S = 1.0
LEAST_HOLD_S = 0.02


class ActiveGrant(typing.NamedTuple):
    """A grant that was not given back yet.

    `keys` names the pieces of its prompt under the target's version.
    """

    grant: str
    work: records.Work
    target: str
    since: float
    until: float
    charged: float
    compute: int
    keys: tuple
    message: messages.Grant | None = None


class Busy(typing.NamedTuple):
    """Time in which a target was busy, and the tokens it worked off.

    Both fade, so that they tell of the last few seconds.
    """

    seconds: float = 0.0
    tokens: float = 0.0


def add_busy(busy, seconds, tokens):
    """Add a busy time to what fades."""
    left = 0.5 ** (seconds / BUSY_HALF_S)
    return Busy(busy.seconds * left + seconds, busy.tokens * left + tokens)


class Target:
    """What is known of one target.

    `heard` is the monotonic time of its last report, `made` the time at
    which that report was made.
    """

    def __init__(self, member):
        self.member = member
        self.report = None
        self.heard = float('-inf')
        self.made = float('-inf')
        self.active_grants = {}
        self.breaker = retries.Breaker()
        self.slowness = 1.0
        self.left = set()
        self.hold = FIRST_HOLD_S
        self._ended = []
        self._busy = Busy()
        self._others = 0
        self._since = 0

    @property
    def incarnation(self):
        """The incarnation that the newest source names."""
        return self.report.incarnation if self.report else ''

    def describe_cache(self):
        """Give what its cache belongs to: incarnation and version."""
        if self.report is None:
            return None
        return self.report.incarnation, self.report.version

    def mark_leaving(self, incarnation):
        """Keep new work from an incarnation, for good.

        Returns
        -------
        bool
            Whether this was news.
        """
        news = incarnation not in self.left
        self.left.add(incarnation)
        return news

    def is_leaving(self):
        """Tell whether the present incarnation is leaving."""
        return self.incarnation in self.left

    def take_report(self, report, now):
        """Take in a load report; returns whether it says anything new."""
        made = now - report.age
        if made <= self.made and report.incarnation == self.incarnation:
            return False
        if self.report and report.incarnation != self.incarnation:
            self.slowness = 1.0
            self.breaker = retries.Breaker()
            self._busy = Busy()
        elif self.report:
            self._record_progress(report, made)
        self.report = report
        self.made = made
        self.heard = now
        self._compare_flights()
        if report.leaving:
            self.mark_leaving(report.incarnation)
        return True

    def is_usable(self, now):
        """Tell whether it may get new work."""
        if self.report is None or now - self.heard > REPORT_OLD_S:
            return False
        return self.report.ready and not self.is_leaving()

    def count_free(self, now):
        """Give the number of places left, after all that was granted."""
        free = self.report.slots - self._others - len(self.active_grants)
        if self.breaker.state != retries.CLOSED:
            allowed, self.breaker = retries.allow(
                self.breaker, now, len(self.active_grants)
            )
            free = min(free, allowed - len(self.active_grants))
        return free

    def measure_backlog(self):
        """Give the prompt tokens before the next request.

        What was granted after the report was made is not in it yet.  What
        the target has worked off since is left in: taking it out at the
        target's usual speed was tried, and sent too little work on.
        """
        return self.report.queued_tokens + self._since

    def measure_seconds(self):
        """Give the seconds of prefill before the next request."""
        rate = self.report.prefill / self.slowness
        return self.measure_backlog() / rate

    def add_flight(self, flight):
        """Note a grant for this target."""
        known = flight.grant in self.active_grants
        self.active_grants[flight.grant] = flight
        if not known and flight.since >= self.made:
            self._since += flight.compute

    def end_flight(self, grant, now):
        """Take a grant off the target."""
        flight = self.active_grants.pop(grant, None)
        if flight is None:
            return
        self._ended.append((flight.since, now, flight.compute))
        if flight.since >= self.made:
            self._since -= flight.compute

    def learn(self, held):
        """Learn from a finished request how long it held its place."""
        self.hold += HOLD_SMOOTHING * (held - self.hold)

    def _record_progress(self, report, made):
        # Between two reports with work waiting at both ends the target was
        # busy all the time, and what it worked off says how fast it is,
        # long before a slow request has ended.
        if not self.report.queued_tokens or not report.queued_tokens:
            return
        seconds = made - self.made
        rows = [(f.since, f.compute) for f in self.active_grants.values()]
        rows += [(since, compute) for since, _, compute in self._ended]
        came = sum(c for since, c in rows if self.made <= since < made)
        worked = self.report.queued_tokens + came - report.queued_tokens
        self._busy = add_busy(self._busy, seconds, max(worked, 0))
        if self._busy.seconds < BUSY_LEAST_S:
            return
        usual = report.prefill * self._busy.seconds
        ratio = usual / max(self._busy.tokens, usual / SLOWNESS_MOST)
        ratio = max(ratio, SLOWNESS_LEAST)
        self.slowness += SLOWNESS_SMOOTHING * (ratio - self.slowness)

    def _compare_flights(self):
        # Worked out once for each report and not for each decision.  What
        # ran beyond our own flights of that time was placed by another
        # scheduler.  A flight counts from its grant to its end here, both
        # of which are a little wider than at the target, so the error is
        # on the side of using the target.
        made = self.made
        self._ended = [row for row in self._ended if row[1] >= made]
        active_grants = self.active_grants.values()
        ours = sum(1 for flight in active_grants if flight.since < made)
        ours += sum(1 for since, _, _ in self._ended if since < made)
        self._others = max(self.report.running - ours, 0)
        self._since = sum(f.compute for f in active_grants if f.since >= made)


def measure_rate(targets, compute):
    """Give the requests a second that some targets can take.

    Either their places are scarce or their prefill is, whichever of the
    two lets fewer through.

    Parameters
    ----------
    targets : sequence of Target
    compute : float
        Prompt tokens that a request has computed, in the mean.
    """
    slots = sum(t.report.slots / max(t.hold, LEAST_HOLD_S) for t in targets)
    prefill = sum(t.report.prefill / t.slowness for t in targets)
    return min(slots, prefill / max(compute, 1.0))
