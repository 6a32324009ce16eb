"""The list of targets is read once more where a take-up depends on it."""

import asyncio

import msgspec
import pytest

from landingspool.decisions.gateway import continuations
from landingspool.decisions.gateway import stream_bindings
from landingspool.decisions.gateway import stream_records
from landingspool.gateway import continuity
from landingspool.platform import names
from tests.gateway import site
from tests.gateway import test_stream_software as streams

ONE = stream_bindings.Binding('engine', 'v1')
# Callers that need the list at the same time.
CALLERS = 20
DELAY_S = 0.05
# Less than a read that is not answered takes.
HURRY_MS = 250


def count_reads(hub):
    """Return the reads of the list of targets that a box has sent."""
    return hub.store.calls[f'read {names.TARGETS_TOPIC}']


def count_renewals(hub, outcome):
    """Return the renewals of the list with an outcome."""
    return hub.metrics.list_renewals.labels(outcome)._value.get()


def test_callers_at_the_same_time_share_a_read():
    async def check(deployment):
        hub = await deployment.start_box()
        before = count_reads(hub)
        await asyncio.gather(
            *(hub.current_list.renew() for _ in range(CALLERS))
        )
        assert count_reads(hub) - before <= 2
        assert count_renewals(hub, 'read') == 1

    site.run(check)


def test_a_read_that_began_before_a_caller_came_is_not_enough():
    async def check(deployment):
        hub = await deployment.start_box()
        deployment.store.delay_s = DELAY_S
        first = asyncio.ensure_future(hub.current_list.renew())
        # It is on its way, and will be answered before the second asks.
        await asyncio.sleep(DELAY_S * 1.5)
        asked_at = hub.clock()
        await hub.current_list.renew()
        assert first.done()
        assert hub.view.software_history.is_proved_since(asked_at)
        assert count_renewals(hub, 'read') == 2

    site.run(check)


@pytest.mark.parametrize('mode', ['busy', 'silent'])
def test_a_list_that_cannot_be_read_proves_nothing(mode):
    async def check(deployment):
        hub = await deployment.start_box()
        deployment.store.mode = mode
        asked_at = hub.clock()
        await hub.current_list.renew()
        assert not hub.view.software_history.is_proved_since(asked_at)
        await site.wait_until(lambda: hub.current_list.is_failing)
        assert hub.recorder.counts['list_not_renewed']
        deployment.store.mode = ''
        await hub.current_list.renew()
        assert not hub.current_list.is_failing

    site.run(check)


def test_owners_are_told_of_each_stream_only_while_the_list_cannot_be_read():
    async def check(deployment):
        hubs = await streams.start(deployment, 2, ('v1',) * 4)
        streams.watch(hubs)
        live = hubs[1].view.stream_bindings.list_live
        deployment.store.mode = 'silent'
        await hubs[0].current_list.renew()
        await site.wait_until(lambda: hubs[0].current_list.is_failing)
        await streams.begin(deployment, hubs[0], 'a')
        await site.wait_until(lambda: len(live(hubs[1].clock())) == 1)
        deployment.store.mode = ''
        # What the store held when it fell silent stays unanswered.
        await site.wait_until(lambda: not hubs[0].current_list.is_failing)
        await site.wait_until(
            lambda: hubs[0].view.software_history.is_proved_since(
                hubs[0].sources.failed_at or 0.0
            )
        )
        await streams.begin(deployment, hubs[0], 'b')
        await asyncio.sleep(2 * continuity.CHECK_PERIOD_S)
        assert len(live(hubs[1].clock())) <= 1

    site.run(check, engines=4)


def test_a_log_that_was_cut_proves_nothing():
    async def check(deployment):
        hub = await deployment.start_box()
        topic = deployment.store.topic(names.TARGETS_TOPIC)
        topic.first, topic.records = topic.end, []
        hub.current_list.record_read(topic.end - 1)
        asked_at = hub.clock()
        await hub.current_list.renew()
        assert not hub.view.software_history.is_proved_since(asked_at)

    site.run(check)


def test_a_record_that_cannot_be_decoded_hides_no_version():
    async def check(deployment):
        hub = await deployment.start_box()
        topic = deployment.store.topic(names.TARGETS_TOPIC)
        start = topic.end
        topic.append('odd', b'[' * 9000)
        deployment.engines[0].software = 'v2'
        deployment.announce(deployment.engines[0], 'engine', model='m')
        hub.current_list.record_read(start)
        await hub.current_list.renew()
        history = hub.view.software_history
        assert 'v2' in history.list_recent('engine', hub.clock())

    site.run(check)


def test_no_list_is_read_for_streams_whose_version_is_known_or_mixed():
    async def check(deployment):
        hubs = await streams.start(deployment, 3)
        await streams.begin(deployment, hubs[0], 'a')
        assert streams.list_events(
            await streams.take_up(hubs[1], 'b', 'a')
        ) == [3, 4]
        assert (await streams.take_up(hubs[1], 'c', 'nobody')).status == 503
        for hub in hubs:
            assert not count_renewals(hub, 'read')
            assert not count_renewals(hub, 'failed')

    site.run(check, engines=4)


def test_a_caller_in_a_hurry_is_refused_before_its_deadline():
    async def check(deployment):
        hubs = await streams.start(deployment, 3, ('v1',) * 4)
        streams.watch(hubs)
        deployment.store.mode = 'silent'
        began = hubs[0].clock()
        got = await site.ask(
            hubs[0],
            '/taken/a',
            headers=(('last-event-id', '2'), ('resumes', 'nobody')),
            deadline_ms=HURRY_MS,
        )
        assert hubs[0].clock() - began < HURRY_MS / 1000
        assert got.status == 503
        assert b'unproved_software' in got.body
        assert float(got.headers['retry-after']) > 0

    site.run(check, engines=4)


def test_an_owner_of_an_earlier_version_proves_nothing():
    reply = msgspec.convert(
        {'record': None, 'only': ONE, 'recent': [ONE]},
        stream_records.StreamReply,
    )
    told = stream_records.read_reply(reply, 'box1', 0.0)
    own = continuations.Evidence(None, ONE, frozenset((ONE,)))
    found = continuations.decide(own, [told, told], 2)
    assert found.source == continuations.Source.UNPROVED
