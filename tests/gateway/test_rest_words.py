"""Tests how long a back-off lasts that a target asks for, and what it does."""

import asyncio
import random

from landingspool.decisions.gateway import backoffs as backoffs_module
from landingspool import http
from landingspool.platform import limits as field
from landingspool.platform import notices
from tests.gateway import site

# Seconds of back-off, and the share by which it may be extended.
REST_S = 0.6
SPREAD_S = REST_S * backoffs_module.SPREAD
MARGIN_S = 0.1
BORN = 1_700_000_000_000


async def receive_backoff(hub, runner, rest=str(REST_S)):
    """Let a box receive a target's request for a back-off."""
    runner.script, runner.rest = ['shed'], rest
    return await site.ask(hub, '/unsafe/a')


def test_no_shorter_rest_and_no_success_ends_a_longer_one():
    backoffs = backoffs_module.Backoffs(random.Random(1))
    backoffs.record_backoff('t', 4.0, 10.0)
    backoffs.record_backoff('t', 0.5, 10.1)
    backoffs.record_answered('t', 9.9)
    backoffs.record_answered('t', 10.6)
    assert not backoffs.may_send('t', 13.9)
    assert backoffs.may_send('t', 14.5)


def test_any_bytes_are_one_line_and_no_rest():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        texts = 'nan', 'inf', '9' * 400, '', '-1', '1e3', '\xe9;'
        for text in texts:
            assert (await receive_backoff(hub, runner, text)).status == 503
            assert hub.view.exclusions.backoffs.may_send('p0', hub.clock())
            # Avoided like a target that rejects requests without a back-off.
            hub.view.forget('p0')
        assert hub.recorder.counts['bad_word'] == 1
        assert not hub.recorder.counts['request_fault']

    site.run(check, plain=1, engines=1)


def test_the_longest_of_several_lines_holds_and_no_figure_is_endless():
    rows = [(b'retry-after', b'1'), (b'retry-after', b'2.5, soon')]
    assert notices.read_head_notices(503, rows).rest == notices.Backoff(2.5)
    rows = [(b'retry-after', b'9' * 300)]
    assert (
        notices.read_head_notices(503, rows).rest.seconds
        == notices.MAX_BACKOFF_S
    )
    assert notices.read_head_notices(429, rows).rest == field.Absent()


def test_it_is_no_failure_of_the_target_whether_it_ran_or_not():
    for behaviour in ('shed', 'overrun'):

        async def check(deployment, behaviour=behaviour):
            hub = await deployment.start_box()
            (runner,) = deployment.plain
            runner.script, runner.rest = [behaviour], str(REST_S)
            assert (await site.ask(hub, '/unsafe/a')).status == 503
            health = hub.view.get_health('p0')
            assert not health.failures
            assert not health.failing
            assert not health.avoid_until
            assert (await site.ask(hub, '/unsafe/a')).status == 503
            assert len(runner.heads) == 1

        site.run(check, plain=1, engines=1)


def test_callers_are_told_when_the_first_rest_ends_and_not_all_the_same():
    async def check(deployment):
        hub = await deployment.start_box()
        long, short = deployment.plain
        backoffs = hub.view.exclusions.backoffs
        long.usual = short.usual = 'shed'
        long.rest, short.rest = '9', '2'
        while len(backoffs.list_backoffs(hub.clock())) < 2:
            await site.ask(hub, '/unsafe/a')
        got = [await site.ask(hub, '/unsafe/a') for _ in range(6)]
        times = [float(answer.headers['retry-after']) for answer in got]
        assert all('resting' in answer.body.decode() for answer in got)
        assert all(1.5 < at < 4.0 for at in times)
        assert len({round(at, 1) for at in times}) > 2

    site.run(check, engines=1)


def test_the_urgent_are_told_to_come_first():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        routes = {
            'urgent': {**site.ROUTES['unsafe'], 'priority': 0},
            'patient': {**site.ROUTES['unsafe'], 'priority': 2},
            'unsafe': site.ROUTES['unsafe'],
        }
        deployment.publish(site.make_table(2, routes=routes))
        await site.wait_until(lambda: hub.view.table.version == 2)
        await receive_backoff(hub, runner, '2')
        last = {}
        for _ in range(8):
            for route in ('patient', 'urgent'):
                answer = await site.ask(hub, f'/{route}/a')
                last[route] = float(answer.headers['retry-after'])
        assert last['urgent'] < last['patient']

    site.run(check, plain=1, engines=1)


def test_after_the_rest_one_request_goes_first():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        await receive_backoff(hub, runner)
        await asyncio.sleep(REST_S + SPREAD_S + MARGIN_S)
        runner.usual = 'slow echo'
        works = [site.ask(hub, '/unsafe/a') for _ in range(8)]
        got = await asyncio.gather(*works)
        assert sorted(answer.status for answer in got) == [200] + [503] * 7
        assert (await site.ask(hub, '/unsafe/a')).status == 200
        assert len(runner.ran) == 2

    site.run(check, plain=1, engines=1)


def test_an_answer_beside_the_requests_is_no_reason_to_return_at_once():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.engines
        runner.usual = 'stream'
        runner.script, runner.rest = ['shed'], str(REST_S)
        await site.ask(hub, '/stream/a')
        await asyncio.sleep(REST_S + SPREAD_S + MARGIN_S)
        await hub.runners.report(http.Address(*runner.address))
        works = [site.ask(hub, '/stream/a') for _ in range(6)]
        got = await asyncio.gather(*works)
        assert sorted(answer.status for answer in got) == [200] + [503] * 5

    site.run(check, plain=1, engines=1)


def test_it_holds_for_the_life_that_asked_also_where_its_entry_lapses():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        await receive_backoff(hub, runner, '9')
        deployment.store.put('keyed.servers', 'p0', b'')
        await site.wait_until(lambda: 'p0' not in hub.view.fleet.entries)
        deployment.announce(runner, 'plain')
        await site.wait_until(lambda: 'p0' in hub.view.fleet.entries)
        assert (await site.ask(hub, '/unsafe/a')).status == 503
        deployment.announce(runner, 'plain', born=BORN)
        await site.wait_until(lambda: 'p0' not in hub.view.fleet.entries)
        assert (await site.ask(hub, '/unsafe/a')).status == 200

    site.run(check, plain=1, engines=1)


def test_what_is_turned_away_goes_elsewhere_within_the_retry_budget():
    async def check(deployment):
        hub = await deployment.start_box(retry_slack=4, retry_ratio=0.0)
        overloaded, other = deployment.plain
        other.usual = 'slow'
        overloaded.rest, overloaded.usual = '0.01', 'shed'
        works = [site.ask(hub, '/safe/a') for _ in range(24)]
        await asyncio.gather(*works)
        repeats = len(overloaded.heads) + len(other.heads) - 24
        assert repeats <= 1

    site.run(check, engines=1)


def test_both_words_in_one_answer_and_a_limit_beside_them():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        runner.leaving, runner.limit = True, '2'
        await receive_backoff(hub, runner)
        await asyncio.sleep(REST_S + SPREAD_S + MARGIN_S)
        answer = await site.ask(hub, '/unsafe/a')
        assert answer.status == 503
        assert 'leaving' in answer.body.decode()
        assert hub.view.exclusions.limits.find('p0').per_s == 2.0
        assert len(runner.heads) == 1

    site.run(check, plain=1, engines=1)


def test_calls_beside_the_requests_wait_for_its_end():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.engines
        view = hub.view
        assert view.may_call('e0', hub.clock())
        await site.ask(hub, '/stream/a')
        runner.script, runner.rest = ['shed'], str(REST_S)
        await site.ask(hub, '/stream/a')
        assert not view.may_call('e0', hub.clock())
        assert [e.name for e in view.list_loadable('m')] == ['e0']
        await asyncio.sleep(REST_S + SPREAD_S + MARGIN_S)
        assert view.may_call('e0', hub.clock())

    site.run(check, plain=1, engines=1)


def test_operators_see_how_long_it_lasts_and_when_it_ends():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        await receive_backoff(hub, runner)
        hub.target_notices.sweep()
        lines = hub.metrics.render().decode().splitlines()
        (row,) = [
            line
            for line in lines
            if 'target_rest_left_seconds{target="p0"}' in line
        ]
        assert 0.0 < float(row.split()[1]) <= REST_S + SPREAD_S
        await site.wait_until(lambda: hub.recorder.counts['rest_over'])
        assert hub.recorder.counts['rest_asked'] == 1

    site.run(check, plain=1, engines=1)
