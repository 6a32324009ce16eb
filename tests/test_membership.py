"""Failure detection among boxes, in virtual time with lost messages."""

import random

import pytest

from landingspool.decisions import membership
from landingspool.decisions import records

NAMES = tuple(f'box-{index}' for index in range(8))
STEP_S = 0.1


class Domain:
    """The membership views of all boxes of a domain, and a lossy network."""

    def __init__(self, seed, loss=0.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.silent = set()
        self.views = {name: self.make(name, 'i1') for name in NAMES}

    def make(self, name, incarnation):
        """Return the view of a box to which all boxes are listed."""
        rng = random.Random(f'{name}{incarnation}')
        view = membership.Membership(name, incarnation, rng)
        members = [records.Member(n, 'entry', 'd', 'h', 1) for n in NAMES]
        view.set_listed(members, self.now)
        return view

    def run(self, seconds):
        """Run all views for `seconds` seconds of virtual time."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            pending = []
            for name, view in self.views.items():
                if name not in self.silent:
                    out = view.tick(self.now)
                    pending += [(name, box, m) for box, m in out]
            while pending:
                sender, box, message = pending.pop(0)
                if box in self.silent or self.rng.random() < self.loss:
                    continue
                out = self.views[box].handle(sender, message, self.now)
                pending += [(box, to, reply) for to, reply in out]

    def list_seen(self, box):
        """Return the boxes that each running box, but `box`, sees as alive."""
        return [
            view.list_alive()
            for name, view in self.views.items()
            if name != box and name not in self.silent
        ]


def test_silent_box_is_removed_by_all():
    domain = Domain(1)
    domain.run(5.0)
    domain.silent.add('box-3')
    domain.run(20.0)
    assert all('box-3' not in alive for alive in domain.list_seen('box-3'))


@pytest.mark.parametrize('seed', range(5))
def test_lost_messages_remove_nobody(seed):
    domain = Domain(seed, loss=0.15)
    domain.run(60.0)
    assert all(alive == NAMES for alive in domain.list_seen(None))


def test_box_that_was_silent_for_a_time_comes_back():
    domain = Domain(2)
    domain.silent.add('box-3')
    domain.run(20.0)
    domain.silent.clear()
    domain.views['box-3'].reset(domain.now)
    domain.run(20.0)
    assert all('box-3' in alive for alive in domain.list_seen('box-3'))


def test_restarted_box_is_alive_again_by_its_incarnation():
    domain = Domain(3)
    domain.silent.add('box-3')
    domain.run(20.0)
    domain.silent.clear()
    domain.views['box-3'] = domain.make('box-3', 'i2')
    domain.run(20.0)
    assert all('box-3' in alive for alive in domain.list_seen('box-3'))


def test_leaving_box_gets_no_new_responsibility():
    domain = Domain(4)
    domain.run(5.0)
    domain.views['box-3'].leave()
    domain.run(5.0)
    assert all('box-3' not in alive for alive in domain.list_seen('box-3'))


def test_box_that_is_off_the_list_is_no_member():
    domain = Domain(5)
    domain.run(2.0)
    remaining = [n for n in NAMES if n != 'box-3']
    members = [records.Member(n, 'entry', 'd', 'h', 1) for n in remaining]
    view = domain.views['box-0']
    view.set_listed(members, domain.now)
    assert 'box-3' not in view.list_alive()
