"""The HTTP server sends no answer on a connection without a request."""

import asyncio

import pytest

from landingspool import http


async def answer(request, exchange):
    """Answer any request."""
    await exchange.send_json(200, {})


@pytest.mark.parametrize(
    ('sent', 'status'), [(b'', b''), (b'GET / HTTP/1.1\r\n', b' 408 ')]
)
def test_only_a_request_is_answered(monkeypatch, sent, status):
    # Guards against an answer on an idle connection, which the client would
    # take for the answer to its next request.
    monkeypatch.setattr(http, 'IDLE_TIMEOUT_S', 0.1)
    monkeypatch.setattr(http, 'HEADER_TIMEOUT_S', 0.1)

    async def check():
        server = http.Server(answer)
        address = await server.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(sent)
        data = await asyncio.wait_for(reader.read(), 2.0)
        assert bool(data) == bool(status)
        assert status in data
        writer.close()
        await server.close()

    asyncio.run(check())


@pytest.mark.parametrize('target', ('//[x]/', 'http://[::1/x', '//[::1'))
def test_a_target_that_is_no_url_is_answered(target):
    async def check():
        server = http.Server(answer)
        address = await server.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f'GET {target} HTTP/1.1\r\nhost: h\r\n\r\n'.encode())
        data = await asyncio.wait_for(reader.read(), 2.0)
        assert data.startswith(b'HTTP/1.1 400')
        writer.close()
        await server.close()

    asyncio.run(check())
