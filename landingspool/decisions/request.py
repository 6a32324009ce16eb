"""The life of one request at its entry box, as a state table.

The verdict of every answer is read off the state: until the first byte of
a dispatch is handed to the network the request has not run, and from there
on it may have, unless the target's protocol says that it did not start.
What is not in the table can't happen silently: it raises `Unexpected`.
"""

import enum
import typing

from landingspool import verdict

Verdict = verdict.Verdict
NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN
RAN = Verdict.RAN


class State(enum.Enum):
    """Where a request is."""

    NEW = 'new'
    CLAIMING = 'claiming'
    ASKING = 'asking'
    GRANTED = 'granted'
    SENT = 'sent'
    STREAMING = 'streaming'
    BROKEN = 'broken'
    DONE = 'done'


class Signal(enum.Enum):
    """What can happen to a request."""

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


class Unexpected(Exception):
    """A signal that the state table has no row for: a fault of ours."""


class Life(typing.NamedTuple):
    """The state of one request.

    Attributes
    ----------
    state : State
    repeatable : bool
    verdict : Verdict
        What is known of its execution if it ended now.
    before : Verdict
        The verdict before the present try, which comes back when the
        target says that this try did not start.
    tokens : int
        Tokens handed to the caller so far.
    tries : int
        How often it was dispatched.
    """

    repeatable: bool
    state: State = State.NEW
    verdict: Verdict = NOT_RUN
    before: Verdict = NOT_RUN
    tokens: int = 0
    tries: int = 0


def _to(state):
    return lambda life: life._replace(state=state)


def _send(life):
    return life._replace(
        state=State.SENT,
        verdict=MAY_HAVE_RUN,
        before=life.verdict,
        tries=life.tries + 1,
    )


def _not_started(life):
    # The target says that this try did not start.  An earlier try of a
    # repeatable request may have: its verdict stays.
    return life._replace(state=State.ASKING, verdict=life.before)


def _token(life):
    return life._replace(state=State.STREAMING, tokens=life.tokens + 1)


def _end(life):
    return life._replace(state=State.DONE, verdict=RAN)


_ANY_WAIT = (State.NEW, State.CLAIMING, State.ASKING, State.GRANTED)
_ANY_RUN = (State.SENT, State.STREAMING, State.BROKEN)

TABLE = {
    (State.NEW, Signal.START): _to(State.ASKING),
    (State.NEW, Signal.START_CLAIM): _to(State.CLAIMING),
    (State.CLAIMING, Signal.CLAIM_WON): _to(State.ASKING),
    (State.CLAIMING, Signal.CLAIM_FAILED): _to(State.DONE),
    (State.ASKING, Signal.GRANT): _to(State.GRANTED),
    (State.ASKING, Signal.REFUSE): _to(State.DONE),
    (State.GRANTED, Signal.STALE): _to(State.ASKING),
    (State.GRANTED, Signal.SEND): _send,
    (State.SENT, Signal.NOT_STARTED): _not_started,
    (State.SENT, Signal.TOKEN): _token,
    (State.SENT, Signal.END): _end,
    (State.SENT, Signal.CUT): _to(State.BROKEN),
    (State.STREAMING, Signal.TOKEN): _token,
    (State.STREAMING, Signal.END): _end,
    (State.STREAMING, Signal.CUT): _to(State.BROKEN),
    (State.BROKEN, Signal.RESUME): _to(State.STREAMING),
    (State.BROKEN, Signal.RETRY): _to(State.ASKING),
    **{(s, Signal.GIVE_UP): _to(State.DONE) for s in _ANY_WAIT + _ANY_RUN},
    **{(s, Signal.CALLER_GONE): _to(State.DONE) for s in _ANY_WAIT + _ANY_RUN},
}


def advance(life, signal):
    """Give the life of a request after a signal.

    Raises
    ------
    Unexpected
        If the table has no row for the signal in this state.

    >>> life = Life(repeatable=False)
    >>> for signal in (Signal.START, Signal.GRANT, Signal.SEND):
    ...     life = advance(life, signal)
    >>> life.state.value, life.verdict.value
    ('sent', 'may_have_run')
    """
    step = TABLE.get((life.state, signal))
    if step is None:
        raise Unexpected(f'{signal.value} in state {life.state.value}')
    if signal is Signal.RETRY and not may_retry(life):
        raise Unexpected('retry of what must not run twice')
    return step(life)


def may_retry(life):
    """Tell whether a broken request may be dispatched once more.

    Work that must not be repeated never may, once it may have run.  Work
    whose first tokens the caller has may not either: another run would
    give another answer, and the caller would get a mixture of the two.
    """
    if life.verdict is NOT_RUN:
        return True
    return life.repeatable and life.tokens == 0
