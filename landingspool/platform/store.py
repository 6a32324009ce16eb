"""Client of the platform's store: a log of records in topics.

Every call returns one of the outcomes below; failures of the store or the
network raise no exception.
"""

import base64
import collections
import dataclasses
import json
import struct
import typing
from urllib import parse

import msgspec

from landingspool import boot_clock
from landingspool.decisions import decoding
from landingspool.decisions.gateway import tail
from landingspool import http
from landingspool.platform import names

# Seconds for an answer, in addition to the hold time of a read.  The store
# answers in 4 ms, and in a quarter of a second when it is slow.
ANSWER_S = 1.0
LENGTH = struct.Struct('>I')
# Start of the answer to a read: the end of the log and its first offset.
LOG_BOUNDS = struct.Struct('>QQ')
PARTITION = '0'
MAX_KB = '1024'
# Bound of the answer to a read: MAX_KB, one record of 256 KiB beyond it, and
# the bounds of the log.
READ_MAX_BYTES = 2 * 1024 * 1024
# The same for a page of newest records: 1 MB or a record beyond it in base64,
# and 500 keys of 255 bytes.
NEWEST_MAX_BYTES = 4 * 1024 * 1024
# Pages of newest records in one topic: 100,000 keys at 500 a page.
MAX_NEWEST_PAGES = 200
# What may show that a topic was rolled back: an end below a known one in the
# answer to a call, another record at a known offset, the word of a box.
READ = 'read'
NEWEST = 'newest'
APPEND = 'append'
RECORD = 'record'
PEER = 'peer'
# Bound of the answer to an append, which is two offsets.
APPEND_MAX_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True)
class Page:
    """Records from a read that began at `sent`.

    `records` are tail.Record; `end` is the offset after the last one.  If the
    page is not `whole`, more records were available than fitted into it, so
    it does not hold all that was published until `sent`.
    """

    records: tuple
    end: int
    sent: float
    whole: bool = True


@dataclasses.dataclass(frozen=True)
class Newest:
    """The newest tail.Record of each key.

    `passed_over` has the rows that could not be decoded, for the log.
    """

    records: tuple
    end: int
    sent: float
    passed_over: tuple = ()


@dataclasses.dataclass(frozen=True)
class Appended:
    """An append was done; `offset` is that of its record."""

    offset: int
    sent: float


@dataclasses.dataclass(frozen=True)
class Conflict:
    """An append was not done since the topic ends at another offset."""

    end: int


@dataclasses.dataclass(frozen=True)
class Forgotten:
    """The requested records are no longer in the log."""


@dataclasses.dataclass(frozen=True)
class RolledBack:
    """The topic has lost its newest records; their offsets are given again.

    `known` is the end that was known, `found` the end that was found, None if
    it wasn't told, and `noticed` what showed it.  What was read from the store
    before `at` may be of the former history; None: before now.
    """

    topic: str
    known: int
    found: int | None
    noticed: str
    at: float | None = None


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """No usable answer; `done`: an append may have been done."""

    reason: str
    done: bool


class AppendedRecord(msgspec.Struct):
    """The answer to an append that was done."""

    offset: decoding.Count


class ConflictRecord(msgspec.Struct):
    """The answer to an append that was not done at its offset."""

    end: decoding.Count


class GoneRecord(msgspec.Struct):
    """The answer to a read from an offset that is not in the log."""

    first: decoding.Count


class NewestRow(msgspec.Struct):
    """The newest record of a key; its value is written in base64."""

    key: str
    value: str
    offset: decoding.Count


class NewestRecord(msgspec.Struct):
    """A page of newest records as it is written."""

    items: list[typing.Any]
    end: decoding.Count
    more: bool = False


class NewestPage(typing.NamedTuple):
    """A page of newest records.

    Attributes
    ----------
    records : list of tail.Record
    passed_over : list of str
        The rows that could not be decoded, and why.
    end : int
    after : str or None
        The key after which the next page begins; None on the last one.
    """

    records: list
    passed_over: list
    end: int
    after: str | None


APPENDED_DECODER = msgspec.json.Decoder(AppendedRecord)
CONFLICT_DECODER = msgspec.json.Decoder(ConflictRecord)
GONE_DECODER = msgspec.json.Decoder(GoneRecord)


class Store:
    """Client of the store at one address.

    Parameters
    ----------
    client : httpclient.Client
    address : http.Address
    clock : callable, optional
        Returns monotonic seconds.

    Attributes
    ----------
    calls : collections.Counter
        Number of calls by kind and topic; each call has a price.
    """

    def __init__(self, client, address, clock=boot_clock.read):
        self._client = client
        self._address = address
        self._clock = clock
        self.calls = collections.Counter()

    async def read(self, topic, start, hold_s):
        """Read the records of a keyed topic from an offset on.

        The store holds the call for up to `hold_s` seconds until there is a
        record.

        Returns
        -------
        Page, Forgotten, RolledBack or Unavailable
        """
        query = {
            'topic': topic,
            'part': PARTITION,
            'from': str(start),
            'max_kb': MAX_KB,
            'wait_ms': str(int(hold_s * 1000)),
        }
        sent = self._clock()
        reply = await self._call(
            'GET',
            names.READ_PATH,
            query,
            b'',
            hold_s + ANSWER_S,
            READ_MAX_BYTES,
        )
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 410:
            return explain_gone(topic, start, reply.body)
        if reply.status != 200:
            return Unavailable(f'status {reply.status}', False)
        try:
            log_end, pairs = decoding.decode('read', split_page, reply.body)
        except decoding.Malformed as error:
            return Unavailable(str(error), False)
        if log_end < start:
            return RolledBack(topic, start, log_end, READ)
        end = start + len(pairs)
        records = tuple(
            tail.Record(key, value, start + index)
            for index, (key, value) in enumerate(pairs)
        )
        return Page(records, end, sent, whole=end >= log_end)

    async def read_newest(self, topic):
        """Read the newest record of every key, page by page.

        Returns
        -------
        Newest or Unavailable
        """
        rows, odd, first_sent = [], [], self._clock()
        after = end = None
        for _ in range(MAX_NEWEST_PAGES):
            query = {'topic': topic, 'part': PARTITION}
            if after is not None:
                query['after'] = after
            reply = await self._call(
                'GET',
                names.NEWEST_PATH,
                query,
                b'',
                ANSWER_S,
                NEWEST_MAX_BYTES,
            )
            if isinstance(reply, Unavailable):
                return reply
            if reply.status != 200:
                return Unavailable(f'status {reply.status}', False)
            try:
                page = decoding.decode('newest', read_newest_page, reply.body)
            except decoding.Malformed as error:
                return Unavailable(str(error), False)
            rows += page.records
            odd += page.passed_over
            # The pages are no consistent snapshot: the reader reads changes
            # after the first page again, from its end on.
            end = page.end if end is None else end
            if page.after is None:
                return Newest(tuple(rows), end, first_sent, tuple(odd))
            after = page.after
        return Unavailable(f'newest: over {MAX_NEWEST_PAGES} pages', False)

    async def append(self, topic, key, value, at=None):
        """Append one record to a keyed topic.

        Parameters
        ----------
        at : int, optional
            Append only if the topic ends at this offset.

        Returns
        -------
        Appended, Conflict, RolledBack or Unavailable
        """
        query = {'topic': topic, 'part': PARTITION}
        if at is not None:
            query['at'] = str(at)
        sent = self._clock()
        body = pack_record(key, value)
        reply = await self._call(
            'POST',
            names.APPEND_PATH,
            query,
            body,
            ANSWER_S,
            APPEND_MAX_BYTES,
        )
        if isinstance(reply, Unavailable):
            return reply
        if reply.status not in (200, 412):
            return Unavailable(f'status {reply.status}', False)
        done = reply.status == 200
        decoder = APPENDED_DECODER if done else CONFLICT_DECODER
        try:
            record = decoding.decode('append', decoder.decode, reply.body)
        except decoding.Malformed as error:
            # The status tells whether it was done, but not the offset.
            return Unavailable(str(error), done)
        if done and at not in (None, record.offset):
            # Of another history of the log, or of another caller.
            reason = f'appended at {at}, answered {record.offset}'
            return Unavailable(reason, True)
        if done:
            return Appended(record.offset, sent)
        if at is not None and record.end < at:
            return RolledBack(topic, at, record.end, APPEND)
        return Conflict(record.end)

    async def _call(self, method, path, query, body, timeout, max_bytes):
        self.calls[f'{path.rsplit("-", 1)[-1]} {query["topic"]}'] += 1
        target = f'{path}?{parse.urlencode(query)}'
        try:
            return await self._client.fetch(
                self._address,
                method,
                target,
                body,
                timeout=timeout,
                max_bytes=max_bytes,
            )
        except http.Unreachable as error:
            return Unavailable(str(error), error.sent)


def explain_gone(topic, start, body):
    """Return why a read from an offset found it gone.

    >>> explain_gone('t', 4, b'{"first": 9}')
    Forgotten()
    >>> explain_gone('t', 4, b'{"first": 2}').known
    4

    Returns
    -------
    Forgotten or RolledBack
    """
    try:
        record = decoding.decode('gone', GONE_DECODER.decode, body)
    except decoding.Malformed:
        # Either way the newest records are read next.
        return Forgotten()
    if record.first > start:
        return Forgotten()
    return RolledBack(topic, start, None, READ)


def read_newest_page(value):
    """Decode a page of newest records.

    A row that can't be decoded is passed over, unless it is that of the
    table: the rows beside it are sound.

    Returns
    -------
    NewestPage

    Raises
    ------
    ValueError, RecursionError, decoding.Malformed
    """
    text = value.decode(errors='replace')
    page = msgspec.convert(json.loads(text), NewestRecord)
    found, odd = [], []
    for row in page.items:
        try:
            found.append(decoding.decode('row', read_newest_row, row))
        except decoding.Malformed as error:
            if is_table(row):
                # The read would prove the former table.
                raise
            odd.append(str(error))
    if not page.more or not page.items:
        return NewestPage(found, odd, page.end, None)
    if not found:
        raise ValueError('no row can be decoded')
    # Rows that can't be decoded at the end of a page come again in the next.
    return NewestPage(found, odd, page.end, found[-1].key)


def is_table(row):
    """Return whether a row of the newest records is that of the table."""
    return isinstance(row, dict) and row.get('key') == names.TABLE_KEY


def read_newest_row(row):
    """Return the tail.Record in one row of the newest records.

    Raises
    ------
    ValueError
        If it is none, or its key can't be encoded.
    """
    record = msgspec.convert(row, NewestRow)
    record.key.encode()
    value = base64.b64decode(record.value)
    return tail.Record(record.key, value, record.offset)


def split_page(data):
    """Split the answer to a read into the end of the log and its records.

    Raises
    ------
    ValueError, struct.error
        If it ends within a record.
    """
    log_end, _ = LOG_BOUNDS.unpack_from(data)
    if log_end > decoding.MAX_COUNT:
        raise ValueError(f'end {log_end}: not an offset')
    return log_end, split_records(data[LOG_BOUNDS.size :])


def pack_record(key, value):
    """Frame one keyed record.

    >>> pack_record('k', b'v')
    b'\\x00\\x00\\x00\\x03\\x01kv'
    """
    name = key.encode()
    data = bytes((len(name),)) + name + value
    return LENGTH.pack(len(data)) + data


def split_record(record):
    """Split one keyed record into its key and value.

    Its writer may have put in anything; the records next to it stay valid.

    >>> split_record(b'\\x02\\xff\\xfex'), split_record(b'')
    (('\\\\xff\\\\xfe', b'x'), ('', b''))
    """
    if not record:
        return '', b''
    size = record[0]
    key = record[1 : 1 + size].decode(errors='backslashreplace')
    return key, record[1 + size :]


def split_records(data):
    """Split framed keyed records into (key, value) pairs.

    >>> split_records(pack_record('a', b'1') + pack_record('b', b''))
    (('a', b'1'), ('b', b''))

    Raises
    ------
    ValueError
        If the data ends within a record.
    """
    rows = []
    start = 0
    while start < len(data):
        (length,) = LENGTH.unpack_from(data, start)
        record = data[start + LENGTH.size : start + LENGTH.size + length]
        if len(record) < length:
            raise ValueError('the last record is truncated')
        rows.append(split_record(record))
        start += LENGTH.size + length
    return tuple(rows)
