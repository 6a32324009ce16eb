"""No answer to a call counts if it ends early, wherever it ends.

These are the calls other than requests: to targets, to the platform and
between boxes.
"""

import asyncio
import json

import cbor2
import pytest

from landingspool.command import remote
from landingspool.gateway import boxcalls
from landingspool import http
from landingspool import httpclient
from landingspool.platform import store as store_module
from landingspool.targets import client as targets_client
from standins import cuts
from tests.contracts import test_targets
from tests import test_endless_calls

RECORDS = store_module.pack_record('k', b'v') * 2
SNAPSHOT = {
    'proof_s': 0.1,
    'table': None,
    'versions': {},
    'targets': {},
    'targets_end': 0,
    'evacuated': [],
    'endings': [],
}
# By name of the call: status and body of a sound answer.
ANSWERS = {
    'report': (200, {'models': [], 'busy': False, 'sequence': 3}),
    'list': (200, {'epoch': 1, 'next_token': 0, 'held': []}),
    'events': (200, {'epoch': 1, 'next_token': 0, 'events': []}),
    'order': (202, {}),
    'free': (200, {}),
    'store read': (200, store_module.LOG_BOUNDS.pack(2, 0) + RECORDS),
    'store newest': (200, {'items': [], 'end': 7, 'more': False}),
    'store append': (200, {'offset': 3}),
    'box snapshot': (200, cbor2.dumps(SNAPSHOT)),
    'own load': (200, json.loads(test_targets.LOAD)),
    'own events': (200, {'events': []}),
    'own order': (200, {}),
    'own import': (200, json.loads(test_targets.RECEIPT)),
    'own export': (200, json.loads(test_targets.SEALED)),
    'own store listing': (200, {'writes': [], 'room': 1, 'link_bytes': 9}),
    'own store free': (200, {}),
    'own store bytes': (200, {'link_bytes': 9}),
    'own log append': (200, {'offset': 3}),
    'own log read': (
        200,
        {'first': 0, 'next': 1, 'start': 0, 'records': ['YQ==']},
    ),
    'own live list': (200, {'members': []}),
    'tool': (200, {'boxes': []}),
}
# Calls of which the status alone is used.
BY_STATUS = 'order', 'free', 'own order', 'own store free'


def encode(value):
    """Return a body as bytes."""
    return value if isinstance(value, bytes) else json.dumps(value).encode()


def list_cuts(name, framing):
    """List the ends of an answer to a call; its status is that of success."""
    status, value = ANSWERS[name]
    body = encode(value)
    parts = [body[:1], body[1:-1], body[-1:]]
    if framing in cuts.UNFRAMED:
        parts = [bytes([byte]) for byte in body]
    return cuts.list_cuts(
        framing, 'call', [p for p in parts if p], status=status
    )


async def run(call, data, end):
    """Run ``call(client, address)`` against a peer that ends its answer."""

    async def serve(reader, writer):
        await reader.read(65536)
        writer.write(data)
        await cuts.end_connection(writer, end)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    client = httpclient.Client()
    try:
        return await call(
            client, http.Address(*server.sockets[0].getsockname())
        )
    except (boxcalls.NoAnswer, remote.RemoteError) as error:
        return error
    finally:
        client.close()
        server.close()


@pytest.mark.parametrize('framing', cuts.FRAMINGS)
@pytest.mark.parametrize('name', ANSWERS)
def test_an_answer_that_ends_early_is_no_answer_to_a_call(name, framing):
    async def check():
        call, _, _ = test_endless_calls.CALLS[name]
        *ends, whole = list_cuts(name, framing)
        success = await run(call, whole.data, 'close')
        for end in cuts.ENDS:
            for cut in ends:
                found = await run(call, cut.data, end)
                if not is_enough(name, cut, end):
                    assert describe(found) != describe(success), cut.place

    asyncio.run(check())


def is_enough(name, cut, end):
    """Return whether a call has all that it uses of an answer."""
    has_head = any(piece.place == 'head' for piece in cut.pieces)
    if name == 'own order':
        return has_head
    return name in BY_STATUS and cut.is_whole(end)


def describe(result):
    """Return what tells a success from a failure."""
    if isinstance(result, store_module.Page):
        return result.records, result.end, result.whole
    return type(result), bool(result)


@pytest.mark.parametrize('framing', cuts.FRAMINGS)
def test_a_stream_that_ends_before_its_end_mark_is_interrupted(framing):
    async def read(client, address):
        stream = targets_client.Stream(client, address)
        await stream.connect()
        started = await stream.start(test_targets.JOB)
        if started is not None:
            return started
        return [event async for event in stream.read()][-1]

    async def check():
        mark = f'data: {test_targets.END}\n\n'.encode()
        token = f'data: {test_targets.TOKEN}\n\n'.encode()
        parts = [token[:9], token[9:-1], token[-1:], mark[:-1], mark[-1:]]
        for end in cuts.ENDS:
            for cut in cuts.list_cuts(framing, 'stream', parts):
                found = await run(read, cut.data, end)
                is_whole = cut.body == token + mark
                due = (
                    targets_client.End
                    if is_whole
                    else targets_client.Interrupted
                )
                assert isinstance(found, due), cut.place

    asyncio.run(check())
