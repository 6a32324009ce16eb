"""Answer the boxes that read the platform's topics from this one.

They read by the offsets of the store.  A topic that was rolled back is told
with its new records, so that they forget its former history as well.
"""

import asyncio
import typing

import msgspec

from landingspool import boot_clock
from landingspool.decisions import decoding
from landingspool.decisions.gateway import histories
from landingspool.decisions.gateway import tail as tail_module
from landingspool.gateway import boxcalls
from landingspool.gateway import sources

# Longest hold that another box may ask for, seconds.
MAX_HOLD_S = 60.0

Hold = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_HOLD_S)]


class Query(msgspec.Struct):
    """A read of records by another box.

    Attributes
    ----------
    start : int
        The first offset.
    hold : float
        Seconds for which it is held.
    age : float or None
        Seconds since that box began with the present history of the topic; one
        of an earlier version doesn't tell.
    """

    start: decoding.Count = msgspec.field(name='from')
    hold: Hold
    age: decoding.Age | None = None


def read_query(fields):
    """Decode the query of a read by another box.

    >>> read_query({'topic': 't', 'from': '7', 'hold': '0.5'})
    Query(start=7, hold=0.5, age=None)

    Raises
    ------
    ValueError
    """
    return msgspec.convert(fields, Query, strict=False)


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

    def get_known(self, topic):
        """Return the histories.Known of a topic."""
        return histories.make_known(self._tails.get(topic))

    def get_rolled_age(self, topic):
        """Return the seconds since a topic was rolled back, or None."""
        tail = self._tails.get(topic)
        return None if tail is None else self._get_rolled_age(tail)

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
        if tail is None or (tail.end is None and tail.rolled is None):
            await self._send(exchange, tail, None)
            return
        try:
            query = decoding.decode('query', read_query, request.query)
        except decoding.Malformed as error:
            await exchange.send_json(400, {'error': str(error)})
            return
        if self._has_nothing(tail, query) and not self._is_cut():
            await self._hold(topic, query.hold)
        await self._send(exchange, tail, tail.read(query.start))

    def _has_nothing(self, tail, query):
        """Return whether there is nothing to tell the box that asks yet."""
        if tail.end is None:
            # The topic was rolled back; what it has now is being read.
            return True
        if tail.rolled is not None and query.age is not None:
            known = histories.Known(began=self._clock() - query.age)
            if histories.is_later(known, tail.rolled):
                return False
        return query.start >= tail.end

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
            is_read = tail is not None and tail.end is not None
            end = tail.end if is_read else 0
            rolled = self._get_rolled_age(tail) if is_read else None
            answer = sources.Relayed([], end, 0.0, True, cut, rolled)
        else:
            age = self._clock() - tail.proved
            rows = [tuple(record) for record in found.records]
            rolled = self._get_rolled_age(tail)
            answer = sources.Relayed(
                rows, found.end, age, cut=cut, rolled=rolled
            )
            self.relayed_bytes += sum(
                len(record.key) + len(record.value) for record in found.records
            )
        value = msgspec.to_builtins(answer, builtin_types=[bytes])
        await boxcalls.answer(exchange, value)

    def _get_rolled_age(self, tail):
        """Return the seconds since a topic was rolled back, or None."""
        if tail.rolled is None:
            return None
        age_s = max(self._clock() - tail.rolled, 0.0)
        return min(age_s, decoding.MAX_SECONDS)
