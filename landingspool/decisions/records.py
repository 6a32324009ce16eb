"""The records that are shared by all modules of the decision logic.

They are immutable and hold plain values only, so that they can be compared
in tests, written to the timeline and sent over a link unchanged.
"""

import typing

from landingspool.decisions import decoding


class Row(typing.NamedTuple):
    """One row of the operators' table: the quota of one workspace.

    Attributes
    ----------
    workspace : str
    weight : float
        Share of service relative to other workspaces, above 0.
    share : float
        Fraction of the KV cache stores reserved for it, 0 to 1.
    limit : int
        Maximum requests in flight over all failure domains, at least 1.
    priority : int
        Class of service; a higher one is served first.
    key_hash : str
        SHA-256 of its bearer key in hexadecimal digits.
    revision : int
        One more than the log offset of the publish that last changed the
        row; 0 for a row that has not been published yet.
    """

    workspace: str
    weight: float
    share: float
    limit: decoding.Whole
    priority: decoding.Whole
    key_hash: str
    revision: decoding.Whole = 0


class Block(typing.NamedTuple):
    """A sealed block of cached context in a store.

    Attributes
    ----------
    key : str
        Chain hash over workspace, model, adapter, pieces and version.
    store : str
        Name of the store box.
    write : str
        Identifier of the write; never reused.
    length : int
        Size in bytes.
    checksum : str
        BLAKE2b digest of the bytes, in hexadecimal digits.
    """

    key: str
    store: str
    write: str
    length: int
    checksum: str


class Report(typing.NamedTuple):
    """A load report of a target.

    `age` is its age in seconds on arrival, `prefill` the prefill rate in
    tokens per second, `step` the decode time in seconds per token.
    `incarnation` changes when the target restarts.
    """

    target: str
    incarnation: str
    age: float
    slots: int
    running: int
    queued_tokens: int
    prefill: float
    step: float
    version: str
    leaving: bool
    ready: bool


class Member(typing.NamedTuple):
    """A machine of the live list.

    `kind` is ``entry``, ``target``, ``plain`` or ``store``; `model` is the
    model that a target serves, or the name of a plain service.  `port` is
    its service port; an entry box accepts links there, and operators at
    `operators_port`.
    """

    name: str
    kind: str
    domain: str
    host: str
    port: int
    model: str = ''
    incarnation: str = ''
    leaving: bool = False
    checks_fences: bool = True
    operators_port: int = 0


class Work(typing.NamedTuple):
    """The properties of a request that a scheduler needs.

    Attributes
    ----------
    request, workspace, model : str
    entry : str
        Name of the entry box that received the request.
    pieces : tuple of bytes
        Keys of the pieces of its prompt, each a chain hash.
    prompt_tokens, output_tokens : int
        Size of the prompt and maximum size of the answer.
    waited, left : float
        Seconds since its arrival and until its deadline.  These are
        durations and not times, because the clocks of boxes differ.
    offset : int
        Offset of the configuration under which it was admitted.
    pool : str
        The shard that is asked for a slot.
    hops : int
        How often it was forwarded to another failure domain.
    avoid : tuple of str
        Targets at which earlier attempts failed.
    """

    request: str
    entry: str
    workspace: str
    model: str
    pieces: tuple[bytes, ...]
    prompt_tokens: int
    output_tokens: int
    waited: float
    left: float
    offset: int
    pool: str = ''
    hops: int = 0
    avoid: tuple[str, ...] = ()


class Problem(typing.NamedTuple):
    """An error as a record: its subject, a reason code and a text."""

    subject: str
    reason: str
    text: str


class Waiting(typing.NamedTuple):
    """A waiting request with its arrival time and deadline, in seconds."""

    work: Work
    arrived: float
    deadline: float
