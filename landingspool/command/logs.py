"""Reads events from collected log files, without calling any box."""

import json
import sys

from landingspool import events

STANDARD_INPUT = '-'
# What a line of a request that continues a stream holds.
RESUMES = '"resumes":'


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


def find_attempts(paths, request):
    """Find the attempts of the stream that a request belongs to.

    Callers continue a stream by a new request that names the attempt which
    began it.

    Parameters
    ----------
    paths : sequence of str
        Names of files; standard input can be read only once: not searched.
    request : str

    Returns
    -------
    list of str
        Ids of requests, `request` among them.
    """
    links = set()
    for path in paths:
        lines = () if path == STANDARD_INPUT else read_lines(path)
        events_found = (parse_line(line) for line in lines if RESUMES in line)
        links |= {
            (event.fields['request'], event.fields['resumes'])
            for event in events_found
            if event is not None and event.fields.get('resumes')
        }
    begun = {first for one, first in links if one == request} | {request}
    later = {one for one, first in links if first in begun}
    return sorted(begun | later)


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
