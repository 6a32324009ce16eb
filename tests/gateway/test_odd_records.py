"""Decoders of the records in the platform's store."""

import asyncio
import json

import pytest

from landingspool.decisions import decoding
from landingspool.decisions.gateway import rollouts
from landingspool.platform import catalogue
from landingspool.platform import tables
from tests.gateway import site
from tests import odd_addresses
from tests import odd_values

WALL_S = 1_700_000_000.0
TABLE = site.make_store_table(3, '127.0.0.1:7')
TABLE['routes'][0]['traffic_split'] = [{'service': 'plain', 'weight': 1.0}]
TABLE['routes'][0]['allowed_regions'] = ['eu']
TABLE['limits'] = {
    'max_header_bytes': 9000,
    'max_body_bytes': 90000,
    'header_timeout_ms': 5000,
    'idle_timeout_ms': 15000,
}
CLAIM = {
    'holder': 'b',
    'loading': {'t': 1.5},
    'versions': [['m', 2, 500, True]],
    'at_ms': 1_700_000_000_000,
    'orders': [['t', 'm', 2, 500]],
}
# Name: (sound record, coroutine function that decodes one).
DECODERS = {
    'table': (TABLE, odd_values.make_async(tables.read_table)),
    'version': (
        {'model': 'm', 'version': 2},
        odd_values.make_async(catalogue.read_version),
    ),
    'claim': (
        CLAIM,
        odd_values.make_async(lambda v: catalogue.read_claim(v, 7, WALL_S)),
    ),
    'crashes': (
        [[5, 1_700_000_000_000]],
        odd_values.make_async(
            lambda v: catalogue.read_crashes('66', v, WALL_S)
        ),
    ),
    'software': (
        {'versions': [['s', 'v']], 'moved': [['s', 'v']]},
        odd_values.make_async(catalogue.read_software),
    ),
    'target': (
        {
            'service': 's',
            'address': '127.0.0.1:7',
            'zone': 'd',
            'state': 'ready',
            'slots': 4,
            'models': [{'name': 'm', 'version': 3}],
        },
        odd_values.make_async(lambda v: catalogue.read_entry('t', v)),
    ),
}


@pytest.mark.parametrize('name', DECODERS)
def test_a_sound_record_is_decoded(name):
    row, decode = DECODERS[name]
    assert asyncio.run(decode(json.dumps(row).encode()))


@pytest.mark.parametrize('name', DECODERS)
def test_an_odd_record_is_refused_or_bounded(name):
    row, decode = DECODERS[name]
    assert not asyncio.run(odd_values.list_failures(row, decode))


KEYS = ('zz', '6', '', '66' * 128, '\u0663' * 2)


@pytest.mark.parametrize('key', KEYS, ids=ascii)
def test_a_key_that_is_no_fingerprint_is_malformed(key):
    with pytest.raises(decoding.Malformed):
        catalogue.read_crashes(key, b'[]', WALL_S)


@pytest.mark.parametrize('text', odd_addresses.ADDRESSES, ids=ascii)
def test_a_table_is_taken_without_a_store_at_an_odd_address(text):
    value = json.dumps(site.make_store_table(3, text)).encode()
    table = tables.read_table(value)
    assert not table.context_stores
    assert set(table.services) == {'plain', 'engine', 'keeper'}
    assert bool(table.passed_over) == bool(text)


def test_a_claim_is_read_that_names_a_target_with_the_longest_id():
    record = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'state': 'ready',
        'slots': 1,
        'born': 1_700_000_000_000,
    }
    entry = catalogue.read_entry('i' * 255, json.dumps(record).encode())
    given = [rollouts.Given(entry.name, 'm', 2, 500)]
    value = catalogue.write_claim('b', {entry.name: 0.5}, given=given)
    claim = catalogue.read_claim(value, 7)
    assert (list(claim.loading), list(claim.given)) == ([entry.name], given)
