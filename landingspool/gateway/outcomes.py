"""Outcomes of one attempt to have a request answered by a target."""

import dataclasses
import enum

from landingspool.gateway import forwarded_rows
from landingspool.platform import answers


class Cause(enum.StrEnum):
    """Why an attempt got no complete answer."""

    CLOSED = 'closed'
    DEAD_PATH = 'dead_path'
    SILENT = 'silent'
    PAUSED = 'paused'
    TIME_OVER = 'time_over'
    MALFORMED = 'malformed'
    STOPPED = 'stopped'
    # It was taken back before the bound on the age of the weights.
    OLD_WEIGHTS = 'old_weights'
    # Another incarnation may have answered, whose software is not known.
    REBORN = 'reborn'


# Causes that a target which crashed without closing its connections brings
# about as well: the attempt may have ended by a crash.
UNANSWERED = frozenset(
    (Cause.DEAD_PATH, Cause.SILENT, Cause.PAUSED, Cause.TIME_OVER)
)
# Causes for which a request leaves a target that may be sound.
LEFT = frozenset((Cause.SILENT, Cause.PAUSED, Cause.OLD_WEIGHTS))


@dataclasses.dataclass(frozen=True)
class Unreached:
    """No connection could be opened; nothing was sent."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Stale:
    """The choice of the target no longer held; nothing was sent."""

    reason: str = 'stale'


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The target says that it has not executed the request and won't."""

    head: answers.Head


@dataclasses.dataclass(frozen=True)
class Failed:
    """The target answered with an error; it may have executed the request.

    `body` is None if it was too long or too slow to be read.
    """

    head: answers.Head
    body: bytes | None


@dataclasses.dataclass(frozen=True)
class Lost:
    """The request was sent and no complete answer came back."""

    reason: str
    cause: Cause


@dataclasses.dataclass(frozen=True)
class PeerRefused:
    """Another box says that the request was not executed and won't be.

    `retry_after_s` is None if that box named no time to retry.
    """

    status: int
    report: forwarded_rows.Report
    retry_after_s: float | None

    @property
    def reason(self):
        """Why the box did not serve it."""
        return self.report.reason or f'status {self.status}'


@dataclasses.dataclass(frozen=True)
class Done:
    """The complete answer was forwarded."""

    status: int


def is_sound(outcome):
    """Return whether a target may be sound in spite of an outcome.

    Returns
    -------
    bool or None
        None if nothing was sent to it.

    >>> is_sound(Lost('paused', Cause.PAUSED))
    True
    >>> is_sound(Lost('reset', Cause.CLOSED))
    False
    """
    if isinstance(outcome, Lost):
        return outcome.cause in LEFT
    if isinstance(outcome, Unreached):
        return None
    return isinstance(outcome, Rejected)


def is_left(outcome):
    """Return whether a request has left a target that was silent.

    >>> is_left(Lost('silent', Cause.SILENT))
    True
    >>> is_left(Lost('stale weights', Cause.OLD_WEIGHTS))
    False
    """
    return isinstance(outcome, Lost) and outcome.cause == Cause.SILENT


def describe(outcome):
    """Return a short text for an outcome, for the log."""
    if isinstance(outcome, Rejected | Failed):
        return f'{type(outcome).__name__.lower()} {outcome.head.status}'
    return outcome.reason
