"""Commands on the configuration table: `landingspool table ...`."""

import asyncio
import getpass
import json
import pathlib
import secrets
import uuid

from cleo.helpers import argument
from cleo.helpers import option

from landingspool import boot_clock
from landingspool.command import base
from landingspool.command import draft
from landingspool.command import remote
from landingspool.decisions import identity
from landingspool.decisions import records

IN_FORCE_TIMEOUT_S = 18.0
IN_FORCE_POLL_S = 0.25
FILE_ARGUMENT = argument('file', 'CSV file of the draft.')


async def fetch_table(client):
    """Fetch the table; returns its rows and the complete answer."""
    table = await client.call('GET', '/admin/table')
    return [records.Row(**row) for row in table['rows']], table


class Show(base.RemoteCommand):
    """Command `table show`: print the table in force."""

    name = 'table show'
    description = 'Show the table in force.'

    async def run_async(self, client):
        """Print the rows, and without --json also offset and versions."""
        rows, table = await fetch_table(client)
        self.print_table(table, draft.COLUMNS, sorted(rows))
        if not self.option('json'):
            self.line(f'offset {table["offset"]}')
            for model, version in sorted(table['versions'].items()):
                self.line(f'version {model} {version}')
        return base.OK


class Export(base.RemoteCommand):
    """Command `table export`: write the table in force to a CSV file."""

    name = 'table export'
    description = 'Write the table in force to a CSV file for editing.'
    arguments = [FILE_ARGUMENT]

    async def run_async(self, client):
        """Fetch the table and write the file."""
        rows, _ = await fetch_table(client)
        path = pathlib.Path(self.argument('file'))
        path.write_text(draft.format_rows(sorted(rows)))
        self.line(f'{len(rows)} rows written to {path}')
        return base.OK


class Import(base.RemoteCommand):
    """Command `table import`: make a draft from another CSV file."""

    name = 'table import'
    description = 'Make a draft from a CSV file from another source.'
    help = 'Each row is based on its revision that is in force now.'
    arguments = [argument('source', 'CSV file to read.'), FILE_ARGUMENT]

    async def run_async(self, client):
        """Read and check the source, set base revisions, write the draft."""
        source = pathlib.Path(self.argument('source')).read_text()
        rows, problems = draft.read_rows(source)
        if problems:
            return self.print_problems(problems)
        table, _ = await fetch_table(client)
        path = pathlib.Path(self.argument('file'))
        path.write_text(draft.format_rows(draft.rebase(rows, table)))
        self.line(f'{len(rows)} rows written to {path}')
        return base.OK


class Edit(base.RemoteCommand):
    """Command `table edit`: change one row of a draft."""

    name = 'table edit'
    description = 'Change columns of one row of a draft.'
    help = (
        'Example: landingspool table edit draft.csv botany weight=2 limit=8\n'
        'A workspace that is not in the draft is added; with --new-key it '
        'gets a new bearer key, which is printed once.'
    )
    arguments = [
        FILE_ARGUMENT,
        argument('workspace', 'Name of the row.'),
        argument('changes', 'column=value', optional=True, multiple=True),
    ]
    options = [
        *base.REMOTE_OPTIONS,
        option('new-key', None, 'Make a new bearer key.', flag=True),
        option('remove', None, 'Remove the row.', flag=True),
    ]

    def handle(self):
        """Edit the file without calling a box."""
        path = pathlib.Path(self.argument('file'))
        try:
            text = path.read_text()
        except OSError as error:
            self.line_error(f'{path}: {error.strerror}')
            return base.BAD_INPUT
        rows, problems = draft.read_rows(text)
        if problems:
            return self.print_problems(problems)
        return self._edit(path, rows)

    def _edit(self, path, rows):
        name = self.argument('workspace')
        rows_by_name = {row.workspace: row for row in rows}
        row = rows_by_name.get(name)
        if self.option('remove'):
            rows_by_name.pop(name, None)
            path.write_text(draft.format_rows(rows_by_name.values()))
            return base.OK
        key = secrets.token_urlsafe(24) if self.option('new-key') else ''
        if row is None:
            key_hash = identity.hash_key(key)
            row = records.Row(name, 1.0, 0.0, 1, 0, key_hash)
        elif key:
            row = row._replace(key_hash=identity.hash_key(key))
        row, problems = draft.set_columns(row, self.argument('changes'))
        if problems:
            return self.print_problems(problems)
        rows_by_name[row.workspace] = row
        path.write_text(draft.format_rows(rows_by_name.values()))
        if key:
            self.line(f'key of {name}: {key}')
        return base.OK


class Diff(base.RemoteCommand):
    """Command `table diff`: print the changes that a draft would make."""

    name = 'table diff'
    description = 'Show what a draft would change.'
    arguments = [FILE_ARGUMENT]

    async def run_async(self, client):
        """Print one line for each row that the draft changes."""
        rows, problems = draft.read_rows(
            pathlib.Path(self.argument('file')).read_text()
        )
        if problems:
            return self.print_problems(problems)
        table, _ = await fetch_table(client)
        changes = draft.compare(rows, table)
        value = [make_change_row(change) for change in changes]
        self.print_table(value, ('workspace', 'kind', 'columns'), value)
        return base.OK


class Publish(base.RemoteCommand):
    """Command `table publish`: publish a draft and follow its rollout."""

    name = 'table publish'
    description = 'Publish a draft and show at which boxes it is in force.'
    help = (
        'Exit status: 0 in force at all boxes, 1 not published, 2 the draft '
        'is invalid, 3 another operator changed a row first, 4 accepted but '
        'not confirmed to be in force at all boxes in time.'
    )
    arguments = [FILE_ARGUMENT]
    options = [
        *base.REMOTE_OPTIONS,
        option(
            'load',
            None,
            'MODEL=VERSION of weights to load.',
            flag=False,
            multiple=True,
        ),
        option(
            'author',
            None,
            'Name of the operator who publishes (default: user name).',
            flag=False,
        ),
    ]

    async def run_async(self, client):
        """Publish the draft, then poll the boxes until it is in force."""
        text = pathlib.Path(self.argument('file')).read_text()
        rows, problems = draft.read_rows(text)
        if problems:
            return self.print_problems(problems)
        table, _ = await fetch_table(client)
        changes = draft.compare(rows, table)
        versions, version_problems = read_versions(self.option('load') or [])
        if version_problems:
            return self.print_problems(version_problems)
        if not changes and not versions:
            self.line('nothing to publish')
            return base.OK
        publish = draft.make_publish(changes)
        publish['author'] = self.option('author') or getpass.getuser()
        publish['versions'] = versions
        publish['edit'] = uuid.uuid4().hex
        result = await self._send(client, publish)
        return await RESULT_PRINTERS[result['outcome']](self, client, result)

    async def _send(self, client, publish):
        # If a box fails during the call, the publish may be sent to another
        # box with the same edit id: readers ignore a second record of an edit.
        try:
            return await client.call('POST', '/admin/publish', publish)
        except remote.RemoteError:
            edit = publish['edit']
            result = await client.call('GET', f'/admin/edit?edit={edit}')
            if result['outcome'] != 'not_heard':
                return result
            return await client.call('POST', '/admin/publish', publish)

    async def _show_accepted(self, client, result):
        offset = result['offset']
        self.line(f'accepted at offset {offset}')
        deadline = boot_clock.read() + IN_FORCE_TIMEOUT_S
        while True:
            replies = await client.call_all('/admin/table')
            pending = [r for r in replies if not is_in_force(r, offset)]
            if not pending or boot_clock.read() > deadline:
                break
            await asyncio.sleep(IN_FORCE_POLL_S)
        rows = [make_rollout_row(reply, offset) for reply in replies]
        self.print_table(rows, ('domain', 'box', 'state'), rows)
        return base.NO_ANSWER if pending else base.OK

    async def _show_conflict(self, client, result):
        self.line_error('conflict: another operator has changed these rows')
        for conflict in result['conflicts']:
            current = conflict['current']
            name = conflict['workspace']
            shown = json.dumps(current) if current else 'the row was removed'
            self.line_error(
                f'  {name}: base revision {conflict["base"]}, now {shown}'
            )
        self.line_error('export the table again and repeat the edit')
        return base.CONFLICT

    async def _show_invalid(self, client, result):
        for problem in result['problems']:
            self.line_error(f'{problem["subject"]}: {problem["text"]}')
        return base.BAD_INPUT

    async def _show_failed(self, client, result):
        self.line_error(f'{result["outcome"]} (edit {result["edit"]})')
        return base.FAILED


RESULT_PRINTERS = {
    'accepted': Publish._show_accepted,
    'conflict': Publish._show_conflict,
    'invalid': Publish._show_invalid,
    'not_published': Publish._show_failed,
    'unknown': Publish._show_failed,
}


def read_versions(texts):
    """Parse ``MODEL=VERSION`` options; returns (dict, list of Problem)."""
    versions, problems = {}, []
    for text in texts:
        model, equals, version = text.partition('=')
        if not model or not equals or not version:
            problem = draft.Problem(0, f'{text!r}: expected MODEL=VERSION')
            problems.append(problem)
        versions[model] = version
    return versions, problems


def is_in_force(reply, offset):
    """Return whether a box has the offset or a later one in force."""
    return bool(reply.status) and reply.status['offset'] >= offset


def make_rollout_row(reply, offset):
    """Return domain, box and state of a publish at one box."""
    state = 'in force' if is_in_force(reply, offset) else 'accepted'
    if reply.status is None:
        state = 'not heard'
    return [reply.domain, reply.name, state]


def make_change_row(change):
    """Return workspace, kind and changed columns of a change."""
    columns = []
    for name in draft.COLUMNS[1:-1]:
        before = getattr(change.before, name, '')
        after = getattr(change.after, name, '')
        if before != after:
            columns.append(f'{name}: {before} -> {after}')
    return [change.workspace, change.kind, ', '.join(columns)]
