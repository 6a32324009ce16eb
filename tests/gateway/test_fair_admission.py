"""Fair shares of workspaces: whom refusals fall on, and what boxes report."""

import json
import random

import cbor2
import pytest

from landingspool.boxes import datagrams
from landingspool.decisions.gateway import admission
from landingspool.decisions.gateway import fair_admission
from landingspool.decisions.gateway import fair_levels
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import stalls
from landingspool.decisions.gateway import transfers
from landingspool.decisions.gateway import view as view_module
from landingspool.decisions.gateway import workspace_usage
from landingspool.gateway import deployment
from landingspool.platform import boot
from landingspool.platform import tables

ROUTE = routes.Route('r', 'h', '/', routes.SAFE, 2, 1, 2, ())
SKEW = 1.2
SETTINGS = {
    'node': 'b',
    'zone': 'd',
    'listen': {'front': '10.0.0.1:1', 'ready': '10.0.0.1:2'},
    'platform': {'address': '10.0.0.1:3'},
}
WORKSPACES = [f'w{rank}' for rank in range(24)]
SIZES = [(rank + 1) ** -SKEW for rank in range(24)]


def make_work(workspace, service='s'):
    tenancy = routes.Tenancy(workspace)
    return plans.Work('q', ROUTE, service, tenancy, None)


def make_table(names, weights=None, version=1):
    weights = weights or {}
    keys = {
        name: routes.Tenancy(name, weight=weights.get(name, 1.0))
        for name in names
    }
    services = [routes.Service('s')]
    return routes.make_table(
        version, [ROUTE], services, keys, routes.Limits(), True
    )


def make_box(names=WORKSPACES, weights=None):
    box = fair_admission.FairAdmission(True)
    box.put_table(make_table(names, weights))
    return box


def play(box, refused, rng, seconds=20.0, per_s=200, sizes=None):
    """Play requests to one box; return the served shares by workspace."""
    sizes = sizes or dict(zip(WORKSPACES, SIZES, strict=True))
    asked, served = dict.fromkeys(sizes, 0), dict.fromkeys(sizes, 0)
    for number in range(int(seconds * per_s)):
        now = number / per_s
        name = rng.choices(list(sizes), list(sizes.values()))[0]
        work = make_work(name)
        box.record_asked(work, now)
        admitted = rng.random() >= box.spread(work, refused, {}, now)
        if admitted:
            box.record_served(work, now)
        # The sums have to fill up first.
        if now >= seconds / 2:
            asked[name] += 1
            served[name] += admitted
    total = sum(served.values()) / sum(asked.values())
    return total, {n: served[n] / asked[n] for n in sizes if asked[n]}


def send_report(source, target, name, number, now, domain='d'):
    digest = peer_digests.Digest(
        name, domain, number, {}, usage=source.make_due_report(now)
    )
    target.take(datagrams.decode(datagrams.encode(digest)), now)


def make_loaded(asked, now=10.0):
    """Return a box that was asked for some requests and refuses some."""
    box = make_box()
    for name, count in asked.items():
        for _ in range(count):
            box.record_asked(make_work(name), now)
            box.record_served(make_work(name), now)
    box.spread(make_work('w0'), 0.3, {}, now)
    return box


@pytest.mark.parametrize('refused', [0.1, 0.3, 0.6])
def test_small_workspaces_are_served_while_as_many_are_refused(refused):
    box = make_box()
    total, served = play(box, refused, random.Random(1))
    # As much is served as without fair shares.
    assert total == pytest.approx(1 - refused, abs=0.05)
    smallest = [served[name] for name in WORKSPACES[-3:]]
    assert min(smallest) > 0.97 if refused < 0.5 else min(smallest) > 0.7
    # The users' bound: nobody under a quarter as often as all.
    assert min(served.values()) > total / 4


def test_sending_more_brings_no_more():
    served = []
    for factor in (2, 4):
        sizes = {'loud': factor, 'a': 1, 'b': 1}
        box = make_box(sizes)
        _, shares = play(
            box, 0.2 + 0.1 * factor, random.Random(1), sizes=sizes
        )
        served.append(shares['loud'] * factor / (factor + 2))
    # Of all requests that arrive, no larger share is served to it.
    assert served[1] <= served[0] * 1.1


def test_without_refusals_nothing_changes():
    box = make_box()
    total, _ = play(box, 0.0, random.Random(1), seconds=2.0)
    assert total == 1.0
    assert box.make_due_report(2.0) == {}
    assert box.count_over(2.0) == {}


def test_all_are_refused_where_load_says_so():
    box = make_loaded({'w0': 50, 'w1': 1})
    assert box.spread(make_work('w1'), 1.0, {}, 10.0) == 1.0
    # Nobody is let in for being small once next to nothing is left.
    assert box.spread(make_work('w0'), 0.99, {}, 10.0) > 0.95


def test_weights_divide_scarce_capacity():
    sizes = {'heavy': 1, 'light': 1}
    box = make_box(sizes, {'heavy': 2.0})
    _, served = play(box, 0.5, random.Random(1), sizes=sizes)
    assert served['heavy'] / served['light'] == pytest.approx(2.0, rel=0.25)


def test_one_box_without_reports_treats_equals_alike():
    # All boxes have restarted: nothing is known of anybody.
    box = make_box()
    shares = set()
    for name in WORKSPACES[:4]:
        box.record_asked(make_work(name), 10.0)
    for name in WORKSPACES[:4]:
        shares.add(round(box.spread(make_work(name), 0.4, {}, 10.0), 2))
    assert len(shares) == 1
    assert shares.pop() == pytest.approx(0.4, abs=0.05)


def test_what_other_boxes_served_counts():
    here = make_loaded({'w0': 10, 'w1': 10})
    away = make_loaded({'w0': 90, 'w1': 10})
    send_report(away, here, 'b', 1, 10.0)
    later = 10.0 + fair_admission.SUM_S + 0.1
    spread = [
        here.spread(make_work(name), 0.4, {'d': 1}, later)
        for name in ('w0', 'w1')
    ]
    assert spread[0] > 0.4
    assert spread[1] == 0.0


def test_the_usage_of_a_box_that_died_fades():
    here = make_loaded({'w0': 10, 'w1': 10})
    away = make_loaded({'w0': 900, 'w1': 10})
    send_report(away, here, 'b', 1, 10.0)
    usage = here._usage
    key = workspace_usage.hash_name('w0')
    fresh = usage.sum_usage('s', {'d': 1}, 10.0)[key].asked
    assert fresh == pytest.approx(910, rel=0.01)
    # It is no longer listed, and its report gets old.
    old = 10.0 + workspace_usage.KEPT_S
    assert usage.sum_usage('s', {}, old)[key].asked < 910 * 0.05


def test_boxes_not_heard_of_count_like_those_heard_of():
    here = make_box()
    away = make_loaded({'w0': 100})
    send_report(away, here, 'b', 1, 10.0)
    key = workspace_usage.hash_name('w0')
    # Those of a domain that is cut off don't.
    total = here._usage.sum_usage('s', {'d': 5, 'cut': 9}, 10.0)
    assert total[key].asked == pytest.approx(500, rel=0.01)
    # Its own domain is cut off, too.
    later = 10.0 + workspace_usage.FRESH_S + 0.1
    total = here._usage.sum_usage('s', {'d': 5, 'cut': 9}, later)
    assert total[key].asked < 100


def test_an_old_report_does_not_replace_a_newer_one():
    here = make_box()
    key = workspace_usage.hash_name('w0')
    for number, count in ((2, 100), (1, 7)):
        send_report(make_loaded({'w0': count}), here, 'b', number, 10.0)
    asked = here._usage.sum_usage('s', {'d': 1}, 10.0)[key].asked
    assert asked == pytest.approx(100, rel=0.01)
    # A box that restarts counts from 1 again.
    later = 10.0 + workspace_usage.FRESH_S + 0.1
    send_report(make_loaded({'w0': 7}, later), here, 'b', 1, later)
    asked = here._usage.sum_usage('s', {'d': 1}, later)[key].asked
    assert asked == pytest.approx(7, rel=0.01)


def test_a_stall_of_this_box_ages_nothing():
    view = view_module.View('d', deployment.Bounds(fair_shares=True), 1)
    view.put_table(make_table(WORKSPACES))
    send_report(make_loaded({'w0': 100}), view.fair_admission, 'b', 1, 10.0)
    stalls.exclude_stall(view, 30.0, 40.0)
    key = workspace_usage.hash_name('w0')
    total = view.fair_admission._usage.sum_usage('s', {'d': 1}, 40.0)
    assert total[key].asked == pytest.approx(100, rel=0.01)


def test_a_renamed_workspace_starts_equal():
    box = make_loaded({'w0': 50, 'w1': 5})
    box.put_table(make_table(['new', 'w1'], version=2))
    work = make_work('new')
    box.record_asked(work, 10.0)
    assert box.spread(work, 0.3, {}, 10.0) == 0.0
    # What was asked under the old name fades.
    later = 10.0 + workspace_usage.KEPT_S
    for name in ['new', 'w1'] * 20:
        box.record_asked(make_work(name), later)
    assert box.spread(work, 0.3, {}, later) > 0.2


def test_a_flood_of_names_takes_bounded_memory():
    box = make_box()
    for number in range(5000):
        box.record_asked(make_work(f'name{number}'), 10.0)
        if number % 100 == 0:
            box.record_asked(make_work('w0'), 10.0)
    box.spread(make_work('w0'), 0.3, {}, 10.0)
    rows = box._usage._own['s']
    assert len(rows) <= workspace_usage.MAX_TRACKED
    assert workspace_usage.hash_name('w0') in rows
    report = box.make_due_report(10.0)
    digest = peer_digests.Digest('b', 'd', 1, {}, usage=report)
    assert len(datagrams.encode(digest)) < 400


def test_idle_time_earns_no_credit():
    box = make_loaded({'w0': 100, 'w1': 1})
    later = 10.0 + 100 * workspace_usage.AVERAGE_S
    for name in ('w0', 'w1'):
        for _ in range(20):
            box.record_asked(make_work(name), later)
    spread = [
        box.spread(make_work(name), 0.4, {}, later) for name in ('w0', 'w1')
    ]
    assert spread[0] == pytest.approx(spread[1], abs=0.01)


def test_as_places_fill_up_who_is_over_the_share_makes_room():
    view = view_module.View('d', deployment.Bounds(fair_shares=True), 1)
    view.put_table(make_table(['loud', 'quiet']))
    prompt = prompts.Prompt('m', 900, 5, (prompts.Part('own', 900),))
    for name in ['loud'] * 90 + ['quiet'] * 10:
        view.count_first(make_work(name)._replace(prompt=prompt), 10.0)
    first, last = admission.PRESSURES[ROUTE.priority]
    plan = plans.Plan(None, 0.0, 0.0, 0, 0, 1, 1, '', transfers.Transfer())
    plan = plan._replace(pressure=(first + last) / 2, planned_at=10.0)
    admitted = {
        name: sum(
            view.is_admitted(plan, make_work(name)._replace(prompt=prompt))
            for _ in range(200)
        )
        for name in ('loud', 'quiet')
    }
    assert admitted['quiet'] == 200
    assert 40 < admitted['loud'] < 120


def test_an_operator_sees_who_is_over():
    box = make_box()
    play(box, 0.3, random.Random(1))
    assert box.measure_excess(make_work('w0')) > 0.5
    assert box.measure_excess(make_work('w23')) == 0.0
    assert 0 < box.count_over(20.0)['s'] < 5
    # Nobody is over a share of what isn't scarce any more.
    later = 20.0 + fair_admission.REPORTED_S
    assert box.count_over(later) == {}
    assert box.measure_excess(make_work('w0')) == 0.0


@pytest.mark.parametrize(
    'contracts, names, is_on',
    [
        (['pressure'], ['a', 'b'], True),
        (['pressure'], ['a'], False),
        (['tenants'], ['a', 'b'], False),
    ],
)
def test_what_switches_fair_shares_on(contracts, names, is_on):
    loaded, errors = boot.read({**SETTINGS, 'contracts': contracts}, 'f')
    assert not errors
    box = fair_admission.FairAdmission(loaded.bounds.fair_shares)
    box.put_table(make_table(names))
    assert box.is_on == is_on


def test_a_workspace_has_weight_one_unless_the_table_says_otherwise():
    for row, weight in (
        ({}, 1.0),
        ({'weight': 3}, 3.0),
        ({'weight': -1}, 1.0),
    ):
        tenants = [{'name': 'w', 'api_keys': ['k'], **row}]
        value = json.dumps({'version': 1, 'tenants': tenants}).encode()
        table = tables.read_table(value)
        assert table.keys['k'].weight == weight


def test_digests_of_other_releases_are_read():
    older = peer_digests.Digest('b', 'd', 1, {})[:-1]
    newer = (*peer_digests.Digest('b', 'd', 1, {}), 'a field to come')
    for fields in (older, newer):
        data = cbor2.dumps(['digest', *fields])
        assert datagrams.decode(data).usage == {}


def test_half_of_the_usual_admissions_are_left_to_whoever_asks_for_most():
    """A workspace that asks for nearly all of a service, and a small one."""
    usage = {
        1: workspace_usage.Usage(900.0, 500.0, 1.0),
        2: workspace_usage.Usage(100.0, 60.0, 1.0),
    }
    level = fair_levels.make_demands(usage, {}, 1.0)
    shares = [
        fair_levels.compute_admitted(row.asked, 1.0, level.asked / 10, 0.4)
        for row in usage.values()
    ]
    assert shares[0] >= (1 - 0.4) * fair_levels.MIN_ADMITTED
    assert shares[1] >= shares[0]
