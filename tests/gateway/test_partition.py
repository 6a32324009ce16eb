"""A box finds out soon that it reaches no target, and seldom by mistake."""

import asyncio

import pytest

from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import partition
from landingspool.decisions.gateway import view as view_module
from landingspool.gateway import deployment as deployment_module
from tests.gateway import site
from tests.gateway import test_cut_boxes as cuts


def make_view(domains, per_domain):
    """Return the view of a box, with some targets in each domain."""
    view = view_module.View('d0', deployment_module.Bounds(), 1)
    for number in range(domains * per_domain):
        domain = f'd{number % domains}'
        name = f't{number}'
        entry = fleet.Entry(name, 's', (name, 1), domain, fleet.READY, 4, {})
        view.put_entry(entry, 0.0)
    return view


def test_a_single_dead_target_is_not_suspicious():
    view = make_view(3, 3)
    for now in (10.0, 10.3, 10.9):
        view.record_unreached('t0', now)
        assert view.list_samples(now) == []


def test_no_target_is_probed_if_another_has_answered_meanwhile():
    view = make_view(3, 3)
    view.record_unreached('t0', 10.0)
    view.partition.record_answered(10.1)
    view.record_unreached('t3', 10.2)
    assert view.list_samples(10.2) == []


def test_a_dead_domain_costs_one_sample_in_some_seconds():
    view = make_view(3, 6)
    dead = [f't{n}' for n in range(0, 18, 3)]
    probed = []
    for step, name in enumerate(dead):
        now = 10.0 + step / 10
        view.record_unreached(name, now)
        samples = view.list_samples(now)
        probed += samples
        for sample in samples:
            if sample in dead:
                view.record_unreached(sample, now)
            else:
                view.record_connected(now)
    assert len(probed) == partition.SAMPLES
    assert not view.partition.is_on


def test_a_partitioned_box_probes_a_few_targets_at_a_time():
    view = make_view(5, 11)
    now = 10.0
    for name in ('t0', 't1'):
        view.record_unreached(name, now)
    samples = view.list_samples(now)
    assert not view.partition.is_on
    for name in samples:
        view.record_unreached(name, now + 0.2)
    assert view.partition.is_on
    probed = set()
    for step in range(120):
        now = 10.2 + step / 10
        due = view.list_due_probes(now)
        assert len(due) <= partition.RETRIES
        probed.update(due)
        for name in due:
            view.record_unreached(name, now)
    assert len(probed) == 55
    view.record_connected(now)
    assert not view.partition.is_on
    assert len(view.list_due_probes(now)) == 55


@pytest.mark.parametrize('manner', ['hanging', 'refused'])
def test_one_request_shows_a_box_that_it_is_partitioned(manner):
    async def check(deployment):
        hub = await deployment.start_box()
        loop = asyncio.get_running_loop()
        targets = deployment.plain + deployment.engines
        cut = cuts.Cut(hub, targets, manner)
        began = loop.time()
        asked = asyncio.ensure_future(site.ask(hub, '/safe/a'))
        await site.wait_until(lambda: hub.view.partition.is_on, 1.0)
        assert loop.time() - began < 0.75
        await asked
        cut.heal()
        await site.wait_until(lambda: not hub.view.partition.is_on, 1.0)
        known = hub.view.reachability
        await site.wait_until(lambda: not known.list_failed(), 1.0)
        assert (await site.ask(hub, '/safe/a')).status == 200

    site.run(check, plain=4, engines=4)


def test_a_box_that_reaches_some_targets_is_not_partitioned():
    async def check(deployment):
        hub = await deployment.start_box()
        cuts.Cut(hub, deployment.plain, 'refused')
        for _ in range(5):
            await site.ask(hub, '/safe/a')
            await asyncio.sleep(0.1)
        assert len(hub.view.reachability.list_failed()) == 4
        assert not hub.view.partition.is_on

    site.run(check, plain=4, engines=4)


@pytest.mark.parametrize('manner', cuts.MANNERS)
def test_idle_connections_are_left_if_they_are_silent_too(manner):
    async def check(deployment):
        hub = await deployment.start_box()
        targets = deployment.plain + deployment.engines
        for target in targets:
            address = site.http.Address(*target.address[:2])
            connection = await hub.upstream._connect(address)
            hub.upstream.keep(address, connection, 9.0, 9)
        cuts.Cut(hub, targets, manner)
        for name in ('p0', 'p1'):
            hub.prober.record_failed(name, 'told by the test')
        await site.wait_until(lambda: hub.view.partition.is_on, 1.0)
        assert len(hub.upstream.list_ready(True)) == READY[manner]

    site.run(check, plain=4, engines=4)


READY = {'hanging': 0, 'refused': 0, 'old connections live': 8}
