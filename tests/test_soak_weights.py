"""Which requests on old weights the soak reports."""

import pytest

from soak import fleet as fleet_module
from soak import weights
from standins import runner as runner_module

NAMED = 100.0
BOUND = NAMED + fleet_module.VERSION_S
ID = 'x-landingspool-request-id'


@pytest.fixture(name='fleet')
def make_fleet(tmp_path):
    fleet = fleet_module.Fleet(tmp_path, 0)
    fleet.named = {1: 0.0, 2: NAMED}
    box = fleet_module.Box('box0', '127.0.0.1', ('127.0.0.1', 1), tmp_path)
    box.starts = [0.0]
    fleet.boxes = [box]
    fleet.runners = [runner_module.Runner('engine0')]
    fleet.runners[0].service = 'engine'
    return fleet


def run(fleet, at, version=1):
    """Let a request of the box begin; returns how many are reported."""
    name = 'request box0'
    fleet.runners[0].ran = [{ID: name, 'at': at, 'version': version}]
    return len(weights.check_weights(fleet, []))


def test_old_weights_past_the_bound_are_reported(fleet):
    assert run(fleet, BOUND + 0.1) == 1
    assert run(fleet, BOUND - 0.1) == 0
    assert run(fleet, BOUND + 0.1, version=2) == 0


def test_a_second_version_does_not_put_off_the_bound_of_the_first(fleet):
    fleet.named[3] = BOUND - 1.0
    assert run(fleet, BOUND + 0.1) == 1
    assert run(fleet, BOUND + 0.1, version=2) == 0


def test_a_restart_excuses_a_box_for_three_seconds(fleet):
    fleet.boxes[0].starts.append(BOUND)
    assert run(fleet, BOUND + 2.9) == 0
    assert run(fleet, BOUND + 3.1) == 1


@pytest.mark.parametrize('boxes', [frozenset(), frozenset(['box0'])])
def test_the_bound_begins_when_a_box_can_read_the_store(fleet, boxes):
    fleet.harms.append([NAMED - 1.0, NAMED + 2.0, boxes])
    assert run(fleet, BOUND + 4.9) == 0
    assert run(fleet, BOUND + 5.1) == 1


def test_a_store_away_after_the_naming_does_not_put_off_the_bound(fleet):
    fleet.harms.append([NAMED + 1.0, BOUND - 2.0, frozenset()])
    assert run(fleet, BOUND + 0.9) == 0
    assert run(fleet, BOUND + 1.1) == 1


def test_a_box_that_stood_still_or_a_bad_path_is_excused(fleet):
    for name in 'box0', 'engine0':
        fleet.holds = [fleet_module.Hold(name, BOUND - 2.0, BOUND - 1.0)]
        assert run(fleet, BOUND + 1.9) == 0
        assert run(fleet, BOUND + 2.1) == 1
