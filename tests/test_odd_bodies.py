"""Decoders of the own interface: callers, operators, targets, stores, log."""

import asyncio
import json

import pytest

from landingspool.callers import parsing
from landingspool.decisions import claims
from landingspool.decisions import configuration
from landingspool.decisions import records
from landingspool import http
from landingspool.ledger import live
from landingspool.ledger import log as log_module
from landingspool.ledger import outcomes
from landingspool import settings as settings_module
from landingspool.stores import client as stores
from landingspool.targets import client as targets
from tests import odd_values

ADDRESS = http.Address('127.0.0.1', 9)


class Member:
    """A target of the own interface."""

    name, host, port = 't', *ADDRESS


def parse_body(value):
    """Parse the body of a caller's request."""
    request = http.Request('POST', '/v1/completions', {}, {}, value)
    callers = settings_module.Callers(host='h', port=1)
    return parsing.parse_request(request, 'n', callers, ())


class FakeStore:
    """Metadata of a store of the own interface."""

    host, port, name = '127.0.0.1', 9, 's'


class Block:
    """A block of the own interface."""

    write, key, store = 'w', 'k', 's'


BODY = {'model': 'm', 'prompt': 'p', 'max_tokens': 4, 'stream': False}
LOAD = {
    'incarnation': 'i',
    'age': 0.5,
    'slots': 4,
    'running': 1,
    'queued_tokens': 2,
    'prefill': 0.5,
    'step': 0.5,
    'version': 'v',
    'leaving': False,
    'ready': True,
}
WRITES = {
    'writes': [
        {
            'write': 'w',
            'length': 5,
            'checksum': 'c',
            'sealed': True,
            'age': 0.5,
            'meta': {
                'key': 'k',
                'pool': 'p',
                'workspace': 'w',
                'cost_s': 0.5,
                'depth': 1,
            },
        }
    ],
    'room': 100,
    'link_bytes': 50,
}
MEMBERS = {
    'members': [
        {
            'name': 'n',
            'kind': 'entry',
            'domain': 'd',
            'host': '127.0.0.1',
            'port': 80,
            'operators_port': 81,
        }
    ]
}
RECEIPT = {
    'key': 'k',
    'write': 'w',
    'length': 5,
    'checksum': 'c',
    'sealed': True,
}
ROW = records.Row('w', 1.0, 0.5, 4, 0, '0' * 64)
PUBLISH = configuration.Publish('e', 'a', (ROW,), (), (0,), (('m', 'v'),))
SNAPSHOT = configuration.Snapshot(
    4, (ROW,), (('e', 'accepted'),), (('m', 'v'),)
)
BATCH = [['k', 'c', 'b', 1_700_000_000.0, 'claim']]

# Name: (sound record, coroutine function that decodes one).
DECODERS = {
    'body': (BODY, odd_values.make_async(parse_body)),
    'load': (LOAD, lambda v: targets.fetch_load(odd_values.Peer(v), Member)),
    'cache': (
        {'events': [{'number': 1, 'kind': 'k', 'piece': 'p'}]},
        lambda v: targets.fetch_events(odd_values.Peer(v), Member, 0),
    ),
    'stream': (
        {'index': 1, 'text': 'a'},
        odd_values.make_async(
            lambda v: targets.decode_event(v.decode(errors='replace'))
        ),
    ),
    'end': (
        {'end': True, 'prompt_tokens': 4, 'version': 'v'},
        odd_values.make_async(
            lambda v: targets.decode_event(v.decode(errors='replace'))
        ),
    ),
    'refusal': (
        {'started': False, 'reason': 'full'},
        odd_values.make_async(lambda v: targets.decode_refusal(503, v)),
    ),
    'import': (
        RECEIPT,
        lambda v: targets.import_block(
            odd_values.Peer(v), ADDRESS, FakeStore, Block, ''
        ),
    ),
    'export': (
        {'sealed': True, 'length': 5, 'checksum': 'c'},
        lambda v: targets.export_block(
            odd_values.Peer(v), Member, FakeStore, Block, 'v', {}
        ),
    ),
    'writes': (
        WRITES,
        lambda v: stores.fetch_listing(odd_values.Peer(v), Member),
    ),
    'link': (
        WRITES,
        lambda v: stores.fetch_link_bytes(odd_values.Peer(v), ADDRESS),
    ),
    'members': (
        MEMBERS,
        lambda v: live.LiveList(odd_values.Peer(v), ADDRESS).read(),
    ),
    'page': (
        {'first': 0, 'next': 1, 'start': 0, 'records': ['YQ==']},
        lambda v: log_module.Log(odd_values.Peer(v), ADDRESS).read('s', 0),
    ),
    'offset': (
        {'offset': 4},
        lambda v: log_module.Log(odd_values.Peer(v), ADDRESS).append(
            's', b'a'
        ),
    ),
    'publish': (
        json.loads(configuration.encode_publish(PUBLISH)),
        odd_values.make_async(
            lambda v: configuration.fold(configuration.Table(), 0, v)
        ),
    ),
    'snapshot': (
        json.loads(configuration.encode_snapshot(SNAPSHOT)),
        odd_values.make_async(configuration.read_snapshot),
    ),
    'batch': (
        BATCH,
        odd_values.make_async(lambda v: claims.Ledger(60.0).fold(0, v)),
    ),
}
UNUSABLE = (
    type(None),
    outcomes.Unavailable,
    outcomes.Lost,
    targets.Interrupted,
)


@pytest.mark.parametrize('name', DECODERS)
def test_a_sound_body_is_decoded(name):
    row, decode = DECODERS[name]
    found = asyncio.run(decode(json.dumps(row).encode()))
    assert not isinstance(found, UNUSABLE)


@pytest.mark.parametrize('name', DECODERS)
def test_an_odd_body_is_refused_or_bounded(name):
    row, decode = DECODERS[name]
    assert not asyncio.run(odd_values.list_failures(row, decode))


ODD_MEMBERS = (
    {},
    5,
    {**MEMBERS['members'][0], 'port': 65536},
    {**MEMBERS['members'][0], 'port': 0},
    {**MEMBERS['members'][0], 'operators_port': int('9' * 400)},
    {**MEMBERS['members'][0], 'host': 'a\0b'},
    {**MEMBERS['members'][0], 'host': 'x' * 64},
    {**MEMBERS['members'][0], 'host': ''},
)


def test_an_odd_member_of_the_live_list_is_passed_over_and_told_once():
    told = []
    (sound,) = MEMBERS['members']
    body = json.dumps({'members': [*ODD_MEMBERS, sound]}).encode()

    async def read():
        peer = odd_values.Peer(body)
        reader = live.LiveList(peer, ADDRESS, told.append)
        return [await reader.read() for _ in range(2)]

    first, second = asyncio.run(read())
    assert first == second == (records.Member(**sound),)
    assert len(told) == len(ODD_MEMBERS)


NESTED = odd_values.DEEP.encode()
NESTED_ROWS = (NESTED, b'{"name": %s}' % NESTED, b'"\\"[", 5')


@pytest.mark.parametrize('row', NESTED_ROWS, ids=range(3))
def test_a_member_that_is_nested_deeply_is_passed_over(row):
    (sound,) = MEMBERS['members']
    later = json.dumps({**sound, 'later': 'x'}).encode()
    later = later.replace(b'"x"', NESTED)
    rows = b', '.join((later, row, json.dumps(sound).encode()))
    told = []
    peer = odd_values.Peer(b'{"members": [%s]}' % rows)
    reader = live.LiveList(peer, ADDRESS, told.append)
    assert asyncio.run(reader.read()) == (records.Member(**sound),) * 2
    assert told
