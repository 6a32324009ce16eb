"""Garbage is freed from the KV cache stores, and nothing else is."""

import asyncio
import itertools

from landingspool.decisions.gateway import garbage
from landingspool.decisions import ownership
from landingspool.gateway import registry
from landingspool.gateway import sweeper
from tests.gateway import site

CACHED_PARTS = [
    ['m.1', 'aa', 500, 'm'],
    ['m.2', 'aa', 500, 'm'],
    ['x.1', 'b', 9, 'x'],
]


async def start(deployment):
    """Start a box and a KV cache store that it follows."""
    context_store, address = await site.start_keeper(list(CACHED_PARTS))
    deployment.publish(site.make_store_table(2, address))
    hub = await deployment.start_box()
    await site.wait_until(lambda: hub.view.context_index.cached(address))
    return hub, context_store


def publish(deployment):
    """Publish new weights."""
    row = {'model': 'm', 'version': 2}
    deployment.store.put('keyed.op', 'version/m', row)


def load(deployment, *engines):
    """Have targets announce that they have new weights."""
    for engine in engines:
        engine.version = 2
        deployment.announce(engine, 'engine', model='m')


def test_parts_go_a_time_after_newer_weights_were_published(monkeypatch):
    monkeypatch.setattr(garbage, 'compute_wait', lambda bound_s: 1.5)
    monkeypatch.setattr(sweeper, 'CHECK_PERIOD_S', (0.05, 0.1))

    async def check(deployment):
        _, context_store = await start(deployment)
        load(deployment, *deployment.engines)
        await asyncio.sleep(1.8)
        assert not context_store.freed
        publish(deployment)
        await asyncio.sleep(1.2)
        assert not context_store.freed
        await site.wait_until(
            lambda: context_store.freed == [('m.1', 'aa')], 2.0
        )
        await context_store.close()

    site.run(check)


def test_parts_stay_while_a_target_is_listed_with_their_weights(monkeypatch):
    monkeypatch.setattr(garbage, 'compute_wait', lambda bound_s: 0.5)
    monkeypatch.setattr(sweeper, 'CHECK_PERIOD_S', (0.05, 0.1))

    async def check(deployment):
        _, context_store = await start(deployment)
        first, second = deployment.engines
        # It takes no order.
        second.busy = True
        publish(deployment)
        load(deployment, first)
        await asyncio.sleep(1.5)
        assert not context_store.freed
        load(deployment, second)
        await site.wait_until(
            lambda: context_store.freed == [('m.1', 'aa')], 2.0
        )
        await context_store.close()

    site.run(check)


def test_freed_parts_are_not_freed_again_for_want_of_an_event(monkeypatch):
    monkeypatch.setattr(garbage, 'compute_wait', lambda bound_s: 0.2)
    monkeypatch.setattr(sweeper, 'CHECK_PERIOD_S', (0.05, 0.1))

    async def check(deployment):
        hub, context_store = await start(deployment)
        publish(deployment)
        load(deployment, *deployment.engines)
        await site.wait_until(lambda: context_store.freed)
        await asyncio.sleep(0.5)
        assert context_store.freed == [('m.1', 'aa')]
        (address,) = hub.view.table.context_stores
        assert ('m.2', 'aa') in hub.view.context_index.cached(address)
        await context_store.close()

    site.run(check)


def test_a_store_in_another_life_frees_nothing(monkeypatch):
    monkeypatch.setattr(garbage, 'compute_wait', lambda bound_s: 0.2)
    monkeypatch.setattr(sweeper, 'CHECK_PERIOD_S', (0.05, 0.1))

    async def check(deployment):
        _, context_store = await start(deployment)
        monkeypatch.setitem(
            site.runner_module.CALLS,
            '/api/kv-events',
            lambda runner, body: (503, {}),
        )
        context_store.epoch += 1
        publish(deployment)
        load(deployment, *deployment.engines)
        await asyncio.sleep(1.0)
        assert not context_store.freed
        await context_store.close()

    site.run(check)


def test_parts_that_broke_off_are_freed_by_one_box(monkeypatch):
    monkeypatch.setattr(garbage, 'INCOMPLETE_S', 0.5)
    monkeypatch.setattr(sweeper, 'LIST_PERIOD_S', 0.3)
    monkeypatch.setattr(sweeper, 'CHECK_PERIOD_S', (0.05, 0.1))

    async def check(deployment):
        hub, context_store = await start(deployment)
        second = await deployment.start_box('box2')
        await site.wait_until(lambda: 'box2' in hub.peering.peers)
        await site.wait_until(lambda: 'box1' in second.peering.peers)
        context_store.partial = [
            ['m.1', 'half', 100, 800],
            ['m.1', 'go', 1, 800],
        ]
        for written in range(2, 20):
            await asyncio.sleep(0.1)
            context_store.partial[-1][2] = written
        assert context_store.freed == [('m.1', 'half')]
        (address,) = hub.view.table.context_stores
        # Both know the capacity that the part being written takes.
        await site.wait_until(
            lambda: all(
                h.view.context_index.get(address).extra == 800
                for h in (hub, second)
            )
        )
        await context_store.close()

    site.run(check)


def test_a_store_that_another_box_owns_now_is_told_of_no_more(monkeypatch):
    monkeypatch.setattr(sweeper, 'CHECK_PERIOD_S', (0.05, 0.1))

    async def check(deployment):
        hub, context_store = await start(deployment)
        (address,) = hub.view.table.context_stores
        await site.wait_until(lambda: address in hub.view.store_usage)
        name = next(
            name
            for name in map('box{}'.format, itertools.count(2))
            if ownership.get_owner(address, ['box1', name]) == name
        )
        hub.peering.peers[name] = registry.Peer(
            name, context_store.address, 'd1'
        )
        await site.wait_until(lambda: not hub.view.store_usage)
        await context_store.close()

    site.run(check)
