"""Commands on the operators' table: `landingspool table ...`."""

import asyncio
import getpass
import json
import pathlib
import secrets
import uuid

from cleo.helpers import argument
from cleo.helpers import option

from landingspool.command import base
from landingspool.command import draft
from landingspool.command import remote
from landingspool.decisions import identity
from landingspool.decisions import records
from landingspool import boot_clock

FORCE_WAIT_S = 18.0
FORCE_POLL_S = 0.25
FILE = argument('file', 'CSV file of the draft.')


async def fetch_table(boxes):
    """Give the rows in force and the whole answer."""
    table = await boxes.ask('GET', '/admin/table')
    return [records.Row(**row) for row in table['rows']], table


class Show(base.Base):
    """table show"""

    name = 'table show'
    description = 'Show the table in force.'

    async def act(self, boxes):
        """Print the rows."""
        rows, table = await fetch_table(boxes)
        self.show(table, draft.COLUMNS, sorted(rows))
        if not self.option('json'):
            self.line(f'offset {table["offset"]}')
            for model, version in sorted(table['versions'].items()):
                self.line(f'version {model} {version}')
        return base.OK


class Export(base.Base):
    """table export"""

    name = 'table export'
    description = 'Write the table in force to a CSV file, to be edited.'
    arguments = [FILE]

    async def act(self, boxes):
        """Write the file."""
        rows, _ = await fetch_table(boxes)
        path = pathlib.Path(self.argument('file'))
        path.write_text(draft.write_rows(sorted(rows)))
        self.line(f'{len(rows)} rows written to {path}')
        return base.OK


class Import(base.Base):
    """table import"""

    name = 'table import'
    description = 'Make a draft from a CSV file of another source.'
    help = 'Its rows get the revisions in force now as their base.'
    arguments = [argument('source', 'CSV file to read.'), FILE]

    async def act(self, boxes):
        """Read, check, rebase, write."""
        source = pathlib.Path(self.argument('source')).read_text()
        rows, problems = draft.read_rows(source)
        if problems:
            return self.refuse(problems)
        table, _ = await fetch_table(boxes)
        path = pathlib.Path(self.argument('file'))
        path.write_text(draft.write_rows(draft.rebase(rows, table)))
        self.line(f'{len(rows)} rows written to {path}')
        return base.OK


class Edit(base.Base):
    """table edit"""

    name = 'table edit'
    description = 'Change columns of one row of a draft.'
    help = (
        'Example: landingspool table edit draft.csv botany weight=2 limit=8\n'
        'A workspace that is not in the draft is added; with --new-key it '
        'gets a new bearer key, which is printed once.'
    )
    arguments = [
        FILE,
        argument('workspace', 'Name of the row.'),
        argument('changes', 'column=value', optional=True, multiple=True),
    ]
    options = [
        *base.REMOTE_OPTIONS,
        option('new-key', None, 'Make a new bearer key.', flag=True),
        option('remove', None, 'Remove the row.', flag=True),
    ]

    def handle(self):
        """Edit the file; no box is asked."""
        path = pathlib.Path(self.argument('file'))
        try:
            text = path.read_text()
        except OSError as error:
            self.line_error(f'{path}: {error.strerror}')
            return base.BAD_INPUT
        rows, problems = draft.read_rows(text)
        if problems:
            return self.refuse(problems)
        return self._edit(path, rows)

    def _edit(self, path, rows):
        name = self.argument('workspace')
        known = {row.workspace: row for row in rows}
        row = known.get(name)
        if self.option('remove'):
            known.pop(name, None)
            path.write_text(draft.write_rows(known.values()))
            return base.OK
        key = secrets.token_urlsafe(24) if self.option('new-key') else ''
        if row is None:
            key_hash = identity.hash_key(key)
            row = records.Row(name, 1.0, 0.0, 1, 0, key_hash)
        elif key:
            row = row._replace(key_hash=identity.hash_key(key))
        row, problems = draft.set_columns(row, self.argument('changes'))
        if problems:
            return self.refuse(problems)
        known[row.workspace] = row
        path.write_text(draft.write_rows(known.values()))
        if key:
            self.line(f'key of {name}: {key}')
        return base.OK


class Diff(base.Base):
    """table diff"""

    name = 'table diff'
    description = 'Show what a draft would change.'
    arguments = [FILE]

    async def act(self, boxes):
        """Print the changes row by row."""
        rows, problems = draft.read_rows(
            pathlib.Path(self.argument('file')).read_text()
        )
        if problems:
            return self.refuse(problems)
        table, _ = await fetch_table(boxes)
        changes = draft.compare(rows, table)
        value = [list_change(change) for change in changes]
        self.show(value, ('workspace', 'kind', 'columns'), value)
        return base.OK


class Publish(base.Base):
    """table publish"""

    name = 'table publish'
    description = 'Publish a draft and show where it is in force.'
    help = (
        'Exit status: 0 in force at all boxes, 1 not published, 2 the draft '
        'is wrong, 3 another operator was faster, 4 accepted but some boxes '
        'were not heard in time.'
    )
    arguments = [FILE]
    options = [
        *base.REMOTE_OPTIONS,
        option(
            'load',
            None,
            'MODEL=VERSION of weights to load.',
            flag=False,
            multiple=True,
        ),
        option('author', None, 'Who publishes.', flag=False),
    ]

    async def act(self, boxes):
        """Publish, then follow it over the boxes."""
        text = pathlib.Path(self.argument('file')).read_text()
        rows, problems = draft.read_rows(text)
        if problems:
            return self.refuse(problems)
        table, _ = await fetch_table(boxes)
        changes = draft.compare(rows, table)
        versions, wrong = read_versions(self.option('load') or [])
        if wrong:
            return self.refuse(wrong)
        if not changes and not versions:
            self.line('nothing to publish')
            return base.OK
        publish = draft.make_publish(changes)
        publish['author'] = self.option('author') or getpass.getuser()
        publish['versions'] = versions
        publish['edit'] = uuid.uuid4().hex
        result = await self._send(boxes, publish)
        return await SHOWN[result['outcome']](self, boxes, result)

    async def _send(self, boxes, publish):
        # Another box may be asked with the same edit id when one is gone
        # in the middle: the second record of an edit changes nothing.
        try:
            return await boxes.ask('POST', '/admin/publish', publish)
        except remote.Failure:
            edit = publish['edit']
            known = await boxes.ask('GET', f'/admin/edit?edit={edit}')
            if known['outcome'] != 'not_heard':
                return known
            return await boxes.ask('POST', '/admin/publish', publish)

    async def _show_accepted(self, boxes, result):
        offset = result['offset']
        self.line(f'accepted at offset {offset}')
        deadline = boot_clock.read() + FORCE_WAIT_S
        while True:
            reached = await boxes.ask_all('/admin/table')
            late = [r for r in reached if not is_in_force(r, offset)]
            if not late or boot_clock.read() > deadline:
                break
            await asyncio.sleep(FORCE_POLL_S)
        rows = [list_force(box, offset) for box in reached]
        self.show(rows, ('domain', 'box', 'state'), rows)
        return base.NOT_HEARD if late else base.OK

    async def _show_conflict(self, boxes, result):
        self.line_error('conflict: another operator was faster')
        for conflict in result['conflicts']:
            current = conflict['current']
            name = conflict['workspace']
            shown = json.dumps(current) if current else 'the row is gone'
            self.line_error(f'  {name}: base {conflict["base"]}, now {shown}')
        self.line_error('export the table again and repeat the edit')
        return base.CONFLICT

    async def _show_invalid(self, boxes, result):
        for problem in result['problems']:
            self.line_error(f'{problem["subject"]}: {problem["text"]}')
        return base.BAD_INPUT

    async def _show_failed(self, boxes, result):
        self.line_error(f'{result["outcome"]} (edit {result["edit"]})')
        return base.FAILED


SHOWN = {
    'accepted': Publish._show_accepted,
    'conflict': Publish._show_conflict,
    'invalid': Publish._show_invalid,
    'not_published': Publish._show_failed,
    'unknown': Publish._show_failed,
}


def read_versions(texts):
    """Read ``MODEL=VERSION`` options; returns (dict, list of Problem)."""
    versions, problems = {}, []
    for text in texts:
        model, equals, version = text.partition('=')
        if not model or not equals or not version:
            problem = draft.Problem(0, f'{text!r}: expected MODEL=VERSION')
            problems.append(problem)
        versions[model] = version
    return versions, problems


def is_in_force(reached, offset):
    """Tell whether a box has an offset in force."""
    return bool(reached.status) and reached.status['offset'] >= offset


def list_force(reached, offset):
    """Give domain, box and state of a publish at one box."""
    state = 'in force' if is_in_force(reached, offset) else 'accepted'
    if reached.status is None:
        state = 'not heard'
    return [reached.domain, reached.name, state]


def list_change(change):
    """Give workspace, kind and the changed columns of a change."""
    columns = []
    for name in draft.COLUMNS[1:-1]:
        before = getattr(change.before, name, '')
        after = getattr(change.after, name, '')
        if before != after:
            columns.append(f'{name}: {before} -> {after}')
    return [change.workspace, change.kind, ', '.join(columns)]
