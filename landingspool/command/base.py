"""Base of the tool's commands: connection options, output, exit codes."""

import asyncio
import json
import os

from cleo.commands import command
from cleo.helpers import option

from landingspool.command import remote

OK = 0
FAILED = 1
BAD_INPUT = 2
CONFLICT = 3
NO_ANSWER = 4

BOXES_VARIABLE = 'LANDINGSPOOL_BOXES'
KEY_VARIABLE = 'LANDINGSPOOL_KEY'

REMOTE_OPTIONS = [
    option(
        'boxes',
        'b',
        'Addresses of boxes for operators, HOST:PORT,... '
        f'(default: environment variable {BOXES_VARIABLE}).',
        flag=False,
    ),
    option('json', None, 'Print JSON.', flag=True),
]


class RemoteCommand(command.Command):
    """Base class of commands that call boxes.

    Subclasses define ``async run_async(client)``, which returns the exit
    status.
    """

    options = REMOTE_OPTIONS

    def handle(self):
        """Run the command; report a failure as one line and an exit status."""
        text = self.option('boxes') or os.environ.get(BOXES_VARIABLE, '')
        key = os.environ.get(KEY_VARIABLE, '')
        if not text or not key:
            self.line_error(
                f'set {KEY_VARIABLE}, and {BOXES_VARIABLE} or --boxes'
            )
            return BAD_INPUT
        try:
            client = remote.FleetClient(remote.parse_boxes(text), key)
            return asyncio.run(self.run_async(client))
        except remote.RemoteError as error:
            self.line_error(str(error))
            return FAILED
        except OSError as error:
            self.line_error(f'{error.filename}: {error.strerror}')
            return BAD_INPUT

    async def run_async(self, client):
        """Run the command and return its exit status; subclasses define it."""
        raise NotImplementedError

    def print_table(self, value, headers, rows):
        """Print `value` as JSON with --json, else `rows` as a table."""
        if self.option('json'):
            self.line(json.dumps(value, indent=2))
            return
        cells = [[str(cell) for cell in row] for row in rows]
        self.render_table(list(headers), cells, style='compact')

    def print_problems(self, problems):
        """Print the problems of a draft and return the exit status."""
        for problem in problems:
            prefix = f'line {problem.line}: ' if problem.line else ''
            self.line_error(prefix + problem.text)
        return BAD_INPUT
