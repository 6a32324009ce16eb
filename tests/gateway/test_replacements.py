"""A request leaves a silent target only for one that takes it."""

import asyncio

import pytest

from landingspool.gateway import attempts
from landingspool.gateway import upstream
from standins import behaviours
from tests.gateway import site
from tests.gateway import test_begun_streams
from tests.gateway import test_forwarder
from tests.gateway import test_relay

# Id of a request that a box forwards.
NAME = 'forwarded'


async def ask_stream(hub):
    return await site.ask(hub, '/resumed/a', headers=test_relay.PROMPT)


def script_pause(deployment):
    """Let one engine pause in its stream, the others go on."""
    test_relay.script(deployment.engines, 'paused stream')
    for target in deployment.engines:
        target.usual = 'stream'


def check_whole(got):
    assert got.whole
    assert got.body.count(b'id: ') == 4


def test_stream_stays_while_the_table_is_not_proved():
    async def check(deployment):
        hub = await deployment.start_box()
        script_pause(deployment)
        work = asyncio.ensure_future(ask_stream(hub))
        await site.wait_until(lambda: any(t.ran for t in deployment.engines))
        hub.view.proof.is_fresh = lambda now: False
        check_whole(await work)

    site.run(check)


def test_stream_stays_if_its_replacement_leaves_while_being_connected_to(
    monkeypatch,
):
    async def check(deployment):
        hub = await deployment.start_box()
        script_pause(deployment)
        open_exchange = attempts.open_exchange

        async def open_late(hub, work, entry, **how):
            exchange = await open_exchange(hub, work, entry, **how)
            if any(t.ran for t in deployment.engines):
                for target in deployment.engines:
                    if not target.ran:
                        deployment.announce(
                            target, 'engine', state='draining', model='m'
                        )
                await asyncio.sleep(0.15)
            return exchange

        monkeypatch.setattr(attempts, 'open_exchange', open_late)
        check_whole(await ask_stream(hub))

    site.run(check)


@pytest.mark.parametrize('stall_s', [0.4, 1.2])
def test_stream_survives_a_stall_while_its_replacement_is_connected_to(
    monkeypatch, suspend, stall_s
):
    async def check(deployment):
        hub = await deployment.start_box()
        script_pause(deployment)
        open_exchange = attempts.open_exchange

        async def open_stalled(hub, work, entry, **how):
            exchange = await open_exchange(hub, work, entry, **how)
            if any(t.ran for t in deployment.engines) and not stalled:
                stalled.append(entry.name)
                suspend(stall_s)
            return exchange

        stalled = []
        monkeypatch.setattr(attempts, 'open_exchange', open_stalled)
        got = await ask_stream(hub)
        assert stalled
        check_whole(got)

    site.run_on_boot_clock(check)


def test_caller_who_leaves_during_a_preparation_leaves_nothing_behind(
    monkeypatch,
):
    async def check(deployment):
        hub = await deployment.start_box()
        for target in deployment.plain:
            target.script = ['silent']
        connect = upstream.Upstream._connect

        async def connect_late(self, address):
            if any(t.ran for t in deployment.plain):
                connecting.set()
                await asyncio.sleep(0.3)
            return await connect(self, address)

        connecting = asyncio.Event()
        monkeypatch.setattr(upstream.Upstream, '_connect', connect_late)
        work = asyncio.ensure_future(site.ask(hub, '/safe/a'))
        await connecting.wait()
        work.cancel()
        await site.wait_until(
            lambda: sum(t.cancelled for t in deployment.plain) == 1, 0.5
        )
        await asyncio.sleep(0.6)
        assert sum(len(t.ran) for t in deployment.plain) == 1
        assert not hub.view.loads.list_targets()
        assert not hub.view.crashes.bars._under_way
        assert not hub.listener.count_busy()

    site.run(check)


def test_first_run_ends_soon_after_the_second_begins():
    async def check(deployment):
        hub = await deployment.start_box()
        test_relay.script(deployment.plain, 'silent')
        before = hub.view._get_retry_budget('plain')
        taken = len(before._repeats)
        got = await site.ask(hub, '/safe/a')
        assert got.status == 200
        await site.wait_until(
            lambda: sum(t.cancelled for t in deployment.plain) == 1,
            0.4 - attempts.ACCEPT_S,
        )
        assert len(before._repeats) == taken + 1
        assert not hub.view.loads.list_targets()
        assert not hub.view.crashes.bars._under_way

    site.run(check)


def test_request_seen_at_two_crashes_leaves_a_silent_target():
    async def check(deployment):
        hub = await deployment.start_box()
        assert (await site.ask(hub, '/safe/a')).status == 200
        test_relay.script(deployment.plain, 'silent')
        work = asyncio.ensure_future(site.ask(hub, '/safe/b'))
        await site.wait_until(lambda: hub.view.crashes.bars._under_way)
        (fingerprint,) = hub.view.crashes.bars._under_way
        for name in ('x', 'y'):
            hub.view.crashes.record_lost(fingerprint, name, hub.clock())
        assert (await work).status == 200

    site.run(check)


@pytest.mark.parametrize('dropped', ['services', 'routes', 'tenants'])
@pytest.mark.parametrize('path', ['resumed', 'safe'])
def test_change_of_the_table_ends_nothing_that_waits(dropped, path):
    async def check(deployment):
        hub = await deployment.start_box()
        script_pause(deployment)
        test_relay.script(deployment.plain, 'late')
        work = asyncio.ensure_future(
            site.ask(hub, f'/{path}/a', headers=test_relay.PROMPT)
        )
        await site.wait_until(
            lambda: any(t.ran for t in deployment.engines + deployment.plain)
        )
        table = site.make_table(2)
        del table[dropped][:]
        deployment.publish(table)
        await site.wait_until(lambda: hub.view.table.version == 2)
        got = await work
        assert got.status == 200, got.body
        assert got.whole
        assert not hub.recorder.counts['request_fault']

    site.run(check)


@pytest.mark.parametrize('refused', [['shed', 'shed'], ['failure']])
def test_stream_is_not_broken_off_if_its_replacement_refuses_it(refused):
    async def check(deployment):
        hub = await deployment.start_box()
        shared = ['paused stream', *refused]
        for target in deployment.engines:
            target.script = shared
        check_whole(await ask_stream(hub))

    site.run(check)


def test_request_is_not_lost_if_its_replacement_rejects_it():
    async def check(deployment):
        hub = await deployment.start_box()
        shared = ['late', 'shed', 'shed']
        for target in deployment.plain:
            target.script = shared
        got = await site.ask(hub, '/safe/a')
        assert got.status == 200, got.body

    site.run(check)


# What the second target shows after a silent one, and the answer's status.
SECOND = (
    ('late shed', 200),
    ('late failure', 500),
    ('late shed, shed', 502),
)


@pytest.mark.parametrize(('second', 'status'), SECOND)
def test_request_goes_back_to_an_engine_that_it_left_for_one_that_rejects_it(
    second, status
):
    async def check(deployment):
        hub = await deployment.start_box()
        safe = {**site.ROUTES['safe'], 'service': 'engine'}
        deployment.publish(site.make_table(2, routes={'safe': safe}))
        await site.wait_until(lambda: hub.view.table.version == 2)
        test_begun_streams.script(deployment, 'silent', *second.split(', '))
        got = await site.ask(hub, '/safe/a', headers=test_relay.PROMPT)
        assert got.status == status
        reached = [t for t in deployment.engines if t.heads]
        assert len(reached) <= safe['max_attempts']
        arrivals = sum(len(target.heads) for target in deployment.engines)
        repeats = hub.view._get_retry_budget('engine')._repeats
        assert len(repeats) == arrivals - 1
        assert not hub.view.loads.list_targets()
        assert not hub.view.crashes.bars._under_way

    site.run(check, engines=4)


BESIDE = (
    # what plain targets show in turn -> those that were left
    ('late, silent', 1),
    ('late, late closed', 0),
    ('silent, slow', 1),
    ('silent and closed, late', 0),
    ('silent and shed, late', 0),
    ('silent and failure, late', 0),
    ('silent, silent, whole', 2),
)


@pytest.mark.parametrize(('names', 'left'), BESIDE)
def test_request_stays_at_a_silent_target_until_another_one_answers(
    names, left
):
    async def check(deployment):
        hub = await deployment.start_box()
        shared = names.split(', ')
        arrivals = len(shared)
        safe = {**site.ROUTES['safe'], 'max_attempts': arrivals}
        deployment.publish(site.make_table(2, routes={'safe': safe}))
        await site.wait_until(lambda: hub.view.table.version == 2)
        for target in deployment.plain:
            target.script = shared
        got = await site.ask(hub, '/safe/a')
        assert got.status == 200
        assert (
            sum(len(target.heads) for target in deployment.plain) == arrivals
        )
        repeats = hub.view._get_retry_budget('plain')._repeats
        assert len(repeats) == arrivals - 1
        await site.wait_until(
            lambda: sum(t.cancelled for t in deployment.plain) == left
        )
        assert not hub.view.loads.list_targets()

    site.run(check, plain=3)


def test_request_stays_at_a_silent_box_until_another_one_answers():
    async def answer_late(reader, writer):
        name = NAME.encode()
        await asyncio.sleep(1.3)
        writer.write(
            b'HTTP/1.1 200 X\r\ncontent-length: 4\r\n'
            b'x-landingspool-request-id: %s\r\n'
            b'x-landingspool-response-stamp: s\r\n\r\ndone' % name
        )

    async def check(deployment):
        hub, (first, _) = await test_forwarder.start_cut_box(deployment)
        for target in deployment.plain:
            target.script = ['late shed', 'late shed']
        name = first.deployment.box
        async with test_forwarder.fake_peer(hub, name, answer_late):
            got = await site.ask(hub, '/safe/a', name=NAME)
        assert got.status == 200
        assert sum(len(target.heads) for target in deployment.plain) == 1
        assert not hub.view.forwarding.under_way

    site.run(check)


def test_repeats_kept_back_for_want_of_budget_are_counted():
    async def check(deployment):
        hub = await deployment.start_box(retry_ratio=0.0, retry_slack=0.0)
        test_relay.script(deployment.plain, 'late')
        got = await site.ask(hub, '/safe/a')
        assert got.status == 200
        assert hub.metrics.budget_refusals._value.get() == 1

    site.run(check)


def test_stream_is_not_reset_by_a_connection_that_its_replacement_forgot(
    monkeypatch,
):
    monkeypatch.setattr(upstream, 'DEFAULT_IDLE_S', 5.0)

    async def check(deployment):
        hub = await deployment.start_box()
        for target in deployment.engines:
            target.usual = 'stream'
        for _ in range(8):
            await asyncio.gather(ask_stream(hub), ask_stream(hub))
        assert all(target.ran for target in deployment.engines)
        for target in deployment.engines:
            target.ran.clear()
            target.script = ['paused stream']
            target.usual = 'stream'
        work = asyncio.ensure_future(ask_stream(hub))
        await site.wait_until(lambda: any(t.ran for t in deployment.engines))
        for target in deployment.engines:
            target.script = []
            if not target.ran:
                target.forgets = True
                target.forget_s = 2 * attempts.ACCEPT_S
        check_whole(await work)
        assert not hub.recorder.counts['stream_waits']

    site.run(check)


# Seconds after which a silent target closes: its replacement has begun.
CLOSED_S = 0.95
# Seconds after which the replacement answers.
REPLACED_S = 0.22


@behaviours.behaviour('closed after a silence')
async def close_late(runner, head, body, reader, writer):
    runner.run(head, body)
    await asyncio.sleep(CLOSED_S)
    return True


@behaviours.behaviour('answered after a while')
async def answer_after_a_while(runner, head, body, reader, writer):
    runner.run(head, body)
    await asyncio.sleep(REPLACED_S)
    behaviours.write_answer(runner, head, writer, 200, b'done')


@pytest.mark.parametrize('service', ['plain', 'engine'])
def test_a_target_that_closes_ends_no_attempt_at_its_replacement(service):
    async def check(deployment):
        routes = {**site.ROUTES, 'safe': {**site.ROUTES['safe']}}
        routes['safe']['service'] = service
        hub = await deployment.start_box()
        deployment.publish(site.make_table(2, routes=routes))
        await site.wait_until(lambda: hub.view.table.version == 2)
        shared = ['closed after a silence', 'answered after a while']
        for target in (*deployment.plain, *deployment.engines):
            target.script = shared
        got = await site.ask(hub, '/safe/a')
        assert (got.status, got.whole) == (200, True)

    site.run(check)
