"""A runner, as the pages describe it: plain, or a model runner with a cache.

It answers one request at a time on a connection, echoes the id, signs what it
has run, and answers 421 to what is meant for another one.
"""

import asyncio
import json
import time
import typing


class Run(typing.NamedTuple):
    """A request that a runner ran.

    Attributes
    ----------
    at : float
        When it began, seconds of the monotonic clock.
    made_by : list of tuple
        For each part of the prompt that was found kept: its id, and the id of
        the request that made it.
    """

    at: float
    id: str
    head: dict
    body_bytes: int
    made_by: list


class Runner:
    """One runner.

    Attributes
    ----------
    arrived : list of tuple
        (time, id) of every request that arrived.
    runs : list of Run
    work_s : float
        Seconds for which a request runs, at a model runner until its first
        event.
    pause_s : float
        Seconds between two events of a stream.
    events : int
        Events of a stream.
    """

    def __init__(self, scene, service, zone, name, model='', slots=6):
        self.scene = scene
        self.service = service
        self.zone = zone
        self.name = name
        self.model = model
        self.slots = slots
        self.version = 1
        self.work_s = 0.02
        self.pause_s = 0.0
        self.events = 3
        self.arrived = []
        self.runs = []
        self.unfinished = []
        self.address = None
        self.told_address = None
        self.kept = {}
        self._server = None

    async def start(self, ip):
        """Serve on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        self.told_address = self.address

    async def close(self):
        """Stop."""
        self._server.close()

    def make_entry(self, state):
        """Return what the runner writes of itself into the store."""
        host, port = self.told_address
        models = []
        if self.model:
            models = [
                {'name': self.model, 'version': self.version, 'adapters': []}
            ]
        return {
            'service': self.service,
            'address': f'{host}:{port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'stage': 'both',
            'models': models,
        }

    def make_report(self):
        """Return the answer to a question for the runner's state."""
        return {
            'stage': 'both',
            'models': [
                {'name': self.model, 'version': self.version, 'adapters': []}
            ],
            'busy': False,
            'sequence': 0,
            'queue_depth': 0,
            'active_requests': 0,
            'kv_used': 0,
            'kv_total': 179305,
            'handles': 0,
        }

    def take_order(self, order):
        """Take an order to load weights; returns the status of the answer."""
        return 400

    def has_version(self, head):
        """Return whether the weights are those that a request expects."""
        version = head.get('expect-version', str(self.version))
        return version == str(self.version)

    async def prepare(self, head, name):
        """Move memory, as the head of a request says."""

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = b''
                if 'content-length' in head:
                    body = await reader.readexactly(
                        int(head['content-length'])
                    )
                if head['path'].startswith('/api/'):
                    self._answer_call(writer, head, body)
                    continue
                await self._answer(writer, head, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _answer_call(self, writer, head, body):
        path = head['path'].split('?')[0]
        value = {}
        status = 200
        if path == '/api/report':
            value = self.make_report()
        elif path == '/api/order':
            status = self.take_order(json.loads(body))
        elif path == '/api/kv-events':
            value = {
                'epoch': 7,
                'next_token': 0,
                'lost': False,
                'events': [],
                'clock_ms': time.monotonic() * 1000,
            }
        elif path == '/api/kv-list':
            value = {'epoch': 7, 'next_token': 0, 'held': []}
        data = json.dumps(value).encode()
        writer.write(
            b'HTTP/1.1 %d X\r\ncontent-type: application/json\r\n'
            b'content-length: %d\r\n\r\n' % (status, len(data)) + data
        )

    async def _answer(self, writer, head, body):
        name = head.get('x-landingspool-request-id', '')
        self.arrived.append((time.monotonic(), name))
        wanted = head.get('x-landingspool-expect-instance', self.name)
        if wanted != self.name or not self.has_version(head):
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n'
                + f'x-landingspool-request-id: {name}\r\n'
                f'x-landingspool-instance-id: {self.name}\r\n\r\n'.encode()
            )
            return
        made_by = self._read_prompt(head, name)
        self.runs.append(Run(time.monotonic(), name, head, len(body), made_by))
        self.unfinished.append(name)
        await self.prepare(head, name)
        await asyncio.sleep(self.work_s)
        rows = (
            f'x-landingspool-request-id: {name}\r\n'
            f'x-landingspool-response-stamp: stamp-{self.name}\r\n'
        )
        if self.model:
            await self._write_stream(writer, rows)
            self.unfinished.remove(name)
            return
        self.unfinished.remove(name)
        data = b'done'
        writer.write(
            f'HTTP/1.1 200 OK\r\n{rows}content-length: {len(data)}\r\n'
            'keep-alive: timeout=15\r\n\r\n'.encode()
            + data
        )

    async def _write_stream(self, writer, rows):
        writer.write(
            f'HTTP/1.1 200 OK\r\n{rows}transfer-encoding: chunked\r\n'
            'content-type: text/event-stream\r\nkeep-alive: timeout=15\r\n'
            f'versions: {self.version}\r\n\r\n'.encode()
        )
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
        writer.write(b'0\r\n\r\n')

    def _read_prompt(self, head, name):
        """Read a prompt: use the parts that are kept, and keep the others."""
        if not self.model:
            return []
        salt = head.get('cache-salt', '')
        used, is_kept = [], True
        for row in head.get('x-landingspool-prefix-hash', '').split(','):
            key = salt, row.partition(':')[0]
            is_kept = is_kept and key in self.kept
            if is_kept:
                used.append((key[1], self.kept[key]))
            else:
                self.kept[key] = name
        return used


async def read_head(reader):
    """Read one head; returns its rows as a dict with 'method' and 'path'."""
    data = await reader.readuntil(b'\r\n\r\n')
    lines = data.decode('latin-1').split('\r\n')
    method, path, _ = lines[0].split(' ')
    head = {'method': method, 'path': path}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            head[name.strip().lower()] = value.strip()
    return head
