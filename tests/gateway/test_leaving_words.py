"""Tests how boxes receive, announce and keep notices of leaving targets."""

import asyncio

from landingspool.decisions.gateway import leaving as leaving_module
from landingspool.decisions.gateway import rollouts
from landingspool import http
from tests.gateway import site

BORN = 1_700_000_000_000
# Seconds in which a box that ignores a notice would have used the target.
LATER_S = 0.5


async def receive_leaving(hub, runner, path='/safe/a'):
    """Send requests until a target has announced to a box that it leaves."""
    runner.leaving = True
    while not hub.view.exclusions.leaving.holds(runner.name):
        await site.ask(hub, path)
        await asyncio.sleep(0.01)


def test_a_list_read_anew_does_not_bring_it_back():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        await receive_leaving(hub, runner)
        known = len(runner.heads)
        # The entry is deleted from the list and restored as it was.
        deployment.store.put('keyed.servers', 'p0', b'')
        await site.wait_until(lambda: 'p0' not in hub.view.fleet.entries)
        deployment.announce(runner, 'plain')
        await site.wait_until(lambda: 'p0' in hub.view.fleet.entries)
        assert (await site.ask(hub, '/safe/a')).status == 503
        assert len(runner.heads) == known

    site.run(check, plain=1, engines=1)


def test_a_new_life_is_not_leaving():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        await receive_leaving(hub, runner)
        runner.leaving = False
        deployment.announce(runner, 'plain', born=BORN)
        await site.wait_until(lambda: 'p0' not in hub.view.fleet.entries)
        assert (await site.ask(hub, '/safe/a')).status == 200
        await site.wait_until(lambda: hub.recorder.counts['leaving_over'])

    site.run(check, plain=1, engines=1)


def test_other_boxes_hear_of_it_and_one_that_starts():
    async def check(deployment):
        first, second = await site.start_boxes(deployment, 2)
        (runner,) = deployment.plain
        await receive_leaving(first, runner)
        known = len(runner.heads)
        await site.wait_until(
            lambda: second.view.exclusions.leaving.holds('p0')
        )
        third = await deployment.start_box('box2', [first.deployment.links])
        await site.wait_until(
            lambda: third.view.exclusions.leaving.holds('p0')
        )
        assert [
            notice.incarnation for notice in first.state.get_snapshot().leaving
        ]
        for hub in (second, third):
            got = await site.ask(hub, '/safe/a')
            assert got.status == 503
            assert 'leaving' in got.body.decode()
        assert len(runner.heads) == known

    site.run(check, plain=1, engines=1)


def test_a_notice_that_is_passed_on_is_no_newer():
    first, second = leaving_module.Leaving(), leaving_module.Leaving()
    first.record_reported('t', 0.0)
    for at in (30.0, 55.0):
        for notice in first.list_notices(at):
            second.take(notice, 'box0', at)
    # Repeated in each fifth digest, until a minute after the answer.
    told = [len(second.list_due_notices(at)) for at in (58.0, 59.0) * 5]
    assert sum(told) == 2
    assert not any(second.list_due_notices(61.0) for _ in range(10))
    assert second.holds('t')


def test_failures_refusals_and_calls_beside_requests_tell_it():
    for behaviour in ('failure', 'shed'):

        async def check(deployment, behaviour=behaviour):
            hub = await deployment.start_box()
            (runner,) = deployment.plain
            runner.usual = behaviour
            await receive_leaving(hub, runner, '/unsafe/a')
            assert len(runner.heads) == 1

        site.run(check, plain=1, engines=1)

    async def check_report(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.engines
        runner.leaving = True
        await hub.runners.report(http.Address(*runner.address))
        assert hub.view.exclusions.leaving.holds('e0')

    site.run(check_report, plain=1, engines=1)


def test_an_answer_to_a_call_tells_nothing_of_a_life_begun_since():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.engines
        called = hub.target_notices.begin_call(http.Address(*runner.address))
        deployment.announce(runner, 'engine', model='m', born=BORN)
        await site.wait_until(lambda: 'e0' not in hub.view.fleet.entries)
        assert called.incarnations == ('e0',)
        assert not hub.view.exclusions.leaving.holds(f'e0@{BORN}')

    site.run(check, plain=1, engines=1)


def test_what_waits_for_a_connection_does_not_go_out_after_the_word():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        opened = hub.upstream.open

        async def open_later(*args):
            exchange = await opened(*args)
            await asyncio.sleep(LATER_S)
            return exchange

        hub.upstream.open = open_later
        work = asyncio.ensure_future(site.ask(hub, '/unsafe/a'))
        await asyncio.sleep(LATER_S / 2)
        hub.view.exclusions.leaving.record_reported('p0', hub.clock())
        assert (await work).status == 503
        assert not runner.heads

    site.run(check, plain=1, engines=1)


def test_a_stream_is_served_to_its_end_and_the_next_goes_elsewhere():
    async def check(deployment):
        hub = await deployment.start_box()
        for runner in deployment.engines:
            runner.usual = 'queued stream'
            runner.queue_s = LATER_S
        leaving, other = deployment.engines
        works = asyncio.gather(
            *(site.ask(hub, f'/stream/{n}') for n in range(12))
        )
        # Not before: answers to calls beside requests tell it as well.
        await site.wait_until(
            lambda: sum(len(r.heads) for r in deployment.engines) == 12
        )
        leaving.leaving = True
        got = await works
        for runner in deployment.engines:
            runner.usual = 'stream'
        assert {answer.status for answer in got} == {200}
        assert all(answer.whole for answer in got)
        assert leaving.heads
        known = [len(runner.heads) for runner in deployment.engines]
        for number in range(4):
            assert (await site.ask(hub, f'/stream/{number}')).whole
        assert len(leaving.heads) == known[0]
        assert len(other.heads) == known[1] + 4

    site.run(check)


def test_it_gets_no_orders():
    async def check(deployment):
        hub = await deployment.start_box()
        leaving, other = deployment.engines
        hub.view.exclusions.leaving.record_reported(leaving.name, hub.clock())
        deployment.store.put(
            'keyed.op', 'version/m', {'model': 'm', 'version': 2}
        )
        await site.wait_until(
            lambda: other.orders, 8 * rollouts.CLOSING_S + 4.0
        )
        await asyncio.sleep(LATER_S)
        assert not leaving.orders

    site.run(check)


def test_operators_see_since_when_it_leaves():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        await receive_leaving(hub, runner)
        hub.target_notices.sweep()
        lines = hub.metrics.render().decode().splitlines()
        (row,) = [
            line
            for line in lines
            if 'target_leaving_age_seconds{target="p0"}' in line
        ]
        assert float(row.split()[1]) < 1.0
        await site.wait_until(lambda: hub.recorder.counts['leaving_told'])
        assert hub.recorder.counts['leaving_told'] == 1

    site.run(check, plain=1, engines=1)
