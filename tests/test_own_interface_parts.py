"""An error in one part of a box with its own interface ends no other."""

import asyncio
import gc
import socket

import pytest

from landingspool.callers import server as callers_server
from landingspool import connection
from landingspool import core
from landingspool import daemon as daemon_module
from landingspool.decisions import configuration
from landingspool import http_server
from landingspool import httpclient
from landingspool.ledger import claimer
from landingspool.ledger import follower
from landingspool.ledger import live
from landingspool.operators import server as operators
from landingspool import settings as settings_module
from tests.virtual import stories
from tests.virtual import world as world_module

ALWAYS = 10**6
# The kept tasks, and what is called in each of their rounds.
PARTS = {
    'loads': (core.Core, '_poll_load'),
    'cache_events': (core.Core, '_poll_cache'),
    'stores': (core.stores, 'fetch_listing'),
    'live': (live.LiveList, 'read'),
    'configuration': (follower.Follower, 'read_once'),
    'claims': (claimer.Claimer, '_read_once'),
}

# A process that is dropped leaves coroutines that nobody will ever await.
pytestmark = pytest.mark.filterwarnings('ignore:coroutine .* never awaited')


def fail_first(monkeypatch, owner, method, times):
    """Have a method fail `times` times; return the list of its calls."""
    real, calls = getattr(owner, method), []

    def call(*args):
        calls.append(args)
        if len(calls) <= times:
            raise ZeroDivisionError('made by the test')
        return real(*args)

    monkeypatch.setattr(owner, method, call)
    return calls


def list_faults(world, task):
    """List the events of one task's errors, of all boxes."""
    return [
        event
        for name in world.list_boxes()
        for event in world.processes[name].thing.recorder.select(task=task)
    ]


def ask(world, name):
    """Send one request and return its last answer."""
    world.spawn(stories.ask(world, name, 'a', 'a' + stories.PIECE, box=0))
    world.finish(30.0)
    return world.answers[-1].answers[-1]


@pytest.mark.parametrize('times', [1, ALWAYS], ids=['once', 'always'])
@pytest.mark.parametrize('task', PARTS)
def test_a_failing_part_comes_back_and_ends_no_other(task, times, monkeypatch):
    world = stories.build(1)
    calls = fail_first(monkeypatch, *PARTS[task], times)
    assert world.run_until(lambda: len(calls) > 8, world.now + 20.0)
    if task != 'loads' or times == 1:
        # Without reports of targets nothing is granted, and nothing is lost.
        assert ask(world, 'r1').whole
    event = list_faults(world, task)[0]
    assert 'made by the test' in event.fields['reason']


def test_a_target_whose_report_raises_leaves_the_others_in_use(monkeypatch):
    world = stories.build(1)
    real = core.targets.fetch_load

    async def fetch_load(client, member):
        if member.name == 'e00':
            raise ZeroDivisionError('made by the test')
        return await real(client, member)

    monkeypatch.setattr(core.targets, 'fetch_load', fetch_load)
    world.run(world.now + 3.0)
    assert ask(world, 'r1').whole
    assert list_faults(world, 'loads')


def test_a_failing_tick_is_reported_and_called_again(monkeypatch):
    world = stories.build(1)
    calls = fail_first(monkeypatch, core.Core, '_tick', 0)
    box = world.processes[world.list_boxes()[0]].thing
    fail_first(monkeypatch, type(box.node), 'tick', 3)
    world.run(world.now + 2.0)
    assert ask(world, 'r1').whole
    assert list_faults(world, 'Core._tick')
    assert not calls


def test_one_record_that_can_not_be_applied_stops_no_follower(monkeypatch):
    world = stories.build(1)
    real = configuration.fold

    def fold(table, offset, data):
        if b'odd' in data:
            raise RecursionError('made by the test')
        return real(table, offset, data)

    monkeypatch.setattr(configuration, 'fold', fold)
    for edit, limit in (('odd', 21), ('next', 22)):
        work = stories.publish(world, 'north-0', edit, ['a'], [1], limit=limit)
        world.spawn(work)
        world.run(world.now + 8.0)
    boxes = [world.processes[name].thing for name in world.list_boxes()]
    assert [box.node.table.rows['a'].limit for box in boxes] == [22] * 4
    events = list_faults(world, 'records')
    assert events
    assert all(event.name == 'record_passed_over' for event in events)


class OddLog:
    """A log whose first append raises an error after it was carried out."""

    def __init__(self):
        self.entries = []
        self.appends = 0

    async def append(self, stream, data):
        """Append."""
        self.appends += 1
        self.entries.append(data)
        if self.appends == 1:
            raise ZeroDivisionError('made by the test')
        return claimer.outcomes.Appended(len(self.entries) - 1)

    async def read(self, stream, after):
        """Read."""
        rows = list(enumerate(self.entries))
        return claimer.outcomes.Page(0, len(rows), tuple(rows[after + 1 :]))


class Silence:
    """A recorder that keeps nothing."""

    def record(self, event, **fields):
        """Keep nothing."""


def test_a_claimer_that_is_started_again_reads_once_and_settles(monkeypatch):
    monkeypatch.setattr(claimer, 'POLL_S', 0.01)
    monkeypatch.setattr(claimer, 'IDLE_POLL_S', 0.01)

    async def check():
        box = claimer.Claimer(OddLog(), 'b1.i1', 60.0, Silence(), lambda: 1)
        running = asyncio.ensure_future(box.run())
        await asyncio.sleep(0.05)
        claim = asyncio.ensure_future(box.claim('k', 100.0))
        await asyncio.wait({running})
        # Nothing of the first run is left.
        others = asyncio.all_tasks() - {asyncio.current_task(), claim}
        running = asyncio.ensure_future(box.run())
        outcome = await claim
        running.cancel()
        return len(others), outcome

    left, outcome = asyncio.run(check())
    assert left == 0
    assert isinstance(outcome, claimer.Won)


def test_retries_of_a_keyed_request_that_failed_get_its_fault(monkeypatch):
    world = stories.build(1)
    box = world.processes['north-0'].thing

    async def serve(server, parsed, row, writer):
        raise ZeroDivisionError('made by the test')

    monkeypatch.setattr(callers_server.CallerServer, '_serve', serve)
    loop = world.processes['north-0'].loop
    serving = box.serving
    loop.run(serving.answer_cache.begin, 'key')
    writer = callers_server.AnswerWriter(None, None, 'r1')
    task = loop.run(
        loop.create_task, serving._run_keyed(None, None, writer, 'key')
    )
    world.run(world.now + 1.0)
    assert isinstance(task.exception(), ZeroDivisionError)
    stored = serving.answer_cache.find('key').result()
    assert stored.status == 500
    assert b'may_have_run' in stored.body


def make_daemon():
    """Return a daemon whose platform can't be reached."""
    at = {'host': '127.0.0.1', 'port': 1}
    raw = {
        'box': {'name': 'one', 'domain': 'd'},
        'callers': at,
        'operators': {**at, 'key': world_module.OPERATOR_KEY},
        'links': {**at, 'secret': world_module.SECRET},
        'platform': dict.fromkeys(world_module.PLATFORM, at),
    }
    settings, errors = settings_module.check(raw)
    assert not errors
    return daemon_module.Daemon(settings)


@pytest.mark.parametrize(
    ('routes', 'server', 'call', 'task'),
    [
        (
            callers_server.ROUTES,
            'caller_server',
            ('POST', '/v1/completions'),
            'caller_requests',
        ),
        (
            operators.ROUTES,
            'operator_server',
            ('GET', '/admin/status'),
            'operator_requests',
        ),
    ],
)
def test_each_server_answers_a_request_whose_handling_failed(
    routes, server, call, task, monkeypatch
):
    async def fail(owner, request, exchange):
        raise RecursionError('made by the test')

    async def check():
        daemon = make_daemon()
        client = httpclient.Client()
        monkeypatch.setitem(routes, call, fail)
        address = await getattr(daemon, server).start('127.0.0.1', 0)
        key = f'Bearer {world_module.OPERATOR_KEY}'
        reply = await client.fetch(
            address, *call, b'{}', [('authorization', key)]
        )
        client.close()
        await getattr(daemon, server).close()
        (event,) = daemon.box.recorder.select(task=task)
        metrics = daemon.box.metrics.render().decode()
        daemon.box.timer.close()
        return reply, event, metrics

    reply, event, metrics = asyncio.run(check())
    assert reply.status == 500
    assert reply.headers['connection'] == 'close'
    assert reply.json()['error']['verdict'] == 'may_have_run'
    assert event.name == 'fault'
    assert f'task_failures_total{{task="{task}"}} 1.0' in metrics


def test_a_body_that_ends_after_a_planned_stop_began_is_not_run():
    # Guards against LOST: it would be cut as the process ends.
    head = (
        b'POST /v1/completions HTTP/1.1\r\nhost: h\r\n'
        b'authorization: Bearer k\r\ncontent-length: 2\r\n\r\n'
    )

    async def check():
        daemon = make_daemon()
        address = await daemon.caller_server.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(head + b'{')
        await asyncio.sleep(0.1)
        daemon.box.serving.stopping = True
        writer.write(b'}')
        async with asyncio.timeout(2.0):
            answer = await reader.readuntil(b'}}')
        writer.close()
        await daemon.caller_server.close()
        daemon.box.timer.close()
        return answer

    answer = asyncio.run(check())
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'not_run' in answer


def test_a_caller_that_resets_its_connection_is_no_error_of_the_box():
    async def check():
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda loop, context: errors.append(context)
        )

        async def handle(request, exchange):
            gone = asyncio.ensure_future(exchange.wait_gone())
            await asyncio.wait({gone})

        server = http_server.Server(handle)
        address = await server.start('127.0.0.1', 0)
        _, writer = await asyncio.open_connection(*address)
        writer.write(b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n')
        await asyncio.sleep(0.05)
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, connection.NO_LINGER
        )
        writer.transport.abort()
        await asyncio.sleep(0.1)
        await server.close()
        gc.collect()
        await asyncio.sleep(0)
        return errors

    assert asyncio.run(check()) == []
