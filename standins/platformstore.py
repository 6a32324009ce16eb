"""Stand-in for the platform's store, by its published protocol.

Keyed topics with one partition: append (with `at`), held reads, the newest
of each key, 410 for what was dropped or is not there.  Tests switch its
faults: it may also be away, and come back from a copy.
"""

import asyncio
import base64
import json
import struct
import typing

from landingspool import http_server
from landingspool.platform import names
from landingspool.platform import store as protocol


# Of an answer where the reader names no size, in KB.
MAX_KB = 1024
# Topics whose writers write again what the store has lost.
REWRITTEN_TOPICS = names.PUBLISHED_TOPIC, names.TARGETS_TOPIC


class Copy(typing.NamedTuple):
    """The content of one topic at some time."""

    first: int
    records: tuple
    newest: dict


class Topic:
    """One keyed topic."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    @property
    def end(self):
        """The offset after the last record."""
        return self.first + len(self.records)

    def append(self, key, value):
        """Append one record; returns its offset."""
        offset = self.end
        self.records.append((key, value))
        self.newest[key] = value, offset
        self._wake()
        return offset

    def forget(self):
        """Drop all records; the newest of each key stay."""
        self.first = self.end
        self.records = []
        self._wake()

    def copy(self):
        """Return the Copy of its content."""
        return Copy(self.first, tuple(self.records), dict(self.newest))

    def restore(self, copy):
        """Put the content back to that of a Copy."""
        self.first = copy.first
        self.records = list(copy.records)
        self.newest = dict(copy.newest)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class PlatformStore:
    """The store.

    Parameters
    ----------
    topics : dict of str to Topic, optional
        Those of another one: both are then entrances to one store, and a
        fault of this one concerns only who comes in here.

    Attributes
    ----------
    mode : str
        '' works; 'busy' answers 503; 'silent' says nothing; 'lost' does
        what is asked and says nothing.
    delay_s : float
        Seconds that a call, and its answer, are on their way.
    turned_away : set of str
        Paths that are answered with 503 whatever the mode.
    is_open : bool
        Whether it listens.
    calls : list of tuple
        (method, path) of each call.
    """

    def __init__(self, topics=None):
        self.topics = {} if topics is None else topics
        self.mode = ''
        self.delay_s = 0.0
        self.is_open = False
        self.calls = []
        self.address = None
        self._server = http_server.Server(self._handle)

    async def start(self, host='127.0.0.1'):
        """Serve on a free port."""
        self.address = await self._server.start(host, 0)
        self.is_open = True

    async def close(self):
        """Stop."""
        await self._server.close()

    async def leave(self):
        """Stop listening, and reset all connections."""
        self.is_open = False
        await self._server.close()

    async def come_back(self):
        """Listen again at the same address."""
        self._server = http_server.Server(self._handle)
        await self._server.start(*self.address)
        self.is_open = True

    def copy(self):
        """Return the Copy of each topic, by its name."""
        return {name: topic.copy() for name, topic in self.topics.items()}

    def restore(self, copies):
        """Lose what was written since copies were taken.

        What operators and targets wrote since is written again.
        """
        for name, topic in self.topics.items():
            lost = topic.newest
            topic.restore(copies.get(name, EMPTY_COPY))
            if name in REWRITTEN_TOPICS:
                rewrite(topic, lost)

    def topic(self, name):
        """Give a topic, made at first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write what an operator or a target writes."""
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        return self.topic(topic).append(key, data)

    async def _handle(self, request, exchange):
        self.calls.append((request.method, request.path))
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
            exchange = Delayed(exchange, self.delay_s)
        if self.mode == 'busy':
            await exchange.send_json(503, {})
            return
        if self.mode == 'silent':
            await asyncio.sleep(60)
        if self.mode == 'lost' and request.method == 'POST':
            await self._answer(request, Dropped())
            await asyncio.sleep(60)
        await self._answer(request, exchange)

    async def _answer(self, request, exchange):
        topic = self.topic(request.query['topic'])
        await CALLS[request.path](self, topic, request, exchange)

    async def _append(self, topic, request, exchange):
        at = request.query.get('at')
        if at is not None and int(at) != topic.end:
            await exchange.send_json(412, {'end': topic.end})
            return
        offset = topic.end
        for key, value in protocol.split_records(request.body):
            topic.append(key, value)
        await exchange.send_json(200, {'offset': offset, 'end': topic.end})

    async def _read(self, topic, request, exchange):
        start = int(request.query['from'])
        if not topic.first <= start <= topic.end:
            await exchange.send_json(410, {'first': topic.first})
            return
        if start >= topic.end:
            hold = int(request.query.get('wait_ms', 0)) / 1000
            changed = topic.changed
            try:
                await asyncio.wait_for(changed.wait(), hold)
            except TimeoutError:
                pass
        if self.mode == 'silent':
            # What is held when the store falls silent stays unanswered.
            await asyncio.sleep(60)
        if self.mode == 'busy':
            await exchange.send_json(503, {})
            return
        if start < topic.first:
            await exchange.send_json(410, {'first': topic.first})
            return
        most_bytes = int(request.query.get('max_kb', MAX_KB)) * 1024
        body = struct.pack('>QQ', topic.end, topic.first)
        for key, value in topic.records[start - topic.first :]:
            record = protocol.pack_record(key, value)
            if len(body) > protocol.LOG_BOUNDS.size and (
                len(body) + len(record) > most_bytes
            ):
                break
            body += record
        await exchange.send_body(200, body, 'application/octet-stream')

    async def _newest(self, topic, request, exchange):
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (value, offset) in topic.newest.items()
        ]
        page = {'items': items, 'more': False, 'end': topic.end}
        await exchange.send_json(200, page)


def rewrite(topic, newest):
    """Append the newest records of keys again, as far as they are lost.

    Parameters
    ----------
    topic : Topic
    newest : dict
        Value and offset of the newest record of each key.
    """
    ranked = sorted(newest.items(), key=lambda row: row[1][1])
    for key, (value, _) in ranked:
        if topic.newest.get(key, (None, 0))[0] != value:
            topic.append(key, value)


class Delayed:
    """Sends an answer that is on its way for some seconds."""

    def __init__(self, exchange, seconds):
        self._exchange = exchange
        self._seconds = seconds

    async def send_json(self, status, value):
        """Send a JSON answer late."""
        await asyncio.sleep(self._seconds)
        await self._exchange.send_json(status, value)

    async def send_body(self, status, body, kind):
        """Send an answer late."""
        await asyncio.sleep(self._seconds)
        await self._exchange.send_body(status, body, kind)


class Dropped:
    """Takes an answer that nobody gets."""

    async def send_json(self, status, value):
        """Drop a JSON answer."""

    async def send_body(self, status, body, kind):
        """Drop an answer."""


EMPTY_COPY = Copy(0, (), {})
CALLS = {
    '/api/log-append': PlatformStore._append,
    '/api/log-read': PlatformStore._read,
    '/api/log-newest': PlatformStore._newest,
}
