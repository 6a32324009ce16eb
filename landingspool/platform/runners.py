"""Control calls to targets and to stores of cached context.

A target may send an answer once more, in the place of the next one, and these
answers do not say to which call they belong.  What a call reads is told by its
fields, and by a position or a number of its own.  A call that changes
something has a connection of its own, where no answer to another call comes.
"""

import dataclasses
import json
import typing

import msgspec

from landingspool.decisions import decoding
from landingspool.decisions.gateway import context_index
from landingspool.decisions.gateway import fleet
from landingspool import http
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import notices

# Seconds for an answer.  A report takes a few milliseconds; a held call gets
# its hold time in addition.
ANSWER_S = 1.0
# The same for an order: if its answer is late, reports tell of the load.
ORDER_ANSWER_S = 0.5
# Bound of a report, which lists the models of a target.
REPORT_MAX_BYTES = 256 * 1024
# The same for an order or a free, of which only the status is used.
CONFIRMATION_MAX_BYTES = 64 * 1024
# The same for the cached parts of a target or a store: 100,000 rows of 80
# bytes.
CACHE_MAX_BYTES = 8 * 1024 * 1024


MAX_PART_TOKENS = 10**9


@dataclasses.dataclass(frozen=True)
class Report:
    """State that a target reports, some hundred milliseconds old.

    `orders` is the number of orders that the target has taken, and `born` the
    start of its incarnation in Unix milliseconds; 0 if not stated.
    """

    versions: dict
    busy: bool
    orders: int
    waiting: int
    running: int
    born: int = 0

    def is_other_incarnation(self, incarnation):
        """Return whether it is from another incarnation than `incarnation`."""
        return bool(
            self.born and incarnation.born and self.born != incarnation.born
        )


@dataclasses.dataclass(frozen=True)
class Taken:
    """An order was accepted; `done`: it had been carried out before."""

    done: bool


@dataclasses.dataclass(frozen=True)
class Refused:
    """An order was refused; `fenced`: the target has seen a higher fence."""

    status: int
    fenced: bool


@dataclasses.dataclass(frozen=True)
class Unanswered:
    """No usable answer; `sent`: the call may have arrived.

    `refused`: nothing listens at the address.
    """

    reason: str
    sent: bool
    refused: bool = False


# Tokens of one cached part: sums over all parts that a target can hold stay
# exact.
Tokens = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_PART_TOKENS)]


class ReportRecord(msgspec.Struct):
    """State that a target reports, as it is written.

    Attributes
    ----------
    sequence : int
        Number of orders that the target has taken.
    """

    busy: bool
    sequence: decoding.Count
    queue_depth: decoding.Count = 0
    active_requests: decoding.Count = 0
    born: decoding.TimeMs | None = None
    models: list[catalogue.ModelRecord] | None = None


class EventRow(msgspec.Struct, array_like=True):
    """One cache event."""

    number: typing.Any
    sign: str
    space: str
    part: str
    tokens: Tokens


class ListedRow(msgspec.Struct, array_like=True):
    """One cached part in a list."""

    space: str
    part: str
    tokens: Tokens


class IncompleteRow(msgspec.Struct, array_like=True):
    """One incomplete part in a list."""

    space: str
    part: str
    tokens: Tokens
    room: Tokens


class CacheRecord(msgspec.Struct):
    """What answers with cache events and with lists have in common.

    Attributes
    ----------
    next_token : int
        Position of the next call; a count of events, in spite of its name.
    clock_ms : float or None
        The targets' clock in milliseconds.
    partial : list of IncompleteRow
        The incomplete parts.
    """

    epoch: decoding.Whole
    next_token: decoding.Count
    lost: bool | None = None
    clock_ms: decoding.Figure | None = None
    partial: list[IncompleteRow] | None = None


class EventsRecord(CacheRecord, kw_only=True):
    """An answer with cache events."""

    events: list[EventRow]


class ListRecord(CacheRecord, kw_only=True):
    """An answer with a list of cached parts."""

    held: list[ListedRow]


REPORT_DECODER = msgspec.json.Decoder(ReportRecord, strict=False)
EVENTS_DECODER = msgspec.json.Decoder(EventsRecord, strict=False)
LIST_DECODER = msgspec.json.Decoder(ListRecord, strict=False)


class Runners:
    """Client of the control interface of targets and stores.

    Parameters
    ----------
    client : httpclient.Client
    observer
        Receives the notices in the answers.  Has ``begin_call(address)``,
        ``take_answer(called, notices)``, which gets the result of the former,
        and ``record_malformed(address, subject, reason)`` for an answer that
        can't be decoded.
    """

    def __init__(self, client, observer):
        self._client = client
        self._observer = observer

    async def report(self, address):
        """Fetch the state of a target; a Report or Unanswered."""
        reply = await self._call(
            address, 'GET', names.REPORT_PATH, max_bytes=REPORT_MAX_BYTES
        )
        if isinstance(reply, Unanswered):
            return reply
        return self._decode(address, 'report', read_report, reply)

    async def order(self, address, order, taken, holder, fence):
        """Order a target to load a version; running requests continue.

        Parameters
        ----------
        order : rollouts.Order
        taken : int
            Number of orders that the target has taken so far; it refuses this
            one if it has taken another since.

        Returns
        -------
        Taken, Refused or Unanswered
        """
        body = {
            'op': 'version',
            'model': order.model,
            'version': order.version,
            # Running requests keep their memory and use the new weights.
            'manner': 'retain',
            'holder': holder,
            'fence': fence,
            'expected': taken,
        }
        headers = [
            ('content-type', 'application/json'),
            (names.ONLY_TARGET, fleet.parse_incarnation(order.target).target),
        ]
        data = json.dumps(body).encode()
        reply = await self._call(
            address,
            'POST',
            names.ORDER_PATH,
            data,
            headers,
            ORDER_ANSWER_S,
            fresh=True,
        )
        if isinstance(reply, Unanswered):
            return reply
        if reply.status in (200, 202):
            return Taken(reply.status == 200)
        return Refused(reply.status, reply.status == 412)

    async def read_events(self, address, since, hold_s):
        """Read the cache events after `since`; a CacheUpdate or Unanswered."""
        headers = [(names.WAIT, str(int(hold_s * 1000)))]
        path = f'{names.EVENTS_PATH}?since={since}'
        reply = await self._call(
            address,
            'GET',
            path,
            headers=headers,
            timeout=hold_s + ANSWER_S,
            max_bytes=CACHE_MAX_BYTES,
        )
        return self._decode_changes(address, 'events', read_events, reply)

    async def read_list(self, address):
        """Read the list of cached parts; a CacheUpdate or Unanswered."""
        reply = await self._call(
            address, 'GET', names.LIST_PATH, max_bytes=CACHE_MAX_BYTES
        )
        return self._decode_changes(address, 'list', read_list, reply)

    async def free(self, address, epoch, parts, until_ms):
        """Free parts of a store; True if the store confirms it.

        Parameters
        ----------
        parts : sequence of tuple of str
            (namespace, part name) each.
        until_ms : float or None
            Milliseconds on the targets' clock; the store ignores a call that
            arrives later.
        """
        body = {'parts': [list(part) for part in parts], 'epoch': epoch}
        if until_ms is not None:
            body['until_ms'] = int(until_ms)
        headers = [('content-type', 'application/json')]
        data = json.dumps(body).encode()
        reply = await self._call(
            address, 'POST', names.FREE_PATH, data, headers, fresh=True
        )
        return not isinstance(reply, Unanswered) and reply.status == 200

    def _decode_changes(self, address, subject, read, reply):
        """Return the CacheUpdate in an answer, or Unanswered."""
        if isinstance(reply, Unanswered):
            return reply
        if reply.status != 200:
            return Unanswered(f'status {reply.status}', True)
        return self._decode(address, subject, read, reply)

    def _decode(self, address, subject, read, reply):
        """Return what `read` finds in an answer, or Unanswered."""
        try:
            return decoding.decode(subject, read, reply.body)
        except decoding.Malformed as error:
            self._observer.record_malformed(address, subject, str(error))
            return Unanswered(str(error), True)

    async def _call(
        self,
        address,
        method,
        path,
        body=b'',
        headers=(),
        timeout=ANSWER_S,
        fresh=False,
        max_bytes=CONFIRMATION_MAX_BYTES,
    ):
        called = self._observer.begin_call(address)
        try:
            reply = await self._client.fetch(
                address,
                method,
                path,
                body,
                headers,
                timeout,
                fresh,
                max_bytes,
            )
        except http.Unreachable as error:
            return Unanswered(str(error), error.sent, error.refused)
        notices_found = notices.read_folded_notices(
            reply.status, reply.headers
        )
        self._observer.take_answer(called, notices_found)
        return reply


def read_report(value):
    """Decode the report of a target.

    Raises
    ------
    ValueError, RecursionError
    """
    row = REPORT_DECODER.decode(value)
    return Report(
        versions={model.name: model.version for model in row.models or ()},
        busy=row.busy,
        orders=row.sequence,
        waiting=row.queue_depth,
        running=row.active_requests,
        born=row.born or 0,
    )


def read_events(value):
    """Decode an answer with cache events.

    >>> read_events(
    ...     b'{"epoch": 7, "next_token": 9,'
    ...     b' "events": [[119, "+", "s1", "5c", 800, "m"]]}'
    ... ).changes
    (Change(space='s1', part='5c', tokens=800),)
    """
    record = EVENTS_DECODER.decode(value)
    return make_update(record, record.events, whole=False)


def read_list(value):
    """Decode a list of cached parts.

    >>> read_list(
    ...     b'{"epoch": 7, "next_token": 9, "held": [],'
    ...     b' "partial": [["s1", "5c", 100, 800]]}'
    ... ).incomplete
    (IncompletePart(space='s1', part='5c', tokens=100, room=800),)
    """
    record = LIST_DECODER.decode(value)
    return make_update(record, record.held, whole=True)


def make_update(record, rows, whole):
    """Return the CacheUpdate in an answer of a target or store.

    Parameters
    ----------
    record : CacheRecord
    rows : list of EventRow or ListedRow
    whole : bool
        Whether the rows are the complete list.
    """
    return context_index.CacheUpdate(
        epoch=record.epoch,
        next=record.next_token,
        lost=bool(record.lost),
        changes=tuple(
            context_index.Change(row.space, row.part, row.tokens)
            for row in rows
        ),
        whole=whole,
        clock_ms=record.clock_ms,
        incomplete=tuple(
            context_index.IncompletePart(
                row.space, row.part, row.tokens, row.room
            )
            for row in record.partial or ()
        ),
    )
