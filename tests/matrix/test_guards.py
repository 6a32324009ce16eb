"""Each guard: a cell that fails without it, and passes with it."""

import pytest

from tests.matrix import guards
from tests.matrix import table
from tests.virtual import audit


def name_guard(guard):
    """Give the name of a guard for reports."""
    return f'{guard.point}: {guard.name}'


@pytest.mark.parametrize('guard', guards.GUARDS, ids=name_guard)
def test_cell_fails_without_the_guard_and_passes_with_it(guard, monkeypatch):
    with monkeypatch.context() as patch:
        guard.remove(patch)
        _, world = table.run_cell(guard.cell)
        without = audit.check_all(world)
    assert any(text.startswith(guard.check + ':') for text in without)
    plan, world = table.run_cell(guard.cell)
    assert not plan.pending
    assert audit.check_all(world) == []
