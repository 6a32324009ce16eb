"""Stand-in for a model runner that takes orders to load weights.

It follows PROTOCOL.md: an order is refused with 412 below a fence that was
seen, with 409 while another one is under way or if `sequence` differs; a
report dates from some hundred milliseconds before.
"""

import asyncio
import collections
import json
import time

from lib import http11

BEAT_S = 1.2
LOAD_S = 1.3
REPORT_LAG_S = 0.3
MODEL = 'daka510000'


class Order:
    """An order that arrived."""

    def __init__(self, at, runner, body, status):
        self.at = at
        self.runner = runner
        self.holder = body.get('holder')
        self.fence = body.get('fence')
        self.version = body.get('version')
        self.status = status


class Engine:
    """One runner of a model service."""

    def __init__(self, name, zone, service, store, orders):
        self.name = name
        self.zone = zone
        self.service = service
        self.version = 1
        self.sequence = 0
        self.address = None
        self._fence = -1
        self._is_busy = False
        self._store = store
        self._orders = orders
        self._states = collections.deque(maxlen=64)
        self._server = None
        self._tasks = []

    async def start(self):
        """Serve on a free port and begin to write to the store."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._note()
        self._tasks.append(asyncio.ensure_future(self._beat()))

    async def close(self):
        """Stop."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def _note(self):
        """Note the state from now on, for reports that lag behind."""
        row = (time.monotonic(), self.version, self._is_busy, self.sequence)
        self._states.append(row)

    async def _beat(self):
        while True:
            if not self._store.is_away:
                self._store.put('keyed.servers', self.name, self._write())
            await asyncio.sleep(BEAT_S)

    def _write(self):
        return {
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 128,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'stage': 'both',
            'models': [{'name': MODEL, 'version': self.version}],
            'sequence': self.sequence,
        }

    async def _serve(self, reader, writer):
        try:
            while request := await http11.read_request(reader):
                status, answer = self._answer(request)
                rows = [('Content-Type', 'application/json')]
                body = json.dumps(answer).encode()
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
            writer.close()

    def _answer(self, request):
        if request.path == '/api/order':
            return self._take_order(request)
        if request.path == '/api/report':
            return 200, self._report()
        if request.path == '/api/kv-events':
            empty = {'epoch': 1, 'next_token': 0, 'lost': False}
            return 200, {**empty, 'events': [], 'clock_ms': 1000.0}
        if request.path == '/api/kv-list':
            return 200, {'epoch': 1, 'next_token': 0, 'held': []}
        return 503, {}

    def _report(self):
        limit = time.monotonic() - REPORT_LAG_S
        past = [row for row in self._states if row[0] <= limit]
        _, version, is_busy, sequence = (past or self._states)[
            -1 if past else 0
        ]
        models = [{'name': MODEL, 'version': version, 'adapters': []}]
        return {
            'stage': 'both',
            'models': models,
            'busy': is_busy,
            'sequence': sequence,
            'queue_depth': 0,
            'active_requests': 0,
            'kv_used': 0,
            'kv_total': 179305,
            'handles': 0,
        }

    def _take_order(self, request):
        body = json.loads(request.body)
        status = self._judge(request, body)
        order = Order(time.monotonic(), self.name, body, status)
        self._orders.append(order)
        if status in (200, 202):
            self._fence = max(self._fence, body['fence'])
            self.sequence += 1
        if status == 202:
            self._is_busy = True
            work = asyncio.ensure_future(self._load(body['version']))
            self._tasks.append(work)
        self._note()
        return status, {}

    def _judge(self, request, body):
        wanted = request.headers.get('x-landingspool-expect-instance')
        if wanted not in (None, self.name):
            return 421
        if body.get('op') != 'version' or 'holder' not in body:
            return 400
        if body['fence'] < self._fence:
            return 412
        if self._is_busy or body.get('expected', self.sequence) != (
            self.sequence
        ):
            return 409
        return 200 if body['version'] == self.version else 202

    async def _load(self, version):
        await asyncio.sleep(LOAD_S)
        self.version = version
        self._is_busy = False
        self._note()
        if not self._store.is_away:
            self._store.put('keyed.servers', self.name, self._write())
