"""Read the platform's topics from its store or from another box.

In a large domain few boxes read the store, and the others ask these for the
same records by the same offsets.  A read ends as soon as its source has
failed, and the next source is asked at once.  A box that gets no answer from
the store says so in all its answers.  The answer of a box that is behind in a
topic is rejected.
"""

import asyncio
import collections
import contextlib
import typing
from urllib import parse

import msgspec

from landingspool import boot_clock
from landingspool.decisions import decoding
from landingspool.decisions.gateway import readers
from landingspool.decisions.gateway import tail as tail_module
from landingspool.gateway import boxcalls
from landingspool.platform import store as store_module
from landingspool import supervisor

RECORDS_PATH = '/records'
NEWEST_PATH = '/newest'
# Time-out for an answer beyond the hold, seconds.  It is short, since boxes of
# one domain are near each other.
ANSWER_TIMEOUT_S = 0.4
# Longest hold that another box may ask for, seconds.
MAX_HOLD_S = 60.0

Hold = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_HOLD_S)]


class Relayed(msgspec.Struct):
    """Records as another box has read them.

    Attributes
    ----------
    records : list of tuple
        Key, value and offset of each record.
    end : int
        Offset after the last record.
    age : float
        Age of the proof of the box that answers, seconds.
    gone : bool
        Whether the requested records are no longer available.
    cut : bool
        Whether the store failed that box shortly before.
    """

    records: list[tuple[str, bytes, decoding.Count]]
    end: decoding.Count
    age: decoding.Age
    gone: bool = False
    cut: bool = False


class Query(msgspec.Struct):
    """A read of records by another box: the first offset, and the seconds."""

    start: decoding.Count = msgspec.field(name='from')
    hold: Hold


class Sources:
    """Read topics from the store, or from the peer that reads for this box.

    Parameters
    ----------
    hub
        The box's parts: `store`, `client`, `peering`, `supervisor`, `clock`,
        `deployment`.

    Attributes
    ----------
    failed_at : float or None
        When a source last failed this box, seconds of the clock.
    """

    def __init__(self, hub):
        self._hub = hub
        self._aborts = {}
        self._answered = asyncio.Event()
        self._subscribers = collections.defaultdict(list)
        self.failed_at = None

    def exclude_stall(self, stall):
        """Don't count the seconds of a timer.Stall of this process."""
        if self.failed_at is not None:
            self.failed_at += stall.seconds

    def subscribe_failure(self, topic, call):
        """Call ``call()`` each time a source of a topic fails this box."""
        self._subscribers[topic].append(call)

    def leave(self, name):
        """Abort the pending reads of a source that has failed.

        Otherwise a long hold would delay the updates that another source has.
        Here the name of this box stands for the store.
        """
        abort = self._aborts.pop(name, None)
        if abort is not None:
            abort.set_result(None)

    async def read(self, topic, start, hold_s):
        """Read records with the outcomes of store.Store.read."""
        return await self._read_any(
            topic,
            lambda: self._hub.store.read(topic, start, hold_s),
            lambda peer: self._read_box(peer, topic, start, hold_s),
        )

    async def read_newest(self, topic, min_end):
        """Read the newest record of each key, like store.Store.read_newest.

        Parameters
        ----------
        min_end : int
            End of the topic as far as this box knows.  The answer of another
            box whose end is lower is rejected.
        """
        return await self._read_any(
            topic,
            lambda: self._hub.store.read_newest(topic),
            lambda peer: self._read_newest_of_box(peer, topic, min_end),
        )

    async def _read_any(self, topic, read_store, read_box):
        """Ask one source after the other, until one answers or none is left.

        A source that fails is not picked again for some time.
        """
        peering = self._hub.peering
        while True:
            peer = peering.pick_reader()
            if peer is not None:
                reply = await self._try_read_box(peer, read_box)
            else:
                reply = await self._read_store(read_store())
            if not isinstance(reply, store_module.Unavailable):
                self._record_answered()
                return reply
            self._record_failed(topic)
            if peer is None and peering.pick_reader() is None:
                return reply

    async def _try_read_box(self, peer, read_box):
        """Read a box; one whose answer raises an error is avoided."""
        try:
            return await read_box(peer)
        except Exception as error:
            self._hub.supervisor.report('sources', error, peer=peer.name)
            return self._reject(peer, supervisor.describe(error))

    async def wait_answered(self, most_s):
        """Wait until any read is answered, for `most_s` seconds at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(most_s):
                await self._answered.wait()

    def _record_failed(self, topic):
        self.failed_at = self._hub.clock()
        for call in self._subscribers[topic]:
            call()

    def _record_answered(self):
        self._answered.set()
        self._answered = asyncio.Event()

    async def _read_store(self, reading):
        """Read the store, unless another read finds it unreachable."""
        sent = self._hub.clock()
        reply = await self._wait(self._hub.deployment.box, reading)
        if reply is None:
            return store_module.Unavailable('the store: read aborted', False)
        failed = isinstance(reply, store_module.Unavailable)
        if failed and self._hub.timer.ran_since(sent):
            self._hub.peering.record_cut(reply.reason)
        return reply

    async def _read_box(self, peer, topic, start, hold_s):
        query = {'topic': topic, 'from': start, 'hold': hold_s}
        reply = await self._fetch(peer, RECORDS_PATH, query, hold_s)
        if isinstance(reply, store_module.Unavailable):
            return reply
        answer, sent = reply
        if answer.end < start:
            return self._reject(
                peer, f'its topic ends at {answer.end}, before {start}'
            )
        if answer.gone:
            return store_module.Forgotten()
        if readers.is_stale(answer.age, hold_s, self._hub.peering.ages.old_s):
            # This peer can't read the store, but its records are valid.
            self._avoid(peer, f'its proof is {answer.age:.2f} s old')
        rows = read_rows(answer)
        return store_module.Page(rows, answer.end, sent - answer.age)

    async def _read_newest_of_box(self, peer, topic, min_end):
        reply = await self._fetch(peer, NEWEST_PATH, {'topic': topic}, 0.0)
        if isinstance(reply, store_module.Unavailable):
            return reply
        answer, sent = reply
        if answer.gone:
            return self._reject(peer, 'it has no records of the topic')
        if answer.end < min_end:
            return self._reject(peer, f'its topic ends at {answer.end}')
        rows = read_rows(answer)
        return store_module.Newest(rows, answer.end, sent - answer.age)

    def _reject(self, peer, reason):
        """Avoid a box whose answer is unusable."""
        self._avoid(peer, reason)
        return store_module.Unavailable(f'{peer.name}: {reason}', False)

    def _avoid(self, peer, reason):
        if not self._hub.peering.is_avoided(peer.name):
            self._hub.peering.avoid(peer.name, reason)

    async def _fetch(self, peer, path, query, hold_s):
        """Ask a box, until it answers or its reads are aborted.

        Returns
        -------
        tuple of (Relayed, float) or store.Unavailable
            The answer, and when the request was sent.
        """
        sent = self._hub.clock()
        asking = self._ask(peer, path, query, hold_s)
        try:
            answer = await self._wait(peer.name, asking)
        except boxcalls.NoAnswer as error:
            return store_module.Unavailable(f'{peer.name}: {error}', False)
        if answer is None:
            return store_module.Unavailable(
                f'{peer.name}: read aborted', False
            )
        if answer.cut:
            # The records are valid, but the next reads go to another source.
            self._record_failed(query['topic'])
            self._avoid(peer, 'the store does not answer it')
        return answer, sent

    async def _wait(self, name, asking):
        """Wait for an answer; return None if its source is left first."""
        call = asyncio.ensure_future(asking)
        try:
            await asyncio.wait(
                {call, self._get_abort(name)},
                return_when=asyncio.FIRST_COMPLETED,
            )
            return call.result() if call.done() else None
        finally:
            call.cancel()

    async def _ask(self, peer, path, query, hold_s):
        return await boxcalls.ask(
            self._hub,
            peer,
            Relayed,
            ('GET', f'{path}?{parse.urlencode(query)}'),
            timeout=hold_s + ANSWER_TIMEOUT_S,
        )

    def _get_abort(self, name):
        """Return the future that is done when a source is left."""
        abort = self._aborts.get(name)
        if abort is None:
            abort = asyncio.get_running_loop().create_future()
            self._aborts[name] = abort
        return abort


def read_query(fields):
    """Decode the query of a read by another box.

    >>> read_query({'topic': 't', 'from': '7', 'hold': '0.5'})
    Query(start=7, hold=0.5)

    Raises
    ------
    ValueError
    """
    return msgspec.convert(fields, Query, strict=False)


def read_rows(answer):
    """Return the tail.Records in an answer of another box."""
    return tuple(tail_module.Record(*row) for row in answer.records)


class RecordServer:
    """Answer the boxes that read from this one.

    Parameters
    ----------
    is_cut : callable
        Returns whether the store failed this box shortly before.
    clock : callable, optional
        Returns monotonic seconds.

    Attributes
    ----------
    relayed_bytes : int
        Bytes of keys and values that were sent to other boxes.
    """

    def __init__(self, is_cut, clock=boot_clock.read):
        self.relayed_bytes = 0
        self._is_cut = is_cut
        self._clock = clock
        self._tails = {}
        self._changed = {}

    def add(self, topic, tail):
        """Answer reads of a topic from its tail."""
        self._tails[topic] = tail
        self._changed[topic] = asyncio.Event()

    def wake(self, topic):
        """Answer the held reads of a topic, since it has a new record."""
        self._changed[topic].set()
        self._changed[topic] = asyncio.Event()

    def wake_all(self):
        """Answer all held reads, since the store fails this box."""
        for topic in self._changed:
            self.wake(topic)

    async def answer_records(self, request, exchange):
        """Answer a read of records."""
        topic = request.query.get('topic', '')
        tail = self._tails.get(topic)
        if tail is None or tail.end is None:
            await self._send(exchange, tail, None)
            return
        try:
            query = decoding.decode('query', read_query, request.query)
        except decoding.Malformed as error:
            await exchange.send_json(400, {'error': str(error)})
            return
        if query.start >= tail.end and not self._is_cut():
            await self._hold(topic, query.hold)
        await self._send(exchange, tail, tail.read(query.start))

    async def answer_newest(self, request, exchange):
        """Answer a read of the newest record of each key."""
        tail = self._tails.get(request.query.get('topic', ''))
        found = None
        if tail is not None and tail.end is not None:
            found = tail_module.Span(tail.read_newest(), tail.end)
        await self._send(exchange, tail, found)

    async def _hold(self, topic, hold_s):
        changed = self._changed[topic]
        try:
            async with asyncio.timeout(hold_s):
                await changed.wait()
        except TimeoutError:
            return

    async def _send(self, exchange, tail, found):
        cut = self._is_cut()
        if found is None:
            end = 0 if tail is None or tail.end is None else tail.end
            answer = Relayed([], end, 0.0, gone=True, cut=cut)
        else:
            age = self._clock() - tail.proved
            rows = [tuple(record) for record in found.records]
            answer = Relayed(rows, found.end, age, cut=cut)
            self.relayed_bytes += sum(
                len(record.key) + len(record.value) for record in found.records
            )
        value = msgspec.to_builtins(answer, builtin_types=[bytes])
        await boxcalls.answer(exchange, value)
