"""Tests what all boxes send under a quota while their member lists change."""

import random

import pytest

from landingspool.decisions.gateway import shares as shares_module

WINDOW_S = 4.0
# Seconds between two send attempts of each box: far more than it may.
STEP_S = 0.05


class Boxes:
    """Boxes that send to one target whenever they may."""

    def __init__(self, count, quota):
        self.quota = quota
        self.names = [f'box{number}' for number in range(count)]
        self.shares = {name: shares_module.Shares() for name in self.names}
        self.sent = []

    def set_members(self, names, members, now):
        """Set the member list of some boxes from now on."""
        for name in names:
            known = self.shares.setdefault(name, shares_module.Shares())
            known.set_members(name, members, now)

    def simulate(self, start, end):
        """Let all boxes send for some seconds."""
        now = start
        while now < end:
            for name, known in self.shares.items():
                if known.may_send('t', self.quota, now):
                    known.record_sent('t', now)
                    self.sent.append(now)
            now += STEP_S

    def count_most(self):
        """Return the maximum number of sends in any window."""
        return max(
            sum(1 for at in self.sent if end - WINDOW_S < at <= end)
            for end in self.sent
        )


@pytest.mark.parametrize('count', [3, 7, 71, 195])
@pytest.mark.parametrize('permits', [1, 8, 40])
def test_under_one_list_all_is_used_and_nothing_beyond(count, permits):
    boxes = Boxes(count, shares_module.Quota(permits, 1, WINDOW_S))
    boxes.set_members(boxes.names, boxes.names, 0.0)
    boxes.simulate(0.0, 20.0)
    assert boxes.count_most() == permits
    # No sends in the first window, then one for each permit in each.
    assert len(boxes.sent) >= permits * 3


@pytest.mark.parametrize('permits', [1, 8, 40])
def test_twice_as_many_boxes_whom_half_never_hears_of(permits):
    """Half of the boxes keep the old list, for however long."""
    old = [f'box{number}' for number in range(20)]
    boxes = Boxes(20, shares_module.Quota(permits, 1, WINDOW_S))
    boxes.set_members(old, old, 0.0)
    boxes.simulate(0.0, 10.0)
    new = [*old, *(f'new{number}' for number in range(20))]
    boxes.set_members([*old[:10], *new[20:]], new, 10.0)
    boxes.simulate(10.0, 30.0)
    # Half of the permits move, apart from chance in the hash order.
    assert boxes.count_most() <= permits * 1.5 + 5


def test_places_that_change_hands_rest_for_a_window():
    """Member lists change each half second, everywhere at once."""
    rng = random.Random(5)
    names = [f'box{number}' for number in range(20)]
    boxes = Boxes(20, shares_module.Quota(12, 1, WINDOW_S))
    boxes.set_members(names, names, 0.0)
    boxes.simulate(0.0, 8.0)
    for number in range(60):
        members = rng.sample(names, rng.randint(8, 20))
        start = 8.0 + number * 0.5
        boxes.set_members(members, members, start)
        boxes.simulate(start, start + 0.5)
    assert boxes.count_most() <= 12 * 1.5 + 5


def test_a_box_that_stood_still_begins_with_nothing():
    boxes = Boxes(1, shares_module.Quota(4, 1, WINDOW_S))
    boxes.set_members(boxes.names, boxes.names, 0.0)
    (known,) = boxes.shares.values()
    assert known.may_send('t', boxes.quota, 5.0)
    known.restart(9.0)
    assert not known.may_send('t', boxes.quota, 12.9)
    assert known.may_send('t', boxes.quota, 13.1)
