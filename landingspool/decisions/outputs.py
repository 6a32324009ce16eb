"""What the core gives back: typed outputs that the shell carries out."""

import typing

from landingspool.decisions import records
from landingspool.decisions import rollout


class Send(typing.NamedTuple):
    """A message and the box that it goes to."""

    to: str
    message: typing.Any


class TimelineEvent(typing.NamedTuple):
    """Something for the time line: an event name and its fields."""

    event: str
    fields: dict


class Decide(typing.NamedTuple):
    """An answer for the task of a request: a Grant or a Refuse."""

    request: str
    message: typing.Any


class Command(typing.NamedTuple):
    """An order to a target, of the scheduler of `pool`."""

    order: rollout.Order
    member: records.Member
    pool: str


class Relay(typing.NamedTuple):
    """A message that is not for the core: the shell's own tasks get it."""

    sender: str
    message: typing.Any
