"""Any input from outside gets an answer and never raises an exception."""

import asyncio
import json

import cbor2
import h11
import hypothesis
from hypothesis import strategies
import pytest

from landingspool.boxes import handshake
from landingspool.callers import parsing
from landingspool.command import draft
from landingspool.decisions import claims
from landingspool.decisions import configuration
from landingspool.decisions import messages
from landingspool import http
from landingspool import http_server
from landingspool import settings
from landingspool.targets import client as targets

FUZZ = hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)
LEAF = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**40), 2**40)
    | strategies.floats(allow_nan=True)
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8)
)
VALUE = strategies.recursive(
    LEAF,
    lambda inner: (
        strategies.lists(inner, max_size=6)
        | strategies.dictionaries(strategies.text(max_size=6), inner)
    ),
    max_leaves=12,
)
JSON = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.text(max_size=6),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=6), inner)
    ),
    max_leaves=8,
)
CALLERS = settings.Callers('127.0.0.1', 0)


@FUZZ
@hypothesis.given(strategies.lists(VALUE, max_size=12))
def test_any_array_is_a_message_or_a_problem(array):
    message, problem = messages.unpack(cbor2.loads(cbor2.dumps(array)))
    assert (message is None) is (problem is not None)


@FUZZ
@hypothesis.given(strategies.sampled_from(sorted(messages.REGISTRY)), VALUE)
def test_any_field_of_a_message_is_checked(code, value):
    array = [code] + [value] * len(messages.REGISTRY[code]._fields)
    message, problem = messages.unpack(cbor2.loads(cbor2.dumps(array)))
    assert (message is None) is (problem is not None)


@FUZZ
@hypothesis.given(VALUE)
def test_any_hello_is_read_or_refused(value):
    with pytest.raises(handshake.Refused):
        handshake.read_hello(value, 'a-secret-of-the-tests', b'nonce')


@FUZZ
@hypothesis.given(strategies.binary(max_size=200) | JSON.map(json.dumps))
def test_any_record_of_the_log_is_folded_or_passed_over(data):
    if isinstance(data, str):
        data = data.encode()
    table, _ = configuration.fold(configuration.Table(), 0, data)
    assert (table.rows, table.offset) == ({}, 0)
    assert claims.Ledger(60.0).fold(0, data) == []


@FUZZ
@hypothesis.given(JSON, strategies.text(max_size=30))
def test_any_body_and_headers_are_read_or_refused(value, text):
    headers = {
        'x-deadline-s': text,
        'idempotency-key': text,
        'x-repeatable': text,
        'x-request-id': text,
    }
    body = json.dumps(value).encode()
    request = http.Request('POST', '/', {}, headers, body)
    parsed, fault = parsing.parse_request(request, 'r', CALLERS, set())
    assert (parsed is None) is (fault is not None)


@FUZZ
@hypothesis.given(strategies.text(max_size=60) | JSON.map(json.dumps))
def test_any_event_of_a_target_is_read_or_cuts_the_stream(text):
    event = targets.decode_event(text)
    assert isinstance(event, (targets.Token, targets.End, targets.Interrupted))


@FUZZ
@hypothesis.given(strategies.text(max_size=200))
def test_any_draft_gives_rows_or_problems(text):
    header = ','.join(draft.COLUMNS)
    for whole in (text, f'{header}\n{text}'):
        rows, problems = draft.read_rows(whole)
        assert isinstance(rows, list)
        assert isinstance(problems, list)


@FUZZ
@hypothesis.given(strategies.dictionaries(strategies.text(max_size=9), VALUE))
def test_any_settings_are_right_or_have_errors(raw):
    found, errors = settings.check(raw)
    assert found is None
    assert errors


@hypothesis.settings(
    max_examples=40, derandomize=True, deadline=None, database=None
)
@hypothesis.given(strategies.binary(min_size=1, max_size=300))
def test_any_bytes_get_an_answer_or_a_closed_connection(data):
    async def handle(request, exchange):
        await exchange.send_json(200, {})

    async def send():
        server = http_server.Server(handle)
        address = await server.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        writer.write_eof()
        reply = await reader.read()
        writer.close()
        await server.close()
        return reply

    reply = asyncio.run(send())
    if reply:
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(method='GET', target='/', headers=[('host', 'x')])
        )
        parser.receive_data(reply)
        assert isinstance(parser.next_event(), h11.Response)
