"""Groups of engines and boxes: subsets, spillover, group_loads, grouping."""

import cbor2
import pytest

from bench import many
from bench import mixes
from landingspool.boxes import datagrams
from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import group_loads
from landingspool.decisions.gateway import group_planner
from landingspool.decisions.gateway import loads
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import spillover
from landingspool.decisions.gateway import subsets
from landingspool.decisions.gateway import view as view_module
from landingspool.gateway import deployment
from tests.gateway import test_view

DOMAINS = 'd', 'e', 'f'
BOXES = {f'b{n}': DOMAINS[n % 3] for n in range(54)}
ENGINES = 36
SLOTS = 24


def make_entry(number):
    return fleet.Entry(
        f't{number}',
        's',
        ('a', number),
        DOMAINS[number % 3],
        fleet.READY,
        SLOTS,
        {'m': 1},
    )


def make_view(boxes=BOXES, box='b0'):
    """Return the View of a box in domain d that knows boxes and engines."""
    view = view_module.View('d', deployment.Bounds(), 1)
    service = routes.Service('s', engine=test_view.ENGINE)
    view.put_table(
        routes.make_table(
            1, [test_view.ROUTE], [service], {}, routes.Limits(), False
        )
    )
    for number in range(ENGINES):
        view.fleet.put(make_entry(number))
    view.grouping.update(box, boxes, 10.0)
    return view


def list_chosen(view, now=10.0, count=40):
    """Return the engines that some requests go to; each ends at once."""
    chosen = []
    for number in range(count):
        work = test_view.make_work(f'q{number}')
        plan = view.plan(work, (), now)
        view.record_sent(plan, work, now)
        view.loads.record_end(plan.entry.name, work.name)
        chosen.append(plan.entry)
    return chosen


def get_own(view):
    return view.grouping.subsets.get('s').own


def make_summary(index, running, tokens=0, engines=4):
    service = peer_digests.hash_target('s')
    return peer_digests.GroupLoad(
        service, index, engines, tokens, running, 0, 0
    )


def put_summary(view, key, running, tokens=0, now=10.0):
    summary = make_summary(key[1], running, tokens)
    view.grouping.summaries.record(summary, key[0], now)


def test_all_boxes_compute_the_same_groups():
    deals = [make_view(box=box).grouping.subsets.get('s') for box in BOXES]
    assert all(deal.groups == deals[0].groups for deal in deals)
    groups = deals[0].groups.values()
    assert sorted(n for g in groups for n in g.boxes) == sorted(BOXES)
    assert sum(len(group.engines) for group in groups) == ENGINES
    assert {len(group.engines) for group in groups} == {4}
    assert {len(group.boxes) for group in groups} == {6}


@pytest.mark.parametrize('gone', range(0, 45, 7))
def test_a_box_that_leaves_moves_few_others(gone):
    left = {name: d for name, d in BOXES.items() if name != f'b{gone}'}
    before = make_view().grouping.subsets.get('s').groups
    after = make_view(boxes=left).grouping.subsets.get('s').groups
    moved = sum(
        name not in before[key].boxes
        for key, group in after.items()
        for name in group.boxes
    )
    assert moved <= 4


def test_few_boxes_or_too_many_for_a_group_have_no_groups():
    entries = [make_entry(number) for number in range(ENGINES)]
    assert not subsets.is_grouped(SLOTS, entries)
    many_boxes = {f'b{n}': DOMAINS[n % 3] for n in range(240)}
    view = make_view(boxes=many_boxes)
    assert view.grouping.subsets.get('s') is None
    assert len({entry.domain for entry in list_chosen(view)}) > 0


def test_requests_stay_in_their_group_while_it_has_room():
    view = make_view()
    names = {entry.name for entry in list_chosen(view)}
    assert names <= set(get_own(view).engines)


def test_engines_of_the_group_gone():
    """Requests go to other groups of the domain at once."""
    view = make_view()
    own = get_own(view)
    for name in own.engines:
        view.fleet.drain(name)
    chosen = list_chosen(view)
    assert {entry.domain for entry in chosen} == {'d'}
    # Also after the next update, when the remaining ones are dealt anew.
    view.grouping.update('b0', BOXES, 10.2)
    assert {entry.domain for entry in list_chosen(view)} == {'d'}


def test_a_domain_gone():
    """No engine of its domain can be reached: requests cross."""
    view = make_view()
    for name, entry in view.fleet.entries.items():
        if entry.domain == 'd':
            view.exclusions.leaving.record_reported(name, 10.0)
    chosen = list_chosen(view)
    assert {entry.domain for entry in chosen} <= {'e', 'f'}
    crossings = view.grouping.summaries.spilled
    assert crossings[spillover.GONE, group_loads.CROSSING] == len(chosen)


def test_a_box_that_hears_nobody_serves_from_its_group_and_spills():
    view = make_view()
    assert get_own(view) is not None
    for number in range(4 * SLOTS):
        work = test_view.make_work(f'open{number}')
        plan = view.plan(work, (), 10.0)
        view.record_sent(plan, work, 10.0)
        view.record_first(plan, work, 10.0)
    names = {entry.name for entry in list_chosen(view, 10.1)}
    assert not names <= set(get_own(view).engines)


def test_a_full_group_spills_in_proportion_to_the_room_of_others():
    """Of 500 boxes, most take the group that has most room."""
    own = spillover.Room(('d', 0), 96, 0.9, 0.3)
    rooms = [
        spillover.Room(('d', 1), 96, 0.2, 0.0),
        spillover.Room(('d', 2), 96, 0.6, 0.0),
        spillover.Room(('e', 0), 96, 0.0, 0.0),
    ]
    firsts = [
        spillover.order_groups(rooms, own, spillover.FULL, 'd', f'b{n}')[0]
        for n in range(500)
    ]
    share = firsts.count(('d', 1)) / 500
    assert 0.6 < share < 0.74
    assert ('e', 0) not in firsts


def test_a_crossing_must_save_more_than_it_costs():
    own = spillover.Room(('d', 0), 96, 0.3, 0.07)
    near = spillover.Room(('d', 1), 96, 0.3, 0.02)
    far = spillover.Room(('e', 0), 96, 0.3, 0.02)
    order = spillover.order_groups([near, far], own, 'wait', 'd', 'b')
    assert order == [('d', 1)]


def test_an_old_summary_counts_no_more():
    """A group that fell silent after it was idle counts as half full."""
    view = make_view()
    deal = view.grouping.subsets.get('s')
    put_summary(view, ('e', 1), 0)
    for now, taken in ((11.0, 0.0), (12.5, spillover.UNHEARD_TAKEN)):
        rooms = view.grouping.list_rooms(deal, 's', 0, 1.0, now)
        found = {room.key: room.taken for room in rooms}
        assert found['e', 1] == taken


def test_demand_that_lasts_is_balanced_over_domains():
    view = make_view()
    own = get_own(view)
    for step in range(20):
        for key in view.grouping.subsets.get('s').groups:
            busy = key[0] == own.domain
            tokens = 40_000 if busy else 0
            put_summary(view, key, 40 if busy else 8, tokens, 10 + step / 10)
    balance = view.grouping.summaries.compute_balance(
        peer_digests.hash_target('s'), deal_keys(view), own.key, 12.0
    )
    assert balance.share == pytest.approx(group_loads.MAX_BALANCED)
    assert {key[0] for key in balance.weights} == {'e', 'f'}
    # The domain that was less busy is gone: nothing is balanced any more.
    late = view.grouping.summaries.compute_balance(
        peer_digests.hash_target('s'), deal_keys(view), own.key, 15.0
    )
    assert not late.share


def test_request_stays_if_it_would_begin_late_in_the_other_group(
    monkeypatch,
):
    view = make_view()
    own = get_own(view).engines
    for version in 1, 2:
        view.weights.put_version('m', version, 4.0)
    for name in own:
        view.fleet.record_version(name, 'm', 2)
    for name in view.fleet.entries.keys() - set(own):
        view.loads.record_sent(name, 'q', loads.Sent(2.0, 9, False))
        view.loads.record_received(name, 10.0)
    keys = [key for key in deal_keys(view) if key != get_own(view).key]
    balance = group_loads.Balance(1.0, dict.fromkeys(keys, 1.0))
    monkeypatch.setattr(view.grouping, 'get_balance', lambda name: balance)
    assert {entry.name for entry in list_chosen(view)} <= set(own)


def deal_keys(view):
    return list(view.grouping.subsets.get('s').groups)


def test_boxes_with_different_lists_still_serve():
    """One box knows only half of the others: both send and both are heard."""
    half = {name: BOXES[name] for name in list(BOXES)[:26]}
    views = make_view(), make_view(boxes=half)
    assert all(list_chosen(view) for view in views)
    digest = peer_digests.Digest(
        'unknown', 'd', 1, peer_digests.hash_loads({'t0': [1, 2, 9, 3]})
    )
    for view in views:
        view.take_digest(digest, 10.0)
        assert view.peer_digests.sum_loads({'d': 1}, 10.0).get('t0')[1] == 2


def test_digests_go_to_the_group_and_to_boxes_of_groups_in_use():
    view = make_view()
    groups = view.grouping.subsets.get('s').groups
    other = next(g for g in groups.values() if g.domain == 'e')
    peers = {name: d for name, d in BOXES.items() if name != 'b0'}
    members = set(get_own(view).boxes) - {'b0'}
    told = set(view.grouping.pick_recipients(peers, False))
    assert members <= told
    assert len(told) <= len(members) + 6
    plan = view.plan(test_view.make_work(), (), 10.0)
    entry = view.fleet.entries[other.engines[0]]
    view.record_sent(plan._replace(entry=entry), test_view.make_work(), 10.0)
    told = set(view.grouping.pick_recipients(peers, False))
    assert members | set(other.boxes) <= told
    urgent = view.grouping.pick_recipients(peers, True)
    assert len(urgent) > len(told)
    assert len(set(urgent)) == len(urgent) <= peer_digests.FAN_OUT


def test_a_digest_of_a_later_version_is_understood():
    digest = peer_digests.Digest('b', 'd', 1, {}, groups=(make_summary(0, 3),))
    assert datagrams.decode(datagrams.encode(digest)) == digest
    later = cbor2.dumps(['digest', *digest, {'unknown': 1}])
    assert datagrams.decode(later) == digest


def test_a_rationed_engine_of_another_group_is_a_candidate():
    """A cold engine gets its few requests from boxes of any group."""
    view = make_view()
    own = get_own(view)
    name = next(n for n in view.fleet.entries if n not in own.engines)
    view.exclusions.cold_targets.record_reported(name, 5.0, 10.0)
    view.grouping.update('b0', BOXES, 10.0)
    assert view.grouping.list_engines('s') == (*own.engines, name)
    planner = group_planner.GroupPlanner(view, view.planner)
    field = planner.gather(test_view.make_work(), (), 10.0, frozenset())
    assert name in {c.entry.name for c in field.candidates}


def test_uneven_demand_before_many_engines():
    """129 boxes, 45 engines of two speeds, demand swings by domain.

    Callers are served as well as with all engines for all boxes, most of the
    requests stay in their domain, and fewer digests are sent.
    """
    got = many.Play(mixes.WAVES._replace(seconds=5.0), 1).run()
    assert got.in_aim > 0.98
    assert got.refused < 0.002
    assert got.crossings < 0.2
    assert got.digests < 0.85 * 129 * 5 * 5 * peer_digests.FAN_OUT
