"""One try of a request at one target: send it, read the answer, pass it on.

A try ends in one of the outcomes and says nothing of what follows; the
relay judges that.  An answer is passed on as soon as it can't be anything
else than the one to this request.
"""

from landingspool.decisions.gateway import routes
from landingspool.gateway import outcomes
from landingspool.gateway import stream as stream_module
from landingspool.gateway import upstream as upstream_module
from landingspool import timeouts
from landingspool.platform import answers
from landingspool.platform import egress

# Repeatable requests are tried elsewhere when no byte came for so many
# times the latency that the route aims at, and at least for so long.
PATIENCE_RATIO = 2.0
LEAST_PATIENCE_S = 0.4
# A stream is continued elsewhere after a pause of so long; callers give up
# after two seconds or more.
STREAM_PAUSE_S = 1.0
# Seconds for the rest of a rejection: its connection is kept if it is read
# to its end, and is not worth more of the request's time.
REJECTION_S = 0.05
# Bytes of an answer that are read before its first byte is passed on, so
# that one that breaks early can still be tried again or told as failed.
MOST_HELD = 256 * 1024


class Attempt:
    """One try.

    Parameters
    ----------
    hub
        The box's parts: `view`, `upstream`, `prober`, `heartbeat`, `recorder`,
        `metrics`, `clock`, `timer`.
    progress : progress.Progress
        The request; the try writes down what it did to it.
    plan : view.Plan
    """

    def __init__(self, hub, progress, plan):
        self._hub = hub
        self._view = hub.view
        self._progress = progress
        self._plan = plan
        self._planned = hub.clock()
        self._exchange = None
        self._sent = None

    async def run(self):
        """Make the try; gives one of the outcomes."""
        try:
            self._exchange = await self._hub.upstream.open(
                self._plan.entry.address,
                routes.may_repeat(self._progress.work.route),
                self._view.get_connection_limit(self._progress.work.service),
            )
        except upstream_module.ExchangeError as error:
            reason = str(error)
            self._hub.prober.record_failed(self._plan.entry.name, reason)
            return outcomes.Unreached(reason)
        if not self._may_send():
            self._exchange.abort()
            return outcomes.Stale()
        return await self._send_and_receive()

    def _may_send(self):
        # Between the choice and here the process may have stood still, or
        # the table may have changed: only a fresh decision is sent.
        now = self._hub.clock()
        return (
            self._hub.timer.ran_since(self._planned)
            and self._hub.heartbeat.is_fresh(now)
            and is_proved(self._view, now)
            and self._view.may_send(self._plan.entry, self._progress.work, now)
            and not self._find_bar(now)
        )

    def _find_bar(self, now):
        endings = self._view.endings
        return endings.get_quarantine(self._progress.fingerprint, now)

    async def _send_and_receive(self):
        outcome = outcomes.Lost('stopped', outcomes.Cause.STOPPED)
        try:
            self._send()
            outcome = await self._receive()
        finally:
            self._record_end(outcome)
        return outcome

    def _send(self):
        progress, plan = self._progress, self._plan
        self._sent = self._hub.clock()
        progress.sends += 1
        if progress.sends > 1:
            self._hub.metrics.repeats.inc()
        self._view.record_sent(plan, progress.work, self._sent)
        self._view.endings.record_sent(progress.fingerprint)
        self._hub.recorder.record(
            'dispatched',
            request=progress.call.name,
            content=progress.fingerprint.hex(),
            priority=self._find_priority(),
            **describe_plan(plan, self._view.table),
        )
        self._exchange.send(
            progress.call.method,
            progress.call.target,
            self._write_head(),
            progress.body,
        )

    def _record_end(self, outcome):
        name = self._plan.entry.name
        if isinstance(outcome, outcomes.Lost):
            self._exchange.abort()
            self._record_loss(outcome)
        self._view.loads.record_end(name, self._progress.work.name)
        self._record_ending(outcome)
        if not isinstance(outcome, outcomes.Rejected):
            self._progress.may_have_run = True

    def _record_ending(self, outcome):
        """Count the try for what its request does to targets.

        By what it asks for, since each arrival has another name, and here,
        since whatever is counted for one arrival alone is new with the next.
        """
        endings, name = self._view.endings, self._plan.entry.name
        fingerprint, now = self._progress.fingerprint, self._hub.clock()
        endings.record_done(fingerprint)
        if isinstance(outcome, outcomes.Done):
            endings.record_served(fingerprint, now)
        elif isinstance(outcome, outcomes.Lost):
            if outcome.cause == outcomes.Cause.CLOSED:
                endings.record_lost(fingerprint, name, now)
            elif outcome.cause in outcomes.UNANSWERED:
                endings.record_unanswered(fingerprint, name, now)
        self._hub.marks.look()

    def _record_loss(self, outcome):
        self._hub.metrics.losses.labels(outcome.cause).inc()
        waiting, running = self._view.loads.count(self._plan.entry.name)
        self._hub.recorder.record(
            'lost',
            request=self._progress.call.name,
            content=self._progress.fingerprint.hex(),
            target=self._plan.entry.name,
            cause=outcome.cause,
            after_s=round(self._hub.clock() - self._sent, 4),
            waiting=waiting,
            running=running,
        )

    def _write_head(self):
        progress, plan = self._progress, self._plan
        tenancy, stream = progress.work.tenancy, progress.stream
        told = egress.Instructions(
            target=plan.entry.target,
            left_s=progress.ends - self._sent,
            workspace=tenancy.name if tenancy else '',
            priority=self._find_priority(),
            version=plan.version,
            space=plan.space,
            fetch=plan.transfer.fetch,
            save=plan.transfer.save,
            until_ms=plan.transfer.until_ms,
            after_event=stream.last_event if stream else '',
        )
        return egress.write_head(progress.call, told, len(progress.body))

    def _find_priority(self):
        """Give the priority of the workspace, or else of the route."""
        tenancy, route = self._progress.work.tenancy, self._progress.work.route
        if tenancy is not None and tenancy.priority is not None:
            return tenancy.priority
        return route.priority

    async def _receive(self):
        """Read the answer under the request's time; gives the outcome."""
        try:
            async with timeouts.Timeout(self._find_patience()):
                head = await self._exchange.read_head()
        except TimeoutError:
            return self._lose('silent', outcomes.Cause.SILENT)
        except upstream_module.ExchangeError as error:
            return self._lose_broken(error)
        self._record_version(head.version)
        self._record_words(head)
        if head.not_run:
            return await self._take_rejection(head)
        if not is_answer_to(head, self._progress.call.name):
            return self._lose(
                'not the answer to this request', outcomes.Cause.MALFORMED
            )
        try:
            async with timeouts.Timeout(self._find_left()):
                if is_success(head):
                    return await self._pass_on(head)
                return await self._take_failure(head)
        except TimeoutError:
            # The caller's time is over; that tells nothing of the target.
            return outcomes.Lost('time_over', outcomes.Cause.TIME_OVER)
        except upstream_module.ExchangeError as error:
            return self._lose_broken(error)
        except stream_module.Endless as error:
            return self._lose(str(error), outcomes.Cause.MALFORMED)

    def _find_patience(self):
        left = self._progress.find_left(self._hub.clock())
        if not self._progress.may_send_again():
            return left
        aim = self._progress.work.route.target_latency_s
        usual = max(aim * PATIENCE_RATIO, LEAST_PATIENCE_S)
        # Where all targets are busy another one would not be quicker.
        return min(left, usual + self._plan.expected_s * PATIENCE_RATIO)

    def _find_left(self):
        """Give the seconds until the end of the request's time."""
        return self._progress.ends - self._hub.clock()

    async def _take_rejection(self, head):
        name = self._plan.entry.name
        if (
            head.status == answers.MISDIRECTED
            and head.target
            and head.target != self._plan.entry.target
        ):
            # Another target has the address now: this one is gone.
            self._view.fleet.drop(name, self._hub.clock(), False)
        elif not head.words.is_wish:
            # Who asks for less and turns away what is more is not sick.
            self._note_loss(certain=True)
        try:
            async with timeouts.Timeout(REJECTION_S):
                while await self._exchange.read_data():
                    pass
                self._exchange.release()
        except (TimeoutError, upstream_module.ExchangeError):
            self._exchange.abort()
        return outcomes.Rejected(head)

    async def _take_failure(self, head):
        body = bytearray()
        while data := await self._exchange.read_data():
            body += data
        self._exchange.release()
        wait = self._hub.timer.measure_running_s(self._sent)
        # Who asks for rest is short of room, and has said for how long.
        failed = head.status >= 500 and not head.words.asks_rest
        self._view.record_answer(self._plan, wait, failed)
        return outcomes.Failed(head, bytes(body))

    async def _pass_on(self, head):
        if self._progress.work.route.kind == routes.STREAM:
            return await self._pass_stream(head)
        body = bytearray()
        while len(body) <= MOST_HELD:
            data = await self._exchange.read_data()
            if not data:
                return await self._pass_whole(head, bytes(body))
            body += data
        return await self._pass_long(head, bytes(body))

    async def _pass_whole(self, head, body):
        self._record_first()
        self._exchange.release()
        rows = answers.relay_headers(head)
        await self._progress.reply.send_whole(head.status, rows, body)
        return outcomes.Done(head.status)

    async def _pass_long(self, head, body):
        """Pass on an answer of which `body` is the beginning."""
        self._record_first()
        reply = self._progress.reply
        await reply.start(head.status, answers.relay_headers(head), body)
        while data := await self._exchange.read_data():
            await reply.send_data(data)
        self._exchange.release()
        await reply.finish()
        return outcomes.Done(head.status)

    async def _pass_stream(self, head):
        stream, name = self._open_stream(head), self._plan.entry.name
        pause = STREAM_PAUSE_S if self._progress.may_send_again() else None
        while True:
            try:
                async with timeouts.Timeout(pause):
                    data = await self._exchange.read_data()
            except TimeoutError:
                return self._lose('paused', outcomes.Cause.PAUSED)
            if not data:
                break
            self._view.loads.record_received(name, self._hub.clock())
            self._record_version(await stream.take(data))
            if stream.events and not stream.noted:
                stream.noted = True
                self._record_first()
        if not stream.is_whole():
            return outcomes.Lost(
                'ended within an event', outcomes.Cause.MALFORMED
            )
        self._exchange.release()
        await stream.finish()
        return outcomes.Done(head.status)

    def _open_stream(self, head):
        """Begin the caller's stream, or go on with the one it has."""
        progress = self._progress
        if progress.stream is None:
            rows = answers.relay_headers(head)
            progress.stream = stream_module.Stream(
                progress.reply, head.status, rows
            )
        progress.stream.restart()
        return progress.stream

    def _lose(self, reason, cause):
        """Give the outcome of an answer that the target did not finish."""
        self._note_loss(certain=False)
        return outcomes.Lost(reason, cause)

    def _lose_broken(self, error):
        """Give the outcome of a broken exchange; no other uses a dead path."""
        if error.silent:
            entry = self._plan.entry
            self._hub.upstream.drop(entry.address)
            self._hub.prober.record_failed(entry.name, str(error))
            return self._lose(str(error), outcomes.Cause.DEAD_PATH)
        if self._exchange.is_ended:
            return self._lose(str(error), outcomes.Cause.CLOSED)
        return self._lose(str(error), outcomes.Cause.MALFORMED)

    def _note_loss(self, certain):
        name = self._plan.entry.name
        self._view.record_loss(name, self._hub.clock(), certain)

    def _record_first(self):
        now = self._hub.clock()
        self._view.record_first(self._plan, self._progress.work, now)
        wait_s = self._hub.timer.measure_running_s(self._sent)
        self._view.record_answer(self._plan, wait_s, False)
        self._progress.record_first(now)

    def _record_words(self, head):
        if head.status == answers.MISDIRECTED:
            # Another target has the address now.
            return
        answered = is_answer_to(head, self._progress.call.name)
        if not answered and not head.not_run:
            return
        # Only a signed success without a limit tells that there is none.
        certain = answered and is_success(head)
        name = self._plan.entry.name
        self._hub.hearing.take(name, head.words, self._sent, certain)
        if answered and not head.words.asks_rest:
            self._view.bars.backoffs.record_answered(name, self._sent)

    def _record_version(self, version):
        prompt = self._progress.work.prompt
        if version is None or prompt is None:
            return
        name = self._plan.entry.name
        self._view.fleet.record_version(name, prompt.model, version)


def is_proved(view, now):
    """Tell whether the table in force may be used for requests at `now`.

    One without keys has nothing in it that could have been taken away.
    """
    return not view.table.keyed or view.proof.is_fresh(now)


def is_success(head):
    """Tell whether an answer says that the request was served."""
    return 200 <= head.status < 300


def is_answer_to(head, name):
    """Tell whether an answer belongs to the request of this name.

    One that looks like a success has to be signed, and as it was made.
    """
    if head.name != name:
        return False
    if is_success(head):
        return head.stamped and not head.coded
    return True


def describe_plan(plan, table):
    """Give what decided a choice, for the log."""
    return {
        'target': plan.entry.name,
        'expected_s': round(plan.expected_s, 4),
        'kept': plan.cached,
        'fetched': plan.transfer.tokens,
        'read': plan.read_tokens,
        'saved': sum(1 for address in plan.transfer.save if address),
        'candidates': plan.candidates,
        'weights': plan.version,
        'table': table.version,
    }
