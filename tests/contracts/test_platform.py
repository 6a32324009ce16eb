"""Tests how the clients of the platform handle every answer."""

import asyncio

import pytest

from landingspool.ledger import live
from landingspool.ledger import log
from landingspool.ledger import outcomes
from tests.contracts import peer

APPENDS = (
    ('taken', peer.answer(200, '{"offset": 7}'), outcomes.Appended(7)),
    ('too many', peer.answer(429, '{}'), outcomes.Refused('status 429')),
    ('bad request', peer.answer(400, '{}'), outcomes.Refused('status 400')),
    ('error', peer.answer(500, '{}'), outcomes.Lost('status 500')),
    ('cut', b'', outcomes.Lost),
    ('cut in the head', b'HTTP/1.1 200', outcomes.Lost),
    ('cut in the body', peer.answer(200, '{}')[:-1], outcomes.Lost),
    ('no offset', peer.answer(200, '{}'), outcomes.Lost),
    ('not JSON', peer.answer(200, 'oops'), outcomes.Lost),
    ('not HTTP', b'\x00\x01\x02\r\n\r\n', outcomes.Lost),
)

PAGE = '{"first": 2, "next": 4, "start": 3, "records": ["YQ=="]}'
READS = (
    ('page', peer.answer(200, PAGE), outcomes.Page(2, 4, ((3, b'a'),))),
    ('error', peer.answer(500, PAGE), outcomes.Unavailable),
    ('cut', b'', outcomes.Unavailable),
    ('no field', peer.answer(200, '{"first": 2}'), outcomes.Unavailable),
    ('not base64', peer.answer(200, PAGE[:-5] + '?"]}'), outcomes.Unavailable),
    ('not JSON', peer.answer(200, '<html>'), outcomes.Unavailable),
)

MEMBER = '{"name": "b", "kind": "entry", "domain": "d", "host": "h", "port": 1'
LISTS = (
    ('a box', f'{{"members": [{MEMBER}}}]}}', 1),
    ('unknown field', f'{{"members": [{MEMBER}, "rack": 7}}]}}', 1),
    ('wrong type', '{"members": [{"name": 3}]}', outcomes.Unavailable),
    ('no members', '{}', outcomes.Unavailable),
    ('not JSON', 'oops', outcomes.Unavailable),
)


def matches(found, expected):
    """Return whether an outcome equals the expected one or is of its class."""
    if isinstance(expected, type):
        return isinstance(found, expected)
    return found == expected


def append(client, address):
    """Append a record."""
    return log.Log(client, address).append('s', b'x')


@pytest.mark.parametrize('name, reply, expected', APPENDS)
def test_append(name, reply, expected):
    assert matches(asyncio.run(peer.talk(reply, append)), expected)


def test_append_to_nobody_is_surely_not_taken():
    outcome = asyncio.run(peer.talk_to_nobody(append))
    assert outcome == outcomes.Refused('unreachable')


def test_append_that_hangs_may_be_taken(monkeypatch):
    monkeypatch.setattr(log, 'APPEND_TIMEOUT_S', 0.05)
    outcome = asyncio.run(peer.talk(b'', append, hang=True))
    assert isinstance(outcome, outcomes.Lost)


@pytest.mark.parametrize('name, reply, expected', READS)
def test_read(name, reply, expected):
    def read(client, address):
        return log.Log(client, address).read('s', 2)

    assert matches(asyncio.run(peer.talk(reply, read)), expected)


@pytest.mark.parametrize('name, body, expected', LISTS)
def test_live_list(name, body, expected):
    def read(client, address):
        return live.LiveList(client, address).read()

    found = asyncio.run(peer.talk(peer.answer(200, body), read))
    assert matches(
        found if isinstance(found, outcomes.Unavailable) else len(found),
        expected,
    )
