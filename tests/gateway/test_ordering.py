"""Orders for new weights: one holder, rising fences, none twice."""

import asyncio

from landingspool.decisions.gateway import rollouts
from landingspool import http
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import store as store_module
from tests.gateway import site


def test_two_boxes_bring_all_targets_to_new_weights_once():
    async def main():
        async with site.Site(engines=3) as deployment:
            await deployment.start_box('box1')
            await deployment.start_box('box2')
            named = {'model': 'm', 'version': 2}
            deployment.store.put('keyed.op', 'version/m', named)
            await site.wait_until(
                lambda: all(r.version == 2 for r in deployment.engines), 20.0
            )
            orders = [o for r in deployment.engines for o in r.orders]
            assert len(orders) == 3
            assert len({order['holder'] for order in orders}) == 1

    asyncio.run(main())


LEASE_S = 3.0


def test_a_claim_of_another_is_left_until_it_is_old():
    watch = rollouts.ClaimWatch(LEASE_S)
    watch.record(rollouts.Claim('b', 3), 10.0)
    assert not watch.may_claim('a', 10.0 + LEASE_S)
    watch.record(rollouts.Claim('b', 4), 12.0)
    assert not watch.may_claim('a', 12.0 + LEASE_S)
    assert watch.may_claim('a', 12.0 + LEASE_S + rollouts.TAKEOVER_S)
    assert watch.may_claim('b', 12.0)


def test_an_older_claim_read_late_changes_nothing():
    watch = rollouts.ClaimWatch(LEASE_S)
    watch.record(rollouts.Claim('b', 5), 10.0)
    watch.record(rollouts.Claim('a', 4), 11.0)
    assert not watch.may_claim('a', 11.0)


def test_a_claim_says_what_loads():
    value = catalogue.write_claim('b', {'t': 1.5})
    assert catalogue.read_claim(value, 7) == rollouts.Claim('b', 7, {'t': 1.5})


def test_an_append_elsewhere_ends_the_holders_right():
    async def main():
        async with site.Site() as deployment:
            hub = await deployment.start_box()
            deployment.store.put(names.CLAIMS_TOPIC, 'orders', b'{}')
            await asyncio.sleep(0.05)
            reply = await hub.store.append(
                names.CLAIMS_TOPIC, 'orders', b'x', 0
            )
            assert reply.end == 1

    asyncio.run(main())


def test_unanswered_orders_are_given_again_only_later():
    rollout = rollouts.Rollout()
    (order,) = rollout.plan('m', 2, {'a': 1}, 1, 0.0)
    rollout.record(order, 0.0, rollouts.UNANSWERED)
    assert not rollout.plan('m', 2, {'a': 1}, 1, 1.0)
    assert rollout.plan('m', 2, {'a': 1}, 1, rollouts.UNANSWERED_S)


def test_targets_that_are_furthest_behind_are_ordered_first():
    rollout = rollouts.Rollout()
    (order,) = rollout.plan('m', 3, {'a': 2, 'b': 1, 'c': 2}, 1, 0.0)
    assert order.target == 'b'


def test_an_append_whose_place_is_not_told_is_no_claim():
    class Client:
        """Answers with what is no offset."""

        async def fetch(self, *call, **options):
            """Give a whole answer."""
            return http.Response(200, {}, b'{}')

    store = store_module.Store(Client(), http.Address('127.0.0.1', 9))
    reply = asyncio.run(store.append('keyed.claims', 'orders', b'x'))
    assert reply == store_module.Unavailable(
        "append: KeyError('offset')", True
    )


def test_boxes_leave_a_free_right_to_the_first_of_them():
    """Six of six boxes appended a claim before, one does since."""

    async def main():
        async with site.Site(engines=2) as deployment:
            hubs = [await deployment.start_box(f'box{i}') for i in range(6)]
            await site.wait_until(
                lambda: all(len(hub.peering.peers) == 5 for hub in hubs)
            )
            named = {'model': 'm', 'version': 2}
            deployment.store.put('keyed.op', 'version/m', named)
            await site.wait_until(
                lambda: all(r.version == 2 for r in deployment.engines), 20.0
            )
            kind = f'append {names.CLAIMS_TOPIC}'
            claiming = [hub for hub in hubs if hub.store.calls[kind]]
            assert len(claiming) == 1

    asyncio.run(main())
