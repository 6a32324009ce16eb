"""Orders for new weights while the platform's store loses what it had.

A case is what happens from the naming of the weights on, until the store
answers again.  It is judged by what the targets were ordered.
"""

import asyncio
import collections

import pytest

from landingspool.platform import names
from standins import platformstore
from tests.gateway import site

LEASE_S = 3.0
LOAD_S = 0.4
AWAY_S = 1.0
# Longer than any lease, and than a takeover.
LONG_AWAY_S = 4.5
# Seconds in which all targets load, whatever happens meanwhile.
DONE_S = 60.0
CASES = {}


def case(function):
    """Register a case: ``async case(scene)``."""
    CASES[function.__name__] = function
    return function


class Scene:
    """Boxes, each with an entrance of its own to the store.

    Attributes
    ----------
    hubs : list of hub.Hub
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.store = deployment.store
        self.hubs = []
        self._entrances = {}

    async def start_box(self, domain='d1'):
        """Start one more box."""
        name = f'box{len(self.hubs)}'
        entrance = platformstore.PlatformStore(self.store.topics)
        await entrance.start()
        self._entrances[name] = entrance
        seeds = [hub.deployment.links for hub in self.hubs]
        hub = await self.deployment.start_box(
            name, seeds, domain=domain, entrance=entrance, lease_s=LEASE_S
        )
        self.hubs.append(hub)
        return hub

    async def close(self):
        """Close the entrances."""
        for entrance in self._entrances.values():
            await entrance.close()

    async def name_weights(self):
        """Name the weights, and wait until some targets are ordered."""
        weights = {'model': 'm', 'version': 2}
        self.store.put('keyed.op', 'version/m', weights)
        await self.wait_ordered(2)

    async def wait_ordered(self, count):
        """Wait until this many orders were taken."""
        await site.wait_until(lambda: len(self.list_taken()) >= count, 20.0)

    def list_judged(self):
        """List the orders that targets took or refused, in their order."""
        engines = self.deployment.engines
        return sorted(row for runner in engines for row in runner.judged)

    def list_taken(self):
        """List the orders that targets took, in their order."""
        return [row for row in self.list_judged() if row.status == 202]

    def find_holder(self):
        """Return the name of the box that ordered last."""
        return self.list_judged()[-1].holder

    async def leave(self):
        """Have the store be away for all."""
        for entrance in self._entrances.values():
            await entrance.leave()

    async def come_back(self, but=()):
        """Have the store answer again, but not at some boxes."""
        for name, entrance in self._entrances.items():
            if name not in but:
                await entrance.come_back()

    async def come_back_at(self, name):
        """Have the store answer one box again."""
        await self._entrances[name].come_back()

    async def return_from(self, copies, away_s=AWAY_S, but=()):
        """Have the store go, and come back with what it had at some time."""
        await self.leave()
        await asyncio.sleep(away_s)
        self.store.restore(copies)
        await self.come_back(but)


def find_shared(engines):
    """Return the fences of several holders, whichever targets got them."""
    holders = collections.defaultdict(set)
    for runner in engines:
        for row in runner.judged:
            holders[row.fence].add(row.holder)
    return {key: found for key, found in holders.items() if len(found) > 1}


def find_turns(judged):
    """Return the pairs of orders of two holders within a lease."""
    pairs = zip(judged, judged[1:], strict=False)
    return [
        (one, other)
        for one, other in pairs
        if one.holder != other.holder and other.at - one.at < LEASE_S
    ]


def find_lowered(engines):
    """Return the targets that got a lower fence after a higher one."""
    found = {}
    for runner in engines:
        fences = [row.fence for row in runner.judged]
        if fences != sorted(fences):
            found[runner.name] = fences
    return found


@case
async def away_for_long_and_nothing_lost(scene):
    await scene.name_weights()
    await scene.leave()
    await asyncio.sleep(LONG_AWAY_S)
    await scene.come_back()


@case
async def copy_older_than_the_first_claim(scene):
    copies = scene.store.copy()
    await scene.name_weights()
    await scene.return_from(copies)


@case
async def copy_some_claims_old(scene):
    await scene.name_weights()
    copies = scene.store.copy()
    await scene.wait_ordered(4)
    await scene.return_from(copies)


@case
async def away_for_a_moment(scene):
    await scene.name_weights()
    copies = scene.store.copy()
    await scene.wait_ordered(4)
    await scene.return_from(copies, 0.1)


@case
async def holder_hears_a_second_later(scene):
    await return_without_holder(scene, 1.0)


@case
async def holder_stays_cut_off_from_the_store(scene):
    await return_without_holder(scene, 2 * LONG_AWAY_S)


async def return_without_holder(scene, late_s):
    """Have the store come back, but for its holder some seconds later."""
    copies = scene.store.copy()
    await scene.name_weights()
    holder = scene.find_holder()
    await scene.return_from(copies, but=[holder])
    await asyncio.sleep(late_s)
    await scene.come_back_at(holder)


@case
async def box_starts_beside_the_holder_of_a_lost_claim(scene):
    copies = scene.store.copy()
    await scene.name_weights()
    await scene.return_from(copies)
    await scene.start_box()


@case
async def two_returns_in_a_row(scene):
    copies = scene.store.copy()
    await scene.name_weights()
    await scene.return_from(copies)
    await asyncio.sleep(1.0)
    await scene.return_from(copies, 0.5)


@case
async def second_return_once_orders_go_on(scene):
    copies = scene.store.copy()
    await scene.name_weights()
    await scene.return_from(copies)
    await scene.wait_ordered(len(scene.list_taken()) + 2)
    await scene.return_from(copies)


@case
async def answer_to_the_last_claim_is_lost(scene):
    copies = scene.store.copy()
    await scene.name_weights()
    for entrance in scene._entrances.values():
        entrance.mode = 'lost'
    await asyncio.sleep(0.5)
    await scene.leave()
    for entrance in scene._entrances.values():
        entrance.mode = ''
    scene.store.restore(copies)
    await scene.come_back()


@case
async def log_grows_again_to_where_it_ended(scene):
    copies = scene.store.copy()
    await scene.name_weights()
    claims = scene.store.topic(names.CLAIMS_TOPIC)
    end = claims.end
    await scene.leave()
    await asyncio.sleep(AWAY_S)
    scene.store.restore(copies)
    while claims.end < end:
        claims.append(f'{names.CRASHES_KEY}66', b'[]')
    await scene.come_back()


def run_case(play, boxes=3, engines=8, domains=('d1',)):
    """Play a case, and judge it once all targets have the weights."""

    async def check(deployment):
        scene = Scene(deployment)
        for runner in deployment.engines:
            runner.load_s = LOAD_S
        for number in range(boxes):
            await scene.start_box(domains[number % len(domains)])
        for hub in scene.hubs:
            await site.wait_until(
                lambda hub=hub: len(hub.peering.peers) == boxes - 1
            )
        await play(scene)
        await site.wait_until(
            lambda: all(r.version == 2 for r in deployment.engines), DONE_S
        )
        judged = scene.list_judged()
        await scene.close()
        assert not find_shared(deployment.engines), judged
        assert not find_lowered(deployment.engines), judged
        assert not find_turns(judged), judged

    site.run(check, engines=engines)


@pytest.mark.parametrize('name', CASES)
def test_two_boxes_never_order_under_one_fence_nor_in_turns(name):
    run_case(CASES[name])


def test_ten_targets_of_two_domains_get_one_fence_from_one_box():
    # Guards against "two holders, one fence" after the store was away.
    run_case(CASES['holder_stays_cut_off_from_the_store'], 4, 10, ('d1', 'd2'))
