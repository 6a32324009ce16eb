"""What boxes alone have written is written again if the store has lost it."""

import asyncio

from landingspool.decisions.gateway import tail
from landingspool.gateway import registry
from landingspool.gateway import software_watch
from landingspool.platform import names
from landingspool.platform import store
from standins import platformstore
from tests.gateway import returning
from tests.gateway import site
from tests.gateway import test_crashing_parts as crashing
from tests.gateway import test_rolled_back_topics as topics
from tests.gateway import test_stream_software as streams

KEY = crashing.FATAL_KEY
RECORD = f'{names.CRASHES_KEY}{KEY.hex()}'
# Another record of the same topic, as long as the fault takes no more.
OTHER = f'{names.CRASHES_KEY}66'
# Seconds in which one of few boxes writes again what was lost.
WRITTEN_S = 4.0


def bar(hub):
    """Have a box bar a part under which targets have crashed."""
    for name in ('a', 'b', 'c'):
        crashing.record_crash(hub.view.crashes, name, hub.clock(), KEY)
    hub.crash_records.check()


def find(deployment, key):
    """Return the newest value of a key of the topic of claims."""
    topic = deployment.store.topic(names.CLAIMS_TOPIC)
    return topic.newest.get(key, (b'', 0))[0]


def list_written(deployment, key):
    """List the values of a key in the topic of claims, the oldest first."""
    topic = deployment.store.topic(names.CLAIMS_TOPIC)
    return [value for found, value in topic.records if found == key]


async def start(deployment, count):
    """Start boxes, and wait until they read what the others write."""
    hubs = await site.start_boxes(deployment, count)
    for hub in hubs:
        await site.wait_until(lambda hub=hub: hub.claims.was_tried)
    return hubs


def write_other(deployment):
    """Write as much to the topic of claims as was lost."""
    deployment.store.topic(names.CLAIMS_TOPIC).append(OTHER, b'[]')


def test_a_bar_that_was_lost_is_written_again_once():
    async def check(deployment):
        hubs = await start(deployment, 3)
        copies = deployment.store.copy()
        for hub in hubs:
            bar(hub)
        await site.wait_until(lambda: find(deployment, RECORD), WRITTEN_S)
        await asyncio.sleep(0.3)
        await returning.return_from(
            deployment.store, copies, lambda: write_other(deployment)
        )
        await site.wait_until(lambda: find(deployment, RECORD), WRITTEN_S)
        # The turns of the others are over.
        await asyncio.sleep(3 * software_watch.TURN_S)
        assert len(list_written(deployment, RECORD)) == 1

    site.run(check)


def test_a_lift_that_was_lost_is_written_again():
    async def check(deployment):
        (hub,) = await start(deployment, 1)
        bar(hub)
        await site.wait_until(lambda: find(deployment, RECORD), WRITTEN_S)
        await asyncio.sleep(0.1)
        copies = deployment.store.copy()
        deployment.store.topic(names.CLAIMS_TOPIC).append(RECORD, b'')
        await site.wait_until(lambda: not hub.view.crashes.is_barred((KEY,)))
        await returning.return_from(
            deployment.store, copies, lambda: write_other(deployment)
        )
        await site.wait_until(
            lambda: list_written(deployment, RECORD)[-1] == b'', WRITTEN_S
        )
        assert not hub.view.crashes.is_barred((KEY,))

    site.run(check)


def test_a_bar_written_as_the_store_goes_is_not_taken_for_written():
    async def check(deployment):
        (hub,) = await start(deployment, 1)
        copies = deployment.store.copy()
        deployment.store.delay_s = 0.3
        bar(hub)
        await site.wait_until(lambda: find(deployment, RECORD), WRITTEN_S)
        # Its answer is under way.
        returning.lose(deployment.store, copies)
        hub.rollbacks.report(
            store.RolledBack(names.CLAIMS_TOPIC, 1, 0, store.APPEND)
        )
        deployment.store.delay_s = 0.0
        await site.wait_until(lambda: find(deployment, RECORD), WRITTEN_S)
        assert len(list_written(deployment, RECORD)) == 1

    site.run(check)


def test_the_summary_of_versions_that_was_lost_is_written_again_once():
    async def check(deployment):
        hubs = await streams.start(deployment, 2, ('v1',) * 4)
        copies = deployment.store.copy()
        streams.watch(hubs)
        await site.wait_until(
            lambda: b'v1' in streams.find_summary(deployment), WRITTEN_S
        )
        await asyncio.sleep(0.3)
        await returning.return_from(
            deployment.store, copies, lambda: write_other(deployment)
        )
        await site.wait_until(
            lambda: b'v1' in streams.find_summary(deployment), WRITTEN_S
        )
        await asyncio.sleep(2 * software_watch.TURN_S)
        assert len(list_written(deployment, names.SOFTWARE_KEY)) == 1

    site.run(check, engines=4)


def test_a_summary_of_an_older_copy_is_not_adopted_before_it_is_complete():
    async def check(deployment):
        (hub,) = await start(deployment, 1)
        watch = hub.software_watch
        hub.rollbacks.report(
            store.RolledBack(names.CLAIMS_TOPIC, 5, 4, store.READ)
        )
        value = b'{"versions": [["engine", "v1"]]}'
        watch.take(tail.Record(names.SOFTWARE_KEY, value, 3))
        now = hub.clock()
        watch.record_read(now)
        watch._adopt(now)
        assert not hub.recorder.counts['history_adopted']
        watch._adopt(now + software_watch.REWRITTEN_S)
        assert hub.recorder.counts['history_adopted'] == 1

    site.run(check)


def find_boxes(deployment):
    """Return the names of the boxes that the store lists."""
    topic = deployment.store.topic(names.BOXES_TOPIC)
    return {key for key, (value, _) in topic.newest.items() if value}


async def lose_boxes(deployment, copies):
    """Have the store lose the boxes, and a target, since a copy."""
    topics.add_entry(deployment, 'lost')
    for hub in deployment.hubs:
        await site.wait_until(lambda hub=hub: 'lost' in hub.view.fleet.entries)
    await returning.return_from(deployment.store, copies)


def test_a_box_that_the_store_has_lost_registers_again_once():
    async def check(deployment):
        copies = deployment.store.copy()
        hubs = await start(deployment, 2)
        await site.wait_until(lambda: len(find_boxes(deployment)) == 2)
        calls = [dict(hub.store.calls) for hub in hubs]
        copies.update({names.BOXES_TOPIC: platformstore.EMPTY_COPY})
        await lose_boxes(deployment, copies)
        assert not find_boxes(deployment)
        await site.wait_until(
            lambda: len(find_boxes(deployment)) == 2,
            registry.LOST_LIST_S + WRITTEN_S,
        )
        for hub, before in zip(hubs, calls, strict=True):
            call = f'append {names.BOXES_TOPIC}'
            assert hub.store.calls[call] == before[call] + 1

    site.run(check)


def test_a_box_that_stops_does_not_register_again():
    async def check(deployment):
        (hub,) = await start(deployment, 1)
        await site.wait_until(lambda: find_boxes(deployment))
        own = hub.peering._registry
        await own.leave()
        await own._read_list()
        assert not own._is_lost

    site.run(check)


def test_a_box_that_the_store_has_kept_does_not_register_again():
    async def check(deployment):
        (hub,) = await start(deployment, 1)
        await site.wait_until(lambda: find_boxes(deployment))
        own = hub.peering._registry
        await site.wait_until(lambda: own._row is not None)
        await own._read_list()
        assert not own._is_lost
        deployment.store.put(names.BOXES_TOPIC, hub.deployment.box, b'{}')
        await own._read_list()
        assert own._is_lost

    site.run(check)
