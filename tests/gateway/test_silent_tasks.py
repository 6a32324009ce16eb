"""An error in a short task is told of, and leaves no state half done."""

import asyncio

from landingspool.gateway import registry
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
        hub.crash_records._put(b'odd', b'x')
        hub.crash_records._put(b'next', b'x')
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
        suspend(1.0)
        hub.clock()
        await site.wait_until(lambda: hub.recorder.counts['proof_renewed'])
        assert (await site.ask(hub, '/safe/a')).status == 200

    site.run_on_boot_clock(check)
