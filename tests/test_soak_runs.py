"""Which requests the soak reports that ran on a target."""

import pytest

from soak import __main__ as soak_main
from soak import auditor
from soak import callers
from soak import fleet as fleet_module
from soak import misbehaving
from standins import runner as runner_module

GONE = 100.0
LATE = GONE + fleet_module.KEY_S + 0.1
ID = 'x-landingspool-request-id'


@pytest.fixture(name='fleet')
def make_fleet(tmp_path):
    fleet = fleet_module.Fleet(tmp_path, 0)
    fleet.runners = [runner_module.Runner('engine0')]
    return fleet


def run(fleet, at, key='k0', **head):
    """Let a request run; returns the Sent of it."""
    fleet.runners[0].ran = [{ID: 'c0-1', 'at': at, **head}]
    return callers.Sent(
        'c0-1', 'box0', 'safe', key, at, 200, True, b'c0-1', True, 0.1
    )


def test_a_request_with_a_key_that_is_gone_is_reported(fleet):
    fleet.keys['k0'] = GONE
    assert auditor.check_keys(fleet, [run(fleet, LATE)])
    assert not auditor.check_keys(fleet, [run(fleet, GONE + 1.0)])
    assert not auditor.check_keys(fleet, [run(fleet, LATE, key='k1')])


def test_a_store_that_was_away_puts_off_no_bound_of_keys(fleet):
    fleet.keys['k0'] = GONE
    fleet.harms.append([GONE - 1.0, GONE + 2.0, frozenset()])
    assert auditor.check_keys(fleet, [run(fleet, LATE)])


def test_a_request_at_a_target_that_leaves_is_reported(fleet):
    fleet.left['engine0'] = GONE
    assert auditor.check_leaving(fleet, [run(fleet, LATE)])
    assert not auditor.check_leaving(fleet, [run(fleet, GONE + 1.0)])
    fleet.harms.append([GONE - 1.0, GONE + 2.0, frozenset()])
    assert not auditor.check_leaving(fleet, [run(fleet, LATE)])


def test_a_key_that_reached_a_target_is_reported(fleet):
    row = run(fleet, GONE, authorization='Bearer k0')
    assert 'its key reached engine0' in auditor.audit(fleet, [row])[0]


def test_a_check_is_known_red_for_all_seeds_or_for_the_one_named(
    tmp_path, monkeypatch
):
    listed = tmp_path / 'KNOWN-RED.txt'
    listed.write_text('a::one[4], seen\na::other, seen\n')
    monkeypatch.setattr(soak_main, 'KNOWN_RED', listed)
    assert soak_main.is_known_red('a::one', 4)
    assert not soak_main.is_known_red('a::one', 5)
    assert soak_main.is_known_red('a::other', 5)
    assert not soak_main.is_known_red('a::o', 4)


def test_what_a_known_red_check_reports_stands_apart(
    fleet, tmp_path, monkeypatch
):
    listed = tmp_path / 'KNOWN-RED.txt'
    listed.write_text('soak/auditor.py::check_keys[2], seen\n')
    monkeypatch.setattr(soak_main, 'KNOWN_RED', listed)
    fleet.keys['k0'] = GONE
    row = run(fleet, LATE)
    problems, known = soak_main.run_checks(fleet, [row], 2)
    assert not problems and known
    problems, known = soak_main.run_checks(fleet, [row], 3)
    assert problems and not known


def test_what_incomplete_requests_bring_about_is_reported(fleet):
    fleet.peaks['box0'] = fleet_module.MEMORY_MB << 20
    run(fleet, LATE)
    assert not soak_main.run_checks(fleet, [], 1)[0]
    fleet.peaks['box0'] += 1
    run(fleet, LATE, **{ID: misbehaving.NAME})
    assert misbehaving.check_memory(fleet, [])
    assert misbehaving.check_incomplete(fleet, [])
