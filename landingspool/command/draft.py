"""Drafts of the configuration table as CSV files, for use in spreadsheets.

The functions here convert text to rows and problems; none of them does I/O.
The column `revision` holds the revision that each row was based on, so that
a publish detects that another operator has changed the row since then.
"""

import csv
import io
import typing

from landingspool.decisions import configuration
from landingspool.decisions import records

COLUMNS = records.Row._fields
CONVERTERS = {
    'workspace': str,
    'weight': float,
    'share': float,
    'limit': int,
    'priority': int,
    'key_hash': str,
    'revision': int,
}


class Problem(typing.NamedTuple):
    """A problem in a draft; line 0 if it belongs to no line of the file."""

    line: int
    text: str


class Change(typing.NamedTuple):
    """One difference between a draft and the table in force."""

    workspace: str
    kind: str
    before: records.Row | None
    after: records.Row | None


def read_rows(text):
    """Parse the rows of CSV text.

    Returns
    -------
    tuple of (list of records.Row, list of Problem)

    >>> rows, problems = read_rows('workspace,weight\\na,x\\n')
    >>> problems[0].text.split(':')[0]
    'columns missing'
    """
    reader = csv.DictReader(io.StringIO(text, newline=''))
    expected = [name for name in COLUMNS if name != 'revision']
    missing = [n for n in expected if n not in (reader.fieldnames or ())]
    if missing:
        return [], [Problem(1, f'columns missing: {", ".join(missing)}')]
    rows, problems = [], []
    for line, values in enumerate(reader, 2):
        row, found = read_row(line, values)
        problems += found
        if row is not None:
            rows.append(row)
    return rows, problems


def read_row(line, values):
    """Convert and check one row; returns (Row or None, list of Problem)."""
    fields, problems = {}, []
    for name, convert in CONVERTERS.items():
        text = (values.get(name) or '').strip()
        if name == 'revision' and not text:
            text = '0'
        try:
            fields[name] = convert(text)
        except ValueError:
            type_name = convert.__name__
            problem = Problem(line, f'{name} = {text!r}: expected {type_name}')
            problems.append(problem)
    if problems:
        return None, problems
    row = records.Row(**fields)
    found = configuration.check_row(row)
    return row, [Problem(line, problem.text) for problem in found]


def format_rows(rows):
    """Return the CSV text of rows.

    >>> row = records.Row('a', 1.0, 0.5, 4, 0, 'ff', 7)
    >>> print(format_rows([row]), end='')
    workspace,weight,share,limit,priority,key_hash,revision
    a,1.0,0.5,4,0,ff,7
    """
    sink = io.StringIO(newline='')
    writer = csv.writer(sink, lineterminator='\n')
    writer.writerow(COLUMNS)
    writer.writerows(rows)
    return sink.getvalue()


def compare(draft, table):
    """List the changes that a draft would make to the table in force.

    Parameters
    ----------
    draft, table : list of records.Row
    """
    before = {row.workspace: row for row in table}
    after = {row.workspace: row for row in draft}
    changes = []
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if old is None:
            changes.append(Change(name, 'added', None, new))
        elif new is None:
            changes.append(Change(name, 'removed', old, None))
        elif old._replace(revision=0) != new._replace(revision=0):
            changes.append(Change(name, 'changed', old, new))
    return changes


def rebase(draft, table):
    """Return the draft with the revisions of the table in force.

    This is for rows from another source, which have no revisions.  A row
    that is not in the table gets revision 0.
    """
    revisions = {row.workspace: row.revision for row in table}
    return [r._replace(revision=revisions.get(r.workspace, 0)) for r in draft]


def set_columns(row, changes):
    """Change columns of a row.

    Parameters
    ----------
    row : records.Row
    changes : list of str
        Each has the form ``column=value``.

    Returns
    -------
    tuple of (Row, list of Problem)
    """
    values = {name: str(value) for name, value in row._asdict().items()}
    problems = []
    for change in changes:
        name, equals, value = change.partition('=')
        if not equals or name not in CONVERTERS:
            text = f'{change!r}: expected column=value with one of '
            problems.append(Problem(0, text + ', '.join(COLUMNS)))
        else:
            values[name] = value
    edited, found = read_row(0, values)
    return edited or row, problems + found


def make_publish(changes):
    """Return the fields of a publish request for a list of changes."""
    rows = [c.after for c in changes if c.after is not None]
    removed = [c for c in changes if c.after is None]
    bases = [row.revision for row in rows]
    bases += [change.before.revision for change in removed]
    return {
        'rows': [row._asdict() for row in rows],
        'removed': [change.workspace for change in removed],
        'bases': bases,
    }
