"""Stand-in for a runner of an ordinary service.

It follows PROTOCOL.md ("Runners"): it works on `slots` requests at once, says
with X-Landingspool-Not-Executed that it did not run one, and echoes the id of
the request in every answer.  Its fault is that of `fleetbench kinds`, garble
with how extra late: it sends a part of its answers a second time, late, in the
place of the next answer due.
"""

import asyncio
import json
import random
import time

from lib import http11

BEAT_S = 1.2
# Requests that wait beyond those in the slots.
QUEUE = 6
ID = 'x-landingspool-request-id'


class Run:
    """A request that a runner ran."""

    def __init__(self, at, runner, request):
        self.at = at
        self.runner = runner
        self.name = request.headers.get(ID, '')
        self.method = request.method
        self.target = request.target
        self.headers = request.headers
        self.body = request.body
        self.end = None


class Plain:
    """One runner.

    Attributes
    ----------
    surplus_share : float
        Share of its answers that it sends a second time, late.
    """

    def __init__(self, name, zone, service, store, runs, log, slots=6):
        self.name = name
        self.zone = zone
        self.service = service
        self.address = None
        self.surplus_share = 0.0
        self._log = log
        self._runs = runs
        self._store = store
        self._slots = asyncio.Semaphore(slots)
        self._places = slots + QUEUE
        self._taken = 0
        self._rng = random.Random(name)
        self._server = None
        self._tasks = []

    async def start(self):
        """Serve on a free port and begin to write to the store."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._tasks.append(asyncio.ensure_future(self._beat()))

    async def close(self):
        """Stop."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _beat(self):
        sequence = 0
        while True:
            sequence += 1
            if not self._store.is_away:
                row = self._write(sequence)
                self._store.put('keyed.servers', self.name, row)
            await asyncio.sleep(BEAT_S)

    def _write(self, sequence):
        return {
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': sequence,
        }

    async def _serve(self, reader, writer):
        surplus = None
        try:
            while request := await http11.read_request(reader):
                if surplus is not None:
                    # The surplus answer comes late, in the place of this one.
                    http11.write_response(writer, *surplus)
                    self._log(
                        f'{self.name} sends the answer {surplus[0]} to '
                        f'{surplus[2][0][1]} once more, late'
                    )
                    surplus = None
                answer = await self._answer(request)
                http11.write_response(writer, *answer)
                await writer.drain()
                if self._rng.random() < self.surplus_share:
                    surplus = answer
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The box has left, or the case is over.
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        """Return status, body and headers of the answer to a request."""
        name = request.headers.get(ID, '')
        rows = [
            ('X-Landingspool-Request-Id', name),
            ('Keep-Alive', 'timeout=5'),
        ]
        if request.path == '/healthz':
            return 200, b'', [('X-Landingspool-Instance-Id', self.name)]
        wanted = request.headers.get('x-landingspool-expect-instance')
        if wanted not in (None, self.name):
            rows.append(('X-Landingspool-Instance-Id', self.name))
            return 421, b'', rows
        if self._taken >= self._places:
            self._log(f'{self.name} is full and sheds {name}')
            rows.append(('X-Landingspool-Not-Executed', '1'))
            return 503, b'', rows
        return await self._run(request, rows)

    async def _run(self, request, rows):
        self._taken += 1
        try:
            async with self._slots:
                run = Run(time.monotonic(), self.name, request)
                self._runs.append(run)
                await asyncio.sleep(self._rng.uniform(0.01, 0.06))
                run.end = time.monotonic()
        finally:
            self._taken -= 1
        rows.append(('X-Landingspool-Response-Stamp', f's.{self.name}'))
        body = json.dumps({'ran': run.name, 'by': self.name}).encode()
        return 200, body, rows
