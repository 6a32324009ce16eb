"""Ages of versions under old, late and wrong messages and clocks."""

import asyncio
import math

import pytest

from landingspool.boxes import datagrams
from landingspool.decisions import decoding
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import weights as weights_module
from landingspool.gateway import ordering
from landingspool.gateway import state
from landingspool.platform import catalogue
from landingspool.platform import names
from tests.gateway import site
from tests.gateway import test_weight_ages

refuse_orders = test_weight_ages.refuse_orders
BOUND_S = test_weight_ages.BOUND_S
# Seconds after which a holder has renewed its claim.
RENEWED_S = 1.4
HOUR_S = 3600.0
# Seconds of a stall after which a proof is not too old yet.
SHORT_STALL_S = 1.4


def tell(notices, now, weights):
    """Apply notices as a box does that starts at `now`."""
    for notice in notices:
        at = now - notice.age_ms / 1000
        weights.take_version(
            notice.model, notice.version, at, notice.is_witnessed
        )


def make_replaced_twice():
    """Return Weights with one version past the bound and a newer one."""
    weights = weights_module.Weights(BOUND_S)
    for version, at in (1, 0.0), (2, 10.0), (3, 10.0 + BOUND_S):
        weights.put_version('m', version, at)
    return weights, 11.0 + BOUND_S


def test_newer_version_hides_one_that_is_past_the_bound():
    weights, now = make_replaced_twice()
    started = weights_module.Weights(BOUND_S)
    tell(weights.list_versions(now), now, started)
    assert started.get_lag('m', 1, now) >= BOUND_S
    assert started.get_lag('m', 2, now) == 1.0


def test_digests_hide_a_version_that_is_past_the_bound():
    weights, now = make_replaced_twice()
    started = weights_module.Weights(BOUND_S)
    started.put_version('m', 3, now, math.inf, is_late=True)
    for notice in weights.list_ages(now):
        at = now - notice.age_ms / 1000
        started.take_age('m', notice.version, at, notice.is_witnessed)
    assert started.get_lag('m', 1, now) >= BOUND_S
    assert started.get_lag('m', 2, now) == 1.0
    # Once the newest one is past the bound, they tell nothing.
    assert weights.list_ages(now + BOUND_S) == []


@pytest.mark.parametrize('stop_others', [False, True])
def test_box_that_starts_after_two_versions_uses_targets_without_either(
    refuse_orders, stop_others
):
    async def check(deployment):
        first = await deployment.start_box('box1', version_s=BOUND_S)
        test_weight_ages.name_version(deployment, 2)
        await asyncio.sleep(BOUND_S + 0.2)
        test_weight_ages.name_version(deployment, 3)
        await site.wait_until(
            lambda: first.view.weights.named['m'].version == 3
        )
        await asyncio.sleep(RENEWED_S)
        if stop_others:
            first.stop()
        started = await deployment.start_box(
            'box2', [first.deployment.links], version_s=BOUND_S
        )
        # Most ages are in one digest a second.
        await asyncio.sleep(1.1)
        assert (
            await test_weight_ages.count_on_old_weights(deployment, started)
            == 0
        )

    site.run(check)


def test_version_that_arrived_in_a_short_stall_counts_as_read_in_time(suspend):
    async def check(deployment):
        hub = await deployment.start_box(version_s=BOUND_S)
        proved = hub.clock() - hub.view.proof.age(hub.clock())
        suspend(SHORT_STALL_S)
        # What arrived in it may be read before its ticks are due.
        hub.state.put_version('n', 2, state.STORE)
        age_s = hub.view.weights.get_age('n', 2, hub.clock())
        assert age_s >= SHORT_STALL_S
        assert age_s == pytest.approx(hub.clock() - proved, abs=0.1)

    site.run_on_boot_clock(check)


def test_boxes_that_tell_each_other_make_no_version_older_or_younger():
    boxes = [weights_module.Weights(BOUND_S) for _ in range(4)]
    for number, box in enumerate(boxes):
        # Two of them start later and can't tell.
        is_late = number > 1
        proof_s = math.inf if is_late else 1.0
        box.put_version('m', 2, 10.0 + 0.1 * number, proof_s, is_late)
    now = 10.5
    while now < 10.0 + BOUND_S:
        for sender in boxes:
            told = sender.list_ages(now)
            for receiver in boxes:
                tell(told, now + 0.05, receiver)
        now += 0.2
    lags = [box.get_lag('m', 1, now) for box in boxes]
    assert all(abs(lag_s - (now - 10.0)) < 0.2 for lag_s in lags)


def test_claim_of_an_earlier_build_loses_ages_on_the_safe_side(refuse_orders):
    async def check(deployment):
        hub = await deployment.start_box('box1', version_s=BOUND_S)
        test_weight_ages.name_version(deployment, 2)
        claims = test_weight_ages.CLAIM_CALL
        await site.wait_until(lambda: hub.store.calls[claims])
        hub.stop()
        claim = {'holder': 'b', 'loading': {}}
        deployment.store.put(names.CLAIMS_TOPIC, ordering.CLAIM_KEY, claim)
        started = await deployment.start_box('box2', version_s=BOUND_S)
        lag_s = started.view.weights.get_lag('m', 1, started.clock())
        assert lag_s == math.inf

    site.run(check)


def claim_versions(hub, wall_s, age_ms=500):
    """Let a box read a claim that was written at a time of day."""
    notice = peer_digests.VersionNotice('n', 2, age_ms)
    value = catalogue.write_claim('b', {}, [notice], wall_s)
    claim = catalogue.read_claim(value, 7, hub.wall())
    hub.state.take_claimed(claim.versions, hub.clock())


def test_claim_by_a_clock_hours_behind_outweighs_the_word_of_peers():
    async def check(deployment):
        hub = await deployment.start_box(version_s=BOUND_S)
        claim_versions(hub, hub.wall() - HOUR_S)
        notice = peer_digests.VersionNotice('n', 2, 600)
        hub.state.take_ages([notice], hub.clock(), state.PEER)
        assert hub.view.weights.get_lag('n', 1, hub.clock()) < 1.0

    site.run(check)


def test_claim_by_a_clock_hours_ahead_makes_a_version_young():
    async def check(deployment):
        hub = await deployment.start_box(version_s=BOUND_S)
        claim_versions(hub, hub.wall() + HOUR_S)
        assert hub.view.weights.get_lag('n', 1, hub.clock()) >= BOUND_S

    site.run(check)


@pytest.mark.parametrize('age', [math.nan, math.inf, None, 'x'])
def test_claim_with_an_age_that_is_no_number_is_not_read(age):
    value = catalogue.write_claim('b', {}, [('m', 2, age, True)], 10.0)
    with pytest.raises(decoding.Malformed):
        catalogue.read_claim(value, 7, 10.0)


def test_states_that_are_fetched_slowly_make_a_version_older_each_time():
    async def check(deployment):
        hub = await deployment.start_box(version_s=BOUND_S)
        notice = peer_digests.VersionNotice('n', 2, 500)
        hub.state.take_versions([notice], hub.clock(), state.PEER)
        for _ in range(3):
            snapshot = hub.state.get_snapshot()
            hub.state.take(snapshot, hub.clock() - 1.0)
        assert 0.5 <= hub.view.weights.get_age('n', 2, hub.clock()) < 1.0

    site.run(check)


def test_late_word_of_an_older_version_makes_newer_ones_younger():
    weights = weights_module.Weights(BOUND_S)
    weights.put_version('m', 3, 10.0)
    weights.take_age('m', 2, 11.0)
    assert weights.get_lag('m', 2, 11.0) == 1.0
    assert weights.get_lag('m', 1, 11.0) == 1.0


@pytest.mark.parametrize(
    'age_ms',
    [10**400, -(10**400), -1, 2**70],
    ids=['huge', 'less', 'negative', 'long'],
)
def test_digest_with_an_impossible_age_harms_nothing(age_ms):
    async def check(deployment):
        hub = await deployment.start_box(version_s=BOUND_S)
        hub.view.weights.put_version('m', 2, hub.clock())
        notice = peer_digests.VersionNotice('m', 2, age_ms)
        digest = peer_digests.Digest('b', 'd1', 1, {}, versions=(notice,))
        message = datagrams.decode(datagrams.encode(digest))
        if message is not None:
            hub.peering._receive_digest(message, hub.deployment.links)
        assert 0.0 <= hub.view.get_lag('e0', 'm', hub.clock()) < 2.0

    site.run(check)
