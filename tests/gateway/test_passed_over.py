"""A record that raises an error is passed over, and proves nothing."""

import asyncio

import pytest

from landingspool.gateway import following
from tests.gateway import site
from tests.gateway.test_supervision import fail
from tests.gateway.test_supervision import RETURN_S


def test_a_table_that_can_not_be_applied_is_not_proved(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box(key_s=1.0)
        real = hub.state.take_table
        monkeypatch.setattr(hub.state, 'take_table', fail)
        deployment.publish(site.make_table(5, keys=('other',)))
        deployment.store.put(
            'keyed.op', 'version/m', {'model': 'm', 'version': 2}
        )
        # Records after the one that failed are applied.
        await site.wait_until(
            lambda: hub.view.weights.named['m'].version == 2, 2.0
        )
        await site.wait_until(
            lambda: not hub.view.proof.is_fresh(hub.clock()), 2.0
        )
        assert (await site.ask(hub, '/safe/a')).status == 503
        assert not any(r.ran for r in deployment.plain)
        before = sum(hub.store.calls.values())
        await asyncio.sleep(1.0)
        assert sum(hub.store.calls.values()) - before < 30
        hub.state.take_table = real
        await site.wait_until(
            lambda: hub.view.proof.is_fresh(hub.clock()), RETURN_S
        )
        assert hub.view.table.version == 5
        assert (await site.ask(hub, '/safe/a', key='other')).status == 200

    site.run(check)


@pytest.mark.parametrize('at_start', [True, False])
def test_one_record_of_a_target_stops_no_follower(at_start, monkeypatch):
    async def check(deployment):
        def put(state, target, value):
            if target == 'odd':
                fail()
            return real(state, target, value)

        real = site.hub_module.state.State.put_target
        monkeypatch.setattr(site.hub_module.state.State, 'put_target', put)
        odd = deployment.plain[0].entry('plain')
        if at_start:
            deployment.store.put('keyed.servers', 'odd', odd)
        hub = await deployment.start_box()
        if not at_start:
            deployment.store.put('keyed.servers', 'odd', odd)
        deployment.announce(deployment.plain[0], 'plain', state='draining')
        await site.wait_until(lambda: 'p0' not in hub.view.fleet.entries)
        assert 'p1' in hub.view.fleet.entries
        (event,) = hub.recorder.select(key='odd')
        assert event.name == 'record_passed_over'
        assert event.fields['topic'] == 'keyed.servers'
        assert event.fields['offset'] >= 0
        assert 'made by the test' in event.fields['reason']
        assert (await site.ask(hub, '/safe/a')).status == 200

    site.run(check)


def test_targets_are_not_proved_while_one_record_is_not_applied(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        confirmed = []
        monkeypatch.setattr(
            hub.view.software_history,
            'confirm_list',
            lambda sent, first: confirmed.append(sent),
        )
        real = hub.state.put_target
        hub.state.put_target = fail
        deployment.announce(deployment.plain[0], 'plain', software='next')
        await site.wait_until(
            lambda: hub.recorder.counts['record_passed_over']
        )
        count = len(confirmed)
        hub.state.put_target = real
        await asyncio.sleep(following.Targets.hold_s + 0.3)
        assert len(confirmed) == count
        deployment.announce(deployment.plain[0], 'plain', software='next')
        await site.wait_until(lambda: len(confirmed) > count)

    site.run(check)


def test_the_holder_of_a_claim_that_is_passed_over_keeps_its_lease(
    monkeypatch,
):
    async def check(deployment):
        hub = await deployment.start_box()
        await site.wait_until(lambda: hub.claims.was_tried)
        monkeypatch.setattr(following.catalogue, 'read_claim', fail)
        deployment.store.put('keyed.claims', 'orders', {})
        await site.wait_until(
            lambda: hub.recorder.counts['record_passed_over']
        )
        watch = hub.claims._watch
        assert not watch.may_claim('box1', hub.clock())
        lease_s = hub.deployment.bounds.lease_s
        assert watch.may_claim('box1', hub.clock() + lease_s + 1.0)

    site.run(check)
