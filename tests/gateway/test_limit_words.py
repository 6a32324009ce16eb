"""Tests how boxes receive and announce the limits of targets."""

import asyncio

from landingspool.decisions.gateway import limits as limits_module
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import shares
from landingspool import http
from landingspool.platform import limits as field
from landingspool.platform import notices
from tests.gateway import site

# Seconds from a box's start until it may use its permits, with a margin.
STARTED_S = 6.0


def test_any_bytes_in_the_field_are_one_line_and_no_limit():
    async def check(deployment):
        hub = await deployment.start_box()
        for runner in deployment.plain:
            runner.limit = '1.5\xe9;'
        for _ in range(6):
            assert (await site.ask(hub, '/safe/a')).status == 200
        assert not hub.view.exclusions.limits.list_named(
            hub.view.fleet.entries
        )
        assert hub.recorder.counts['bad_word'] <= len(deployment.plain)
        assert hub.recorder.counts['bad_word'] >= 1

    site.run(check, engines=1)


def test_a_limit_is_seen_from_its_first_answer_to_its_end():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        runner.limit = '4.5'
        await site.ask(hub, '/safe/a')
        (known,) = hub.view.exclusions.limits.list_named(['p0']).values()
        assert known.per_s == 4.5
        runner.limit = None
        # A box that has just started may send nothing for one window.
        async with asyncio.timeout(STARTED_S):
            while (await site.ask(hub, '/safe/a')).status != 200:
                await asyncio.sleep(0.1)
        assert not hub.view.exclusions.limits.list_named(['p0'])
        await site.wait_until(lambda: hub.recorder.counts['limit_over'])
        assert hub.recorder.counts['limit_named'] == 1

    site.run(check, plain=1, engines=1)


def test_several_lines_of_the_field_are_one_limit():
    rows = [(b'server-limit', b'3'), (b'x', b'1'), (b'server-limit', b'2.5')]
    assert notices.read_head_notices(200, rows).limit == field.AdvertisedLimit(
        2.5
    )


def test_a_new_life_of_a_target_has_no_limit():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        runner.limit = '0.5'
        await site.ask(hub, '/safe/a')
        assert hub.view.exclusions.limits.find('p0')
        runner.limit = None
        deployment.announce(runner, 'plain', born=1_700_000_000_000)
        await site.wait_until(lambda: 'p0' not in hub.view.fleet.entries)
        assert not hub.view.exclusions.limits.find('p0')
        assert (await site.ask(hub, '/safe/a')).status == 200

    site.run(check, plain=1, engines=1)


def test_a_box_that_starts_hears_of_limits_from_the_others():
    async def check(deployment):
        first = await deployment.start_box('box0')
        (runner,) = deployment.plain
        runner.limit = '0.5'
        await site.ask(first, '/safe/a')
        second = await deployment.start_box('box1', [first.deployment.links])
        await site.wait_until(
            lambda: second.view.exclusions.limits.find('p0'), 1.5
        )
        given = first.state.get_snapshot()
        assert [notice.per_s for notice in given.limits] == [0.5]
        got = await site.ask(second, '/safe/a')
        assert got.status == 503
        assert 'limited' in got.body.decode()

    site.run(check, plain=1, engines=1)


def test_answers_beside_the_requests_name_limits_and_end_none():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.engines
        runner.limit = '0.5'
        await site.wait_until(lambda: hub.view.exclusions.limits.find('e0'))
        runner.limit = None
        await hub.runners.report(http.Address(*runner.address))
        assert hub.view.exclusions.limits.find('e0')

    site.run(check, plain=1, engines=1)


def test_a_word_on_its_way_for_long_ends_no_limit():
    """The ages in a digest lack its transit time."""
    limits = limits_module.Limits(shares.Shares())
    limits.record_named('t', 2.0, 9.9, 10.0)
    incarnation = peer_digests.hash_target('t')
    # Sent at 9.5, answered at 9.7, and half a second in transit.
    limits.take(
        peer_digests.LimitNotice(incarnation, 0.0, 200, 100), 'box', 10.2
    )
    assert limits.find('t').per_s == 2.0
    limits.take(
        peer_digests.LimitNotice(incarnation, 0.0, 200, 100), 'box', 11.3
    )
    assert limits.find('t') is None


def test_operators_see_the_limit_its_age_and_how_much_is_used():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        runner.limit = '0.5'
        await site.ask(hub, '/safe/a')
        hub.target_notices.sweep()
        lines = hub.metrics.render().decode().splitlines()
        rows = [line for line in lines if 'target="p0"' in line]
        figures = {row.split('{')[0][21:]: row.split()[1] for row in rows}
        assert figures['target_limit_per_second'] == '0.5'
        assert float(figures['target_limit_age_seconds']) < 1.0
        assert figures['target_limit_used_per_second'] == '0.25'

    site.run(check, plain=1, engines=1)


def test_a_figure_of_three_hundred_digits_is_a_limit_like_any_other():
    """Without a cap the quota can't be computed: each request gets a 500."""

    async def check(deployment):
        hub = await deployment.start_box()
        for runner in deployment.plain:
            runner.limit = '9' * 308
        await site.ask(hub, '/safe/a')
        await asyncio.sleep(STARTED_S)
        for _ in range(4):
            assert (await site.ask(hub, '/safe/a')).status == 200

    site.run(check, engines=1)


def test_a_failure_that_names_no_limit_ends_none():
    """A limit must not end with a failure, to be advertised again at once.

    Nothing specifies what an overloaded target puts into the answers to
    requests that it failed, and requests sent in excess can't be taken back.
    """

    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        runner.limit = '4.5'
        await site.ask(hub, '/safe/a')
        await asyncio.sleep(STARTED_S)
        runner.limit, runner.usual = None, 'failure'
        assert (await site.ask(hub, '/unsafe/a')).status == 500
        assert hub.view.exclusions.limits.find('p0')
        runner.usual = 'whole'
        assert (await site.ask(hub, '/safe/a')).status == 200
        assert not hub.view.exclusions.limits.find('p0')

    site.run(check, plain=1, engines=1)
