"""Starts the daemons and the stand-ins as separate processes.

The demo, the load tool and the tests on real processes share it.  It stops
only the processes that it started, by their ids.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import typing

from landingspool import http
from landingspool import httpclient

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
OPERATOR_KEY = 'operator-key-of-the-demo'
LINK_SECRET = 'link-secret-of-the-demo'
DOMAINS = ('north', 'middle', 'south')
WAIT_S = 20.0
POLL_S = 0.05


class Shape(typing.NamedTuple):
    """What to start.

    `engines` holds for each model the number of its runners, which are
    spread over the domains in turn.  The boxes of a domain in `wires`
    reach the log through a wire that can be cut.
    """

    domains: tuple = DOMAINS
    boxes: int = 2
    engines: tuple = (('transcription', 5), ('catalogue', 3))
    stores: int = 2
    plain: str = 'annotations'
    options: dict = {}
    policy: dict = {}
    wires: tuple = ()
    log_level: str = 'WARNING'


HERBARIUM = Shape()
DONATION = Shape(
    engines=(('letters', 5), ('receipts', 3)),
    plain='pledges',
    policy={'link_price_s': 0.02},
)


class Process(typing.NamedTuple):
    """One started process."""

    name: str
    handle: asyncio.subprocess.Process
    address: http.Address
    log: pathlib.Path


class BoxPorts(typing.NamedTuple):
    """The addresses of one daemon."""

    domain: str
    callers: http.Address
    operators: http.Address
    links: http.Address


class Fleet:
    """The processes of one run, and ways to disturb them."""

    def __init__(self, shape=HERBARIUM):
        self.shape = shape
        self.client = httpclient.Client()
        self.processes = {}
        self.boxes = {}
        self.members = {}
        self.wires = {}
        self._folder = tempfile.TemporaryDirectory(prefix='landingspool-')
        self.folder = pathlib.Path(self._folder.name)

    async def start(self):
        """Start everything and wait until the boxes see each other."""
        await asyncio.gather(
            self.start_standin('log', 'log'),
            self.start_standin('live', 'live', lag=0.5),
            self.start_standin('weights', 'weights'),
        )
        await self._start_back_ends()
        for domain in self.shape.wires:
            await self._start_wire(domain)
        for domain in self.shape.domains:
            for index in range(self.shape.boxes):
                await self.start_box(f'{domain}-{index + 1}', domain)
        await self.announce()
        await self.wait_for(self._sees_all, 'the boxes to see each other')

    async def stop(self):
        """Stop all processes of this run and remove its folder."""
        for process in self.processes.values():
            if process.handle.returncode is None:
                # A frozen process can't take a SIGTERM.
                process.handle.send_signal(signal.SIGCONT)
                process.handle.terminate()
        for process in self.processes.values():
            try:
                async with asyncio.timeout(10.0):
                    await process.handle.wait()
            except TimeoutError:
                process.handle.kill()
                await process.handle.wait()
        self.client.close()
        self._folder.cleanup()

    async def start_standin(self, kind, name, **options):
        """Start one stand-in; returns its Process."""
        options = {**self.shape.options.get(kind, {}), **options}
        arguments = ['-m', f'standins.{kind}']
        for key, value in options.items():
            arguments += [f'--{key}', str(value)]
        process = await self._spawn(name, arguments)
        line = await process.handle.stdout.readline()
        ready = json.loads(line)
        address = http.Address(ready['host'], ready['port'])
        process = process._replace(address=address)
        self.processes[name] = process
        return process

    async def start_box(self, name, domain):
        """Start one daemon; it is on the live list after `announce`."""
        path = self.folder / f'{name}.toml'
        path.write_text(self._write_settings(name, domain))
        arguments = ['-m', 'landingspool.daemon', str(path)]
        process = await self._spawn(name, arguments)
        self.processes[name] = process
        ready = json.loads(await process.handle.stdout.readline())
        found = {k: http.Address(*value) for k, value in ready.items()}
        ports = BoxPorts(domain, **found)
        self.boxes[name] = ports
        self.members[name] = {
            'name': name,
            'kind': 'entry',
            'domain': domain,
            'host': ports.links.host,
            'port': ports.links.port,
            'operators_port': ports.operators.port,
        }

    async def announce(self, now=True):
        """Put all members on the live list."""
        rows = list(self.members.values())
        await self.tell('live', '/set', {'members': rows, 'now': now})

    async def tell(self, name, path, value):
        """Send a stand-in a POST; returns the decoded answer."""
        address = self.processes[name].address
        reply = await self.client.fetch(
            address, 'POST', path, value, timeout=10.0
        )
        return reply.json()

    async def switch(self, name, **values):
        """Set switches of a stand-in."""
        return await self.tell(name, '/switch', values)

    async def audit(self, name):
        """Read the own record of a stand-in."""
        address = self.processes[name].address
        reply = await self.client.fetch(address, 'GET', '/audit', timeout=10.0)
        return reply.json()

    async def ask_operator(self, box, method, path, value=None):
        """Send one request to the operators' side of a box."""
        headers = [('authorization', f'Bearer {OPERATOR_KEY}')]
        address = self.boxes[box].operators
        reply = await self.client.fetch(
            address, method, path, value, headers, timeout=15.0
        )
        return reply.json()

    async def publish(self, rows, box=None, versions=None, bases=None):
        """Publish rows at a box; returns the outcome."""
        box = box or next(iter(self.boxes))
        draft = {
            'author': 'demo',
            'rows': rows,
            'removed': [],
            'bases': bases or [0] * len(rows),
            'versions': versions or {},
        }
        path = '/admin/publish'
        return await self.ask_operator(box, 'POST', path, draft)

    async def wait_in_force(self, offset, boxes=None):
        """Wait until an offset is in force at the boxes."""

        async def reached():
            for name in boxes or self.boxes:
                table = await self.ask_operator(name, 'GET', '/admin/table')
                if table['offset'] < offset:
                    return False
            return True

        await self.wait_for(reached, f'offset {offset} in force')

    async def wait_for(self, check, what, seconds=WAIT_S):
        """Wait for a condition; a failed call counts as not yet."""
        deadline = asyncio.get_running_loop().time() + seconds
        while True:
            try:
                if await check():
                    return
            except (http.Unreachable, OSError, KeyError):
                pass
            if asyncio.get_running_loop().time() > deadline:
                raise TimeoutError(f'waited {seconds} s for {what}')
            await asyncio.sleep(POLL_S)

    def kill(self, name):
        """Kill a process of this run at once."""
        self.processes[name].handle.kill()

    def freeze(self, name):
        """Stop a process from running."""
        self.processes[name].handle.send_signal(signal.SIGSTOP)

    def thaw(self, name):
        """Let a frozen process run again."""
        self.processes[name].handle.send_signal(signal.SIGCONT)

    async def read_memory(self, name):
        """Give the resident memory of a process, in MB."""
        pid = self.processes[name].handle.pid
        text = pathlib.Path(f'/proc/{pid}/status').read_text()
        line = next(r for r in text.splitlines() if r.startswith('VmRSS'))
        return int(line.split()[1]) / 1024

    async def _start_back_ends(self):
        weights = self.processes['weights'].address
        jobs = []
        for model, count in self.shape.engines:
            for index in range(count):
                domain = self.shape.domains[index % len(self.shape.domains)]
                name = f'{model}-{index + 1}'
                options = {
                    'incarnation': f'{name}-1',
                    'weights': f'{weights.host}:{weights.port}',
                    'seed': index,
                }
                jobs.append(
                    self._add('engine', name, 'target', domain, model, options)
                )
        for index in range(self.shape.stores):
            domain = self.shape.domains[index]
            name = f'store-{index + 1}'
            jobs.append(self._add('store', name, 'store', domain, '', {}))
        if self.shape.plain:
            name = f'{self.shape.plain}-1'
            options = {'incarnation': f'{name}-1'}
            model, domain = self.shape.plain, self.shape.domains[0]
            jobs.append(
                self._add('plain', name, 'plain', domain, model, options)
            )
        await asyncio.gather(*jobs)

    async def _start_wire(self, domain):
        log = self.processes['log'].address
        name = f'wire-{domain}'
        await self.start_standin('wire', name, to=f'{log.host}:{log.port}')
        address = self.processes[name].address
        reply = await self.client.fetch(address, 'GET', '/address')
        self.wires[domain] = http.Address(*reply.json()['address'])

    async def _add(self, standin, name, kind, domain, model, options):
        process = await self.start_standin(standin, name, **options)
        self.members[name] = {
            'name': name,
            'kind': kind,
            'domain': domain,
            'host': process.address.host,
            'port': process.address.port,
            'model': model,
            'incarnation': options.get('incarnation', ''),
        }

    async def _spawn(self, name, arguments):
        log = self.folder / f'{name}.log'
        environment = {**os.environ, 'PYTHONPATH': str(ROOT)}
        with log.open('ab') as sink:
            handle = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=sink,
                cwd=ROOT,
                env=environment,
            )
        return Process(name, handle, None, log)

    async def _sees_all(self):
        for name, ports in self.boxes.items():
            status = await self.ask_operator(name, 'GET', '/admin/status')
            if len(status['domains']) < len(self.shape.domains):
                return False
            mates = [
                n for n, p in self.boxes.items() if p.domain == ports.domain
            ]
            if sorted(status['alive']) != sorted(mates):
                return False
        return True

    def _write_settings(self, name, domain):
        lines = ['[box]', f'name = "{name}"', f'domain = "{domain}"']
        for section, extra in (
            ('callers', ''),
            ('operators', f'key = "{OPERATOR_KEY}"'),
            ('links', f'secret = "{LINK_SECRET}"'),
        ):
            lines += [f'[{section}]', f'host = "{HOST}"', 'port = 0', extra]
        platform = {
            key: self.processes[key].address
            for key in ('log', 'live', 'weights')
        }
        platform['log'] = self.wires.get(domain, platform['log'])
        lines.append('[platform]')
        for key, address in platform.items():
            host, port = address
            lines.append(f'{key} = {{host = "{host}", port = {port}}}')
        lines.append('[policy]')
        for key, value in self.shape.policy.items():
            lines.append(f'{key} = {json.dumps(value)}')
        lines += ['[logs]', f'level = "{self.shape.log_level}"']
        return '\n'.join(lines)
