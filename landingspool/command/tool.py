"""The command-line tool `landingspool`."""

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
    """Build the tool with all its commands."""
    tool = application.Application('landingspool', landingspool.VERSION)
    for kind in COMMANDS:
        tool.add(kind())
    return tool


def main():
    """Run the tool; returns the exit status."""
    return make_application().run()


if __name__ == '__main__':
    sys.exit(main())
