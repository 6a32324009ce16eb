"""Entry point of the command-line tool `landingspool`."""

import sys

from cleo import application

import landingspool
from landingspool.command import state
from landingspool.command import tables

COMMANDS = (
    tables.Show,
    tables.Export,
    tables.Import,
    tables.Edit,
    tables.Diff,
    tables.Publish,
    state.Status,
    state.Timeline,
    state.Explain,
    state.Drain,
    state.Check,
)


def make_application():
    """Return the application with all commands."""
    tool = application.Application('landingspool', landingspool.VERSION)
    for command_class in COMMANDS:
        tool.add(command_class())
    return tool


def main():
    """Run the tool and return its exit status."""
    return make_application().run()


if __name__ == '__main__':
    sys.exit(main())
