"""Tell why connections of callers are closed, and what is lost by that.

A request that reaches a connection as it is closed gets no answer, and its
caller can't tell whether it was read.  Only the closing side knows what lay
unread at that moment.
"""

import enum
import typing


class Reason(enum.StrEnum):
    """Why a connection of a caller is closed."""

    CALLER = 'closed by the caller at rest'
    RESET = 'reset by the caller'
    IDLE = 'idle'
    DISPLACED = 'displaced'
    FULL = 'too many connections'
    STOPPING = 'stopping'
    UNREADABLE = 'unreadable request'
    LAST_ANSWER = 'last answer'
    BROKEN_OFF = 'answer broken off'
    LEFT = 'caller left before its answer'


class Closing(typing.NamedTuple):
    """A connection of a caller that is closed.

    Attributes
    ----------
    reason : Reason
    unread_bytes : int or None
        Received and not read by now; None if it can't be told any more.
    served : int
        Requests that were answered on it.
    waited_s : float
        Seconds for which it has waited for a request.
    limit_s : float
        Time-out of the wait in force, seconds.
    longest_rest_s : float
        The longest that it rested before a further request.
    peer : str
        Address of the caller; empty if it is not known.
    """

    reason: Reason
    unread_bytes: int | None
    served: int
    waited_s: float
    limit_s: float
    longest_rest_s: float = 0.0
    peer: str = ''


class Tally:
    """Reports each closed connection to the log and the metrics.

    Parameters
    ----------
    recorder : events.Recorder
    metrics : metrics.Metrics
    """

    def __init__(self, recorder, metrics):
        self._recorder = recorder
        self._metrics = metrics

    def record(self, closing):
        """Record a Closing."""
        self._metrics.closed_connections.labels(closing.reason).inc()
        self._recorder.record(
            'connection_closed',
            reason=closing.reason,
            unread=closing.unread_bytes,
            served=closing.served,
            waited_s=round(closing.waited_s, 4),
            limit_s=closing.limit_s,
            longest_rest_s=round(closing.longest_rest_s, 4),
            peer=closing.peer,
        )
