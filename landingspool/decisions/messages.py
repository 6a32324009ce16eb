"""The typed messages between boxes and their codes on the wire.

A message is a NamedTuple; on the wire it is a CBOR array of its code and
its fields.  A decorator registers each class under its code, so that the
registry is the only list of what may be sent.  A code is never reused for
another meaning, because a box of the previous version must be able to
refuse the codes that it does not know.
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
        Whether a full queue drops messages of other classes first.
    """

    def add(kind):
        if code in REGISTRY:
            raise ValueError(f'message code {code} is registered already')
        REGISTRY[code] = kind
        kind.CODE = code
        kind.VITAL = vital
        return kind

    return add


@register(1, vital=True)
class Ask(typing.NamedTuple):
    """An entry box asks the scheduler of a pool for a slot."""

    work: records.Work


@register(2, vital=True)
class Grant(typing.NamedTuple):
    """A scheduler grants a request a slot at a target.

    `valid` is the number of seconds within which the request may be sent;
    `lease` the number of seconds after which the slot is reclaimed unless
    the lease is renewed.
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
    """A scheduler refuses a request; the request was not executed."""

    request: str
    reason: str
    retry_after: float


@register(4, vital=True)
class Spill(typing.NamedTuple):
    """A scheduler forwards a request to another failure domain."""

    request: str
    domain: str


@register(5, vital=True)
class Done(typing.NamedTuple):
    """An entry box releases a slot and reports what the request cost.

    Details of the grant that the scheduler knows are not repeated.  `held`
    is the number of seconds from dispatch to the end of the request;
    `fetched` the number of blocks imported before it, which took `fetch_s`
    seconds.
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
    """An entry box withdraws its request for a slot."""

    request: str
    pool: str


class Held(typing.NamedTuple):
    """A grant that an entry box holds, reported to a new scheduler."""

    work: records.Work
    grant: str
    target: str


@register(7, vital=True)
class Announce(typing.NamedTuple):
    """The grants that an entry box holds and awaits in one pool.

    Sent to a new scheduler and in every renewal period, so that the grants
    of a dead box expire and a new scheduler starts from the actual state.
    """

    entry: str
    pool: str
    held: tuple[Held, ...]
    waiting: tuple[records.Work, ...]
    renewed: tuple[str, ...] = ()


@register(8, vital=True)
class Unknown(typing.NamedTuple):
    """A scheduler received an announcement of grants unknown to it."""

    pool: str
    scheduler: str


@register(9, vital=True)
class Queued(typing.NamedTuple):
    """A scheduler has received a request and put it into its queue."""

    request: str


@register(10, vital=True)
class Reserve(typing.NamedTuple):
    """Ask the limiter of a workspace for a permit."""

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
    """Release a permit of a workspace."""

    request: str
    workspace: str


@register(13, vital=True)
class Renew(typing.NamedTuple):
    """The permits that an entry box still holds, by workspace.

    One message covers all workspaces of one limiter, because most of the
    cost is per message.
    """

    entry: str
    held: tuple[tuple[str, tuple[str, ...]], ...]


@register(14)
class Borrow(typing.NamedTuple):
    """Ask another domain's limiter for permits of a workspace.

    `asked` is the borrower's own monotonic time in seconds; the answer
    repeats it.
    """

    workspace: str
    domain: str
    amount: int
    asked: float


@register(15)
class Lend(typing.NamedTuple):
    """Permits lent to another domain for `term` seconds from `asked`."""

    workspace: str
    loan: str
    domain: str
    amount: int
    term: float
    asked: float


class Mark(typing.NamedTuple):
    """State of a member; a later incarnation or state takes precedence."""

    name: str
    incarnation: str
    state: str
    count: int


@register(20)
class Probe(typing.NamedTuple):
    """Check whether a box is alive."""

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
    """Ask a box to probe another one on behalf of the sender."""

    number: int
    subject: str
    marks: tuple[Mark, ...]


class Room(typing.NamedTuple):
    """Summary of a pool: free slots and expected wait in seconds."""

    model: str
    free: int
    delay: float
    prefill: float
    targets: int


@register(23)
class Summary(typing.NamedTuple):
    """Load of a domain's pools, reported to the other domains."""

    domain: str
    rooms: tuple[Room, ...]


@register(24, vital=True)
class Leaving(typing.NamedTuple):
    """A target is leaving; this holds for its whole incarnation."""

    target: str
    incarnation: str


@register(30)
class Fetch(typing.NamedTuple):
    """Ask a peer for the records of a log stream after an offset."""

    stream: str
    after: int


@register(31)
class Records(typing.NamedTuple):
    """Records of a log stream, relayed by a peer, in offset order."""

    stream: str
    after: int
    entries: tuple[tuple[int, bytes], ...]


@register(40, vital=True)
class Recall(typing.NamedTuple):
    """Ask the box that won a claim for the outcome of the request."""

    request: str
    entry: str
    claim: str


@register(41, vital=True)
class Recalled(typing.NamedTuple):
    """The answer to Recall: the verdict and the stored answer, if any."""

    request: str
    verdict: str
    status: int
    answer: bytes


@register(51)
class Freed(typing.NamedTuple):
    """Blocks that must no longer be offered."""

    pool: str
    keys: tuple[str, ...]


def pack(message):
    """Return the array that encodes a message on the wire.

    >>> pack(Refuse('r1', 'full', 2.0))
    [3, 'r1', 'full', 2.0]
    """
    return [message.CODE, *message]


def unpack(array):
    """Decode an array from the wire and check it.

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
        return None, records.Problem('-', 'bad_message', 'expected an array')
    code = array[0]
    kind = REGISTRY.get(code) if isinstance(code, int) else None
    if kind is None:
        return None, records.Problem(
            str(code), 'unknown_code', 'no such message'
        )
    try:
        return msgspec.convert(array[1:], kind), None
    except msgspec.ValidationError as error:
        text = str(error)
        return None, records.Problem(kind.__name__, 'bad_message', text)
