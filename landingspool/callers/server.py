"""HTTP server for callers, from authentication to the final answer.

Each request is answered as soon as its outcome is known.  A rejection states
whether the request may have run and when the caller may retry.
"""

import asyncio
import itertools
import json

import h11

from landingspool.callers import answers
from landingspool.callers import parsing
from landingspool.callers import session
from landingspool.decisions import identity
from landingspool.decisions import messages
from landingspool.decisions import retries
from landingspool import http
from landingspool import http_server
from landingspool.ledger import claimer
from landingspool.targets import client as targets
from landingspool import verdict

RECALL_TIMEOUT_S = 0.6
BOX_GONE_RETRY_AFTER_S = 5.0
NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


class AnswerWriter:
    """Collects the tokens of one answer; streams them if the caller asks.

    Parameters
    ----------
    exchange : http_server.Exchange
    parsed : parsing.ParsedRequest
    request : str
        Request identity that the caller sees.
    """

    def __init__(self, exchange, parsed, request):
        self._exchange = exchange
        self._parsed = parsed
        self.request = request
        self.parts = []
        self.gone = False

    async def send(self, text):
        """Collect one token and stream it if the caller asks for that."""
        self.parts.append(text)
        if not self._parsed.stream or self.gone:
            return
        try:
            if not self._exchange.started:
                headers = [('x-request-id', self.request)]
                await self._exchange.start_stream(headers)
            await self._exchange.send_event(self._make_event(text))
        except (OSError, h11.ProtocolError):
            self.gone = True

    async def finish(self, end):
        """Finish a complete answer; return the StoredAnswer for retries."""
        body = answers.make_completion(
            self.request, self._parsed.model, ''.join(self.parts), end
        )
        headers = [('x-request-id', self.request), ('x-verdict', 'ran')]
        if not self._parsed.stream:
            await self._exchange.send_body(
                200, body, 'application/json', headers
            )
            return answers.StoredAnswer(200, body)
        if not self._exchange.started:
            await self._exchange.start_stream(headers)
        last = self._make_event('', 'stop')
        last['usage'] = answers.make_usage(end)
        await self._exchange.send_event(last)
        await self._exchange.send_event('[DONE]')
        await self._exchange.finish()
        return answers.StoredAnswer(200, body)

    async def reject(self, rejection):
        """Send a final rejection; return the StoredAnswer for retries."""
        body = answers.describe(rejection, self.request)
        status = answers.get_status(rejection)
        stored = answers.StoredAnswer(status, json.dumps(body).encode())
        if self._exchange.started:
            await self._exchange.send_event(body)
            await self._exchange.finish()
        else:
            headers = answers.list_headers(rejection, self.request)
            await self._exchange.send_json(status, body, headers)
        return stored

    def _make_event(self, text, finish=None):
        choice = {'index': 0, 'text': text, 'finish_reason': finish}
        return {
            'id': self.request,
            'object': 'text_completion',
            'model': self._parsed.model,
            'choices': [choice],
        }


class CallerServer:
    """Handles callers' requests; shared by all requests of this box.

    Parameters
    ----------
    core : core.Core
    claims : claimer.Claimer
    settings : settings.Callers
    wall : callable
        Returns wall-clock time in seconds.
    """

    def __init__(self, core, claims, settings, wall):
        self.core = core
        self.wall = wall
        self.claims = claims
        self.settings = settings
        self.budget = retries.Budget()
        self.answer_cache = answers.AnswerCache()
        self.stopping = False
        self._numbers = itertools.count(1)
        self._pending_recalls = {}
        core.message_handlers[messages.Recall] = self._answer_recall
        core.message_handlers[messages.Recalled] = self._handle_recalled

    @property
    def name(self):
        """Name of this box with its incarnation."""
        node = self.core.node
        return f'{node.box}.{node.incarnation}'

    def plain_models(self):
        """Return the names of the plain services."""
        members = self.core.node.members.values()
        return {m.model for m in members if m.kind == 'plain'}

    async def handle(self, request, exchange):
        """Route one HTTP request of a caller to its handler."""
        handler = ROUTES.get((request.method, request.path))
        if handler is None:
            fault = http.BadRequest(404, 'no such route')
            await http_server.answer_bad_request(exchange, fault)
            return
        await handler(self, request, exchange)

    async def complete(self, request, exchange):
        """Handle a completions request."""
        name = f'{self.core.node.box}-{next(self._numbers)}'
        row, rejection = self._admit(request)
        if rejection is None:
            parsed, fault = parsing.parse_request(
                request, name, self.settings, self.plain_models()
            )
            rejection = self._check(parsed, fault, row)
        if rejection is not None:
            await self._reject_early(exchange, name, row, rejection)
            return
        self.core.recorder.record(
            'accepted',
            request=f'{row.workspace}/{parsed.request}',
            workspace=row.workspace,
            model=parsed.model,
            offset=self.core.node.table.offset,
        )
        writer = AnswerWriter(exchange, parsed, parsed.request)
        if parsed.key is not None and not parsed.repeatable:
            await self._serve_keyed(parsed, row, writer, exchange)
        else:
            await self._serve_unkeyed(parsed, row, writer, exchange)

    async def create_key(self, request, exchange):
        """Create an idempotency key that is settled without the platform."""
        row, rejection = self._admit(request)
        if rejection is not None:
            await self._reject_early(exchange, 'keys', row, rejection)
            return
        key = f'box:{self.name}:{next(self._numbers)}'
        await exchange.send_json(200, {'key': key})

    async def health(self, request, exchange):
        """Report to the load balancer whether this box takes requests."""
        ready = not self.stopping and self.core.node.table.offset >= 0
        status = 200 if ready else 503
        await exchange.send_json(status, {'ready': ready})

    def _admit(self, request):
        """Authenticate; return (records.Row or None, Rejection or None)."""
        if self.stopping:
            return None, answers.Rejection('stopping', NOT_RUN, 1.0)
        table = self.core.node.table
        if table.offset < 0:
            rejection = answers.Rejection('no_configuration', NOT_RUN, 2.0)
            return None, rejection
        key = parsing.read_bearer(request.headers)
        name = table.by_key.get(identity.hash_key(key))
        if name is None:
            return None, answers.Rejection('unauthorized', NOT_RUN)
        return table.rows[name], None

    def _check(self, parsed, fault, row):
        """Check the model and the key; return a Rejection or None."""
        if fault is not None:
            return answers.Rejection(
                'bad_request', NOT_RUN, 0.0, fault.text, fault.status
            )
        members = self.core.node.members.values()
        if not any(m.model == parsed.model and m.model for m in members):
            return answers.Rejection('unknown_model', NOT_RUN)
        if parsed.key is None:
            return None
        window = self.claims.ledger.window
        fault = parsing.check_key(parsed.key, self.wall(), window)
        if fault is None:
            return None
        return answers.Rejection('key_age', NOT_RUN, 0.0, fault.text)

    async def _reject_early(self, exchange, name, row, rejection):
        workspace = row.workspace if row else '-'
        self._count(workspace, rejection.reason, rejection.verdict, name)
        body = answers.describe(rejection, name)
        headers = answers.list_headers(rejection, name)
        status = answers.get_status(rejection)
        await exchange.send_json(status, body, headers)

    async def _serve_unkeyed(self, parsed, row, writer, exchange):
        # If the caller disconnects, the work is cancelled, unless the request
        # is not repeatable and must therefore not be interrupted.
        work = asyncio.ensure_future(self._serve(parsed, row, writer))
        gone = asyncio.ensure_future(exchange.wait_gone())
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if not work.done():
            writer.gone = True
            request = f'{row.workspace}/{parsed.request}'
            self.core.recorder.record('caller_gone', request=request)
            if parsed.repeatable:
                work.cancel()
        await asyncio.gather(work, return_exceptions=parsed.repeatable)

    async def _serve(self, parsed, row, writer):
        """Run the session, send its answer and return the StoredAnswer."""
        request_session = session.Session(self, parsed, row, writer)
        try:
            result = await request_session.run()
        except Exception as error:
            # The caller gets an answer also after an internal error.
            self.core.supervisor.report(
                'request', error, request=request_session.request
            )
            result = answers.Rejection('fault', request_session.state.verdict)
        try:
            if isinstance(result, targets.End):
                self._count(row.workspace, 'ok', verdict.Verdict.RAN, None)
                return await writer.finish(result)
            self._count(
                row.workspace,
                result.reason,
                result.verdict,
                request_session.request,
            )
            return await writer.reject(result)
        except (OSError, h11.ProtocolError):
            return self._make_unsent_answer(result, writer, parsed)

    def _make_unsent_answer(self, result, writer, parsed):
        if isinstance(result, targets.End):
            body = answers.make_completion(
                writer.request, parsed.model, ''.join(writer.parts), result
            )
            return answers.StoredAnswer(200, body)
        body = answers.describe(result, writer.request)
        status = answers.get_status(result)
        return answers.StoredAnswer(status, json.dumps(body).encode())

    async def _serve_keyed(self, parsed, row, writer, exchange):
        key = parsing.make_claim_key(row.workspace, parsed.key)
        running = self.answer_cache.find(key)
        if running is not None:
            await self._await_and_replay(running, writer, exchange)
            return
        rejection = await self._claim_key(parsed, key)
        if rejection is not None:
            if isinstance(rejection, answers.StoredAnswer):
                await self._replay(rejection, writer, exchange)
                return
            self._count(
                row.workspace, rejection.reason, rejection.verdict, key
            )
            await writer.reject(rejection)
            return
        # Runs in a task of its own, so that it continues when the caller
        # disconnects and a retry finds the answer.
        work = self.core.supervisor.spawn(
            'keyed_request', self._run_keyed(parsed, row, writer, key)
        )
        await asyncio.shield(work)

    async def _run_keyed(self, parsed, row, writer, key):
        try:
            stored = await self._serve(parsed, row, writer)
        except BaseException:
            # Retries that wait for the answer would wait for ever.
            fault = answers.Rejection('fault', MAY_HAVE_RUN)
            stored = self._make_unsent_answer(fault, writer, parsed)
            self.answer_cache.finish(key, stored)
            raise
        self.answer_cache.finish(key, stored)

    async def _claim_key(self, parsed, key):
        """Claim the key; return None if this box may run the request.

        Returns
        -------
        answers.Rejection, answers.StoredAnswer or None
        """
        if self.answer_cache.is_spent(key):
            return answers.Rejection('key_held', MAY_HAVE_RUN)
        if parsed.key.minted is None:
            return await self._claim_box_key(parsed, key)
        outcome = await self.claims.claim(key, parsed.key.minted)
        return await CLAIM_HANDLERS[type(outcome)](self, outcome, key)

    async def _claim_box_key(self, parsed, key):
        if parsed.key.box == self.name:
            self.answer_cache.begin(key)
            return None
        return await self._recall(parsed.key.box, key)

    async def _handle_won(self, outcome, key):
        running = self.answer_cache.find(key)
        if running is not None:
            return answers.Rejection('key_running', MAY_HAVE_RUN, 1.0)
        self.answer_cache.begin(key)
        return None

    async def _handle_held(self, outcome, key):
        if outcome.holder.box == self.name:
            running = self.answer_cache.find(key)
            if running is not None:
                return await asyncio.shield(running)
            return answers.Rejection('key_held', MAY_HAVE_RUN)
        return await self._recall(outcome.holder.box, key)

    async def _handle_unsettled(self, outcome, key):
        retry_after = claimer.DOWN_RETRY_AFTER_S
        return answers.Rejection(
            'log_down', NOT_RUN, retry_after, outcome.reason
        )

    async def _recall(self, holder, key):
        """Ask the box that holds a key for the outcome of its request."""
        box = holder.rpartition('.')[0]
        future = asyncio.get_running_loop().create_future()
        number = f'recall-{next(self._numbers)}'
        self._pending_recalls[number] = future
        recall = messages.Recall(number, self.core.node.box, f'{holder} {key}')
        self.core.links.send(box, recall)
        try:
            async with asyncio.timeout(RECALL_TIMEOUT_S):
                reply = await future
        except TimeoutError:
            retry_after = BOX_GONE_RETRY_AFTER_S
            return answers.Rejection('box_gone', MAY_HAVE_RUN, retry_after)
        finally:
            del self._pending_recalls[number]
        if reply.answer:
            return answers.StoredAnswer(reply.status, reply.answer)
        if reply.verdict == NOT_RUN.value:
            return answers.Rejection('key_held', NOT_RUN)
        return answers.Rejection('key_running', MAY_HAVE_RUN, 1.0)

    def _answer_recall(self, sender, message):
        holder, _, key = message.claim.partition(' ')
        reply = messages.Recalled(message.request, MAY_HAVE_RUN.value, 0, b'')
        if holder == self.name:
            reply = self._make_recall_reply(message.request, key)
        self.core.links.send(sender, reply)

    def _make_recall_reply(self, request, key):
        running = self.answer_cache.find(key)
        if running is None and not self.answer_cache.is_spent(key):
            # The request has not run here.  The key is marked as spent, so
            # that the verdict reported to the caller stays true.
            self.answer_cache.spend(key)
            return messages.Recalled(request, NOT_RUN.value, 0, b'')
        if running is not None and running.done():
            stored = running.result()
            return messages.Recalled(
                request, 'ran', stored.status, stored.body
            )
        return messages.Recalled(request, MAY_HAVE_RUN.value, 0, b'')

    def _handle_recalled(self, sender, message):
        future = self._pending_recalls.get(message.request)
        if future is not None and not future.done():
            future.set_result(message)

    async def _await_and_replay(self, running, writer, exchange):
        stored = await asyncio.shield(running)
        await self._replay(stored, writer, exchange)

    async def _replay(self, stored, writer, exchange):
        headers = [('x-request-id', writer.request), ('x-replayed', 'true')]
        await exchange.send_body(
            stored.status, stored.body, 'application/json', headers
        )

    def _count(self, workspace, outcome, execution, request):
        metric = self.core.metrics.answers
        metric.labels(workspace, outcome, execution.value).inc()
        if request is not None:
            self.core.recorder.record(
                'rejected',
                request=request,
                reason=outcome,
                verdict=execution.value,
            )


ROUTES = {
    ('POST', '/v1/completions'): CallerServer.complete,
    ('POST', '/v1/keys'): CallerServer.create_key,
    ('GET', '/healthz'): CallerServer.health,
}

CLAIM_HANDLERS = {
    claimer.Won: CallerServer._handle_won,
    claimer.Held: CallerServer._handle_held,
    claimer.Unsettled: CallerServer._handle_unsettled,
}
