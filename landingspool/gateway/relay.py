"""The life of one relayed request: choose, send, judge, answer.

Each try ends in one of the outcomes below, and a table says what follows.
What a refusal promises ("has not run and will not") is only said when no
byte of the request reached a target that may have worked on it.
"""

import asyncio
import random
import typing

from landingspool.decisions.gateway import admission
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import view as view_module
from landingspool.gateway import outcomes
from landingspool.gateway import stream as stream_module
from landingspool.gateway import upstream as upstream_module
from landingspool.platform import ingress

# Tries that may fail before anything is sent, over those that are sent.
MOST_CONNECTS = 4
# Seconds before the end of a request's time at which its answer is given.
END_MARGIN_S = 0.05
# Repeatable requests are tried elsewhere when no byte came for so many
# times the latency that the route aims at, and at least for so long.
PATIENCE_RATIO = 2.0
LEAST_PATIENCE_S = 0.4
# A stream is continued elsewhere after a pause of so long; callers give up
# after two seconds or more.
STREAM_PAUSE_S = 1.0
# When a refused caller should come back, seconds: spread, so that callers
# do not come back together; a target's reload takes about a second.
RETRY_AFTER_S = (0.15, 0.5)
# Bytes of an answer that are read before its first byte is passed on, so
# that one that breaks early can still be tried again or told as failed.
MOST_HELD = 256 * 1024


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
        The box's parts: `view`, `upstream`, `recorder`, `metrics`, `clock`.
    call : ingress.Call
    body : bytes
    reply : listener.Reply
    """

    def __init__(self, hub, call, body, reply):
        self._hub = hub
        self._view = hub.view
        self._call = call
        self._body = body
        self._reply = reply
        self._started = hub.clock()
        self._work = None
        self._ends = self._started + call.left_s
        self._stream = None
        self.avoid = []
        self.sends = 0
        self.connects = 0
        self.may_have_run = False
        self.first_byte_s = None
        self.plan = None

    async def run(self):
        """Serve the request; exactly one answer is given."""
        try:
            answer = await self._serve()
        except asyncio.CancelledError:
            self._note('caller_gone', reason='closed')
            raise
        self._finish(answer)

    async def _serve(self):
        table = self._view.table
        if table is None:
            return await self._refuse('no_table')
        route = routes.find_route(table, self._call.host, self._call.target)
        if route is None:
            return await self._deny(404, 'no_route')
        tenancy, passes = routes.find_tenancy(table, route, self._call.key)
        if not passes:
            return await self._deny(401, 'unknown_key')
        if table.keyed and not self._view.proof.is_fresh(self._hub.clock()):
            return await self._refuse('unproved_table')
        service = routes.pick_service(route, self._view.rng)
        self._work = view_module.Work(
            self._call.name, route, service, tenancy, self._call.prompt
        )
        self._ends = self._started + min(self._call.left_s, route.timeout_s)
        self._view.count_first(service, self._started)
        return await self._try_all()

    async def _try_all(self):
        while True:
            now = self._hub.clock()
            if now >= self._ends - END_MARGIN_S:
                return await self._give_up('time_over', 504)
            self.plan = self._view.plan(self._work, self.avoid, now)
            if self.plan is None:
                return await self._give_up('no_target')
            if not self.sends and not self._view.is_admitted(
                self.plan, self._work
            ):
                return await self._turn_away()
            outcome = await self._attempt(self.plan)
            if not isinstance(outcome, outcomes.Stale):
                self.avoid.append(self.plan.entry.name)
            answer = await JUDGES[type(outcome)](self, outcome)
            if answer is not None:
                return answer
            self._note(
                'retried', reason=outcomes.describe(outcome), **self._inputs()
            )

    async def _attempt(self, plan):
        try:
            exchange = await self._hub.upstream.open(
                plan.entry.address, routes.may_repeat(self._work.route)
            )
        except upstream_module.Broken as error:
            self._view.note_loss(plan.entry.name, self._hub.clock(), True)
            return outcomes.Unreached(str(error))
        if not self._may_send():
            exchange.abort()
            return outcomes.Stale()
        return await self._exchange(plan, exchange)

    def _may_send(self):
        # Between the choice and here the process may have stood still, or
        # the table may have changed: only a fresh decision is sent.
        table = self._view.table
        fresh = self._hub.beat.is_fresh(self._hub.clock())
        proved = not table.keyed or self._view.proof.is_fresh(
            self._hub.clock()
        )
        known = self.plan.entry.name in self._view.fleet.entries
        return fresh and proved and known

    async def _exchange(self, plan, exchange):
        view, now = self._view, self._hub.clock()
        self.sends += 1
        if self.sends > 1:
            self._hub.metrics.repeats.inc()
        view.note_sent(plan, self._work, now)
        self._note('dispatched', **self._inputs())
        exchange.send(
            self._call.method,
            self._call.target,
            self._write_head(plan, now),
            self._body,
        )
        outcome = outcomes.Lost('stopped')
        try:
            outcome = await self._receive(plan, exchange, now)
        finally:
            view.note_end(plan, self._work)
            if isinstance(outcome, outcomes.Lost):
                self.may_have_run = True
                exchange.abort()
            elif not isinstance(outcome, outcomes.Rejected):
                self.may_have_run = True
        return outcome

    def _write_head(self, plan, now):
        tenancy, route = self._work.tenancy, self._work.route
        priority = route.priority
        if tenancy is not None and tenancy.priority is not None:
            priority = tenancy.priority
        after = self._stream.last_event if self._stream else ''
        told = ingress.Instructions(
            entry=plan.entry.name,
            left_s=self._ends - now,
            workspace=tenancy.name if tenancy else '',
            priority=priority,
            version=plan.version,
            space=plan.space,
            fetch=plan.transfer.fetch,
            save=plan.transfer.save,
            until_ms=plan.transfer.until_ms,
            after_event=after,
        )
        return ingress.write_head(self._call, told, len(self._body))

    async def _receive(self, plan, exchange, sent):
        """Read the answer under the request's time; gives the outcome."""
        try:
            async with asyncio.timeout(self._find_patience()):
                head = await exchange.read_head()
        except TimeoutError:
            self._view.note_loss(plan.entry.name, self._hub.clock())
            return outcomes.Lost('silent')
        except upstream_module.Broken as error:
            self._view.note_loss(plan.entry.name, self._hub.clock())
            return outcomes.Lost(str(error))
        self._note_version(plan, head.version)
        if head.not_run:
            return await self._take_rejection(plan, exchange, head)
        if not self._is_ours(head):
            self._view.note_loss(plan.entry.name, self._hub.clock())
            return outcomes.Lost('not the answer to this request')
        try:
            async with asyncio.timeout_at(self._loop_time(self._ends)):
                if 200 <= head.status < 300:
                    return await self._pass_on(plan, exchange, head, sent)
                return await self._take_failure(plan, exchange, head, sent)
        except TimeoutError:
            return outcomes.Lost('time_over')
        except upstream_module.Broken as error:
            self._view.note_loss(plan.entry.name, self._hub.clock())
            return outcomes.Lost(str(error))

    def _find_patience(self):
        now = self._hub.clock()
        left = max(self._ends - END_MARGIN_S - now, 0.01)
        if not self._may_try_again():
            return left
        aim = self._work.route.target_latency_s
        usual = max(aim * PATIENCE_RATIO, LEAST_PATIENCE_S)
        # Where all targets are busy another one would not be quicker.
        return min(left, usual + self.plan.expected_s * PATIENCE_RATIO)

    def _is_ours(self, head):
        if head.name != self._call.name:
            return False
        if 200 <= head.status < 300:
            return head.stamped and not head.coded
        return True

    async def _take_rejection(self, plan, exchange, head):
        name = plan.entry.name
        if head.status == 421 and head.target and head.target != name:
            # Another target has the address now: this one is gone.
            self._view.fleet.drop(name, self._hub.clock(), False)
        else:
            self._view.note_loss(name, self._hub.clock(), True)
        try:
            async with asyncio.timeout(END_MARGIN_S):
                while await exchange.read_data():
                    pass
                exchange.release()
        except (TimeoutError, upstream_module.Broken):
            exchange.abort()
        return outcomes.Rejected(head)

    async def _take_failure(self, plan, exchange, head, sent):
        body = bytearray()
        while data := await exchange.read_data():
            body += data
        exchange.release()
        wait = self._hub.clock() - sent
        self._view.note_answer(plan, wait, head.status >= 500)
        return outcomes.Failed(head, bytes(body))

    async def _pass_on(self, plan, exchange, head, sent):
        if self._work.route.kind == routes.STREAM:
            return await self._pass_stream(plan, exchange, head, sent)
        body = bytearray()
        while len(body) <= MOST_HELD:
            data = await exchange.read_data()
            if not data:
                self._note_first(plan, sent)
                exchange.release()
                rows = ingress.relay_headers(head)
                await self._reply.send_whole(head.status, rows, bytes(body))
                return outcomes.Done(head.status)
            body += data
        return await self._pass_long(plan, exchange, head, sent, body)

    async def _pass_long(self, plan, exchange, head, sent, body):
        self._note_first(plan, sent)
        rows = ingress.relay_headers(head)
        await self._reply.start(head.status, rows, bytes(body))
        while data := await exchange.read_data():
            await self._reply.send_data(data)
        exchange.release()
        await self._reply.finish()
        return outcomes.Done(head.status)

    async def _pass_stream(self, plan, exchange, head, sent):
        stream = self._stream
        if stream is None:
            rows = ingress.relay_headers(head)
            stream = stream_module.Stream(self._reply, head.status, rows)
            self._stream = stream
        stream.restart()
        pause = STREAM_PAUSE_S if self._may_try_again() else None
        while True:
            try:
                async with asyncio.timeout(pause):
                    data = await exchange.read_data()
            except TimeoutError:
                self._view.note_loss(plan.entry.name, self._hub.clock())
                return outcomes.Lost('paused')
            if not data:
                break
            self._view.note_heard(plan.entry.name, self._hub.clock())
            self._note_version(plan, await stream.take(data))
            if stream.events and not stream.noted:
                stream.noted = True
                self._note_first(plan, sent)
        if not stream.is_whole():
            return outcomes.Lost('ended within an event')
        exchange.release()
        await stream.finish()
        return outcomes.Done(head.status)

    def _note_first(self, plan, sent):
        now = self._hub.clock()
        self._view.note_first(plan, self._work, now)
        self._view.note_answer(plan, now - sent, False)
        if self.first_byte_s is None:
            self.first_byte_s = now - self._started

    def _note_version(self, plan, version):
        if version is None or self._work.prompt is None:
            return
        model = self._work.prompt.model
        self._view.fleet.note_version(plan.entry.name, model, version)

    def _may_try_again(self):
        """Tell whether a further send is allowed, budget aside."""
        route = self._work.route
        if not routes.may_repeat(route):
            return False
        return self.sends < route.max_attempts

    async def _judge_done(self, outcome):
        return Answer(outcome.status, 'answered', True)

    async def _judge_stale(self, outcome):
        self.connects += 1
        table = self._view.table
        if table.keyed and not self._view.proof.is_fresh(self._hub.clock()):
            return await self._give_up('unproved_table')
        return await self._go_on()

    async def _judge_unreached(self, outcome):
        self.connects += 1
        return await self._go_on()

    async def _go_on(self):
        if self.connects < MOST_CONNECTS:
            return None
        return await self._give_up('unreached')

    async def _judge_rejected(self, outcome):
        if self.sends < self._work.route.max_attempts and self._take_repeat():
            return None
        return await self._give_up('rejected')

    async def _judge_failed(self, outcome):
        head = outcome.head
        if head.status >= 500 and self._may_try_again():
            if self._take_repeat():
                return None
        if self._reply.started:
            return self._break_off('failed')
        rows = ingress.relay_headers(head)
        await self._reply.send_whole(head.status, rows, outcome.body)
        return Answer(head.status, 'failed', True)

    async def _judge_lost(self, outcome):
        if self._may_try_again() and self._take_repeat():
            return None
        status = 504 if outcome.reason in ('silent', 'time_over') else 502
        return await self._give_up(outcome.reason, status)

    def _take_repeat(self):
        if self._view.may_repeat(self._work.service, self._hub.clock()):
            return True
        self._hub.metrics.budget_refusals.inc()
        return False

    async def _give_up(self, reason, status=502):
        """Answer what can't be served; says "not run" only if that holds."""
        if self._reply.started:
            return self._break_off(reason)
        if not self.may_have_run:
            return await self._refuse(reason)
        await self._reply.send_error(status, reason)
        return Answer(status, reason, True)

    async def _refuse(self, reason):
        after = random.uniform(*RETRY_AFTER_S)
        await self._reply.send_error(503, reason, after)
        return Answer(503, reason, False)

    async def _turn_away(self):
        wait_s = self.plan.wait_s
        after = admission.find_retry_after(wait_s, self._view.rng)
        await self._reply.send_error(503, 'busy', after)
        self._note('turned_away', wait_s=round(wait_s, 3), **self._inputs())
        return Answer(503, 'busy', False)

    async def _deny(self, status, reason):
        await self._reply.send_error(status, reason)
        return Answer(status, reason, False)

    def _break_off(self, reason):
        self._reply.abort()
        return Answer(0, reason, True)

    def _loop_time(self, at):
        loop = asyncio.get_running_loop()
        return loop.time() + (at - self._hub.clock())

    def _inputs(self):
        plan = self.plan
        return {
            'target': plan.entry.name,
            'expected_s': round(plan.expected_s, 4),
            'kept': plan.kept,
            'candidates': plan.candidates,
            'weights': plan.version,
            'table': self._view.table.version,
        }

    def _note(self, event, **fields):
        self._hub.recorder.record(event, request=self._call.name, **fields)

    def _finish(self, answer):
        seconds = self._hub.clock() - self._started
        route = self._work.route.name if self._work else ''
        self._hub.metrics.note_answer(answer, seconds, self.first_byte_s)
        self._note(
            'answered' if 200 <= answer.status < 300 else 'not_served',
            status=answer.status,
            reason=answer.reason,
            may_have_run=answer.may_have_run,
            route=route,
            seconds=round(seconds, 4),
            first_s=round(self.first_byte_s or 0.0, 4),
            sends=self.sends,
            tried=self.avoid,
            proof_s=self._view.proof.age_to_log(self._hub.clock()),
        )


JUDGES = {
    outcomes.Done: Relay._judge_done,
    outcomes.Stale: Relay._judge_stale,
    outcomes.Unreached: Relay._judge_unreached,
    outcomes.Rejected: Relay._judge_rejected,
    outcomes.Failed: Relay._judge_failed,
    outcomes.Lost: Relay._judge_lost,
}
