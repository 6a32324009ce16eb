"""The typed actions that the decision logic returns to the daemon."""

import typing

from landingspool.decisions import records
from landingspool.decisions import rollout


class Send(typing.NamedTuple):
    """Send a message to a box."""

    to: str
    message: typing.Any


class TimelineEvent(typing.NamedTuple):
    """Write an event to the timeline: its name and its fields."""

    event: str
    fields: dict


class Decide(typing.NamedTuple):
    """Pass a Grant or a Refuse to the task of a request."""

    request: str
    message: typing.Any


class Command(typing.NamedTuple):
    """Send an order of the scheduler of `pool` to a target."""

    order: rollout.Order
    member: records.Member
    pool: str


class Relay(typing.NamedTuple):
    """Pass a message that the core does not handle to the daemon's tasks."""

    sender: str
    message: typing.Any
