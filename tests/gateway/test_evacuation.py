"""Tests that evacuated domains and disallowed regions get no requests."""

import asyncio

from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import view as view_module
from landingspool.gateway import deployment as deployment_module
from tests.gateway import site
from tests.gateway import test_following
from tests.gateway import test_view

KEY = 'evacuate/d2'


def put(deployment, value=b'{}'):
    """Put or withdraw the evacuation of the second domain."""
    deployment.store.put('keyed.op', KEY, value)


def split(deployment):
    """Move one plain target and all engines to the second domain."""
    deployment.announce(deployment.plain[1], 'plain', domain='d2')
    for engine in deployment.engines:
        deployment.announce(engine, 'engine', domain='d2', model='m')


def test_an_evacuated_domain_gets_nothing_until_it_is_withdrawn():
    async def check(deployment):
        split(deployment)
        put(deployment)
        hub = await deployment.start_box()
        await site.wait_until(
            lambda: hub.view.exclusions.evacuation.holds('d2')
        )
        for _ in range(8):
            assert (await site.ask(hub, '/safe/a')).status == 200
        refused = await site.ask(hub, '/resumed/a')
        assert refused.status == 503
        assert b'evacuated' in refused.body
        assert not deployment.plain[1].heads
        put(deployment, b'')
        await site.wait_until(
            lambda: not hub.view.exclusions.evacuation.holds('d2')
        )
        deployment.announce(deployment.plain[0], 'plain', state='draining')
        await site.wait_until(lambda: 'p0' not in hub.view.fleet.entries)
        assert (await site.ask(hub, '/safe/a')).status == 200
        assert deployment.plain[1].heads

    site.run(check)


def test_a_retry_does_not_go_to_a_domain_evacuated_meanwhile():
    async def check(deployment):
        split(deployment)
        hub = await deployment.start_box()
        deployment.plain[0].usual = 'hang'
        asked = asyncio.ensure_future(site.ask(hub, '/safe/a'))
        await site.wait_until(lambda: any(r.heads for r in deployment.plain))
        put(deployment)
        await site.wait_until(
            lambda: hub.view.exclusions.evacuation.holds('d2')
        )
        before = len(deployment.plain[1].heads)
        await asked
        assert len(deployment.plain[1].heads) == before

    site.run(check)


def test_new_weights_are_not_ordered_in_an_evacuated_domain():
    async def check(deployment):
        deployment.announce(
            deployment.engines[1], 'engine', domain='d2', model='m'
        )
        put(deployment)
        hub = await deployment.start_box()
        await site.wait_until(
            lambda: hub.view.exclusions.evacuation.holds('d2')
        )
        named = {'model': 'm', 'version': 2}
        deployment.store.put('keyed.op', 'version/m', named)
        await site.wait_until(lambda: deployment.engines[0].version == 2, 9.0)
        await asyncio.sleep(0.5)
        assert not deployment.engines[1].orders

    site.run(check)


def test_a_box_without_the_store_learns_of_an_evacuation_and_its_end():
    async def check(deployment):
        first = await deployment.start_box('box1')
        second = await deployment.start_box('box2')
        await site.wait_until(lambda: 'box2' in first.peering.peers)
        second.store = test_following.Away()
        await asyncio.sleep(2.6)
        put(deployment)
        await site.wait_until(
            lambda: second.view.exclusions.evacuation.holds('d2'), 5.0
        )
        put(deployment, b'')
        await site.wait_until(
            lambda: not second.view.exclusions.evacuation.holds('d2'), 5.0
        )

    site.run(check)


def test_an_end_that_was_forgotten_by_the_log_is_noticed():
    async def check(deployment):
        put(deployment)
        hub = await deployment.start_box()
        await site.wait_until(
            lambda: hub.view.exclusions.evacuation.holds('d2')
        )
        topic = deployment.store.topic('keyed.op')
        del topic.newest[KEY]
        topic.append('other', b'{}')
        topic.forget()
        await site.wait_until(
            lambda: not hub.view.exclusions.evacuation.holds('d2')
        )

    site.run(check)


def make_regions():
    """Return a view with one target in each of two regions."""
    view = view_module.View(
        'd', deployment_module.Bounds(), 1, {'d': 'here', 'far': 'there'}
    )
    context_stores = [
        routes.Service(
            name,
            context_store=routes.ContextStore(
                name, domain, 10**6, 1e6, 4, True, 0.0
            ),
        )
        for name, domain in (('a:1', 'd'), ('b:1', 'far'))
    ]
    service = routes.Service('s', engine=test_view.ENGINE)
    view.put_table(
        routes.make_table(
            1, [], [service, *context_stores], {}, routes.Limits(), False
        )
    )
    view.proof.record(10.0)
    for domain in ('d', 'far'):
        entry = fleet.Entry(
            f't-{domain}', 's', (domain, 1), domain, fleet.READY, 4, {'m': 1}
        )
        view.put_entry(entry, 1.0)
    return view


def plan_at_home(view, route=(), workspace=()):
    """Plan a request with allowed regions; return the target's name."""
    work = test_view.make_work()._replace(
        route=test_view.ROUTE._replace(regions=frozenset(route)),
        tenancy=routes.Tenancy('w', regions=frozenset(workspace)),
    )
    plan = view.plan(work, (), 10.0)
    return plan and plan.entry.name


def test_requests_run_in_their_homes_alone():
    view = make_regions()
    for _ in range(9):
        assert plan_at_home(view, route=['there']) == 't-far'
        assert plan_at_home(view, workspace=['here']) == 't-d'
    assert plan_at_home(view, ['here', 'there'], ['there']) == 't-far'
    assert plan_at_home(view, ['here'], ['there']) is None
    assert plan_at_home(view, ['elsewhere']) is None
    # A domain without a known region is allowed for no restricted request.
    view.exclusions.regions = {}
    assert plan_at_home(view, ['here']) is None


def test_context_is_kept_in_the_homes_of_a_request_alone(monkeypatch):
    view = make_regions()
    monkeypatch.setattr(view.context_index, 'may_fetch', lambda *args: True)
    monkeypatch.setattr(view.context_index, 'may_save', lambda *args: True)
    for address in ('a:1', 'b:1'):
        view.context_index.add_read(address, 'other', (), 1.0)
    work = test_view.make_work()._replace(
        route=test_view.ROUTE._replace(regions=frozenset(['there']))
    )
    plan = view.plan(work, (), 10.0)
    assert plan.transfer.save == ('b:1', '')


def test_metrics_tell_of_evacuations_and_cold_targets():
    async def check(deployment):
        hub = await deployment.start_box()
        put(deployment)
        hub.view.exclusions.cold_targets.record_reported(
            'p0', 9.0, hub.clock()
        )
        wanted = b'evacuated_seconds{domain="d2"}'
        await site.wait_until(lambda: wanted in hub.metrics.render())
        assert b'gateway_cold_targets 1.0' in hub.metrics.render()

    site.run(check)
