"""Numbered events: what this process did, for logs and the time line.

Each event has a number in the catalogue (kinds.py).  Events go to the log and
into a bounded ring that operators read over HTTP; the hybrid logical clock
orders them over all processes.
"""

import collections
import itertools
import json
import sys
import time
import typing

from loguru import logger

from landingspool.decisions import clock
from landingspool import event_kinds

RING_EVENTS = 4096


class Event(typing.NamedTuple):
    """One thing that happened, in the order of the hybrid clock."""

    stamp: tuple
    box: str
    number: int
    name: str
    fields: dict


FORMATS = {
    'text': '{time:HH:mm:ss.SSS} {level.name:<7} {extra[box]} {message}',
    'json': '{message}',
}


class Recorder:
    """Writes events into the ring and to the log.

    Parameters
    ----------
    box : str
        Name of this process in the time line.
    wall : callable, optional
        Gives the seconds of the wall clock.
    form : callable, optional
        Gives the line of text for an event.
    """

    def __init__(self, box, wall=time.time, ring=RING_EVENTS, form=None):
        self.box = box
        self._form = form or format_event
        self._wall = wall
        self._stamp = clock.Stamp(0, 0)
        self._ring = collections.deque(maxlen=ring)
        self._log = logger.bind(box=box)
        self.counts = collections.Counter()

    def record(self, name, **fields):
        """Record the event `name` of the catalogue; returns it."""
        kind = event_kinds.CATALOGUE[name]
        self._stamp = clock.advance(self._stamp, self._wall())
        event = Event(self._stamp, self.box, kind.number, name, fields)
        self._ring.append(event)
        self.counts[name] += 1
        if kind.level != 'DEBUG' or fields.get('loud'):
            self._log.log(kind.level, self._form(event))
        else:
            self._log.opt(lazy=True).debug('{}', lambda: self._form(event))
        return event

    def observe(self, stamp):
        """Take in the stamp of a message from another process."""
        heard = clock.Stamp(*stamp)
        self._stamp = clock.merge(self._stamp, heard, self._wall())

    @property
    def stamp(self):
        """The stamp to put on a message that leaves now."""
        return self._stamp

    def select(self, since=0.0, **wanted):
        """List the recorded events that match all the fields wanted.

        Parameters
        ----------
        since : float
            Wall-clock seconds; earlier events are left out.
        **wanted
            Field names and their values, as text.
        """
        rows = (e for e in self._ring if e.stamp[0] >= since * 1000)
        return [e for e in rows if match_fields(e, wanted)]


def match_fields(event, wanted):
    """Tell whether an event holds all the wanted field values.

    >>> e = Event((0, 0), 'a', 200, 'accepted', {'request': 'r1', 'n': 2})
    >>> match_fields(e, {'request': 'r1', 'n': '2'})
    True
    >>> match_fields(e, {'request': 'r2'})
    False
    """
    return all(
        str(event.fields.get(key)) == str(value)
        for key, value in wanted.items()
    )


def format_event(event):
    """Give one line of text for an event.

    >>> format_event(Event((0, 0), 'a', 200, 'accepted', {'request': 'r1'}))
    'LS200 accepted request=r1'
    """
    pairs = (f'{key}={value}' for key, value in event.fields.items())
    return ' '.join(itertools.chain((f'LS{event.number}', event.name), pairs))


def format_json(event):
    """Give one JSON line for an event.

    >>> format_json(Event((5, 0), 'a', 200, 'accepted', {'request': 'r1'}))
    '{"t":0.005,"box":"a","n":200,"event":"accepted","request":"r1"}'
    """
    head = {
        't': event.stamp[0] / 1000,
        'box': event.box,
        'n': event.number,
        'event': event.name,
    }
    return json.dumps(
        {**head, **event.fields}, separators=(',', ':'), default=str
    )


def merge_events(rings):
    """Merge the events of several processes into one ordered list."""
    rows = itertools.chain.from_iterable(rings)
    return sorted(rows, key=lambda event: (tuple(event.stamp), event.box))


def configure_logs(kind, level):
    """Send the log to standard error as `text` or `json` lines."""
    logger.remove()
    logger.configure(extra={'box': '-'})
    logger.add(
        sys.stderr,
        format=FORMATS[kind],
        level=level,
        serialize=kind == 'json',
        backtrace=False,
        diagnose=False,
    )
