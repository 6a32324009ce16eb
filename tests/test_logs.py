"""The command-line tool explains a request from collected log lines."""

from cleo.testers import command_tester

from landingspool.command import tool

LINES = (
    '{"t":2.5,"box":"b","n":213,"event":"not_served","request":"r"}',
    'noise',
    '  1.0 b {"t":2.0,"box":"b","n":204,"event":"dispatched",'
    '"request":"r","target":"t"}',
    '{"t":1.0,"box":"a","n":204,"event":"dispatched",'
    '"request":"q","target":"u"}',
    '{"t":"x"}',
)


def run_command(name, *words):
    """Run a command of the tool and return its exit status and output."""
    tester = command_tester.CommandTester(tool.make_application().find(name))
    status = tester.execute(' '.join(words))
    return status, tester.io.fetch_output()


def write_log(folder):
    """Write the lines to a file."""
    path = folder / 'a.log'
    path.write_text('\n'.join(LINES))
    return str(path)


def test_explain_reads_logs_in_order(tmp_path):
    status, text = run_command('explain', 'r', '--logs', write_log(tmp_path))
    assert status == 0
    assert text.index('dispatched') < text.index('not_served')
    assert 'dispatched to t; not_served' in text


def test_timeline_selects_by_target(tmp_path):
    status, text = run_command(
        'timeline', '--target', 'u', '--logs', write_log(tmp_path)
    )
    assert status == 0
    assert 'request=q' in text
    assert 'request=r' not in text


def test_an_unknown_request_and_a_missing_file_have_a_status(tmp_path):
    assert run_command('explain', 'z', '--logs', write_log(tmp_path))[0] == 1
    assert (
        run_command('explain', 'z', '--logs', str(tmp_path / 'none'))[0] == 2
    )


def test_explain_shows_all_attempts_of_a_stream(tmp_path):
    path = tmp_path / 'a.log'
    row = '{{"t":{0},"box":"b","n":221,"event":"continued","request":"r{0}"'
    path.write_text(
        '\n'.join(
            row.format(at) + f',"resumes":"{first}"}}'
            for at, first in enumerate(('', 'r0', 'r0', ''))
        )
    )
    for request in ('r0', 'r2'):
        status, text = run_command('explain', request, '--logs', str(path))
        assert status == 0
        assert all(f'request=r{at}' in text for at in range(3))
        assert 'request=r3' not in text
