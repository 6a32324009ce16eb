"""What a box that reaches no target says is no evidence against targets."""

import pytest

from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import watchers as watchers_module
from tests.gateway import site
from tests.gateway import test_cut_boxes as cuts
from tests.gateway import test_partition

NAMES = tuple(f't{n}' for n in range(12))


def report(view, box, number, **fields):
    """Deliver a digest of a peer at 10 s."""
    view.take_digest(peer_digests.Digest(box, 'd0', number, {}, **fields), 10)


@pytest.mark.parametrize('unreached', [NAMES, NAMES[1:]])
def test_a_peer_that_reaches_hardly_any_target_convinces_nobody(unreached):
    view = test_partition.make_view(3, 4)
    for box in 'abc':
        report(view, box, 1, unreached=unreached)
    assert not any(view.reachability.is_out(name) for name in NAMES)
    report(view, 'd', 1, unreached=NAMES[:4])
    assert view.reachability.list_due(10) == list(NAMES[:4])


def test_boxes_do_not_wait_for_a_watcher_that_is_partitioned():
    view = test_partition.make_view(3, 4)
    boxes = [f'box{n}' for n in range(6)]
    view.watchers.set_members('box0', boxes[1:])
    name = next(n for n in NAMES if not view.watchers.is_duty(n))
    watchers = view.watchers.list_watchers(name)
    for box in watchers:
        report(view, box, 1, unreached=(name,))
    assert view.watchers.is_watched(name, 10)
    for box in watchers:
        report(view, box, 2, partitioned=True)
    assert not view.watchers.is_watched(name, 10)
    others = view.watchers.list_watchers(name)
    assert len(others) == watchers_module.WATCHERS_PER_TARGET
    assert not set(others) & set(watchers)
    report(view, watchers[0], 3)
    assert watchers[0] in view.watchers.list_watchers(name)


def test_most_boxes_cut_do_not_make_the_others_probe_all_targets():
    async def check(deployment):
        hubs, _ = await cuts.start_cut(deployment, 3, 'refused')
        probed = []
        probe = hubs[3].upstream.probe

        async def count(address, max_idle):
            probed.append(address)
            await probe(address, max_idle)

        hubs[3].upstream.probe = count
        hubs[3].view.reachability._reached.clear()
        await cuts.measure_served(hubs, 2.0)
        assert not probed

    site.run(check, plain=3, engines=3)


def test_caches_are_not_followed_through_a_partitioned_box():
    async def check(deployment):
        hubs = await site.start_boxes(deployment, 6)
        hub = next(h for h in hubs if h.peering.pick_store_follower())
        reader = hub.peering.pick_store_follower().name
        digest = peer_digests.Digest(reader, 'd1', 10**6, {}, partitioned=True)
        hub.view.take_digest(digest, hub.clock())
        follower = hub.peering.pick_store_follower()
        assert follower is None or follower.name != reader
        assert hub.peering.pick_reader().name == reader

    site.run(check)
