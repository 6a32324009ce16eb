"""Execution of one caller's request, from its grant to its final answer.

The task of a request owns the caller's connection and the stream from the
target.  The state table of `decisions.request` defines which transitions are
allowed and which verdict an answer has; this module does the input and
output.
"""

import asyncio
import typing

from landingspool.callers import answers
from landingspool.decisions import blocks
from landingspool.decisions import identity
from landingspool.decisions import messages
from landingspool.decisions import records
from landingspool.decisions import request as request_module
from landingspool import http
from landingspool.targets import client as targets
from landingspool import timeouts
from landingspool import verdict

Signal = request_module.Signal
MAX_ATTEMPTS = 4
MAX_RESUMES = 2
RESUME_WAIT_S = 0.2
DEFAULT_RETRY_AFTER_S = 2.0
# Seconds until the heartbeat runs again in a process that has stalled.
HEARTBEAT_S = 0.1
# Reasons for dropping a grant that lie in this box, not in its target.
STALLED = 'frozen'
EXPIRED = 'age'
LOCAL_REASONS = (STALLED, EXPIRED)
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


class AttemptResult(typing.NamedTuple):
    """Result of one attempt at a target.

    Attributes
    ----------
    outcome : str
        Key of `RESULT_HANDLERS`.
    end : targets.End or None
        End mark of a complete answer.
    reason : str
        Cause of a failed attempt.
    silent : bool
        Whether the attempt failed only because the target was silent.
    """

    outcome: str
    end: targets.End | None = None
    reason: str = ''
    silent: bool = False


class Session:
    """Runs one request.

    Parameters
    ----------
    server : server.CallerServer
        State that all requests of this box share.
    parsed : parsing.ParsedRequest
    row : records.Row
        Settings of the workspace.
    writer : server.AnswerWriter
        Receives the tokens of the answer.
    """

    def __init__(self, server, parsed, row, writer):
        self.server = server
        self.core = server.core
        self.parsed = parsed
        self.row = row
        self.writer = writer
        self.request = f'{row.workspace}/{parsed.request}'
        self.state = request_module.RequestState(parsed.repeatable)
        self.started = self.core.timer.now()
        self.deadline = self.started + parsed.deadline_s
        self.first_token = -1.0
        self.avoid = []
        self._failed_attempts = 0
        self.pieces = ()
        self._address = None
        self.fetched = 0, 0.0
        self.sent_at = 0.0

    async def run(self):
        """Run the request; return its targets.End or an answers.Rejection."""
        inbox = self.core.open_inbox(self.request)
        try:
            async with timeouts.Timeout(self.parsed.deadline_s):
                return await self._run(inbox)
        except TimeoutError:
            self._cancel_run()
            return self._reject('deadline', DEFAULT_RETRY_AFTER_S)
        except asyncio.CancelledError:
            self._cancel_run()
            raise
        finally:
            self.core.close_inbox(self.request)

    async def _run(self, inbox):
        self._advance(Signal.START)
        self._open()
        while True:
            message, received_at = await inbox.get()
            if isinstance(message, messages.Refuse):
                self._advance(Signal.REFUSE)
                return self._reject(message.reason, message.retry_after)
            result = await self._use_grant(message, received_at)
            if result.reason == STALLED:
                await asyncio.sleep(HEARTBEAT_S)
            answer = self._handle_result(message, result)
            if answer is not None:
                return answer

    def _open(self):
        parsed = self.parsed
        origin = identity.Origin(
            self.row.workspace, parsed.model, parsed.adapter
        )
        self.pieces = identity.hash_pieces(origin, parsed.prompt)
        work = records.Work(
            request=self.request,
            entry=self.core.node.box,
            workspace=self.row.workspace,
            model=parsed.model,
            pieces=self.pieces,
            prompt_tokens=identity.estimate_tokens(parsed.prompt),
            output_tokens=parsed.max_tokens,
            waited=0.0,
            left=parsed.deadline_s,
            offset=self.core.node.table.offset,
        )
        now = self.core.timer.now()
        self.core.perform(self.core.node.open_request(work, now))

    async def _use_grant(self, grant, received_at):
        """Use a grant: import cached context, dispatch, relay the answer."""
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
        import_started = self.core.timer.now()
        reason = self._get_stale_reason(grant, received_at)
        if reason:
            return self._drop_stale(grant, reason)
        imported = await self._import_blocks(grant)
        # An import that failed is counted too, with the time that it took.
        attempted = min(len(imported) + 1, len(grant.fetch))
        self.fetched = attempted, self.core.timer.now() - import_started
        if imported:
            # The slot stays reserved during the import, so its duration does
            # not count towards the age of the decision.
            received_at += self.core.timer.now() - import_started
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
            return await self._dispatch(stream, grant, received_at, imported)
        finally:
            stream.close()

    def _get_stale_reason(self, grant, received_at):
        # Returns why a grant must not be used, or ''.  This is checked right
        # before the first byte is sent: whether this process has stalled, the
        # age of the decision and the state of the target.
        now = self.core.timer.now()
        node = self.core.node
        if not node.entry.is_fresh(now):
            return STALLED
        if now - received_at > grant.valid:
            return EXPIRED
        return node.may_dispatch(grant)

    def _drop_stale(self, grant, reason):
        self._advance(Signal.STALE)
        self._record('stale', target=grant.target, reason=reason)
        return AttemptResult('stale', None, reason)

    async def _dispatch(self, stream, grant, received_at, imported):
        reason = self._get_stale_reason(grant, received_at)
        if reason:
            return self._drop_stale(grant, reason)
        self._advance(Signal.SEND)
        self._record('dispatched', target=grant.target, tries=self.state.tries)
        job = targets.Job(
            request=f'{self.request}#{grant.grant}',
            salt=self.row.workspace,
            prompt=self.parsed.prompt,
            max_tokens=self.parsed.max_tokens,
            priority=self.row.priority,
            version=grant.version,
            pieces=[
                identity.add_version(piece, grant.version)
                for piece in self.pieces
            ],
            use=imported,
        )
        refusal = await stream.start(job)
        if isinstance(refusal, targets.NotStarted):
            self._advance(Signal.NOT_STARTED)
            return AttemptResult('not_started', None, refusal.reason)
        result = await self._relay(stream, refusal)
        if self._is_plain():
            return result
        return await self._resume_until_end(grant, result)

    async def _resume_until_end(self, grant, result):
        """Resume a broken stream until it ends or there is no use in it."""
        resumes, tokens = 0, self.state.tokens
        while result.outcome == 'cut' and resumes < MAX_RESUMES:
            if not self._must_wait(grant, result):
                resumes += 1
            result = await self._resume(grant, result)
            if self.state.tokens > tokens:
                resumes, tokens = 0, self.state.tokens
        return result

    def _must_wait(self, grant, result):
        """Return whether only the deadline limits the wait for a target.

        A silent target may still run the request, which can't be run again
        elsewhere.
        """
        return (
            result.silent
            and not request_module.may_retry(self.state)
            and grant.target in self.core.node.members
        )

    async def _relay(self, stream, cut):
        if cut is not None:
            return self._handle_interrupted(cut)
        async for event in stream.read():
            if isinstance(event, targets.End):
                return self._handle_end(event)
            if isinstance(event, targets.Interrupted):
                return self._handle_interrupted(event)
            if event.index != self.state.tokens:
                # A missing or repeated token would corrupt the answer, so
                # the stream is resumed at the expected token.
                self._advance(Signal.CUT)
                return AttemptResult('cut', None, f'token {event.index}')
            self._advance(Signal.TOKEN)
            if self.first_token < 0:
                self._record_first()
            await self.writer.send(event.text)
        self._advance(Signal.CUT)
        return AttemptResult('cut', None, 'no end')

    def _handle_interrupted(self, event):
        self._advance(Signal.CUT)
        return AttemptResult('cut', None, event.reason, event.silent)

    def _handle_end(self, end):
        if end.output_tokens != self.state.tokens:
            self._advance(Signal.CUT)
            return AttemptResult(
                'cut', None, 'the end mark counts other tokens'
            )
        self._advance(Signal.END)
        return AttemptResult('ok', end)

    async def _resume(self, grant, result):
        """Resume a broken stream after its last token, without a new run."""
        await asyncio.sleep(RESUME_WAIT_S)
        stream = targets.Stream(self.core.client, self._address)
        try:
            await stream.connect()
            request = f'{self.request}#{grant.grant}'
            refusal = await stream.resume(request, self.state.tokens)
            if refusal is not None:
                return result._replace(silent=is_silent(refusal))
            self._advance(Signal.RESUME)
            self._record('resumed', target=grant.target, at=self.state.tokens)
            return await self._relay(stream, None)
        except http.Unreachable as error:
            return result._replace(silent=not error.refused)
        finally:
            stream.close()

    async def _import_blocks(self, grant):
        """Import the granted blocks in order, up to the first failure.

        Returns
        -------
        tuple of str
            Names of the imports that the target may use.
        """
        imported = []
        first = grant.cached // identity.PIECE_TOKENS
        for index, block in enumerate(grant.fetch):
            piece = self.pieces[first + index]
            expected = identity.add_version(piece, grant.version)
            name = f'{grant.grant}.{index}'
            if not await self._import_block(block, expected, name):
                break
            imported.append(name)
        return tuple(imported)

    async def _import_block(self, block, expected, name):
        store = self.core.node.members.get(block.store)
        receipt = None
        if store is not None and block.key == expected:
            receipt = await targets.import_block(
                self.core.client, self._address, store, block, name
            )
        if isinstance(receipt, targets.Unread):
            # The block may be as it should be, so it stays offered.
            self._record('unread', write=block.write, reason=receipt.reason)
            return False
        problem = 'unreadable'
        if receipt is not None:
            problem = blocks.check_receipt(block, receipt)
        if problem:
            self._record('mismatch', write=block.write, check=problem)
            freed = messages.Freed(self._get_pool(), (block.key,))
            self._send_to_scheduler(freed)
            return False
        labels = self.row.workspace, 'import'
        self.core.metrics.store_bytes.labels(*labels).inc(block.length)
        self._record('imported', write=block.write)
        return True

    def _handle_result(self, grant, result):
        """Release the slot; return the final answer, or None to continue."""
        self._return_grant(grant, result)
        return RESULT_HANDLERS[result.outcome](self, grant, result)

    def _handle_ok(self, grant, result):
        self._count_tokens(result.end)
        self.server.budget.earn()
        return result.end

    def _handle_unused(self, grant, result):
        # Nothing was sent, so the retry budget is not charged.  The number of
        # attempts is limited all the same.
        return self._ask_again(grant, result)

    def _handle_not_started(self, grant, result):
        return self._ask_again(grant, result)

    def _handle_cut(self, grant, result):
        if not request_module.may_retry(self.state):
            self._record('broken', target=grant.target, reason=result.reason)
            self._advance(Signal.GIVE_UP)
            return self._reject('broken', 0.0, result.reason)
        if not self.server.budget.take():
            self._advance(Signal.GIVE_UP)
            return self._reject('retry_budget', DEFAULT_RETRY_AFTER_S)
        self._advance(Signal.RETRY)
        self.core.metrics.retries.labels('cut').inc()
        return self._ask_again(grant, result)

    def _ask_again(self, grant, result):
        self._record('retried', target=grant.target, reason=result.reason)
        self._failed_attempts += 1
        if result.reason not in LOCAL_REASONS:
            self.avoid.append(grant.target)
        if self._failed_attempts >= MAX_ATTEMPTS:
            self._advance(Signal.GIVE_UP)
            return self._reject('no_target', DEFAULT_RETRY_AFTER_S)
        now = self.core.timer.now()
        actions = self.core.node.ask_again(self.request, self.avoid, now)
        self.core.perform(actions)
        return None

    def _return_grant(self, grant, result):
        end = result.end
        now = self.core.timer.now()
        outcome = DONE_OUTCOMES[result.outcome]
        if result.reason == 'leaving':
            outcome = 'leaving'
        done = messages.Done(
            request=self.request,
            grant=grant.grant,
            outcome=outcome,
            prompt_tokens=end.prompt_tokens if end else 0,
            cached_tokens=end.cached_tokens if end else 0,
            output_tokens=end.output_tokens if end else 0,
            pool=self._get_pool(),
            held=now - self.sent_at,
            fetched=self.fetched[0],
            fetch_s=self.fetched[1],
        )
        self.core.perform(self.core.node.return_grant(done, now))

    def _is_plain(self):
        return self.parsed.model in self.server.plain_models()

    def _get_pool(self):
        tracked = self.core.node.entry.get_tracked(self.request)
        return tracked.work.pool if tracked else ''

    def _send_to_scheduler(self, message):
        tracked = self.core.node.entry.get_tracked(self.request)
        if tracked is None:
            return
        now = self.core.timer.now()
        if tracked.scheduler == self.core.node.box:
            node = self.core.node
            self.core.perform(node.handle(node.box, message, now))
        else:
            self.core.links.send(tracked.scheduler, message)

    def _count_tokens(self, end):
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
        self.state = request_module.advance(self.state, signal)
        if signal is Signal.SEND:
            self.sent_at = self.core.timer.now()

    def _reject(self, reason, retry_after=0.0, detail=''):
        current_verdict = self.state.verdict
        return answers.Rejection(reason, current_verdict, retry_after, detail)

    def _record(self, event, **fields):
        self.core.recorder.record(event, request=self.request, **fields)

    def _cancel_run(self):
        # The slot of a request that was never sent is released when the
        # request is closed.  One that may be running is cancelled at its
        # target.
        if self.state.verdict is MAY_HAVE_RUN and self._address:
            tracked = self.core.node.entry.get_tracked(self.request)
            if tracked is not None and tracked.grant is not None:
                run = f'{self.request}#{tracked.grant.grant}'
                call = targets.cancel(self.core.client, self._address, run)
                self.core.supervisor.spawn('cancel', call)
                self._return_grant(
                    tracked.grant, AttemptResult('cut', None, 'cancelled')
                )


def is_silent(refusal):
    """Return whether there was no answer, rather than a refusal."""
    return isinstance(refusal, targets.Interrupted) and refusal.silent


RESULT_HANDLERS = {
    'ok': Session._handle_ok,
    'stale': Session._handle_unused,
    'unreachable': Session._handle_unused,
    'not_started': Session._handle_not_started,
    'cut': Session._handle_cut,
}

# Outcome of an attempt as it is reported to the scheduler.
DONE_OUTCOMES = {
    'ok': 'ok',
    'stale': 'unused',
    'unreachable': 'failed',
    'not_started': 'unused',
    'cut': 'failed',
}
