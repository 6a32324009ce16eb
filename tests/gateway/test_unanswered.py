"""A request that was received whole ends with an answer or a refusal."""

import asyncio
import re
from unittest import mock

import pytest

from landingspool.gateway import listener
from landingspool.platform import answers
from landingspool.platform import ingress
from tests.gateway import site

# Seconds within which each request here is answered.
ANSWER_S = 1.5
ENDINGS = ('answered', 'not_served', 'caller_gone', 'request_fault')


def write_request(path='/unsafe/a', method='POST', extra='', body='x'):
    """Return the bytes of a request."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {site.HOST}\r\n'
        f'X-Landingspool-Request-Id: r{next(site.NUMBERS)}\r\n'
        f'Authorization: Bearer {site.KEY}\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


async def read_statuses(reader):
    """Return the statuses that came back until the first or the end."""
    try:
        async with asyncio.timeout(ANSWER_S):
            data = await reader.read(65536)
    except (TimeoutError, ConnectionError):
        return []
    return [int(status) for status in re.findall(rb'HTTP/1.1 (\d+)', data)]


def count_endings(hub):
    """Return of how many requests the log says how they ended."""
    return sum(hub.recorder.counts[name] for name in ENDINGS)


@pytest.mark.parametrize(
    ('path', 'status'), [('/nowhere/', 404), ('/unsafe/a', 503)]
)
def test_a_head_request_that_is_refused_is_answered(path, status):
    async def check(deployment):
        hub = await deployment.start_box()
        async with site.connect(hub) as (reader, writer):
            for _ in range(2):
                writer.write(write_request(path, 'HEAD', body=''))
                assert await read_statuses(reader) == [status]
        assert not hub.recorder.counts['request_fault']
        assert count_endings(hub) == 2

    site.run(check, plain=0)


def test_an_answer_that_cannot_be_encoded_becomes_an_error(monkeypatch):
    def relay_headers(head):
        return [(b'a', b'line\nend')]

    async def check(deployment):
        hub = await deployment.start_box()
        monkeypatch.setattr(answers, 'relay_headers', relay_headers)
        async with site.connect(hub) as (reader, writer):
            writer.write(write_request())
            assert await read_statuses(reader) == [500]
        assert hub.recorder.counts['request_fault'] == 1

    site.run(check, plain=1)


@pytest.mark.parametrize(
    'error', [ValueError, TimeoutError, OSError, asyncio.CancelledError]
)
def test_an_error_before_the_relay_is_answered(monkeypatch, error):
    async def check(deployment):
        hub = await deployment.start_box()
        monkeypatch.setattr(ingress, 'read_call', mock.Mock(side_effect=error))
        async with site.connect(hub) as (reader, writer):
            writer.write(write_request())
            assert await read_statuses(reader) == [500]
        assert count_endings(hub) == 1

    site.run(check)


def test_a_request_whose_error_cannot_be_sent_is_logged(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        fails = mock.AsyncMock(side_effect=TimeoutError('late'))
        monkeypatch.setattr(listener.Reply, 'send_complete', fails)
        async with site.connect(hub) as (reader, writer):
            writer.write(write_request())
            assert await read_statuses(reader) == []
        (event,) = [e for e in hub.recorder.select() if e.name == 'unanswered']
        assert 'late' in event.fields['reason']
        assert event.fields['request'].startswith('r')
        assert b'gateway_unanswered_total 1.0' in hub.metrics.render()

    site.run(check)
