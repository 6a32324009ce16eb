"""Commands that show and steer the fleet: status, timeline, drain, check."""

import time

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option

from landingspool.command import base
from landingspool.command import logs
from landingspool import events
from landingspool import http
from landingspool import settings

STATUS_HEADERS = ('domain', 'box', 'state', 'offset', 'open', 'alive', 'pools')
LOGS_OPTION = option(
    'logs',
    'l',
    'Read collected log lines, FILE,... or - for standard input, '
    'and ask no box.',
    flag=False,
)
TARGET_HEADERS = (
    'pool',
    'target',
    'version',
    'ready',
    'leaving',
    'granted',
    'slowness',
    'breaker',
)


class Status(base.Base):
    """status"""

    name = 'status'
    description = 'Show boxes, domains, targets, versions, what is in force.'

    async def act(self, boxes):
        """Ask all boxes and print what they say."""
        reached = await boxes.ask_all('/admin/status')
        rows = [list_box(box) for box in reached]
        value = [box._asdict() for box in reached]
        self.show(value, STATUS_HEADERS, rows)
        if not self.option('json'):
            targets = [
                [target[name] for name in TARGET_HEADERS]
                for box in reached
                if box.status
                for target in box.status['targets']
            ]
            self.line('')
            self.show(targets, TARGET_HEADERS, sorted(targets))
        silent = [box for box in reached if box.status is None]
        return base.NOT_HEARD if silent else base.OK


class Timeline(base.Base):
    """timeline"""

    name = 'timeline'
    description = 'Show the events of all boxes in one order.'
    options = [
        *base.REMOTE_OPTIONS,
        LOGS_OPTION,
        option('request', None, 'Only this request.', flag=False),
        option('workspace', None, 'Only this workspace.', flag=False),
        option('target', None, 'Only this target.', flag=False),
        option('since', None, 'Only the last SECONDS.', flag=False),
    ]

    def handle(self):
        """Read logs where they are given, else ask the boxes."""
        if not self.option('logs'):
            return super().handle()
        try:
            rows = logs.read_events(
                self.option('logs').split(','), self.list_wanted()
            )
        except OSError as error:
            self.line_error(f'{error.filename}: {error.strerror}')
            return base.BAD_INPUT
        return self.show_found(rows)

    async def act(self, boxes):
        """Gather, merge, print."""
        return self.show_found(await gather_events(boxes, self.list_wanted()))

    def list_wanted(self):
        """Give the fields that the events have to hold."""
        wanted = {
            name: self.option(name)
            for name in ('request', 'workspace', 'target')
            if self.option(name)
        }
        if self.option('since'):
            wanted['since'] = time.time() - float(self.option('since'))
        return wanted

    def show_found(self, rows):
        """Print the events; returns the status."""
        self.show_events(rows)
        return base.OK if rows else base.FAILED

    def show_events(self, rows):
        """Print events in order."""
        value = [event._asdict() for event in rows]
        cells = [list_event(event) for event in rows]
        self.show(value, ('time', 'box', 'event', 'fields'), cells)


class Explain(Timeline):
    """explain"""

    name = 'explain'
    description = 'Show what was decided about one request, and why.'
    arguments = [
        argument('request', 'WORKSPACE/REQUEST-ID, or a relayed request ID.')
    ]
    options = [*base.REMOTE_OPTIONS, LOGS_OPTION]

    def list_wanted(self):
        """Give the fields that the events have to hold."""
        return {'request': self.argument('request')}

    def show_found(self, rows):
        """Print the events of the request and a summary."""
        status = super().show_found(rows)
        if rows and not self.option('json'):
            self.line(summarize(rows))
        return status


class Drain(base.Base):
    """drain"""

    name = 'drain'
    description = 'Stop a box as planned; it finishes what it has begun.'
    arguments = [argument('box', 'Name of the box.')]

    async def act(self, boxes):
        """Find the box and tell it."""
        name = self.argument('box')
        known = {box['name']: box for box in await boxes.list_boxes()}
        box = known.get(name)
        if box is None:
            self.line_error(f'{name}: not among {", ".join(sorted(known))}')
            return base.BAD_INPUT
        address = http.Address(box['host'], box['operators_port'])
        try:
            await boxes.ask_at(address, 'POST', '/admin/drain')
        except http.Unreachable as error:
            self.line_error(f'{name}: {error}')
            return base.NOT_HEARD
        self.line(f'{name} is draining')
        return base.OK


class Check(command.Command):
    """check"""

    name = 'check'
    description = 'Check a settings file; shows all errors at once.'
    arguments = [argument('settings', 'Path of the TOML file.')]

    def handle(self):
        """Check and print."""
        _, errors = settings.load(self.argument('settings'))
        for error in errors:
            self.line_error(settings.format_error(error))
        if errors:
            return base.BAD_INPUT
        self.line('the settings are right')
        return base.OK


async def gather_events(boxes, wanted):
    """Gather the events of all boxes, in order."""
    query = '&'.join(f'{name}={value}' for name, value in wanted.items())
    reached = await boxes.ask_all(f'/admin/events?{query}')
    rings = [
        [events.Event(**row) for row in box.status['events']]
        for box in reached
        if box.status
    ]
    return events.merge_events(rings)


FINAL_EVENTS = (
    'finished',
    'rejected',
    'broken',
    'answered',
    'not_served',
    'caller_gone',
)


def list_box(reached):
    """Give the row of one box."""
    status = reached.status
    if status is None:
        return [reached.domain, reached.name, 'not heard', '', '', '', '']
    return [
        reached.domain,
        reached.name,
        status['state'],
        status['offset'],
        status['open'],
        len(status['alive']),
        len(status['pools']),
    ]


def list_event(event):
    """Give the row of one event."""
    seconds, millis = divmod(event.stamp[0], 1000)
    clock = time.strftime('%H:%M:%S', time.localtime(seconds))
    fields = ' '.join(f'{k}={v}' for k, v in event.fields.items())
    name = f'LS{event.number} {event.name}'
    return [f'{clock}.{millis:03d}', event.box, name, fields]


def summarize(rows):
    """Give one sentence on a request from its events.

    >>> row = events.Event((1, 0), 'b', 204, 'dispatched', {'target': 't'})
    >>> summarize([row])
    'dispatched to t; no final event was found'
    """
    targets = [
        event.fields['target'] for event in rows if event.name == 'dispatched'
    ]
    where = f'dispatched to {", ".join(targets)}' if targets else 'not sent'
    ends = [event for event in rows if event.name in FINAL_EVENTS]
    if not ends:
        return f'{where}; no final event was found'
    last = ends[-1]
    fields = ', '.join(f'{k} {v}' for k, v in last.fields.items())
    return f'{where}; {last.name}: {fields}'
