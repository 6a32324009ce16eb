"""Stand-in for a model engine.

It batches continuously, caches prompt prefixes in limited memory, honours
priorities, resumes and cancels streams, exports and imports kept context,
reports its load with a lag and its cache events late and with gaps, and
takes fenced orders.  Its audit says what it really ran, with which
context, made for whom and under which version.
"""

import asyncio
import base64
import collections
import hashlib
import heapq
import itertools
import json
import random

from landingspool import http
from landingspool import httpclient
from standins import service

PIECE_BYTES = 8000
PIECE_TOKENS = 2000
RUN_KEPT_S = 20.0
EVENT_LAG_S = 0.5
EVENT_LOSS = 0.1


class Run:
    """One request in the batch; its tokens stay for a resume."""

    def __init__(self, request):
        self.request = request
        self.tokens = []
        self.ended = None
        self.cancelled = False
        self.changed = asyncio.Event()

    def add(self, token):
        """Add a token and wake the streams that wait for it."""
        self.tokens.append(token)
        self.wake()

    def wake(self):
        """Wake all streams of this run."""
        self.changed.set()
        self.changed = asyncio.Event()


class Gate:
    """Lets `places` in at a time, the highest priority first."""

    def __init__(self, places):
        self.places = places
        self.waiting = []
        self.count = itertools.count()

    async def enter(self, priority):
        """Wait for a place."""
        if self.places > 0:
            self.places -= 1
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (-priority, next(self.count), turn))
        await turn

    def leave(self):
        """Give the place to the next."""
        while self.waiting:
            turn = heapq.heappop(self.waiting)[2]
            if not turn.done():
                turn.set_result(None)
                return
        self.places += 1


class Engine(service.Standin):
    """One runner of a model."""

    def __init__(self, options):
        super().__init__(options)
        self.version = options.version
        self.ready = True
        self.leaving = False
        self.epoch = -1
        self.mode = 'up'
        self.slowness = 1.0
        self.slots = Gate(options.slots)
        self.prefills = Gate(1)
        self.running = 0
        self.most_running = 0
        self.queued = 0
        self.runs = {}
        self.cache = collections.OrderedDict()
        self.imports = {}
        self.events = []
        self.event_number = 0
        self.reports = collections.deque()
        self.client = httpclient.Client()
        self.rng = random.Random(options.seed)
        self.log = []
        self.orders = []
        self.bad = []

    @service.route('Engine', 'POST', '/v1/completions')
    async def complete(self, request, exchange):
        """Run a request and stream its tokens."""
        value = request.json()
        reason = self.refuse(value)
        if self.mode == 'broken':
            exchange.abort()
            return
        if reason:
            reply = {'started': False, 'reason': reason}
            await exchange.send_json(503, reply)
            return
        run = Run(value)
        self.runs[value['request']] = run
        asyncio.ensure_future(self.work(run))
        await self.stream(run, 0, exchange)

    def refuse(self, value):
        """Give why a request is not started, or None."""
        if self.leaving:
            return 'leaving'
        if not self.ready or value.get('version') != self.version:
            return 'version'
        if self.running >= self.options.slots * 2:
            return 'full'
        return None

    async def work(self, run):
        """Prefill, then decode token by token."""
        value = run.request
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        cached = self.use_context(value)
        prompt = max(1, len(value['prompt']) // 4)
        compute = max(prompt - cached, 0)
        entry = {'request': value['request'], 'cached': cached}
        entry['workspace'], entry['version'] = value['salt'], self.version
        entry['at'] = service.now()
        self.log.append(entry)
        self.queued += compute
        version = self.version
        priority = value.get('priority', 0)
        await self.slots.enter(priority)
        await self.prefills.enter(priority)
        if not run.cancelled:
            rate = self.options.prefill / self.slowness
            await asyncio.sleep(compute / rate)
            self.fill_cache(value, version)
        self.prefills.leave()
        self.queued -= compute
        digest = hashlib.blake2b(value['prompt'].encode(), digest_size=4)
        for index in range(value['max_tokens']):
            if run.cancelled:
                break
            run.add(f'{digest.hexdigest()}-{index} ')
            await asyncio.sleep(self.options.step * self.slowness)
        run.ended = {
            'end': True,
            'prompt_tokens': prompt,
            'cached_tokens': cached,
            'output_tokens': len(run.tokens),
            'version': version,
        }
        run.wake()
        self.running -= 1
        self.slots.leave()
        await asyncio.sleep(RUN_KEPT_S)
        self.runs.pop(value['request'], None)

    async def stream(self, run, start, exchange):
        """Send the tokens of a run from `start` on, then its end."""
        await exchange.start_stream()
        index = start
        while True:
            changed = run.changed
            while index < len(run.tokens):
                event = {'index': index, 'text': run.tokens[index]}
                await exchange.send_event(event)
                index += 1
                if self.mode == 'cut' and index >= 3:
                    exchange.abort()
                    return
            if run.ended is not None:
                break
            await changed.wait()
        await exchange.send_event(run.ended)
        await exchange.finish()

    @service.route('Engine', 'POST', '/resume')
    async def resume(self, request, exchange):
        """Stream a run again from the token after the last one had."""
        value = request.json()
        run = self.runs.get(value['request'])
        if run is None:
            await exchange.send_json(404, {'error': 'no such run'})
            return
        await self.stream(run, value['after'], exchange)

    @service.route('Engine', 'POST', '/cancel')
    async def cancel(self, request, exchange):
        """Cancel a run."""
        run = self.runs.get(request.json()['request'])
        if run is not None:
            run.cancelled = True
        await exchange.send_json(200, {'found': run is not None})

    def use_context(self, value):
        """Take the leading pieces that are cached or were imported."""
        for name in value.get('use', ()):
            self.take_import(name, value)
        salt, digests = value['salt'], digest_prompt(value['prompt'])
        count = 0
        for piece, digest in zip(value['pieces'], digests):
            made = self.cache.get(piece)
            if made is None or made['version'] != self.version:
                break
            mine = {'salt': salt, 'version': self.version, 'digest': digest}
            if made != mine:
                self.bad.append({'request': value['request'], 'made': made})
            self.cache.move_to_end(piece)
            count += 1
        return count * PIECE_TOKENS

    def take_import(self, name, value):
        """Put imported context into the cache, as the request says."""
        found = self.imports.pop(name, None)
        if found is None:
            return
        made = read_block(found['data'])
        if made is None or not found['sealed']:
            self.bad.append({'request': value['request'], 'import': name})
            return
        self.put(found['piece'], made)

    def fill_cache(self, value, version):
        """Cache the pieces of a prompt that was worked on."""
        digests = digest_prompt(value['prompt'])
        for piece, digest in zip(value['pieces'], digests):
            made = {'salt': value['salt'], 'version': version}
            self.put(piece, {**made, 'digest': digest})

    def put(self, piece, made):
        """Cache a piece and drop the least recently used ones."""
        if piece not in self.cache:
            self.record_event('stored', piece)
        self.cache[piece] = made
        self.cache.move_to_end(piece)
        while len(self.cache) > self.options.cache:
            gone, _ = self.cache.popitem(last=False)
            self.record_event('removed', gone)

    def record_event(self, kind, piece):
        """Note a cache event; some are lost and leave a gap."""
        self.event_number += 1
        if self.rng.random() < EVENT_LOSS:
            return
        row = {'number': self.event_number, 'kind': kind, 'piece': piece}
        self.events.append((service.now() + EVENT_LAG_S, row))
        del self.events[:-1000]

    @service.route('Engine', 'GET', '/events')
    async def list_events(self, request, exchange):
        """Give the cache events after a number, late."""
        after = int(request.query.get('after', 0))
        now = service.now()
        rows = [
            row
            for due, row in self.events
            if due <= now and row['number'] > after
        ]
        await exchange.send_json(200, {'events': rows[:500]})

    @service.route('Engine', 'POST', '/kv/export')
    async def export_context(self, request, exchange):
        """Write a cached piece to a store; the seal comes last."""
        value = request.json()
        made = self.cache.get(value['piece'])
        if made is None or made['version'] != value['version']:
            await exchange.send_json(404, {'error': 'not cached'})
            return
        data = write_block(made, self.options.block)
        store = http.Address(value['host'], value['port'])
        half = len(data) // 2
        steps = (
            ('/begin', {'write': value['write'], 'meta': value['meta']}),
            (f'/part?write={value["write"]}', data[:half]),
            (f'/part?write={value["write"]}', data[half:]),
            (f'/seal?write={value["write"]}', None),
        )
        for path, body in steps:
            try:
                reply = await self.client.fetch(
                    store, 'POST', path, body, timeout=20.0
                )
            except http.Unreachable:
                reply = http.Response(502, {}, b'')
            if reply.status != 200:
                await exchange.send_json(502, {'error': path})
                return
        await exchange.send_json(200, reply.json())

    @service.route('Engine', 'POST', '/kv/import')
    async def import_context(self, request, exchange):
        """Read a block from a store and say what was received."""
        value = request.json()
        store = http.Address(value['host'], value['port'])
        path = f'/read?write={value["write"]}'
        try:
            reply = await self.client.fetch(store, 'GET', path, timeout=20.0)
        except http.Unreachable as error:
            await exchange.send_json(502, {'error': str(error)})
            return
        if reply.status != 200:
            await exchange.send_json(404, {'error': 'not there'})
            return
        got = reply.json()
        data = base64.b64decode(got['data'])
        self.imports[value['import']] = {
            'data': data,
            'sealed': got['sealed'],
            'piece': value['piece'],
        }
        receipt = {
            'key': got['key'],
            'write': got['write'],
            'length': len(data),
            'checksum': hashlib.blake2b(data, digest_size=16).hexdigest(),
            'sealed': got['sealed'],
        }
        await exchange.send_json(200, receipt)

    @service.route('Engine', 'GET', '/load')
    async def load(self, request, exchange):
        """Give the load report as it was `lag` seconds ago."""
        now = service.now()
        self.reports.append((now, self.measure()))
        while len(self.reports) > 1:
            if now - self.reports[1][0] < self.options.lag:
                break
            self.reports.popleft()
        made, report = self.reports[0]
        report = {**report, 'leaving': self.leaving, 'age': now - made}
        await exchange.send_json(200, report)

    def measure(self):
        """Give the load as it is now."""
        return {
            'incarnation': self.options.incarnation,
            'slots': self.options.slots,
            'running': self.running,
            'queued_tokens': self.queued,
            'prefill': self.options.prefill,
            'step': self.options.step,
            'version': self.version,
            'ready': self.ready,
        }

    @service.route('Engine', 'POST', '/orders')
    async def order(self, request, exchange):
        """Take an order: load a version.  A checking engine fences it."""
        value = request.json()
        if self.options.checks and value['epoch'] < self.epoch:
            await exchange.send_json(409, {'epoch': self.epoch})
            return
        self.orders.append((value['epoch'], value['version']))
        self.epoch = value['epoch']
        if value['version'] != self.version and self.ready:
            asyncio.ensure_future(self.swap(value['version']))
        await exchange.send_json(200, {'epoch': self.epoch})

    async def swap(self, version):
        """Load other weights; runs go on, nothing new is started."""
        self.ready = False
        if self.options.weights:
            host, port = self.options.weights.split(':')
            path = f'/load?version={version}'
            address = http.Address(host, int(port))
            while not await self.load_weights(address, path):
                await asyncio.sleep(0.5)
        self.version = version
        self.ready = True

    async def load_weights(self, address, path):
        """Read weights; returns whether they came."""
        try:
            await self.client.fetch(address, 'GET', path, timeout=60.0)
        except http.Unreachable:
            return False
        return True

    @service.route('Engine', 'GET', '/audit')
    async def audit(self, request, exchange):
        """Give what was really run and used."""
        reply = {
            'runs': self.log,
            'bad': self.bad,
            'orders': self.orders,
            'version': self.version,
            'most_running': self.most_running,
        }
        await exchange.send_json(200, reply)

    @service.route('Engine', 'POST', '/switch')
    async def switch(self, request, exchange):
        """Set the mode, the slowness, the lag or the leaving mark."""
        value = request.json()
        self.mode = value.get('mode', self.mode)
        self.slowness = value.get('slowness', self.slowness)
        self.leaving = value.get('leaving', self.leaving)
        self.options.lag = value.get('lag', self.options.lag)
        await exchange.send_json(200, {})


def digest_prompt(prompt):
    """Give a digest of each prefix of whole pieces of a prompt."""
    data = prompt.encode()
    ends = range(PIECE_BYTES, len(data) + 1, PIECE_BYTES)
    running = hashlib.blake2b(digest_size=8)
    digests = []
    for end in ends:
        running.update(data[end - PIECE_BYTES : end])
        digests.append(running.hexdigest())
    return digests


def write_block(made, size):
    """Give the bytes of a block: what it is, its size and a filling."""
    head = json.dumps(made, sort_keys=True).encode()
    filling = hashlib.blake2b(head).digest()
    body = filling * (size // len(filling))
    return len(head).to_bytes(4, 'big') + head + body


def read_block(data):
    """Give what a block is, or None where its bytes are not whole."""
    size = int.from_bytes(data[:4], 'big')
    try:
        made = json.loads(data[4 : 4 + size])
    except ValueError:
        return None
    body = len(data) - 4 - size
    return made if write_block(made, body) == data and body > 0 else None


if __name__ == '__main__':
    service.main(
        Engine,
        ('slots', 4),
        ('prefill', 40_000.0),
        ('step', 0.005),
        ('cache', 64),
        ('block', 65536),
        ('lag', 0.3),
        ('version', 'v1'),
        ('incarnation', 'e1'),
        ('checks', 1),
        ('weights', ''),
        ('seed', 1),
    )
