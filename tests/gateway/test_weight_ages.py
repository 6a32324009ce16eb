"""Tests for how long boxes that start use targets on old weights."""

import asyncio
import io
import json
import math

from loguru import logger
import pytest

from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import version_ages
from landingspool.decisions.gateway import weights as weights_module
from landingspool.platform import catalogue
from landingspool.platform import names
from standins import runner as runner_module
from tests.gateway import site

# Bound from a naming to the last beginning on old weights: with the margin
# for waits at the target, a box sends for five seconds of it.
BOUND_S = 8.0
SENT_S = 5.0
# Seconds from the naming to the start of a box, and to its requests.
START_S = 3.0
ASK_S = 5.6
CLAIM_CALL = f'append {names.CLAIMS_TOPIC}'


@pytest.fixture
def refuse_orders(monkeypatch):
    """Let all targets refuse to load weights."""
    calls = {**runner_module.CALLS, '/api/order': lambda *call: (409, {})}
    monkeypatch.setattr(runner_module, 'CALLS', calls)


def name_version(deployment, version):
    """Publish new weights."""
    named = {'model': 'm', 'version': version}
    deployment.store.put('keyed.op', 'version/m', named)


async def count_on_old_weights(deployment, hub, count=6):
    """Ask a box for streams; return how many targets ran them."""
    before = [len(engine.ran) for engine in deployment.engines]
    rows = [
        ('x-landingspool-model-name', 'm'),
        ('x-landingspool-token-usage', '150,4'),
        ('x-landingspool-prefix-hash', 'a:100,b:50'),
    ]
    for number in range(count):
        await site.ask(hub, f'/stream/{number}', headers=rows)
    after = [len(engine.ran) for engine in deployment.engines]
    return sum(after) - sum(before)


async def check_start(deployment, stop_others):
    """Start a box in a rollout that stands still, and ask it late."""
    first = await deployment.start_box('box1', version_s=BOUND_S)
    seeds = [first.deployment.links]
    name_version(deployment, 2)
    await site.wait_until(
        lambda: first.view.weights.is_replaced('m', 1), seconds=1.0
    )
    assert await count_on_old_weights(deployment, first) == 6
    await asyncio.sleep(START_S)
    if stop_others:
        first.stop()
    started = await deployment.start_box('box2', seeds, version_s=BOUND_S)
    await asyncio.sleep(ASK_S - START_S)
    assert await count_on_old_weights(deployment, started) == 0


def test_box_that_starts_in_a_rollout_uses_old_weights_for_longer(
    refuse_orders,
):
    site.run(lambda deployment: check_start(deployment, False))


def test_only_box_that_starts_in_a_rollout_uses_old_weights_for_longer(
    refuse_orders,
):
    site.run(lambda deployment: check_start(deployment, True))


def test_log_tells_the_age_of_a_version_and_its_source():
    lines = io.StringIO()
    handler = logger.add(lines, format='{message}', level='INFO')

    async def check(deployment):
        await deployment.start_box()
        name_version(deployment, 2)
        await site.wait_until(lambda: lines.getvalue().count('_named') == 2)

    try:
        site.run(check)
    finally:
        logger.remove(handler)
    rows = [json.loads(row) for row in lines.getvalue().splitlines()]
    _, named = [row for row in rows if row['event'] == 'version_named']
    assert named['source'] == 'store'
    assert named['age_s'] < 0.5
    assert named['proof_s'] < 3.0


def test_version_of_unknown_age_counts_as_past_the_bound(refuse_orders):
    async def check(deployment):
        name_version(deployment, 2)
        hub = await deployment.start_box(version_s=BOUND_S)
        assert await count_on_old_weights(deployment, hub) == 0

    site.run(check)


def test_targets_of_unknown_age_are_used_once_they_have_loaded():
    async def check(deployment):
        name_version(deployment, 2)
        hub = await deployment.start_box(version_s=BOUND_S)
        await site.wait_until(
            lambda: all(e.version == 2 for e in deployment.engines), 8.0
        )
        await site.wait_until(
            lambda: all(
                hub.view.fleet.get_version(name, 'm') == 2
                for name in ('e0', 'e1')
            )
        )
        assert await count_on_old_weights(deployment, hub) == 6

    site.run(check)


def test_first_start_refuses_nobody_for_old_weights():
    async def check(deployment):
        for engine in deployment.engines:
            engine.version = 0
            deployment.announce(engine, 'engine', model='m')
        hub = await deployment.start_box(version_s=BOUND_S)
        assert hub.view.weights.get_lag('m', None, hub.clock()) == 0.0
        assert hub.view.weights.get_lag('m', 0, hub.clock()) == 0.0

    site.run(check)


def test_age_outlives_boxes_that_are_all_killed(refuse_orders):
    async def check(deployment):
        hub = await deployment.start_box('box1', version_s=BOUND_S)
        name_version(deployment, 2)
        await site.wait_until(lambda: hub.store.calls[CLAIM_CALL])
        hub.stop()
        started = await deployment.start_box('box2', version_s=BOUND_S)
        age_s = started.view.weights.get_age('m', 2, started.clock())
        assert 0.0 <= age_s < SENT_S
        assert await count_on_old_weights(deployment, started) == 6

    site.run(check)


def test_box_that_starts_counts_from_a_version_that_a_newer_one_hides(
    refuse_orders,
):
    async def check(deployment):
        first = await deployment.start_box('box1', version_s=BOUND_S)
        name_version(deployment, 2)
        await asyncio.sleep(START_S)
        name_version(deployment, 3)
        await site.wait_until(
            lambda: first.view.weights.named['m'].version > 2
        )
        started = await deployment.start_box(
            'box2', [first.deployment.links], version_s=BOUND_S
        )
        lag_s = first.view.get_lag('e0', 'm', first.clock())
        assert lag_s > START_S
        await site.wait_until(
            lambda: (
                abs(started.view.get_lag('e0', 'm', started.clock()) - lag_s)
                < 1.0
            )
        )

    site.run(check)


def test_box_that_could_not_read_counts_from_its_last_proof():
    weights = weights_module.Weights(BOUND_S)
    weights.put_version('m', 1, 0.0)
    weights.put_version('m', 2, 10.0, proof_s=6.0, is_late=True)
    assert weights.get_lag('m', 1, 10.0) == 6.0
    # Another box that followed the store knows it better.
    assert weights.take_age('m', 2, 8.0)
    assert weights.get_lag('m', 1, 10.0) == 2.0


def test_later_word_does_not_make_a_version_younger():
    weights = weights_module.Weights(BOUND_S)
    weights.put_version('m', 2, 10.0, proof_s=1.0)
    assert not weights.take_age('m', 2, 10.6)
    assert weights.get_lag('m', 1, 11.0) == 1.0


@pytest.mark.parametrize('at', [-1e9, 3.0, 8.9])
def test_age_beyond_the_own_proof_is_not_believed(at):
    weights = weights_module.Weights(BOUND_S)
    weights.put_version('m', 2, 10.0, proof_s=1.0)
    weights.take_age('m', 2, at)
    assert weights.get_lag('m', 1, 10.0) == 1.0


def test_age_of_a_version_that_is_not_known_changes_nothing():
    weights = weights_module.Weights(BOUND_S)
    weights.put_version('m', 2, 10.0)
    assert not weights.take_age('m', 10**9, -1e9)
    assert not weights.take_age('other', 2, -1e9)
    assert list(weights.named) == ['m']
    assert weights.named['m'].version == 2
    assert weights.get_lag('m', 1, 10.0) == 0.0


def test_known_versions_are_bounded_and_err_on_the_safe_side():
    weights = weights_module.Weights(BOUND_S)
    for version in range(2, 2 + 3 * version_ages.MAX_VERSIONS):
        weights.put_version('m', version, float(version))
    named = weights.named['m']
    assert len(named.history) == version_ages.MAX_VERSIONS
    assert weights.get_lag('m', 1, 100.0) == 98.0
    last = named.version
    assert weights.get_lag('m', last - 1, 100.0) == 100.0 - last


def test_claim_of_an_earlier_build_has_no_ages():
    value = json.dumps({'holder': 'b', 'loading': {}}).encode()
    assert catalogue.read_claim(value, 7, 5.0).versions == ()


def test_state_of_an_earlier_build_leaves_the_age_unknown(refuse_orders):
    async def check(deployment):
        hub = await deployment.start_box(version_s=BOUND_S)
        snapshot = hub.state.get_snapshot()
        snapshot.versions, snapshot.ages = {'n': 2}, []
        hub.view.proof._at = None
        hub.state.take(snapshot, hub.clock())
        assert hub.view.weights.get_lag('n', 1, hub.clock()) == math.inf

    site.run(check)


def test_peers_tell_ages_while_they_matter_and_not_at_rest():
    async def check(deployment):
        hub = await deployment.start_box(version_s=BOUND_S)
        weights, now = hub.view.weights, hub.clock()
        assert not any(weights.list_due_ages(now) for _ in range(10))
        weights.put_version('m', 2, now)
        due = [weights.list_due_ages(now) for _ in range(5)]
        notice = peer_digests.VersionNotice('m', 2, 0)
        assert [rows for rows in due if rows] == [(notice,)]
        late = now + BOUND_S + 0.1
        assert not any(weights.list_due_ages(late) for _ in range(10))

    site.run(check)


def test_standstill_of_a_box_counts_in_the_age(suspend):
    async def check(deployment):
        hub = await deployment.start_box(version_s=BOUND_S)
        hub.view.weights.put_version('m', 2, hub.clock())
        suspend(SENT_S)
        await asyncio.sleep(0.2)
        assert hub.view.get_time_left('e0', 'm', hub.clock()) < 0.0

    site.run_on_boot_clock(check)


def test_ages_received_in_a_standstill_are_not_believed(suspend):
    async def check(deployment):
        hub = await deployment.start_box(version_s=BOUND_S)
        weights = hub.view.weights
        weights.put_version('m', 2, hub.clock(), math.inf, True)
        notice = peer_digests.VersionNotice('m', 2, 100)
        digest = peer_digests.Digest('b', 'd1', 1, {}, versions=(notice,))
        suspend(SENT_S)
        hub.peering._receive_digest(digest, hub.deployment.links)
        assert weights.get_lag('m', 1, hub.clock()) == math.inf

    site.run_on_boot_clock(check)


def test_ages_do_not_grow_with_each_claim_of_a_clock_that_is_behind():
    async def check(deployment):
        hub = await deployment.start_box(version_s=BOUND_S)
        name_version(deployment, 2)
        await site.wait_until(lambda: hub.view.weights.is_replaced('m', 1))
        weights = hub.view.weights
        weights.put_version('n', 2, hub.clock(), math.inf, True)
        for _ in range(3):
            ages = weights.list_ages(hub.clock())
            ages.append(peer_digests.VersionNotice('n', 2, 500))
            value = catalogue.write_claim('b', {}, ages, hub.wall() - 2.0)
            claim = catalogue.read_claim(value, 7, hub.wall())
            hub.state.take_claimed(claim.versions, hub.clock())
        assert weights.get_lag('m', 1, hub.clock()) < 1.5
        assert 2.0 < weights.get_lag('n', 1, hub.clock()) < 3.5

    site.run(check)


async def check_reverted(deployment, stop_others):
    """Start a box after an older version was written over the newest."""
    first = await deployment.start_box('box1', version_s=BOUND_S)
    for version in 2, 3, 2:
        name_version(deployment, version)
        await asyncio.sleep(0.5)
    assert first.view.weights.named['m'].version == 3
    if stop_others:
        first.stop()
    seeds = [first.deployment.links]
    started = await deployment.start_box('box2', seeds, version_s=BOUND_S)
    await site.wait_until(
        lambda: started.view.weights.named['m'].version == 3, seconds=2.5
    )


@pytest.mark.parametrize('stop_others', [False, True])
def test_box_that_starts_goes_back_to_an_older_version(
    refuse_orders, stop_others
):
    site.run(lambda deployment: check_reverted(deployment, stop_others))


def test_newest_version_is_known_to_a_box_that_starts_long_after():
    weights = weights_module.Weights(BOUND_S)
    for version in 1, 2, 3:
        weights.put_version('m', version, 10.0 * version)
    weights.put_version('n', 5, 10.0, math.inf, True)
    claimed = weights.list_versions(1000.0)
    started = weights_module.Weights(BOUND_S)
    for notice in claimed:
        at = 5.0 - notice.age_ms / 1000
        started.take_version(*notice[:2], at, notice.is_witnessed)
    started.put_version('m', 2, 5.0, math.inf, True)
    assert started.named['m'].version == 3
    assert started.named['n'].version == 5
    assert started.get_lag('m', 2, 5.0) >= BOUND_S
    assert started.get_lag('n', 4, 5.0) >= BOUND_S
