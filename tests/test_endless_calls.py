"""Answers to calls that are too long, or have no end, until the caller closes.

These are the calls other than requests: to targets, to the platform and
between boxes.
"""

import asyncio
import time

import pytest

from landingspool.command import remote
from landingspool.decisions.gateway import rollouts
from landingspool.decisions import kv_offload
from landingspool.decisions import records
from landingspool.decisions import rollout
from landingspool.gateway import boxcalls
from landingspool.gateway import continuity
from landingspool.gateway import state
from landingspool import http
from landingspool import http_server
from landingspool import httpclient
from landingspool.ledger import live
from landingspool.ledger import log
from landingspool.ledger import outcomes
from landingspool.platform import runners
from landingspool.platform import store as store_module
from landingspool.stores import client as stores_client
from landingspool.targets import client as targets_client
from tests import endless

TIMEOUT_S = 2.0
# Small chunks take longer to read than the time-out.
IN_TIME = ('small chunks',)


def call_endless(kind, call):
    """Run ``call(client, address)`` against an EndlessPeer.

    Returns
    -------
    tuple
        The result or the exception; the peer, whose connection is closed; and
        the longest time between two turns of another task, seconds.
    """

    async def run():
        peer = endless.EndlessPeer(*endless.KINDS[kind])
        client = httpclient.Client()
        turns = []
        watching = asyncio.ensure_future(endless.watch_turns(turns))
        try:
            result = await call(client, peer.address)
        except Exception as error:
            result = error
        finally:
            watching.cancel()
        await endless.wait_closed(peer)
        client.close()
        peer.close()
        return result, peer, max(turns)

    return asyncio.run(run())


@pytest.mark.parametrize('kind', endless.KINDS)
def test_an_answer_without_end_is_given_up_at_its_bound(kind):
    def fetch(client, address):
        return client.fetch(address, 'GET', '/', timeout=TIMEOUT_S)

    start = time.monotonic()
    error, peer, turn_s = call_endless(kind, fetch)
    assert isinstance(error, http.Unreachable)
    assert error.sent
    assert peer.closed_at is not None
    if kind in IN_TIME:
        assert peer.closed_at - start < TIMEOUT_S + 1.0
    else:
        assert 'no answer in time' not in str(error)
    assert peer.sent < httpclient.MAX_ANSWER_BYTES + endless.IN_FLIGHT_BYTES
    assert turn_s < endless.MAX_TURN_S


def test_interim_heads_before_an_answer_are_passed_over():
    interim = b'HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n'
    answer = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

    async def run():
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(interim * 3 + answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = http.Address(*server.sockets[0].getsockname()[:2])
        client = httpclient.Client()
        try:
            return await client.fetch(address, 'GET', '/')
        finally:
            client.close()
            server.close()

    reply = asyncio.run(run())
    assert (reply.status, reply.body) == (200, b'ok')


class Observer:
    """Drops the notices in the answers."""

    def begin_call(self, address):
        """Return nothing to take up."""

    def take_answer(self, called, notices):
        """Drop the notices."""

    def record_malformed(self, address, subject, reason):
        """Drop what can't be decoded."""


def call_runners(call):
    """Return what runs a call to a target or a store of the platform."""
    return lambda client, address: call(
        runners.Runners(client, Observer()), address
    )


def call_store(call):
    """Return what runs a call to the platform's store."""
    return lambda client, address: call(store_module.Store(client, address))


def call_box(max_bytes):
    """Return what asks another box."""
    return lambda client, address: boxcalls.fetch(
        client,
        address,
        state.StateSnapshot,
        ('GET', '/state'),
        timeout=TIMEOUT_S,
        max_bytes=max_bytes,
    )


def call_member(call):
    """Return what runs a call to a member of the live list."""

    def run(client, address):
        member = records.Member('t', 'target', 'd', *address)
        return call(client, member)

    return run


def call_log(call):
    """Return what runs a call to the platform's log."""
    return lambda client, address: call(log.Log(client, address))


def call_tool(client, address):
    """Ask a box for its status, as the command-line tool does."""
    return remote.FleetClient([address], 'k').call('GET', '/admin/status')


def start_stream(client, address):
    """Begin a stream of a target, whose answer is a refusal."""
    job = targets_client.Job('r', '', 'p', 1, 0, 'v', ())
    return targets_client.Stream(client, address).start(job)


def send_own_order(client, member):
    """Order a target of the own interface to load a version."""
    order = rollout.Order('t', 1, 'v')
    return targets_client.send_order(client, member, order, lambda: True)


def import_block(client, address):
    """Let a target read a block from a store."""
    store = records.Member('s', 'store', 'd', *address)
    block = records.Block('k', 's', 'w', 1, 'c')
    return targets_client.import_block(client, address, store, block, 'r')


def export_block(client, member):
    """Let a target write a block to a store."""
    export = kv_offload.Export('p', 'w', 't', 'i', 'k', 's', 'w', 1)
    return targets_client.export_block(client, member, member, export, 'v', {})


def is_unanswered(result):
    """Return whether a call to a target may have arrived."""
    return isinstance(result, runners.Unanswered) and result.sent


def is_maybe_done(result):
    """Return whether a call to the store may have been done."""
    return isinstance(result, store_module.Unavailable) and result.done


def is_kind(kind):
    """Return what checks the type of a result."""
    return lambda result: isinstance(result, kind)


def is_exactly(value):
    """Return what compares a result."""
    return lambda result: result == value


REMOTE_ORDER = rollouts.Order('t#1', 'm', 2)
# By name: the call, its bound in bytes, and a check of its result.
CALLS = {
    'report': (
        call_runners(lambda calls, address: calls.report(address)),
        runners.REPORT_MAX_BYTES,
        is_unanswered,
    ),
    'list': (
        call_runners(lambda calls, address: calls.read_list(address)),
        runners.CACHE_MAX_BYTES,
        is_unanswered,
    ),
    'events': (
        call_runners(lambda calls, address: calls.read_events(address, 0, 1)),
        runners.CACHE_MAX_BYTES,
        is_unanswered,
    ),
    'order': (
        call_runners(
            lambda calls, address: calls.order(
                address, REMOTE_ORDER, 0, 'box', 7
            )
        ),
        runners.CONFIRMATION_MAX_BYTES,
        is_unanswered,
    ),
    'free': (
        call_runners(
            lambda calls, address: calls.free(address, 1, [('s', 'p')], None)
        ),
        runners.CONFIRMATION_MAX_BYTES,
        is_exactly(False),
    ),
    'store read': (
        call_store(lambda store: store.read('keyed.op', 0, 1.0)),
        store_module.READ_MAX_BYTES,
        is_maybe_done,
    ),
    'store newest': (
        call_store(lambda store: store.read_newest('keyed.op')),
        store_module.NEWEST_MAX_BYTES,
        is_maybe_done,
    ),
    'store append': (
        call_store(lambda store: store.append('keyed.op', 'k', b'v', 3)),
        store_module.APPEND_MAX_BYTES,
        is_maybe_done,
    ),
    'box snapshot': (
        call_box(boxcalls.MAX_ANSWER_BYTES),
        boxcalls.MAX_ANSWER_BYTES,
        is_kind(boxcalls.NoAnswer),
    ),
    'owner of a stream': (
        call_box(continuity.REPLY_MAX_BYTES),
        continuity.REPLY_MAX_BYTES,
        is_kind(boxcalls.NoAnswer),
    ),
    'own stream': (
        start_stream,
        targets_client.FIELDS_MAX_BYTES,
        is_kind(targets_client.Interrupted),
    ),
    'own load': (
        call_member(targets_client.fetch_load),
        targets_client.FIELDS_MAX_BYTES,
        is_exactly(None),
    ),
    'own events': (
        call_member(
            lambda client, member: targets_client.fetch_events(
                client, member, 0
            )
        ),
        targets_client.EVENTS_MAX_BYTES,
        is_exactly(None),
    ),
    'own order': (call_member(send_own_order), 0, is_kind(int)),
    'own cancel': (
        lambda client, address: targets_client.cancel(client, address, 'r'),
        targets_client.FIELDS_MAX_BYTES,
        is_exactly(None),
    ),
    'own import': (
        import_block,
        targets_client.FIELDS_MAX_BYTES,
        is_kind(targets_client.Unread),
    ),
    'own export': (
        call_member(export_block),
        targets_client.FIELDS_MAX_BYTES,
        is_exactly(None),
    ),
    'own store listing': (
        call_member(stores_client.fetch_listing),
        stores_client.LISTING_MAX_BYTES,
        is_exactly(None),
    ),
    'own store free': (
        call_member(
            lambda client, member: stores_client.free_write(
                client, member, 'w'
            )
        ),
        stores_client.CONFIRMATION_MAX_BYTES,
        is_exactly(False),
    ),
    'own store bytes': (
        stores_client.fetch_link_bytes,
        stores_client.LISTING_MAX_BYTES,
        is_exactly(0),
    ),
    'own log append': (
        call_log(lambda own: own.append('s', b'd')),
        log.APPEND_MAX_BYTES,
        is_kind(outcomes.Lost),
    ),
    'own log read': (
        call_log(lambda own: own.read('s', 0)),
        log.PAGE_MAX_BYTES,
        is_kind(outcomes.Unavailable),
    ),
    'own live list': (
        lambda client, address: live.LiveList(client, address).read(),
        live.MAX_BYTES,
        is_kind(outcomes.Unavailable),
    ),
    'tool': (
        call_tool,
        remote.MAX_ANSWER_BYTES,
        is_kind(remote.RemoteError),
    ),
}
# One of each way in which a bound is reached; the client is tested with all.
BOUNDS = ('interim heads', 'body of a failure')


@pytest.mark.parametrize('kind', BOUNDS)
@pytest.mark.parametrize('name', CALLS)
def test_the_owner_of_a_call_learns_that_its_answer_has_no_end(name, kind):
    call, max_bytes, is_expected = CALLS[name]
    result, peer, turn_s = call_endless(kind, call)
    assert is_expected(result), result
    assert 'in time' not in str(result)
    assert peer.closed_at is not None
    assert peer.sent < max_bytes + endless.IN_FLIGHT_BYTES
    assert turn_s < endless.MAX_TURN_S


async def read_stream(client, address):
    """Return all events of a stream of a target."""
    job = targets_client.Job('r', '', 'p', 1, 0, 'v', ())
    stream = targets_client.Stream(client, address, TIMEOUT_S)
    assert await stream.start(job) is None
    return [event async for event in stream.read()]


@pytest.mark.parametrize('kind', ['body without a length', 'large chunks'])
def test_an_event_without_end_ends_its_stream(kind):
    events, peer, turn_s = call_endless(kind, read_stream)
    [end] = events
    assert isinstance(end, targets_client.Interrupted)
    assert not end.silent
    assert peer.closed_at is not None
    assert peer.sent < httpclient.MAX_EVENT_BYTES + endless.IN_FLIGHT_BYTES
    assert turn_s < endless.MAX_TURN_S


def test_an_event_that_is_no_text_ends_its_stream():
    result, peer, _ = call_endless('events that are no text', read_stream)
    [end] = result
    assert isinstance(end, targets_client.Interrupted)
    assert peer.closed_at is not None


def test_other_tasks_run_while_events_wait():
    token = b'data: {"index": 0, "text": "a"}\n\n'
    seen = []

    async def read(client, address):
        call = client.open(address)
        await call.send('GET', '/')
        async for event in call.read_events():
            seen.append(event)
            if len(seen) == 100_000:
                call.close()
                return

    _, _, turn_s = call_endless('events', read)
    assert seen[-1] == token[len(b'data: ') :].decode().rstrip()
    assert turn_s < 0.02


def test_pages_without_end_are_given_up():
    page = {
        'items': [{'key': 'k', 'value': '', 'offset': 1}],
        'more': True,
        'end': 2,
    }

    async def run():
        async def handle(request, exchange):
            await exchange.send_json(200, page)

        server = http_server.Server(handle)
        address = await server.start('127.0.0.1', 0)
        client = httpclient.Client()
        store = store_module.Store(client, address)
        try:
            async with asyncio.timeout(10.0):
                return await store.read_newest('keyed.op')
        finally:
            client.close()
            await server.close()

    assert isinstance(asyncio.run(run()), store_module.Unavailable)
