"""Tests how the clients of targets and stores handle every answer."""

import asyncio

import pytest

from landingspool.decisions import records
from landingspool import http
from landingspool.stores import client as stores
from landingspool.targets import client as targets
from tests.contracts import peer

TOKEN = '{"index": 0, "text": "a"}'
END = (
    '{"end": true, "prompt_tokens": 3, "cached_tokens": 1, '
    '"output_tokens": 1, "version": "v1"}'
)
JOB = targets.Job('r', 's', 'p', 1, 0, 'v1', ())
COMPLETE = [targets.Token(0, 'a'), targets.End(3, 1, 1, 'v1')]

STREAMS = (
    ('whole', peer.stream(TOKEN, END), COMPLETE),
    ('no end mark', peer.stream(TOKEN), [COMPLETE[0], targets.Interrupted]),
    ('cut', peer.open_stream(TOKEN), [COMPLETE[0], targets.Interrupted]),
    ('cut in an event', peer.open_stream(TOKEN)[:-9], [targets.Interrupted]),
    ('nonsense', peer.stream('oops'), [targets.Interrupted]),
    ('neither', peer.stream('{"text": "a"}'), [targets.Interrupted]),
    ('wrong type', peer.stream('{"index": "0"}'), [targets.Interrupted]),
)

STARTS = (
    (
        'did not start',
        peer.answer(503, '{"started": false, "reason": "full"}'),
        targets.NotStarted('full'),
    ),
    ('error', peer.answer(500, '{}'), targets.Interrupted('status 500')),
    ('started', peer.answer(503, '{"started": true}'), targets.Interrupted),
    ('empty', peer.answer(503, ''), targets.Interrupted),
    ('list', peer.answer(503, '[1]'), targets.Interrupted),
    ('cut', b'', targets.Interrupted),
    ('not HTTP', b'hello\r\n\r\n', targets.Interrupted),
)

LOAD = (
    '{"incarnation": "i", "age": 0.1, "slots": 4, "running": 1, '
    '"queued_tokens": 0, "prefill": 1.0, "step": 0.1, "version": "v", '
    '"leaving": false, "ready": true}'
)

RECEIPT = (
    '{"key": "k", "write": "w", "length": 3, "checksum": "c", "sealed": true}'
)
SEALED = '{"length": 3, "checksum": "c", "sealed": true}'
BLOCK = records.Block('k', 's', 'w', 3, 'c')
MEMBER = records.Member('s', 'store', 'd', '127.0.0.1', 1)


def is_like(found, expected):
    """Return whether an event equals the expected one or is of its class."""
    if isinstance(expected, type):
        return isinstance(found, expected)
    return found == expected


@pytest.mark.parametrize('name, reply, expected', STREAMS)
def test_stream(name, reply, expected):
    async def read(client, address):
        stream = targets.Stream(client, address)
        await stream.connect()
        assert await stream.start(JOB) is None
        return [event async for event in stream.read()]

    found = asyncio.run(peer.talk(reply, read))
    assert len(found) == len(expected)
    assert all(map(is_like, found, expected))


@pytest.mark.parametrize('name, reply, expected', STARTS)
def test_start(name, reply, expected):
    async def start(client, address):
        stream = targets.Stream(client, address)
        await stream.connect()
        return await stream.start(JOB)

    assert is_like(asyncio.run(peer.talk(reply, start)), expected)


def test_silent_stream_is_cut():
    async def read(client, address):
        stream = targets.Stream(client, address, idle_timeout_s=0.05)
        await stream.connect()
        await stream.start(JOB)
        return [event async for event in stream.read()]

    reply = peer.open_stream(TOKEN)
    found = asyncio.run(peer.talk(reply, read, hang=True))
    assert found[-1] == targets.Interrupted('stalled', silent=True)


def test_connect_to_nobody_sends_nothing():
    async def connect(client, address):
        stream = targets.Stream(client, address)
        with pytest.raises(http.Unreachable) as caught:
            await stream.connect()
        return caught.value.sent

    assert asyncio.run(peer.talk_to_nobody(connect)) is False


@pytest.mark.parametrize(
    'body, good',
    (
        (LOAD, True),
        (LOAD.replace('4', '"4"'), False),
        (LOAD.replace('"age": 0.1, ', ''), False),
        ('oops', False),
    ),
)
def test_load_report(body, good):
    def fetch(client, address):
        member = records.Member('t', 'target', 'd', *address)
        return targets.fetch_load(client, member)

    report = asyncio.run(peer.talk(peer.answer(200, body), fetch))
    assert (report is not None) is good


@pytest.mark.parametrize(
    'status, body, good',
    (
        (200, RECEIPT, True),
        (404, RECEIPT, False),
        (200, RECEIPT.replace('3', '"x"'), False),
        (200, '{}', False),
        (200, 'oops', False),
    ),
)
def test_import_receipt(status, body, good):
    def fetch(client, address):
        return targets.import_block(client, address, MEMBER, BLOCK, 'k')

    receipt = asyncio.run(peer.talk(peer.answer(status, body), fetch))
    assert (receipt is not None) is good


@pytest.mark.parametrize('reply', (peer.answer(502, '{}'), b''))
def test_import_without_an_answer_says_nothing_of_the_block(reply):
    def fetch(client, address):
        return targets.import_block(client, address, MEMBER, BLOCK, 'k')

    found = asyncio.run(peer.talk(reply, fetch))
    assert isinstance(found, targets.Unread)


@pytest.mark.parametrize(
    'body, good',
    (
        (SEALED, True),
        (SEALED.replace('true', 'false'), False),
        (SEALED.replace('"sealed": true', '"sealed": 1'), False),
        ('{}', False),
        ('[]', False),
    ),
)
def test_export_counts_only_with_its_seal(body, good):
    export = targets.records.Block('k', 's', 'w', 0, '')

    def write(client, address):
        member = records.Member('t', 'target', 'd', *address)
        return targets.export_block(client, member, MEMBER, export, 'v', {})

    block = asyncio.run(peer.talk(peer.answer(200, body), write))
    assert (block is not None) is good


@pytest.mark.parametrize(
    'body', ('{}', 'oops', '{"writes": [{}], "room": 1, "link_bytes": 0}')
)
def test_bad_listing_is_no_listing(body):
    def fetch(client, address):
        member = records.Member('s', 'store', 'd', *address)
        return stores.fetch_listing(client, member)

    assert asyncio.run(peer.talk(peer.answer(200, body), fetch)) is None
