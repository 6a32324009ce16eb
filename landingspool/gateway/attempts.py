"""Send a request to one target, read the answer and forward it to the caller.

An attempt returns one of the classes of `outcomes`.  The relay decides what
follows from it: an answer, another attempt or a refusal.  An answer is
forwarded as soon as it is certain that it belongs to this request.
"""

import asyncio

from landingspool.decisions.gateway import demand
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import stream_bindings
from landingspool.gateway import attempt_heads
from landingspool.gateway import attempt_log
from landingspool.gateway import delivery
from landingspool.gateway import error_bodies
from landingspool.gateway import forwarded_rows
from landingspool.gateway import outcomes
from landingspool.gateway import recalls
from landingspool.gateway import stream as stream_module
from landingspool.gateway import upstream as upstream_module
from landingspool.platform import answers
from landingspool import timeouts

# Time-out for the answer's head of a request that may be sent again: a
# multiple of the route's latency objective, and a minimum in seconds.
TIMEOUT_RATIO = 2.0
MIN_TIMEOUT_S = 0.4
# Seconds for which a model engine may take to accept a request that is still
# under way at another one: both run it for as long.
ACCEPT_S = 0.25
# Period at which the silent target is looked at meanwhile, seconds.
WATCH_PERIOD_S = 0.02


class Attempt:
    """One attempt to have a request answered by the planned target.

    Parameters
    ----------
    hub
        The box's parts: `view`, `upstream`, `prober`, `recorder`,
        `metrics`, `target_notices`, `crash_records`, `continuity`, `clock`,
        `timer`.
    state : request_state.RequestState
        The request; the attempt updates it.
    plan : view.Plan
    planned_at : float
        Time as of which the plan was made, seconds of the clock.
    replacements : replacements.Replacements
        Finds another target if this one is silent.
    exchange : upstream.Exchange, optional
        On a connection that is open already, for an attempt that is begun
        while another one waits.
    """

    def __init__(
        self, hub, state, plan, planned_at, replacements, exchange=None
    ):
        self._hub = hub
        self._view = hub.view
        self._state = state
        self._plan = plan
        self._planned_at = planned_at
        self._replacements = replacements
        self._exchange = exchange
        self._recall = recalls.Recall(hub, state, plan)
        self._head = None
        self._sent_at = None
        # Seconds for which it waited for the head while it was begun.
        self._waited_s = 0.0

    async def run(self):
        """Make the attempt and return one of the outcomes."""
        try:
            self._exchange = await open_exchange(
                self._hub, self._state, self._plan.entry
            )
        except upstream_module.ExchangeError as error:
            return outcomes.Unreached(str(error))
        if not self._may_send():
            self._exchange.abort()
            return outcomes.Stale()
        return await self._record(self._send_and_receive())

    async def begin(self, look_at_other):
        """Send the request, and wait for the target to accept it.

        Parameters
        ----------
        look_at_other : callable
            Coroutine function that returns the upstream.Sign of the silent
            target; any but NOTHING ends the wait.

        Returns
        -------
        One of the outcomes, or None
            None if the attempt goes on: it is to be resumed or stopped.
        """
        return await self._record(self._send_and_wait(look_at_other))

    async def resume(self):
        """Complete an attempt that was begun; return one of the outcomes."""
        return await self._record(self._receive())

    def stop(self):
        """End an attempt that was begun and isn't needed."""
        self._record_end(outcomes.Lost('stopped', outcomes.Cause.STOPPED))

    @property
    def plan(self):
        """The plan that is carried out."""
        return self._plan

    def is_current(self):
        """Return whether the plan still holds.

        While the connection came up, the process may have stalled, the table
        may have changed or the target's weights may have become too old.
        """
        now, plan, work = self._hub.clock(), self._plan, self._state.work
        return (
            self._hub.timer.ran_since(self._planned_at)
            and self._view.may_serve(work, now)
            and self._view.may_send(plan.entry, work, now)
            and self._view.start_limits.may_send(plan, work, now)
        )

    def _may_send(self):
        now = self._hub.clock()
        crashes = self._view.crashes
        return (
            self.is_current()
            and crashes.find_quarantine(self._state.keys, now) is None
        )

    async def _record(self, work):
        """Await the outcome and record the end, if it has one."""
        outcome = outcomes.Lost('stopped', outcomes.Cause.STOPPED)
        try:
            outcome = await work
        finally:
            if outcome is not None:
                self._record_end(outcome)
        return outcome

    async def _send_and_receive(self):
        self._send()
        return await self._receive()

    async def _send_and_wait(self, look_at_other):
        self._send()
        try:
            self._head = await self._wait_for_head(look_at_other)
        except TimeoutError:
            return None
        except upstream_module.ExchangeError as error:
            return self._report_broken(error)
        if delivery.is_success(self._head) and self._is_answer(self._head):
            return None
        try:
            async with timeouts.Timeout(ACCEPT_S):
                return await self._receive()
        except TimeoutError:
            return self.report_lost('slow failure', outcomes.Cause.MALFORMED)

    async def _wait_for_head(self, look_at_other):
        """Read the head while another target has the request as well.

        Raises
        ------
        TimeoutError
            If the other target is to be left, or has answered.
        upstream.ExchangeError
        """
        loop = asyncio.get_running_loop()
        began, limit_s = loop.time(), self._compute_accept_timeout()
        while True:
            left_s = min(limit_s - self._waited_s, WATCH_PERIOD_S)
            try:
                async with timeouts.Timeout(left_s):
                    return await self._exchange.read_head(self._is_due)
            except TimeoutError:
                self._waited_s = loop.time() - began
                if self._waited_s >= limit_s or await look_at_other():
                    raise

    def _compute_accept_timeout(self):
        """Return the seconds for which two targets may run the request."""
        work = self._state.work
        if work.route.kind == routes.SAFE and self._view.is_plain(
            work.service
        ):
            return self._compute_timeout()
        return ACCEPT_S

    def _send(self):
        state, plan = self._state, self._plan
        self._sent_at = self._hub.clock()
        state.record_send(self._exchange.connection)
        if state.sends > 1:
            self._hub.metrics.repeats.inc()
        self._view.record_sent(plan, state.work, self._sent_at)
        if state.work.prompt is not None:
            self._hub.peering.report_sent()
        for key in state.keys:
            self._view.crashes.bars.record_sent(key, self._sent_at)
        if plan.transfer.declined:
            self._hub.metrics.declined_parts.inc(plan.transfer.declined)
        attempt_log.log_dispatched(
            self._hub,
            state,
            plan,
            demand.find_priority(state.work),
            self._recall.measure_left(),
        )
        self._exchange.send(
            state.call.method,
            state.call.target,
            self._write_head(),
            state.body,
            not state.may_need_body(),
        )

    def _record_end(self, outcome):
        name = self._plan.entry.name
        if isinstance(outcome, outcomes.Lost):
            self._abort()
            self._log_loss(outcome)
        self._view.loads.record_end(name, self._state.work.name)
        if not isinstance(outcome, outcomes.Rejected):
            self._hub.gate.record_end(self._state.work.service)
        records = self._hub.crash_records
        records.record_end(self._state, isinstance(outcome, outcomes.Done))
        if isinstance(outcome, outcomes.Lost) and self._exchange is not None:
            # Once released, the target's answer was complete.
            records.record_missing_answer(
                self._state, outcome.cause, name, self._sent_at
            )
        if not isinstance(outcome, outcomes.Rejected):
            self._state.may_have_run = True

    def release(self):
        """Return the connection, which another request may use from now."""
        exchange, self._exchange = self._exchange, None
        exchange.release()

    def _abort(self):
        """Reset the connection unless it was released."""
        if self._exchange is not None:
            self._exchange.abort()

    def _log_loss(self, outcome):
        name = self._plan.entry.name
        attempt_log.log_target_loss(
            self._hub, self._state, outcome.cause, self._sent_at, name
        )

    def _write_head(self):
        return attempt_heads.write_head(self._state, self._plan, self._sent_at)

    async def _receive(self):
        """Read the answer before the request's deadline; return an outcome."""
        try:
            head = self._head or await self._read_head()
        except TimeoutError:
            return self._report_timeout()
        except upstream_module.ExchangeError as error:
            return self._report_broken(error)
        self.record_version(head.version)
        self._record_notices(head)
        if head.not_run:
            return await self._take_rejection(head)
        if not self._is_answer(head):
            return await self._take_foreign(head)
        self._recall.check_answer(head.version, self._sent_at)
        try:
            # Until the request's deadline.
            left_s = self._state.deadline - self._hub.clock()
            async with timeouts.Timeout(left_s):
                if delivery.is_success(head):
                    return await self._deliver(head)
                return await self._take_failure(head)
        except TimeoutError:
            # The caller's deadline has passed, which isn't the target's fault.
            return outcomes.Lost('time_over', outcomes.Cause.TIME_OVER)
        except upstream_module.ExchangeError as error:
            return self._report_broken(error)
        except stream_module.EventTooLong as error:
            return self.report_lost(str(error), outcomes.Cause.MALFORMED)

    async def _read_head(self):
        """Read the answer's head; wait on while nothing can replace this.

        Raises
        ------
        TimeoutError
            If another target takes over, or the deadline has passed.
        """
        waited_s = self._waited_s
        while True:
            left_s = max(self._compute_timeout() - waited_s, 0.0)
            try:
                async with timeouts.Timeout(left_s):
                    return await self._exchange.read_head(self._is_due)
            except TimeoutError:
                if self._is_expired() or await self.prepare_replacement():
                    raise
            waited_s = 0.0

    async def prepare_replacement(self, is_incomplete=False):
        """Return whether another target takes over from a silent one."""
        return await self._replacements.prepare(
            self._plan,
            lambda: self._exchange.look(self._is_due, is_incomplete),
        )

    def _report_timeout(self):
        if self._exchange.error is not None:
            return self._report_broken(self._exchange.error)
        if self._recall.is_due() and not self._is_expired():
            # The target is not silent.
            cause = outcomes.Cause.OLD_WEIGHTS
            return outcomes.Lost(cause, cause)
        return self.report_lost('silent', outcomes.Cause.SILENT)

    def _is_expired(self):
        return self._state.is_expired(self._hub.clock())

    def _compute_timeout(self):
        left_s = self._state.get_time_left(self._hub.clock())
        if not self._state.may_send_again():
            return left_s
        objective_s = self._state.work.route.target_latency_s
        timeout_s = max(objective_s * TIMEOUT_RATIO, MIN_TIMEOUT_S)
        # The expected latency counts, too: where all targets are busy,
        # another one would not answer sooner.
        timeout_s += self._plan.expected_s * TIMEOUT_RATIO
        return min(left_s, self._recall.limit_timeout(timeout_s))

    def _compute_body_timeout(self, head):
        """Return the seconds for the body of a failure; None: no limit."""
        if head.status >= 500 and self._state.may_send_again():
            return self._compute_timeout()
        return None

    def _is_due(self, head):
        """Return whether an answer belongs to this request; log surplus ones.

        Any other answer belongs to no request: a target sent it once more.
        """
        is_own = self._is_own(head)
        if not is_own:
            name = self._get_answerer()
            attempt_log.log_surplus(self._hub, self._state, name, head)
        return is_own

    def _is_own(self, head):
        """Return whether an answer says that it belongs to this request."""
        return head.name == self._state.call.name

    def _get_answerer(self):
        """Return the name of the target that answers."""
        return self._plan.entry.name

    def _is_answer(self, head):
        return delivery.is_answer_to(head, self._state.call.name)

    async def _take_foreign(self, head):
        return self.report_lost(
            'not the answer to this request', outcomes.Cause.MALFORMED
        )

    async def _take_rejection(self, head):
        entry = self._plan.entry
        is_elsewhere = head.target and head.target != entry.target
        if head.status == answers.MISDIRECTED and is_elsewhere:
            # Another target has taken over the address: this one is gone.
            self._view.fleet.drop(entry.name, self._hub.clock(), False)
        elif not head.notices.asks_for_less:
            # A target that asks for fewer requests and rejects the surplus
            # is healthy; any other rejection counts as a failure.
            self._view.record_rejected(
                self._plan, self._state.work, self._hub.clock()
            )
        await self._read_rest(head)
        return outcomes.Rejected(head)

    async def _read_rest(self, head):
        """Read the body of a rejection, so that its connection can be kept."""
        try:
            await error_bodies.skip_rejection(self._exchange)
        except TimeoutError:
            self._give_up_body(head)
        except error_bodies.ERRORS:
            self._give_up_body(head)
            self._record_loss(certain=False)
        else:
            self.release()

    def _give_up_body(self, head):
        answerer = self._get_answerer()
        attempt_log.log_given_up(self._hub, self._state, answerer, head)
        self._exchange.abort()

    async def _deliver(self, head):
        answer = delivery.Delivery(
            self._state, self._exchange, self, self._hub.room.buffers
        )
        return await answer.forward(head)

    async def _take_failure(self, head):
        limit_s = self._compute_body_timeout(head)
        body = await error_bodies.read_failure(self._exchange, limit_s)
        if body is None:
            self._give_up_body(head)
        else:
            self.release()
        self._record_failure(head, body is None)
        return outcomes.Failed(head, body)

    def _record_failure(self, head, is_cut):
        wait_s = self._hub.timer.measure_running_s(self._sent_at)
        # A target that asks for a back-off lacks free capacity and has said
        # for how long: that is no failure.
        failed = head.status >= 500 and not head.notices.asks_backoff
        self._view.record_answer(self._plan, wait_s, failed or is_cut)

    def report_lost(self, reason, cause):
        """Count a loss for the target and return the outcome Lost."""
        self._record_loss(certain=False)
        return outcomes.Lost(reason, cause)

    def _report_broken(self, error):
        """Return the outcome of a broken exchange.

        If the path to the target is dead, its idle connections are closed
        and the target is probed, so that no other request uses the path.
        """
        if error.silent:
            entry = self._plan.entry
            self._hub.upstream.drop(entry.address)
            self._hub.prober.record_failed(entry.name, str(error))
            return self.report_lost(str(error), outcomes.Cause.DEAD_PATH)
        if self._exchange.is_closed:
            return self.report_lost(str(error), outcomes.Cause.CLOSED)
        return self.report_lost(str(error), outcomes.Cause.MALFORMED)

    def _record_loss(self, certain):
        name = self._plan.entry.name
        self._view.record_loss(name, self._hub.clock(), certain)

    def record_received(self):
        """Record that the target has sent a part of the answer."""
        name = self._plan.entry.name
        self._view.loads.record_received(name, self._hub.clock())

    def bind_stream(self, head):
        """Bind a stream to the target whose first event is to be forwarded.

        Returns
        -------
        bool
            False if the target has restarted since it was chosen: its answer
            may be that of other software.
        """
        state, entry = self._state, self._plan.entry
        if not routes.is_resumable(state.work.route):
            return True
        if not self._view.fleet.is_same(entry):
            return False
        self._bind(entry.software)
        return True

    def _bind(self, software):
        state = self._state
        state.bind(stream_bindings.Binding(state.work.service, software))
        self._hub.continuity.record_begun(state)

    def list_reply_headers(self, head):
        """Return the headers with which an answer is forwarded."""
        rows = answers.relay_headers(head)
        origin, route = self._state.origin, self._state.work.route
        if origin is not None and routes.is_resumable(route):
            software = self._plan.entry.software
            rows.append(forwarded_rows.write_software(software))
        return rows

    def record_first(self):
        """Record the first part of the answer that is forwarded."""
        now = self._hub.clock()
        self._view.record_first(self._plan, self._state.work, now)
        wait_s = self._hub.timer.measure_running_s(self._sent_at)
        self._view.record_answer(self._plan, wait_s, False)
        self._state.record_first(now)

    def _record_notices(self, head):
        if head.status == answers.MISDIRECTED:
            # The answer comes from another target, which has the address now.
            return
        answered = self._is_answer(head)
        if not answered and not head.not_run:
            return
        # A missing limit means "no limit" only in a signed success.
        certain = answered and delivery.is_success(head)
        name, notices = self._plan.entry.name, head.notices
        self._hub.target_notices.take(name, notices, self._sent_at, certain)
        if answered and not head.notices.asks_backoff:
            self._view.exclusions.backoffs.record_answered(name, self._sent_at)

    def record_version(self, version):
        """Record the version of the weights that the target has, if known."""
        prompt = self._state.work.prompt
        if version is None or prompt is None:
            return
        name = self._plan.entry.name
        self._view.fleet.record_version(name, prompt.model, version)


async def open_exchange(hub, state, entry, fresh=False):
    """Open an exchange with a target; a failure is recorded for its path.

    Parameters
    ----------
    state : request_state.RequestState
    entry : fleet.Entry
    fresh : bool
        Whether to use a new connection.

    Raises
    ------
    upstream.ExchangeError
    """
    try:
        return await hub.upstream.open(
            entry.address,
            routes.may_repeat(state.work.route),
            hub.view.get_connection_limit(state.work.service),
            state.connections,
            fresh,
        )
    except upstream_module.ExchangeError as error:
        hub.prober.record_error(entry.name, error)
        raise
