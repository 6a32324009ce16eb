"""Where a box reads the platform's topics: the store, or another box.

In a large domain few boxes read the store, and the others ask these for the
same records by the same offsets.  A read ends as soon as its source has
failed, and the next source is asked at once: a box that the store does not
answer tells so with whatever it is asked, and one that is behind in a topic
is not believed.
"""

import asyncio
import contextlib
from urllib import parse

import msgspec

from landingspool.decisions.gateway import readers
from landingspool.decisions.gateway import tail as tail_module
from landingspool.gateway import boxcalls
from landingspool.platform import store as store_module
from landingspool import boot_clock

RECORDS_PATH = '/records'
NEWEST_PATH = '/newest'
# Seconds for an answer beyond the hold; boxes of one domain are near.
ANSWER_S = 0.4


class Relayed(msgspec.Struct):
    """An answer of another box.

    Attributes
    ----------
    age : float
        Of its own proof, seconds.
    gone : bool
        Whether the records asked for are no longer there.
    cut : bool
        Whether the store failed it shortly before.
    """

    records: list[tuple[str, bytes, int]]
    end: int
    age: float
    gone: bool = False
    cut: bool = False


class Sources:
    """Reads topics from the box or store that is to be read from.

    Parameters
    ----------
    hub
        The box's parts: `store`, `client`, `peering`, `clock`, `deployment`.

    Attributes
    ----------
    failed_at : float or None
        When a source last failed this box.
    """

    def __init__(self, hub):
        self._hub = hub
        self._leaving = {}
        self._answered = asyncio.Event()
        self.failed_at = None

    def exclude_stall(self, seconds):
        """Leave out seconds for which this box did not run."""
        if self.failed_at is not None:
            self.failed_at += seconds

    def leave(self, name):
        """End what this box still asks of a source that has failed.

        A long hold would otherwise keep the news back that another source
        has.  The store's name here is that of this box.
        """
        leaving = self._leaving.pop(name, None)
        if leaving is not None:
            leaving.set_result(None)

    async def read(self, topic, start, hold_s):
        """Read records; the outcomes are those of store.Store.read."""
        return await self._read_any(
            lambda: self._hub.store.read(topic, start, hold_s),
            lambda peer: self._read_box(peer, topic, start, hold_s),
        )

    async def read_newest(self, topic, min_end):
        """Read the newest of each key; as store.Store.read_newest.

        Parameters
        ----------
        min_end : int
            Where the topic ended as far as this box knows: another box that
            has not come so far is not believed.
        """
        return await self._read_any(
            lambda: self._hub.store.read_newest(topic),
            lambda peer: self._read_newest_of_box(peer, topic, min_end),
        )

    async def _read_any(self, read_store, read_box):
        """Ask one source after the other, until one answers or none is left.

        Each one that fails is not picked again for a time.
        """
        peering = self._hub.peering
        while True:
            peer = peering.pick_reader()
            if peer is not None:
                reply = await read_box(peer)
            else:
                reply = await self._read_store(read_store())
            if not isinstance(reply, store_module.Unavailable):
                self._record_answered()
                return reply
            self.failed_at = self._hub.clock()
            if peer is None and peering.pick_reader() is None:
                return reply

    async def wait_answered(self, most_s):
        """Wait until any read is answered, but no longer than `most_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(most_s):
                await self._answered.wait()

    def _record_answered(self):
        self._answered.set()
        self._answered = asyncio.Event()

    async def _read_store(self, reading):
        """Read the store, unless another read finds that it is away."""
        sent = self._hub.clock()
        reply = await self._wait(self._hub.deployment.box, reading)
        if reply is None:
            return store_module.Unavailable('the store: left', False)
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
            return self._reject(peer, f'it ends at {answer.end} of {start}')
        if answer.gone:
            return store_module.Forgotten()
        if readers.is_stale(answer.age, hold_s, self._hub.peering.ages.old_s):
            # It can't read itself; what it gave is good as far as it goes.
            self._shun(peer, f'its word is {answer.age:.2f} s old')
        rows = read_rows(answer)
        return store_module.Page(rows, answer.end, sent - answer.age)

    async def _read_newest_of_box(self, peer, topic, min_end):
        reply = await self._fetch(peer, NEWEST_PATH, {'topic': topic}, 0.0)
        if isinstance(reply, store_module.Unavailable):
            return reply
        answer, sent = reply
        if answer.gone:
            return self._reject(peer, 'it knows nothing')
        if answer.end < min_end:
            return self._reject(peer, f'it ends at {answer.end}')
        rows = read_rows(answer)
        return store_module.Newest(rows, answer.end, sent - answer.age)

    def _reject(self, peer, reason):
        """Leave a box whose answer is of no use."""
        self._shun(peer, reason)
        return store_module.Unavailable(f'{peer.name}: {reason}', False)

    def _shun(self, peer, reason):
        if not self._hub.peering.is_shunned(peer.name):
            self._hub.peering.shun(peer.name, reason)

    async def _fetch(self, peer, path, query, hold_s):
        """Ask a box until it answers or is left.

        Returns
        -------
        tuple of (Relayed, float) or store.Unavailable
            The answer, and when it was asked for.
        """
        sent = self._hub.clock()
        asking = self._ask(peer, path, query, hold_s)
        try:
            answer = await self._wait(peer.name, asking)
        except boxcalls.NoAnswer as error:
            return store_module.Unavailable(f'{peer.name}: {error}', False)
        if answer is None:
            return store_module.Unavailable(f'{peer.name}: left', False)
        if answer.cut:
            # What it has is good, but the next one is asked from here on.
            self.failed_at = self._hub.clock()
            self._shun(peer, 'the store fails it')
        return answer, sent

    async def _wait(self, name, asking):
        """Wait for an answer; None where its source is left before it."""
        call = asyncio.ensure_future(asking)
        try:
            await asyncio.wait(
                {call, self._get_leaving(name)},
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
            timeout=hold_s + ANSWER_S,
        )

    def _get_leaving(self, name):
        """Give the future that ends when the source of this name is left."""
        leaving = self._leaving.get(name)
        if leaving is None:
            leaving = asyncio.get_running_loop().create_future()
            self._leaving[name] = leaving
        return leaving


def read_rows(answer):
    """Give the tail.Record in an answer of another box."""
    return tuple(tail_module.Record(*row) for row in answer.records)


class RecordServer:
    """Answers the boxes that read from this one.

    Parameters
    ----------
    is_cut : callable
        Tells whether the store failed this box shortly before.
    clock : callable, optional
        Gives monotonic seconds.

    Attributes
    ----------
    relayed_bytes : int
        Bytes of keys and values that other boxes were answered.
    """

    def __init__(self, is_cut, clock=boot_clock.read):
        self.relayed_bytes = 0
        self._is_cut = is_cut
        self._clock = clock
        self._tails = {}
        self._changed = {}

    def add(self, topic, tail):
        """RecordServer a topic."""
        self._tails[topic] = tail
        self._changed[topic] = asyncio.Event()

    def wake(self, topic):
        """Answer the reads that are held, since there is something new."""
        self._changed[topic].set()
        self._changed[topic] = asyncio.Event()

    def wake_all(self):
        """Answer all reads that are held, since this box is cut off."""
        for topic in self._changed:
            self.wake(topic)

    async def answer_records(self, request, exchange):
        """Answer a read of records."""
        topic = request.query.get('topic', '')
        tail = self._tails.get(topic)
        if tail is None or tail.end is None:
            await self._send(exchange, tail, None)
            return
        start = int(request.query['from'])
        if start >= tail.end and not self._is_cut():
            await self._hold(topic, float(request.query['hold']))
        await self._send(exchange, tail, tail.read(start))

    async def answer_newest(self, request, exchange):
        """Answer a read of the newest of each key."""
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
