"""A request that was received whole ends with an answer or a refusal."""

import asyncio
import contextlib
import re
import socket
import time
from unittest import mock

import pytest

from landingspool import connection as connection_module
from landingspool.gateway import closings
from landingspool.gateway import listener
from landingspool.gateway import persistence
from landingspool.gateway import replies
from landingspool.platform import answers
from landingspool.platform import ingress
from landingspool import timeouts
from tests.gateway import site

# Seconds within which each request here is answered.
ANSWER_S = 1.5
PROMPT = (
    'X-Landingspool-Model-Name: m\r\nX-Landingspool-Token-Usage: 300,10\r\n'
)
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
    found = []
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(ANSWER_S):
            while not found and (data := await reader.read(65536)):
                found = re.findall(rb'HTTP/1.1 (\d+)', data)
    return [int(status) for status in found]


async def ask(hub, **request):
    """Return the statuses that come back for one request."""
    async with site.connect(hub) as (reader, writer):
        writer.write(write_request(**request))
        return await read_statuses(reader)


def keep_connections(hub):
    """Return a list that gets the connections which callers open."""
    connections, accept = [], hub.listener._accept

    def keep(connection):
        connections.append(connection)
        accept(connection)

    hub.listener._accept = keep
    return connections


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
        assert await ask(hub) == [500]
        assert hub.recorder.counts['request_fault'] == 1

    site.run(check, plain=1)


@pytest.mark.parametrize('size', [5_000_000, 30_000_000])
def test_a_caller_that_still_sends_is_told_that_its_body_is_too_long(size):
    async def check(deployment):
        hub = await deployment.start_box()
        async with site.connect(hub) as (reader, writer):
            head, _, _ = write_request().partition(b'Content-Length')
            writer.write(head + b'Content-Length: %d\r\n\r\n' % size)
            writer.write(b'x' * size)
            await writer.drain()
            assert await read_statuses(reader) == [413]

    site.run(check, plain=1)


@pytest.mark.parametrize('method', ['GET', 'HEAD', 'POST'])
def test_a_fault_is_answered_for_each_method(monkeypatch, method):
    async def check(deployment):
        hub = await deployment.start_box()
        fails = mock.Mock(side_effect=ValueError)
        monkeypatch.setattr(ingress, 'read_call', fails)
        body = 'x' if method == 'POST' else ''
        statuses = await ask(hub, method=method, body=body)
        assert statuses == [500]

    site.run(check)


@pytest.mark.parametrize(
    'error', [ValueError, TimeoutError, OSError, asyncio.CancelledError]
)
def test_an_error_before_the_relay_is_answered(monkeypatch, error):
    async def check(deployment):
        hub = await deployment.start_box()
        monkeypatch.setattr(ingress, 'read_call', mock.Mock(side_effect=error))
        assert await ask(hub) == [500]
        assert count_endings(hub) == 1

    site.run(check)


def test_a_request_whose_error_cannot_be_sent_is_logged(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        fails = mock.AsyncMock(side_effect=TimeoutError('late'))
        monkeypatch.setattr(replies.Reply, 'send_complete', fails)
        assert await ask(hub) == []
        (event,) = [e for e in hub.recorder.select() if e.name == 'unanswered']
        assert 'late' in event.fields['reason']
        assert event.fields['request'].startswith('r')
        assert b'gateway_unanswered_total 1.0' in hub.metrics.render()

    site.run(check)


def test_a_stop_ends_no_request_that_is_being_received():
    async def check(deployment):
        hub = await deployment.start_box()
        async with site.connect(hub) as (reader, writer):
            data = write_request(body='x' * 4000)
            writer.write(data[:2000])
            await asyncio.sleep(0.05)
            closing = asyncio.ensure_future(hub.listener.close(1.0))
            await asyncio.sleep(0.05)
            writer.write(data[2000:])
            assert await read_statuses(reader) == [200]
            await closing

    site.run(check, plain=1)


def test_a_stop_ends_no_request_that_waits_in_the_buffer():
    async def check(deployment):
        hub = await deployment.start_box()
        connections = keep_connections(hub)
        async with site.connect(hub) as (reader, _):
            await site.wait_until(lambda: connections)
            closing = asyncio.ensure_future(hub.listener.close(1.0))
            connections[0].data_received(write_request())
            assert await read_statuses(reader) == [200]
            await closing

    site.run(check, plain=1)


@pytest.mark.parametrize('is_closed', [False, True])
def test_a_stop_ends_no_request_sent_behind_a_running_one(is_closed):
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.engines
        runner.script = ['stream', 'stream']
        async with site.connect(hub) as (reader, writer):
            writer.write(write_request('/stream/a', extra=PROMPT))
            assert await read_statuses(reader) == [200]
            writer.write(write_request('/stream/a', extra=PROMPT))
            hub.listener.stop()
            await asyncio.sleep(0.01)
            if is_closed:
                await hub.listener.close(1.0)
            assert await read_statuses(reader) == [200]
            assert len(runner.ran) == 2

    site.run(check, engines=1)


def test_a_stop_closes_connections_at_rest_and_new_ones_at_once():
    async def check(deployment):
        hub = await deployment.start_box()
        connections = keep_connections(hub)
        async with site.connect(hub) as (reader, _):
            await site.wait_until(lambda: connections)
            began = hub.clock()
            await hub.listener.close(1.0)
            assert await reader.read() == replies.REST_OVER
            assert hub.clock() - began < 0.5
        late = connection_module.Connection()
        late.connection_made(mock.Mock())
        with socket.socket() as unused:
            late._transport.get_extra_info.return_value = unused
            hub.listener._accept(late)
        late._transport.abort.assert_called_once()

    site.run(check)


def test_a_request_open_at_the_end_of_a_stop_is_answered():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        runner.script = ['silent']
        async with site.connect(hub) as (reader, writer):
            writer.write(write_request())
            await site.wait_until(lambda: runner.ran)
            await hub.listener.close(0.1)
            assert await read_statuses(reader) == [502]

    site.run(check, plain=1)


def test_an_answer_open_at_the_end_of_a_stop_is_logged():
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.engines
        runner.script = ['stream']
        async with site.connect(hub) as (reader, writer):
            writer.write(write_request('/stream/a', extra=PROMPT))
            assert await read_statuses(reader) == [200]
            await hub.listener.close(0.0)
            assert not (await reader.read()).endswith(b'0\r\n\r\n')
        (event,) = [e for e in hub.recorder.select() if e.name == 'unanswered']
        assert event.fields['reason'] == 'stopped'

    site.run(check, engines=1)


def wait_in_kernel(connection):
    """Return once bytes have arrived, without a turn of the event loop."""
    end = time.monotonic() + ANSWER_S
    while not connection.count_unread():
        assert time.monotonic() < end


def list_closings(hub):
    """Return the reason and the unread bytes of each closed connection."""
    return [
        (event.fields['reason'], event.fields['unread'])
        for event in hub.recorder.select()
        if event.name == 'connection_closed'
    ]


@pytest.mark.parametrize(
    ('sent', 'reason'),
    [
        (b'', closings.Reason.CALLER),
        (b'x', closings.Reason.UNREADABLE),
        (write_request('/nowhere/'), closings.Reason.CALLER),
        (
            write_request('/nowhere/', extra='Connection: close\r\n'),
            closings.Reason.LAST_ANSWER,
        ),
    ],
)
def test_the_end_of_a_connection_is_logged_with_its_reason(sent, reason):
    async def check(deployment):
        hub = await deployment.start_box()
        async with site.connect(hub) as (reader, writer):
            writer.write(sent)
            if reason != closings.Reason.UNREADABLE:
                await asyncio.sleep(0.05)
            writer.write_eof()
            await reader.read()
        await site.wait_until(lambda: list_closings(hub))
        assert [row[0] for row in list_closings(hub)] == [reason]

    site.run(check)


def test_what_lies_unread_as_a_connection_is_closed_is_logged():
    async def check(deployment):
        hub = await deployment.start_box()
        connections = keep_connections(hub)
        async with site.connect(hub) as (_, writer):
            await site.wait_until(lambda: connections)
            writer.write(b'12345')
            (task,) = hub.listener._tasks
            wait_in_kernel(connections[0])
            hub.listener._end(task, connections[0], closings.Reason.DISPLACED)
        assert list_closings(hub) == [('displaced', 5)]

    site.run(check)


async def publish_idle_timeout(deployment, hub, version, idle_ms):
    """Have a box use a configuration with an idle time-out."""
    limits = {'idle_timeout_ms': idle_ms}
    deployment.publish(site.make_table(version, limits=limits))
    await site.wait_until(lambda: hub.view.table.version == version)


def test_a_request_that_comes_at_the_idle_timeout_is_answered(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        await publish_idle_timeout(deployment, hub, 2, 200)
        connections = keep_connections(hub)
        expire = timeouts.Timeout._expire
        idle_s = 0.2 + hub.deployment.bounds.table_s

        def expire_and_receive(timeout):
            expire(timeout)
            if connections and timeout._seconds == idle_s:
                connections.pop().data_received(write_request())

        monkeypatch.setattr(timeouts.Timeout, '_expire', expire_and_receive)
        async with site.connect(hub) as (reader, _):
            await asyncio.sleep(idle_s)
            assert await read_statuses(reader) == [200]

    site.run(check, plain=1)


def test_a_longer_idle_timeout_applies_to_open_connections():
    async def check(deployment):
        hub = await deployment.start_box()
        await publish_idle_timeout(deployment, hub, 2, 500)
        async with site.connect(hub) as (reader, writer):
            await publish_idle_timeout(deployment, hub, 3, 1000)
            await asyncio.sleep(0.7)
            writer.write(write_request())
            assert await read_statuses(reader) == [200]
            began = hub.clock()
            assert await reader.read() == replies.REST_OVER
            waited_s = hub.clock() - began - hub.deployment.bounds.table_s
            assert 0.8 < waited_s < 1.3

    site.run(check, plain=1)


def test_a_request_of_a_caller_already_gone_is_not_sent():
    async def check(deployment):
        hub = await deployment.start_box()
        connections = keep_connections(hub)
        async with site.connect(hub):
            await site.wait_until(lambda: connections)
            connections[0].data_received(write_request())
            connections[0].eof_received()
            await asyncio.sleep(0.1)
        assert not deployment.plain[0].ran
        (event,) = [e for e in hub.recorder.select() if e.name in ENDINGS]
        assert event.name == 'caller_gone'

    site.run(check, plain=1)


def test_a_caller_who_leaves_as_its_request_is_read_is_logged():
    async def check(deployment):
        hub = await deployment.start_box()
        for _ in range(10):
            async with site.connect(hub) as (_, writer):
                writer.write(write_request())
                writer.write_eof()
                await asyncio.sleep(0.02)
        assert not deployment.plain[0].ran
        assert hub.recorder.counts['caller_gone'] == 10

    site.run(check, plain=1)


@pytest.mark.parametrize('text', ['nan', '-nan', 'inf', '-inf', '1e999'])
def test_a_time_that_is_no_number_is_that_of_a_missing_one(text):
    async def check(deployment):
        hub = await deployment.start_box()
        extra = f'X-Landingspool-Deadline-Ms: {text}\r\n'
        assert await ask(hub, extra=extra) == [200]

    site.run(check, plain=1)


@pytest.mark.parametrize(
    'row', [b'versions: \xb2', b'keep-alive: timeout=\xb2']
)
def test_a_digit_of_another_script_fails_no_answer(monkeypatch, row):
    async def check(deployment):
        hub = await deployment.start_box()
        (runner,) = deployment.plain
        monkeypatch.setattr(runner, 'say', lambda head=None: row + b'\r\n')
        assert await ask(hub) == [200]

    site.run(check, plain=1)


def send_at_rest(writer, connection):
    """Send a request that arrives before the loop has its next turn."""
    writer.write(write_request())
    wait_in_kernel(connection)


async def close_by_idle_timeout(hub, send, monkeypatch):
    limits, asked = hub.view.table.limits, []

    def get_limits():
        asked.append(True)
        # For the first request, the wait for the second and its time-out.
        if len(asked) == 3:
            send()
        return limits._replace(idle_s=0.05)

    monkeypatch.setattr(hub.listener, '_get_limits', get_limits)
    monkeypatch.setattr(
        persistence.Persistence, 'compute_limit', lambda _, new: new.idle_s
    )


async def close_by_displacement(hub, send, monkeypatch):
    monkeypatch.setattr(listener, 'MIN_SILENCE_S', -1.0)
    send()
    hub.listener._displace()


async def close_by_stop(hub, send, monkeypatch):
    end = hub.listener._server.close

    def close():
        monkeypatch.undo()
        end()
        send()

    monkeypatch.setattr(hub.listener._server, 'close', close)
    hub.closing = asyncio.ensure_future(hub.listener.close(1.0))


@pytest.mark.parametrize(
    'close', [close_by_idle_timeout, close_by_displacement, close_by_stop]
)
def test_a_request_that_arrived_before_a_close_is_answered(close, monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        connections = keep_connections(hub)
        await publish_idle_timeout(deployment, hub, 2, 30_000)
        async with site.connect(hub) as (reader, writer):
            await site.wait_until(lambda: connections)

            def send():
                send_at_rest(writer, connections[0])

            if close is close_by_idle_timeout:
                await close(hub, send, monkeypatch)
                # The wait for the next request has the new time-out.
                writer.write(write_request('/nowhere/'))
                assert await read_statuses(reader) == [404]
            else:
                await close(hub, send, monkeypatch)
            assert await read_statuses(reader) == [200]

    site.run(check, plain=1)
