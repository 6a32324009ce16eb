"""Commands on the fleet: status, timeline, explain, drain and check."""

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
    'and call no box.',
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


class Status(base.RemoteCommand):
    """Command `status`: print the state of boxes and targets."""

    name = 'status'
    description = (
        'Show boxes, domains, targets, versions and offsets in force.'
    )

    async def run_async(self, client):
        """Call all boxes and print their state and their targets."""
        replies = await client.call_all('/admin/status')
        rows = [make_box_row(reply) for reply in replies]
        value = [reply._asdict() for reply in replies]
        self.print_table(value, STATUS_HEADERS, rows)
        if not self.option('json'):
            targets = [
                [target[name] for name in TARGET_HEADERS]
                for reply in replies
                if reply.status
                for target in reply.status['targets']
            ]
            self.line('')
            self.print_table(targets, TARGET_HEADERS, sorted(targets))
        missing = [reply for reply in replies if reply.status is None]
        return base.NO_ANSWER if missing else base.OK


class Timeline(base.RemoteCommand):
    """Command `timeline`: print the events of all boxes in one order."""

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
        """Read the logs if --logs is given, else call the boxes."""
        if not self.option('logs'):
            return super().handle()
        try:
            rows = self.read_logs(self.option('logs').split(','))
        except OSError as error:
            self.line_error(f'{error.filename}: {error.strerror}')
            return base.BAD_INPUT
        return self.print_matches(rows)

    def read_logs(self, paths):
        """Read the matching events in log files, in order."""
        return logs.read_events(paths, self.get_filters())

    async def run_async(self, client):
        """Fetch the events of all boxes and print them in order."""
        return self.print_matches(
            await gather_events(client, self.get_filters())
        )

    def get_filters(self):
        """Return the field values that an event must have to be printed."""
        filters = {
            name: self.option(name)
            for name in ('request', 'workspace', 'target')
            if self.option(name)
        }
        if self.option('since'):
            filters['since'] = time.time() - float(self.option('since'))
        return filters

    def print_matches(self, rows):
        """Print the events and return the exit status."""
        self.print_events(rows)
        return base.OK if rows else base.FAILED

    def print_events(self, rows):
        """Print events in order."""
        value = [event._asdict() for event in rows]
        cells = [make_event_row(event) for event in rows]
        self.print_table(value, ('time', 'box', 'event', 'fields'), cells)


class Explain(Timeline):
    """Command `explain`: print the events of one request and a summary."""

    name = 'explain'
    description = 'Show the decisions on one request, and their reasons.'
    arguments = [
        argument('request', 'WORKSPACE/REQUEST-ID, or a relayed request ID.')
    ]
    options = [*base.REMOTE_OPTIONS, LOGS_OPTION]

    def get_filters(self):
        """Return the field values that an event must have to be printed."""
        return {'request': self.argument('request')}

    def read_logs(self, paths):
        """Read the events of all attempts of a request's stream."""
        attempts = logs.find_attempts(paths, self.argument('request'))
        return events.merge_events(
            logs.read_events(paths, {'request': name}) for name in attempts
        )

    def print_matches(self, rows):
        """Print the events of the request and a summary line."""
        status = super().print_matches(rows)
        if rows and not self.option('json'):
            self.line(summarize(rows))
        return status


class Drain(base.RemoteCommand):
    """Command `drain`: start a planned stop of a box."""

    name = 'drain'
    description = (
        'Start a planned stop of a box; it finishes its open requests.'
    )
    arguments = [argument('box', 'Name of the box.')]

    async def run_async(self, client):
        """Find the box by its name and ask it to drain."""
        name = self.argument('box')
        known = {box['name']: box for box in await client.list_boxes()}
        box = known.get(name)
        if box is None:
            self.line_error(
                f'{name}: not among the boxes {", ".join(sorted(known))}'
            )
            return base.BAD_INPUT
        address = http.Address(box['host'], box['operators_port'])
        try:
            await client.call_box(address, 'POST', '/admin/drain')
        except http.Unreachable as error:
            self.line_error(f'{name}: {error}')
            return base.NO_ANSWER
        self.line(f'{name} is draining')
        return base.OK


class Check(command.Command):
    """Command `check`: print all errors of a settings file."""

    name = 'check'
    description = 'Check a settings file and show all of its errors.'
    arguments = [argument('settings', 'Path of the TOML file.')]

    def handle(self):
        """Check the file and print its errors."""
        _, errors = settings.load(self.argument('settings'))
        for error in errors:
            self.line_error(settings.format_error(error))
        if errors:
            return base.BAD_INPUT
        self.line('the settings are valid')
        return base.OK


async def gather_events(client, filters):
    """Fetch the matching events of all boxes, in order of their stamps."""
    query = '&'.join(f'{name}={value}' for name, value in filters.items())
    replies = await client.call_all(f'/admin/events?{query}')
    events_by_box = [
        [events.Event(**row) for row in reply.status['events']]
        for reply in replies
        if reply.status
    ]
    return events.merge_events(events_by_box)


FINAL_EVENTS = (
    'finished',
    'rejected',
    'broken',
    'answered',
    'not_served',
    'caller_gone',
)


def make_box_row(reply):
    """Return the cells of one box in the table of `status`."""
    status = reply.status
    if status is None:
        return [reply.domain, reply.name, 'not heard', '', '', '', '']
    return [
        reply.domain,
        reply.name,
        status['state'],
        status['offset'],
        status['open'],
        len(status['alive']),
        len(status['pools']),
    ]


def make_event_row(event):
    """Return the cells of one event in the table of `timeline`."""
    seconds, millis = divmod(event.stamp[0], 1000)
    clock = time.strftime('%H:%M:%S', time.localtime(seconds))
    fields = ' '.join(f'{k}={v}' for k, v in event.fields.items())
    name = f'LS{event.number} {event.name}'
    return [f'{clock}.{millis:03d}', event.box, name, fields]


def summarize(rows):
    """Return a summary line of a request from its events.

    >>> row = events.Event((1, 0), 'b', 204, 'dispatched', {'target': 't'})
    >>> summarize([row])
    'dispatched to t; no final event was found'
    """
    targets = [
        event.fields['target'] for event in rows if event.name == 'dispatched'
    ]
    dispatches = (
        f'dispatched to {", ".join(targets)}' if targets else 'not sent'
    )
    final_events = [event for event in rows if event.name in FINAL_EVENTS]
    if not final_events:
        return f'{dispatches}; no final event was found'
    last = final_events[-1]
    fields = ', '.join(f'{k} {v}' for k, v in last.fields.items())
    return f'{dispatches}; {last.name}: {fields}'
