"""Client of model engines and plain services.

It reports what happened in terms of the protocol, such as an interrupted
stream, a refusal before the start or a receipt for a read.  It makes no
decisions.
"""

import dataclasses
import typing

import msgspec

from landingspool.decisions import blocks
from landingspool.decisions import decoding
from landingspool.decisions import records
from landingspool import http
from landingspool import timeouts

LOAD_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 1.0
EXPORT_TIMEOUT_S = 20.0
# A block whose read takes longer could have been computed in that time.
IMPORT_TIMEOUT_S = 2.0
# Status with which a target says that the store has no such block.
NO_BLOCK = 404
IDLE_TIMEOUT_S = 4.0
# Bound of an answer with a fixed number of fields, such as a refusal.
FIELDS_MAX_BYTES = 64 * 1024
# Bound of a page of cache events: 100,000 rows of 80 bytes.
EVENTS_MAX_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class NotStarted:
    """The target states that the request was not started."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Interrupted:
    """No complete stream was received; the request may have run.

    `silent`: the target sent nothing for some time, and may still run it.
    """

    reason: str
    silent: bool = False


@dataclasses.dataclass(frozen=True)
class Unread:
    """A block could not be read; that says nothing about the block."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Token:
    """One token with its position in the answer."""

    index: int
    text: str


@dataclasses.dataclass(frozen=True)
class End:
    """The end mark: the answer is complete."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    version: str


class Job(typing.NamedTuple):
    """The fields of a request that are sent to a target."""

    request: str
    salt: str
    prompt: str
    max_tokens: int
    priority: int
    version: str
    pieces: tuple
    use: tuple = ()


class StreamEvent(msgspec.Struct):
    """One encoded event of a stream."""

    index: decoding.Count | None = None
    text: str = ''
    end: bool = False
    prompt_tokens: decoding.Count = 0
    cached_tokens: decoding.Count = 0
    output_tokens: decoding.Count = 0
    version: str = ''


class LoadReport(msgspec.Struct):
    """An encoded load report."""

    incarnation: str
    age: decoding.Seconds
    slots: decoding.Count
    running: decoding.Count
    queued_tokens: decoding.Count
    prefill: decoding.Figure
    step: decoding.Figure
    version: str
    leaving: bool
    ready: bool


class CacheEvent(msgspec.Struct):
    """An encoded cache event."""

    number: decoding.Count
    kind: str
    piece: str


class CacheEvents(msgspec.Struct):
    """Response to a read of cache events."""

    events: list[CacheEvent]


class Refusal(msgspec.Struct):
    """A response that states whether the request was started."""

    started: bool = True
    reason: str = ''


class ExportRecord(msgspec.Struct):
    """Response to an order to write a block."""

    sealed: bool
    length: decoding.Count
    checksum: str


class ReceiptRecord(msgspec.Struct):
    """Response to an order to read a block; see blocks.Receipt."""

    key: str
    write: str
    length: decoding.Count
    checksum: str
    sealed: bool


EVENT_DECODER = msgspec.json.Decoder(StreamEvent)
LOAD_DECODER = msgspec.json.Decoder(LoadReport)
CACHE_DECODER = msgspec.json.Decoder(CacheEvents)
REFUSAL_DECODER = msgspec.json.Decoder(Refusal)
EXPORT_DECODER = msgspec.json.Decoder(ExportRecord)
RECEIPT_DECODER = msgspec.json.Decoder(ReceiptRecord)


class Stream:
    """One dispatch and its stream of tokens.

    Parameters
    ----------
    client : httpclient.Client
    address : http.Address
    idle_timeout_s : float or None
        Seconds without data after which the stream counts as interrupted by
        silence.
        None for a service whose answers may take any time and can't be
        resumed.
    """

    def __init__(self, client, address, idle_timeout_s=IDLE_TIMEOUT_S):
        self._idle_timeout_s = idle_timeout_s
        self._call = client.open(address)

    async def connect(self):
        """Open a new connection; nothing is sent.

        A reused connection may be half closed, and a request written to it
        would have to count as one that may have run.

        Raises
        ------
        http.Unreachable
        """
        await self._call.connect(fresh=True)

    async def start(self, job):
        """Send the request; return NotStarted, Interrupted or None if sent."""
        return await self._open('/v1/completions', job._asdict())

    async def resume(self, request, after):
        """Resume the stream of a request after its first `after` tokens."""
        value = {'request': request, 'after': after}
        return await self._open('/resume', value)

    async def read(self):
        """Yield each Token, then one End or Interrupted."""
        texts = self._call.read_events()
        while True:
            try:
                async with timeouts.Timeout(self._idle_timeout_s):
                    event = decode_event(await anext(texts))
            except StopAsyncIteration:
                event = Interrupted('no end mark')
            except TimeoutError:
                event = Interrupted('stalled', silent=True)
            except http.Unreachable as error:
                event = Interrupted(str(error))
            yield event
            if not isinstance(event, Token):
                return

    def close(self):
        """Close the connection."""
        self._call.close()

    async def _open(self, path, value):
        try:
            async with timeouts.Timeout(self._idle_timeout_s):
                await self._call.send('POST', path, value)
                if self._call.status == 200:
                    return None
                body = await self._call.read_body(FIELDS_MAX_BYTES)
        except TimeoutError:
            return Interrupted('stalled', silent=True)
        except http.Unreachable as error:
            return Interrupted(str(error))
        return decode_refusal(self._call.status, body)


def decode_event(text):
    """Decode one event of a stream.

    >>> decode_event('{"index": 0, "text": "a"}')
    Token(index=0, text='a')
    >>> decode_event('nonsense').reason.startswith('bad event')
    True
    """
    try:
        event = decoding.decode('bad event', EVENT_DECODER.decode, text)
    except decoding.Malformed as error:
        return Interrupted(str(error))
    if event.index is not None:
        return Token(event.index, event.text)
    if not event.end:
        return Interrupted('bad event: neither a token nor an end')
    return End(
        event.prompt_tokens,
        event.cached_tokens,
        event.output_tokens,
        event.version,
    )


def decode_refusal(status, body):
    """Decode a response that is not a stream.

    The request counts as not started only if the response states so.

    >>> decode_refusal(503, b'{"started": false, "reason": "full"}')
    NotStarted(reason='full')
    >>> decode_refusal(500, b'oops')
    Interrupted(reason='status 500', silent=False)
    """
    try:
        refusal = decoding.decode('refusal', REFUSAL_DECODER.decode, body)
    except decoding.Malformed:
        return Interrupted(f'status {status}')
    if refusal.started:
        return Interrupted(f'status {status}')
    return NotStarted(refusal.reason or str(status))


async def fetch_load(client, member):
    """Read the load report of a target; return None if that failed."""
    address = http.Address(member.host, member.port)
    try:
        reply = await client.fetch(
            address,
            'GET',
            '/load',
            timeout=LOAD_TIMEOUT_S,
            max_bytes=FIELDS_MAX_BYTES,
        )
        load = decoding.decode('load', LOAD_DECODER.decode, reply.body)
    except (http.Unreachable, decoding.Malformed):
        return None
    return records.Report(member.name, **msgspec.structs.asdict(load))


async def fetch_events(client, member, after):
    """Read the cache events after a number; return None if that failed."""
    address = http.Address(member.host, member.port)
    path = f'/events?after={after}'
    try:
        reply = await client.fetch(
            address,
            'GET',
            path,
            timeout=LOAD_TIMEOUT_S,
            max_bytes=EVENTS_MAX_BYTES,
        )
        if reply.status != 200:
            return None
        found = decoding.decode('events', CACHE_DECODER.decode, reply.body)
    except (http.Unreachable, decoding.Malformed):
        return None
    return found.events


async def send_order(client, member, order, may_send):
    """Send a fenced order.

    Parameters
    ----------
    client : httpclient.Client
    member : records.Member
    order : rollout.Order
    may_send : callable
        Returns whether the order may still be sent.  It is called right
        before the first byte, since this process may have stalled after the
        order was planned.

    Returns
    -------
    int
        The HTTP status; 0 if there was no response or nothing was sent.
    """
    call = client.open(http.Address(member.host, member.port))
    value = {'epoch': order.epoch, 'version': order.version}
    try:
        async with timeouts.Timeout(ORDER_TIMEOUT_S):
            await call.connect(fresh=True)
            if not may_send():
                return 0
            await call.send('POST', '/orders', value)
    except (http.Unreachable, TimeoutError):
        return 0
    finally:
        call.close()
    return call.status


async def cancel(client, address, request):
    """Cancel a request; a target that does not respond is ignored."""
    try:
        await client.fetch(
            address,
            'POST',
            '/cancel',
            {'request': request},
            timeout=1.0,
            max_bytes=FIELDS_MAX_BYTES,
        )
    except http.Unreachable:
        pass


async def import_block(client, address, store, block, name):
    """Let a target read a block from a store.

    Parameters
    ----------
    client : httpclient.Client
    address : http.Address
    store : records.Member
    block : records.Block
    name : str
        Identifier of this read, by which a request uses it.  Two reads of
        one block need different names, since the second may get other data
        than the data that was checked for the first.

    Returns
    -------
    blocks.Receipt, Unread or None
        None if the store has no such block, or the receipt is malformed.
    """
    value = {
        'import': name,
        'host': store.host,
        'port': store.port,
        'write': block.write,
        'piece': block.key,
    }
    try:
        reply = await client.fetch(
            address,
            'POST',
            '/kv/import',
            value,
            timeout=IMPORT_TIMEOUT_S,
            max_bytes=FIELDS_MAX_BYTES,
        )
        if reply.status == NO_BLOCK:
            return None
        if reply.status != 200:
            return Unread(f'status {reply.status}')
        receipt = decoding.decode(
            'receipt', RECEIPT_DECODER.decode, reply.body
        )
    except http.Unreachable as error:
        return Unread(str(error))
    except decoding.Malformed:
        return None
    return blocks.Receipt(*msgspec.structs.astuple(receipt))


async def export_block(client, member, store, export, version, meta):
    """Let a target write a piece to a store; return a Block or None."""
    address = http.Address(member.host, member.port)
    value = {
        'host': store.host,
        'port': store.port,
        'write': export.write,
        'piece': export.key,
        'version': version,
        'meta': meta,
    }
    try:
        reply = await client.fetch(
            address,
            'POST',
            '/kv/export',
            value,
            timeout=EXPORT_TIMEOUT_S,
            max_bytes=FIELDS_MAX_BYTES,
        )
        if reply.status != 200:
            return None
        written = decoding.decode('export', EXPORT_DECODER.decode, reply.body)
    except (http.Unreachable, decoding.Malformed):
        return None
    if not written.sealed:
        return None
    return records.Block(
        export.key,
        export.store,
        export.write,
        written.length,
        written.checksum,
    )
