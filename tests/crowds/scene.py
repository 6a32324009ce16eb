"""Boxes as real processes on small machines, whose platform counts memory."""

import asyncio
import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time

from landingspool.platform import names
from standins import behaviours
from standins import platformstore
from standins import runner as runner_module
from tests.gateway import site

# The machine of each box.
MEMORY_MB = 80
MAX_FDS = 400
# Seconds for a request's head, and for its body: nothing that stops short
# ends by itself before the test does.
HEADER_MS = 30_000
# Largest body, by default.
BODY_BYTES = 4 * 1024 * 1024
BOXES = 2
PORTS = {'front': 8000, 'ready': 8001, 'control': 8002}
# For what boxes say to each other, the forwarding of requests among it.
INTERNAL_PORTS = 8010, 8011
SETTINGS = """
node = "{name}"
zone = "d-{name}"
ip = "{ip}"
internal_ports = [{internal[0]}, {internal[1]}]
seeds = ["{seed}:{ports[control]}"]
[listen]
front = "{ip}:{ports[front]}"
ready = "{ip}:{ports[ready]}"
control = "{ip}:{ports[control]}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
link_mbps = 1000.0
[platform]
address = "{store}"
"""
MEGABYTE = 1024 * 1024
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# Pause between two looks at a process, seconds.
LOOK_S = 0.02
# Seconds in which a box starts, and in which a request that is refused may be
# sent again: these end a test that hangs.
START_S = 30.0
ASK_S = 30.0
PAUSE_S = 0.2
LONG_ANSWER = b'x' * MEGABYTE


@behaviours.behaviour('swallow')
async def answer_swallowed(runner, head, body, reader, writer):
    """Run, and keep nothing of the body."""
    runner.run(head, b'')
    behaviours.write_answer(runner, head, writer, 200, b'done')
    await writer.drain()


@behaviours.behaviour('long answer')
async def answer_long(runner, head, body, reader, writer):
    """Run, and answer at length, no faster than the answer is taken."""
    runner.run(head, b'')
    behaviours.write_answer(runner, head, writer, 200, LONG_ANSWER)
    await writer.drain()


class Machine:
    """A box and the memory and descriptors of its process.

    Attributes
    ----------
    peak_bytes, peak_fds : int
        The most that was seen.
    was_killed : bool
        Whether it was killed for its memory.
    """

    def __init__(self, name, ip, folder):
        self.name = name
        self.ip = ip
        self.process = None
        self.peak_bytes = 0
        self.peak_fds = 0
        self.was_killed = False
        self._folder = pathlib.Path(folder)

    @property
    def address(self):
        """Where callers connect."""
        return self.ip, PORTS['front']

    def start(self, seed, store):
        """Write the settings and start the process."""
        path = self._folder / f'{self.name}.toml'
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                internal=INTERNAL_PORTS,
                seed=seed,
                ports=PORTS,
                memory_mb=MEMORY_MB,
                max_fds=MAX_FDS,
                store=f'{store[0]}:{store[1]}',
            )
        )
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'landingspool.platform'],
                stdout=log,
                stderr=log,
                env={**os.environ, names.SETTINGS_VARIABLE: str(path)},
            )

    def is_alive(self):
        """Return whether the process runs."""
        return self.process.poll() is None

    def look(self):
        """Measure the process; kill it if it is over its memory."""
        try:
            inodes = list_sockets(self.process.pid)
            used = measure_resident(self.process.pid)
        except OSError:
            # It has ended.
            return
        used += count_queued(self.ip, inodes)
        self.peak_bytes = max(self.peak_bytes, used)
        self.peak_fds = max(self.peak_fds, inodes.fds)
        if used > MEMORY_MB * MEGABYTE:
            self.was_killed = True
            self.process.kill()

    def close(self):
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class Sockets(frozenset):
    """Inodes of the sockets of a process, and its open descriptors."""

    fds = 0


def list_sockets(pid):
    """Return the Sockets of a process.

    Raises
    ------
    OSError
        If the process has ended.
    """
    folder = f'/proc/{pid}/fd'
    fds = os.listdir(folder)
    links = []
    for fd in fds:
        # It may have been closed since.
        with contextlib.suppress(FileNotFoundError):
            links.append(os.readlink(f'{folder}/{fd}'))
    found = Sockets(
        link[len('socket:[') : -1]
        for link in links
        if link.startswith('socket:[')
    )
    found.fds = len(fds)
    return found


def measure_resident(pid):
    """Return the resident bytes of a process.

    Raises
    ------
    OSError
        If the process has ended.
    """
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * PAGE_BYTES


def count_queued(ip, inodes):
    """Return the bytes that the kernel holds for a machine's sockets.

    These are what has arrived and isn't read, also on connections that are
    not accepted yet, and what was written and isn't taken.
    """
    packed = socket.inet_aton(ip)[::-1].hex().upper()
    total = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        state, inode = fields[3], fields[9]
        # The queues of a listening socket count connections.
        if state == '0A':
            continue
        if fields[1].startswith(packed) or inode in inodes:
            sending, _, receiving = fields[4].partition(':')
            total += int(sending, 16) + int(receiving, 16)
    return total


class Scene:
    """Store, targets and boxes; to be used in ``async with``."""

    def __init__(self, folder):
        subnet = 200 + os.getpid() % 50
        self.store = platformstore.PlatformStore()
        self.targets = [runner_module.Runner(f'p{i}') for i in range(2)]
        self.machines = [
            Machine(f'box{i}', f'127.{subnet}.0.{i + 1}', folder)
            for i in range(BOXES)
        ]
        self._looking = threading.Event()
        self._watch = threading.Thread(target=self._look)

    async def __aenter__(self):
        await self.store.start()
        for target in self.targets:
            target.usual = 'swallow'
            await target.start()
            entry = target.entry('plain')
            self.store.put(names.TARGETS_TOPIC, target.name, entry)
        table = site.make_table(limits={'header_timeout_ms': HEADER_MS})
        for row in table['routes']:
            row['timeout_ms'] = HEADER_MS
        self.store.put(names.PUBLISHED_TOPIC, names.TABLE_KEY, table)
        for machine in self.machines:
            machine.start(self.machines[0].ip, self.store.address)
        for machine in self.machines:
            async with asyncio.timeout(START_S):
                while await ask_once(machine) != 200:
                    await asyncio.sleep(PAUSE_S)
        self._looking.set()
        self._watch.start()
        return self

    async def __aexit__(self, *error):
        self._looking.clear()
        if self._watch.is_alive():
            self._watch.join()
        for machine in self.machines:
            machine.close()
        for target in self.targets:
            await target.close()
        await self.store.close()

    def _look(self):
        while self._looking.is_set():
            for machine in self.machines:
                machine.look()
            time.sleep(LOOK_S)


async def ask_once(machine):
    """Send an ordinary request; return the status of its answer, or 0."""
    try:
        async with asyncio.timeout(ASK_S):
            reader, writer = await asyncio.open_connection(*machine.address)
            try:
                writer.write(make_head('ordinary', 'content-length: 1') + b'x')
                return await read_status(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0


async def ask(machine):
    """Send an ordinary request until it is served.

    Returns
    -------
    bool
        Whether it was, within ASK_S.
    """
    loop = asyncio.get_running_loop()
    ends = loop.time() + ASK_S
    while loop.time() < ends:
        if await ask_once(machine) == 200:
            return True
        await asyncio.sleep(PAUSE_S)
    return False


async def read_status(reader):
    """Read an answer to the end of its head; return the status, or 0."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return 0
    return int(head.split(b' ', 2)[1])


def make_head(name, *rows, key=site.KEY):
    """Return the head of a request."""
    lines = (
        'POST /unsafe/a HTTP/1.1',
        f'host: {site.HOST}',
        f'x-landingspool-request-id: {name}',
        f'x-landingspool-deadline-ms: {HEADER_MS}',
        f'authorization: Bearer {key}',
        *rows,
    )
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'
