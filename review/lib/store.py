"""Stand-in for the platform's store: a log of keyed topics.

It follows PROTOCOL.md ("The platform's metadata store") for the calls that the
boxes make, and the eighth letter for the drill: the store is away for a moment
and comes back from a copy that is some seconds old.
"""

import asyncio
import base64
import copy
import json
import struct
import time

from lib import http11

LENGTH = struct.Struct('>I')
BOUNDS = struct.Struct('>QQ')
# Seconds for an answer, as the sheets say.
ANSWER_S = 0.004
COPY_PERIOD_S = 0.25
MAX_COPIES = 80


class Topic:
    """One topic with its only partition."""

    def __init__(self):
        self.records = []

    @property
    def end(self):
        """Offset after the last record."""
        return len(self.records)

    def list_newest(self):
        """Return the newest (key, value, offset) of each key."""
        rows = {key: (v, at) for at, (key, v) in enumerate(self.records)}
        return [(key, *row) for key, row in rows.items()]


class Store:
    """The store, with its faults.

    Attributes
    ----------
    era : int
        Value of the header Store-Era.
    is_away : bool
        Whether it refuses all connections.
    """

    def __init__(self):
        self.topics = {}
        self.era = 1
        self.is_away = False
        self.address = None
        self._copies = []
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()
        self._copying = None

    async def start(self, host='127.0.0.1', port=0):
        """Serve on a port, a free one by default."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._copying = self._copying or asyncio.ensure_future(self._copy())

    async def go_away(self):
        """Close all connections and refuse new ones."""
        self.is_away = True
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def come_back(self, age_s):
        """Serve again, from the copy that is `age_s` old.

        Returns
        -------
        dict
            The records that are gone, by topic.
        """
        limit = time.monotonic() - age_s
        _, topics = max(row for row in self._copies if row[0] <= limit)
        gone = {
            name: topic.records[len(topics.get(name, ())) :]
            for name, topic in self.topics.items()
        }
        self.topics = {}
        for name, records in topics.items():
            self.get_topic(name).records = list(records)
        self.era += 1
        self.is_away = False
        await self.start(*self.address)
        return gone

    async def close(self):
        """Stop."""
        self._copying.cancel()
        await self.go_away()

    def get_topic(self, name):
        """Return a topic, created at first use."""
        return self.topics.setdefault(name, Topic())

    def append(self, name, key, value):
        """Append one record; return its offset."""
        topic = self.get_topic(name)
        topic.records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return topic.end - 1

    def put(self, name, key, value):
        """Write what an operator or a runner writes, as JSON."""
        return self.append(name, key, json.dumps(value).encode())

    async def _copy(self):
        while True:
            if not self.is_away:
                rows = {n: list(t.records) for n, t in self.topics.items()}
                self._copies.append((time.monotonic(), copy.copy(rows)))
                del self._copies[:-MAX_COPIES]
            await asyncio.sleep(COPY_PERIOD_S)

    async def _serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while request := await http11.read_request(reader):
                await asyncio.sleep(ANSWER_S)
                status, body = await self._answer(request)
                rows = [('Store-Era', self.era)]
                http11.write_response(writer, status, body, rows)
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The box has left, or the case is over.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        query = request.query
        topic = self.get_topic(query['topic'])
        if request.path == '/api/log-append':
            return self._append(topic, query, request.body)
        if request.path == '/api/log-read':
            return await self._read(query)
        if request.path == '/api/log-newest':
            return self._newest(topic, query)
        return 404, b'{}'

    def _append(self, topic, query, body):
        if 'at' in query and int(query['at']) != topic.end:
            return 412, json.dumps({'end': topic.end}).encode()
        first = topic.end
        for key, value in split_records(body):
            self.append(query['topic'], key, value)
        answer = {'offset': first, 'end': topic.end}
        return 200, json.dumps(answer).encode()

    async def _read(self, query):
        start, name = int(query['from']), query['topic']
        deadline = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            topic = self.get_topic(name)
            if start > topic.end:
                return 410, json.dumps({'first': 0}).encode()
            left_s = deadline - time.monotonic()
            if start < topic.end or left_s <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
        rows = b''.join(pack_record(*row) for row in topic.records[start:])
        return 200, BOUNDS.pack(topic.end, 0) + rows

    def _newest(self, topic, query):
        rows = sorted(topic.list_newest())
        rows = [row for row in rows if row[0] > query.get('after', '')]
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, value, offset in rows
            if value
        ]
        answer = {'items': items, 'more': False, 'end': topic.end}
        return 200, json.dumps(answer).encode()


def pack_record(key, value):
    """Frame one keyed record."""
    name = key.encode()
    data = bytes((len(name),)) + name + value
    return LENGTH.pack(len(data)) + data


def split_records(data):
    """Return the (key, value) pairs of framed records."""
    rows = []
    while data:
        (size,) = LENGTH.unpack_from(data)
        row, data = data[4 : 4 + size], data[4 + size :]
        rows.append((row[1 : 1 + row[0]].decode(), row[1 + row[0] :]))
    return rows
