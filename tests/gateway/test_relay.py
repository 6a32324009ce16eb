"""Answers to callers for each behaviour of a target.

The rules under test: a refusal that promises "not executed" is true, a
request that must not be repeated runs once at most, and only the complete
answer to the caller's own request looks like a success.
"""

import asyncio

import pytest

from landingspool.gateway import upstream
from tests.gateway import site

# behaviour of the first target, route -> status, executions at all targets
CASES = (
    ('whole', 'safe', 200, 1),
    ('whole', 'unsafe', 200, 1),
    ('failure', 'safe', 200, 2),
    ('failure', 'unsafe', 500, 1),
    ('shed', 'safe', 200, 1),
    ('shed', 'unsafe', 503, 0),
    ('unstamped', 'safe', 200, 2),
    ('unstamped', 'unsafe', 502, 1),
    ('coded', 'unsafe', 502, 1),
    ('foreign', 'unsafe', 504, 1),
    ('foreign', 'safe', 200, 2),
    ('surplus', 'unsafe', 200, 1),
    ('nonsense', 'unsafe', 502, 1),
    ('nonsense', 'safe', 200, 2),
    ('unframed', 'unsafe', 200, 1),
    ('reset', 'unsafe', 502, 1),
    ('reset', 'safe', 200, 2),
    ('closed', 'unsafe', 502, 1),
    ('closed', 'safe', 200, 2),
    ('silent', 'safe', 200, 2),
    ('silent', 'unsafe', 504, 1),
)


def script(runners, behaviour):
    """Have the target that is asked first show the behaviour once."""
    shared = [behaviour]
    for runner in runners:
        runner.script = shared


@pytest.mark.parametrize(('behaviour', 'route', 'status', 'runs'), CASES)
def test_answers_of_plain_targets(behaviour, route, status, runs):
    async def check(deployment):
        hub = await deployment.start_box()
        script(deployment.plain, behaviour)
        got = await site.ask(hub, f'/{route}/a')
        assert got.status == status
        assert sum(len(r.ran) for r in deployment.plain) == runs
        assert got.whole
        assert got.body == b'done' or status != 200
        stamped = 'x-landingspool-response-stamp' in got.headers
        assert stamped == (status in (200, 500))
        if status == 503:
            assert float(got.headers['retry-after']) > 0

    site.run(check)


STREAMS = (
    # behaviour, route -> complete, events, executions
    ('stream', 'stream', True, 4, 1),
    ('stream', 'resumed', True, 4, 1),
    ('broken stream', 'stream', False, 2, 1),
    ('broken stream', 'resumed', True, 4, 2),
    ('endless event', 'stream', False, 1, 1),
    ('endless event', 'resumed', True, 4, 2),
    ('unframed stream', 'stream', True, 4, 1),
    ('unframed stream', 'resumed', True, 4, 1),
    ('unframed half event', 'stream', False, 1, 1),
    ('unframed half event', 'resumed', True, 4, 2),
    ('half event', 'stream', False, 1, 1),
    ('half event', 'resumed', True, 4, 2),
)


@pytest.mark.parametrize(
    ('behaviour', 'route', 'whole', 'events', 'runs'), STREAMS
)
def test_streams(behaviour, route, whole, events, runs):
    async def check(deployment):
        hub = await deployment.start_box()
        shared = [behaviour, 'stream']
        for runner in deployment.engines:
            runner.script = shared
        got = await site.ask(hub, f'/{route}/a', headers=PROMPT)
        assert got.status == 200
        assert got.whole == whole
        numbers = [
            int(line[4:])
            for line in got.body.decode().splitlines()
            if line.startswith('id: ')
        ]
        assert numbers == list(range(1, events + 1))
        assert sum(len(r.ran) for r in deployment.engines) == runs

    site.run(check)


@pytest.mark.parametrize(
    'behaviour', ['half event', 'unframed half event', 'broken stream']
)
def test_a_stream_that_ends_within_an_event_counts_against_its_target(
    behaviour,
):
    async def check(deployment):
        hub = await deployment.start_box()
        script(deployment.engines, behaviour)
        await site.ask(hub, '/stream/a', headers=PROMPT)
        assert [h.failing > 0 for h in hub.view._health.values()] == [True]

    site.run(check)


def test_an_event_without_end_is_left_at_once():
    async def check(deployment):
        hub = await deployment.start_box()
        for runner in deployment.engines:
            runner.script = ['endless event']
        began = hub.clock()
        got = await site.ask(hub, '/stream/a', headers=PROMPT)
        assert not got.whole
        # The caller's deadline is 2.5 s.
        assert hub.clock() - began < 1.5

    site.run(check)


PROMPT = (
    ('x-landingspool-model-name', 'm'),
    ('x-landingspool-token-usage', '300,10'),
    ('x-landingspool-prefix-hash', 'aa:100,bb:150,cc:50'),
)


def test_what_a_target_is_told():
    async def check(deployment):
        hub = await deployment.start_box()
        sent = (
            *PROMPT,
            ('x-landingspool-tenant-id', 'forged'),
            ('cache-salt', 'forged'),
            ('pin-ms', '4000'),
            ('connection', 'x-hop'),
            ('x-hop', '1'),
            ('x-own', 'kept'),
        )
        for runner in deployment.engines:
            runner.script = ['stream']
        await site.ask(hub, '/stream/a?b=c', b'body', sent)
        (head,) = [h for r in deployment.engines for h in r.ran]
        assert head['x-landingspool-tenant-id'] == 'w1'
        assert head['cache-salt'] == 'm.1'
        assert head['expect-version'] == '1'
        assert head['priority'] == '2'
        assert head['path'] == '/stream/a?b=c'
        assert head['body'] == b'body'
        assert head['host'] == site.HOST
        assert head['x-own'] == 'kept'
        assert 0 < int(head['x-landingspool-deadline-ms']) <= 2500
        for name in ('authorization', 'pin-ms', 'x-hop', 'connection'):
            assert name not in head

    site.run(check)


DENIALS = (
    ('/nowhere/', site.KEY, 404),
    ('/safe/', 'unknown', 401),
    ('/safe/', '', 401),
)


@pytest.mark.parametrize(('path', 'key', 'status'), DENIALS)
def test_denials(path, key, status):
    async def check(deployment):
        hub = await deployment.start_box()
        assert (await site.ask(hub, path, key=key)).status == status
        assert (await site.ask(hub, '/safe/a')).status == 200
        assert sum(len(r.ran) for r in deployment.plain) == 1

    site.run(check)


def test_a_target_that_is_another_now_is_left():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        runner.name = 'p9'
        got = await site.ask(hub, '/unsafe/a')
        assert got.status == 503
        assert not runner.ran
        assert 'p0' not in hub.view.fleet.entries

    site.run(check, plain=1)


def test_a_caller_who_leaves_ends_the_work():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        runner.script = ['silent']
        work = asyncio.ensure_future(site.ask(hub, '/unsafe/a'))
        await site.wait_until(lambda: runner.ran)
        work.cancel()
        await site.wait_until(lambda: runner.cancelled == 1, 0.5)

    site.run(check, plain=1)


def test_kept_connections_serve_again_and_foul_ones_do_not():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        await site.ask(hub, '/unsafe/a')
        await site.ask(hub, '/unsafe/a')
        assert runner.connections == 1
        runner.script = ['surplus']
        await site.ask(hub, '/unsafe/a')
        got = await site.ask(hub, '/unsafe/a')
        assert got.status == 200
        assert runner.connections == 2

    site.run(check, plain=1)


def test_the_time_of_a_route_ends_with_an_answer():
    async def check(deployment):
        hub = await deployment.start_box()
        row = {'kind': 'unsafe', 'service': 'plain', 'timeout_ms': 300}
        deployment.publish(site.make_table(2, routes={'unsafe': row}))
        await site.wait_until(lambda: hub.view.table.version == 2)
        script(deployment.plain, 'silent')
        began = hub.clock()
        got = await site.ask(hub, '/unsafe/a')
        assert got.status == 504
        assert hub.clock() - began < 0.5

    site.run(check)


def test_the_retry_budget_is_a_bound():
    async def check(deployment):
        hub = await deployment.start_box(retry_ratio=0.0, retry_slack=16.0)
        for runner in deployment.plain:
            runner.script = ['failure'] * 50
        for _ in range(20):
            await site.ask(hub, '/safe/a')
        ran = sum(len(r.ran) for r in deployment.plain)
        # A slack of 16 over eight boxes, used to four fifths, rounded down.
        assert ran == 20 + 1

    site.run(check)


def test_what_may_not_be_repeated_uses_no_connection_long_at_rest():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        await site.ask(hub, '/unsafe/a')
        runner.forgets = True
        await asyncio.sleep(upstream.MAX_UNREPEATABLE_IDLE_S + 0.05)
        assert (await site.ask(hub, '/unsafe/a')).status == 200
        assert runner.connections == 2

    site.run(check, plain=1)
