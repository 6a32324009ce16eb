"""The HTTP server sends no answer on a connection without a request."""

import asyncio
import json

import pytest

from landingspool import http_server
from landingspool import httpclient
from landingspool import keep_alive


async def answer(request, exchange):
    """Answer any request."""
    await exchange.send_json(200, {})


@pytest.mark.parametrize(
    ('sent', 'status'), [(b'', b''), (b'GET / HTTP/1.1\r\n', b' 408 ')]
)
def test_only_a_request_is_answered(monkeypatch, sent, status):
    # Guards against an answer on an idle connection, which the client would
    # take for the answer to its next request.
    monkeypatch.setattr(http_server, 'IDLE_TIMEOUT_S', 0.1)
    monkeypatch.setattr(http_server, 'HEADER_TIMEOUT_S', 0.1)

    async def check():
        server = http_server.Server(answer)
        address = await server.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(sent)
        data = await asyncio.wait_for(reader.read(), 2.0)
        assert bool(data) == bool(status)
        assert status in data
        writer.close()
        await server.close()

    asyncio.run(check())


async def fail(request, exchange):
    """Fail before the answer."""
    raise ZeroDivisionError('made by the test')


async def fail_late(request, exchange):
    """Fail within an answer."""
    await exchange.start_stream()
    await exchange.send_event('a')
    raise ZeroDivisionError('made by the test')


async def fail_in_time(request, exchange):
    """Fail by an error that is also one of the connection's."""
    raise TimeoutError('made by the test')


async def answer_nothing(request, exchange):
    """Return without an answer."""


async def break_protocol(request, exchange):
    """Fail by an answer that can't be sent."""
    await exchange.send_body(200, b'', 'a\nb')


async def await_cancelled(request, exchange):
    """Fail by the cancellation of something else."""
    waiting = asyncio.get_running_loop().create_future()
    waiting.cancel()
    await waiting


def ask(handle, sent=b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'):
    """Return all that a server sends, and the errors that it reports."""

    async def run():
        errors = []
        server = http_server.Server(handle, on_error=errors.append)
        address = await server.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(sent)
        data = await asyncio.wait_for(reader.read(), 2.0)
        writer.close()
        await server.close()
        return data, errors

    return asyncio.run(run())


@pytest.mark.parametrize(
    'handle',
    [fail, fail_in_time, answer_nothing, break_protocol, await_cancelled],
)
def test_a_request_whose_handling_failed_is_answered(handle):
    data, errors = ask(handle)
    head, _, body = data.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 500 ')
    assert b'connection: close' in head.lower()
    assert b'x-verdict: may_have_run' in head.lower()
    assert json.loads(body)['error']['verdict'] == 'may_have_run'
    assert len(errors) == 1


def test_an_answer_that_failed_is_not_framed_as_whole():
    async def run():
        errors = []
        server = http_server.Server(fail_late, on_error=errors.append)
        address = await server.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b'GET /a HTTP/1.0\r\nhost: h\r\n\r\n')
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 2.0)
        writer.close()
        await server.close()
        return errors

    assert len(asyncio.run(run())) == 1


def test_a_target_that_is_no_url_is_answered_as_not_run():
    data, errors = ask(answer, b'GET //[ HTTP/1.1\r\nhost: h\r\n\r\n')
    assert data.startswith(b'HTTP/1.1 400 ')
    assert b'x-verdict: not_run' in data
    assert not errors


def test_a_caller_that_leaves_is_no_fault():
    async def leave(request, exchange):
        await exchange.start_stream()
        while True:
            await exchange.send_event('a' * 1000)
            await asyncio.sleep(0)

    async def run():
        errors = []
        server = http_server.Server(leave, on_error=errors.append)
        address = await server.start('127.0.0.1', 0)
        _, writer = await asyncio.open_connection(*address)
        writer.write(b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n')
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        await server.close()
        return errors

    assert asyncio.run(run()) == []


@pytest.mark.parametrize('target', ('//[x]/', 'http://[::1/x', '//[::1'))
def test_a_target_that_is_no_url_is_answered(target):
    async def check():
        server = http_server.Server(answer)
        address = await server.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f'GET {target} HTTP/1.1\r\nhost: h\r\n\r\n'.encode())
        data = await asyncio.wait_for(reader.read(), 2.0)
        assert data.startswith(b'HTTP/1.1 400')
        writer.close()
        await server.close()

    asyncio.run(check())


def test_no_call_is_left_to_guess_when_an_own_server_closes():
    async def check():
        server = http_server.Server(answer)
        address = await server.start('127.0.0.1', 0)
        client = httpclient.Client()
        reply = await client.fetch(address, 'GET', '/')
        kept_s = keep_alive.read_seconds(reply.headers.get('keep-alive', ''))
        assert kept_s is not None
        assert kept_s < http_server.IDLE_TIMEOUT_S
        client.close()
        await server.close()

    asyncio.run(check())


@pytest.mark.parametrize(('handle', 'status'), [(answer, 200), (fail, 500)])
def test_a_head_request_is_answered_without_a_body(handle, status):
    async def check():
        server = http_server.Server(handle, on_error=lambda error: None)
        address = await server.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(
            b'HEAD / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n'
        )
        data = await asyncio.wait_for(reader.read(), 2.0)
        assert data.startswith(b'HTTP/1.1 %d' % status)
        assert data.endswith(b'\r\n\r\n')
        writer.close()
        await server.close()

    asyncio.run(check())


def test_an_answer_that_ends_its_connection_announces_no_time():
    async def check():
        server = http_server.Server(answer)
        address = await server.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b'GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n')
        data = await asyncio.wait_for(reader.read(), 2.0)
        assert b'keep-alive' not in data.lower()
        writer.close()
        await server.close()

    asyncio.run(check())
