"""What context is kept, and what goes."""

import pytest

from landingspool.decisions import blocks
from landingspool.decisions import retention

SHARES = {'a': 0.5, 'b': 0.5}


def make_kept(key, workspace='a', used=0.0, **changes):
    """Give a block of one byte."""
    kept = retention.Kept(key, workspace, 's1', 1, 1.0, used, 0, 0)
    return kept._replace(**changes)


def fill(shelf, workspace, count, now=0.0):
    """Keep so many blocks of a workspace."""
    for index in range(count):
        kept = make_kept(f'{workspace}{index}', workspace, now + index)
        shelf.add(kept, SHARES, now + index)


def test_idle_share_is_lent_and_taken_back():
    shelf = retention.Shelf('lru', 10)
    fill(shelf, 'a', 10)
    assert shelf.get_used('a') == 10
    fill(shelf, 'b', 8, 100.0)
    assert (shelf.get_used('a'), shelf.get_used('b')) == (5, 5)


@pytest.mark.parametrize('policy', sorted(retention.POLICIES))
def test_workspace_inside_its_share_loses_nothing_to_another(policy):
    shelf = retention.Shelf(policy, 10)
    fill(shelf, 'a', 5)
    fill(shelf, 'b', 50, 100.0)
    assert shelf.get_used('a') == 5


def test_least_recently_used_goes_first():
    shelf = retention.Shelf('lru', 3)
    fill(shelf, 'a', 3)
    shelf.record_use('a0', 5.0)
    _, gone = shelf.add(make_kept('new', used=6.0), SHARES, 6.0)
    assert [kept.key for kept in gone] == ['a1']


def test_what_returns_often_is_worth_more():
    shelf = retention.Shelf('value', 4)
    for index in range(2):
        shelf.add(make_kept(f'cheap{index}', cost_s=0.1), SHARES, 0.0)
        shelf.add(make_kept(f'dear{index}', cost_s=5.0), SHARES, 0.0)
    _, gone = shelf.add(make_kept('new', cost_s=5.0, used=1.0), SHARES, 1.0)
    assert gone[0].key.startswith('cheap')


def test_chance_of_return_follows_the_gaps_seen():
    gaps = retention.Gaps()
    for _ in range(50):
        gaps.record_return(100.0)
    assert gaps.estimate_return(90.0) > 10 * gaps.estimate_return(2000.0)


def test_nothing_goes_for_a_block_that_is_not_kept():
    shelf = retention.Shelf('value', 2)
    for index in range(2):
        shelf.add(make_kept(f'dear{index}', cost_s=9.0), SHARES, 0.0)
    kept, gone = shelf.add(make_kept('poor', cost_s=0.01), SHARES, 0.0)
    assert (kept, gone) == (False, [])
    assert len(shelf.kept) == 2


def test_dead_store_takes_its_blocks_with_it():
    shelf = retention.Shelf('lru', 10)
    fill(shelf, 'a', 3)
    shelf.drop_store('s1')
    assert shelf.get_used('a') == 0


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
