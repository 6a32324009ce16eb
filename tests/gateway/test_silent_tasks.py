"""An error in a short task is told of, and leaves no state half done."""

import asyncio

from landingspool.gateway import registry
from landingspool.platform import catalogue
from tests.gateway import site
from tests.gateway.test_supervision import ALWAYS
from tests.gateway.test_supervision import fail
from tests.gateway.test_supervision import fail_first
from tests.gateway.test_supervision import list_faults
from tests.gateway.test_supervision import RETURN_S


def test_an_order_in_doubt_is_not_given_again(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        real = hub.runners.order

        async def order_and_fail(*args):
            await real(*args)
            fail()

        monkeypatch.setattr(hub.runners, 'order', order_and_fail)
        for target in deployment.engines:
            target.load_s = 0.5
        deployment.store.put(
            'keyed.op', 'version/m', {'model': 'm', 'version': 2}
        )
        await site.wait_until(
            lambda: all(t.version == 2 for t in deployment.engines), 12.0
        )
        await site.wait_until(
            lambda: all(
                hub.view.fleet.get_version(t.name, 'm') == 2
                for t in deployment.engines
            )
        )
        assert [len(t.orders) for t in deployment.engines] == [1, 1]
        assert list_faults(hub, 'order')

    site.run(check)


def test_a_failing_message_of_a_peer_delays_no_other(monkeypatch):
    async def check(deployment):
        first, second = await site.start_boxes(deployment, 2)
        kind = site.hub_module.peering.peer_digests.ProofQuery
        handlers = site.hub_module.peering.HANDLERS
        monkeypatch.setitem(handlers, kind, fail)
        taken = []
        second.continuity.take = taken.append
        streams = site.hub_module.peering.stream_records.StreamRecords
        address = second.deployment.links
        for _ in range(3):
            first.peering.send(kind('box0', 1), address)
        first.peering.send(streams('box0', ()), address)
        await asyncio.sleep(0.02)
        # Messages are read for a request as well, which must not fail.
        second.peering.read_arrived()
        await site.wait_until(lambda: taken, 0.5)
        assert list_faults(second, 'messages')

    site.run(check)


def test_one_crash_record_that_can_not_be_written_blocks_no_other(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        real = hub.store.append

        async def append(topic, key, *args):
            if key.endswith(b'odd'.hex()):
                fail()
            return await real(topic, key, *args)

        monkeypatch.setattr(hub.store, 'append', append)
        value = catalogue.write_crashes([], hub.wall())
        hub.crash_records._put(b'odd', value)
        hub.crash_records._put(b'next', value)
        await site.wait_until(
            lambda: b'next'.hex() in hub.crash_records._written
        )
        assert list_faults(hub, 'crash_records')
        count = hub.recorder.counts['fault']
        await asyncio.sleep(1.0)
        assert hub.recorder.counts['fault'] <= count + 2

    site.run(check)


def test_odd_cache_events_of_one_target_stop_no_other(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        known = hub.view.context_index
        real, calls = known.take, []

        def take(name, *args):
            calls.append(name)
            if name == 'e0' and len(calls) < 4:
                fail()
            return real(name, *args)

        monkeypatch.setattr(known, 'take', take)
        await site.wait_until(lambda: calls.count('e0') > 2, RETURN_S)
        assert calls.count('e1')
        assert list_faults(hub, 'cache_events')

    site.run(check)


def test_a_failing_probe_is_told_of_and_tried_again(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        calls = fail_first(
            monkeypatch, site.hub_module.upstream.Upstream, 'probe', 1
        )
        hub.prober.record_failed('p0', 'made by the test')
        await site.wait_until(
            lambda: 'p0' not in hub.view.reachability.list_failed(), RETURN_S
        )
        assert len(calls) > 1
        assert list_faults(hub, 'probe')

    site.run(check)


def test_a_summary_that_can_not_be_written_is_tried_again(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        watch = hub.software_watch
        calls = fail_first(monkeypatch, hub.store, 'append', 1)
        summary = watch._history.summarize(hub.clock())
        monkeypatch.setattr(watch, '_find_wanted', lambda now: summary)
        await site.wait_until(lambda: watch._stored == summary, 9.0)
        assert len(calls) > 1
        assert list_faults(hub, 'software_summary')

    site.run(check)


def test_an_odd_answer_of_a_peer_leaves_the_store_as_a_source(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        peer = registry.Peer('odd', hub.deployment.links, 'd1')
        hub.peering.peers['odd'] = peer
        monkeypatch.setattr(
            hub.peering,
            'pick_reader',
            lambda: None if hub.peering.is_avoided('odd') else peer,
        )
        calls = fail_first(monkeypatch, type(hub.sources), '_read_box', ALWAYS)
        await site.wait_until(lambda: calls)
        deployment.publish(site.make_table(6))
        await site.wait_until(lambda: hub.view.table.version == 6, 1.0)
        assert list_faults(hub, 'sources')

    site.run(check)


def test_a_failing_stall_subscriber_leaves_the_proof_to_be_renewed(
    monkeypatch, suspend
):
    async def check(deployment):
        hub = await deployment.start_box()
        monkeypatch.setattr(site.hub_module.stalls, 'exclude_stall', fail)
        # A read of the tables has to be held: it is sent again after a stall.
        await asyncio.sleep(0.3)
        suspend(1.0)
        hub.clock()
        await site.wait_until(lambda: hub.recorder.counts['proof_renewed'])
        assert (await site.ask(hub, '/safe/a')).status == 200

    site.run_on_boot_clock(check)


def test_planned_orders_are_withdrawn_if_the_claim_fails(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        calls = fail_first(
            monkeypatch, site.hub_module.ordering.Orderer, '_claim', 1
        )
        deployment.store.put(
            'keyed.op', 'version/m', {'model': 'm', 'version': 2}
        )
        # Far less than the time for which a planned order would hold a place.
        await site.wait_until(
            lambda: all(t.version == 2 for t in deployment.engines), 6.0
        )
        assert len(calls) > 1
        assert [len(t.orders) for t in deployment.engines] == [1, 1]
        assert list_faults(hub, 'orders')

    site.run(check)


def test_a_holder_whose_part_failed_claims_anew_before_it_orders(monkeypatch):
    async def check(deployment):
        for target in deployment.engines:
            target.load_s = 0.8
        hub = await deployment.start_box()
        deployment.store.put(
            'keyed.op', 'version/m', {'model': 'm', 'version': 2}
        )
        await site.wait_until(
            lambda: any(t.orders for t in deployment.engines)
        )
        fail_first(
            monkeypatch, site.hub_module.ordering.Orderer, '_plan_orders', 1
        )
        await site.wait_until(
            lambda: all(t.version == 2 for t in deployment.engines), 9.0
        )
        assert [len(t.orders) for t in deployment.engines] == [1, 1]
        names = [event.name for event in hub.recorder.select()]
        assert names.index('lease_lost') > names.index('fault')
        assert names.count('holding') == 2

    site.run(check)


def test_the_contents_of_a_store_that_are_half_applied_are_read_anew(
    monkeypatch,
):
    async def check(deployment):
        keeper, address = await site.start_keeper([])
        try:
            hub = await deployment.start_box()
            deployment.publish(site.make_store_table(2, address))
            known = hub.view.context_index
            await site.wait_until(lambda: known.get(address) is not None)
            lists = fail_first(monkeypatch, hub.runners, 'read_list', 0)
            real = site.hub_module.cache_follower.context_index.trim
            failed = []

            def trim(cached):
                if not failed:
                    failed.append(cached)
                    fail()
                return real(cached)

            monkeypatch.setattr(
                site.hub_module.cache_follower.context_index, 'trim', trim
            )
            await site.wait_until(lambda: failed and lists, RETURN_S)
            await site.wait_until(lambda: known.get(address) is not None)
            assert list_faults(hub, 'cache_events')
        finally:
            await keeper.close()

    site.run(check, engines=0)


def test_one_store_of_a_peer_that_raises_leaves_the_others_followed(
    monkeypatch,
):
    async def check(deployment):
        hub = await deployment.start_box()
        follower = hub.cache_follower
        names = ['10.0.0.1:1', '10.0.0.2:2']
        update = site.hub_module.cache_follower.context_index.CacheUpdate(
            1, 1, False, (), clock_ms=1.0
        )

        async def fetch(peer, stores):
            asked.append(list(stores))
            return dict.fromkeys(stores, update)

        asked, taken = [], []
        monkeypatch.setattr(follower, '_fetch_changes', fetch)
        monkeypatch.setattr(
            follower,
            '_apply',
            lambda name, *args: (
                fail() if name == names[0] else taken.append(name)
            ),
        )
        hub.view.table = hub.view.table._replace(
            context_stores=dict.fromkeys(names)
        )
        for _ in range(2):
            await follower._ask_peer(None)
        assert taken == [names[1]] * 2
        assert asked == [names, names[1:]]
        assert list_faults(hub, 'cache_events')

    site.run(check)


def test_a_box_registers_itself_though_the_list_of_boxes_raises(monkeypatch):
    async def check(deployment):
        calls = fail_first(
            monkeypatch, registry.Registry, '_apply_list', ALWAYS
        )
        hub = await deployment.start_box()
        topic = deployment.store.topic('keyed.boxes')
        await site.wait_until(lambda: topic.end)
        assert calls
        assert hub.peering._registry.listed.is_set()
        await asyncio.sleep(0.5)
        assert topic.end == 1

    site.run(check)


def test_a_peer_whose_record_raises_stays_known(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        known = registry.Peer('odd', hub.deployment.links, 'd1')
        hub.peering.peers['odd'] = known
        real = registry.read_peer
        monkeypatch.setattr(
            registry,
            'read_peer',
            lambda name, value: fail() if name == 'odd' else real(name, value),
        )
        deployment.store.put('keyed.boxes', 'odd', {})
        row = registry.write_peer(hub.deployment.links, 'd1', 5.0)
        deployment.store.put('keyed.boxes', 'next', row)
        hub.peering._registry.read_soon()
        await site.wait_until(lambda: 'next' in hub.peering.peers)
        assert hub.peering.peers['odd'] == known
        assert list_faults(hub, 'boxes')

    site.run(check)


def test_an_owner_whose_answer_raises_counts_as_silent(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        monkeypatch.setattr(site.hub_module.continuity.boxcalls, 'fetch', fail)
        peer = registry.Peer('odd', hub.deployment.links, 'd1')
        assert await hub.continuity._try_ask(peer, b'') is None
        assert list_faults(hub, 'owners')

    site.run(check)


def test_a_state_of_a_peer_that_raises_is_asked_for_again(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        module = site.hub_module.peering
        tell = module.peer_digests.ProofReply('odd', 1, 99, 0.0)
        calls = fail_first(monkeypatch, module.boxcalls, 'fetch', ALWAYS)
        for count in (1, 2):
            hub.peering._asked_at = {1: hub.clock()}
            hub.peering._receive_tell(tell, hub.deployment.links)
            await site.wait_until(lambda count=count: len(calls) == count)
            await site.wait_until(lambda: not hub.peering._fetching)
        assert len(list_faults(hub, 'state')) == 2

    site.run(check)


def test_a_box_whose_groups_fail_does_not_count_as_gone(monkeypatch):
    async def check(deployment):
        monkeypatch.setattr(
            site.hub_module.peering.Peering, '_update_groups', fail
        )
        first, second = await site.start_boxes(deployment, 2)
        await asyncio.sleep(1.5)
        now = second.clock()
        assert 'box0' in second.view.peer_digests.list_fresh_peers(now)
        assert list_faults(first, 'groups')

    site.run(check)
