"""Requests that arrive whole, beside silent targets, stops and changes."""

import asyncio
import os
import socket
import time
from unittest import mock

import pytest

from landingspool.gateway import upstream
from landingspool import http_server
from standins import behaviours
from tests.gateway import site
from tests.gateway import test_begun_streams
from tests.gateway import test_relay
from tests.gateway import test_unanswered

# Longest time in which a target that is late has answered, seconds.
LATE_ANSWER_S = behaviours.SILENCE_S + 0.5


@pytest.mark.parametrize('name', ['failure slowly', 'unframed failure slowly'])
def test_a_late_answer_does_not_wait_for_a_failure_elsewhere(name):
    async def check(deployment):
        hub = await deployment.start_box()
        test_relay.script(deployment.plain, 'late')
        deployment.plain[0].script.append(name)
        began = hub.clock()
        got = await site.ask(hub, '/safe/a')
        assert got.status == 200
        assert hub.clock() - began < LATE_ANSWER_S

    site.run(check)


@pytest.mark.parametrize('name', ['failure slowly', 'client error slowly'])
def test_a_begun_stream_does_not_wait_for_a_failure_elsewhere(name):
    async def check(deployment):
        hub = await deployment.start_box()
        test_begun_streams.script(deployment, 'paused stream', name)
        test_begun_streams.check_whole(await test_begun_streams.ask(hub))

    site.run(check)


@pytest.mark.parametrize('turns', range(5))
def test_a_stop_answers_a_request_on_a_connection_not_accepted_yet(turns):
    async def check(deployment):
        hub = await deployment.start_box()
        with socket.create_connection(hub.deployment.callers) as caller:
            caller.sendall(test_unanswered.write_request())
            for _ in range(turns):
                await asyncio.sleep(0)
            await hub.listener.close(1.0)
            caller.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=caller)
            statuses = await test_unanswered.read_statuses(reader)
            writer.close()
            assert statuses == [200]

    site.run(check, plain=1)


def test_a_raised_idle_timeout_that_comes_late_closes_no_connection():
    async def check(deployment):
        hub = await deployment.start_box()
        publish = test_unanswered.publish_idle_timeout
        await publish(deployment, hub, 2, 300)
        async with site.connect(hub) as (reader, writer):
            writer.write(test_unanswered.write_request())
            assert await test_unanswered.read_statuses(reader) == [200]
            # The caller knows the next table half a second before the box.
            await asyncio.sleep(0.5)
            writer.write(test_unanswered.write_request())
            await publish(deployment, hub, 3, 30_000)
            assert await test_unanswered.read_statuses(reader) == [200]

    site.run(check, plain=1)


def test_a_long_answer_that_breaks_off_is_not_run_again():
    async def check(deployment):
        hub = await deployment.start_box()
        test_relay.script(deployment.plain, 'long answer broken off')
        got = await site.ask(hub, '/safe/a')
        assert not got.whole
        assert sum(len(runner.ran) for runner in deployment.plain) == 1
        assert not hub.recorder.counts['request_fault']

    site.run(check)


async def serve_nothing(writers):
    """Start a server that only keeps the connections; return it."""

    async def keep(reader, writer):
        writers.append(writer)

    return await asyncio.start_server(keep, '127.0.0.1', 0)


def end_at_once(writer, has_surplus):
    """Make a connection unusable without a turn of the event loop."""
    peer = writer.get_extra_info('socket')
    if has_surplus:
        os.write(peer.fileno(), b'HTTP/1.1 200 OK')
    else:
        peer.shutdown(socket.SHUT_WR)
    time.sleep(0.05)


@pytest.mark.parametrize('has_surplus', [False, True])
def test_no_request_is_sent_where_an_end_has_arrived(has_surplus):
    async def check():
        writers = []
        async with await serve_nothing(writers) as server:
            address = server.sockets[0].getsockname()
            pool = upstream.Upstream(mock.Mock())
            await pool.probe(address, 4)
            await site.wait_until(lambda: writers)
            end_at_once(writers[0], has_surplus)
            kept = pool._idle[address][-1].connection
            exchange = await pool.open(address, False)
            exchange.abort()
            pool.close()
            await asyncio.sleep(0.05)
            assert exchange.connection is not kept

    asyncio.run(check())


@pytest.mark.parametrize('turns', range(4))
def test_a_closing_server_of_calls_answers_what_has_arrived(turns):
    async def check():
        async def handle(request, exchange):
            await exchange.send_json(200, {})

        server = http_server.Server(handle)
        address = await server.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*address)
        await site.wait_until(lambda: server._idle)
        writer.write(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
        for _ in range(turns):
            await asyncio.sleep(0)
        await server.close(1.0)
        statuses = await test_unanswered.read_statuses(reader)
        writer.close()
        await asyncio.sleep(0.05)
        assert statuses == [200]

    asyncio.run(check())


LEFT = (
    # route, what the targets show in turn
    ('safe', ['late', 'late shed']),
    ('safe', ['late', 'late closed']),
    ('resumed', ['slow stream', 'late shed']),
)


@pytest.mark.parametrize(('route', 'names'), LEFT)
def test_a_request_left_a_sound_target_for_one_that_refuses(route, names):
    async def check(deployment):
        hub = await deployment.start_box()
        test_relay.script(deployment.plain, names[0])
        deployment.plain[0].script += names[1:]
        test_begun_streams.script(deployment, *names)
        got = await test_begun_streams.ask(hub, route)
        assert got.status == 200

    site.run(check)


@pytest.mark.parametrize('wait_s', [0.0, 0.3])
def test_a_caller_that_left_while_its_stream_waits_is_served_no_more(wait_s):
    async def check(deployment):
        hub = await deployment.start_box()
        test_begun_streams.script(deployment, 'broken stream', 'shed', 'shed')
        hub.view.take_repeat = lambda *_: False
        work = asyncio.ensure_future(test_begun_streams.ask(hub))
        await site.wait_until(lambda: hub.recorder.counts['stream_waits'])
        await asyncio.sleep(wait_s)
        work.cancel()
        await asyncio.sleep(0.1)
        del hub.view.take_repeat
        await asyncio.sleep(1.0)
        assert sum(len(t.heads) for t in deployment.engines) == 1
        assert hub.recorder.counts['caller_gone'] == 1
        assert not hub.view.loads.list_targets()

    site.run(check)
