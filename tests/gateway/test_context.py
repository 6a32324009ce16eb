"""Cached context: which parts are offered or saved, and when none may be."""

from landingspool.decisions.gateway import context_index
from landingspool.decisions.gateway import namespaces
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import transfers
from tests.gateway import site

PROMPT = prompts.Prompt(
    'm',
    1600,
    20,
    (
        prompts.Part('a', 500),
        prompts.Part('b', 1000),
        prompts.Part('own', 100),
    ),
)


def make_keeper(address, mbps=1000.0, managed=True):
    """Return a store of cached context."""
    return routes.ContextStore(address, 'd', 10_000, mbps, 4, managed, 0.0)


KEEPERS = {'k1': make_keeper('k1'), 'k2': make_keeper('k2', 9000.0)}


def make_news(epoch, *parts, whole=True):
    """Return a store's full list."""
    changes = tuple(context_index.Change('m.1', *part) for part in parts)
    return context_index.CacheUpdate(epoch, 0, False, changes, whole, 5000.0)


def plan(known, now):
    """Plan the transfers of PROMPT."""
    return transfers.plan_transfer(PROMPT, 'm.1', KEEPERS, known, 100, now)


def test_whole_parts_are_offered_under_a_lease():
    known = context_index.ContextIndex()
    known.take('k1', make_news(1, ('a', 500), ('b', 1000)), 9.9, 10.0)
    found = plan(known, 10.5)
    assert found.fetch == ('k1', 'k1', '')
    assert found.tokens == 1500
    assert found.until_ms == 5000.0 + context_index.LEASE_S * 1000


def test_a_store_that_was_not_heard_lately_offers_nothing():
    known = context_index.ContextIndex()
    known.take('k1', make_news(1, ('a', 500)), 9.9, 10.0)
    assert plan(known, 9.9 + context_index.LEASE_S) == transfers.Transfer()


def test_a_part_that_is_not_whole_is_not_offered():
    known = context_index.ContextIndex()
    known.take('k1', make_news(1, ('a', 499), ('b', 1000)), 9.9, 10.0)
    found = plan(known, 10.1)
    assert found.fetch == ('', 'k1', '')
    assert found.tokens == 0


def test_nothing_is_written_into_a_new_life_before_leases_ended():
    known = context_index.ContextIndex()
    known.take('k1', make_news(1), 9.9, 10.0)
    assert not any(plan(known, 10.1).save)
    later = 10.0 + context_index.SETTLE_S
    known.take('k1', make_news(1), later, later)
    assert plan(known, later).save == ('k1', 'k1', '')
    known.take('k1', make_news(2), later + 1, later + 1)
    assert not any(plan(known, later + 1).save)


def test_settling_outlasts_every_lease():
    assert context_index.SETTLE_S > 2 * context_index.LEASE_S


def test_a_new_life_forgets_what_the_former_one_kept():
    known = context_index.ContextIndex()
    known.take('k1', make_news(1, ('a', 500)), 9.9, 10.0)
    news = make_news(2, whole=False)
    assert known.take('k1', news, 10.0, 10.1)
    assert not known.cached('k1')


def test_a_full_store_is_not_written_to():
    known = context_index.ContextIndex()
    later = 10.0 + context_index.SETTLE_S
    for now in (10.0, later):
        known.take('k1', make_news(1, ('z', 9_500)), now, now)
    assert not any(plan(known, later).save)


def test_namespaces_keep_versions_and_isolated_workspaces_apart():
    walls = frozenset(('v', 'w'))
    spaces = {
        namespaces.choose('m', 1, None, frozenset()),
        namespaces.choose('m', 2, None, frozenset()),
        namespaces.choose('m', 1, 'w', walls),
        namespaces.choose('m', 1, 'v', walls),
    }
    assert len(set(map(namespaces.write, spaces))) == 4
    assert namespaces.choose('m', 1, 'w', frozenset()) in spaces


def test_what_another_box_tells_is_as_old_as_its_own_word():
    reader, member = context_index.ContextIndex(), context_index.ContextIndex()
    reader.take('k1', make_news(1, ('a', 500)), 10.0, 10.1)
    member.take('k1', make_news(1, ('a', 500)), 10.0, 10.1)
    told = reader.make_update('k1', *member.get_position('k1'), 11.5)
    member.take('k1', told, 11.4, 11.6)
    end = 10.0 + context_index.LEASE_S - context_index.MIN_LEFT_S
    assert member.may_fetch('k1', end - 0.2)
    assert not member.may_fetch('k1', end + 0.01)


def test_a_gap_in_the_events_asks_for_the_list():
    known = context_index.ContextIndex()
    known.take('t', make_news(1), 1.0, 1.0)
    gap = context_index.CacheUpdate(1, 9, True, ())
    assert known.take('t', gap, 2.0, 2.0)
    quiet = context_index.CacheUpdate(1, 9, False, ())
    assert not known.take('t', quiet, 3.0, 3.0)


def test_a_life_in_which_parts_are_kept_is_written_into_at_once():
    known = context_index.ContextIndex()
    whole = make_news(1, ('a', 500))._replace(whole=True, clock_ms=None)
    known.take('k1', whole, 10.0, 10.1)
    # The list carries no clock.
    assert not known.may_save('k1', 10.2)
    known.take('k1', make_news(1, whole=False), 10.2, 10.3)
    assert known.may_save('k1', 10.4)
    known.take('k2', make_news(2), 10.2, 10.3)
    assert not known.may_save('k2', 10.4)


def make_reader(*ends):
    """Return an index that received one part with each of its calls."""
    known = context_index.ContextIndex()
    known.take('k1', make_news(1), 1.0, 1.0)
    for end in ends:
        changes = tuple(
            context_index.Change('m.1', f'p{n}', 100)
            for n in range(known.get('k1').next, end)
        )
        news = context_index.CacheUpdate(1, end, False, changes, False, 5000.0)
        known.take('k1', news, 1.0, 1.0)
    return known


def test_a_box_goes_on_with_another_reader_where_it_stands():
    first, second = make_reader(4, 9), make_reader(3, 6, 12)
    member = context_index.ContextIndex()
    member.take('k1', make_news(1), 1.0, 1.0)
    for reader in (first, second):
        news = reader.make_update('k1', *member.get_position('k1'), 2.0)
        assert not news.lost and not news.whole
        member.take('k1', news, 2.0, 2.0)
    assert member.cached('k1') == second.cached('k1')


def test_the_whole_list_is_not_sent_between_boxes():
    reader = make_reader(4)
    news = reader.make_update('k1', *context_index.UNKNOWN, 2.0)
    assert news.lost and not news.changes
    # A box that is too far behind must not continue as if it had missed
    # nothing.
    late = make_reader(*range(1, context_index.MAX_BATCHES + 5))
    assert late.make_update('k1', 1, 2, 2.0).lost


def test_room_is_counted_in_blocks_with_what_broke_off():
    known = context_index.ContextIndex()
    half = context_index.IncompletePart('m.1', 'z', 100, 6_000)
    news = make_news(1, *((f'p{n}', 17) for n in range(100)))
    known.take('k1', news._replace(incomplete=(half,)), 10.0, 10.0)
    assert known.get('k1').taken == 100 * 32 + 6_000
    # 1,700 tokens are cached, but 9,200 of 10,000 are taken.
    assert plan(known, 10.1).save == ('', '', '')
    known.forget_incomplete('k1', {('m.1', 'z')})
    assert plan(known, 10.1).save == ('k1', 'k1', '')


def test_another_box_tells_how_full_a_store_is():
    known = context_index.ContextIndex()
    known.take('k1', make_news(1, ('z', 320)), 10.0, 10.0)
    known.record_taken('k1', 2, 9_600)
    assert known.get('k1').taken == 320
    known.record_taken('k1', 1, 9_600)
    assert known.get('k1').taken == 9_600
    assert not any(plan(known, 10.1).save)


def test_a_list_repairs_what_lost_events_hid_also_for_followers():
    reader, member = make_reader(4), make_reader(4)
    listed = make_news(1, ('p0', 100), ('a', 500))._replace(next=9)
    assert not reader.take('k1', listed, 2.0, 2.0)
    news = reader.make_update('k1', *member.get_position('k1'), 2.0)
    assert not news.lost
    member.take('k1', news, 2.0, 2.0)
    assert member.cached('k1') == {('m.1', 'p0'): 100, ('m.1', 'a'): 500}


def test_news_that_were_overtaken_bring_no_freed_part_back():
    known = make_reader(4)
    freed = context_index.CacheUpdate(
        1, 6, False, (context_index.Change('m.1', 'p1', 0),)
    )
    known.take('k1', freed, 2.0, 2.0)
    late = make_news(1, ('p1', 100))._replace(next=5)
    known.take('k1', late, 1.9, 2.1)
    assert ('m.1', 'p1') not in known.cached('k1')


def test_a_box_that_starts_soon_knows_what_a_store_keeps():
    """The last of six boxes needs 0.11 s from its table on, and not 0.65 s."""

    async def check(deployment):
        events = [['m.1', f'p{n}', 100, 'm'] for n in range(50)]
        context_store, address = await site.start_keeper(events)
        deployment.publish(site.make_store_table(2, address))
        for number in range(5):
            await deployment.start_box(f'box{number}')
        hub = await deployment.start_box('last')
        began = hub.clock()
        await site.wait_until(
            lambda: hub.view.context_index.may_fetch(address, hub.clock())
        )
        assert hub.clock() - began < 0.5, hub.clock() - began
        assert len(hub.view.context_index.cached(address)) == 50
        await context_store.close()

    site.run(check)
