"""How one try of a relayed request ended, as tagged outcomes."""

import dataclasses
import enum

from landingspool.platform import answers


class Cause(enum.StrEnum):
    """What ended a try whose answer did not come whole."""

    CLOSED = 'closed'
    DEAD_PATH = 'dead_path'
    SILENT = 'silent'
    PAUSED = 'paused'
    TIME_OVER = 'time_over'
    MALFORMED = 'malformed'
    STOPPED = 'stopped'


# Causes that are as they look where the target has ended without a word.
UNANSWERED = frozenset(
    (Cause.DEAD_PATH, Cause.SILENT, Cause.PAUSED, Cause.TIME_OVER)
)


@dataclasses.dataclass(frozen=True)
class Unreached:
    """No connection: nothing was sent."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Stale:
    """The choice was void before it could be carried out."""

    reason: str = 'stale'


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The target says that it has not run the request and won't."""

    head: answers.Head


@dataclasses.dataclass(frozen=True)
class Failed:
    """The target ran the request and answered with a failure."""

    head: answers.Head
    body: bytes


@dataclasses.dataclass(frozen=True)
class Lost:
    """The request was sent and no answer came back whole."""

    reason: str
    cause: Cause


@dataclasses.dataclass(frozen=True)
class Done:
    """The answer was passed on whole."""

    status: int


def describe(outcome):
    """Give one word or line for an outcome, for the log."""
    if isinstance(outcome, Rejected | Failed):
        return f'{type(outcome).__name__.lower()} {outcome.head.status}'
    return outcome.reason
