"""Reads events from collected log files, without calling any box."""

import json
import sys

from landingspool import events

STANDARD_INPUT = '-'


def read_events(paths, filters):
    """Read the events in log files that match `filters`.

    Parameters
    ----------
    paths : sequence of str
        Names of files; ``-`` is standard input.
    filters : dict
        Required values by field name.  ``since`` is the earliest time, in
        seconds of the wall clock.

    Returns
    -------
    list of events.Event
        Events of all boxes, merged in order of their stamps.
    """
    filters = dict(filters)
    since = filters.pop('since', 0.0)
    matches = []
    for path in paths:
        for line in read_lines(path):
            event = parse_line(line)
            if event is None or event.stamp[0] < since * 1000:
                continue
            if events.match_fields(event, filters):
                matches.append(event)
    return events.merge_events([matches])


def read_lines(path):
    """Yield the lines of a file or of standard input."""
    if path == STANDARD_INPUT:
        yield from sys.stdin
        return
    with open(path, encoding='utf-8', errors='replace') as file:
        yield from file


def parse_line(line):
    """Return the event in a line, or None; text before the JSON is skipped.

    >>> parse_line('12:00 b {"t":1.5,"box":"b","n":204,"event":"dispatched"}')
    Event(stamp=(1500, 0), box='b', number=204, name='dispatched', fields={})
    >>> parse_line('no event') is None
    True
    """
    start = line.find('{')
    if start < 0:
        return None
    try:
        row = json.loads(line[start:])
        stamp = round(row.pop('t') * 1000), 0
        box, number, name = row.pop('box'), row.pop('n'), row.pop('event')
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return events.Event(stamp, box, number, name, row)
