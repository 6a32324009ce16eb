"""Client of model engines and plain services.

It says what happened in the protocol's own terms and decides nothing: a
stream that broke, a refusal before the start, a receipt for a read.
"""

import dataclasses
import json
import typing

import msgspec

from landingspool.decisions import blocks
from landingspool.decisions import records
from landingspool import http
from landingspool import timeouts

LOAD_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 1.0
MOVE_TIMEOUT_S = 20.0
# A read that takes longer would have been computed meanwhile.
IMPORT_TIMEOUT_S = 2.0
STALL_S = 4.0


@dataclasses.dataclass(frozen=True)
class NotStarted:
    """The target says that the request did not start."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Cut:
    """The stream ended before its end mark."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Token:
    """One token with its place in the answer."""

    index: int
    text: str


@dataclasses.dataclass(frozen=True)
class End:
    """The end mark: the answer is whole."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    version: str


class Job(typing.NamedTuple):
    """What a target needs of a request."""

    request: str
    salt: str
    prompt: str
    max_tokens: int
    priority: int
    version: str
    pieces: tuple
    use: tuple = ()


class Wire(msgspec.Struct):
    """One event of a stream as it stands on the wire."""

    index: int | None = None
    text: str = ''
    end: bool = False
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    version: str = ''


class Load(msgspec.Struct):
    """A load report on the wire."""

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


class CacheEvent(msgspec.Struct):
    """A cache event on the wire."""

    number: int
    kind: str
    piece: str


class CacheEvents(msgspec.Struct):
    """The answer to a read of cache events."""

    events: list[CacheEvent]


class Stream:
    """One dispatch and its stream of tokens.

    Parameters
    ----------
    client : httpclient.Client
    address : http.Address
    stall_s : float or None
        Seconds of silence after which the stream counts as cut; None for
        a service whose answers may take any time and can't be resumed.
    """

    def __init__(self, client, address, stall_s=STALL_S):
        self._stall_s = stall_s
        self._call = client.open(address)

    async def connect(self):
        """Open a new connection; nothing is sent.

        A kept connection may be half closed, and a request written to it
        would have to count as one that may have run.

        Raises
        ------
        http.Unreachable
        """
        await self._call.connect(fresh=True)

    async def start(self, job):
        """Send the request.  Returns NotStarted, Cut or None."""
        return await self._open('/v1/completions', job._asdict())

    async def resume(self, request, after):
        """Take up the stream of a run after its first `after` tokens."""
        value = {'request': request, 'after': after}
        return await self._open('/resume', value)

    async def read(self):
        """Yield Token, then one End or Cut."""
        texts = self._call.read_events()
        while True:
            try:
                async with timeouts.Timeout(self._stall_s):
                    event = decode_event(await anext(texts))
            except StopAsyncIteration:
                event = Cut('no end mark')
            except TimeoutError:
                event = Cut('stalled')
            except http.Unreachable as error:
                event = Cut(str(error))
            yield event
            if not isinstance(event, Token):
                return

    def close(self):
        """Drop the connection."""
        self._call.close()

    async def _open(self, path, value):
        try:
            async with timeouts.Timeout(self._stall_s):
                await self._call.send('POST', path, value)
                if self._call.status == 200:
                    return None
                body = b''.join([data async for data in self._call.read()])
        except TimeoutError:
            return Cut('stalled')
        except http.Unreachable as error:
            return Cut(str(error))
        return decode_refusal(self._call.status, body)


def decode_event(text):
    """Decode one event of a stream.

    >>> decode_event('{"index": 0, "text": "a"}')
    Token(index=0, text='a')
    >>> decode_event('nonsense').reason.startswith('bad event')
    True
    """
    try:
        wire = msgspec.json.decode(text, type=Wire)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Cut(f'bad event: {error}')
    if wire.index is not None:
        return Token(wire.index, wire.text)
    if not wire.end:
        return Cut('bad event: neither a token nor an end')
    return End(
        wire.prompt_tokens,
        wire.cached_tokens,
        wire.output_tokens,
        wire.version,
    )


def decode_refusal(status, body):
    """Decode an answer that is no stream.

    Only the explicit word that it did not start counts as that.

    >>> decode_refusal(503, b'{"started": false, "reason": "full"}')
    NotStarted(reason='full')
    >>> decode_refusal(500, b'oops')
    Cut(reason='status 500')
    """
    try:
        value = json.loads(body)
    except ValueError:
        return Cut(f'status {status}')
    if isinstance(value, dict) and value.get('started') is False:
        return NotStarted(str(value.get('reason', status)))
    return Cut(f'status {status}')


async def fetch_load(client, member):
    """Read the load report of a target; None where there is none."""
    address = http.Address(member.host, member.port)
    try:
        reply = await client.fetch(
            address, 'GET', '/load', timeout=LOAD_TIMEOUT_S
        )
        load = msgspec.json.decode(reply.body, type=Load)
    except (http.Unreachable, msgspec.DecodeError, msgspec.ValidationError):
        return None
    return records.Report(member.name, **msgspec.structs.asdict(load))


async def fetch_events(client, member, after):
    """Read the cache events after a number; None where that failed."""
    address = http.Address(member.host, member.port)
    path = f'/events?after={after}'
    try:
        reply = await client.fetch(
            address, 'GET', path, timeout=LOAD_TIMEOUT_S
        )
        if reply.status != 200:
            return None
        return msgspec.json.decode(reply.body, type=CacheEvents).events
    except (http.Unreachable, msgspec.DecodeError, msgspec.ValidationError):
        return None


async def send_order(client, member, order, may_send):
    """Send a fenced order.

    Parameters
    ----------
    client : httpclient.Client
    member : records.Member
    order : rollout.Order
    may_send : callable
        Looked at right before the first byte: this process may have been
        frozen since the order was planned.

    Returns
    -------
    int
        The status; 0 for no answer, or where it was not sent.
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
    """Cancel a run; what becomes of it is not waited for long."""
    try:
        await client.fetch(
            address, 'POST', '/cancel', {'request': request}, timeout=1.0
        )
    except http.Unreachable:
        pass


async def import_block(client, address, store, block, name):
    """Let a target read a block.

    Parameters
    ----------
    client : httpclient.Client
    address : http.Address
    store : records.Member
    block : records.Block
    name : str
        Names this very read, for its use by a request: two reads of one
        block must not be taken for each other, since what the second got
        may be another thing than what was checked for the first.

    Returns
    -------
    blocks.Receipt or None
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
            address, 'POST', '/kv/import', value, timeout=IMPORT_TIMEOUT_S
        )
        if reply.status != 200:
            return None
        return msgspec.convert(
            [reply.json()[name] for name in blocks.Receipt._fields],
            blocks.Receipt,
        )
    except (http.Unreachable, ValueError, KeyError):
        return None


async def export_block(client, member, store, export, version, meta):
    """Let a target write a piece to a store; returns a Block or None."""
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
            address, 'POST', '/kv/export', value, timeout=MOVE_TIMEOUT_S
        )
        if reply.status != 200:
            return None
        sealed = reply.json()
        if sealed['sealed'] is not True:
            return None
        return records.Block(
            export.key,
            export.store,
            export.write,
            int(sealed['length']),
            str(sealed['checksum']),
        )
    except (http.Unreachable, ValueError, KeyError, TypeError):
        return None
