"""Stand-in for a target on the platform, by its published protocol.

It answers requests by a script of behaviours, byte for byte, so that each
fault of a target can be had on its own; it also takes reports, orders and
calls for cache events.
"""

import asyncio
import json
import time
import typing

from landingspool.platform import limits
from landingspool.platform import names
from standins import behaviours


# Seconds after which surplus bytes come that come soon.
SOON_S = 0.02


class JudgedOrder(typing.NamedTuple):
    """An order, when it came and was judged, and the status of its answer."""

    at: float
    holder: str
    fence: int
    status: int
    arrived: float


class Said(typing.NamedTuple):
    """What an answer to a request said of its target.

    Attributes
    ----------
    at : float
    name : str
        The caller's id of the request.
    rest_s : float or None
        The seconds of rest that it asked for; None: it said that it leaves.
    """

    at: float
    name: str
    rest_s: float | None = None


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
    asked : list of float
        When orders arrived, also those that it did not take.
    judged : list of JudgedOrder
        The orders that it took or refused, as far as they were valid.
    forgets : bool
        Whether it resets what comes on a connection that was at rest.
    forget_s : float
        Seconds after which it does so.
    freed : list of tuple
        The (namespace, part) that it was told to free.
    fatal : bytes or None
        Body of a request that ends the target when it runs it.
    fatal_parts : frozenset of str
        Parts of prompts that end the target when it runs a request with one.
    ended : bool
        Whether it has ended by one.
    deaf_s : float
        Seconds for which it reads nothing from a new connection.
    queue_s : float
        Seconds for which a queued request waits before it begins.
    limit : str or None
        What it names in its answers as the requests a second that it takes.
    told : list of tuple
        When an answer to a request named it, with that request's id.
    leaving : bool
        Whether it says in its answers that it leaves.
    rest : str or None
        What it names as the seconds of rest that it wants, where it sheds.
    said : list of Said
        What its answers to requests said, but for the limit.
    cancelled : int
        Requests whose connection closed while they waited or ran.
    endless_bytes : int
        Bytes of answers without end that it has sent.
    software : str
        Version of its software, which its entry names.
    late_s : float or None
        Seconds after which it carries out an order that it leaves without an
        answer, if that is still valid then; None: it answers at once.
    load_s : float
        Seconds that a load takes; meanwhile it turns away what needs a model.
    busy : bool
        Whether it loads.
    on_load : callable
        Called without arguments when it has loaded.
    calls_again : str
        When it sends its answers to calls once more, as in SURPLUS_TIMES; it
        does not if this is empty.
    odd_bodies : dict of str to bytes
        What it answers calls with in the place of what is so, by their path.
    """

    def __init__(self, name, version=1):
        self.name = name
        self.version = version
        self.script = []
        self.ran = []
        self.heads = []
        self.orders = []
        self.asked = []
        self.judged = []
        self.fence = -1
        self.cancelled = 0
        self.endless_bytes = 0
        self.connections = 0
        self.address = None
        self.epoch = 7
        self.events = []
        self.freed = []
        self.partial = []
        self.usual = 'whole'
        self.service = ''
        self.forgets = False
        self.forget_s = 0.0
        self.fatal = None
        self.fatal_parts = frozenset()
        self.ended = False
        self.deaf_s = 0.0
        self.queue_s = 0.0
        self.limit = None
        self.told = []
        self.leaving = False
        self.rest = None
        self.said = []
        self.software = 'v1'
        self.late_s = None
        self.load_s = 0.0
        self.busy = False
        self.on_load = do_nothing
        self.calls_again = ''
        self.odd_bodies = {}
        self._owed = {}
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
            'version': self.software,
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
        if self.deaf_s:
            writer.transport.pause_reading()
            await asyncio.sleep(self.deaf_s)
            writer.transport.resume_reading()
        try:
            while True:
                head, body = await read_request(reader)
                writer.write(self._owed.pop(writer, b''))
                known = not self._is_new(writer)
                if self.forgets and known:
                    await asyncio.sleep(self.forget_s)
                    writer.transport.abort()
                    return
                if head['path'].startswith('/api/'):
                    self._answer_call(writer, head, body)
                    continue
                at = time.monotonic()
                name = self._choose_behaviour(head)
                head['how'] = name
                self.heads.append(
                    {
                        **head,
                        'at': at,
                        'limit': self.limit,
                        'shed': name == 'shed',
                    }
                )
                name = self._correct_behaviour(name, head, body)
                if await behaviours.BEHAVIOURS[name](
                    self, head, body, reader, writer
                ):
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
            self._owed.pop(writer, None)
            writer.close()

    def send_surplus(self, writer, data, when):
        """Send bytes that belong to no request, as in SURPLUS_TIMES."""
        if when == 'at once':
            writer.write(data)
        elif when == 'soon':
            loop = asyncio.get_running_loop()
            loop.call_later(SOON_S, write_if_open, writer, data)
        else:
            self._owed[writer] = data

    def _is_new(self, writer):
        new = id(writer) not in self._seen
        self._seen.add(id(writer))
        return new

    def _choose_behaviour(self, head):
        if self.busy and names.MODEL in head:
            return 'loading'
        return self.script.pop(0) if self.script else self.usual

    def _correct_behaviour(self, name, head, body):
        if name == 'loading':
            return name
        if self._is_fatal(head, body):
            name = 'fatal'
        if name != 'shed' and not self._is_mine(head):
            name = 'misdirected'
        return name

    def _is_fatal(self, head, body):
        if self.fatal is not None and body == self.fatal:
            return True
        return not self.fatal_parts.isdisjoint(list_parts(head))

    def _is_mine(self, head):
        wanted = head.get('x-landingspool-expect-instance', self.name)
        version = head.get('expect-version', str(self.version))
        return wanted == self.name and version == str(self.version)

    def say(self, head=None):
        """Give the lines of a head that say something of this target.

        Parameters
        ----------
        head : dict, optional
            Of the request that is answered.
        """
        lines = b''
        if head is not None and names.MODEL in head:
            lines += f'{names.VERSION}: {self.version}\r\n'.encode()
        if self.leaving:
            self._record_said(head)
            lines += b'server-leaving: 1\r\n'
        if self.limit is not None:
            if head is not None:
                self.told.append((time.monotonic(), behaviours.get_id(head)))
            limit = self.limit.encode('latin-1')
            lines += b'server-limit: ' + limit + b'\r\n'
        return lines

    def ask_rest(self, head):
        """Give the line of a refusal that asks for rest, if it wants some."""
        if self.rest is None:
            return b''
        if limits.DECIMAL.fullmatch(self.rest):
            self._record_said(head, float(self.rest))
        return b'retry-after: ' + self.rest.encode('latin-1') + b'\r\n'

    def _record_said(self, head, rest_s=None):
        if head is not None:
            name = behaviours.get_id(head)
            self.said.append(Said(time.monotonic(), name, rest_s))

    def run(self, head, body):
        """Note that a request runs, and on which version of the weights."""
        began = {'at': time.monotonic(), 'version': self.version}
        self.ran.append({**head, 'body': body, **began})

    def _answer_call(self, writer, head, body):
        path = head['path'].split('?')[0]
        if path == names.ORDER_PATH:
            arrived = time.monotonic()
            self.asked.append(arrived)
            if self.late_s is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(self.late_s, self._order, body, arrived)
                return
        status, value = CALLS[path](self, body)
        body = self.odd_bodies.get(path) or json.dumps(value).encode()
        data = (
            b'HTTP/1.1 %d X\r\ncontent-length: %d\r\n%s\r\n'
            % (status, len(body), self.say())
            + body
        )
        writer.write(data)
        if self.calls_again:
            self.send_surplus(writer, data, self.calls_again)

    def _report(self, body):
        models = [{'name': 'm', 'version': self.version, 'adapters': []}]
        return 200, {
            'stage': 'both',
            'models': models,
            'busy': self.busy,
            'sequence': len(self.orders),
            'queue_depth': 0,
            'active_requests': 0,
        }

    def _order(self, body, arrived=None):
        order = json.loads(body)
        status = self._judge(order)
        now = time.monotonic()
        self.judged.append(
            JudgedOrder(
                now,
                order.get('holder', ''),
                order['fence'],
                status,
                now if arrived is None else arrived,
            )
        )
        if status == 202:
            self._begin_load(order)
        return status, {}

    def _judge(self, order):
        """Return the status of the answer to an order."""
        if order['fence'] < self.fence:
            return 412
        if self.busy or order['expected'] != len(self.orders):
            return 409
        return 202

    def _begin_load(self, order):
        self.fence = order['fence']
        self.orders.append(order)
        if not self.load_s:
            self._end_load(order)
            return
        self.busy = True
        loop = asyncio.get_running_loop()
        loop.call_later(self.load_s, self._end_load, order)

    def _end_load(self, order):
        self.version = order['version']
        self.busy = False
        self.on_load()

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


def write_if_open(writer, data):
    """Write to a connection unless it is closing."""
    if not writer.is_closing():
        writer.write(data)


def do_nothing():
    """Ignore that a target has loaded."""


def list_parts(head):
    """List the parts of a request's prompt, but for the last."""
    rows = head.get('x-landingspool-prefix-hash', '').split(',')
    return [row.partition(':')[0] for row in rows[:-1]]


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
