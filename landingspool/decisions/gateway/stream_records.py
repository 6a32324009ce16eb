"""Messages in which boxes tell and ask each other what began a stream."""

import typing

import msgspec

from landingspool.decisions import decoding
from landingspool.decisions.gateway import continuations
from landingspool.decisions.gateway import stream_bindings

MAX_TEXT_CHARS = 256
# Records in one message, which fit into a datagram however long their texts.
MAX_RECORDS = 12

Key = typing.Annotated[
    bytes,
    msgspec.Meta(
        min_length=stream_bindings.KEY_BYTES,
        max_length=stream_bindings.KEY_BYTES,
    ),
]
Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]
Milliseconds = typing.Annotated[
    int, msgspec.Meta(ge=0, le=decoding.MAX_MILLISECONDS)
]


class StreamRecord(typing.NamedTuple):
    """What began a stream.

    Attributes
    ----------
    key : bytes
        As returned by stream_bindings.make_key.
    service : str
    software : str or None
        None if streams of several bindings have the key.
    age_ms, left_ms : int
        Milliseconds since its first event, and until its caller gives up.
    """

    key: Key
    service: Text
    software: Text | None
    age_ms: Milliseconds
    left_ms: Milliseconds


class StreamRecords(typing.NamedTuple):
    """Tells a box of streams that it owns."""

    box: str
    records: tuple[StreamRecord, ...]


class StreamQuery(msgspec.Struct):
    """Asks a box for a stream of the route with this host and prefix.

    Attributes
    ----------
    wants_list : bool
        Whether the box is to read the newest targets before it answers.
    """

    key: Key
    host: str
    prefix: str
    wants_list: bool = False


class StreamReply(msgspec.Struct):
    """What a box knows of a stream, as continuations.Evidence.

    Attributes
    ----------
    record : StreamRecord or None
    only : tuple of str or None
        Service and software version.
    recent : list of tuple of str
        Services and software versions.
    list_s : float or None
        Age of the list of targets, seconds.  A box of an earlier version
        doesn't tell it.
    is_current : bool
        Whether that list was read after the question had come.
    """

    record: StreamRecord | None
    only: tuple[Text, Text] | None
    recent: list[tuple[Text, Text]]
    list_s: decoding.Age | None = None
    is_current: bool = False


def make_record(key, known, now):
    """Return the StreamRecord of a stream.

    Parameters
    ----------
    key : bytes
    known : stream_bindings.Known
    now : float
    """
    service, software = known.binding or ('', None)
    return StreamRecord(
        key,
        service,
        software,
        max(round((now - known.since) * 1000), 0),
        max(round((known.until - now) * 1000), 0),
    )


def read_record(record, now):
    """Return the stream_bindings.Known in a record.

    >>> known = stream_bindings.Known(
    ...     stream_bindings.Binding('s', 'v1'), 1.0, 9.0
    ... )
    >>> read_record(make_record(b'k', known, 4.0), 4.0) == known
    True
    """
    binding = None
    if record.software is not None:
        binding = stream_bindings.Binding(record.service, record.software)
    return stream_bindings.Known(
        binding, now - record.age_ms / 1000, now + record.left_ms / 1000
    )


def make_reply(key, evidence, now):
    """Return the StreamReply that tells the evidence of a box."""
    known = evidence.known
    return StreamReply(
        None if known is None else make_record(key, known, now),
        evidence.only,
        sorted(evidence.recent),
        evidence.list_s,
        evidence.is_current,
    )


def read_reply(reply, box, now):
    """Return the continuations.Evidence in the reply of a box."""
    only = reply.only
    return continuations.Evidence(
        None if reply.record is None else read_record(reply.record, now),
        None if only is None else stream_bindings.Binding(*only),
        frozenset(stream_bindings.Binding(*row) for row in reply.recent),
        box,
        reply.list_s,
        reply.is_current,
    )


def split_records(box, records):
    """Return the messages that tell a box of streams.

    >>> message, = split_records('b', ['one', 'two'])
    >>> message.records
    ('one', 'two')
    """
    return [
        StreamRecords(box, tuple(records[start : start + MAX_RECORDS]))
        for start in range(0, len(records), MAX_RECORDS)
    ]
