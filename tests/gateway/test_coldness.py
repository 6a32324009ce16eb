"""Tests the limit on what all boxes together send to cold targets.

Only the decisions are simulated: each box decides by itself, from what it
believes about its peers.
"""

import collections
import random

import pytest

from landingspool.decisions.gateway import cold_targets
from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import view as view_module
from landingspool.gateway import deployment
from tests.gateway import test_view

BOUND = cold_targets.Bound(3.0, 18.0)
MAX_REQUESTS = 18.0 * 1.5 + 5.0
TARGETS = 30


def make_boxes(count, missing=0):
    """Return the views of some boxes, each without some of its peers."""
    rng = random.Random(3)
    names = [f'box{number}' for number in range(count)]
    views = {}
    for name in names:
        unknown = rng.sample(names, missing)
        known = [other for other in names if other not in unknown]
        views[name] = make_box(name, {*known, name})
    return views


def make_box(name, members):
    """Return the view of one box whose targets are all cold from 10 on."""
    view = view_module.View('d', deployment.Bounds(), 1)
    service = routes.Service('s', engine=test_view.ENGINE, cold=BOUND)
    view.put_table(
        routes.make_table(
            1, [test_view.ROUTE], [service], {}, routes.Limits(), False
        )
    )
    view.exclusions.shares.set_members(name, members, 0.0)
    for number in range(TARGETS):
        entry = fleet.Entry(
            f't{number}', 's', ('a', number), 'd', fleet.READY, 64, {'m': 1}
        )
        view.put_entry(entry._replace(cold_s=3.0), 10.0)
    return view


def simulate(views, seconds, per_s):
    """Simulate requests for some seconds; return send times by target."""
    rng = random.Random(7)
    boxes = list(views)
    sent = collections.defaultdict(list)
    now, number = 10.0, 0
    while now < 10.0 + seconds:
        now += rng.expovariate(per_s)
        number += 1
        view = views[rng.choice(boxes)]
        work = test_view.make_work(f'q{number}')
        plan = view.plan(work, (), now)
        if plan is None or not view.may_send(plan.entry, work, now):
            continue
        view.record_sent(plan, work, now)
        view.loads.record_end(plan.entry.name, work.name)
        sent[plan.entry.name].append(now)
    return sent


def count_most(times):
    """Return the maximum number of times in any second."""
    return max(
        sum(1 for at in times if start <= at < start + 1.0) for start in times
    )


@pytest.mark.parametrize(('boxes', 'missing'), [(7, 0), (71, 0), (71, 8)])
def test_no_second_over_the_bound_while_all_targets_are_cold(boxes, missing):
    """71 boxes, 30 cold targets, 1,200 requests a second for 2.9 s.

    Without the limit up to 67 arrived at one target in a second; 32 may.
    """
    sent = simulate(make_boxes(boxes, missing), 2.9, 1200.0)
    assert max(map(count_most, sent.values())) <= MAX_REQUESTS
    assert len(sent) == TARGETS


def test_named_boxes_carry_more_than_equal_shares():
    """Of 400 requests a second 16 may go to each cold target, 480 in all.

    Equal shares for 71 boxes within the limit of 32 would be none at all.
    """
    quota = cold_targets.plan_quota(MAX_REQUESTS)
    assert quota.permits * quota.requests >= 16
    assert int(MAX_REQUESTS // (cold_targets.MEMBER_LISTS * 71)) == 0
    sent = simulate(make_boxes(71), 2.9, 400.0)
    assert sum(map(len, sent.values())) / 2.9 > 190


def test_a_target_counts_as_cold_after_it_came_back():
    view = make_box('box0', {'box0', 'box1'})
    assert view.exclusions.cold_targets.get_seconds_left('t0', 13.1) == 0.0
    view.record_unreached('t0', 14.0)
    view.record_reconnected('t0', 15.0)
    assert (
        view.exclusions.cold_targets.get_seconds_left('t0', 15.0)
        == BOUND.seconds
    )
    view.exclusions.evacuation.put('d', 20.0)
    view.withdraw_evacuation('d', 25.0)
    assert len(view.exclusions.cold_targets.list_cold(25.0)) == TARGETS


def test_a_box_without_the_list_of_boxes_sends_nothing_to_cold_targets():
    view = test_view.make_view()
    view.exclusions.cold_targets.record_reported('t0', 2.0, 10.0)
    assert view.exclusions.cold_targets.may_send(
        't0', cold_targets.Bound(), 10.0
    )
    assert not view.exclusions.cold_targets.may_send('t0', BOUND, 10.0)
    view.exclusions.shares.set_members('box', ('box',), 10.0)
    assert not view.exclusions.cold_targets.may_send('t0', BOUND, 10.9)
    assert view.exclusions.cold_targets.may_send('t0', BOUND, 11.1)
