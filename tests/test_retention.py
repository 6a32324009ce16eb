"""Which blocks are retained and which are evicted."""

import pytest

from landingspool.decisions import blocks
from landingspool.decisions import directory
from landingspool.decisions import kv_offload
from landingspool.decisions import records
from landingspool.decisions import retention

SHARES = {'a': 0.5, 'b': 0.5}


def make_block(key, workspace='a', used=0.0, **changes):
    """Return a retained block of one byte."""
    retained = retention.RetainedBlock(
        key, workspace, 's1', 1, 1.0, used, 0, 0
    )
    return retained._replace(**changes)


def fill(plan, workspace, count, now=0.0):
    """Add `count` blocks of a workspace, one a second."""
    for index in range(count):
        retained = make_block(f'{workspace}{index}', workspace, now + index)
        plan.add(retained, SHARES, now + index)


def test_idle_share_is_lent_and_taken_back():
    plan = retention.RetentionPlan('lru', 10)
    fill(plan, 'a', 10)
    assert plan.get_used_bytes('a') == 10
    fill(plan, 'b', 8, 100.0)
    assert (plan.get_used_bytes('a'), plan.get_used_bytes('b')) == (5, 5)


@pytest.mark.parametrize('policy', sorted(retention.POLICIES))
def test_workspace_inside_its_share_loses_nothing_to_another(policy):
    plan = retention.RetentionPlan(policy, 10)
    fill(plan, 'a', 5)
    fill(plan, 'b', 50, 100.0)
    assert plan.get_used_bytes('a') == 5


def test_least_recently_used_goes_first():
    plan = retention.RetentionPlan('lru', 3)
    fill(plan, 'a', 3)
    plan.record_use('a0', 5.0)
    _, evicted = plan.add(make_block('new', used=6.0), SHARES, 6.0)
    assert [retained.key for retained in evicted] == ['a1']


def test_what_returns_often_is_worth_more():
    plan = retention.RetentionPlan('value', 4)
    for index in range(2):
        plan.add(make_block(f'cheap{index}', cost_s=0.1), SHARES, 0.0)
        plan.add(make_block(f'dear{index}', cost_s=5.0), SHARES, 0.0)
    _, evicted = plan.add(make_block('new', cost_s=5.0, used=1.0), SHARES, 1.0)
    assert evicted[0].key.startswith('cheap')


def test_chance_of_return_follows_the_gaps_seen():
    gaps = retention.ReturnGaps()
    for _ in range(50):
        gaps.record_return(100.0)
    assert gaps.estimate_return(90.0) > 10 * gaps.estimate_return(2000.0)


def test_nothing_goes_for_a_block_that_is_not_kept():
    plan = retention.RetentionPlan('value', 2)
    for index in range(2):
        plan.add(make_block(f'dear{index}', cost_s=9.0), SHARES, 0.0)
    retained, evicted = plan.add(make_block('poor', cost_s=0.01), SHARES, 0.0)
    assert (retained, evicted) == (False, [])
    assert len(plan.blocks) == 2


def test_dead_store_takes_its_blocks_with_it():
    plan = retention.RetentionPlan('lru', 10)
    fill(plan, 'a', 3)
    plan.drop_store('s1')
    assert plan.get_used_bytes('a') == 0


RECEIPTS = (
    ('', {}),
    ('key', {'key': 'x'}),
    ('write', {'write': 'x'}),
    ('length', {'length': 4}),
    ('checksum', {'checksum': 'x'}),
    ('seal', {'sealed': False}),
)


@pytest.mark.parametrize('failed, changes', RECEIPTS)
def test_every_part_of_a_receipt_is_checked(failed, changes):
    receipt = blocks.Receipt('k', 'w', 3, 'c', True)
    offered = blocks.Receipt('k', 'w', 3, 'c', True)
    found = blocks.check_receipt(offered, receipt._replace(**changes))
    assert found == failed


SIGNALS = ('seal', 'fail', 'offer', 'evict', 'mismatch', 'free')


def test_no_way_leads_to_a_free_before_the_offer_is_withdrawn():
    for state in blocks.State:
        after = blocks.advance(state, 'free')
        assert after is None or state is blocks.State.WITHDRAWN
    for signal in SIGNALS:
        after = blocks.advance(blocks.State.WRITING, signal)
        assert after is not blocks.State.OFFERED


def test_blocks_of_a_store_that_was_silent_are_still_planned():
    planner = kv_offload.OffloadPlanner('b1', 'lru')
    offers = directory.Directory()
    block = records.Block('k', 's', 'w', 40, 'c')
    listing = [kv_offload.Listed(block, 'a', True, 1.0, 0.1, 0)]
    for capacities in ({'s': 100}, {}, {'s': 100}):
        planner.set_stores(capacities)
        planner.adopt(listing if capacities else [], offers, 10.0)
    assert offers.is_stored('k')
    assert planner.retention.get_stored_bytes('s') == 40
