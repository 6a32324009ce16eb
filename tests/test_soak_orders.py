"""Which orders the soak takes for those of two boxes at a time."""

import asyncio
import itertools
import json
import random

import pytest

from soak import fleet as fleet_module
from soak import orders
from soak import returns
from standins import runner as runner_module

TAKEN, BUSY, LOWER = 202, 409, 412


@pytest.fixture(name='fleet')
def make_fleet(tmp_path):
    fleet = fleet_module.Fleet(tmp_path, 0)
    fleet.runners = [runner_module.Runner(f'engine{i}') for i in range(2)]
    return fleet


def judge(fleet, *rows):
    """Note orders; returns what is reported.

    Parameters
    ----------
    rows : tuple of (float, int, str, int) or (float, int, str, int, int)
        When it came, the number of its target, its holder, its fence, and the
        status of its answer; it was taken where none is given.
    """
    for arrived, number, holder, fence, *status in rows:
        row = runner_module.JudgedOrder(
            arrived, holder, fence, *(status or [TAKEN]), arrived
        )
        fleet.runners[number].judged.append(row)
    return orders.check_orders(fleet, [])


def test_one_holder_after_another_is_allowed(fleet):
    assert not judge(
        fleet,
        (1.0, 0, 'a', 1),
        (2.0, 1, 'a', 1),
        (6.0, 0, 'b', 4),
        (7.0, 1, 'b', 5),
        (11.0, 0, 'a', 6),
    )


@pytest.mark.parametrize('status', [TAKEN, BUSY, LOWER])
@pytest.mark.parametrize('number', [0, 1])
def test_a_fence_of_two_holders_is_reported(fleet, number, status):
    found = judge(fleet, (1.0, 0, 'a', 1), (60.0, number, 'b', 1, status))
    assert len(found) == 1 and 'fence 1 of 2 boxes' in found[0]


def test_a_lower_fence_that_is_taken_is_reported(fleet):
    found = judge(fleet, (1.0, 0, 'a', 4), (9.0, 0, 'b', 3))
    assert found == ['engine0: took fence 3 of b after 4 of a']


def test_a_lower_fence_that_is_refused_or_elsewhere_is_not_reported(fleet):
    assert not judge(
        fleet,
        (1.0, 0, 'a', 4),
        (9.0, 0, 'b', 3, LOWER),
        (9.1, 1, 'b', 3),
    )


@pytest.mark.parametrize('number', [0, 1])
@pytest.mark.parametrize('fence', [1, 2, 3])
def test_a_former_holder_that_goes_on_under_no_higher_fence_is_reported(
    fleet, number, fence
):
    found = judge(
        fleet,
        (1.0, 0, 'a', 2),
        (5.0, 1, 'b', 4),
        (60.0, number, 'a', fence, LOWER),
    )
    assert len(found) == 1 and found[0].startswith('turns: ')


def test_a_former_holder_that_goes_on_within_a_lease_is_reported(fleet):
    found = judge(fleet, (1.0, 0, 'a', 2), (1.5, 1, 'b', 4), (3.9, 0, 'a', 6))
    assert len(found) == 1 and found[0].startswith('turns: ')


def test_an_order_of_another_box_that_nobody_took_begins_no_turn(fleet):
    assert not judge(
        fleet,
        (1.0, 0, 'a', 4),
        (2.0, 0, 'b', 3, LOWER),
        (3.0, 0, 'a', 4),
    )


@pytest.mark.parametrize('name', ['a', 'engine0'])
def test_an_order_that_was_held_on_its_way_is_no_turn(fleet, name):
    rows = (1.0, 0, 'a', 2), (5.0, 1, 'b', 4), (6.0, 0, 'a', 2)
    fleet.holds = [fleet_module.Hold(name, 4.0, 6.0 - orders.SLACK_S / 2)]
    assert not judge(fleet, *rows)
    fleet.holds = [fleet_module.Hold(name, 4.0, 6.0 - orders.SLACK_S * 2)]
    assert judge(fleet)


def test_an_order_counts_from_when_it_came_not_from_when_it_was_carried_out(
    fleet,
):
    late = runner_module.JudgedOrder(9.0, 'a', 2, TAKEN, 1.0)
    fleet.runners[0].judged.append(late)
    assert not judge(fleet, (0.5, 1, 'a', 2), (5.0, 1, 'b', 4))


def open_fleet(fleet, monkeypatch, use=None):
    """Open a fleet without its boxes' processes, use it, and close it."""

    async def open_nothing(box, seeds):
        await box.wire.start()

    async def main():
        await fleet.open(random.Random(1))
        try:
            if use is not None:
                await use()
        finally:
            await fleet.close()

    monkeypatch.setattr(fleet_module.Box, 'open', open_nothing)
    asyncio.run(main())


@pytest.mark.parametrize('domains', [0, 3])
def test_each_box_has_an_address_of_its_own(tmp_path, monkeypatch, domains):
    fleet = fleet_module.Fleet(tmp_path, 9, domains=domains)
    open_fleet(fleet, monkeypatch)
    ips = {box.ip for box in fleet.boxes}
    assert len(ips) == len(fleet.boxes) >= fleet_module.SMALL
    assert fleet.store.address[0] not in ips
    if domains:
        assert len({box.domain for box in fleet.boxes}) == domains


def test_a_return_loses_what_boxes_wrote_and_keeps_the_newest_table(
    tmp_path, monkeypatch
):
    fleet = fleet_module.Fleet(tmp_path, 9)
    claims = fleet.store.topic('keyed.claims')

    async def use():
        copied = returns.take_copy(fleet)
        claims.append('claim', b'{}')
        fleet.revoke()
        await returns.go_and_return(fleet, copied, 0.0)

    open_fleet(fleet, monkeypatch, use)
    table, _ = fleet.store.topic('keyed.op').newest['config']
    assert claims.end == 0
    assert json.loads(table)['tenants'][0]['api_keys'] == ['k1', 'k2']
    assert len(fleet.returns) == len(fleet.harms) == 1


def test_two_returns_at_a_time_come_one_after_another(tmp_path, monkeypatch):
    monkeypatch.setattr(returns, 'COPY_AGE_S', (0.0, 0.05))
    monkeypatch.setattr(returns, 'AGAIN_S', (0.0, 0.05))
    monkeypatch.setattr(returns, 'AWAY_S', (0.05, 0.1))
    monkeypatch.setattr(returns, 'AGAIN_SHARE', 1.0)
    fleet = fleet_module.Fleet(tmp_path, 9)

    async def use():
        rngs = [random.Random(seed) for seed in range(3)]
        await asyncio.gather(
            *(returns.return_from_copy(fleet, rng) for rng in rngs)
        )
        assert fleet.store.is_open
        await asyncio.open_connection(*fleet.store.address)

    open_fleet(fleet, monkeypatch, use)
    assert len(fleet.returns) == 6
    for one, other in itertools.pairwise(fleet.returns):
        assert one.back <= other.left
