"""Parts of namespaces that no request uses are freed, and none in use."""

import json

import pytest

from landingspool.decisions.gateway import freshness
from landingspool.decisions.gateway import garbage
from landingspool.decisions.gateway import namespaces
from landingspool.decisions.gateway import walls
from landingspool.gateway import registry
from landingspool import http
from tests.gateway import site
from tests.gateway import test_replaced_parts

NOBODY, W, V = frozenset(), frozenset('w'), frozenset('v')
LENGTH_S = int(test_replaced_parts.LENGTH_S)
STEP_S = test_replaced_parts.STEP_S


def name_space(workspace, isolated):
    """Return the text of a namespace of the model's first weights."""
    space = namespaces.choose('m', 1, workspace, isolated)
    return namespaces.write(space)


OPEN, OPEN_V = name_space(None, W), name_space(None, V)
OWN, OWN_V = name_space('w', W), name_space('v', V)
FORMER = 'm.1.w'
ALL = 'm.1', OPEN, OPEN_V, OWN, OWN_V, FORMER, 'x.1~later~y'


class Box(test_replaced_parts.Box):
    """The decisions of one box, at which the isolated workspaces change."""

    def __init__(self, isolated=NOBODY, spaces=ALL):
        super().__init__({'t': 1}, spaces=spaces)
        self.isolate(isolated, 0.0)

    def isolate(self, isolated, now):
        """Put a table in force in which just these are isolated."""
        table = self.view.table
        self.view.put_table(
            table._replace(version=table.version + 1, isolated=isolated)
        )
        self.view.walls.put(isolated, now)


def keep_proofs(box, seconds=range(LENGTH_S)):
    """Return the events by which a box reads the tables."""
    return [(second, box.view.proof.record) for second in seconds]


def isolate_at(now, isolated, *boxes):
    """Return the event that a table comes to boxes."""

    def act(now):
        for box in boxes:
            box.isolate(isolated, now)

    return now, act


def test_a_wall_leaves_no_parts_in_the_stores_for_good():
    # Guards against stores full of what nobody can find.
    box = Box(W)
    test_replaced_parts.play([box], keep_proofs(box))
    assert set(box.freed_spaces) == {'m.1', OPEN_V, OWN_V, FORMER}
    wait_s = garbage.compute_wait(box.view.weights.bound_s)
    assert min(box.freed) == pytest.approx(wait_s, abs=1.0 + 2 * STEP_S)


def test_no_part_is_freed_that_a_box_with_an_older_table_offers():
    # Guards against MIXED: the other box is cut off before the wall.
    informed, cut = Box(spaces=('m.1',)), Box(spaces=('m.1',))
    events = [isolate_at(1.0, W, informed), *keep_proofs(informed)]
    test_replaced_parts.play([informed, cut], events)
    assert cut.offers
    test_replaced_parts.check_agreement([informed, cut])


@pytest.mark.parametrize('back_at', [14.0, 16.4, 17.0, 18.2, 19.0])
@pytest.mark.parametrize('is_cut', [False, True])
def test_no_part_is_freed_after_its_namespace_came_back(back_at, is_cut):
    # Guards against MIXED: one box hears late that the wall is gone again.
    first, late = Box(spaces=('m.1',)), Box(spaces=('m.1',))
    last_s = int(back_at) if is_cut else LENGTH_S
    heard_at = LENGTH_S if is_cut else back_at + freshness.MAX_GAP_S
    events = [
        isolate_at(0.5, W, first, late),
        isolate_at(back_at, NOBODY, first),
        isolate_at(heard_at, NOBODY, late),
        *keep_proofs(first),
        *keep_proofs(late, range(last_s)),
    ]
    test_replaced_parts.play([first, late], events)
    began = [until for until in first.offers if until > back_at + 2.6]
    arrived = [at + garbage.CALL_TIMEOUT_S for at in late.freed]
    assert min(began) >= back_at + walls.REST_S
    assert not arrived or max(arrived) <= back_at + walls.REST_S


def test_parts_of_earlier_builds_stay_while_one_may_run():
    # Guards against MIXED in a release: it offers them under any table.
    box = Box(W)
    box.has_earlier = True
    events = [*keep_proofs(box)]
    test_replaced_parts.play([box], events)
    assert set(box.freed_spaces) == {OPEN_V, OWN_V}
    box.has_earlier = False
    box.freed_spaces.clear()
    wait_s = garbage.compute_wait(box.view.weights.bound_s)
    for step in range(int(2 * wait_s / STEP_S)):
        now = LENGTH_S + step * STEP_S
        box.view.proof.record(now)
        box.look(now)
        if now < LENGTH_S + wait_s - 2 * STEP_S:
            assert not {'m.1', FORMER} & set(box.freed_spaces)
    assert {'m.1', FORMER} <= set(box.freed_spaces)


@pytest.mark.parametrize('gap_at', [3, 15, 25])
def test_a_box_that_may_have_missed_a_table_frees_nothing(gap_at):
    # Guards against MIXED: a table that came and went in the gap.
    box = Box(W)
    seconds = [*range(gap_at), *range(gap_at + 3, LENGTH_S)]
    test_replaced_parts.play([box], keep_proofs(box, seconds))
    wait_s = garbage.compute_wait(box.view.weights.bound_s)
    resumed_at = gap_at + 3
    assert not [
        at
        for at in box.freed
        if gap_at + freshness.MAX_GAP_S <= at < resumed_at + wait_s
    ]
    assert max(box.freed) > resumed_at or resumed_at + wait_s > LENGTH_S


def test_a_change_that_is_read_together_with_its_end_keeps_the_parts():
    # Guards against MIXED: others had the table in between, and offer parts.
    box = Box(W, spaces=('m.1',))
    events = [
        isolate_at(20.0, NOBODY, box),
        isolate_at(20.0, W, box),
        *keep_proofs(box),
    ]
    test_replaced_parts.play([box], events)
    wait_s = garbage.compute_wait(box.view.weights.bound_s)
    assert not [at for at in box.freed if 20.0 < at < 20.0 + wait_s - STEP_S]


def test_a_box_of_an_earlier_build_is_known_by_its_record():
    # Guards against MIXED in a release: the digests of both are alike.
    links = http.Address('127.0.0.1', 7)
    row = json.loads(registry.write_peer(links, 'd1', 5.0))
    earlier = {**row, 'walls': False}

    async def check(deployment):
        hub = await deployment.start_box()
        peering = hub.peering
        await site.wait_until(peering.is_complete)
        assert not peering.has_earlier_namespaces()
        for number, record in enumerate((row, earlier)):
            deployment.store.put('keyed.boxes', f'b{number}', record)
            peering._registry.read_soon()
            await site.wait_until(lambda n=number: f'b{n}' in peering.peers)
            peering._registry._asked = -1e9
            assert peering.has_earlier_namespaces() == (record is earlier)

    site.run(check)
