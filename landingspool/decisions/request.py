"""State machine of one request at its entry box.

The verdict of an answer, i.e. whether the request was executed, follows from
the state.  A request has not run until the first byte of a dispatch is passed
to the network.  From then on it may have run, unless the target reports that
it did not start.  A transition that is missing from the table raises
`UnexpectedSignal`.
"""

import enum
import typing

from landingspool import verdict

Verdict = verdict.Verdict
NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN
RAN = Verdict.RAN


class State(enum.Enum):
    """Stage of a request."""

    NEW = 'new'
    CLAIMING = 'claiming'
    ASKING = 'asking'
    GRANTED = 'granted'
    SENT = 'sent'
    STREAMING = 'streaming'
    BROKEN = 'broken'
    DONE = 'done'


class Signal(enum.Enum):
    """Event that moves a request to another state."""

    START = 'start'
    START_CLAIM = 'start_claim'
    CLAIM_WON = 'claim_won'
    CLAIM_FAILED = 'claim_failed'
    GRANT = 'grant'
    REFUSE = 'refuse'
    STALE = 'stale'
    SEND = 'send'
    NOT_STARTED = 'not_started'
    TOKEN = 'token'
    END = 'end'
    CUT = 'cut'
    RESUME = 'resume'
    RETRY = 'retry'
    GIVE_UP = 'give_up'
    CALLER_GONE = 'caller_gone'


class UnexpectedSignal(Exception):
    """A signal that the state table does not allow; an internal error."""


class RequestState(typing.NamedTuple):
    """State of one request.

    Attributes
    ----------
    repeatable : bool
        Whether the request may be executed more than once.
    state : State
    verdict : Verdict
        Verdict on the execution if the request ended now.
    previous_verdict : Verdict
        Verdict before the current attempt.  It is restored if the target
        reports that this attempt did not start.
    tokens : int
        Number of tokens delivered to the caller so far.
    tries : int
        Number of dispatches.
    """

    repeatable: bool
    state: State = State.NEW
    verdict: Verdict = NOT_RUN
    previous_verdict: Verdict = NOT_RUN
    tokens: int = 0
    tries: int = 0


def _move_to(state):
    return lambda current: current._replace(state=state)


def _send(current):
    return current._replace(
        state=State.SENT,
        verdict=MAY_HAVE_RUN,
        previous_verdict=current.verdict,
        tries=current.tries + 1,
    )


def _not_started(current):
    # Only the current attempt did not start.  An earlier attempt of a
    # repeatable request may have run, so its verdict is restored.
    return current._replace(
        state=State.ASKING, verdict=current.previous_verdict
    )


def _token(current):
    return current._replace(state=State.STREAMING, tokens=current.tokens + 1)


def _end(current):
    return current._replace(state=State.DONE, verdict=RAN)


_BEFORE_DISPATCH = (State.NEW, State.CLAIMING, State.ASKING, State.GRANTED)
_DISPATCHED = (State.SENT, State.STREAMING, State.BROKEN)

TABLE = {
    (State.NEW, Signal.START): _move_to(State.ASKING),
    (State.NEW, Signal.START_CLAIM): _move_to(State.CLAIMING),
    (State.CLAIMING, Signal.CLAIM_WON): _move_to(State.ASKING),
    (State.CLAIMING, Signal.CLAIM_FAILED): _move_to(State.DONE),
    (State.ASKING, Signal.GRANT): _move_to(State.GRANTED),
    (State.ASKING, Signal.REFUSE): _move_to(State.DONE),
    (State.GRANTED, Signal.STALE): _move_to(State.ASKING),
    (State.GRANTED, Signal.SEND): _send,
    (State.SENT, Signal.NOT_STARTED): _not_started,
    (State.SENT, Signal.TOKEN): _token,
    (State.SENT, Signal.END): _end,
    (State.SENT, Signal.CUT): _move_to(State.BROKEN),
    (State.STREAMING, Signal.TOKEN): _token,
    (State.STREAMING, Signal.END): _end,
    (State.STREAMING, Signal.CUT): _move_to(State.BROKEN),
    (State.BROKEN, Signal.RESUME): _move_to(State.STREAMING),
    (State.BROKEN, Signal.RETRY): _move_to(State.ASKING),
    **{
        (s, Signal.GIVE_UP): _move_to(State.DONE)
        for s in _BEFORE_DISPATCH + _DISPATCHED
    },
    **{
        (s, Signal.CALLER_GONE): _move_to(State.DONE)
        for s in _BEFORE_DISPATCH + _DISPATCHED
    },
}


def advance(current, signal):
    """Return the state of a request after a signal.

    Raises
    ------
    UnexpectedSignal
        If the table has no transition for the signal in this state, or if
        a retry might execute non-repeatable work twice.

    >>> current = RequestState(repeatable=False)
    >>> for signal in (Signal.START, Signal.GRANT, Signal.SEND):
    ...     current = advance(current, signal)
    >>> current.state.value, current.verdict.value
    ('sent', 'may_have_run')
    """
    step = TABLE.get((current.state, signal))
    if step is None:
        raise UnexpectedSignal(
            f'{signal.value} in state {current.state.value}'
        )
    if signal is Signal.RETRY and not may_retry(current):
        raise UnexpectedSignal('retry of a request that must not run twice')
    return step(current)


def may_retry(current):
    """Return whether a broken request may be dispatched again.

    Non-repeatable work is not retried once it may have run.  A request whose
    first tokens were delivered is not retried either: a second run would
    give a different answer, and the caller would get a mixture of the two.
    """
    if current.verdict is NOT_RUN:
        return True
    return current.repeatable and current.tokens == 0
