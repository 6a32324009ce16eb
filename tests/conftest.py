"""Prints what was run of the fault matrix."""

import collections

from loguru import logger

from tests.matrix import table

logger.remove()


def pytest_terminal_summary(terminalreporter):
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
