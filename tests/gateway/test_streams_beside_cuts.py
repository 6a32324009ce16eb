"""Streams taken up at boxes that were out of step as a new version joined.

A case is who is cut off from whom while targets of a second software version
join.  Streams begin through boxes in step, break, and are taken up at others.
"""

import asyncio

import pytest

from landingspool.platform import names
from tests.gateway import cut_scene
from tests.gateway import site
from tests.gateway import test_stream_software as streams

OLD, NEW = cut_scene.OLD, cut_scene.NEW
# From the cut to the new targets, seconds.
JOIN_S = 0.2
# How long a cut lasts that heals, seconds.
CUT_S = 2.0
# Seconds after a cut has healed in which all that is known is found again.
HEALED_S = 1.0
# Seconds in which boxes notice that nobody listens at the store's address.
NOTICED_S = 0.5
# Seconds in which a box without the store learns of targets from others.
LEARNED_S = 4.0
CASES = {}


def case(function):
    """Register a case: ``async case(scene)``."""
    CASES[function.__name__] = function
    return function


def find_wrong(found):
    """Return the streams that went on at another version."""
    return {
        row: count
        for row, count in found.items()
        if row[1] in (OLD, NEW) and row[0] != row[1]
    }


def check_served(found):
    """Check that all streams went on, at the versions that began them."""
    assert set(found) <= {(OLD, OLD), (NEW, NEW)}, found


async def release_beside(scene, cut, in_step):
    """Have a version join beside a cut; take streams up on its other side."""
    await asyncio.sleep(JOIN_S)
    await scene.join(*in_step)
    begun = await scene.begin(*in_step)
    found = await scene.take_up(begun, *cut)
    assert not find_wrong(found), found
    return begun, found


@case
async def two_boxes_cut_off_together(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:2], scene.hubs[2:]
    scene.part(*cut)
    scene.part_from_store(*cut)
    await release_beside(scene, cut, in_step)


@case
async def whole_domain_cut_off(scene):
    await scene.start('d1', 'd1', 'd1', 'd2', 'd2', 'd3')
    cut, in_step = scene.hubs[:3], scene.hubs[3:]
    scene.part(*cut)
    scene.part_from_store(*cut)
    await release_beside(scene, cut, in_step)


@case
async def one_box_cut_off_from_all(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:1], scene.hubs[1:]
    scene.part(*cut)
    scene.part_from_store(*cut)
    await release_beside(scene, cut, in_step)


@case
async def one_box_cut_off_from_the_others(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:1], scene.hubs[1:]
    scene.part(*cut)
    await release_beside(scene, cut, in_step)


@case
async def one_box_cut_off_from_the_others_without_a_release(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:1], scene.hubs[1:]
    scene.part(*cut)
    await asyncio.sleep(JOIN_S)
    begun = await scene.begin(*in_step)
    check_served(await scene.take_up(begun, *cut))


@case
async def one_box_cut_off_from_the_store(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:1], scene.hubs[1:]
    scene.part_from_store(*cut)
    begun, _ = await release_beside(scene, cut, in_step)
    await asyncio.sleep(LEARNED_S)
    check_served(await scene.take_up(begun, *cut))


@case
async def two_boxes_cut_off_from_the_store(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:2], scene.hubs[2:]
    scene.part_from_store(*cut)
    begun, _ = await release_beside(scene, cut, in_step)
    await asyncio.sleep(LEARNED_S)
    check_served(await scene.take_up(begun, *cut))


@case
async def all_boxes_but_one_cut_off_from_the_store(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:3], scene.hubs[3:]
    scene.part_from_store(*cut)
    await release_beside(scene, cut, in_step)


@case
async def box_that_knows_no_other(scene):
    await scene.start('d1', 'd1', 'd1')
    cut, in_step = scene.hubs[:1], scene.hubs[1:]
    scene.part(*cut)
    scene.part_from_store(*cut)
    cut[0].peering.peers.clear()
    await release_beside(scene, cut, in_step)


@case
async def box_that_knows_no_other_without_a_release(scene):
    await scene.start('d1')
    begun = await scene.begin(*scene.hubs)
    await scene.start_box('d1')
    streams.watch(scene.hubs)
    scene.hubs[1].peering.peers.clear()
    check_served(await scene.take_up(begun, scene.hubs[1]))


@case
async def boxes_that_read_through_one_that_is_behind(scene):
    await scene.start(*['d1'] * 5)
    readers = {hub.peering.get_reader_name() for hub in scene.hubs} - {''}
    behind = [h for h in scene.hubs if h.deployment.box in readers]
    others = [h for h in scene.hubs if h.deployment.box not in readers]
    assert behind
    cut, in_step = [*behind, others[0]], others[1:]
    scene.part(*cut)
    scene.part_from_store(*behind)
    scene.part_from_store(others[0])
    await release_beside(scene, cut, in_step)


@case
async def cut_that_heals(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:2], scene.hubs[2:]
    await heal_after_release(scene, cut, in_step)


@case
async def cut_of_a_domain_that_heals(scene):
    await scene.start('d1', 'd1', 'd2', 'd2', 'd3', 'd3')
    cut, in_step = scene.hubs[:2], scene.hubs[2:]
    await heal_after_release(scene, cut, in_step)


@case
async def version_that_has_left_as_a_box_reads_again(scene):
    await scene.start('d1', 'd1', 'd2', 'd2', 'd3', 'd3')
    await leave_beside_cut(scene, scene.hubs[0], scene.hubs[1:])


@case
async def version_that_has_left_as_a_log_was_cut(scene):
    await scene.start('d1', 'd1', 'd2', 'd2', 'd3', 'd3')
    await site.wait_until(
        lambda: OLD.encode() in streams.find_summary(scene.deployment)
    )
    topic = scene.deployment.store.topic(names.TARGETS_TOPIC)
    await leave_beside_cut(scene, scene.hubs[0], scene.hubs[1:], topic.forget)


async def leave_beside_cut(scene, cut, in_step, lose=lambda: None):
    """Have a version join and leave while a box can't read the store.

    It is cut off from the others as it can read again.
    """
    scene.part_from_store(cut)
    await asyncio.sleep(JOIN_S)
    await scene.join(*in_step)
    begun = await scene.begin(*in_step)
    scene.remove(NEW)
    await site.wait_until(
        lambda: NEW.encode() in streams.find_summary(scene.deployment)
    )
    lose()
    await asyncio.sleep(LEARNED_S)
    asked_at = cut.clock()
    scene.heal()
    history = cut.view.software_history
    await site.wait_until(lambda: history.is_proved_since(asked_at), 8.0)
    scene.part(cut)
    found = await scene.take_up(begun, cut)
    assert not find_wrong(found), found


@case
async def store_away_from_all_boxes(scene):
    await scene.start('d1', 'd1', 'd2', 'd2', 'd3', 'd3')
    teller, *others = scene.hubs
    begun = await scene.begin(teller)
    await scene.leave_store()
    await asyncio.sleep(NOTICED_S)
    begun += await scene.begin(teller)
    check_served(await scene.take_up(begun, *others))


async def heal_after_release(scene, cut, in_step):
    """Take streams up that began beside a cut: at its end, and after it."""
    scene.part(*cut)
    scene.part_from_store(*cut)
    await asyncio.sleep(JOIN_S)
    await scene.join(*in_step)
    begun = await scene.begin(*in_step)
    await asyncio.sleep(CUT_S)
    scene.heal()
    found = await scene.take_up(begun, *cut)
    assert not find_wrong(found), found
    await asyncio.sleep(HEALED_S)
    check_served(await scene.take_up(begun, *cut))


def run_case(play, run=site.run):
    """Play a case."""

    async def check(deployment):
        scene = cut_scene.Scene(deployment)
        try:
            await play(scene)
        finally:
            await scene.close()

    run(check, plain=0, engines=2)


@pytest.mark.parametrize('name', CASES)
def test_a_stream_is_not_taken_up_at_another_version_beside_a_cut(name):
    # Guards against versions that boxes out of step took as implied.
    run_case(CASES[name])


@pytest.mark.parametrize('seconds', [1.0, 3.0, 8.0])
def test_a_stream_is_not_taken_up_at_another_version_after_a_standstill(
    suspend, seconds
):
    async def play(scene):
        await scene.start('d1', 'd1', 'd1')
        still, in_step = scene.hubs[:1], scene.hubs[1:]
        scene.part(*still)
        scene.part_from_store(*still)
        await scene.join(*in_step)
        begun = await scene.begin(*in_step)
        still[0].peering.peers.clear()
        suspend(seconds)
        found = await scene.take_up(begun, *still)
        assert not find_wrong(found), found

    run_case(play, site.run_on_boot_clock)
