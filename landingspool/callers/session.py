"""One request of a caller, from its place to its final answer.

The task owns the caller's connection and the stream from the target.  The
state table of `decisions.request` says what may happen next and which
verdict an answer has; this module only carries it out.
"""

import asyncio
import typing

from landingspool.callers import answers
from landingspool.decisions import blocks
from landingspool.decisions import identity
from landingspool.decisions import messages
from landingspool.decisions import records
from landingspool.decisions import request as life_module
from landingspool import http
from landingspool.targets import client as targets
from landingspool import timeouts
from landingspool import verdict

Signal = life_module.Signal
MOST_TRIES = 4
MOST_RESUMES = 2
RESUME_WAIT_S = 0.2
FIRST_RETRY_AFTER_S = 2.0
# Seconds until the beat runs again in a process that stood still.
BEAT_S = 0.1
# Reasons of this box not to use a grant, which tell nothing of its target.
FROZEN = 'frozen'
OLD = 'age'
OWN_REASONS = (FROZEN, OLD)
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


class AttemptResult(typing.NamedTuple):
    """What became of one try at a target."""

    outcome: str
    end: targets.End | None = None
    reason: str = ''


class Session:
    """Serves one request.

    Parameters
    ----------
    box : server.CallerServer
        What all requests of this box share.
    demand : parsing.Demand
    row : records.Row
    outlet : Outlet
        Where the answer goes.
    """

    def __init__(self, box, demand, row, outlet):
        self.box = box
        self.core = box.core
        self.demand = demand
        self.row = row
        self.outlet = outlet
        self.request = f'{row.workspace}/{demand.request}'
        self.life = life_module.RequestState(demand.repeatable)
        self.started = self.core.timer.now()
        self.deadline = self.started + demand.deadline_s
        self.first_token = -1.0
        self.avoid = []
        self._failed_tries = 0
        self.pieces = ()
        self._address = None
        self.fetched = 0, 0.0
        self.sent = 0.0

    async def run(self):
        """Serve the request; returns an answers.Kept or a Rejection."""
        inbox = self.core.open_inbox(self.request)
        try:
            async with timeouts.Timeout(self.demand.deadline_s):
                return await self._serve(inbox)
        except TimeoutError:
            self._cancel_run()
            return self._reject('deadline', FIRST_RETRY_AFTER_S)
        except asyncio.CancelledError:
            self._cancel_run()
            raise
        finally:
            self.core.close_inbox(self.request)

    async def _serve(self, inbox):
        self._advance(Signal.START)
        self._open()
        while True:
            message, came = await inbox.get()
            if isinstance(message, messages.Refuse):
                self._advance(Signal.REFUSE)
                return self._reject(message.reason, message.retry_after)
            part = await self._use(message, came)
            if part.reason == FROZEN:
                await asyncio.sleep(BEAT_S)
            final = self._judge(message, part)
            if final is not None:
                return final

    def _open(self):
        demand = self.demand
        origin = identity.Origin(
            self.row.workspace, demand.model, demand.adapter
        )
        self.pieces = identity.hash_pieces(origin, demand.prompt)
        work = records.Work(
            request=self.request,
            entry=self.core.node.box,
            workspace=self.row.workspace,
            model=demand.model,
            pieces=self.pieces,
            prompt_tokens=identity.estimate_tokens(demand.prompt),
            output_tokens=demand.max_tokens,
            waited=0.0,
            left=demand.deadline_s,
            offset=self.core.node.table.offset,
        )
        now = self.core.timer.now()
        self.core.perform(self.core.node.open_request(work, now))

    async def _use(self, grant, came):
        """Use a grant: import context, dispatch, stream."""
        self._advance(Signal.GRANT)
        self._record(
            'granted',
            target=grant.target,
            grant=grant.grant,
            offset=grant.offset,
            fetch=len(grant.fetch),
            cached=grant.cached,
        )
        self._address = self.core.get_address(grant.target)
        began = self.core.timer.now()
        reason = self._get_stale_reason(grant, came)
        if reason:
            return self._drop_stale(grant, reason)
        use = await self._import(grant)
        # A block that did not come in time counts as one that was slow.
        tried = min(len(use) + 1, len(grant.fetch))
        self.fetched = tried, self.core.timer.now() - began
        if use:
            # A transfer takes time of its own; the place was ours for all
            # of it, so the age of the decision starts again after it.
            came += self.core.timer.now() - began
        idle_timeout_s = None if self._is_plain() else targets.IDLE_TIMEOUT_S
        stream = targets.Stream(
            self.core.client, self._address, idle_timeout_s
        )
        try:
            await stream.connect()
        except http.Unreachable as error:
            self._advance(Signal.STALE)
            return AttemptResult('unreachable', None, str(error))
        try:
            return await self._dispatch(stream, grant, came, use)
        finally:
            stream.close()

    def _get_stale_reason(self, grant, came):
        # Looked at right before the first byte: whether this process ran
        # all the time, how old the decision is, and the target's state.
        now = self.core.timer.now()
        node = self.core.node
        if not node.entry.is_fresh(now):
            return FROZEN
        if now - came > grant.valid:
            return OLD
        return node.may_dispatch(grant)

    def _drop_stale(self, grant, reason):
        self._advance(Signal.STALE)
        self._record('stale', target=grant.target, reason=reason)
        return AttemptResult('stale', None, reason)

    async def _dispatch(self, stream, grant, came, use):
        reason = self._get_stale_reason(grant, came)
        if reason:
            return self._drop_stale(grant, reason)
        self._advance(Signal.SEND)
        self._record('dispatched', target=grant.target, tries=self.life.tries)
        job = targets.Job(
            request=f'{self.request}#{grant.grant}',
            salt=self.row.workspace,
            prompt=self.demand.prompt,
            max_tokens=self.demand.max_tokens,
            priority=self.row.priority,
            version=grant.version,
            pieces=[
                identity.add_version(piece, grant.version)
                for piece in self.pieces
            ],
            use=use,
        )
        refused = await stream.start(job)
        if isinstance(refused, targets.NotStarted):
            self._advance(Signal.NOT_STARTED)
            return AttemptResult('not_started', None, refused.reason)
        part = await self._relay(stream, refused)
        resumes, tokens = 0, self.life.tokens
        while part.outcome == 'cut' and resumes < MOST_RESUMES:
            resumes += 1
            part = await self._resume(grant, part)
            if self.life.tokens > tokens:
                resumes, tokens = 0, self.life.tokens
        return part

    async def _relay(self, stream, cut):
        if cut is not None:
            self._advance(Signal.CUT)
            return AttemptResult('cut', None, cut.reason)
        async for event in stream.read():
            if isinstance(event, targets.End):
                return self._handle_end(event)
            if isinstance(event, targets.Interrupted):
                self._advance(Signal.CUT)
                return AttemptResult('cut', None, event.reason)
            if event.index != self.life.tokens:
                # A gap or a token that came twice would make the answer
                # wrong, so the stream is taken up again at the right one.
                self._advance(Signal.CUT)
                return AttemptResult('cut', None, f'token {event.index}')
            self._advance(Signal.TOKEN)
            if self.first_token < 0:
                self._record_first()
            await self.outlet.send(event.text)
        self._advance(Signal.CUT)
        return AttemptResult('cut', None, 'no end')

    def _handle_end(self, end):
        if end.output_tokens != self.life.tokens:
            self._advance(Signal.CUT)
            return AttemptResult(
                'cut', None, 'the end mark counts other tokens'
            )
        self._advance(Signal.END)
        return AttemptResult('ok', end)

    async def _resume(self, grant, part):
        """Take up a broken stream where it ended; this runs nothing."""
        if self._is_plain():
            return part
        await asyncio.sleep(RESUME_WAIT_S)
        stream = targets.Stream(self.core.client, self._address)
        try:
            await stream.connect()
            request = f'{self.request}#{grant.grant}'
            refused = await stream.resume(request, self.life.tokens)
            if refused is not None:
                return part
            self._advance(Signal.RESUME)
            self._record('resumed', target=grant.target, at=self.life.tokens)
            return await self._relay(stream, None)
        except http.Unreachable:
            return part
        finally:
            stream.close()

    async def _import(self, grant):
        """Import the granted blocks; a mismatch ends the chain there."""
        use = []
        first = grant.cached // identity.PIECE_TOKENS
        for index, block in enumerate(grant.fetch):
            piece = self.pieces[first + index]
            wanted = identity.add_version(piece, grant.version)
            name = f'{grant.grant}.{index}'
            if not await self._import_block(block, wanted, name):
                break
            use.append(name)
        return tuple(use)

    async def _import_block(self, block, wanted, name):
        store = self.core.node.members.get(block.store)
        receipt = None
        if store is not None and block.key == wanted:
            receipt = await targets.import_block(
                self.core.client, self._address, store, block, name
            )
        failed = 'unreadable'
        if receipt is not None:
            failed = blocks.check_receipt(block, receipt)
        if failed:
            self._record('mismatch', write=block.write, check=failed)
            freed = messages.Freed(self._pool(), (block.key,))
            self._send_scheduler(freed)
            return False
        labels = self.row.workspace, 'import'
        self.core.metrics.store_bytes.labels(*labels).inc(block.length)
        self._record('imported', write=block.write)
        return True

    def _judge(self, grant, part):
        """Give the place back; returns the final answer or None."""
        self._give_back(grant, part)
        return JUDGES[part.outcome](self, grant, part)

    def _judge_ok(self, grant, part):
        self._count(part.end)
        self.box.budget.earn()
        return part.end

    def _judge_unused(self, grant, part):
        # Nothing was sent, so nothing was spent: no retry is counted, but
        # the tries are bounded all the same.
        return self._ask_again(grant, part)

    def _judge_not_started(self, grant, part):
        return self._ask_again(grant, part)

    def _judge_cut(self, grant, part):
        if not life_module.may_retry(self.life):
            self._record('broken', target=grant.target, reason=part.reason)
            self._advance(Signal.GIVE_UP)
            return self._reject('broken', 0.0, part.reason)
        if not self.box.budget.take():
            self._advance(Signal.GIVE_UP)
            return self._reject('retry_budget', FIRST_RETRY_AFTER_S)
        self._advance(Signal.RETRY)
        self.core.metrics.retries.labels('cut').inc()
        return self._ask_again(grant, part)

    def _ask_again(self, grant, part):
        self._record('retried', target=grant.target, reason=part.reason)
        self._failed_tries += 1
        if part.reason not in OWN_REASONS:
            self.avoid.append(grant.target)
        if self._failed_tries >= MOST_TRIES:
            self._advance(Signal.GIVE_UP)
            return self._reject('no_target', FIRST_RETRY_AFTER_S)
        now = self.core.timer.now()
        actions = self.core.node.ask_again(self.request, self.avoid, now)
        self.core.perform(actions)
        return None

    def _give_back(self, grant, part):
        end = part.end
        now = self.core.timer.now()
        outcome = DONE_OUTCOMES[part.outcome]
        if part.reason == 'leaving':
            outcome = 'leaving'
        done = messages.Done(
            request=self.request,
            grant=grant.grant,
            outcome=outcome,
            prompt_tokens=end.prompt_tokens if end else 0,
            cached_tokens=end.cached_tokens if end else 0,
            output_tokens=end.output_tokens if end else 0,
            pool=self._pool(),
            held=now - self.sent,
            fetched=self.fetched[0],
            fetch_s=self.fetched[1],
        )
        self.core.perform(self.core.node.return_grant(done, now))

    def _is_plain(self):
        return self.demand.model in self.box.plain_models()

    def _pool(self):
        case = self.core.node.entry.get_tracked(self.request)
        return case.work.pool if case else ''

    def _send_scheduler(self, message):
        case = self.core.node.entry.get_tracked(self.request)
        if case is None:
            return
        now = self.core.timer.now()
        if case.scheduler == self.core.node.box:
            node = self.core.node
            self.core.perform(node.handle(node.box, message, now))
        else:
            self.core.links.send(case.scheduler, message)

    def _count(self, end):
        workspace = self.row.workspace
        metrics = self.core.metrics
        computed = max(end.prompt_tokens - end.cached_tokens, 0)
        metrics.tokens.labels(workspace, 'computed').inc(computed)
        metrics.tokens.labels(workspace, 'cached').inc(end.cached_tokens)
        metrics.output.labels(workspace).inc(end.output_tokens)
        self._record(
            'finished',
            tokens=end.output_tokens,
            cached=end.cached_tokens,
            version=end.version,
        )

    def _record_first(self):
        now = self.core.timer.now()
        self.first_token = now
        seconds = now - self.started
        self.core.metrics.first_token.labels(self.row.workspace).observe(
            seconds
        )
        self._record('first_token', seconds=round(seconds, 4))

    def _advance(self, signal):
        self.life = life_module.advance(self.life, signal)
        if signal is Signal.SEND:
            self.sent = self.core.timer.now()

    def _reject(self, reason, retry_after=0.0, detail=''):
        known = self.life.verdict
        return answers.Rejection(reason, known, retry_after, detail)

    def _record(self, event, **fields):
        self.core.recorder.record(event, request=self.request, **fields)

    def _cancel_run(self):
        # A request that was never sent gives its place back when it is
        # closed; one that may run is cancelled at its target.
        if self.life.verdict is MAY_HAVE_RUN and self._address:
            case = self.core.node.entry.get_tracked(self.request)
            if case is not None and case.grant is not None:
                run = f'{self.request}#{case.grant.grant}'
                call = targets.cancel(self.core.client, self._address, run)
                self.core.spawn(call)
                self._give_back(
                    case.grant, AttemptResult('cut', None, 'cancelled')
                )


JUDGES = {
    'ok': Session._judge_ok,
    'stale': Session._judge_unused,
    'unreachable': Session._judge_unused,
    'not_started': Session._judge_not_started,
    'cut': Session._judge_cut,
}

# What the scheduler is told of each outcome of a try.
DONE_OUTCOMES = {
    'ok': 'ok',
    'stale': 'unused',
    'unreachable': 'failed',
    'not_started': 'unused',
    'cut': 'failed',
}
