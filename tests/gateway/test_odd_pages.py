"""Decoders of the answers of the platform's store."""

import asyncio
import base64
import json

import pytest

from landingspool.decisions.gateway import tail
from landingspool import http
from landingspool.platform import store
from tests import odd_values

ADDRESS = http.Address('127.0.0.1', 9)
NEWEST = {
    'items': [{'key': 'k', 'value': 'YQ==', 'offset': 4}],
    'more': False,
    'end': 5,
}


def make_store(value, status=200):
    """Return a client of a store that answers with `value`."""
    return store.Store(odd_values.Peer(value, status), ADDRESS)


# Name: (sound record, coroutine function that decodes one).
DECODERS = {
    'newest': (NEWEST, lambda v: make_store(v).read_newest('keyed.op')),
    'read': ([], lambda v: make_store(v).read('keyed.op', 0, 0.0)),
    'append': (
        {'offset': 4},
        lambda v: make_store(v).append('keyed.op', 'k', b''),
    ),
    'conflict': (
        {'end': 4},
        lambda v: make_store(v, 412).append('keyed.op', 'k', b'', 3),
    ),
}
SOUND = {'read': b'\0' * 16}


@pytest.mark.parametrize('name', DECODERS)
def test_a_sound_answer_is_decoded(name):
    row, decode = DECODERS[name]
    value = SOUND.get(name) or json.dumps(row).encode()
    assert not isinstance(asyncio.run(decode(value)), store.Unavailable)


@pytest.mark.parametrize('name', DECODERS)
def test_an_odd_answer_is_refused_or_bounded(name):
    row, decode = DECODERS[name]
    assert not asyncio.run(odd_values.list_failures(row, decode))


@pytest.mark.parametrize('value', odd_values.RECORDS)
def test_an_append_whose_answer_is_odd_may_have_been_done(value):
    client = make_store(odd_values.RECORDS[value])
    found = asyncio.run(client.append('keyed.op', 'k', b''))
    assert isinstance(found, store.Unavailable)
    assert found.done


@pytest.mark.parametrize('offset', [2, 4])
def test_an_offset_that_can_not_be_that_of_the_record_is_not_believed(offset):
    # The answer is that to another caller, or of another history of the log.
    client = make_store(json.dumps({'offset': offset}).encode())
    found = asyncio.run(client.append('keyed.op', 'k', b'', 3))
    assert isinstance(found, store.Unavailable)
    assert found.done and f'answered {offset}' in found.reason


ODD_KEYS = (b'"\xff"', b'"\\udcff"', b'5', b'null', b'[]')


@pytest.mark.parametrize('key', ODD_KEYS)
def test_a_key_that_is_no_text_ends_no_read_of_the_newest_records(key):
    page = b'{"items": [%s, %s, %s], "more": false, "end": 5}' % (
        b'{"key": %s, "value": "YQ==", "offset": 3}' % key,
        b'{"key": "k", "value": "YQ==", "offset": 4}',
        b'{"key": %s, "value": "YQ==", "offset": 2}' % key,
    )
    found = asyncio.run(make_store(page).read_newest('keyed.op'))
    assert 'k' in [record.key for record in found.records]
    assert len(found.records) + len(found.passed_over) == 3


@pytest.mark.parametrize('value', [5, None, 'a', {}])
def test_no_read_proves_a_table_whose_row_can_not_be_decoded(value):
    rows = [
        {'key': 'config', 'value': value, 'offset': 9},
        {'key': 'version/m', 'value': 'YQ==', 'offset': 4},
    ]
    page = json.dumps({'items': rows, 'end': 10}).encode()
    found = asyncio.run(make_store(page).read_newest('keyed.op'))
    assert isinstance(found, store.Unavailable)


def test_a_page_on_which_nothing_can_be_decoded_is_no_answer():
    page = b'{"items": [5, []], "more": true, "end": 5}'
    found = asyncio.run(make_store(page).read_newest('keyed.op'))
    assert isinstance(found, store.Unavailable)


def test_base64_of_a_page_is_what_was_written():
    value = base64.b64encode(b'\xff\x00').decode()
    row = {'items': [{'key': 'k', 'value': value, 'offset': 4}], 'end': 5}
    found = asyncio.run(make_store(json.dumps(row).encode()).read_newest('t'))
    assert found.records == (tail.Record('k', b'\xff\x00', 4),)
