"""Parts of replaced weights are not freed while any box offers them."""

import asyncio
import math
import types

import pytest

from landingspool.decisions.gateway import context_index
from landingspool.decisions.gateway import freshness
from landingspool.decisions.gateway import garbage
from landingspool.decisions.gateway import readers
from landingspool.decisions.gateway import routes
from landingspool.gateway import sweeper
from tests.gateway import test_view

STORE = 'k:1'
# Seconds between two looks of a box at what it knows, and of the whole play.
STEP_S = 0.1
LENGTH_S = 40.0


def list_parts(now, spaces=('m.1',)):
    """Return the list of a store with one part in each namespace."""
    rows = tuple(context_index.Change(space, 'a', 2500) for space in spaces)
    return context_index.CacheUpdate(1, 0, False, rows, True, now * 1000)


class Box:
    """The decisions of one box, whose clock the test sets.

    Attributes
    ----------
    freed : list of float
        When it freed parts.
    freed_spaces : list of str
        The namespace of each part that it freed.
    offers : list of float
        Until when it offered parts to requests, seconds.
    """

    def __init__(self, targets, incomplete=(), spaces=('m.1',)):
        self.now = 0.0
        self.has_earlier = False
        self.incomplete = incomplete
        self.spaces = spaces
        self.freed = []
        self.freed_spaces = []
        self.offers = []
        self.view = test_view.make_view(0)
        self.view.proof = freshness.Proof(5.0)
        self.view.proof.record(0.0)
        store = routes.ContextStore(STORE, 'd', 90_000, 1000.0, 4, True, 0.0)
        services = [
            routes.Service('s', engine=test_view.ENGINE),
            routes.Service('k', context_store=store),
        ]
        self.view.put_table(
            routes.make_table(
                2, [test_view.ROUTE], services, {}, routes.Limits(), False
            )
        )
        for name, version in targets.items():
            test_view.put(self.view, name, version)
        self.view.weights.put_version('m', 1, 0.0)
        self._sweeper = sweeper.Sweeper(
            types.SimpleNamespace(
                view=self.view,
                clock=lambda: self.now,
                runners=self,
                deployment=types.SimpleNamespace(box='box'),
                peering=types.SimpleNamespace(
                    peers={},
                    pick_store_follower=lambda: None,
                    has_earlier_namespaces=lambda: self.has_earlier,
                    ages=readers.plan_ages(2.0),
                ),
                timer=types.SimpleNamespace(ran_since=lambda at: True),
                recorder=types.SimpleNamespace(record=lambda *a, **k: None),
            )
        )

    async def read_list(self, address):
        """Answer with the list of the store."""
        listed = list_parts(self.now, self.spaces)
        return listed._replace(clock_ms=None, incomplete=self.incomplete)

    async def free(self, address, epoch, parts, until_ms):
        """Note that parts are freed."""
        self.freed.append(self.now)
        self.freed_spaces += [space for space, _ in parts]
        return True

    def look(self, now):
        """Read the store's contents, offer parts and free what may be."""
        self.now = now
        listed = list_parts(now, self.spaces)
        self.view.context_index.take(STORE, listed, now, now)
        plan = self.view.plan(test_view.make_work(), ('new',), now)
        if plan is not None and any(plan.transfer.fetch):
            self.offers.append(plan.transfer.until_ms / 1000)
        self.check()

    def read_events(self, now, position):
        """Read the events of the store up to a position."""
        self.now = now
        events = context_index.CacheUpdate(
            1, position, False, (), clock_ms=now * 1000
        )
        self.view.context_index.take(STORE, events, now, now)

    def check(self):
        """Free what may be freed now."""
        asyncio.run(self._sweeper.check())


def play(boxes, events):
    """Play LENGTH_S seconds; `events` has what is done at each time."""
    for step in range(int(LENGTH_S / STEP_S)):
        now = step * STEP_S
        for at, act in events:
            if at <= now < at + STEP_S:
                act(now)
        for box in boxes:
            box.look(now)


def check_agreement(boxes):
    """Check that nothing is freed while it is offered, and then is freed."""
    last = max((end for box in boxes for end in box.offers), default=0.0)
    first = min((at for box in boxes for at in box.freed), default=math.inf)
    assert last <= first < math.inf, f'offered to {last}, freed at {first}'


def keep_in_touch(box):
    """Return the events by which a box has a recent proof."""
    return [(second, box.view.proof.record) for second in range(int(LENGTH_S))]


def name_new(*boxes):
    """Return the event that new weights are named."""

    def act(now):
        for box in boxes:
            box.view.weights.put_version('m', 2, now)

    return 1.0, act


@pytest.mark.parametrize('back_at', [2.0, 5.3, 5.6, 7.1, 9.4, 12.0])
def test_a_box_that_is_cut_off_frees_no_parts_that_others_fetch(back_at):
    # Guards against MIXED: its list of targets is that of before the cut.
    serving, cut = Box({'new': 2}), Box({'new': 2})
    events = [
        name_new(serving, cut),
        *keep_in_touch(serving),
        (back_at, lambda now: test_view.put(serving.view, 'back', 1)),
    ]
    play([serving, cut], events)
    assert back_at > 9.0 or serving.offers
    check_agreement([serving, cut])


@pytest.mark.parametrize('back_at', [5.2, 5.4, 5.6, 5.8])
def test_a_box_that_hears_late_of_a_return_frees_no_parts(back_at):
    # Guards against MIXED without a cut: boxes hear of a target one by one.
    first, second = Box({'new': 2}), Box({'new': 2})
    events = [
        name_new(first, second),
        *keep_in_touch(first),
        *keep_in_touch(second),
        (back_at, lambda now: test_view.put(first.view, 'back', 1)),
        (back_at + 0.3, lambda now: test_view.put(second.view, 'back', 1)),
        (30.0, lambda now: test_view.put(first.view, 'back', 2)),
        (30.0, lambda now: test_view.put(second.view, 'back', 2)),
    ]
    play([first, second], events)
    assert first.offers
    check_agreement([first, second])


def test_a_box_that_misses_new_weights_offers_no_parts_that_others_free():
    # Guards against MIXED by a box that is cut off before the naming.
    informed, cut = Box({'new': 2}), Box({'new': 1, 'old': 1})
    play([informed, cut], [name_new(informed), *keep_in_touch(informed)])
    assert cut.offers
    check_agreement([informed, cut])


def test_parts_are_freed_though_versions_follow_each_other():
    # Guards against a wait that each new version begins anew.
    box = Box({'new': 4})
    events = [name_new(box), *keep_in_touch(box)]
    for second in range(4, 38, 3):
        version = 3 + (second - 4) // 3
        events.append(
            (
                second,
                lambda now, v=version: box.view.weights.put_version(
                    'm', v, now
                ),
            )
        )
    play([box], events)
    wait_s = garbage.compute_wait(box.view.weights.bound_s)
    assert min(box.freed) == pytest.approx(1.0 + wait_s, abs=2 * STEP_S)


def test_no_part_is_freed_by_a_list_that_events_have_overtaken():
    # Guards against MIXED: the part is complete in events after the list.
    box = Box({'new': 1}, (make_incomplete(0),))
    box.view.context_index.take(STORE, list_parts(0.0), 0.0, 0.0)
    for second in range(30):
        position = 0 if second < 4 else 7
        box.view.proof.record(second)
        box.read_events(second, position)
        box.check()
    assert not box.freed


def make_incomplete(tokens):
    """Return an incomplete part."""
    return context_index.IncompletePart('m.1', 'a', tokens, 800)


def list_incomplete(tokens):
    """Return the contents of a store with one incomplete part."""
    rows = (make_incomplete(tokens),)
    return context_index.CacheContents(1, 0, {}, 0, 0, incomplete=rows)


def test_a_box_that_is_cut_off_frees_no_incomplete_part():
    # Guards against MIXED: two boxes that both take a store for their own.
    rows = (make_incomplete(0),)
    owner, cut = Box({'new': 1}, rows), Box({'new': 1}, rows)
    play([owner, cut], keep_in_touch(owner))
    assert owner.freed
    assert not cut.freed


def test_an_incomplete_part_that_was_freed_is_watched_anew():
    # Guards against MIXED: a new write stands where the former one broke off.
    known = garbage.IncompleteParts()
    assert not known.record('k', list_incomplete(0), 10.0)
    assert known.record('k', list_incomplete(0), 16.0) == [('m.1', 'a')]
    known.forget('k', [('m.1', 'a')])
    assert not known.record('k', list_incomplete(0), 22.0)
    assert known.record('k', list_incomplete(0), 28.0) == [('m.1', 'a')]


def test_an_incomplete_part_seen_long_ago_is_watched_anew():
    # Guards against MIXED: another box owned the store in the meantime.
    known = garbage.IncompleteParts()
    assert not known.record('k', list_incomplete(0), 10.0)
    assert not known.record('k', list_incomplete(0), 60.0)
    assert known.record('k', list_incomplete(0), 66.0) == [('m.1', 'a')]
