"""State of the targets of one pool as known to its scheduler.

Load reports lag, so the load of a target is its last report plus the grants
made since.  A target that is leaving gets no new requests.  It is marked as
leaving by the live list, its own report or a peer, and the mark is permanent
for that incarnation of the target.
"""

import typing

from landingspool.decisions import messages
from landingspool.decisions import records
from landingspool.decisions import retries

SLOWNESS_SMOOTHING = 0.2
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
MAX_REPORT_AGE_S = 5.0
BUSY_HALF_LIFE_S = 2.0
MIN_BUSY_S = 0.8
HOLD_SMOOTHING = 0.1
INITIAL_HOLD_S = 1.0
MIN_HOLD_S = 0.02


class ActiveGrant(typing.NamedTuple):
    """Grant that has not been returned yet.

    Attributes
    ----------
    grant : str
    work : records.Work
    target : str
    since, until : float
        Start of the grant and end of its lease, in monotonic seconds.
    charged : float
        Tokens charged to the workspace.
    compute : int
        Prompt tokens that the target has to compute.
    keys : tuple of str
        Keys of the prompt's pieces for the weight version of the target.
    message : messages.Grant or None
        Message sent to the entry box; None for an adopted grant.
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


class BusyTime(typing.NamedTuple):
    """Busy time of a target in seconds, and prompt tokens processed in it.

    Both decay exponentially, so that they cover the last few seconds.
    """

    seconds: float = 0.0
    tokens: float = 0.0


def add_busy_time(busy, seconds, tokens):
    """Return the decayed busy time plus a new interval."""
    fraction = 0.5 ** (seconds / BUSY_HALF_LIFE_S)
    return BusyTime(
        busy.seconds * fraction + seconds, busy.tokens * fraction + tokens
    )


class Target:
    """State of one target.

    `received_at` is the monotonic time at which the last report arrived,
    `made_at` the time at which the target made it.
    """

    def __init__(self, member):
        self.member = member
        self.report = None
        self.received_at = float('-inf')
        self.made_at = float('-inf')
        self.active_grants = {}
        self.breaker = retries.Breaker()
        self.slowness = 1.0
        self.leaving_incarnations = set()
        self.hold_s = INITIAL_HOLD_S
        self._ended = []
        self._busy = BusyTime()
        self._others_running = 0
        self._granted_since_report = 0

    @property
    def incarnation(self):
        """Incarnation named by the last report."""
        return self.report.incarnation if self.report else ''

    def get_cache_identity(self):
        """Return the incarnation and version that its cache belongs to."""
        if self.report is None:
            return None
        return self.report.incarnation, self.report.version

    def mark_leaving(self, incarnation):
        """Exclude an incarnation from new requests permanently.

        Returns
        -------
        bool
            Whether the incarnation was not marked before.
        """
        is_new = incarnation not in self.leaving_incarnations
        self.leaving_incarnations.add(incarnation)
        return is_new

    def is_leaving(self):
        """Return whether the current incarnation is leaving."""
        return self.incarnation in self.leaving_incarnations

    def record_report(self, report, now):
        """Record a load report; return whether it is newer than the last."""
        made_at = now - report.age
        if made_at <= self.made_at and report.incarnation == self.incarnation:
            return False
        if self.report and report.incarnation != self.incarnation:
            self.slowness = 1.0
            self.breaker = retries.Breaker()
            self._busy = BusyTime()
        elif self.report:
            self._record_progress(report, made_at)
        self.report = report
        self.made_at = made_at
        self.received_at = now
        self._update_counts()
        if report.leaving:
            self.mark_leaving(report.incarnation)
        return True

    def is_usable(self, now):
        """Return whether the target may get new requests."""
        if self.report is None or now - self.received_at > MAX_REPORT_AGE_S:
            return False
        return self.report.ready and not self.is_leaving()

    def count_free(self, now):
        """Return the number of free slots after all grants."""
        free = (
            self.report.slots - self._others_running - len(self.active_grants)
        )
        if self.breaker.state != retries.CLOSED:
            allowed, self.breaker = retries.allow(
                self.breaker, now, len(self.active_grants)
            )
            free = min(free, allowed - len(self.active_grants))
        return free

    def measure_backlog(self):
        """Return the number of prompt tokens ahead of a new request.

        Requests granted after the report was made are added to it.  Tokens
        processed since then are not subtracted: an estimate at the nominal
        speed of the target would spill too little work to other domains.
        """
        return self.report.queued_tokens + self._granted_since_report

    def measure_backlog_s(self):
        """Return the seconds of prefill ahead of a new request."""
        rate = self.report.prefill / self.slowness
        return self.measure_backlog() / rate

    def add_grant(self, active_grant):
        """Record a grant for this target."""
        known = active_grant.grant in self.active_grants
        self.active_grants[active_grant.grant] = active_grant
        if not known and active_grant.since >= self.made_at:
            self._granted_since_report += active_grant.compute

    def end_grant(self, grant, now):
        """Remove a grant from this target."""
        active_grant = self.active_grants.pop(grant, None)
        if active_grant is None:
            return
        self._ended.append((active_grant.since, now, active_grant.compute))
        if active_grant.since >= self.made_at:
            self._granted_since_report -= active_grant.compute

    def record_hold(self, held):
        """Record how long a finished request held its slot, in seconds."""
        self.hold_s += HOLD_SMOOTHING * (held - self.hold_s)

    def _record_progress(self, report, made_at):
        # If work was queued at two successive reports, the target was busy
        # from one to the other.  The tokens that it processed in that time
        # give its speed, long before a slow request has finished.
        if not self.report.queued_tokens or not report.queued_tokens:
            return
        seconds = made_at - self.made_at
        rows = [
            (grant.since, grant.compute)
            for grant in self.active_grants.values()
        ]
        rows += [(since, compute) for since, _, compute in self._ended]
        arrived = sum(
            c for since, c in rows if self.made_at <= since < made_at
        )
        processed = self.report.queued_tokens + arrived - report.queued_tokens
        self._busy = add_busy_time(self._busy, seconds, max(processed, 0))
        if self._busy.seconds < MIN_BUSY_S:
            return
        expected = report.prefill * self._busy.seconds
        ratio = expected / max(self._busy.tokens, expected / MAX_SLOWNESS)
        ratio = max(ratio, MIN_SLOWNESS)
        self.slowness += SLOWNESS_SMOOTHING * (ratio - self.slowness)

    def _update_counts(self):
        # Computed once for each report and not for each decision.  Running
        # requests beyond our own grants of that time were placed by another
        # scheduler.  A grant counts here slightly longer than the request
        # runs at the target, so the free capacity is overestimated rather
        # than underestimated.
        made_at = self.made_at
        self._ended = [row for row in self._ended if row[1] >= made_at]
        active_grants = self.active_grants.values()
        own = sum(1 for grant in active_grants if grant.since < made_at)
        own += sum(1 for since, _, _ in self._ended if since < made_at)
        self._others_running = max(self.report.running - own, 0)
        self._granted_since_report = sum(
            grant.compute for grant in active_grants if grant.since >= made_at
        )


def describe_targets(targets, now):
    """Return for a log how many targets are known, leave and report.

    Returns
    -------
    dict of str to int
    """
    targets = list(targets)
    return {
        'targets': len(targets),
        'leaving': sum(target.is_leaving() for target in targets),
        'reporting': sum(
            now - target.received_at <= MAX_REPORT_AGE_S for target in targets
        ),
    }


def list_free(targets, max_backlog_s, now):
    """Return the number of free slots of each target that has any.

    Parameters
    ----------
    targets : iterable of Target
        Usable targets.
    max_backlog_s : float
        Maximum seconds of prefill that may wait at a target; 0 for no bound.
    now : float
        Monotonic seconds.

    Returns
    -------
    dict of Target to int
    """
    free = {}
    for target in targets:
        # Requests queued at the scheduler can still go to the first free
        # target, in the order of the weights; those queued at a target
        # cannot.
        if max_backlog_s and target.measure_backlog_s() > max_backlog_s:
            continue
        count = target.count_free(now)
        if count > 0:
            free[target] = count
    return free


def compute_request_rate(targets, compute):
    """Return the number of requests a second that targets can process.

    This is limited by their slots or by their prefill speed, whichever
    allows fewer.

    Parameters
    ----------
    targets : sequence of Target
    compute : float
        Mean number of prompt tokens computed for a request.
    """
    slots = sum(t.report.slots / max(t.hold_s, MIN_HOLD_S) for t in targets)
    prefill = sum(t.report.prefill / t.slowness for t in targets)
    return min(slots, prefill / max(compute, 1.0))
