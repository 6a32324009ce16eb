"""The operators' configuration table, built as a fold over the log.

All readers apply the same records in the same order, so they agree without
exchanging messages.  A publish is accepted if and only if the base revision
of each of its rows is still current at its offset.  The first in log order
wins; the other operator gets a conflict with the row that won.  A second
record with the same edit id is ignored, so an append can safely be retried.
"""

import math
import typing

import msgspec

from landingspool.decisions import decoding
from landingspool.decisions import records

STREAM = 'configuration'
MAX_LIMIT = 1_000_000
MAX_WEIGHT = 1_000_000.0
MAX_REMEMBERED_EDITS = 1024
SNAPSHOT_PREFIX = b'{"snapshot"'

ACCEPTED = 'accepted'
CONFLICT = 'conflict'
DUPLICATE = 'duplicate'
INVALID = 'invalid'


class Publish(typing.NamedTuple):
    """One publish; either all of its rows are applied or none.

    `bases` holds for each row, then for each removed name, the revision
    that the edit was based on (0 for a row that is new).
    """

    edit: str
    author: str
    rows: tuple[records.Row, ...]
    removed: tuple[str, ...]
    bases: tuple[decoding.Whole, ...]
    versions: tuple[tuple[str, str], ...] = ()


class Table(typing.NamedTuple):
    """The configuration at one offset of the log."""

    offset: int = -1
    rows: dict = {}
    edits: tuple = ()
    versions: dict = {}
    by_key: dict = {}


class Result(typing.NamedTuple):
    """Outcome of one record; the same for every reader."""

    offset: int
    edit: str
    outcome: str
    conflicts: tuple = ()
    problems: tuple = ()


class Snapshot(typing.NamedTuple):
    """The complete table as one record, for readers that start late.

    `applied` is the offset of the last record that it includes.
    """

    applied: decoding.Whole
    rows: tuple[records.Row, ...]
    edits: tuple[tuple[str, str], ...]
    versions: tuple[tuple[str, str], ...]


class Entry(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """A record of the log: one publish or one snapshot."""

    publish: Publish | None = None
    snapshot: Snapshot | None = None


ENTRY_DECODER = msgspec.json.Decoder(Entry)


def check_row(row):
    """List the problems of a row.

    >>> good = records.Row('a', 1.0, 0.5, 4, 0, '0' * 64)
    >>> check_row(good)
    ()
    >>> [p.text for p in check_row(good._replace(weight=0.0))]
    ['weight 0.0: expected above 0 and at most 1000000.0']
    """
    problems = []

    def expect(holds, text):
        if not holds:
            problem = records.Problem(row.workspace, INVALID, text)
            problems.append(problem)

    expect(
        0 < len(row.workspace) <= 64 and row.workspace.isprintable(),
        f'workspace {row.workspace!r}: expected 1 to 64 printable characters',
    )
    expect(
        math.isfinite(row.weight) and 0 < row.weight <= MAX_WEIGHT,
        f'weight {row.weight}: expected above 0 and at most {MAX_WEIGHT}',
    )
    expect(0 <= row.share <= 1, f'share {row.share}: expected 0 to 1')
    expect(
        1 <= row.limit <= MAX_LIMIT,
        f'limit {row.limit}: expected 1 to {MAX_LIMIT}',
    )
    expect(0 <= row.priority <= 9, f'priority {row.priority}: expected 0 to 9')
    expect(
        len(row.key_hash) == 64
        and all(c in '0123456789abcdef' for c in row.key_hash),
        'key_hash: expected 64 hexadecimal digits',
    )
    return tuple(problems)


def check_publish(table, publish):
    """List the problems of a publish that is applied to a table."""
    problems = []
    for row in publish.rows:
        problems += check_row(row)
    names = [row.workspace for row in publish.rows] + list(publish.removed)
    if len(set(names)) != len(names):
        text = 'a workspace is named twice'
        problems.append(records.Problem('-', INVALID, text))
    if len(publish.bases) != len(names):
        text = 'expected one base revision for each row'
        problems.append(records.Problem('-', INVALID, text))
    after = apply_rows(table.rows, publish, 0)
    total = sum(row.share for row in after.values())
    if total > 1 + 1e-9:
        text = f'shares add up to {total:.3f}: expected at most 1'
        problems.append(records.Problem('-', INVALID, text))
    hashes = [row.key_hash for row in after.values()]
    if len(set(hashes)) != len(hashes):
        text = 'two workspaces have the same key'
        problems.append(records.Problem('-', INVALID, text))
    return tuple(problems)


def list_conflicts(table, publish):
    """List the rows that have changed since the edit was started."""
    names = [row.workspace for row in publish.rows] + list(publish.removed)
    conflicts = []
    for name, base in zip(names, publish.bases):
        current = table.rows.get(name)
        revision = current.revision if current else 0
        if revision != base:
            conflicts.append((name, base, current))
    return tuple(conflicts)


def apply_rows(rows, publish, offset):
    """Return the rows after a publish at `offset`.

    A revision is one more than the offset, because 0 means no row.
    """
    after = dict(rows)
    for row in publish.rows:
        after[row.workspace] = row._replace(revision=offset + 1)
    for name in publish.removed:
        after.pop(name, None)
    return after


def fold(table, offset, data):
    """Apply one record of the log to the table.

    Parameters
    ----------
    table : Table
    offset : int
        Offset of the record; ignored unless it is after the table's.
    data : bytes
        The record, encoded as JSON.

    Returns
    -------
    tuple of (Table, Result)
    """
    if offset <= table.offset:
        return table, Result(offset, '', DUPLICATE)
    advanced = table._replace(offset=offset)
    try:
        entry = decoding.decode('record', ENTRY_DECODER.decode, data)
    except decoding.Malformed as error:
        problem = records.Problem('-', INVALID, str(error))
        return advanced, Result(offset, '', INVALID, (), (problem,))
    if entry.publish is None:
        # A reader that applies every record ignores snapshots: loading one
        # would revert the publishes that were made after it.
        return advanced, Result(offset, '', DUPLICATE)
    return fold_publish(advanced, entry.publish)


def fold_publish(table, publish):
    """Apply a publish at the table's own offset."""
    offset = table.offset
    if get_edit_outcome(table, publish.edit) is not None:
        return table, Result(offset, publish.edit, DUPLICATE)
    problems = check_publish(table, publish)
    conflicts = () if problems else list_conflicts(table, publish)
    outcome = INVALID if problems else CONFLICT if conflicts else ACCEPTED
    edits = (*table.edits, (publish.edit, outcome))[-MAX_REMEMBERED_EDITS:]
    after = table._replace(edits=edits)
    if outcome == ACCEPTED:
        rows = apply_rows(table.rows, publish, offset)
        versions = {**table.versions, **dict(publish.versions)}
        after = index_keys(after._replace(rows=rows, versions=versions))
    result = Result(offset, publish.edit, outcome, conflicts, problems)
    return after, result


def restore(first, entries):
    """Build the table from the records that the log still retains.

    Parameters
    ----------
    first : int
        The first offset that the log retains.
    entries : sequence of (int, bytes)
        The retained records with their offsets, in offset order.

    Returns
    -------
    tuple of (Table or None, list of Result)
        The table is None if records are missing and no snapshot covers
        them: a box without the complete configuration must not serve.
    """
    table = Table()
    if first > 0:
        table = load_newest_snapshot(first, entries)
    if table is None:
        return None, []
    results = []
    for offset, data in entries:
        table, result = fold(table, offset, data)
        results.append(result)
    return table, results


def load_newest_snapshot(first, entries):
    """Return the table of the newest snapshot without a gap, or None."""
    for _, data in reversed(entries):
        snapshot = read_snapshot(data)
        if snapshot is not None and snapshot.applied >= first - 1:
            return load_snapshot(snapshot)
    return None


def read_snapshot(data):
    """Return the snapshot that a record contains, or None."""
    if not data.startswith(SNAPSHOT_PREFIX):
        return None
    try:
        entry = decoding.decode('snapshot', ENTRY_DECODER.decode, data)
    except decoding.Malformed:
        return None
    return entry.snapshot


def load_snapshot(snapshot):
    """Return the table that a snapshot describes."""
    table = Table(
        offset=snapshot.applied,
        rows={row.workspace: row for row in snapshot.rows},
        edits=snapshot.edits,
        versions=dict(snapshot.versions),
    )
    return index_keys(table)


def index_keys(table):
    """Return the table with an index from key hash to workspace."""
    by_key = {row.key_hash: name for name, row in table.rows.items()}
    return table._replace(by_key=by_key)


def get_edit_outcome(table, edit):
    """Return the outcome of an edit id, or None if it is unknown."""
    for seen, outcome in reversed(table.edits):
        if seen == edit:
            return outcome
    return None


def take_snapshot(table):
    """Return the snapshot of a table; it is the same on every box."""
    rows = tuple(table.rows[name] for name in sorted(table.rows))
    versions = tuple(sorted(table.versions.items()))
    return Snapshot(table.offset, rows, table.edits, versions)


def encode_publish(publish):
    """Encode a publish as a record for the log."""
    return msgspec.json.encode(Entry(publish=publish))


def encode_snapshot(snapshot):
    """Encode a snapshot as a record for the log."""
    return msgspec.json.encode(Entry(snapshot=snapshot))
