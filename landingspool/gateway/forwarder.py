"""Have another box serve a request, and forward its answer to the caller.

The other box chooses a target, sends the request and keeps all accounts of
that.  It passes on the answer of the target as it is, which carries the id of
the request; an answer without that id is the box's own.
"""

from landingspool.decisions.gateway import routes
from landingspool.gateway import attempt_log
from landingspool.gateway import attempts
from landingspool.gateway import forwarded_rows
from landingspool.gateway import intake
from landingspool.gateway import outcomes
from landingspool.gateway import refusals
from landingspool.gateway import upstream
from landingspool.platform import egress

# Statuses of a box's own answers by which it has not executed the request.
# Those below 500 say that its table or its limits differ from those here.
NOT_RUN = frozenset((400, 401, 404, 408, 413, 421, 429, 431, 503))
# Status of a box's own answer to a request that its target did not answer.
TIME_OVER = 504
# Reasons for which a box can't send to the targets of a service.
CUT_OFF = 'cut_off'
UNREACHED = 'unreached'
UNABLE = frozenset((CUT_OFF, UNREACHED, refusals.STOPPING))
# Reasons for which another box may serve a request that one has refused.
TRY_ELSEWHERE = UNABLE | {'no_table', 'unproved_table', intake.NO_ROOM}
# Seconds by which the time given to the other box is shorter than that left
# here: its own answer at the end of it arrives before this box gives up.
RETURN_MARGIN_S = 0.03


class Forward(attempts.Attempt):
    """One attempt to have a request served by another box.

    Parameters
    ----------
    hub
        The box's parts: `deployment`, `view`, `upstream`, `recorder`,
        `metrics`, `clock`, `timer`.
    state : request_state.RequestState
        The request; the attempt updates it.
    peer : registry.Peer
    picked_at : float
        Time as of which the box was picked, seconds of the clock.
    replacements : replacements.Replacements
        Finds another box if this one is silent.
    exchange : upstream.Exchange, optional
        As for attempts.Attempt.
    """

    def __init__(
        self, hub, state, peer, picked_at, replacements, exchange=None
    ):
        super().__init__(hub, state, None, picked_at, replacements, exchange)
        self._peer = peer
        self._forwarding = hub.view.forwarding

    async def run(self):
        """Make the attempt and return one of the outcomes."""
        try:
            self._exchange = await open_exchange(
                self._hub, self._state, self._peer
            )
        except upstream.ExchangeError as error:
            return self._count(outcomes.Unreached(str(error)))
        if not self.is_current():
            self._exchange.abort()
            return self._count(outcomes.Stale())
        return await self._record(self._send_and_receive())

    @property
    def peer(self):
        """Name of the other box."""
        return self._peer.name

    def is_current(self):
        now, work = self._hub.clock(), self._state.work
        return self._hub.timer.ran_since(
            self._planned_at
        ) and self._view.may_serve(work, now)

    def _send(self):
        state = self._state
        self._sent_at = self._hub.clock()
        state.record_send(self._exchange.connection)
        if state.sends > 1:
            self._hub.metrics.repeats.inc()
        self._forwarding.record_sent(self._peer.name, self._sent_at)
        self._hub.recorder.record(
            'forwarded',
            request=state.call.name,
            peer=self._peer.name,
            service=state.work.service,
            content=state.fingerprint.hex(),
        )
        self._exchange.send(
            state.call.method,
            state.call.target,
            self._write_head(),
            state.body,
        )

    def _write_head(self):
        state = self._state
        origin = forwarded_rows.Origin(
            self._hub.deployment.box,
            state.work.service,
            state.is_counted,
            state.work.software,
        )
        head = egress.write_forwarded_head(
            state.call,
            state.deadline - self._sent_at - RETURN_MARGIN_S,
            state.last_event_id,
            len(state.body),
        )
        return head + forwarded_rows.write_origin(origin)

    def _record_end(self, outcome):
        state, now = self._state, self._hub.clock()
        self._forwarding.record_end(self._peer.name, now)
        if isinstance(outcome, outcomes.Lost):
            self._abort()
            self._log_loss(outcome)
        if isinstance(outcome, outcomes.PeerRefused):
            # Only a send to a target counts.
            state.sends += min(outcome.report.sends, 1) - 1
            state.is_counted |= outcome.report.counted
            if outcome.reason in UNABLE:
                self._record_unable()
        else:
            state.may_have_run = True
            state.is_counted = True
        self._count(outcome)

    def _log_loss(self, outcome):
        attempt_log.log_loss(
            self._hub,
            self._state,
            outcome.cause,
            self._sent_at,
            peer=self._peer.name,
        )

    async def prepare_replacement(self, is_incomplete=False):
        return await self._replacements.prepare_peer(
            lambda: self._exchange.look(self._is_due, is_incomplete)
        )

    def _compute_timeout(self):
        left_s = self._state.get_time_left(self._hub.clock())
        if not self._state.may_send_again():
            return left_s
        work = self._state.work
        profile = self._view.profiles.get_service(work.service)
        timeout_s = max(
            work.route.target_latency_s * attempts.TIMEOUT_RATIO,
            attempts.MIN_TIMEOUT_S,
        )
        expected_s = estimate_seconds(profile, work.prompt)
        return min(left_s, timeout_s + expected_s * attempts.TIMEOUT_RATIO)

    def _is_own(self, head):
        if head.name or head.stamped:
            return super()._is_own(head)
        # A box of an earlier build does not say whose its own answer is.
        name = forwarded_rows.read_report(head.headers).request
        return name in (None, self._state.call.name)

    def _get_answerer(self):
        return self._peer.name

    def _is_answer(self, head):
        # A request without an id has an answer that is told by its stamp.
        is_marked = head.name or head.stamped
        return is_marked and super()._is_answer(head)

    async def _take_foreign(self, head):
        return await self._take_own(head)

    async def _take_rejection(self, head):
        return await self._take_own(head)

    async def _take_own(self, head):
        """Return the outcome that a box's own answer tells."""
        if head.status in NOT_RUN:
            await self._read_rest(head)
            rest = head.notices.rest
            return outcomes.PeerRefused(
                head.status,
                forwarded_rows.read_report(head.headers),
                rest.seconds if head.notices.asks_backoff else None,
            )
        if head.status == TIME_OVER:
            return outcomes.Lost('time_over', outcomes.Cause.TIME_OVER)
        return outcomes.Lost(
            f'answer {head.status} of a box', outcomes.Cause.MALFORMED
        )

    def _report_broken(self, error):
        cause = (
            outcomes.Cause.CLOSED
            if self._exchange.is_closed
            else outcomes.Cause.MALFORMED
        )
        return outcomes.Lost(str(error), cause)

    def _record_unable(self):
        self._forwarding.record_failed(self._peer.name, self._hub.clock())

    def bind_stream(self, head):
        """Bind a stream to the software that the other box names.

        Returns
        -------
        bool
            False if it names none, or other software than that which began
            the stream.
        """
        state = self._state
        if not routes.is_resumable(state.work.route):
            return True
        software = forwarded_rows.read_software(head.headers)
        if software is None or state.work.software not in (None, software):
            return False
        self._bind(software)
        return True

    def list_reply_headers(self, head):
        return forwarded_rows.strip(super().list_reply_headers(head))

    def record_first(self):
        self._state.record_first(self._hub.clock())

    def _record_loss(self, certain):
        """Leave the accounts of the target to the box that sends to it."""

    def _record_failure(self, head, is_cut):
        """Leave the accounts of the target to the box that sends to it."""

    def record_received(self):
        """Leave the accounts of the target to the box that sends to it."""

    def _record_notices(self, head):
        """Leave the notices to the box that knows the target."""

    def record_version(self, version):
        """Leave the version to the box that knows the target."""

    def _count(self, outcome):
        self._hub.metrics.record_forward(type(outcome).__name__.lower())
        return outcome


async def open_exchange(hub, state, peer, fresh=False):
    """Open an exchange with a box; a failure is recorded for it.

    Parameters
    ----------
    state : request_state.RequestState
    peer : registry.Peer
    fresh : bool
        Whether to use a new connection.

    Raises
    ------
    upstream.ExchangeError
    """
    try:
        return await hub.upstream.open(
            peer.forwarding,
            routes.may_repeat(state.work.route),
            used=state.connections,
            fresh=fresh,
        )
    except upstream.ExchangeError:
        hub.view.forwarding.record_failed(peer.name, hub.clock())
        raise


def estimate_seconds(profile, prompt):
    """Return the seconds to the first byte where nothing is cached.

    Parameters
    ----------
    profile : service_figures.Profile
    prompt : prompts.Prompt or None
    """
    if prompt is None:
        return profile.work_s
    return profile.base_s + prompt.tokens_in / profile.read_tokens_s
