"""Tests that a new holder knows the orders of the former one."""

import asyncio
import json

import pytest

from landingspool.decisions.gateway import order_claims
from landingspool.decisions.gateway import rollout_pace
from landingspool.decisions.gateway import rollouts
from landingspool.platform import catalogue
from landingspool.platform import names
from tests.gateway import site
from tests.gateway import test_stream_software as streams

# Seconds of the lease in tests, and those for which nothing ends by itself.
LEASE_S = 1.5
NEVER_S = 60.0
TARGETS = dict.fromkeys('abcde', 1)


def take_over(loading, given, now, targets=TARGETS):
    """Return a Rollout that took over from a claim written at 0 s."""
    rows = [rollouts.Given(name, 'm', 2, age) for name, age in given]
    value = catalogue.write_claim('former', loading, given=rows)
    claim = catalogue.read_claim(value, 7)
    rollout = rollouts.Rollout()
    adopted = rollout.take_over(claim, 'm', 2, targets, 0.0, now)
    return rollout, [order.target for order in adopted]


def list_planned(rollout, concurrency, now):
    """Return the targets of the orders for version 2 that are due."""
    orders = rollout.plan('m', 2, TARGETS, concurrency, now)
    return [order.target for order in orders]


def test_new_holder_orders_targets_without_an_order_first():
    rollout, adopted = take_over({}, [('a', 9000), ('b', 500)], 4.0)
    assert set(adopted) == {'a', 'b'}
    for name in adopted:
        rollout.take_report(name, False, 4.2)
    assert list_planned(rollout, 5, 4.2) == ['c', 'd', 'e', 'a', 'b']


def test_new_holder_counts_what_loads_against_its_places():
    rollout, _ = take_over({'a': 0.0, 'b': 0.0}, [('a', 900), ('b', 0)], 3.4)
    assert rollout.list_loading(3.4) == {'a': 0.0, 'b': 0.0}
    assert list_planned(rollout, 1, 3.4) == []
    rollout.take_report('a', True, 3.6)
    rollout.finish('b')
    assert list_planned(rollout, 1, 3.6) == []
    assert list_planned(rollout, 2, 3.6) == ['c']


def test_new_holder_awaits_reports_of_targets_that_may_load_by_now():
    rollout, _ = take_over({}, [('a', 0), ('b', 0)], 3.4)
    # They serve until a report says that they load.
    assert rollout.list_loading(3.4) == {}
    assert list_planned(rollout, 1, 3.4) == []
    rollout.take_report('a', True, 3.6)
    rollout.take_report('b', False, 3.6)
    assert rollout.list_loading(3.6) == {'a': 0.0}
    assert list_planned(rollout, 2, 3.6) == ['c']


def test_new_holder_does_not_await_reports_that_never_come():
    rollout, _ = take_over({}, [('a', 600_000), ('b', 600_000)], 3.4)
    assert list_planned(rollout, 1, 3.4) == []
    late = 3.4 + rollouts.TAKE_OVER_REPORT_S
    assert list_planned(rollout, 1, late) == ['c']


def test_new_holder_repeats_an_order_no_sooner_than_the_former_one():
    # A holder that was started again takes over at once.
    rollout, _ = take_over({}, [('a', 0)], 0.3, {'a': 1})
    rollout.take_report('a', False, 0.5)
    early = rollouts.UNANSWERED_S - 0.1
    assert not rollout.plan('m', 2, {'a': 1}, 1, early)
    assert rollout.plan('m', 2, {'a': 1}, 1, rollouts.UNANSWERED_S)
    # It may carry the first one out, and serves until then.
    rollout.prepare(rollouts.Order('a', 'm', 2), rollouts.UNANSWERED_S)
    assert rollout.is_repeating('a')


def test_what_the_holder_knows_since_the_claim_is_kept():
    rollout, order = rollouts.Rollout(), rollouts.Order('a', 'm', 2)
    rollout.record(order, 1.0, rollouts.ACCEPTED)
    given = (rollouts.Given('a', 'm', 2, 0),)
    claim = order_claims.Claim('former', 7, {}, given=given)
    assert not rollout.take_over(claim, 'm', 2, TARGETS, 0.0, 1.5)
    assert rollout.list_loading(1.5) == {'a': 0.0}


def test_orders_for_an_older_version_count_as_under_way_and_rank_as_none():
    given = (rollouts.Given('a', 'm', 2, 0),)
    claim = order_claims.Claim('former', 7, {'a': 0.0}, given=given)
    rollout = rollouts.Rollout()
    rollout.take_over(claim, 'm', 3, TARGETS, 0.0, 3.4)
    assert not rollout.plan('m', 3, TARGETS, 1, 3.4)
    rollout.take_report('a', False, 3.6)
    (order,) = rollout.plan('m', 3, TARGETS, 1, 3.6)
    assert order == rollouts.Order('a', 'm', 3)


def test_claim_of_an_earlier_build_tells_what_loads_alone():
    row = {'holder': 'former', 'loading': {'a': 0.0}}
    claim = catalogue.read_claim(json.dumps(row).encode(), 7)
    assert claim.given == ()
    rollout = rollouts.Rollout()
    rollout.take_over(claim, 'm', 2, TARGETS, 0.0, 3.4)
    assert list_planned(rollout, 1, 3.4) == []


def test_orders_in_a_claim_are_bounded_and_those_given_last():
    given = [
        rollouts.Given(f't{age}', 'm', 2, age)
        for age in reversed(range(2 * rollouts.MAX_GIVEN))
    ]
    value = catalogue.write_claim('b', {}, given=given)
    kept = catalogue.read_claim(value, 7).given
    assert [row.age_ms for row in kept] == list(range(rollouts.MAX_GIVEN))


def run(check, engines):
    """Run an async test against targets that never carry orders out."""

    async def begin(deployment):
        site.delay_orders(deployment.engines, NEVER_S)
        await check(deployment)

    site.run(begin, engines=engines)


async def kill(deployment, hub):
    """End a box as a kill does: it neither claims nor orders any more."""

    async def hang(*call, **options):
        await asyncio.sleep(NEVER_S)

    hub.store.append = hub.runners.order = hub.runners.report = hang
    deployment._works[deployment.hubs.index(hub)].cancel()
    streams.kill(hub)
    await hub.peering._server.close()


def count_claims(hub):
    """Return how many claims a box has tried to write."""
    return hub.store.calls[f'append {names.CLAIMS_TOPIC}']


async def take_holder(deployment, is_due):
    """Name new weights, kill their holder once due; return the other box."""
    hubs = await site.start_boxes(deployment, 2, lease_s=LEASE_S)
    named = {'model': 'm', 'version': 2}
    deployment.store.put('keyed.op', 'version/m', named)
    await site.wait_until(is_due, 6.0)
    (holder,) = filter(count_claims, hubs)
    await kill(deployment, holder)
    (other,) = (hub for hub in hubs if hub is not holder)
    return other


def test_box_that_takes_over_repeats_no_order_before_others_had_one():
    async def check(deployment):
        engines = deployment.engines
        hub = await take_holder(
            deployment, lambda: sum(len(e.asked) for e in engines) >= 2
        )
        # The former holder may have sent an order that it had announced.
        watch = hub.claims._watch
        announced = {row.target for row in watch.claim.given}
        rest = [e for e in engines if e.name not in announced]
        assert rest
        await site.wait_until(
            lambda: any(len(e.asked) > 1 for e in engines), 9.0
        )
        # A target is closed before its first order, not before another one,
        # so the first may arrive later although it was planned before.
        planned = {row.target for row in watch.claim.given}
        assert {e.name for e in rest} <= planned

    run(check, 5)


def test_box_that_takes_over_has_no_more_under_way_than_allowed():
    async def check(deployment):
        late, *others = deployment.engines
        for engine in others:
            engine.late_s, engine.load_s = 0.0, NEVER_S
        limit = rollout_pace.compute_limit(len(deployment.engines))

        def list_busy():
            return {e.name for e in others if e.busy}

        hub = await take_holder(deployment, lambda: len(list_busy()) == limit)
        await site.wait_until(lambda: count_claims(hub), 6.0)
        for _ in range(150):
            closed = {
                engine.name
                for engine in deployment.engines
                if hub.view.loading.get_start(engine.name, hub.clock())
            }
            assert len(closed | list_busy()) <= limit
            await asyncio.sleep(0.01)
        assert len(late.asked) == 1

    run(check, 5)


@pytest.mark.parametrize('is_answered', [True, False])
def test_holder_that_is_started_again_repeats_no_order(is_answered):
    async def check(deployment):
        first, *others = deployment.engines
        if is_answered:
            first.late_s = 0.0
        hub = await deployment.start_box('box1', lease_s=LEASE_S)
        named = {'model': 'm', 'version': 2}
        deployment.store.put('keyed.op', 'version/m', named)
        await site.wait_until(lambda: first.asked)
        await kill(deployment, hub)
        await deployment.start_box('box1', lease_s=LEASE_S)
        await site.wait_until(lambda: any(e.asked for e in others), 9.0)
        assert len(first.asked) == 1

    run(check, 3)
