"""HTTP towards callers: from the bearer key to the final answer.

Every request gets its answer as soon as it is known.  One that is given up
says whether it may have run and when to come back.
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
from landingspool.ledger import claimer
from landingspool.targets import client as targets
from landingspool import verdict

RECALL_S = 0.6
AWAY_RETRY_AFTER_S = 5.0
NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


class Outlet:
    """Where the tokens of one answer go: gathered, and streamed if wanted.

    Parameters
    ----------
    exchange : http.Exchange
    demand : parsing.Demand
    request : str
    """

    def __init__(self, exchange, demand, request):
        self._exchange = exchange
        self._demand = demand
        self.request = request
        self.parts = []
        self.gone = False

    async def send(self, text):
        """Take one token."""
        self.parts.append(text)
        if not self._demand.stream or self.gone:
            return
        try:
            if not self._exchange.started:
                headers = [('x-request-id', self.request)]
                await self._exchange.start_stream(headers)
            await self._exchange.send_event(self._make_event(text))
        except (OSError, h11.ProtocolError):
            self.gone = True

    async def finish(self, end):
        """Send the end of a whole answer; returns what to keep of it."""
        body = answers.make_completion(
            self.request, self._demand.model, ''.join(self.parts), end
        )
        headers = [('x-request-id', self.request), ('x-verdict', 'ran')]
        if not self._demand.stream:
            await self._exchange.send_body(
                200, body, 'application/json', headers
            )
            return answers.Kept(200, body)
        if not self._exchange.started:
            await self._exchange.start_stream(headers)
        last = self._make_event('', 'stop')
        last['usage'] = answers.make_usage(end)
        await self._exchange.send_event(last)
        await self._exchange.send_event('[DONE]')
        await self._exchange.finish()
        return answers.Kept(200, body)

    async def reject(self, rejection):
        """Send a final rejection; returns what to keep of it."""
        body = answers.describe(rejection, self.request)
        status = answers.get_status(rejection)
        kept = answers.Kept(status, json.dumps(body).encode())
        if self._exchange.started:
            await self._exchange.send_event(body)
            await self._exchange.finish()
        else:
            headers = answers.list_headers(rejection, self.request)
            await self._exchange.send_json(status, body, headers)
        return kept

    def _make_event(self, text, finish=None):
        choice = {'index': 0, 'text': text, 'finish_reason': finish}
        return {
            'id': self.request,
            'object': 'text_completion',
            'model': self._demand.model,
            'choices': [choice],
        }


class CallerServer:
    """Serves callers; shared by all requests of this box.

    Parameters
    ----------
    core : core.Core
    claims : claimer.Claimer
    settings : settings.Callers
    wall : callable
        Gives the seconds of the wall clock.
    """

    def __init__(self, core, claims, settings, wall):
        self.core = core
        self.wall = wall
        self.claims = claims
        self.settings = settings
        self.budget = retries.Budget()
        self.archive = answers.AnswerCache()
        self.stopping = False
        self._numbers = itertools.count(1)
        self._recalls = {}
        core.message_handlers[messages.Recall] = self._answer_recall
        core.message_handlers[messages.Recalled] = self._take_recalled

    @property
    def name(self):
        """This box with its incarnation."""
        node = self.core.node
        return f'{node.box}.{node.incarnation}'

    def plain_models(self):
        """Give the names of the plain services."""
        members = self.core.node.members.values()
        return {m.model for m in members if m.kind == 'plain'}

    async def handle(self, request, exchange):
        """Answer one HTTP request of a caller."""
        call = ROUTES.get((request.method, request.path))
        if call is None:
            fault = http.BadRequest(404, 'no such route')
            await http.answer_bad_request(exchange, fault)
            return
        await call(self, request, exchange)

    async def complete(self, request, exchange):
        """Serve a completions request."""
        name = f'{self.core.node.box}-{next(self._numbers)}'
        row, rejection = self._admit(request)
        if rejection is None:
            demand, fault = parsing.parse_request(
                request, name, self.settings, self.plain_models()
            )
            rejection = self._check(demand, fault, row)
        if rejection is not None:
            await self._reject_early(exchange, name, row, rejection)
            return
        self.core.recorder.record(
            'accepted',
            request=f'{row.workspace}/{demand.request}',
            workspace=row.workspace,
            model=demand.model,
            offset=self.core.node.table.offset,
        )
        outlet = Outlet(exchange, demand, demand.request)
        if demand.key is not None and not demand.repeatable:
            await self._serve_keyed(demand, row, outlet, exchange)
        else:
            await self._serve_free(demand, row, outlet, exchange)

    async def mint(self, request, exchange):
        """Give a caller a key of this box, which needs no platform."""
        row, rejection = self._admit(request)
        if rejection is not None:
            await self._reject_early(exchange, 'keys', row, rejection)
            return
        key = f'box:{self.name}:{next(self._numbers)}'
        await exchange.send_json(200, {'key': key})

    async def health(self, request, exchange):
        """Tell the balancer whether to send requests here."""
        ready = not self.stopping and self.core.node.table.offset >= 0
        status = 200 if ready else 503
        await exchange.send_json(status, {'ready': ready})

    def _admit(self, request):
        """Find the workspace; returns (row or None, Rejection or None)."""
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

    def _check(self, demand, fault, row):
        """Check a demand against what is served; a Rejection or None."""
        if fault is not None:
            return answers.Rejection(
                'bad_request', NOT_RUN, 0.0, fault.text, fault.status
            )
        members = self.core.node.members.values()
        if not any(m.model == demand.model and m.model for m in members):
            return answers.Rejection('unknown_model', NOT_RUN)
        if demand.key is None:
            return None
        window = self.claims.ledger.window
        fault = parsing.check_key(demand.key, self.wall(), window)
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

    async def _serve_free(self, demand, row, outlet, exchange):
        # The caller is watched while it waits: work for one that has left
        # is cancelled, unless it must not be cut off in the middle.
        work = asyncio.ensure_future(self._serve(demand, row, outlet))
        gone = asyncio.ensure_future(exchange.wait_gone())
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if not work.done():
            outlet.gone = True
            request = f'{row.workspace}/{demand.request}'
            self.core.recorder.record('caller_gone', request=request)
            if demand.repeatable:
                work.cancel()
        await asyncio.gather(work, return_exceptions=demand.repeatable)

    async def _serve(self, demand, row, outlet):
        """Run the session and send its final answer; returns a Kept."""
        served = session.Session(self, demand, row, outlet)
        try:
            result = await served.run()
        except Exception as error:
            # A fault of ours is no reason to leave a caller waiting.
            self.core.recorder.record('fault', error=repr(error))
            result = answers.Rejection('fault', served.life.verdict)
        try:
            if isinstance(result, targets.End):
                self._count(row.workspace, 'ok', verdict.Verdict.RAN, None)
                return await outlet.finish(result)
            self._count(
                row.workspace, result.reason, result.verdict, served.request
            )
            return await outlet.reject(result)
        except (OSError, h11.ProtocolError):
            return self._keep_unsent(result, outlet, demand)

    def _keep_unsent(self, result, outlet, demand):
        if isinstance(result, targets.End):
            body = answers.make_completion(
                outlet.request, demand.model, ''.join(outlet.parts), result
            )
            return answers.Kept(200, body)
        body = answers.describe(result, outlet.request)
        status = answers.get_status(result)
        return answers.Kept(status, json.dumps(body).encode())

    async def _serve_keyed(self, demand, row, outlet, exchange):
        key = parsing.make_claim_key(row.workspace, demand.key)
        running = self.archive.find(key)
        if running is not None:
            await self._join(running, outlet, exchange)
            return
        rejection = await self._win(demand, key)
        if rejection is not None:
            if isinstance(rejection, answers.Kept):
                await self._replay(rejection, outlet, exchange)
                return
            self._count(
                row.workspace, rejection.reason, rejection.verdict, key
            )
            await outlet.reject(rejection)
            return
        # Its own task: the run goes on to its end when the caller leaves,
        # and a retry of the caller finds the answer.
        work = self.core.spawn(self._run_keyed(demand, row, outlet, key))
        await asyncio.shield(work)

    async def _run_keyed(self, demand, row, outlet, key):
        kept = None
        try:
            kept = await self._serve(demand, row, outlet)
        finally:
            if kept is not None:
                self.archive.finish(key, kept)

    async def _win(self, demand, key):
        """Win the key; None if this box may run it.

        Returns
        -------
        answers.Rejection, answers.Kept or None
        """
        if self.archive.is_spent(key):
            return answers.Rejection('key_held', MAY_HAVE_RUN)
        if demand.key.minted is None:
            return await self._win_minted(demand, key)
        outcome = await self.claims.claim(key, demand.key.minted)
        return await WINS[type(outcome)](self, outcome, key)

    async def _win_minted(self, demand, key):
        if demand.key.box == self.name:
            self.archive.begin(key)
            return None
        return await self._recall(demand.key.box, key)

    async def _take_won(self, outcome, key):
        running = self.archive.find(key)
        if running is not None:
            return answers.Rejection('key_running', MAY_HAVE_RUN, 1.0)
        self.archive.begin(key)
        return None

    async def _take_held(self, outcome, key):
        if outcome.holder.box == self.name:
            running = self.archive.find(key)
            if running is not None:
                return await asyncio.shield(running)
            return answers.Rejection('key_held', MAY_HAVE_RUN)
        return await self._recall(outcome.holder.box, key)

    async def _take_unsettled(self, outcome, key):
        after = claimer.DOWN_RETRY_AFTER_S
        return answers.Rejection('log_down', NOT_RUN, after, outcome.reason)

    async def _recall(self, holder, key):
        """Ask the box that holds a key what became of its request."""
        box = holder.rpartition('.')[0]
        future = asyncio.get_running_loop().create_future()
        number = f'recall-{next(self._numbers)}'
        self._recalls[number] = future
        recall = messages.Recall(number, self.core.node.box, f'{holder} {key}')
        self.core.links.send(box, recall)
        try:
            async with asyncio.timeout(RECALL_S):
                reply = await future
        except TimeoutError:
            after = AWAY_RETRY_AFTER_S
            return answers.Rejection('box_gone', MAY_HAVE_RUN, after)
        finally:
            del self._recalls[number]
        if reply.answer:
            return answers.Kept(reply.status, reply.answer)
        if reply.verdict == NOT_RUN.value:
            return answers.Rejection('key_held', NOT_RUN)
        return answers.Rejection('key_running', MAY_HAVE_RUN, 1.0)

    def _answer_recall(self, sender, message):
        holder, _, key = message.claim.partition(' ')
        reply = messages.Recalled(message.request, MAY_HAVE_RUN.value, 0, b'')
        if holder == self.name:
            reply = self._look_up(message.request, key)
        self.core.links.send(sender, reply)

    def _look_up(self, request, key):
        running = self.archive.find(key)
        if running is None and not self.archive.is_spent(key):
            # It has not run here, and from now on it never will: what the
            # caller is told stays true.
            self.archive.spend(key)
            return messages.Recalled(request, NOT_RUN.value, 0, b'')
        if running is not None and running.done():
            kept = running.result()
            return messages.Recalled(request, 'ran', kept.status, kept.body)
        return messages.Recalled(request, MAY_HAVE_RUN.value, 0, b'')

    def _take_recalled(self, sender, message):
        future = self._recalls.get(message.request)
        if future is not None and not future.done():
            future.set_result(message)

    async def _join(self, running, outlet, exchange):
        kept = await asyncio.shield(running)
        await self._replay(kept, outlet, exchange)

    async def _replay(self, kept, outlet, exchange):
        headers = [('x-request-id', outlet.request), ('x-replayed', 'true')]
        await exchange.send_body(
            kept.status, kept.body, 'application/json', headers
        )

    def _count(self, workspace, outcome, known, request):
        metric = self.core.metrics.answers
        metric.labels(workspace, outcome, known.value).inc()
        if request is not None:
            self.core.recorder.record(
                'rejected',
                request=request,
                reason=outcome,
                verdict=known.value,
            )


ROUTES = {
    ('POST', '/v1/completions'): CallerServer.complete,
    ('POST', '/v1/keys'): CallerServer.mint,
    ('GET', '/healthz'): CallerServer.health,
}

WINS = {
    claimer.Won: CallerServer._take_won,
    claimer.Held: CallerServer._take_held,
    claimer.Unsettled: CallerServer._take_unsettled,
}
