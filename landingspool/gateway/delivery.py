"""Forward the answer of a target to the caller of a request.

An answer is buffered up to a limit, so that one that breaks off before can
still be replaced; streams are forwarded event by event.
"""

import asyncio

from landingspool import bodies
from landingspool.decisions.gateway import routes
from landingspool.gateway import outcomes
from landingspool.gateway import stream as stream_module
from landingspool.platform import answers
from landingspool import timeouts

# Seconds without a complete event after which a resumable stream is continued
# at another target.  Callers give up after two seconds or more.
MAX_STREAM_PAUSE_S = 1.0
# Bytes of an answer that are buffered before the first one is forwarded.  If
# the answer breaks off before that, the request can still be sent again or
# be answered with an error.
MAX_HELD_BYTES = 256 * 1024
# The same while the buffers of connections are short of room.
SHORT_HELD_BYTES = 32 * 1024


class Delivery:
    """Forwards the answer to one attempt, if it is a success.

    Parameters
    ----------
    state : request_state.RequestState
        The request; its reply receives the answer.
    exchange : upstream.Exchange
        Where the answer is read from.
    attempt : attempts.Attempt
        Keeps the accounts of the target and gives up the exchange.
    buffers : buffers.Buffers
        Counts the bytes that are held.
    """

    def __init__(self, state, exchange, attempt, buffers):
        self._buffers = buffers
        self._state = state
        self._exchange = exchange
        self._attempt = attempt

    async def forward(self, head):
        """Forward the answer of this head.

        Returns
        -------
        outcomes.Done or outcomes.Lost

        Raises
        ------
        upstream.ExchangeError
            If the answer breaks off.
        stream.EventTooLong
        """
        if self._state.work.route.kind == routes.STREAM:
            return await self._forward_stream(head)
        body = bytearray()
        try:
            while len(body) <= self._get_held_limit():
                data = await self._exchange.read_data()
                if not data:
                    return await self._forward_complete(head, body)
                body += data
                self._buffers.change(len(data))
            return await self._forward_long(head, body)
        finally:
            self._buffers.change(-len(body))

    def _get_held_limit(self):
        return SHORT_HELD_BYTES if self._buffers.is_short else MAX_HELD_BYTES

    async def _forward_complete(self, head, body):
        self._attempt.record_first()
        self._attempt.release()
        rows = answers.relay_headers(head)
        await self._state.reply.send_complete(head.status, rows, body)
        return outcomes.Done(head.status)

    async def _forward_long(self, head, body):
        """Forward an answer of which `body` is the beginning."""
        self._attempt.record_first()
        reply = self._state.reply
        rows = answers.relay_headers(head)
        await reply.start(head.status, rows, self._cut_piece(body))
        while body:
            await reply.send_data(self._cut_piece(body))
        while data := await self._exchange.read_data():
            await reply.send_data(data)
        self._attempt.release()
        await reply.finish()
        return outcomes.Done(head.status)

    def _cut_piece(self, body):
        """Return the first bytes of a body, and hold them no longer."""
        piece = bytes(body[: bodies.PIECE_BYTES])
        del body[: len(piece)]
        self._buffers.change(-len(piece))
        return piece

    async def _forward_stream(self, head):
        stream, attempt = self._open_stream(head), self._attempt
        pause = Pause(self._state.may_send_again())
        while True:
            try:
                data = await self._read_part(pause)
            except TimeoutError:
                if not await attempt.prepare_replacement(pause.has_data):
                    pause.begin()
                    continue
                return attempt.report_lost('paused', outcomes.Cause.PAUSED)
            if not data:
                break
            attempt.record_received()
            pause.has_data = True
            complete = stream.cut_events(data)
            if not complete:
                continue
            if not stream.first_recorded and not attempt.bind_stream(head):
                return attempt.report_lost('reborn', outcomes.Cause.REBORN)
            attempt.record_version(await stream.send(complete))
            if not stream.first_recorded:
                stream.first_recorded = True
                attempt.record_first()
            pause.begin()
        if not stream.is_complete():
            return attempt.report_lost(
                'ended within an event', outcomes.Cause.MALFORMED
            )
        if not (head.framed or self._may_be_empty()):
            return attempt.report_lost(
                'closed before its first event', outcomes.Cause.CLOSED
            )
        attempt.release()
        await stream.finish()
        return outcomes.Done(head.status)

    def _may_be_empty(self):
        """Return whether the answer may lack events.

        The caller has some of them, or asks for the head alone.
        """
        call = self._state.call
        has_events = self._state.reply.started or call.after_event
        return bool(has_events) or call.method == 'HEAD'

    async def _read_part(self, pause):
        """Return the next bytes of a stream.

        Raises
        ------
        TimeoutError
            If the pause is over.
        upstream.ExchangeError
        """
        # A read that never waits can't be timed out.
        if pause.is_over():
            raise TimeoutError
        async with timeouts.Timeout(pause.get_left()):
            return await self._exchange.read_data()

    def _open_stream(self, head):
        """Return the caller's stream; begin it if this is the first answer."""
        state = self._state
        if state.stream is None:
            rows = self._attempt.list_reply_headers(head)
            state.stream = stream_module.Stream(state.reply, head.status, rows)
        state.stream.restart()
        return state.stream


class Pause:
    """Time since the last complete event of a stream.

    Parameters
    ----------
    is_limited : bool
        Whether the stream may be continued at another target.

    Attributes
    ----------
    has_data : bool
        Whether bytes have been received in it, which make no event.
    """

    def __init__(self, is_limited):
        self._is_limited = is_limited
        self.begin()

    def begin(self):
        """Begin a new pause."""
        self.has_data = False
        self._expired_at = None
        self._began_at = asyncio.get_running_loop().time()

    def get_left(self):
        """Return the seconds until MAX_STREAM_PAUSE_S, or None: no limit."""
        if not self._is_limited:
            return None
        now = asyncio.get_running_loop().time()
        return self._began_at + MAX_STREAM_PAUSE_S - now

    def is_over(self):
        """Return whether it is too long, also after a stall of the process.

        What has arrived during a stall is read first, as by timeouts.Timeout.
        """
        left_s = self.get_left()
        if left_s is None or left_s > 0:
            return False
        now = asyncio.get_running_loop().time()
        if self._expired_at is None:
            self._expired_at = now
        return now - self._expired_at >= timeouts.EXTENSION_S


def is_success(head):
    """Return whether the status of an answer is a success (2xx)."""
    return 200 <= head.status < 300


def is_answer_to(head, name):
    """Return whether an answer belongs to the request of this id.

    A success must also be signed by the target, and its body must be as the
    target made it, without a content coding.
    """
    if head.name != name:
        return False
    if is_success(head):
        return head.stamped and not head.content_encoded
    return True
