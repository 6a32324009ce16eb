"""New weights of one model; kept parts of another are freed while in use.

The name of the other model begins with that of the first and a dot.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib_2'))

import client as client_module  # noqa: E402
import runner as runner_module  # noqa: E402
import scene as scene_module  # noqa: E402

# Whether the script plays its disruption.
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
SERVICE = 'huvo11a'
# The model that gets new weights, and the one whose requests are judged.
CHANGED, USED = 'daka-5', 'daka-5.1'
# A load of new weights, and a token, at the site.
LOAD_S = 1.3
TOKEN_BYTES = 35136
STORE_MBPS = 130000.0
STORE_FIRST_S = 0.006
STORE_TOKENS = 1568108
# Tokens of a runner's own memory, which it takes in blocks.
RUNNER_TOKENS, BLOCK_TOKENS = 179305, 16
# The shared parts that prompts begin with, by subject: id and tokens.  There
# are as many subjects as at the site.
SUBJECTS = [(('5c1e07a2', 512), (f'91bd{n:04x}', 8610)) for n in range(326)]
# Seconds after the start at which new weights are named, and for which the
# script sends requests.
NAMED_S, PLAYED_S = 8.0, 40.0
CLIENTS = 30
PERIOD_S = 0.4
# The zone of the stores; a move to another zone takes twice as long.
STORE_ZONE = 'cordon'
STORES = 'ficu72g', 'lovo22d'
ROUTES = [
    {
        'name': 'r-2xp4zhp',
        'host': scene_module.HOST,
        'path_prefix': '/puxa400/',
        'kind': 'streaming',
        'timeout_ms': 15000,
        'target_latency_ms': 600,
        'priority': 2,
        'service': SERVICE,
        'max_attempts': 1,
        'allow_anonymous': False,
        'session_affinity': True,
        'resumable': False,
        'gap_aim_ms': 300,
    }
]
TENANTS = [{'name': 'bozi300', 'api_keys': [scene_module.KEY], 'priority': 1}]


def list_services(stores):
    """Return the services of the configuration."""
    engine = {
        'slots': 128,
        'kv_capacity': RUNNER_TOKENS,
        'token_kv_bytes': TOKEN_BYTES,
        'link_mbps': 1100000.0,
        'managed': True,
        'max_in_flight': 12,
        'models': [{'name': CHANGED}, {'name': USED}],
    }
    return [
        {
            'name': SERVICE,
            'health_path': '/healthz',
            'max_connections': 610,
            'protocol': 'h1',
            'tls': False,
            'engine': engine,
        },
        *(
            {
                'name': name,
                'kv_store_addr': store.name,
                'zone': STORE_ZONE,
                'kv_capacity': STORE_TOKENS,
                'link_mbps': STORE_MBPS,
                'max_in_flight': 12,
                'managed': True,
                'first_ms': STORE_FIRST_S * 1000,
            }
            for name, store in zip(STORES, stores, strict=True)
        ),
    ]


def read_clock_ms():
    """Return the runners' clock."""
    return time.monotonic() * 1000


class Store:
    """A managed store of kept parts."""

    def __init__(self, scene):
        self.scene = scene
        self.address = None
        self.epoch = 77120
        # Moves run one after another.
        self._link = asyncio.Lock()
        # Tokens by (salt, id): of whole parts, and of those under write.
        self.whole = {}
        self.written = {}
        # The requests that fetch a part at present, by (salt, id).
        self.fetching = {}
        self.freed = []
        self.fetched = 0
        # Fetches that had not ended when their part was freed.
        self.spoilt = []
        self._events = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, ip):
        """Serve on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    @property
    def name(self):
        """Its address as the configuration names it."""
        host, port = self.address
        return f'{host}:{port}'

    async def close(self):
        """Stop."""
        self._server.close()

    def find(self, key, tokens):
        """Return whether a part is there, whole."""
        return self.whole.get(key, 0) >= tokens

    async def fetch(self, key, tokens, runner, name):
        """Send a part to a runner; returns whether it was whole all along.

        One that is gone when its turn on the link comes is a miss, after which
        the runner reads the part itself.
        """
        async with self._link:
            if not self.find(key, tokens):
                return True
            requests = self.fetching.setdefault(key, set())
            requests.add(name)
            await asyncio.sleep(compute_move_s(tokens, runner))
            requests.discard(name)
        self.fetched += 1
        return (key, name) not in self.spoilt

    async def save(self, key, tokens, runner):
        """Take a part from a runner, if there is room for it."""
        room = STORE_TOKENS - sum(self.whole.values())
        room -= sum(self.written.values())
        if key in self.whole or key in self.written or tokens > room:
            return
        self.written[key] = tokens
        async with self._link:
            await asyncio.sleep(compute_move_s(tokens, runner))
        if self.written.pop(key, None) is not None:
            self.whole[key] = tokens
            self._tell('+', key, tokens)

    def free(self, keys):
        """Free parts at once, as the system orders."""
        for key in keys:
            if self.whole.pop(key, None) is None:
                self.written.pop(key, None)
                continue
            self._tell('-', key, 0)
            self.freed.append(key)
            users = self.fetching.get(key, set())
            self.scene.note(
                f'store: {key} is freed, while fetched for {sorted(users)}'
            )
            self.spoilt += [(key, name) for name in users]

    def _tell(self, sign, key, tokens):
        number = len(self._events) + 1
        self._events.append([number, sign, *key, tokens, USED])
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await runner_module.read_head(reader)
                body = await reader.readexactly(
                    int(head.get('content-length', 0))
                )
                status, value = await self._answer(head, body)
                data = json.dumps(value).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\ncontent-length: {len(data)}\r\n'
                    'content-type: application/json\r\n\r\n'.encode()
                    + data
                )
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, body):
        path, _, query = head['path'].partition('?')
        if path == '/api/kv-events':
            since = int(query.partition('=')[2])
            await self._wait(since, int(head.get('wait-ms', 0)) / 1000)
            return 200, {
                'epoch': self.epoch,
                'next_token': len(self._events),
                'lost': False,
                'events': self._events[since:],
                'clock_ms': read_clock_ms(),
            }
        if path == '/api/kv-list':
            return 200, {
                'epoch': self.epoch,
                'next_token': len(self._events),
                'held': [[*k, n, USED] for k, n in self.whole.items()],
                'partial': [[*k, 0, n] for k, n in self.written.items()],
            }
        if path == '/api/kv-free':
            call = json.loads(body)
            late = read_clock_ms() > call.get('until_ms', read_clock_ms())
            if call.get('epoch', self.epoch) != self.epoch or late:
                return 409, {}
            self.free([tuple(part) for part in call['parts']])
            return 200, {}
        return 404, {}

    async def _wait(self, since, seconds):
        if since < len(self._events) or not seconds:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return


def compute_move_s(tokens, runner):
    """Return the seconds that a move to or from a runner takes."""
    far = 1 if runner.zone == STORE_ZONE else 2
    bits = tokens * TOKEN_BYTES * 8
    return STORE_FIRST_S + far * bits / (STORE_MBPS * 1e6)


class ModelRunner(runner_module.Runner):
    """A model runner with two models, which fetches from the store."""

    def __init__(self, scene, zone, name, stores):
        super().__init__(scene, SERVICE, zone, name, USED, 128)
        self.versions = {CHANGED: 1, USED: 1}
        self.stores = {store.name: store for store in stores}
        self.sequence = 0
        self.busy = False
        # Tokens of the parts that it keeps, those used last at the end.
        self.own = collections.OrderedDict()
        # Ids of requests that went on from a part freed before its fetch had
        # ended.
        self.mixed = []

    def list_models(self):
        """Return the models as the runner tells of them."""
        return [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.versions.items()
        ]

    def make_entry(self, state):
        return {**super().make_entry(state), 'models': self.list_models()}

    def make_report(self):
        return {
            **super().make_report(),
            'models': self.list_models(),
            'busy': self.busy,
            'sequence': self.sequence,
        }

    def take_order(self, order):
        if self.busy or order['expected'] != self.sequence:
            return 409
        self.busy = True
        self.sequence += 1
        asyncio.get_running_loop().call_later(LOAD_S, self._load, order)
        return 202

    def _load(self, order):
        self.busy = False
        self.versions[order['model']] = order['version']
        self.scene.note(f'{self.name} has {self.versions}')
        self.scene.announce(self)

    def has_version(self, head):
        model = head.get('x-landingspool-model-name', '')
        version = head.get('expect-version')
        return version in (None, str(self.versions.get(model)))

    async def prepare(self, head, name):
        """Fetch what the head says beyond what is kept, and save parts."""
        rows = read_parts(head)
        missing = self._list_missing(rows)
        moves = [
            self.stores[address].fetch(*row, self, name)
            for row, address in zip(
                rows, list_addresses(head, 'kv-fetch', len(rows)), strict=True
            )
            if row in missing
            and address in self.stores
            and self.stores[address].find(*row)
        ]
        sound = await asyncio.gather(*moves)
        until_ms = float(head.get('kv-until', 'inf'))
        if not all(sound) and read_clock_ms() <= until_ms:
            self.mixed.append(name)
        self._keep(rows)
        for row, address in zip(
            rows, list_addresses(head, 'kv-save', len(rows)), strict=True
        ):
            if address in self.stores:
                save = self.stores[address].save(*row, self)
                self.scene.keep(asyncio.ensure_future(save))

    def _list_missing(self, rows):
        """List the parts from the first one on that isn't kept."""
        for number, (key, tokens) in enumerate(rows):
            if self.own.get(key, 0) < tokens:
                return rows[number:]
        return []

    def _keep(self, rows):
        """Keep parts; those unused longest give way."""
        for key, tokens in rows:
            self.own[key] = -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS
            self.own.move_to_end(key)
        while sum(self.own.values()) > RUNNER_TOKENS:
            self.own.popitem(last=False)


def read_parts(head):
    """Return ((salt, id), tokens) of each part of a prompt."""
    salt = head.get('cache-salt', '')
    rows = head['x-landingspool-prefix-hash'].split(',')
    pairs = [row.partition(':') for row in rows]
    return [((salt, part), int(tokens)) for part, _, tokens in pairs]


def list_addresses(head, name, count):
    """Return the address that a header names for each part, or ''."""
    if name not in head:
        return [''] * count
    return [text.replace('-', '') for text in head[name].split(',')]


async def send_on(scene, number, sent):
    """Send one prompt after another for the model that is judged."""
    box = scene.boxes[number % len(scene.boxes)]
    client = client_module.Client(box.front)
    count = 0
    while True:
        count += 1
        shared = random.choice(SUBJECTS)
        parts = ','.join(f'{part}:{tokens}' for part, tokens in shared)
        name = f'c{number}-{count}'
        answer = await client.ask(
            '/puxa400/2f',
            name,
            body=b'prompt',
            deadline_ms=15000,
            rows=(
                f'X-Landingspool-Model-Name: {USED}',
                'X-Landingspool-Token-Usage: 11992,64',
                f'X-Landingspool-Prefix-Hash: {parts},'
                f'{number:04x}{count:04x}:2870',
            ),
        )
        sent[name] = answer.status
        await asyncio.sleep(PERIOD_S)


async def play(scene):
    """Play the case; returns whether the rule was broken."""
    await scene.open()
    stores = [Store(scene) for _ in STORES]
    for number, store in enumerate(stores):
        await store.start(scene.make_ip(90 + number))
    zones = list(scene.zones)
    for number in range(5):
        runner = ModelRunner(
            scene, zones[number % len(zones)], f'i-7f3a91c{number}', stores
        )
        await scene.add_runner(runner)
    for model in (CHANGED, USED):
        named = {'model': model, 'version': 1}
        scene.store.put('keyed.op', f'version/{model}', named)
    scene.publish(ROUTES, list_services(stores), TENANTS)
    await scene.start_boxes()
    sent = {}
    works = [
        asyncio.ensure_future(send_on(scene, number, sent))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(NAMED_S)
    if IS_TROUBLED:
        named = {'model': CHANGED, 'version': 2}
        scene.store.put('keyed.op', f'version/{CHANGED}', named)
        scene.note(f'operator: version 2 of {CHANGED} is named')
    await asyncio.sleep(PLAYED_S - NAMED_S)
    for work in works:
        work.cancel()
    await asyncio.gather(*works, return_exceptions=True)
    for store in stores:
        await store.close()
    mixed = [name for runner in scene.runners for name in runner.mixed]
    served = sum(status == 200 for status in sent.values())
    scene.note(f'{served} of {len(sent)} requests for {USED} served')
    freed = sum(len(store.freed) for store in stores)
    fetched = sum(store.fetched for store in stores)
    scene.note(f'{fetched} parts of {USED} were fetched, {freed} were freed')
    scene.note(
        f'{len(mixed)} requests went on from a part that was freed before '
        f'its fetch had ended: {mixed}'
    )
    return bool(mixed)


scene_module.run_case(lambda: scene_module.Scene(FOLDER / 'record.txt'), play)
