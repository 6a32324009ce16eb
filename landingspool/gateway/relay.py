"""The life of one relayed request: choose, try, judge, answer.

Each try ends in one of the outcomes, and the table JUDGES says what follows.
What a refusal promises ("has not run and will not") is only said when no
byte of the request reached a target that may have worked on it.
"""

import asyncio
import random
import typing

from landingspool.decisions.gateway import admission
from landingspool.decisions.gateway import exclusions
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import routes
from landingspool.gateway import attempts
from landingspool.gateway import outcomes
from landingspool.gateway import progress as progress_module
from landingspool.platform import answers

# Tries that may fail before anything is sent, over those that are sent.
MOST_CONNECTS = 4
# When a refused caller should come back, seconds: spread, so that callers
# do not come back together; a target's reload takes about a second.
RETRY_AFTER_S = (0.15, 0.5)
# The same where all targets leave: another one has to start, load and be
# listed.
REPLACED_AFTER_S = (1.0, 2.0)


class Answer(typing.NamedTuple):
    """How a request ended, for the log."""

    status: int
    reason: str
    may_have_run: bool


class Relay:
    """One request.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `metrics`, `clock`, and what a
        try needs.
    call : ingress.Call
    body : bytes
    reply : listener.Reply
    """

    def __init__(self, hub, call, body, reply):
        self._hub = hub
        self._view = hub.view
        self._call = call
        self._reply = reply
        self._progress = progress_module.Progress(
            call, body, reply, hub.clock()
        )
        self._plan = None

    async def run(self):
        """Serve the request; exactly one answer is given."""
        try:
            answer = await self._serve()
        except asyncio.CancelledError:
            self._record('caller_gone', reason='closed')
            raise
        self._finish(answer)

    async def _serve(self):
        await self._hub.resumption.wait_read()
        if self._view.table is None:
            return await self._refuse('no_table')
        proved = self._is_proved() or await self._wait_proved()
        return await self._admit(proved)

    async def _admit(self, proved):
        table = self._view.table
        route = self._find_route()
        if route is None:
            return await self._deny(404, 'no_route')
        tenancy, passes = routes.get_tenancy(table, route, self._call.key)
        if not passes:
            return await self._deny(401, 'unknown_key')
        if not proved:
            return await self._refuse('unproved_table')
        service = routes.pick_service(route, self._view.rng)
        self._progress.begin(
            plans.Work(
                self._call.name, route, service, tenancy, self._call.prompt
            )
        )
        self._view.count_first(self._progress.work, self._progress.started)
        return await self._try_all()

    async def _try_all(self):
        progress = self._progress
        while True:
            now = self._hub.clock()
            if progress.is_over(now):
                return await self._give_up('time_over', 504)
            bar = self._view.endings.get_quarantine(progress.fingerprint, now)
            if bar is not None:
                return await self._stop(bar, now)
            ready = self._hub.upstream.list_ready(
                routes.may_repeat(progress.work.route)
            )
            plan = self._view.plan(progress.work, progress.avoid, now, ready)
            self._plan = plan
            if plan is None:
                lack = self._view.find_lack(progress.work, now)
                return await self._defer(lack, now)
            if plan.all_limited and not progress.sends:
                if not self._view.room.take(
                    progress.work, self._view.table, now
                ):
                    return await self._defer(exclusions.LIMITED, now)
            if not progress.sends and not self._view.is_admitted(
                plan, progress.work
            ):
                return await self._turn_away()
            outcome = await attempts.Attempt(self._hub, progress, plan).run()
            if not isinstance(outcome, outcomes.Stale):
                progress.avoid.append(plan.entry.name)
            answer = await JUDGES[type(outcome)](self, outcome)
            if answer is not None:
                return answer
            reason = outcomes.describe(outcome)
            self._record('retried', reason=reason, **self._describe_choice())

    async def _judge_done(self, outcome):
        return Answer(outcome.status, 'answered', True)

    async def _judge_stale(self, outcome):
        self._progress.connects += 1
        if self._is_proved():
            return await self._go_on()
        if await self._wait_proved() and self._is_still_allowed():
            return await self._go_on()
        return await self._give_up('unproved_table')

    def _is_proved(self):
        return attempts.is_proved(self._view, self._hub.clock())

    async def _wait_proved(self):
        """Wait for a proof, if this box has just stood still."""
        route = self._find_route()
        if route is None:
            return False
        return await self._hub.resumption.wait_proved(route.target_latency_s)

    def _is_still_allowed(self):
        """Tell whether the table that has come meanwhile allows it, too."""
        route = self._find_route()
        if route is None:
            return False
        return routes.get_tenancy(self._view.table, route, self._call.key)[1]

    def _find_route(self):
        call = self._call
        return routes.match_route(self._view.table, call.host, call.target)

    async def _judge_unreached(self, outcome):
        self._progress.connects += 1
        return await self._go_on()

    async def _go_on(self):
        """Go on after a try that sent nothing, unless there were many."""
        if self._progress.connects < MOST_CONNECTS:
            return None
        return await self._give_up('unreached')

    async def _judge_rejected(self, outcome):
        if self._progress.has_sends_left() and self._take_repeat():
            return None
        work, now = self._progress.work, self._hub.clock()
        if self._view.has_available(work, now):
            return await self._give_up('rejected')
        return await self._defer(self._view.find_lack(work, now), now)

    async def _judge_failed(self, outcome):
        head = outcome.head
        if head.status >= 500 and self._progress.may_send_again():
            if self._take_repeat():
                return None
        if self._reply.started:
            return self._break_off('failed')
        rows = answers.relay_headers(head)
        await self._reply.send_whole(head.status, rows, outcome.body)
        return Answer(head.status, 'failed', True)

    async def _judge_lost(self, outcome):
        if self._progress.may_send_again() and self._take_repeat():
            return None
        status = 504 if outcome.reason in ('silent', 'time_over') else 502
        return await self._give_up(outcome.reason, status)

    def _take_repeat(self):
        if self._view.may_repeat(
            self._progress.work.service, self._hub.clock()
        ):
            return True
        self._hub.metrics.budget_refusals.inc()
        return False

    async def _give_up(self, reason, status=502):
        """Answer what can't be served; says "not run" only if that holds."""
        if self._reply.started:
            return self._break_off(reason)
        if not self._progress.may_have_run:
            return await self._refuse(reason)
        await self._reply.send_error(status, reason)
        return Answer(status, reason, True)

    async def _refuse(self, reason, after=None):
        after = after or random.uniform(*RETRY_AFTER_S)
        await self._reply.send_error(503, reason, after)
        return Answer(503, reason, False)

    async def _stop(self, bar, now):
        """Answer a request that might end a further target."""
        if self._progress.sends:
            return await self._give_up(bar)
        endings = self._view.endings
        left_s = endings.find_left(self._progress.fingerprint, now)
        return await self._refuse(bar, left_s or None)

    async def _defer(self, lack, now):
        """Answer a request that no target may get now.

        Who is refused hears when there may be one, where that is known.
        """
        if self._reply.started or self._progress.may_have_run:
            return await self._give_up(lack)
        find = RETURNS.get(lack)
        after = find(self, now) if find is not None else None
        return await self._refuse(lack, after)

    def _find_room(self, now):
        left_s = self._progress.find_left(now)
        return self._view.room.compute_retry_after(
            self._progress.work, self._view.table, left_s, now
        )

    def _find_replacement(self, now):
        return random.uniform(*REPLACED_AFTER_S)

    async def _turn_away(self):
        wait_s = self._plan.wait_s
        after = admission.compute_retry_after(
            wait_s, self._plan.pressure, self._view.rng
        )
        await self._reply.send_error(503, 'busy', after)
        self._record(
            'turned_away',
            wait_s=round(wait_s, 3),
            pressure=round(self._plan.pressure, 3),
            **self._describe_choice(),
        )
        return Answer(503, 'busy', False)

    async def _deny(self, status, reason):
        await self._reply.send_error(status, reason)
        return Answer(status, reason, False)

    def _break_off(self, reason):
        self._reply.abort()
        return Answer(0, reason, True)

    def _record(self, event, **fields):
        self._hub.recorder.record(event, request=self._call.name, **fields)

    def _describe_choice(self):
        return attempts.describe_plan(self._plan, self._view.table)

    def _finish(self, answer):
        progress = self._progress
        seconds = self._hub.clock() - progress.started
        first_s = progress.first_byte_s
        self._hub.metrics.record_answer(answer, seconds, first_s)
        self._record(
            'answered' if 200 <= answer.status < 300 else 'not_served',
            status=answer.status,
            reason=answer.reason,
            may_have_run=answer.may_have_run,
            route=progress.work.route.name if progress.work else '',
            content=progress.fingerprint.hex(),
            seconds=round(seconds, 4),
            first_s=round(first_s or 0.0, 4),
            sends=progress.sends,
            tried=progress.avoid,
            proof_s=self._view.proof.age_to_log(self._hub.clock()),
        )


# How to find when a request may be served that nothing may get now.
RETURNS = {
    exclusions.LIMITED: Relay._find_room,
    exclusions.BACKING_OFF: Relay._find_room,
    exclusions.LEAVING: Relay._find_replacement,
}
JUDGES = {
    outcomes.Done: Relay._judge_done,
    outcomes.Stale: Relay._judge_stale,
    outcomes.Unreached: Relay._judge_unreached,
    outcomes.Rejected: Relay._judge_rejected,
    outcomes.Failed: Relay._judge_failed,
    outcomes.Lost: Relay._judge_lost,
}
