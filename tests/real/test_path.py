"""A request end to end through separate processes, step by step."""

import asyncio
import hashlib

import pytest

from bench import fleet
from landingspool import box
from landingspool import httpclient
from tests import odd_values
from tests.real import conftest

# Requests at once, below the share that a domain has of the limit.
SHEETS = 4


def digest(prompt):
    """Give what the stand-in's answer to a prompt begins with."""
    return hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()


def test_streamed_answer_is_whole_and_in_order(bench):
    answer = bench.run(bench.send('north-1', prompt='sheet 1', max_tokens=6))
    word = digest('sheet 1')
    assert answer.whole
    assert answer.text == ''.join(f'{word}-{i} ' for i in range(6))


def test_answer_without_stream_says_its_verdict(bench):
    answer = bench.run(bench.send('south-2', stream=False))
    assert answer.status == 200
    assert answer.headers['x-verdict'] == 'ran'


def test_each_caller_gets_its_own_answer(bench):
    async def send_all():
        prompts = [f'sheet {i}' for i in range(24)]
        boxes = sorted(bench.fleet.boxes)
        calls = []
        for index, prompt in enumerate(prompts):
            call = bench.send(
                boxes[index % len(boxes)],
                workspace=conftest.WORKSPACES[index % 2],
                prompt=prompt,
                max_tokens=3 + index % 5,
            )
            calls.append(call)
        return prompts, await asyncio.gather(*calls)

    prompts, answers = bench.run(send_all())
    for index, (prompt, answer) in enumerate(zip(prompts, answers)):
        word = digest(prompt)
        count = 3 + index % 5
        assert answer.text == ''.join(f'{word}-{i} ' for i in range(count))


ODD_BODIES = {
    'nested': b'{"model": "m", "x": %s}' % odd_values.DEEP.encode(),
    'not_utf8': b'{"model": "\xff", "prompt": "p"}',
    'long_number': b'{"model": "m", "prompt": "p", "max_tokens": %s}'
    % (b'9' * 400),
    'list': b'[]',
    'nothing': b'',
}


@pytest.mark.parametrize('name', ODD_BODIES)
def test_a_body_that_cannot_be_decoded_is_rejected_as_not_run(bench, name):
    key = f'key-{conftest.WORKSPACES[0]}'
    reply = bench.run(
        bench.fleet.client.fetch(
            bench.get_address('north-1'),
            'POST',
            '/v1/completions',
            ODD_BODIES[name],
            [('authorization', f'Bearer {key}')],
        )
    )
    assert reply.status == 400
    assert reply.json()['error']['verdict'] == 'not_run'


@pytest.mark.parametrize('name', ODD_BODIES)
def test_a_draft_that_cannot_be_decoded_is_rejected(bench, name):
    reply = bench.run(
        bench.fleet.client.fetch(
            bench.fleet.boxes['north-1'].operators,
            'POST',
            '/admin/publish',
            ODD_BODIES[name],
            [('authorization', f'Bearer {fleet.OPERATOR_KEY}')],
        )
    )
    assert reply.status == 400


def test_wrong_key_is_rejected_as_not_run(bench):
    answer = bench.run(bench.send('north-1', workspace='nobody'))
    assert answer.status == 401
    assert answer.error['verdict'] == 'not_run'


def test_unknown_model_is_rejected_as_not_run(bench):
    answer = bench.run(bench.send('north-1', model='nothing'))
    assert (answer.status, answer.error['type']) == (404, 'unknown_model')


def test_malformed_requests_get_clear_errors(bench):
    cases = (
        (b'{"model": 3', 400),
        (b'{"model": "transcription"}', 400),
        (b'{"model": "transcription", "prompt": ""}', 400),
        (b'{"model": "transcription", "prompt": "a", "max_tokens": 0}', 400),
        (b'x' * (5 * 1024 * 1024), 413),
    )
    address = bench.get_address('north-1')
    headers = [('authorization', 'Bearer key-reading-room')]

    async def send(data):
        client = httpclient.Client()
        reply = await client.fetch(
            address, 'POST', '/v1/completions', data, headers
        )
        client.close()
        return reply.status

    for data, status in cases:
        assert bench.run(send(data)) == status


def test_what_is_not_http_is_refused_and_hurts_nobody(bench):
    async def send(data):
        reader, writer = await asyncio.open_connection(
            *bench.get_address('north-1')
        )
        writer.write(data)
        reply = await reader.read(4096)
        writer.close()
        return reply

    reply = bench.run(send(b'\x16\x03\x01\x00 nonsense\r\n\r\n'))
    assert reply.startswith(b'HTTP/1.1 400')
    reply = bench.run(send(b'GET / HTTP/1.1\r\nx: ' + b'y' * 40_000))
    assert reply.startswith(b'HTTP/1.1 431')
    assert bench.run(bench.send('north-1')).whole


@pytest.mark.parametrize('query', ('since=x', 'since=nan&self=1', 'self=1'))
def test_an_odd_query_for_events_is_answered(bench, query):
    reply = bench.run(
        bench.fleet.client.fetch(
            bench.fleet.boxes['north-1'].operators,
            'GET',
            f'/admin/events?{query}',
            headers=[('authorization', f'Bearer {fleet.OPERATOR_KEY}')],
        )
    )
    assert reply.status in (200, 400)


ODD_MEMBERS = {
    'port': {'port': 99_999_999_999},
    'long_port': {'port': int('9' * 400)},
    'host': {'host': 'a\0b'},
    'list': {'domain': ['north']},
}


@pytest.mark.parametrize('name', ODD_MEMBERS)
def test_requests_are_served_beside_an_odd_member(bench, name):
    target = next(
        member
        for member in bench.fleet.members.values()
        if member['kind'] == 'target'
    )
    odd = {**target, 'name': 'odd', **ODD_MEMBERS[name]}

    async def run():
        await bench.fleet.tell('live', '/set', {'members': [odd], 'now': True})
        await asyncio.sleep(box.LIVE_POLL_S * 2)
        try:
            return await asyncio.gather(
                *(
                    bench.send('north-1', prompt=f'{name} {number}')
                    for number in range(SHEETS)
                )
            )
        finally:
            removed = {'removed': ['odd'], 'now': True}
            await bench.fleet.tell('live', '/set', removed)

    answers = bench.run(run())
    assert {answer.status for answer in answers} == {200}
    assert all(answer.whole for answer in answers)
    log = bench.fleet.processes['north-1'].log.read_text()
    assert ' malformed ' in log
    assert ' fault ' not in log
