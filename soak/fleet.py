"""The real programs as separate processes, and what stands around them."""

import asyncio
import contextlib
import dataclasses
import functools
import json
import math
import os
import pathlib
import signal
import subprocess
import sys
import time

from landingspool.platform import names
from soak import proxy
from standins import platformstore
from standins import runner as runner_module

HOST = 'h.example'
ROUTES = {
    'safe': ('safe', 2, 'plain', False),
    'unsafe': ('unsafe', 1, 'plain', False),
    'stream': ('streaming', 1, 'engine', False),
    'resumed': ('streaming', 2, 'engine', True),
    # Only its callers continue what breaks off.
    'taken': ('streaming', 1, 'engine', True),
}
RESUMABLE = 'resumed', 'taken'
# Seconds from taking a key away until nothing with it may run, from a new
# table until boxes in touch go by it, and from a planned stop until the
# process would be killed.
KEY_S = 5
TABLE_S = 2
GRACE_S = 4
# Seconds after a version of weights was named from which on nothing may begin
# on older ones.
VERSION_S = 12.0
# Boxes of a run: each in a domain of its own, or all in one that is large
# enough for some to read the store for the others.
# Versions of the targets' software, which serve side by side.
SOFTWARE = 'v1', 'v2'
# Body of a request that ends the engine that runs it.
FATAL = b'ends whoever runs it'
# Parts of prompts that end the engine that runs a request with one.
FATAL_PARTS = 'dead0', 'dead1'
SMALL = 3
LARGE = 7
# Widths of links that are drawn, Mbit/s: the narrowest and the widest that
# deployments have.
LINKS_MBPS = (5, 5, 10, 100)
# Memory of the machine of each box, as of the smallest site.
MEMORY_MB = 150
PORTS = {'front': 8000, 'ready': 8001, 'control': 8002}
SETTINGS = """
node = "{name}"
zone = "{domain}"
seeds = {seeds}
contracts = {contracts}
[listen]
front = "{ip}:{ports[front]}"
ready = "{ip}:{ports[ready]}"
control = "{ip}:{ports[control]}"
[bounds]
revoke_ms = {revoke_ms}
config_ms = {config_ms}
version_ms = {version_ms}
grace_s = {grace_s}
[limits]
link_mbps = {link_mbps}
memory_mb = {memory_mb}
[platform]
address = "{store}"
"""


@dataclasses.dataclass
class Hold:
    """A box that stood still, or a target behind a bad path, by its name."""

    name: str
    start: float
    end: float = math.inf


@dataclasses.dataclass
class Limited:
    """A target that named limits, from `since` until `ended`."""

    runner: runner_module.Runner
    since: float
    ended: float | None = None


class Box:
    """One process and its own way to the store."""

    def __init__(self, name, ip, store, folder):
        self.name = name
        self.ip = ip
        self.domain = f'd-{name}'
        self.link_mbps = LINKS_MBPS[0]
        self.contracts = ()
        self.version_s = VERSION_S
        self.process = None
        # When it was started, each time.
        self.starts = []
        # When it was sent which signal.
        self.signals = []
        self.wire = proxy.Proxy(store)
        self._folder = pathlib.Path(folder)
        self._path = self._folder / f'{self.name}.toml'

    @property
    def address(self):
        """Where callers connect."""
        return self.ip, PORTS['front']

    async def open(self, seeds):
        """Write the settings and start the process."""
        await self.wire.start()
        host, port = self.wire.address
        text = SETTINGS.format(
            name=self.name,
            domain=self.domain,
            link_mbps=self.link_mbps,
            memory_mb=MEMORY_MB,
            seeds=json.dumps(seeds),
            contracts=json.dumps(self.contracts),
            ip=self.ip,
            ports=PORTS,
            revoke_ms=KEY_S * 1000,
            config_ms=TABLE_S * 1000,
            version_ms=round(self.version_s * 1000),
            grace_s=GRACE_S,
            store=f'{host}:{port}',
        )
        self._path.write_text(text)
        self.start()

    def start(self):
        """Start the process, if none runs."""
        if self.process is not None and self.process.poll() is None:
            return
        self.starts.append(time.monotonic())
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'landingspool.platform'],
                stdout=log,
                stderr=log,
                env={**os.environ, names.SETTINGS_VARIABLE: str(self._path)},
            )

    def send(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.signals.append((time.monotonic(), number))
            os.kill(self.process.pid, number)

    def close(self):
        """End what this box started."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.wire.close()


class Fleet:
    """Boxes, targets and the store of one run.

    Parameters
    ----------
    contended : bool
        Whether callers compete for room, as the settings say.
    version_s : float
        Seconds within which targets have to have new weights.
    domains : int
        Failure domains of the boxes; 0: a number that is drawn.
    """

    def __init__(
        self,
        folder,
        subnet,
        contended=False,
        version_s=VERSION_S,
        domains=0,
    ):
        self.version_s = version_s
        self._domains = domains
        # When each version of the weights was named.
        self.named = {}
        self._contracts = (names.COMPETITION,) if contended else ()
        self.folder = folder
        self.subnet = subnet
        self.store = platformstore.PlatformStore()
        self.boxes = []
        self.runners = []
        self.wires = {}
        self.keys = {'k0': None, 'k1': None, 'k2': None}
        self.version = 0
        self.left = {}
        self.harms = []
        # When each box was last made to stand still, and when each that did
        # not end in its grace time was told to stop, by name.
        self.paused = {}
        self.overdue = {}
        # The targets that named limits, each time anew.
        self.limits = []
        self.holds = []
        # The holds in which sound targets were only silent.
        self.silences = []
        # The paths of requests that end their targets.
        self.ending = []
        # The returns of the store from copies, one at a time.
        self.returns = []
        self.returning = asyncio.Lock()
        # The most memory that each box had, bytes, where it was looked at.
        self.peaks = {}
        self.late = []

    @contextlib.contextmanager
    def harm(self, boxes=()):
        """Note for how long boxes were kept from the store, or still.

        Parameters
        ----------
        boxes : collection of str
            Their names; all where none is given.
        """
        row = [time.monotonic(), None, frozenset(boxes)]
        self.harms.append(row)
        try:
            yield
        finally:
            row[1] = time.monotonic()

    def list_boxes(self):
        """List the names of the boxes."""
        return [box.name for box in self.boxes]

    def has_started(self, name, start, end):
        """Tell whether a box was started in between."""
        times = [at for b in self.boxes if b.name == name for at in b.starts]
        return any(start <= at <= end for at in times)

    @contextlib.contextmanager
    def hold(self, name):
        """Note for how long a box stood still, or a target's path was bad."""
        row = Hold(name, time.monotonic())
        self.holds.append(row)
        try:
            yield row
        finally:
            row.end = time.monotonic()

    def was_held(self, name, start, end):
        """Tell whether a box or a target was held in between."""
        rows = [row for row in self.holds if row.name == name]
        return any(row.start <= end and start <= row.end for row in rows)

    async def open(self, rng):
        """Start everything, in a shape that is drawn."""
        large = rng.random() < 0.5 or self._domains > 0
        # An address of its own: nothing takes its port while it is away.
        await self.store.start(f'127.{self.subnet}.1.1')
        self.publish()
        for service in ('plain',) * 3 + ('engine',) * 4:
            await self.add_runner(service)
        self.name_weights()
        count = LARGE if large else SMALL
        ips = [f'127.{self.subnet}.0.{i + 1}' for i in range(count)]
        seeds = [f'{ip}:{PORTS["control"]}' for ip in ips[:SMALL]]
        for number, ip in enumerate(ips):
            box = Box(f'box{number}', ip, self.store.address, self.folder)
            box.link_mbps = rng.choice(LINKS_MBPS)
            box.contracts = self._contracts
            box.version_s = self.version_s
            if self._domains:
                box.domain = f'd-{number % self._domains}'
            elif large:
                box.domain = 'd-all'
            self.boxes.append(box)
            await box.open(seeds)

    async def close(self):
        """End everything that was started."""
        for box in self.boxes:
            box.close()
        for wire in self.wires.values():
            wire.close()
        for runner in self.runners:
            await runner.close()
        await self.store.close()

    async def add_runner(self, service):
        """Start a target and let it announce itself."""
        runner = runner_module.Runner(f'{service}{len(self.runners)}')
        runner.usual = 'stream' if service == 'engine' else 'echo'
        runner.service = service
        runner.software = SOFTWARE[len(self.runners) % len(SOFTWARE)]
        runner.fatal = FATAL if service == 'engine' else None
        runner.version = max(self.named, default=1)
        runner.on_load = functools.partial(self._tell_loaded, runner)
        if service == 'engine':
            runner.fatal_parts = frozenset(FATAL_PARTS)
        await runner.start()
        wire = proxy.Proxy(runner.address)
        await wire.start()
        self.runners.append(runner)
        self.wires[runner.name] = wire
        self.announce(runner)
        return runner

    async def replace_ended(self):
        """Let others come for the targets that have ended by a request."""
        for runner in self.runners:
            if runner.ended and runner.name not in self.left:
                self.left[runner.name] = time.monotonic()
                self.wires[runner.name].close()
                await self.add_runner(runner.service)
                self.store.put(names.TARGETS_TOPIC, runner.name, b'')

    def find_key(self):
        """Give a key that is in force."""
        return next(key for key, gone in self.keys.items() if gone is None)

    def announce(self, runner, state='ready'):
        """Write what a target says of itself."""
        model = 'm' if runner.service == 'engine' else ''
        entry = runner.entry(runner.service, state, model=model)
        host, port = self.wires[runner.name].address
        entry['address'] = f'{host}:{port}'
        self.store.put(names.TARGETS_TOPIC, runner.name, entry)

    def _tell_loaded(self, runner):
        if not runner.ended:
            state = 'draining' if runner.name in self.left else 'ready'
            self.announce(runner, state)

    def name_weights(self):
        """Name the next version of the weights."""
        version = max(self.named, default=0) + 1
        weights = {'model': 'm', 'version': version}
        self.store.put(names.PUBLISHED_TOPIC, 'version/m', weights)
        self.named[version] = time.monotonic()

    def drain(self, runner):
        """Let a target say that it leaves."""
        self.left[runner.name] = time.monotonic()
        self.announce(runner, 'draining')

    def publish(self):
        """Publish the routes and the keys that are in force."""
        self.version += 1
        held = [key for key, gone in self.keys.items() if gone is None]
        rows = [
            {
                'name': name,
                'host': HOST,
                'path_prefix': f'/{name}/',
                'kind': kind,
                'max_attempts': attempts,
                'service': service,
                'resumable': resumable,
                'timeout_ms': 2500,
                'target_latency_ms': 400,
                'priority': 1,
            }
            for name, (kind, attempts, service, resumable) in ROUTES.items()
        ]
        table = {
            'version': self.version,
            'routes': rows,
            'services': [{'name': 'plain'}, {'name': 'engine'}],
            'tenants': [{'name': 'w1', 'api_keys': held}],
        }
        self.store.put(names.PUBLISHED_TOPIC, names.TABLE_KEY, table)

    def revoke(self):
        """Take a key away; one always stays."""
        held = [key for key, gone in self.keys.items() if gone is None]
        if len(held) > 1:
            self.keys[held[0]] = time.monotonic()
            self.publish()


async def wait_ready(fleet, seconds=10.0):
    """Wait until callers can connect to every box."""
    async with asyncio.timeout(seconds):
        for box in fleet.boxes:
            while True:
                try:
                    _, writer = await asyncio.open_connection(*box.address)
                    writer.close()
                    break
                except OSError:
                    await asyncio.sleep(0.05)
