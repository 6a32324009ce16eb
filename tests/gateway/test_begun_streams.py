"""A stream that has begun can't be refused: it goes on, or breaks off."""

import asyncio

import pytest

from landingspool.gateway import delivery
from landingspool.gateway import forwarded_rows
from landingspool.gateway import stream_retries
from landingspool.gateway import upstream
from standins import behaviours
from tests.gateway import site
from tests.gateway import test_forwarder
from tests.gateway import test_relay

# For how long a stream lacks what it needs to go on.
LACK_S = 0.7


@behaviours.behaviour('slow broken stream')
async def answer_slow_broken(runner, head, body, reader, writer):
    runner.run(head, body)
    behaviours.start_stream(runner, head, writer)
    behaviours.write_chunk(writer, behaviours.make_event(runner, 1))
    await asyncio.sleep(0.2)
    writer.transport.abort()
    return True


def script(deployment, *names):
    """Let the engines show behaviours in the order of arrivals."""
    shared = list(names)
    for target in deployment.engines:
        target.script = shared
        target.usual = 'stream'


async def ask(hub, route='resumed'):
    return await site.ask(hub, f'/{route}/a', headers=test_relay.PROMPT)


def list_events(got):
    """List the ids of the events of a stream."""
    lines = got.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith('id: ')]


def check_whole(got):
    assert got.whole
    assert list_events(got) == [1, 2, 3, 4]


def count_reached(deployment):
    """Return the number of engines that a request arrived at."""
    return sum(bool(target.heads) for target in deployment.engines)


async def wait_for_arrivals(deployment, arrivals=1):
    await site.wait_until(
        lambda: sum(len(t.heads) for t in deployment.engines) >= arrivals
    )


# What meets a stream after its first target was silent, or broke off.
REFUSED = (
    ['paused stream', 'late shed'],
    ['paused stream', 'late failure'],
    ['paused stream', 'late nonsense'],
    ['paused stream', 'late shed', 'shed', 'shed'],
    ['broken stream', 'shed'],
    ['broken stream', 'shed', 'shed'],
)
# Its targets break off or fail by themselves, as often as it may be sent.
FAILED = (
    ('stream', ['broken stream']),
    ('resumed', ['broken stream', 'broken stream']),
    ('resumed', ['broken stream', 'failure']),
    ('resumed', ['broken stream', 'nonsense']),
    ('resumed', ['broken stream', 'closed']),
)


@pytest.mark.parametrize('names', REFUSED)
@pytest.mark.parametrize('engines', [2, 4])
def test_a_begun_stream_goes_on_after_refusals(names, engines):
    async def check(deployment):
        hub = await deployment.start_box()
        script(deployment, *names)
        check_whole(await ask(hub))
        limit = site.ROUTES['resumed']['max_attempts']
        assert count_reached(deployment) <= limit
        arrivals = sum(len(target.heads) for target in deployment.engines)
        repeats = hub.view._get_retry_budget('engine')._repeats
        assert len(repeats) >= arrivals - 1
        assert not hub.view.loads.list_targets()

    site.run(check, engines=engines)


@pytest.mark.parametrize('answered', [False, True])
def test_a_begun_stream_waits_for_a_sign_that_its_targets_have_not_crashed(
    answered,
):
    async def check(deployment):
        hub = await deployment.start_box()
        script(deployment, 'paused stream', 'late closed')
        work = asyncio.ensure_future(ask(hub))
        await wait_for_arrivals(deployment, 2)
        await asyncio.sleep(behaviours.LATE_S + 0.1)
        for _ in range(4 * answered):
            await ask(hub)
        got = await work
        assert got.whole == answered
        assert list_events(got) == [1, 2, 3, 4][: 2 + 2 * answered]

    site.run(check)


@pytest.mark.parametrize(('route', 'names'), FAILED)
def test_a_begun_stream_that_its_targets_fail_is_broken_off(route, names):
    async def check(deployment):
        hub = await deployment.start_box()
        script(deployment, *names)
        got = await ask(hub, route)
        assert not got.whole
        assert sum(len(t.heads) for t in deployment.engines) == len(names)
        assert hub.recorder.counts['not_served'] == 1

    site.run(check, engines=4)


def drop_table_rows(kind):
    def change(table):
        del table[kind][:]

    return change


def set_route_fields(**fields):
    def change(table):
        for row in table['routes']:
            row.update(fields)

    return change


def replace_keys(table):
    table['tenants'][0]['api_keys'] = ['another']


TABLES = {
    'no routes': drop_table_rows('routes'),
    'no services': drop_table_rows('services'),
    'no tenants': drop_table_rows('tenants'),
    'another key': replace_keys,
    'lower time-out': set_route_fields(timeout_ms=300),
    'another service': set_route_fields(service='plain'),
    'not resumable': set_route_fields(resumable=False, max_attempts=1),
    'no repeats': set_route_fields(max_attempts=1),
    'other objective': set_route_fields(target_latency_ms=50),
}


@pytest.mark.parametrize('change', TABLES)
@pytest.mark.parametrize(
    ('route', 'names'),
    [
        ('stream', ['paused stream']),
        ('resumed', ['paused stream']),
        ('resumed', ['paused stream', 'late shed']),
        ('resumed', ['broken stream', 'shed']),
    ],
)
def test_a_begun_stream_goes_on_beside_a_change_of_the_table(
    change, route, names
):
    async def check(deployment):
        hub = await deployment.start_box()
        script(deployment, *names)
        work = asyncio.ensure_future(ask(hub, route))
        await wait_for_arrivals(deployment)
        table = site.make_table(2)
        TABLES[change](table)
        deployment.publish(table)
        await site.wait_until(lambda: hub.view.table.version == 2)
        check_whole(await work)

    site.run(check)


async def lose_proof(deployment, hub):
    fresh = hub.view.proof.is_fresh
    hub.view.proof.is_fresh = lambda now: False
    await asyncio.sleep(LACK_S)
    hub.view.proof.is_fresh = fresh


async def lose_repeats(deployment, hub):
    take, has = hub.view.take_repeat, hub.view.has_repeat
    hub.view.take_repeat = hub.view.has_repeat = lambda *_: False
    await asyncio.sleep(LACK_S)
    hub.view.take_repeat, hub.view.has_repeat = take, has


async def lose_targets(deployment, hub):
    may_send, plan = hub.view.may_send, hub.view.plan
    hub.view.may_send = lambda *_: False
    hub.view.plan = lambda *_: None
    await asyncio.sleep(LACK_S)
    hub.view.may_send, hub.view.plan = may_send, plan


async def lose_connections(deployment, hub):
    connect = hub.upstream._connect

    async def fail(address):
        raise upstream.ExchangeError('connect: cut', False)

    hub.upstream.close()
    hub.upstream._connect = fail
    await asyncio.sleep(LACK_S)
    hub.upstream._connect = connect


LACKS = {
    'proof': lose_proof,
    'repeats': lose_repeats,
    'targets': lose_targets,
    'connections': lose_connections,
}


@pytest.mark.parametrize('lack', LACKS)
@pytest.mark.parametrize(
    'names', [['slow broken stream'], ['paused stream', 'late shed']]
)
def test_a_begun_stream_waits_for_what_it_lacks_for_a_while(lack, names):
    async def check(deployment):
        hub = await deployment.start_box()
        script(deployment, *names)
        work = asyncio.ensure_future(ask(hub))
        await wait_for_arrivals(deployment, len(names))
        await LACKS[lack](deployment, hub)
        check_whole(await work)

    site.run(check)


async def refuse(reader, writer):
    """Answer as a box that has no room for a request."""
    writer.write(
        b'HTTP/1.1 503 X\r\ncontent-length: 0\r\nretry-after: 1.75\r\n'
        + forwarded_rows.REASON
        + b': busy\r\n\r\n'
    )


@pytest.mark.parametrize(
    ('path', 'name'), [('resumed', 'paused stream'), ('safe', 'late')]
)
@pytest.mark.parametrize('is_forwarded', [False, True])
def test_a_silent_target_is_left_for_no_box_that_refuses(
    path, name, is_forwarded
):
    async def check(deployment):
        if is_forwarded:
            hub, others = await test_forwarder.start_cut_box(deployment)
        else:
            *others, hub = await site.start_boxes(deployment, 2)
            await hub.peering._registry._read_list()
        script(deployment, name)
        test_relay.script(deployment.plain, name)
        work = asyncio.ensure_future(
            site.ask(hub, f'/{path}/a', headers=test_relay.PROMPT)
        )
        targets = deployment.plain + deployment.engines
        await site.wait_until(lambda: any(t.ran for t in targets))
        box = others[-1].deployment.box
        if not is_forwarded:
            test_forwarder.cut(deployment, hub, [box])
        async with test_forwarder.fake_peer(hub, box, refuse):
            got = await work
        assert got.status == 200, got.body
        assert got.whole
        assert sum(len(t.ran) for t in targets) == 1

    site.run(check)


@behaviours.behaviour('paused long')
async def answer_paused_long(runner, head, body, reader, writer):
    runner.run(head, body)
    data = b'x' * (2 * delivery.MAX_HELD_BYTES)
    whole = behaviours.make_answer(runner, head, 200, data)
    writer.write(whole[:-9])
    await asyncio.sleep(behaviours.SILENCE_S)
    writer.write(whole[-9:])


@pytest.mark.parametrize('change', TABLES)
@pytest.mark.parametrize('route', ['safe', 'unsafe'])
@pytest.mark.parametrize('name', ['late', 'paused long'])
def test_no_change_of_the_table_ends_an_answer_of_a_silent_target(
    change, route, name
):
    async def check(deployment):
        hub = await deployment.start_box()
        test_relay.script(deployment.plain, name)
        work = asyncio.ensure_future(site.ask(hub, f'/{route}/a'))
        await site.wait_until(lambda: any(t.ran for t in deployment.plain))
        table = site.make_table(2)
        TABLES[change](table)
        deployment.publish(table)
        got = await work
        assert hub.view.table.version == 2
        assert got.status == 200, got.body
        assert got.whole
        if route == 'unsafe':
            assert sum(len(t.ran) for t in deployment.plain) == 1

    site.run(check)


@pytest.mark.parametrize(
    ('route', 'names'),
    [
        ('stream', ['paused stream']),
        ('resumed', ['paused stream', 'late shed']),
        ('resumed', ['broken stream', 'shed']),
    ],
)
def test_a_begun_stream_goes_on_while_its_box_stops(route, names):
    async def check(deployment):
        hub = await deployment.start_box(grace_s=5.0)
        script(deployment, *names)
        work = asyncio.ensure_future(ask(hub, route))
        await wait_for_arrivals(deployment)
        hub.stop()
        check_whole(await work)

    site.run(check)


def test_a_begun_stream_returns_if_its_replacement_has_other_software():
    async def check(deployment):
        hub = await deployment.start_box()
        script(deployment, 'paused stream', 'late stream')
        work = asyncio.ensure_future(ask(hub))
        await wait_for_arrivals(deployment, 2)
        (first,) = [t for t in deployment.engines if t.ran]
        for target in deployment.engines:
            if target is not first:
                target.software = 'v2'
                deployment.announce(target, 'engine', model='m')
        got = await work
        check_whole(got)
        assert got.body.count(b'by v1') == 4

    site.run(check)


@pytest.mark.parametrize('route', ['stream', 'resumed'])
def test_a_begun_stream_of_a_silent_target_lasts_until_its_deadline(route):
    async def check(deployment):
        hub = await deployment.start_box(retry_ratio=0.0, retry_slack=0.0)
        script(deployment, 'paused stream')
        rows = ('x-landingspool-deadline-ms', '1200')
        began = hub.clock()
        got = await site.ask(
            hub, f'/{route}/a', headers=(*test_relay.PROMPT, rows)
        )
        assert not got.whole
        assert 1.1 < hub.clock() - began < 1.3

    site.run(check, engines=2)


def test_a_begun_stream_is_broken_off_once_its_caller_may_have_left():
    async def check(deployment):
        hub = await deployment.start_box()
        script(deployment, 'slow broken stream')
        work = asyncio.ensure_future(ask(hub))
        await wait_for_arrivals(deployment)
        hub.view.proof.is_fresh = lambda now: False
        began = hub.clock()
        got = await work
        assert not got.whole
        waited_s = hub.clock() - began
        longest_s = stream_retries.MAX_WAIT_S + stream_retries.MAX_DELAY_S
        assert stream_retries.MAX_WAIT_S <= waited_s < longest_s + 0.4

    site.run(check)
