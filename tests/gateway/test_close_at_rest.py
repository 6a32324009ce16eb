"""Connections of callers at rest are closed only later than was announced."""

import asyncio
import re
import socket

import pytest

from landingspool.gateway import listener
from landingspool.gateway import persistence
from tests.gateway import site
from tests.gateway import test_unanswered

KEPT = re.compile(rb'\r\nkeep-alive: timeout=(\d+)\r\n', re.I)
# Seconds that a request may travel, from the end of the announced time on.
TRAVEL_S = 0.5
SHORT_REST_S = 0.2


async def read_head(reader):
    """Return the head of an answer, with the empty line."""
    async with asyncio.timeout(test_unanswered.ANSWER_S):
        return await reader.readuntil(b'\r\n\r\n')


@pytest.mark.parametrize('path', ['/safe/a', '/nowhere/', '/stream/a'])
def test_no_caller_is_left_to_guess_when_a_connection_closes(path):
    async def check(deployment):
        hub = await deployment.start_box()
        await test_unanswered.publish_idle_timeout(deployment, hub, 2, 7900)
        async with site.connect(hub) as (reader, writer):
            extra = test_unanswered.PROMPT
            writer.write(test_unanswered.write_request(path, extra=extra))
            assert KEPT.findall(await read_head(reader)) == [b'7']

    site.run(check)


def test_an_answer_that_ends_its_connection_announces_no_time():
    async def check(deployment):
        hub = await deployment.start_box()
        async with site.connect(hub) as (reader, writer):
            extra = 'Connection: close\r\n'
            writer.write(test_unanswered.write_request(extra=extra))
            head = await read_head(reader)
            assert b'\r\nconnection: close\r\n' in head.lower()
            assert not KEPT.search(head)

    site.run(check, plain=1)


@pytest.mark.parametrize('lowered_ms', [1000, 100])
def test_no_request_within_the_announced_time_crosses_a_close(lowered_ms):
    async def check(deployment):
        hub = await deployment.start_box(table_s=0.3)
        await test_unanswered.publish_idle_timeout(deployment, hub, 2, 1000)
        async with site.connect(hub) as (reader, writer):
            writer.write(test_unanswered.write_request())
            head = await read_head(reader)
            kept_s = int(KEPT.search(head).group(1))
            await test_unanswered.publish_idle_timeout(
                deployment, hub, 3, lowered_ms
            )
            await asyncio.sleep(kept_s + TRAVEL_S)
            writer.write(test_unanswered.write_request())
            assert await test_unanswered.read_statuses(reader) == [200]

    site.run(check, plain=1)


async def close_at_idle_timeout(hub):
    await asyncio.sleep(SHORT_REST_S)


async def close_for_another(hub):
    await asyncio.sleep(listener.MIN_SILENCE_S)
    assert hub.listener._displace()


async def close_for_stop(hub):
    await hub.listener.close(1.0)


@pytest.mark.parametrize(
    'close', [close_at_idle_timeout, close_for_another, close_for_stop]
)
def test_a_request_that_crosses_a_close_is_told_that_it_has_not_run(
    close, monkeypatch
):
    async def check(deployment):
        hub = await deployment.start_box()
        (target,) = deployment.plain
        async with site.connect(hub) as (reader, writer):
            writer.write(test_unanswered.write_request())
            assert await test_unanswered.read_statuses(reader) == [200]
            if close is close_at_idle_timeout:
                monkeypatch.setattr(
                    persistence.Persistence,
                    'compute_limit',
                    lambda *_: SHORT_REST_S / 2,
                )
                writer.write(test_unanswered.write_request('/nowhere/'))
                assert await test_unanswered.read_statuses(reader) == [404]
            await close(hub)
            writer.write(test_unanswered.write_request())
            assert await test_unanswered.read_statuses(reader) == [408]
            assert len(target.ran) == 1

    site.run(check, plain=1)


def test_a_request_on_a_connection_that_is_turned_away_is_answered():
    async def check(deployment):
        hub = await deployment.start_box()
        hub.listener._max_connections = 0
        async with site.connect(hub) as (reader, writer):
            writer.write(test_unanswered.write_request())
            assert await test_unanswered.read_statuses(reader) == [408]

    site.run(check, plain=1)


def test_a_caller_that_takes_no_answer_keeps_no_descriptor(monkeypatch):
    monkeypatch.setattr(listener, 'FLUSH_TIMEOUT_S', SHORT_REST_S)
    monkeypatch.setattr(
        persistence.Persistence, 'compute_limit', lambda *_: SHORT_REST_S
    )

    async def check(deployment):
        hub = await deployment.start_box()
        connections = test_unanswered.keep_connections(hub)

        async def answer(request, body, reply):
            connections[0].get_socket().setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
            await reply.send_complete(200, (), b'x' * 60000)

        monkeypatch.setattr(hub.listener, '_handle', answer)
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect(tuple(hub.deployment.callers))
            caller.sendall(test_unanswered.write_request())
            await site.wait_until(lambda: connections)
            await site.wait_until(
                lambda: connections[0].get_socket().fileno() < 0
            )

    site.run(check)
