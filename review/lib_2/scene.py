"""A small deployment on loopback: real boxes, with stand-ins around them.

The boxes are the project's own program, started by the command of the deploy
file.  The platform's store is the project's stand-in.  Runners and clients are
those of this folder.
"""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / 'target' / 'deps')]

from standins import platformstore  # noqa: E402

HOST = 'pule25.example'
KEY = 'jnbanfqasnmgkcuyj8pj'
# Zones of the small sites, and the machines in each.
HERBARIO = {'prado': 2, 'cordon': 2, 'carrasco': 2}
DARCOVNA = {'sal-jih': 3, 'sal-sever': 2, 'sal-vychod': 2}
REGION = 'region-1'
# Exit statuses of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Seconds in which all boxes have to be ready.
READY_S = 20.0
SETTINGS = """
node = "{name}"
role = "box"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internal_ports = [{internal},{internal_end}]
seeds = {seeds}
bootstrap = {bootstrap}
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache",\
"stream","engine","tenants","platform"]
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
lost_ms = 200
config_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
revoke_fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
recover_s = 12
transit_ms = 120
again_s = 20
require_fencing = true
lease_ms = 3000
thaw_slack_ms = 300
version_ms = 12000
version_all_ms = 17000
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""


def find_ports(ip, count):
    """Return free ports of an address, that many in a row."""
    for _ in range(50):
        first = random.randrange(20000, 50000)
        held = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                held.append(sock)
                sock.bind((ip, port))
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
        return first
    raise OSError(f'no free ports at {ip}')


def read_command():
    """Return the command that the deploy file names for a box."""
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    return shlex.split(tomllib.loads(text)['roles']['box']['run'])


class Box:
    """One process of the project's program, and its settings."""

    def __init__(self, scene, name, ip, zone):
        self.scene = scene
        self.name = name
        self.ip = ip
        self.zone = zone
        self.process = None
        self.store = None
        first = find_ports(ip, 8)
        self.front = ip, first
        self.ready = ip, first + 1
        self.control = ip, first + 2
        self.internal = first + 3
        self.bootstrap = True
        self.path = scene.folder / f'{name}.toml'
        self.log = scene.folder / f'{name}.log'

    def write_settings(self):
        """Write the settings file of this box."""
        seeds = [
            f'{box.control[0]}:{box.control[1]}'
            for box in self.scene.boxes[:3]
        ]
        host, port = self.store
        self.path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                region=REGION,
                zones='\n'.join(
                    f'{zone} = "{REGION}"' for zone in self.scene.zones
                ),
                internal=self.internal,
                internal_end=self.internal + 4,
                seeds=json.dumps(seeds),
                bootstrap=str(self.bootstrap).lower(),
                front=self.front[1],
                ready=self.ready[1],
                control=self.control[1],
                memory_mb=self.scene.memory_mb,
                store=f'{host}:{port}',
            )
        )

    def start(self):
        """Start the process as the platform does."""
        self.write_settings()
        self.bootstrap = False
        command = read_command()
        if command[0] == 'python3':
            command[0] = sys.executable
        with open(self.log, 'ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'LANG': os.environ.get('LANG', ''),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'LANDINGSPOOL_BOOT': str(self.path),
                },
            )

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.is_running:
            os.kill(self.process.pid, number)

    def measure_memory_mb(self):
        """Return the resident memory of the process."""
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        """Return whether the box calls itself ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(
                    b'GET /api/readyz HTTP/1.1\r\nhost: ready\r\n'
                    b'connection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200' in line

    def close(self):
        """End the process."""
        if self.process is not None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class Scene:
    """The boxes, the platform's store, and what the script records.

    Parameters
    ----------
    record : pathlib.Path
        The file that gets the record.
    zones : dict of str to int
        The boxes in each zone.
    memory_mb : int
        Memory of a box by its settings.
    """

    def __init__(self, record, zones=HERBARIO, memory_mb=300):
        self._record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.memory_mb = memory_mb
        self.zones = zones
        self.store = platformstore.PlatformStore()
        self.runners = []
        self.version = 0
        self.subnet = random.randrange(30, 250), random.randrange(1, 250)
        self.boxes = []
        self.began = time.monotonic()
        self._lines = []
        self._tasks = set()
        for zone, count in zones.items():
            for number in range(count):
                ip = self.make_ip(len(self.boxes) + 1)
                name = f'front-{zone}-{number + 1}'
                self.boxes.append(Box(self, name, ip, zone))

    def make_ip(self, number):
        """Return a loopback address of this run."""
        return f'127.{self.subnet[0]}.{self.subnet[1]}.{number}'

    def now(self):
        """Return the seconds since the script began."""
        return time.monotonic() - self.began

    def monotonic(self):
        """Return the clock by which runners note times."""
        return time.monotonic()

    def keep(self, task):
        """Keep a task from being collected until it is done."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note(self, text):
        """Write a line of the record."""
        self._lines.append(f'{self.now():8.3f} s  {text}')

    async def open(self):
        """Start the store, at an address that all boxes know."""
        await self.store.start(self.make_ip(200))
        for box in self.boxes:
            box.store = self.store.address

    async def add_runner(self, runner):
        """Start a runner, and have it announce itself."""
        await runner.start(self.make_ip(100 + len(self.runners)))
        self.runners.append(runner)
        self.announce(runner)

    async def start_boxes(self):
        """Start all boxes and wait until they are ready."""
        for box in self.boxes:
            box.start()
        await self.wait_ready(self.boxes)

    async def wait_ready(self, boxes, seconds=READY_S):
        """Wait until boxes call themselves ready.

        Raises
        ------
        NotRun
        """
        ends = time.monotonic() + seconds
        for box in boxes:
            while not await box.is_ready():
                if time.monotonic() > ends:
                    raise NotRun(f'{box.name} was not ready in time')
                await asyncio.sleep(0.05)

    def announce(self, runner, state='ready'):
        """Write what a runner says of itself into the platform's store."""
        entry = runner.make_entry(state)
        self.store.put('keyed.servers', runner.name, entry)

    def publish(self, routes, services, tenants, limits=None):
        """Write a configuration as the operator does; return its version."""
        self.version += 3
        table = {
            'version': self.version,
            'routes': routes,
            'services': services,
            'limits': limits
            or {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'tenants': tenants,
        }
        self.store.put('keyed.op', 'config', table)
        self.note(f'operator: configuration {self.version} acknowledged')
        return self.version

    async def close(self):
        """End everything that was started, and write the record."""
        for box in self.boxes:
            box.close()
        for runner in self.runners:
            await runner.close()
        with contextlib.suppress(Exception):
            await self.store.close()
        self._record.write_text('\n'.join(self._lines) + '\n')
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class NotRun(Exception):
    """The case could not run."""


def run_case(make_scene, play):
    """Run a case and exit with its status.

    Parameters
    ----------
    make_scene : callable
        Returns the Scene.
    play : coroutine function
        ``await play(scene)`` returns whether the rule was broken.
    """

    async def run():
        # Connections that the end of the script cuts are of no interest.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        logging.getLogger('asyncio').setLevel(logging.CRITICAL)
        scene = make_scene()
        try:
            async with asyncio.timeout(110):
                broken = await play(scene)
            scene.note('the rule was broken' if broken else 'the rule held')
            return BROKEN if broken else HELD
        except (NotRun, TimeoutError, OSError) as error:
            scene.note(f'not run: {error!r}')
            return NOT_RUN
        finally:
            await scene.close()

    status = asyncio.run(run())
    print({HELD: 'held', BROKEN: 'broken', NOT_RUN: 'not run'}[status])
    sys.exit(status)
