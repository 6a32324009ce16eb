"""Relay one request: choose a target, attempt it, retry or answer.

Each attempt returns an outcome, and OUTCOME_HANDLERS maps its class to the
method that decides what follows.  A refusal (503) promises that the request
was not executed and will not be.  It is sent only if no byte of the request
reached a target that may have worked on it.
"""

import asyncio

from landingspool.decisions.gateway import continuations
from landingspool.decisions.gateway import exclusions
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import stream_bindings
from landingspool.gateway import admission_gate
from landingspool.gateway import attempts
from landingspool.gateway import authorization
from landingspool.gateway import forwarder
from landingspool.gateway import outcomes
from landingspool.gateway import path_choice
from landingspool.gateway import refusals
from landingspool.gateway import replacements
from landingspool.gateway import request_state as request_state_module
from landingspool.gateway import stream_retries
from landingspool.platform import answers
from landingspool import timeouts

# Attempts of a request that may fail before anything is sent; those that are
# sent are limited by its route.
MAX_UNSENT_ATTEMPTS = 4
# Longest wait of a request for the first table of a box that has just started,
# in seconds and as a share of the time that its caller waits.  The table comes
# within 0.3 s; a caller that is refused comes back no sooner than that.
START_WAIT_S = 0.4
START_WAIT_SHARE = 0.125
# Least time to send a failure that arrives just before the deadline, seconds.
MIN_SEND_S = 0.25


class Relay:
    """Relays one request and answers it exactly once.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `metrics`, `clock`, `upstream`,
        `resumption`, `state`, `lifetime`, and those that an attempt needs.
    call : ingress.Call
    body : bytes or bodies.Body
    reply : replies.Reply
    origin : forwarded_rows.Origin, optional
        Where the request comes from if another box has forwarded it.
    """

    def __init__(self, hub, call, body, reply, origin=None):
        self._hub = hub
        self._origin = origin
        self._view = hub.view
        self._call = call
        self._reply = reply
        self._state = request_state_module.RequestState(
            call, body, reply, hub.clock(), origin
        )
        self._paths = path_choice.PathChoice(hub, self._state)
        self._replacements = replacements.Replacements(
            hub, self._state, self._paths
        )
        self._stream_retries = stream_retries.StreamRetries(hub, self._state)
        self._refusals = refusals.Refusals(
            hub, self._state, origin, self._stream_retries
        )
        self._authorization = authorization.Authorization(hub, call)
        self._plan = None

    async def run(self):
        """Serve the request and give exactly one answer."""
        try:
            answer = await self._serve()
        except asyncio.CancelledError:
            self._record('caller_gone', reason='closed')
            raise
        self._finish(answer)

    async def _serve(self):
        await self._hub.resumption.wait_for_pending_input()
        if self._view.table is None:
            await self._hub.state.wait_for_table(self._get_start_wait())
        if self._view.table is None:
            return await self._refusals.refuse('no_table')
        return await self._admit()

    def _get_start_wait(self):
        """Return the seconds for which a request may wait for the table."""
        return min(START_WAIT_S, self._call.left_s * START_WAIT_SHARE)

    async def _admit(self):
        route, standing = self._authorization.judge()
        if self._authorization.lacks_proof(standing):
            if not await self._authorization.wait_for_proof():
                return await self._refusals.refuse('unproved_table')
            route, standing = self._authorization.judge()
        if route is None:
            return await self._refusals.deny(404, 'no_route')
        if not standing.passes:
            return await self._refusals.deny(401, 'unknown_key')
        self._state.begin(
            plans.Work(
                self._call.name,
                route,
                self._pick_service(route),
                standing.tenancy,
                self._call.prompt,
            )
        )
        found = await self._find_binding(route)
        if found is not None and found.binding is None:
            return await self._refusals.refuse_unbound(found)
        if found is not None:
            self._state.bind(found.binding)
        if self._paths.may_send_directly(self._hub.clock()):
            self._register()
        return await self._run_attempts()

    async def _find_binding(self, route):
        """Return what may continue the stream that the request continues.

        Returns
        -------
        continuations.Found or None
            None if it begins a stream, or is for none.
        """
        if not routes.is_resumable(route):
            return None
        origin = self._origin
        if origin is not None and origin.software is not None:
            return continuations.check_route(
                continuations.Found(
                    stream_bindings.Binding(origin.service, origin.software),
                    continuations.Source.FORWARDED,
                ),
                route,
            )
        if self._call.after_event:
            return await self._hub.continuity.find(self._state)
        return None

    def _pick_service(self, route):
        if self._origin is not None:
            # The box that forwards it has chosen, if the routes are the same.
            for share in route.shares:
                if share.service == self._origin.service:
                    return share.service
        return routes.pick_service(route, self._view.rng)

    def _register(self):
        """Count the request, and find its demand, before it is sent here.

        A request that is forwarded at once is counted by the other box.
        """
        state = self._state
        if state.demand is not None:
            return
        if not state.is_counted:
            state.is_counted = True
            self._view.count_first(state.work, state.started)
        state.demand = self._view.make_demand(
            state.work, self._call.left_s, state.fingerprint, state.started
        )

    async def _run_attempts(self):
        try:
            while True:
                answer = await self._run_attempt()
                if answer is not None:
                    return answer
        finally:
            self._replacements.close()

    async def _run_attempt(self):
        """Make one attempt; return the Answer, or None to go on."""
        begun = self._replacements.take()
        if begun is not None:
            return await self._resume(begun)
        state, now = self._state, self._hub.clock()
        if state.is_expired(now):
            return await self._refusals.give_up('time_over', 504)
        found = self._view.crashes.find_quarantine(state.keys, now)
        if found is not None:
            return await self._refusals.refuse_quarantined(found)
        if not state.may_end(self._hub, now):
            return await self._refusals.refuse_stopping()
        if self._paths.may_send_directly(now):
            return await self._attempt_directly(now)
        if self._origin is not None:
            # A request is forwarded once: two boxes that are cut off would
            # hand it to each other.
            return await self._refusals.give_up(forwarder.CUT_OFF)
        return await self._attempt_elsewhere(now)

    async def _resume(self, attempt):
        """Complete an attempt that was begun as a replacement."""
        if isinstance(attempt, forwarder.Forward):
            return await self._finish_forward(attempt, attempt.resume())
        self._plan = attempt.plan
        return await self._finish_attempt(attempt.resume())

    async def _attempt_directly(self, now):
        """Send the request to a target; return the Answer if it was one."""
        self._register()
        answer = await self._choose(now)
        if answer is not None or self._plan is None:
            return answer
        return await self._attempt(now)

    async def _choose(self, now):
        """Set the plan of the next attempt; return an Answer if refused.

        The plan is None if the choice has to be made anew.
        """
        state = self._state
        plan = self._view.plan(
            state.work,
            self._stream_retries.list_avoided(),
            now,
            self._paths.list_ready(),
        )
        self._plan = plan
        if plan is None and self._paths.turn_to_peers(now):
            return None
        if plan is None:
            self._hub.gate.record_no_target(state.work.service)
            shortage = self._view.get_shortage(state.work, now)
            if shortage == exclusions.LIMITED:
                return await self._refuse_limited(now)
            return await self._refusals.refuse_excluded(shortage, now)
        if plan.all_limited and not state.sends:
            if not self._view.free_capacity.take(
                state.work, self._view.table, now
            ):
                return await self._refuse_limited(now)
        verdict = await self._hub.gate.check(state, plan)
        if verdict == admission_gate.Verdict.REFUSE:
            return await self._refusals.refuse_overloaded(self._plan)
        if verdict == admission_gate.Verdict.REPLAN:
            self._plan = None
        return None

    async def _refuse_limited(self, now):
        """Refuse a request without a permit unless another box may have one.

        Returns
        -------
        refusals.Answer or None
            None if another box is to be asked.
        """
        if self._paths.search_permit(now):
            self._plan = None
            return None
        return await self._refusals.refuse_excluded(exclusions.LIMITED, now)

    async def _attempt(self, planned_at):
        """Carry out the plan; return the Answer, or None to go on."""
        attempt = attempts.Attempt(
            self._hub, self._state, self._plan, planned_at, self._replacements
        )
        return await self._finish_attempt(attempt.run())

    async def _finish_attempt(self, work):
        outcome = await work
        self._state.has_left |= outcomes.is_left(outcome)
        if not isinstance(outcome, outcomes.Stale):
            self._state.record_tried(
                self._plan.entry.name, outcomes.is_sound(outcome)
            )
        answer = await OUTCOME_HANDLERS[type(outcome)](self, outcome)
        if answer is None:
            reason = outcomes.describe(outcome)
            self._record('retried', reason=reason, **self._describe_choice())
        return answer

    async def _attempt_elsewhere(self, now):
        """Forward the request to a box; return the Answer if it was one."""
        state = self._state
        # Another box may choose any target.
        peer = self._paths.pick_peer(now) if state.has_sends_left() else None
        if peer is None:
            if state.refusal is not None:
                return await self._refusals.refuse_as_peer(state.refusal)
            if state.needs_permit:
                return await self._refusals.refuse_excluded(
                    exclusions.LIMITED, now
                )
            return await self._refusals.give_up(forwarder.CUT_OFF)
        forward = forwarder.Forward(
            self._hub, state, peer, now, self._replacements
        )
        return await self._finish_forward(forward, forward.run())

    async def _finish_forward(self, forward, work):
        state = self._state
        state.tried_peers.append(forward.peer)
        outcome = await work
        if state.needs_permit and isinstance(outcome, outcomes.Done):
            self._view.permit_search.record_found(state.work.service)
        answer = await FORWARD_HANDLERS[type(outcome)](self, outcome)
        if answer is None:
            reason = outcomes.describe(outcome)
            self._record('retried', reason=reason, peer=forward.peer)
        return answer

    async def _handle_done(self, outcome):
        return refusals.Answer(outcome.status, 'answered', True)

    async def _handle_stale(self, outcome):
        self._state.unsent_attempts += 1
        if await self._authorization.renew(self._state.work):
            return await self._continue_unsent()
        return await self._refusals.give_up('unproved_table')

    async def _handle_unreached(self, outcome):
        self._state.unsent_attempts += 1
        return await self._continue_unsent()

    async def _continue_unsent(self):
        """Allow another attempt after one that sent nothing, up to a limit."""
        if self._state.unsent_attempts < MAX_UNSENT_ATTEMPTS:
            return None
        if self._paths.turn_to_peers(self._hub.clock()):
            return None
        return await self._refusals.give_up(forwarder.UNREACHED)

    async def _handle_peer_unreached(self, outcome):
        return None

    async def _handle_peer_refused(self, outcome):
        """Try another box if it may do better than the one that refused."""
        self._state.refusal = outcome
        if outcome.report.sends:
            if self._state.has_sends_left() and self._take_retry_budget():
                return None
        elif outcome.status != 503:
            # Its table or its limits differ from those of this box, by which
            # the request is allowed.
            return None
        elif outcome.reason in forwarder.TRY_ELSEWHERE:
            return None
        elif self._state.needs_permit and outcome.reason == exclusions.LIMITED:
            return await self._continue_search(outcome)
        return await self._refusals.refuse_as_peer(outcome)

    async def _continue_search(self, outcome):
        """Ask one more box for a permit, or refuse the request."""
        now, service = self._hub.clock(), self._state.work.service
        if self._paths.pick_peer(now) is not None:
            return None
        self._view.permit_search.record_missing(service, now)
        return await self._refusals.refuse_as_peer(outcome)

    async def _handle_rejected(self, outcome):
        if self._state.has_sends_left() and self._take_retry_budget():
            return None
        work, now = self._state.work, self._hub.clock()
        if self._view.has_available(work, now):
            return await self._refusals.refuse_rejected(self._plan)
        return await self._refusals.refuse_excluded(
            self._view.get_shortage(work, now), now
        )

    async def _handle_failed(self, outcome):
        head, is_cut = outcome.head, outcome.body is None
        is_repeatable = head.status >= 500 or is_cut
        if is_repeatable and self._state.may_send_again():
            if self._take_retry_budget():
                return None
        if self._reply.started:
            return await self._refusals.give_up('failed')
        if is_cut:
            return await self._refusals.give_up('failed')
        return await self._send_failure(head, outcome.body)

    async def _send_failure(self, head, body):
        """Forward a target's failure, to a slow caller until the deadline."""
        rows = answers.relay_headers(head)
        left_s = self._state.deadline - self._hub.clock()
        try:
            async with timeouts.Timeout(max(left_s, MIN_SEND_S)):
                await self._reply.send_complete(head.status, rows, body)
        except TimeoutError:
            return self._refusals.abort_reply('time_over')
        return refusals.Answer(head.status, 'failed', True)

    async def _handle_lost(self, outcome):
        if self._replacements.take_grant():
            return None
        if self._may_repeat() and self._take_retry_budget():
            return None
        status = 504 if outcome.reason in ('silent', 'time_over') else 502
        return await self._refusals.give_up(outcome.reason, status)

    def _may_repeat(self):
        """Return whether a request that was lost may be sent again."""
        if self._reply.started and self._state.stream is None:
            # Another answer can't be joined to the part that was forwarded.
            return False
        crashes = self._view.crashes
        return self._state.may_send_again() and crashes.may_repeat(
            self._state.keys
        )

    def _take_retry_budget(self):
        if self._state.take_repeat(self._view, self._hub.clock()):
            return True
        self._hub.metrics.budget_refusals.inc()
        return False

    def _record(self, event, **fields):
        self._hub.recorder.record(event, request=self._call.name, **fields)

    def _describe_choice(self):
        return plans.describe_plan(self._plan, self._view.table)

    def _finish(self, answer):
        state = self._state
        seconds = self._hub.clock() - state.started
        first_s = state.first_byte_s
        if self._origin is None:
            self._hub.metrics.record_answer(answer, seconds, first_s)
        else:
            self._hub.metrics.record_served_peer(answer)
        if state.demand is not None and state.demand.returns:
            self._hub.metrics.record_return(answer)
        self._record(
            'answered' if 200 <= answer.status < 300 else 'not_served',
            status=answer.status,
            reason=answer.reason,
            may_have_run=answer.may_have_run,
            route=state.work.route.name if state.work else '',
            content=state.fingerprint.hex(),
            seconds=round(seconds, 4),
            first_s=round(first_s or 0.0, 4),
            sends=state.sends,
            tried=state.tried_targets,
            proof_s=self._view.proof.age_to_log(self._hub.clock()),
            **self._describe_forwarding(),
        )

    def _describe_forwarding(self):
        """Return the boxes that took part in a request, for the log."""
        if self._origin is not None:
            return {'forwarded_by': self._origin.box}
        tried = self._state.tried_peers
        return {'peers': tried} if tried else {}


OUTCOME_HANDLERS = {
    outcomes.Done: Relay._handle_done,
    outcomes.Stale: Relay._handle_stale,
    outcomes.Unreached: Relay._handle_unreached,
    outcomes.Rejected: Relay._handle_rejected,
    outcomes.Failed: Relay._handle_failed,
    outcomes.Lost: Relay._handle_lost,
}
FORWARD_HANDLERS = {
    **OUTCOME_HANDLERS,
    outcomes.Unreached: Relay._handle_peer_unreached,
    outcomes.PeerRefused: Relay._handle_peer_refused,
}
