"""Leases of orders: at a start, over a return of the store, in an upgrade."""

import asyncio
import json
import time

import pytest

from landingspool.decisions.gateway import order_claims
from landingspool.gateway import ordering
from landingspool.gateway import registry as registry_module
from landingspool.platform import names
from landingspool.platform import store as store_module
from tests.gateway import site
from tests.gateway import test_two_holders as holders

LEASE_S = 3.0
# A claim, the announcement before an order, and the turns of three boxes.
SLACK_S = 2.0
WEIGHTS = {'model': 'm', 'version': 2}


def has_held(hub):
    """Return whether a box has held a claim."""
    return any(row.name == 'holding' for row in hub.recorder.select())


async def time_first_order(deployment, since):
    """Return the seconds from a time until the next order arrives."""
    engines = deployment.engines
    before = sum(len(runner.judged) for runner in engines)
    await site.wait_until(
        lambda: sum(len(runner.judged) for runner in engines) > before, 20.0
    )
    return max(row.at for r in engines for row in r.judged) - since


def test_first_start_of_a_whole_deployment_waits_for_no_lease():
    async def check(deployment):
        await deployment.start_box('box1', first_start=True)
        deployment.store.put('keyed.op', 'version/m', WEIGHTS)
        waited_s = await time_first_order(deployment, time.monotonic())
        assert waited_s < SLACK_S

    site.run(check)


def test_orders_are_away_after_a_return_for_a_lease_and_a_takeover_at_most():
    async def check(deployment):
        scene = holders.Scene(deployment)
        for runner in deployment.engines:
            runner.load_s = holders.LOAD_S
        for _ in range(3):
            await scene.start_box()
        copies = scene.store.copy()
        await scene.name_weights()
        await scene.return_from(copies)
        waited_s = await time_first_order(deployment, time.monotonic())
        await scene.close()
        wait_s = LEASE_S + order_claims.TAKEOVER_S
        assert wait_s - 1.0 < waited_s < wait_s + SLACK_S

    site.run(check, engines=8)


async def time_return(deployment, prepare=lambda scene: None):
    """Return how late the first order is after a return without a loss."""
    scene = holders.Scene(deployment)
    for runner in deployment.engines:
        runner.load_s = holders.LOAD_S
    for _ in range(3):
        await scene.start_box()
    await scene.name_weights()
    await scene.leave()
    await asyncio.sleep(holders.LONG_AWAY_S)
    prepare(scene)
    await scene.come_back()
    waited_s = await time_first_order(deployment, time.monotonic())
    await scene.close()
    return waited_s


def test_orders_go_on_after_a_return_once_all_other_boxes_were_asked():
    # Guards against a wait for claims that no box can have made.
    async def check(deployment):
        assert await time_return(deployment) < SLACK_S

    site.run(check, engines=8)


def test_box_that_does_not_answer_may_have_claimed():
    def silence_one(scene):
        holder = scene.find_holder()
        silent = next(h for h in scene.hubs if h.deployment.box != holder)
        silent.peering._socket.close()
        silent.timer.close()

    async def check(deployment):
        assert await time_return(deployment, silence_one) > LEASE_S

    site.run(check, engines=8)


def test_claim_that_has_no_answer_yet_is_told_to_boxes_that_ask():
    async def check(deployment):
        one, other = await site.start_boxes(deployment, 2, first_start=True)
        inquiry = one.peering.ballot_inquiry
        since = one.clock()
        with other.view.ballots.trying(5):
            await site.wait_until(lambda: inquiry.ask(since, one.clock()))
        assert one.view.ballots.claimed == 5

    site.run(check)


def test_target_that_refuses_every_fence_keeps_no_weights_from_others(
    monkeypatch,
):
    monkeypatch.setattr(ordering, 'MAX_REFUSALS', 2)

    async def check(deployment):
        odd, *sound = deployment.engines
        odd.fence = 2**63
        await deployment.start_box('box1', first_start=True, lease_s=1.0)
        for version in (2, 3):
            weights = {'model': 'm', 'version': version}
            deployment.store.put('keyed.op', 'version/m', weights)
            await site.wait_until(
                lambda version=version: all(
                    runner.version == version for runner in sound
                ),
                20.0,
            )

    site.run(check, engines=3)


def test_claim_that_cannot_be_decoded_is_waited_for():
    # Guards against orders beside a holder that can't be read.
    async def check(deployment):
        await deployment.start_box('box1', first_start=True)
        deployment.store.put(names.CLAIMS_TOPIC, 'orders', b'{}')
        await asyncio.sleep(0.2)
        deployment.store.put('keyed.op', 'version/m', WEIGHTS)
        waited_s = await time_first_order(deployment, time.monotonic())
        assert waited_s > LEASE_S - 0.2

    site.run(check)


def test_answer_of_a_lost_log_gives_no_lease():
    # Guards against orders under a claim that the store has lost meanwhile.
    async def check(deployment):
        hub = await deployment.start_box('box1', first_start=True)
        append = hub.store.append

        async def roll_back(topic, *call):
            reply = await append(topic, *call)
            if topic == names.CLAIMS_TOPIC:
                hub.rollbacks.report(
                    store_module.RolledBack(topic, 1, 0, store_module.READ)
                )
            return reply

        hub.store.append = roll_back
        deployment.store.put('keyed.op', 'version/m', WEIGHTS)
        await asyncio.sleep(2.0)
        assert hub.store.calls[f'append {names.CLAIMS_TOPIC}']
        assert not has_held(hub)
        assert not any(runner.judged for runner in deployment.engines)

    site.run(check)


def test_refused_holder_waits_and_orders_under_a_higher_fence():
    async def check(deployment):
        (engine,) = deployment.engines
        await deployment.start_box('box1', first_start=True)
        engine.fence = 2 << 32
        deployment.store.put('keyed.op', 'version/m', WEIGHTS)
        await site.wait_until(lambda: engine.version == 2, 30.0)
        assert [row.status for row in engine.judged][-1] == 202
        times = [row.at for row in engine.judged]
        wait_s = LEASE_S + order_claims.TAKEOVER_S
        assert all(
            later - sooner >= wait_s
            for sooner, later in zip(times, times[1:], strict=False)
        )

    site.run(check, engines=1)


@pytest.mark.parametrize('is_alive', [True, False])
def test_box_beside_one_of_an_earlier_build_leaves_orders_to_it(is_alive):
    # Guards against fences that the earlier build's are below.
    async def check(deployment):
        one, other = await site.start_boxes(deployment, 2, first_start=True)
        registry = one.peering._registry
        links = other.deployment.links
        row = json.loads(registry_module.write_peer(links, 'd1', 0.0))
        del row['ballots']
        deployment.store.put(names.BOXES_TOPIC, 'box1', row)
        await registry._read_list()
        other.store.append = None
        if not is_alive:
            other.timer.close()
            await asyncio.sleep(5.0)
        assert one.peering.has_older_orderers() == is_alive
        deployment.store.put('keyed.op', 'version/m', WEIGHTS)
        await asyncio.sleep(2.0)
        assert has_held(one) != is_alive

    site.run(check)
