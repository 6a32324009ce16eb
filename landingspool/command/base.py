"""What all commands of the tool share: where to ask, how to print."""

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
NOT_HEARD = 4

BOXES_VARIABLE = 'LANDINGSPOOL_BOXES'
KEY_VARIABLE = 'LANDINGSPOOL_KEY'

REMOTE_OPTIONS = [
    option(
        'boxes',
        'b',
        "Operators' addresses, HOST:PORT,... "
        f'(default: the variable {BOXES_VARIABLE}).',
        flag=False,
    ),
    option('json', None, 'Print JSON.', flag=True),
]


class Base(command.Command):
    """A command that asks boxes.

    Subclasses give ``async act(remote)`` and return an exit status.
    """

    options = REMOTE_OPTIONS

    def handle(self):
        """Run the command; a failure is one line and a status."""
        text = self.option('boxes') or os.environ.get(BOXES_VARIABLE, '')
        key = os.environ.get(KEY_VARIABLE, '')
        if not text or not key:
            self.line_error(
                f'set {KEY_VARIABLE}, and {BOXES_VARIABLE} or --boxes'
            )
            return BAD_INPUT
        try:
            boxes = remote.Remote(remote.parse_boxes(text), key)
            return asyncio.run(self.act(boxes))
        except remote.Failure as error:
            self.line_error(str(error))
            return FAILED
        except OSError as error:
            self.line_error(f'{error.filename}: {error.strerror}')
            return BAD_INPUT

    async def act(self, boxes):
        """Do the work; given by each command."""
        raise NotImplementedError

    def show(self, value, headers, rows):
        """Print JSON where it is wanted, else a table."""
        if self.option('json'):
            self.line(json.dumps(value, indent=2))
            return
        cells = [[str(cell) for cell in row] for row in rows]
        self.render_table(list(headers), cells, style='compact')

    def refuse(self, problems):
        """Print what is wrong with a draft; returns the status."""
        for problem in problems:
            place = f'line {problem.line}: ' if problem.line else ''
            self.line_error(place + problem.text)
        return BAD_INPUT
