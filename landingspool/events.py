"""Numbered events of this process, for the log and the timeline.

Each event has a number in the catalogue (event_kinds.py).  Events are written
to the log and to a ring buffer that operators read over HTTP.  A hybrid
logical clock orders them across all processes.
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
    """One recorded event; `stamp` is its hybrid logical time."""

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
    """Writes events to the ring buffer and to the log.

    Parameters
    ----------
    box : str
        Name of this process in the timeline.
    wall : callable, optional
        Returns wall-clock time in seconds.
    ring : int, optional
        Capacity of the ring buffer, in events.
    formatter : callable, optional
        Returns the line of text for an event.
    """

    def __init__(self, box, wall=time.time, ring=RING_EVENTS, formatter=None):
        self.box = box
        self._format = formatter or format_event
        self._wall = wall
        self._stamp = clock.Stamp(0, 0)
        self._ring = collections.deque(maxlen=ring)
        self._log = logger.bind(box=box)
        self._lazy_log = self._log.opt(lazy=True)
        self.counts = collections.Counter()

    def record(self, name, **fields):
        """Record the event `name` of the catalogue and return it."""
        kind = event_kinds.CATALOGUE[name]
        self._stamp = clock.advance(self._stamp, self._wall())
        event = Event(self._stamp, self.box, kind.number, name, fields)
        self._ring.append(event)
        self.counts[name] += 1
        if kind.level != 'DEBUG' or fields.get('loud'):
            self._log.log(kind.level, self._format(event))
        else:
            self._lazy_log.debug('{}', lambda: self._format(event))
        return event

    def observe(self, stamp):
        """Advance the clock past the stamp of a message from a peer."""
        received = clock.Stamp(*stamp)
        self._stamp = clock.merge(self._stamp, received, self._wall())

    @property
    def stamp(self):
        """The stamp to put on an outgoing message."""
        return self._stamp

    def select(self, since=0.0, /, **wanted):
        """Return the recorded events that match all the given fields.

        Parameters
        ----------
        since : float
            Wall-clock time in seconds; earlier events are omitted.
        **wanted
            Field names and their values, compared as text.
        """
        rows = (e for e in self._ring if e.stamp[0] >= since * 1000)
        return [e for e in rows if match_fields(e, wanted)]


def match_fields(event, wanted):
    """Return whether an event has all the wanted field values.

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
    """Return one line of text for an event.

    >>> format_event(Event((0, 0), 'a', 200, 'accepted', {'request': 'r1'}))
    'LS200 accepted request=r1'
    """
    pairs = (f'{key}={value}' for key, value in event.fields.items())
    return ' '.join(itertools.chain((f'LS{event.number}', event.name), pairs))


def format_json(event):
    """Return one JSON line for an event.

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
