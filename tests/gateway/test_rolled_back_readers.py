"""Boxes that read through another box, as the store comes back from a copy."""

import asyncio

import msgspec
import pytest

from landingspool.decisions.gateway import histories
from landingspool.decisions.gateway import readers as ranks
from landingspool.decisions.gateway import tail
from landingspool.gateway import record_server
from landingspool.gateway import sources
from landingspool.platform import names
from landingspool.platform import store
from standins import platformstore
from tests.gateway import returning
from tests.gateway import site
from tests.gateway import test_readers as readers
from tests.gateway import test_rolled_back_topics as topics

# Large enough that no box reads the store since its proof has grown old.
WIDE = {'table_s': 5.6, 'key_s': 5.6}
# Seconds until a box follows one that the store has failed again.
FOLLOWED_S = ranks.AVOID_S + topics.KNOWN_S


def split(hubs):
    """Return the boxes that read the store, and those that read from these."""
    members = [hub for hub in hubs if hub.peering.pick_reader() is not None]
    return [hub for hub in hubs if hub not in members], members


def count_calls(hubs):
    """Count the calls of boxes to the store, without those for its boxes."""
    return sum(
        count
        for hub in hubs
        for call, count in hub.store.calls.items()
        if names.BOXES_TOPIC not in call
    )


def count_lists(hub):
    """Count the reads of the list of boxes."""
    return hub.store.calls[f'newest {names.BOXES_TOPIC}']


def play(check, is_grown):
    """Have the store of a large domain come back from a copy.

    Parameters
    ----------
    check : coroutine function
        Gets the deployment, the boxes and a function that has the store lose
        what was written since the start of the play.
    is_grown : bool
        Whether as much is written as was lost before anybody reads.
    """

    async def main():
        async with site.Site(plain=1) as deployment:
            hubs = await readers.start_boxes(deployment, **WIDE)
            await asyncio.sleep(1.5)
            copies = deployment.store.copy()
            topics.add_entry(deployment, 'lost')
            for hub in hubs:
                await topics.wait_listed(hub, 'lost')

            def grow():
                topics.add_entry(deployment, 'new')

            async def lose():
                write = grow if is_grown else None
                await returning.return_from(deployment.store, copies, write)
                if not is_grown:
                    await asyncio.sleep(0.2)
                    grow()

            await check(deployment, hubs, lose)

    asyncio.run(main())


@pytest.mark.parametrize('is_grown', [False, True])
def test_boxes_without_the_store_learn_of_the_new_history(is_grown):
    async def check(deployment, hubs, lose):
        reading, members = split(hubs)
        for hub in members:
            readers.cut_off(hub)
        await lose()
        for hub in hubs:
            await topics.wait_listed(hub, 'new', True, FOLLOWED_S)
            assert topics.is_listed(hub, 'new')
            assert not topics.is_listed(hub, 'lost')
        for hub in members:
            noticed = returning.list_rollbacks(hub, returning.TARGETS)
            assert noticed == ['peer'], hub.deployment.box
            left = hub.recorder.select(name='reader_left')
            assert not any('ends at' in e.fields['reason'] for e in left)

    play(check, is_grown)


def test_boxes_without_the_store_learn_of_two_returns_in_a_row():
    async def check(deployment, hubs, lose):
        _, members = split(hubs)
        for hub in members:
            readers.cut_off(hub)
        await lose()
        await asyncio.sleep(1.0)
        copies = deployment.store.copy()
        copies[returning.TARGETS] = platformstore.EMPTY_COPY
        await returning.return_from(
            deployment.store,
            copies,
            lambda: topics.add_entry(deployment, 'newest'),
        )
        for hub in hubs:
            await topics.wait_listed(hub, 'newest', True, FOLLOWED_S)
            await site.wait_until(
                lambda hub=hub: not topics.is_listed(hub, 'new')
            )

    play(check, True)


def test_only_the_readers_ask_the_store_what_it_has_now():
    async def check(deployment, hubs, lose):
        _, members = split(hubs)
        copies = deployment.store.copy()
        topics.add_entry(deployment, 'lost too')
        for hub in hubs:
            await topics.wait_listed(hub, 'lost too')
        before = count_calls(members)
        lists = [count_lists(hub) for hub in members]
        # The calls that every box makes while no store answers aren't due to
        # what it has lost.
        returning.lose(deployment.store, copies)
        for hub in hubs:
            await topics.wait_listed(hub, 'lost too', False, 9.0)
            noticed = returning.list_rollbacks(hub, returning.TARGETS)
            assert len(noticed) == 1
        assert count_calls(members) == before
        # Each looks once whether the store still lists it.
        for hub, listed in zip(members, lists, strict=True):
            assert count_lists(hub) - listed <= 1

    play(check, False)


def test_a_box_that_has_not_noticed_is_not_believed():
    async def check(deployment, hubs, lose):
        reading, members = split(hubs)
        member = members[0]
        peer = member.peering.pick_reader()
        known = member.record_server.get_known(returning.TARGETS)
        # This box has noticed it by a call of its own just now.
        known = known._replace(voided=member.clock())
        reply = await member.sources._read_newest_of_box(
            peer, returning.TARGETS, 0, known
        )
        assert isinstance(reply, store.Unavailable)
        assert sources.VOIDED in reply.reason
        reply = await member.sources._read_box(
            peer, returning.TARGETS, known.end - 1, 0.0, known
        )
        assert isinstance(reply, store.Unavailable)
        assert sources.VOIDED in reply.reason

    play(check, True)


def test_an_answer_of_an_earlier_version_says_nothing_of_rollbacks():
    row = {'records': [], 'end': 4, 'age': 0.5}
    assert msgspec.convert(row, sources.Relayed).rolled is None
    fields = {'topic': 't', 'from': '7', 'hold': '0.5'}
    assert record_server.read_query(fields).age is None


def test_a_peer_that_began_after_the_return_shows_it_by_the_last_record():
    last = tail.Record('k', b'v', 6)
    known = histories.Known(7, last, began=1.0, got=2.0)
    other = last._replace(value=b'other')
    page = store.Page((other, last._replace(offset=7)), 8, 3.0)
    found = sources.check_page('t', 7, known, page)
    assert found == store.RolledBack('t', 7, 8, store.RECORD, 3.0)
    # One that keeps only the newest record of each key can lack the last.
    page = store.Page((other._replace(offset=7),), 8, 3.0)
    assert sources.check_page('t', 7, known, page) == page


def test_a_box_reads_on_through_a_peer_after_a_failure():
    async def check(deployment, hubs, lose):
        _, members = split(hubs)
        member = members[0]
        gaps = member.recorder.counts['log_gap']
        for topic in (returning.TARGETS, returning.OPERATORS, CLAIMS):
            known = member.record_server.get_known(topic)
            member.sources.failed_at = member.clock()
            page = await member.sources.read(topic, known.end, 2.4, known)
            assert isinstance(page, store.Page), topic
            assert not page.records and page.end == known.end
        assert member.recorder.counts['log_gap'] == gaps

    play(check, False)


def test_the_answer_of_a_box_that_the_store_failed_leaves_the_doubt():
    async def check(deployment, hubs, lose):
        _, members = split(hubs)
        member = members[0]
        name = member.peering.pick_reader().name
        peer = next(hub for hub in hubs if hub.deployment.box == name)
        asked = []
        fetch = member.sources._fetch

        async def spy(peer, path, query, hold_s):
            if query['topic'] == returning.TARGETS:
                last = member.record_server.get_known(returning.TARGETS).last
                first = query['from'] - last.offset
                asked.append((peer.name, first, hold_s))
            return await fetch(peer, path, query, hold_s)

        member.sources._fetch = spy
        peer.record_server._is_cut = lambda: True
        topics.add_entry(deployment, 'new')
        await topics.wait_listed(member, 'new')
        await site.wait_until(lambda: asked)
        # The next source is asked for the last record that is known.
        assert asked[0][0] != name
        assert asked[0][1:] == (0, 0.0)

    play(check, False)


CLAIMS = names.CLAIMS_TOPIC
