"""The typed messages between boxes, and their codes on the wire.

A message is a NamedTuple; on the wire it is a CBOR array of its code and
its fields.  A decorator gives each its code, so that the registry is the
one list of what may be sent.  Codes are never used again for another
meaning: a box of the version before must be able to refuse them.
"""

import typing

import msgspec

from landingspool.decisions import records

REGISTRY = {}


def register(code, vital=False):
    """Register a message class under its code on the wire.

    Parameters
    ----------
    code : int
    vital : bool
        Whether a full queue drops other messages before this one.
    """

    def add(kind):
        if code in REGISTRY:
            raise ValueError(f'code {code} is taken')
        REGISTRY[code] = kind
        kind.CODE = code
        kind.VITAL = vital
        return kind

    return add


@register(1, vital=True)
class Ask(typing.NamedTuple):
    """An entry box asks the scheduler of a pool for a place."""

    work: records.Work


@register(2, vital=True)
class Grant(typing.NamedTuple):
    """A scheduler gives a request its place at a target.

    `valid` is the number of seconds for which the place may be used;
    `leave` the number after which it is taken back unless renewed.
    """

    request: str
    grant: str
    target: str
    incarnation: str
    version: str
    valid: float
    lease: float
    fetch: tuple[records.Block, ...]
    cached: int
    offset: int


@register(3, vital=True)
class Refuse(typing.NamedTuple):
    """A scheduler refuses a request; it did not run."""

    request: str
    reason: str
    retry_after: float


@register(4, vital=True)
class Spill(typing.NamedTuple):
    """A scheduler sends a request on to another failure domain."""

    request: str
    domain: str


@register(5, vital=True)
class Done(typing.NamedTuple):
    """An entry box gives a place back, with what it cost.

    What the scheduler knows of the grant is not said again.  `held` is the
    number of seconds from the dispatch to the end; `fetched` the number of
    blocks that were imported before it, which took `fetch_s` seconds.
    """

    request: str
    grant: str
    outcome: str
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    pool: str
    held: float
    fetched: int = 0
    fetch_s: float = 0.0


@register(6, vital=True)
class Withdraw(typing.NamedTuple):
    """An entry box no longer wants a place."""

    request: str
    pool: str


class Held(typing.NamedTuple):
    """A grant that an entry box holds, for a scheduler that starts."""

    work: records.Work
    grant: str
    target: str


@register(7, vital=True)
class Announce(typing.NamedTuple):
    """What an entry box holds and what it waits for, in one pool.

    Sent to a scheduler that is new, and in every renewal period, so that
    grants of a dead box lapse and a new scheduler starts with the truth.
    """

    entry: str
    pool: str
    held: tuple[Held, ...]
    waiting: tuple[records.Work, ...]
    renewed: tuple[str, ...] = ()


@register(8, vital=True)
class Unknown(typing.NamedTuple):
    """A scheduler was told of grants that it does not know."""

    pool: str
    scheduler: str


@register(9, vital=True)
class Queued(typing.NamedTuple):
    """A scheduler has heard a request, which waits in its queue."""

    request: str


@register(10, vital=True)
class Reserve(typing.NamedTuple):
    """Ask the limiter of a workspace for one of its places."""

    request: str
    entry: str
    workspace: str


@register(11, vital=True)
class Reserved(typing.NamedTuple):
    """The limiter's answer to Reserve."""

    request: str
    admitted: bool
    retry_after: float


@register(12, vital=True)
class Release(typing.NamedTuple):
    """Give a workspace's place back."""

    request: str
    workspace: str


@register(13, vital=True)
class Renew(typing.NamedTuple):
    """The places that an entry box still holds, by workspace.

    One message for all workspaces of one limiter, since most of the cost
    is in the message itself.
    """

    entry: str
    held: tuple[tuple[str, tuple[str, ...]], ...]


@register(14)
class Borrow(typing.NamedTuple):
    """Ask another domain's limiter for places of a workspace.

    `asked` is the asker's own monotonic time; the answer repeats it.
    """

    workspace: str
    domain: str
    amount: int
    asked: float


@register(15)
class Lend(typing.NamedTuple):
    """Places lent to another domain for `term` seconds from its ask."""

    workspace: str
    loan: str
    domain: str
    amount: int
    term: float
    asked: float


class Mark(typing.NamedTuple):
    """What is known of a member; a later incarnation or state wins."""

    name: str
    incarnation: str
    state: str
    count: int


@register(20)
class Probe(typing.NamedTuple):
    """Ask a box whether it is alive."""

    number: int
    marks: tuple[Mark, ...]


@register(21)
class Ack(typing.NamedTuple):
    """Answer to a Probe, perhaps on behalf of `subject`."""

    number: int
    subject: str
    marks: tuple[Mark, ...]


@register(22)
class ProbeFor(typing.NamedTuple):
    """Ask a box to probe another one on our behalf."""

    number: int
    subject: str
    marks: tuple[Mark, ...]


class Room(typing.NamedTuple):
    """Summary of a pool: free places and expected wait in seconds."""

    model: str
    free: int
    delay: float
    prefill: float
    targets: int


@register(23)
class Summary(typing.NamedTuple):
    """What one domain tells the others of its pools."""

    domain: str
    rooms: tuple[Room, ...]


@register(24, vital=True)
class Leaving(typing.NamedTuple):
    """A target is leaving; the mark sticks for its incarnation."""

    target: str
    incarnation: str


@register(30)
class Fetch(typing.NamedTuple):
    """Ask a peer for the log's records after an offset."""

    stream: str
    after: int


@register(31)
class Records(typing.NamedTuple):
    """Records of the log, relayed by a peer, in offset order."""

    stream: str
    after: int
    entries: tuple[tuple[int, bytes], ...]


@register(40, vital=True)
class Recall(typing.NamedTuple):
    """Ask the box that won a claim what became of the request."""

    request: str
    entry: str
    claim: str


@register(41, vital=True)
class Recalled(typing.NamedTuple):
    """The answer to Recall: the verdict and the kept answer, if any."""

    request: str
    verdict: str
    status: int
    answer: bytes


@register(51)
class Freed(typing.NamedTuple):
    """Blocks that are no longer to be offered."""

    pool: str
    keys: tuple[str, ...]


def pack(message):
    """Give the array that stands for a message on the wire.

    >>> pack(Refuse('r1', 'full', 2.0))
    [3, 'r1', 'full', 2.0]
    """
    return [message.CODE, *message]


def unpack(array):
    """Check an array from the wire.

    Returns
    -------
    tuple of (message or None, Problem or None)

    >>> unpack([3, 'r1', 'full', 2.0])[0]
    Refuse(request='r1', reason='full', retry_after=2.0)
    >>> unpack([3, 'r1', 7, 2.0])[1].reason
    'bad_message'
    >>> unpack([99])[1].reason
    'unknown_code'
    """
    if not isinstance(array, list) or not array:
        return None, records.Problem('-', 'bad_message', 'not an array')
    code = array[0]
    kind = REGISTRY.get(code) if isinstance(code, int) else None
    if kind is None:
        return None, records.Problem(str(code), 'unknown_code', 'no message')
    try:
        return msgspec.convert(array[1:], kind), None
    except msgspec.ValidationError as error:
        text = str(error)
        return None, records.Problem(kind.__name__, 'bad_message', text)
