"""The configuration table, folded from the log."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from landingspool.decisions import configuration
from landingspool.decisions import identity
from landingspool.decisions import records


def make_row(name, **changes):
    """Return a valid row."""
    row = records.Row(name, 1.0, 0.1, 4, 0, identity.hash_key(name))
    return row._replace(**changes)


def make_record(edit, rows=(), removed=(), bases=None):
    """Return the encoded record of a publish."""
    if bases is None:
        bases = (0,) * (len(rows) + len(removed))
    publish = configuration.Publish(
        edit, 'x', tuple(rows), tuple(removed), tuple(bases)
    )
    return configuration.encode_publish(publish)


def fold_all(data, table=None):
    """Fold records in order and return the table and the outcomes."""
    table, outcomes = table or configuration.Table(), []
    for record in data:
        offset = table.offset + 1
        table, result = configuration.fold(table, offset, record)
        outcomes.append(result.outcome)
    return table, outcomes


def test_first_of_two_edits_of_one_row_wins():
    table, outcomes = fold_all(
        [
            make_record('e1', [make_row('a')]),
            make_record('e2', [make_row('a', limit=5)], bases=(0,)),
        ]
    )
    assert outcomes == ['accepted', 'conflict']
    assert table.rows['a'].limit == 4


def test_edits_of_different_rows_are_both_accepted():
    _, outcomes = fold_all(
        [
            make_record('e1', [make_row('a')]),
            make_record('e2', [make_row('b')]),
        ]
    )
    assert outcomes == ['accepted', 'accepted']


def test_publish_is_accepted_in_whole_or_not_at_all():
    table, outcomes = fold_all(
        [
            make_record('e1', [make_row('a')]),
            make_record('e2', [make_row('b'), make_row('a')]),
        ]
    )
    assert outcomes[1] == 'conflict'
    assert 'b' not in table.rows


def test_second_record_of_an_edit_changes_nothing():
    record = make_record('e1', [make_row('a')])
    table, outcomes = fold_all([record, record])
    assert outcomes == ['accepted', 'duplicate']
    assert table.rows['a'].revision == 1


def test_row_that_was_removed_can_not_be_edited_from_its_old_base():
    _, outcomes = fold_all(
        [
            make_record('e1', [make_row('a')]),
            make_record('e2', (), ['a'], (1,)),
            make_record('e3', [make_row('a')], bases=(1,)),
        ]
    )
    assert outcomes == ['accepted', 'accepted', 'conflict']


BAD_RECORDS = (
    make_record('e', [make_row('a', weight=0.0)]),
    make_record('e', [make_row('a', weight=float('inf'))]),
    make_record('e', [make_row('a', share=1.5)]),
    make_record('e', [make_row('a', limit=0)]),
    make_record('e', [make_row('a', priority=10)]),
    make_record('e', [make_row('a', key_hash='xyz')]),
    make_record('e', [make_row('a', workspace='')]),
    make_record('e', [make_row('a'), make_row('a')]),
    make_record('e', [make_row('a')], bases=()),
    make_record('e', [make_row('a', share=0.6), make_row('b', share=0.6)]),
    make_record('e', [make_row('a'), make_row('b', key_hash='0' * 64)])[:-9],
    b'',
    b'{}',
    b'[1, 2]',
    b'{"publish": 3}',
    b'\xff\xfe',
)


@pytest.mark.parametrize('data', BAD_RECORDS)
def test_bad_record_changes_no_row(data):
    before, _ = fold_all([make_record('e1', [make_row('z', share=0.0)])])
    after, result = configuration.fold(before, 1, data)
    assert result.outcome in ('invalid', 'duplicate')
    assert (after.rows, after.offset) == (before.rows, 1)


def test_late_reader_with_a_snapshot_agrees_with_the_others():
    data = [
        make_record('e1', [make_row('a')]),
        make_record('e2', [make_row('b')]),
    ]
    table, _ = fold_all(data)
    snapshot = configuration.take_snapshot(table)
    data.append(configuration.encode_snapshot(snapshot))
    data.append(make_record('e3', [make_row('b', limit=9)], bases=(2,)))
    table, _ = fold_all(data)
    retained = list(enumerate(data))[2:]
    late, _ = configuration.restore(2, retained)
    assert late == table


def test_late_reader_without_a_snapshot_has_no_table():
    retained = [(2, make_record('e3', [make_row('b')]))]
    assert configuration.restore(2, retained) == (None, [])


def test_snapshot_with_a_gap_behind_it_is_not_taken():
    table, _ = fold_all([make_record('e1', [make_row('a')])])
    snapshot = configuration.take_snapshot(table)
    retained = [(5, configuration.encode_snapshot(snapshot))]
    assert configuration.restore(5, retained) == (None, [])


@hypothesis.settings(
    max_examples=60, derandomize=True, deadline=None, database=None
)
@hypothesis.given(strategies.integers(0, 2**32))
def test_readers_agree_wherever_they_start(seed):
    rng = random.Random(seed)
    data, table = [], configuration.Table()
    for number in range(30):
        name = rng.choice('abc')
        current = table.rows.get(name)
        base = current.revision if current and rng.random() < 0.7 else 0
        edit = f'e{rng.randrange(25)}'
        row = make_row(name, limit=1 + number)
        record = make_record(edit, [row], bases=(base,))
        if rng.random() < 0.2:
            snapshot = configuration.take_snapshot(table)
            record = configuration.encode_snapshot(snapshot)
        data.append(record)
        table, _ = configuration.fold(table, number, record)
    entries = list(enumerate(data))
    for first in range(30):
        late, _ = configuration.restore(first, entries[first:])
        assert late is None or late == table
