"""Every fault at every step, and pairs of faults; audited afterwards."""

import pytest

from tests.matrix import table
from tests.virtual import audit

# A killed process leaves coroutines that nobody will ever await.
pytestmark = pytest.mark.filterwarnings('ignore:coroutine .* never awaited')


@pytest.mark.parametrize('cell', table.list_cells(), ids=table.name_cell)
def test_cell(cell, record_property):
    plan, world = table.run_cell(cell)
    record_property('cell', 'single')
    assert not plan.pending, 'the step was not reached'
    assert audit.check_all(world) == []


@pytest.mark.parametrize('cell', table.list_pairs(), ids=table.name_cell)
def test_pair(cell, record_property):
    plan, world = table.run_cell(cell)
    # The first fault may keep the run from reaching the second's step.
    record_property('cell', 'pair' if not plan.pending else 'pair, one only')
    assert audit.check_all(world) == []


@pytest.mark.parametrize('seed', range(2, 7))
@pytest.mark.parametrize('story', sorted(set(table.STEPS.values())))
def test_story_without_faults(story, seed):
    plan, world = table.run_cell((story, ()), seed)
    assert audit.check_all(world) == []
    if story in ('serve', 'keep', 'swap', 'leaving'):
        # With no fault, every request is answered in whole.
        assert all(sent.answers[-1].whole for sent in world.answers)
