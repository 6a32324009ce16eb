"""The command-line tool against a running fleet, as operators use it."""

import asyncio
import json
import os
import sys

import pytest

from bench import fleet


async def call(bench, *arguments, boxes=None):
    """Run the tool; gives its exit status and its two outputs."""
    addresses = boxes or ','.join(
        f'{ports.operators.host}:{ports.operators.port}'
        for ports in bench.fleet.boxes.values()
    )
    environment = {
        **os.environ,
        'LANDINGSPOOL_BOXES': addresses,
        'LANDINGSPOOL_KEY': fleet.OPERATOR_KEY,
        'COLUMNS': '200',
    }
    tool = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'landingspool.command.tool',
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, error = await tool.communicate()
    return tool.returncode, out.decode(), error.decode()


@pytest.fixture(name='tool')
def make_tool(bench):
    """Give a function that runs the tool."""
    return lambda *arguments, **options: bench.run(
        call(bench, *arguments, **options)
    )


def test_edit_diff_and_publish(tool, tmp_path):
    path = str(tmp_path / 'table.csv')
    assert tool('table', 'export', path)[0] == 0
    edited = tool('table', 'edit', path, 'loan-desk', 'limit=9', 'weight=2')
    assert edited[0] == 0
    status, out, _ = tool('table', 'diff', path)
    assert status == 0
    assert 'limit: 16 -> 9' in out
    status, out, _ = tool('table', 'publish', path)
    assert status == 0
    assert out.count('in force') == len(fleet.DOMAINS) * 2
    table = json.loads(tool('table', 'show', '--json')[1])
    rows = {row['workspace']: row for row in table['rows']}
    assert rows['loan-desk']['limit'] == 9


def test_conflict_is_shown_row_by_row(tool, tmp_path):
    paths = [str(tmp_path / name) for name in ('one.csv', 'two.csv')]
    for number, path in enumerate(paths):
        tool('table', 'export', path)
        tool('table', 'edit', path, 'reading-room', f'limit={20 + number}')
    assert tool('table', 'publish', paths[0])[0] == 0
    status, _, error = tool('table', 'publish', paths[1])
    assert status == 3
    assert 'reading-room' in error
    assert '"limit": 20' in error


def test_new_workspace_gets_a_key_that_works(bench, tool, tmp_path):
    path = str(tmp_path / 'table.csv')
    tool('table', 'export', path)
    _, out, _ = tool('table', 'edit', path, 'visitors', '--new-key')
    key = out.split()[-1]
    assert tool('table', 'publish', path)[0] == 0
    answer = bench.run(bench.send('south-2', workspace=key))
    assert answer.error['type'] == 'unauthorized'
    headers = [('authorization', f'Bearer {key}')]
    reply = bench.run(
        bench.fleet.client.fetch(
            bench.get_address('south-2'), 'POST', '/v1/keys', {}, headers
        )
    )
    assert reply.status == 200


def test_wrong_draft_is_refused_with_every_line(tool, tmp_path):
    path = tmp_path / 'table.csv'
    tool('table', 'export', str(path))
    text = path.read_text().replace(',16,', ',many,')
    path.write_text(text + 'x,0,2,0,99,zz,0\n')
    status, _, error = tool('table', 'publish', str(path))
    assert status == 2
    assert 'limit' in error
    assert 'weight 0.0' in error


def test_import_from_another_source(tool, tmp_path):
    source, path = tmp_path / 'source.csv', tmp_path / 'draft.csv'
    header = 'workspace,weight,share,limit,priority,key_hash\n'
    source.write_text(header + f'guests,1,0,2,0,{"ab" * 32}\n')
    assert tool('table', 'import', str(source), str(path))[0] == 0
    assert path.read_text().splitlines()[1].endswith(',0')


def test_status_shows_boxes_and_targets(tool):
    status, out, _ = tool('status')
    assert status == 0
    for name in ('north-1', 'south-2', 'transcription-1', 'annotations-1'):
        assert name in out


def test_explain_and_timeline_follow_a_request(bench, tool):
    bench.run(bench.send('north-2', x_request_id='traced'))
    status, out, _ = tool('explain', 'reading-room/traced')
    assert status == 0
    for name in ('accepted', 'granted', 'dispatched', 'finished'):
        assert name in out
    status, out, _ = tool(
        'timeline', '--request', 'reading-room/traced', '--json'
    )
    events = json.loads(out)
    stamps = [tuple(event['stamp']) for event in events]
    assert stamps == sorted(stamps)


def test_unknown_request_and_box_are_said_so(tool):
    assert tool('explain', 'nobody/nothing')[0] == 1
    status, _, error = tool('drain', 'no-such-box')
    assert status == 2
    assert 'north-1' in error


def test_box_that_can_not_be_heard_is_said_so(bench, tool):
    bench.fleet.freeze('middle-2')
    status, out, _ = tool('status')
    bench.fleet.thaw('middle-2')
    assert status == 4
    assert 'not heard' in out


def test_no_box_to_ask_is_one_line(tool):
    status, _, error = tool('status', boxes='127.0.0.1:1')
    assert status == 1
    assert 'no box answered' in error


def test_settings_are_checked(tool, tmp_path):
    assert tool('check', 'examples/herbarium.toml')[0] == 0
    path = tmp_path / 'bad.toml'
    path.write_text('[box]\nname = 3\n')
    status, _, error = tool('check', str(path))
    assert status == 2
    assert error.count('missing') >= 4
