"""Prints what was run of the fault matrix, and passes over known red tests."""

import collections
import pathlib

from loguru import logger
import pytest

from tests.matrix import table

logger.remove()

# One line each: test, cause, issue.  These run, and fail nothing.
KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def read_known_red():
    """Give the lines of the known red tests by the id of the test."""
    if not KNOWN_RED.is_file():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split(',')[0]: line for line in lines if line.strip()}


def pytest_collection_modifyitems(items):
    """Let a known red test fail without failing the run."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid]))


def pytest_terminal_summary(terminalreporter):
    """Print the known red tests and what was run of the fault matrix."""
    for line in read_known_red().values():
        terminalreporter.write_line(f'known red: {line}')
    print_matrix(terminalreporter)


def print_matrix(terminalreporter):
    """Print the cells run, passed, failed and those that can't occur."""
    counts = collections.Counter()
    for outcome in ('passed', 'failed'):
        for report in terminalreporter.getreports(outcome):
            if getattr(report, 'when', '') == 'call':
                kind = dict(report.user_properties).get('cell')
                counts[(kind, outcome)] += 1
    rows = [
        f'{kind} {what}: {n}' for (kind, what), n in counts.items() if kind
    ]
    if not rows:
        return
    reasons = collections.Counter(r for _, _, r in table.list_impossible())
    terminalreporter.write_sep('=', 'fault matrix')
    for row in sorted(rows):
        terminalreporter.write_line(row)
    expected = len(table.list_cells()) + len(table.list_pairs())
    ran = sum(n for (kind, _), n in counts.items() if kind)
    terminalreporter.write_line(f'not run: {expected - ran}')
    for reason, count in sorted(reasons.items()):
        terminalreporter.write_line(f"can't occur: {count} ({reason})")
