"""Where a box reads the platform's topics: the store, or another box.

In a large domain few boxes read the store, and the others ask these for the
same records by the same offsets.  A read ends as soon as its box is left, so
that one that has failed holds nothing up.
"""

import asyncio
import time
from urllib import parse

import msgspec

from landingspool.decisions.gateway import readers
from landingspool.gateway import boxcalls
from landingspool.platform import store as store_module

RECORDS_PATH = '/records'
NEWEST_PATH = '/newest'
# Seconds for an answer beyond the hold; boxes of one domain are near.
ANSWER_S = 0.4


class Relayed(msgspec.Struct):
    """An answer of another box.

    `age` is that of its own proof, in seconds; `gone` that the records
    asked for are no longer there.
    """

    records: list
    end: int
    age: float
    gone: bool = False


class Sources:
    """Reads topics from the box or store that is to be read from.

    Parameters
    ----------
    hub
        The box's parts: `store`, `client`, `peering`, `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._leaving = {}

    def leave(self, name):
        """End what this box still asks of another one that has failed.

        A long hold would otherwise keep the news back that the other
        reader has.
        """
        leaving = self._leaving.pop(name, None)
        if leaving is not None:
            leaving.set_result(None)

    async def read(self, topic, start, hold_s):
        """Read records; the outcomes are those of store.Store.read."""
        peer = self._hub.peering.pick_reader()
        if peer is None:
            return await self._hub.store.read(topic, start, hold_s)
        query = {'topic': topic, 'from': start, 'hold': hold_s}
        reply = await self._fetch(peer, RECORDS_PATH, query, hold_s)
        if isinstance(reply, store_module.Unavailable):
            return reply
        answer, sent = reply
        if answer.gone:
            return store_module.Forgotten()
        if readers.is_stale(answer.age, hold_s):
            # It can't read itself; what it gave is good as far as it goes.
            reason = f'its word is {answer.age:.2f} s old'
            self._hub.peering.shun(peer.name, reason)
        rows = tuple((key, value) for key, value in answer.records)
        return store_module.Page(rows, answer.end, sent - answer.age)

    async def read_newest(self, topic):
        """Read the newest of each key; as store.Store.read_newest."""
        peer = self._hub.peering.pick_reader()
        if peer is None:
            return await self._hub.store.read_newest(topic)
        reply = await self._fetch(peer, NEWEST_PATH, {'topic': topic}, 0.0)
        if isinstance(reply, store_module.Unavailable):
            return reply
        answer, sent = reply
        if answer.gone:
            return store_module.Unavailable('the reader knows nothing', False)
        rows = tuple((key, value, at) for key, value, at in answer.records)
        return store_module.Newest(rows, answer.end, sent - answer.age)

    async def _fetch(self, peer, path, query, hold_s):
        """Ask a box until it answers or is left.

        Returns
        -------
        tuple of (Relayed, float) or store.Unavailable
            The answer, and when it was asked for.
        """
        sent = self._hub.clock()
        call = asyncio.ensure_future(self._ask(peer, path, query, hold_s))
        try:
            await asyncio.wait(
                {call, self._get_leaving(peer.name)},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not call.done():
                return store_module.Unavailable(f'{peer.name}: left', False)
            return call.result(), sent
        except boxcalls.NoAnswer as error:
            return store_module.Unavailable(f'{peer.name}: {error}', False)
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
        """Give the future that ends when the box of this name is left."""
        leaving = self._leaving.get(name)
        if leaving is None:
            leaving = asyncio.get_running_loop().create_future()
            self._leaving[name] = leaving
        return leaving


class Offer:
    """Answers the boxes that read from this one.

    Parameters
    ----------
    clock : callable, optional
        Gives monotonic seconds.

    Attributes
    ----------
    relayed_bytes : int
        Bytes of keys and values that other boxes were answered.
    """

    def __init__(self, clock=time.monotonic):
        self.relayed_bytes = 0
        self._clock = clock
        self._tails = {}
        self._changed = {}

    def add(self, topic, tail):
        """Offer a topic."""
        self._tails[topic] = tail
        self._changed[topic] = asyncio.Event()

    def wake(self, topic):
        """Answer the reads that are held, since there is something new."""
        self._changed[topic].set()
        self._changed[topic] = asyncio.Event()

    async def answer_records(self, request, exchange):
        """Answer a read of records."""
        topic = request.query.get('topic', '')
        tail = self._tails.get(topic)
        if tail is None or tail.end is None:
            await self._send(exchange, tail, None)
            return
        start = int(request.query['from'])
        if start == tail.end:
            await self._hold(topic, float(request.query['hold']))
        await self._send(exchange, tail, tail.read(start))

    async def answer_newest(self, request, exchange):
        """Answer a read of the newest of each key."""
        tail = self._tails.get(request.query.get('topic', ''))
        found = None
        if tail is not None and tail.end is not None:
            found = Relayed(list(tail.read_newest()), tail.end, 0.0)
        await self._send(exchange, tail, found)

    async def _hold(self, topic, hold_s):
        changed = self._changed[topic]
        try:
            async with asyncio.timeout(hold_s):
                await changed.wait()
        except TimeoutError:
            return

    async def _send(self, exchange, tail, found):
        if found is None:
            answer = Relayed([], 0, 0.0, gone=True)
        else:
            age = self._clock() - tail.proved
            answer = Relayed(list(found.records), found.end, age)
            self.relayed_bytes += sum(
                len(row[0]) + len(row[1]) for row in found.records
            )
        value = msgspec.to_builtins(answer, builtin_types=[bytes])
        await boxcalls.answer(exchange, value)
