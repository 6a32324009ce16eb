"""Stand-in for a target on the platform, by its published protocol.

It answers requests by a script of behaviours, byte for byte, so that each
fault of a target can be had on its own; it also takes reports, orders and
calls for cache events.
"""

import asyncio
import json
import time

BEHAVIOURS = {}
# An event that does not end is made of so many parts of so many bytes.
ENDLESS_PARTS = 40
ENDLESS_BYTES = 64 * 1024
# Seconds for which a request that ends its target is run.
FATAL_S = 0.05


def behaviour(name):
    """Register how a request is answered."""

    def add(function):
        BEHAVIOURS[name] = function
        return function

    return add


class Runner:
    """One target.

    Attributes
    ----------
    script : list of str
        Behaviours of the next requests; `usual` when it is empty.
    ran : list of dict
        The heads of the requests that it ran, with 'body'.
    heads : list of dict
        The heads of all requests that arrived.
    orders : list of dict
        The orders that it took.
    forgets : bool
        Whether it resets what comes on a connection that was at rest.
    freed : list of tuple
        The (namespace, part) that it was told to free.
    fatal : bytes or None
        Body of a request that ends the target when it runs it.
    ended : bool
        Whether it has ended by one.
    limit : str or None
        What it names in its answers as the requests a second that it takes.
    told : list of tuple
        When an answer to a request named it, with that request's id.
    cancelled : int
        Requests whose connection closed while they ran.
    """

    def __init__(self, name, version=1):
        self.name = name
        self.version = version
        self.script = []
        self.ran = []
        self.heads = []
        self.orders = []
        self.fence = -1
        self.cancelled = 0
        self.connections = 0
        self.address = None
        self.epoch = 7
        self.events = []
        self.freed = []
        self.partial = []
        self.usual = 'whole'
        self.service = ''
        self.forgets = False
        self.fatal = None
        self.ended = False
        self.limit = None
        self.told = []
        self._writers = set()
        self._seen = set()
        self._server = None

    async def start(self):
        """Serve on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = self._server.sockets[0].getsockname()

    async def close(self):
        """Stop."""
        self._server.close()

    def end(self):
        """End as by a crash: all connections break, and no new one comes."""
        self.ended = True
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def entry(self, service, state='ready', domain='d1', model='', **fields):
        """Give what the target writes of itself, with further fields."""
        models = [{'name': model, 'version': self.version}] if model else []
        return {
            'service': service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': domain,
            'slots': 4,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'models': models,
            **fields,
        }

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                head, body = await read_request(reader)
                known = not self._is_new(writer)
                if self.forgets and known:
                    writer.transport.abort()
                    return
                if head['path'].startswith('/api/'):
                    self._answer_call(writer, head, body)
                    continue
                at = time.monotonic()
                self.heads.append({**head, 'at': at, 'limit': self.limit})
                name = self.script.pop(0) if self.script else self.usual
                if self.fatal is not None and body == self.fatal:
                    name = 'fatal'
                if name != 'shed' and not self._is_mine(head):
                    name = 'misdirected'
                if await BEHAVIOURS[name](self, head, body, reader, writer):
                    break
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            # The other side broke off, or the stand-in is closing.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _is_new(self, writer):
        new = id(writer) not in self._seen
        self._seen.add(id(writer))
        return new

    def _is_mine(self, head):
        wanted = head.get('x-landingspool-expect-instance', self.name)
        version = head.get('expect-version', str(self.version))
        return wanted == self.name and version == str(self.version)

    def name_limit(self, head=None):
        """Give the line of a head that names the limit, if one holds.

        Parameters
        ----------
        head : dict, optional
            Of the request that is answered.
        """
        if self.limit is None:
            return b''
        if head is not None:
            self.told.append((time.monotonic(), get_id(head)))
        return b'server-limit: ' + self.limit.encode('latin-1') + b'\r\n'

    def run(self, head, body):
        """Note that a request runs."""
        at = time.monotonic()
        self.ran.append({**head, 'body': body, 'at': at})

    def _answer_call(self, writer, head, body):
        path = head['path'].split('?')[0]
        status, value = CALLS[path](self, body)
        data = json.dumps(value).encode()
        writer.write(
            b'HTTP/1.1 %d X\r\ncontent-length: %d\r\n%s\r\n'
            % (status, len(data), self.name_limit())
            + data
        )

    def _report(self, body):
        models = [{'name': 'm', 'version': self.version, 'adapters': []}]
        return 200, {
            'stage': 'both',
            'models': models,
            'busy': False,
            'sequence': len(self.orders),
            'queue_depth': 0,
            'active_requests': 0,
        }

    def _order(self, body):
        order = json.loads(body)
        if order['fence'] < self.fence:
            return 412, {}
        if order['expected'] != len(self.orders):
            return 409, {}
        self.fence = order['fence']
        self.orders.append(order)
        self.version = order['version']
        return 202, {}

    def _events(self, body):
        return 200, {
            'epoch': self.epoch,
            'next_token': len(self.events),
            'lost': False,
            'events': [],
            'clock_ms': 1000.0,
        }

    def _list(self, body):
        return 200, {
            'epoch': self.epoch,
            'next_token': len(self.events),
            'held': self.events,
            'partial': self.partial,
        }

    def _free(self, body):
        call = json.loads(body)
        if call['epoch'] != self.epoch:
            return 409, {}
        self.freed += [tuple(part) for part in call['parts']]
        self.events = [
            e for e in self.events if (e[0], e[1]) not in self.freed
        ]
        self.partial = [
            p for p in self.partial if (p[0], p[1]) not in self.freed
        ]
        return 200, {}


CALLS = {
    '/api/report': Runner._report,
    '/api/order': Runner._order,
    '/api/kv-events': Runner._events,
    '/api/kv-list': Runner._list,
    '/api/kv-free': Runner._free,
}


async def read_request(reader):
    """Read one request; gives its head as a dict and its body."""
    data = await reader.readuntil(b'\r\n\r\n')
    lines = data.decode('latin-1').split('\r\n')
    method, path, _ = lines[0].split(' ')
    head = {'method': method, 'path': path}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            head[name.strip().lower()] = value.strip()
    body = b''
    if 'content-length' in head:
        body = await reader.readexactly(int(head['content-length']))
    return head, body


def get_id(head):
    """Give the caller's id of a request."""
    return head['x-landingspool-request-id']


def write_answer(runner, head, writer, status, body, *rows, stamp=True):
    """Write a whole framed answer."""
    lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}', *rows]
    lines.append(f'x-landingspool-request-id: {get_id(head)}')
    if stamp:
        lines.append(f'x-landingspool-response-stamp: stamp-{runner.name}')
    rows = '\r\n'.join(lines).encode() + b'\r\n' + runner.name_limit(head)
    writer.write(rows + b'\r\n' + body)


def write_unframed(head, writer, body):
    """Write an answer that only the end of the connection ends."""
    writer.write(
        b'HTTP/1.1 200 OK\r\nx-landingspool-response-stamp: s\r\n'
        + f'x-landingspool-request-id: {get_id(head)}'.encode()
        + b'\r\n\r\n'
        + body
    )


def write_chunk(writer, data):
    """Write one chunk."""
    writer.write(f'{len(data):x}\r\n'.encode() + data + b'\r\n')


def start_stream(runner, head, writer):
    """Write the head of a stream of events."""
    writer.write(
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n'
        b'content-type: text/event-stream\r\n'
        + f'x-landingspool-request-id: {get_id(head)}\r\n'
        f'x-landingspool-response-stamp: stamp-{runner.name}\r\n'.encode()
        + runner.name_limit(head)
        + b'\r\n'
    )


def list_events(head):
    """List the events of a stream that a caller does not have yet."""
    events = [make_event(number) for number in range(1, 5)]
    return events[int(head.get('last-event-id', 0)) :]


def make_event(number):
    """Give one event of a stream."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


@behaviour('whole')
async def answer_whole(runner, head, body, reader, writer):
    """Run, and answer whole."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, b'done')


@behaviour('kept')
async def answer_kept(runner, head, body, reader, writer):
    """Run, answer whole, and keep the connection for long."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, b'done', 'keep-alive: timeout=9')


@behaviour('failure')
async def answer_failure(runner, head, body, reader, writer):
    """Run, and answer with a failure."""
    runner.run(head, body)
    write_answer(runner, head, writer, 500, b'oops')


@behaviour('shed')
async def answer_shed(runner, head, body, reader, writer):
    """Refuse without running."""
    writer.write(
        b'HTTP/1.1 503 X\r\nx-landingspool-not-executed: 1\r\n'
        b'content-length: 0\r\n' + runner.name_limit(head) + b'\r\n'
    )


@behaviour('misdirected')
async def answer_misdirected(runner, head, body, reader, writer):
    """Refuse what is meant for another target."""
    writer.write(
        b'HTTP/1.1 421 X\r\ncontent-length: 0\r\n'
        + f'x-landingspool-instance-id: {runner.name}\r\n\r\n'.encode()
    )


@behaviour('unstamped')
async def answer_unstamped(runner, head, body, reader, writer):
    """Answer without the proof that the target made it."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, b'done', stamp=False)


@behaviour('coded')
async def answer_coded(runner, head, body, reader, writer):
    """Answer with another body than the target's own."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, b'zz', 'content-encoding: gzip')


@behaviour('foreign')
async def answer_foreign(runner, head, body, reader, writer):
    """Answer with what belongs to another request."""
    runner.run(head, body)
    other = {**head, 'x-landingspool-request-id': 'another'}
    write_answer(runner, other, writer, 200, b'not yours')


@behaviour('surplus')
async def answer_surplus(runner, head, body, reader, writer):
    """Answer twice."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, b'done')
    write_answer(runner, head, writer, 200, b'done')


@behaviour('nonsense')
async def answer_nonsense(runner, head, body, reader, writer):
    """Send what is no answer."""
    runner.run(head, body)
    writer.write(b'what is this\r\n\r\n')
    return True


@behaviour('unframed')
async def answer_unframed(runner, head, body, reader, writer):
    """Answer without a length, ended by an orderly close."""
    runner.run(head, body)
    write_unframed(head, writer, b'done')
    await writer.drain()
    return True


@behaviour('reset')
async def answer_reset(runner, head, body, reader, writer):
    """Run, and reset the connection within the answer."""
    runner.run(head, body)
    writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n')
    writer.write(
        f'x-landingspool-request-id: {get_id(head)}\r\n'
        'x-landingspool-response-stamp: s\r\n\r\npart'.encode()
    )
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()
    return True


@behaviour('closed')
async def answer_closed(runner, head, body, reader, writer):
    """Run, and close without an answer."""
    runner.run(head, body)
    return True


@behaviour('silent')
async def answer_silent(runner, head, body, reader, writer):
    """Run, and say nothing until the caller leaves."""
    runner.run(head, body)
    if not await reader.read(1):
        runner.cancelled += 1
    return True


@behaviour('stream')
async def answer_stream(runner, head, body, reader, writer):
    """Stream four events, from after the last one that the caller has."""
    runner.run(head, body)
    start_stream(runner, head, writer)
    for event in list_events(head):
        write_chunk(writer, event)
        await asyncio.sleep(0.01)
    writer.write(b'0\r\n\r\n')


@behaviour('broken stream')
async def answer_broken(runner, head, body, reader, writer):
    """Stream two events and half of the next, then reset."""
    runner.run(head, body)
    start_stream(runner, head, writer)
    events = list_events(head)
    for event in events[:2]:
        write_chunk(writer, event)
    for event in events[2:3]:
        write_chunk(writer, event[:9])
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()
    return True


@behaviour('endless event')
async def answer_endless(runner, head, body, reader, writer):
    """Stream one event, and then one that does not end."""
    runner.run(head, body)
    start_stream(runner, head, writer)
    write_chunk(writer, make_event(1))
    for _ in range(ENDLESS_PARTS):
        write_chunk(writer, b'x' * ENDLESS_BYTES)
        await writer.drain()


@behaviour('fatal')
async def answer_fatal(runner, head, body, reader, writer):
    """Begin to run, and end the whole target by it."""
    runner.run(head, body)
    await asyncio.sleep(FATAL_S)
    runner.end()
    return True


@behaviour('half event')
async def answer_half(runner, head, body, reader, writer):
    """Stream one event and a half, and end in order."""
    runner.run(head, body)
    start_stream(runner, head, writer)
    events = list_events(head)
    for event in events[:1]:
        write_chunk(writer, event)
    for event in events[1:2]:
        write_chunk(writer, event[:9])
    writer.write(b'0\r\n\r\n')


@behaviour('slow')
async def answer_slow(runner, head, body, reader, writer):
    """Run, and answer whole after a while."""
    runner.run(head, body)
    await asyncio.sleep(0.6)
    write_answer(runner, head, writer, 200, b'done')


@behaviour('echo')
async def answer_echo(runner, head, body, reader, writer):
    """Run, and answer with the caller's id."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, get_id(head).encode())


@behaviour('slow echo')
async def answer_slow_echo(runner, head, body, reader, writer):
    """Run, and answer with the caller's id after a while."""
    runner.run(head, body)
    await asyncio.sleep(0.4)
    write_answer(runner, head, writer, 200, get_id(head).encode())


@behaviour('unframed echo')
async def answer_unframed_echo(runner, head, body, reader, writer):
    """Answer with the caller's id, ended by an orderly close."""
    runner.run(head, body)
    write_unframed(head, writer, get_id(head).encode())
    await writer.drain()
    return True


@behaviour('surplus echo')
async def answer_surplus_echo(runner, head, body, reader, writer):
    """Answer twice with the caller's id."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, get_id(head).encode())
    write_answer(runner, head, writer, 200, get_id(head).encode())
