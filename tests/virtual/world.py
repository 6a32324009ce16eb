"""A few processes of boxes and stand-ins on stepped loops.

It orders what happens by time, carries messages with the network's faults,
and calls a plan when a step of the matrix is reached.  There is no model
of load or of hardware in it.
"""

import argparse
import random
import typing

from landingspool import box as box_module
from landingspool.decisions import identity
from landingspool import http
from landingspool import http_server
from landingspool import settings as settings_module
from standins import clock
from standins import engine
from standins import live
from standins import log
from standins import plain
from standins import store
from standins import weights
from tests.virtual import loop as loop_module
from tests.virtual import network
from tests.virtual import steps

LATENCY_S = 0.001
LATE_REQUEST_S = 2.0
LATE_MESSAGE_S = 8.0
WALL = 1_700_000_000.0
OPERATOR_KEY = 'operator-key-of-tests'
SECRET = 'link-secret-of-the-tests'
PLATFORM = ('log', 'live', 'weights')

STANDINS = {
    'log': (log.Log, {'rate': 100, 'retain': 100_000}),
    'live': (live.Live, {'lag': 0.5}),
    'weights': (weights.Weights, {'seconds': 1.3}),
    'store': (
        store.Store,
        {'memory': 2**22, 'disk': 2**22, 'bandwidth': 2**23},
    ),
    'plain': (plain.Plain, {'seconds': 0.1, 'slots': 4}),
    'target': (
        engine.Engine,
        {
            'slots': 4,
            'prefill': 40_000.0,
            'step': 0.05,
            'cache': 4,
            'block': 8192,
            'lag': 0.2,
            'version': 'v1',
            'checks': 1,
            'weights': '',
            'seed': 1,
        },
    ),
}


class Process(typing.NamedTuple):
    """One process: its loop, its domain and the object that it runs."""

    name: str
    domain: str
    loop: loop_module.Loop
    thing: typing.Any
    ports: tuple


class World:
    """Processes, their network and the plan of faults.

    Parameters
    ----------
    seed : int
    plan : callable, optional
        ``plan(world, step)`` is called at each Step; it may return ``drop``,
        ``late`` or ``double`` for what the step sends.
    """

    def __init__(self, seed=1, plan=None):
        self.rng = random.Random(seed)
        self.plan = plan
        self.now = 0.0
        self.processes = {}
        self.members = {}
        self.clocks = {}
        self.exchanges = []
        self.cuts = []
        self.frozen = {}
        self.dead = {}
        self.answers = []
        self.tables = []
        self.leaves = {}
        self.offsets = {}
        self.tasks = []
        self._ports = {}
        self._next_port = 20_000

    def start_standin(self, kind, name, domain, model='', **options):
        """Start a stand-in as a process."""
        build, defaults = STANDINS[kind]
        values = {**defaults, 'incarnation': f'{name}-1', **options}
        loop = loop_module.Loop(self.now)
        thing = loop.run(build, argparse.Namespace(**values))
        if kind == 'target':
            thing.client = network.Client(self, name)
        address = self._add(name, domain, loop, thing, [thing.handle])[0]
        loop.run(loop.create_task, thing.run())
        if kind not in PLATFORM:
            self.members[name] = {
                'name': name,
                'kind': kind,
                'domain': domain,
                'host': address.host,
                'port': address.port,
                'model': model,
                'incarnation': values['incarnation'],
                'checks_fences': bool(values.get('checks', 1)),
            }
        return thing

    def start_box(self, name, domain, policy=None):
        """Start a box as a process."""
        loop = loop_module.Loop(self.now)
        client = network.Client(self, name)
        self.clocks[name] = clock.StallingClock(loop.time)
        outside = box_module.Environment(
            client, self.clocks[name], lambda: WALL + loop.time()
        )
        settings = self._make_settings(name, domain, policy or {})
        incarnation = f'{int(self.now * 1000):08x}'
        box = loop.run(box_module.Box, settings, incarnation, outside)
        self._hook_recorder(name, box.recorder)
        self._hook_table(name, box.node)
        links = network.Links(self, name, box.core.deliver)
        box.links = links
        handlers = [box.serving.handle, box.operating.handle, links]
        addresses = self._add(name, domain, loop, box, handlers)
        self.members[name] = {
            'name': name,
            'kind': 'entry',
            'domain': domain,
            'host': addresses[2].host,
            'port': addresses[2].port,
            'operators_port': addresses[1].port,
        }
        loop.run(box.start, links)
        loop.run(loop.create_task, self._watch_drain(box))
        return box

    def start_callers(self):
        """Start the process that callers and operators are in."""
        loop = loop_module.Loop(self.now)
        self._add('callers', '', loop, None, [])
        return network.Client(self, 'callers')

    def announce(self):
        """Put all members on the live list."""
        shown = self.processes['live'].thing.shown
        shown.clear()
        shown.update({n: dict(row) for n, row in self.members.items()})

    def spawn(self, coroutine, process='callers'):
        """Run a coroutine in a process; returns its task."""
        loop = self.processes[process].loop
        task = loop.run(loop.create_task, coroutine)
        self.tasks.append(task)
        return task

    def get_address(self, box, port=0):
        """Give an address of a process: callers', operators', links'."""
        return self.processes[box].ports[port]

    def list_boxes(self):
        """List the living boxes."""
        return [
            name
            for name, process in self.processes.items()
            if isinstance(process.thing, box_module.Box)
        ]

    def run(self, until):
        """Let things happen until a time."""
        while True:
            when, process = self._find_next()
            if when > until:
                self.now = until
                return
            self.now = max(self.now, when)
            process.loop.step(self.now)

    def run_until(self, check, most):
        """Let things happen until a condition holds; tells if it does."""
        while not check():
            when, process = self._find_next()
            if when > most:
                return False
            self.now = max(self.now, when)
            process.loop.step(self.now)
        return True

    def finish(self, most):
        """Let the callers get their answers and the boxes agree."""
        limit = self.now + most
        self.run_until(lambda: all(t.done() for t in self.tasks), limit)
        self.run(self.now + 3.0)
        self.run_until(self._agree, self.now + 20.0)

    def _agree(self):
        log = self.processes['log'].thing
        last = log.firsts['configuration'] + len(log.streams['configuration'])
        return all(
            self.processes[name].thing.node.table.offset == last - 1
            for name in self.list_boxes()
        )

    def kill(self, name):
        """Kill a process: its peers see their connections reset."""
        process = self.processes.pop(name, None)
        if process is None:
            return
        self.dead[name] = process
        self.frozen.pop(name, None)
        for exchange in list(self.exchanges):
            if exchange.server == name:
                exchange.reset('killed')
            elif exchange.client == name:
                exchange.call.closed = True
                exchange.hang_up()

    def freeze(self, name, seconds):
        """Stop a process from running for a time."""
        self.frozen[name] = self.now + seconds

    def cut(self, one, other, seconds, both=True):
        """Cut what matches `one` from what matches `other` for a time.

        Each is a process, a domain or ``platform``.
        """
        until = self.now + seconds
        self.cuts.append((one, other, until))
        if both:
            self.cuts.append((other, one, until))

    def find(self, address):
        """Give the process that listens at an address, or None."""
        name = self._ports.get(address, (None,))[0]
        return name if name in self.processes else None

    async def travel(self, owner, address):
        """Wait for as long as a connect takes, both ways."""
        name = self._ports.get(address, (None,))[0]
        loop = self.processes[owner].loop
        future = loop.create_future()
        delay = self.measure_delay(owner, name)
        delay += self.measure_delay(name, owner)
        if delay != float('inf'):
            loop.call_later(delay, settle, future)
        await future

    def measure_delay(self, source, target):
        """Give the seconds that something takes on its way now."""
        delay = LATENCY_S * (1 + self.rng.random())
        for one, other, until in self.cuts:
            if until > self.now and self._matches(source, one):
                if self._matches(target, other):
                    delay = max(delay, until - self.now + LATENCY_S)
        return delay

    def post_now(self, name, call):
        """Run a call in another process after the latency."""
        process = self.processes.get(name)
        if process is not None:
            process.loop.call_at(self.now + LATENCY_S, call)

    def record_request(self, exchange):
        """Carry a request to its server."""
        step = steps.name_request(exchange.request)
        if step == 'dispatch':
            step += self._name_kind(exchange.server)
        what = self._reach(
            steps.Step(step, exchange.client, exchange.server, exchange)
        )
        delay = self.measure_delay(exchange.client, exchange.server)
        if what == 'drop':
            exchange.reset('lost')
            return
        if what == 'late':
            delay += LATE_REQUEST_S
        process = self.processes.get(exchange.server)
        if process is None:
            exchange.ended = False
            exchange.reset('nobody there')
            return
        port = self._ports[exchange.call.address][1]
        process.loop.call_at(self.now + delay, self._serve, port, exchange)

    def record_part(self, exchange, value):
        """Note a part of a stream of a target."""
        if exchange.request.path != '/v1/completions':
            return
        if exchange.client == 'callers':
            return
        if isinstance(value, dict) and value.get('end'):
            name = 'finish'
        elif exchange.index == 1:
            name = 'first token'
        else:
            name = 'stream'
        name += self._name_kind(exchange.server)
        step = steps.Step(name, exchange.client, exchange.server, exchange)
        if self._reach(step) == 'drop':
            exchange.reset('cut')

    def _name_kind(self, server):
        # Steps of work that must not be repeated have names of their own.
        process = self.processes.get(server)
        once = process and isinstance(process.thing, plain.Plain)
        return ' once' if once else ''

    def record_answer(self, exchange):
        """Note the end of an answer to a caller."""
        if exchange.client != 'callers':
            return
        if exchange.request.path == '/v1/completions':
            keyed = 'idempotency-key' in exchange.request.headers
            name = 'answer once' if keyed else 'answer'
            step = steps.Step(name, exchange.server, 'callers', exchange)
            if self._reach(step) == 'drop':
                exchange.reset('cut')

    def record_message(self, sender, box, message):
        """Carry a message between boxes."""
        step = steps.MESSAGES.get(type(message), '')
        what = self._reach(steps.Step(step, sender, box, message))
        delay = self.measure_delay(sender, box)
        process = self.processes.get(box)
        if what == 'drop' or process is None or delay > 2 * LATENCY_S:
            return
        if what == 'late':
            delay += LATE_MESSAGE_S
        take = process.thing.links.take
        process.loop.call_at(self.now + delay, take, sender, message)
        if what == 'double':
            later = self.now + delay + 0.5
            process.loop.call_at(later, take, sender, message)

    def _serve(self, port, exchange):
        process = self.processes.get(exchange.server)
        if process is None:
            return
        handler = self._ports[exchange.call.address][2]
        coroutine = self._handle(handler, exchange)
        process.loop.create_task(coroutine)

    async def _handle(self, handler, exchange):
        try:
            await handler(exchange.request, exchange)
        except http.BadRequest as error:
            await http_server.answer_bad_request(exchange, error)
        except OSError:
            exchange.abort()
        finally:
            if exchange in self.exchanges:
                self.exchanges.remove(exchange)

    def _reach(self, step):
        if self.plan is None or not step.name:
            return None
        return self.plan(self, step)

    def _hook_recorder(self, name, recorder):
        record = recorder.record

        def hooked(event, **fields):
            result = record(event, **fields)
            if event in steps.EVENTS:
                self._reach(
                    steps.Step(steps.EVENTS[event], name, subject=fields)
                )
            return result

        recorder.record = hooked

    def _hook_table(self, name, node):
        put = node.set_table

        def hooked(table):
            put(table)
            self.offsets.setdefault(name, []).append(node.table.offset)

        node.set_table = hooked

    async def _watch_drain(self, box):
        await box.wait_drained()
        await box.close()
        self.kill(box.settings.box.name)

    def _add(self, name, domain, loop, thing, handlers):
        addresses = []
        for index, handler in enumerate(handlers):
            self._next_port += 1
            address = http.Address('127.0.0.1', self._next_port)
            self._ports[address] = (name, index, handler)
            addresses.append(address)
        ports = tuple(addresses)
        process = Process(name, domain, loop, thing, ports)
        self.processes[name] = process
        self.dead.pop(name, None)
        return ports

    def _find_next(self):
        best, found = float('inf'), None
        for process in self.processes.values():
            when = process.loop.next_time()
            if process.name in self.frozen:
                when = max(when, self.frozen[process.name])
            if when < best:
                best, found = when, process
        return best, found

    def _matches(self, name, pattern):
        if name == pattern:
            return True
        if pattern == 'platform':
            return name in PLATFORM
        if pattern == 'other domains':
            return False
        process = self.processes.get(name) or self.dead.get(name)
        return process is not None and process.domain == pattern

    def _make_settings(self, name, domain, policy):
        at = {'host': '127.0.0.1', 'port': 1}
        platform = {}
        for part in PLATFORM:
            address = self.get_address(part)
            platform[part] = {'host': address.host, 'port': address.port}
        raw = {
            'box': {'name': name, 'domain': domain},
            'callers': at,
            'operators': {**at, 'key': OPERATOR_KEY},
            'links': {**at, 'secret': SECRET},
            'platform': platform,
            'policy': {'grant_lease_s': 6.0, **policy},
        }
        settings, errors = settings_module.check(raw)
        assert not errors, errors
        return settings


def settle(future):
    """End a wait, unless whoever waited has given up."""
    if not future.done():
        future.set_result(None)


def make_row(name, limit=20):
    """Give a row of the table."""
    return {
        'workspace': name,
        'weight': 1.0,
        'share': 0.4,
        'limit': limit,
        'priority': 1,
        'key_hash': identity.hash_key(f'key-{name}'),
    }
