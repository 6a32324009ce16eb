"""How the end of an exchange affects what comes after it."""

import asyncio
import contextlib
import socket

from landingspool.gateway import delivery
from standins import behaviours
from tests.gateway import site

# Held here until it is complete.
LONG_BODY = b'x' * (delivery.MAX_HELD_BYTES - 12_144)


@behaviours.behaviour('long kept')
async def answer_long_kept(runner, head, body, reader, writer):
    """Run, answer at length, and keep the connection for long."""
    runner.run(head, body)
    behaviours.write_answer(
        runner, head, writer, 200, LONG_BODY, 'keep-alive: timeout=9'
    )


@behaviours.behaviour('long failure')
async def answer_long_failure(runner, head, body, reader, writer):
    """Run, and answer with a long failure."""
    runner.run(head, body)
    behaviours.write_answer(runner, head, writer, 500, LONG_BODY)


@contextlib.asynccontextmanager
async def ask_without_reading(hub, deadline_ms):
    """Send a request, and read nothing of the answer."""
    (listening,) = hub.listener._server.sockets
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await loop.sock_connect(sock, tuple(hub.deployment.callers))
        await loop.sock_sendall(
            sock,
            b'POST /unsafe/a HTTP/1.1\r\nhost: h.example\r\n'
            b'x-landingspool-request-id: slow1\r\n'
            b'x-landingspool-deadline-ms: %d\r\n'
            b'authorization: Bearer %s\r\ncontent-length: 1\r\n\r\nx'
            % (deadline_ms, site.KEY.encode()),
        )
        yield sock


def test_slow_caller_who_leaves_ends_no_other_request():
    async def check(deployment):
        hub = await deployment.start_box()
        (target,) = deployment.plain
        target.script = ['long kept', 'late']
        async with ask_without_reading(hub, 2500):
            await site.wait_until(
                lambda: hub.upstream.list_ready(False) and target.ran
            )
            assert hub.listener.count_busy() == 1
            work = asyncio.ensure_future(site.ask(hub, '/unsafe/b'))
            await site.wait_until(lambda: len(target.ran) == 2)
            assert target.connections == 1
        got = await work
        assert got.status == 200, got.body

    site.run(check, plain=1)


def test_caller_who_reads_nothing_of_a_failure_is_held_to_the_deadline():
    async def check(deployment):
        hub = await deployment.start_box()
        (target,) = deployment.plain
        target.script = ['long failure']
        async with ask_without_reading(hub, 1000):
            await site.wait_until(lambda: target.ran)
            await site.wait_until(lambda: not hub.listener.count_busy(), 1.5)

    site.run(check, plain=1)


def count_crashes_after(behaviour):
    """Count the crashes under a request whose target's entry goes."""
    counts = []

    async def check(deployment):
        hub = await deployment.start_box()
        (target,) = deployment.plain
        target.script = [behaviour]
        work = asyncio.ensure_future(site.ask(hub, '/unsafe/a'))
        await site.wait_until(lambda: hub.view.crashes.bars._under_way)
        (fingerprint,) = hub.view.crashes.bars._under_way
        await asyncio.sleep(0.5)
        hub.view.record_incarnation_end(target.name, hub.clock())
        await work
        counts.append(hub.view.crashes.count(fingerprint, hub.clock()))

    site.run(check, plain=1)
    return counts


def test_crash_under_a_waiting_request_is_counted():
    assert count_crashes_after('silent') == [1]


def test_target_that_serves_on_without_an_entry_counts_as_no_crash():
    assert count_crashes_after('late') == [0]


def test_slow_caller_of_a_whole_answer_counts_as_no_crash():
    async def check(deployment):
        hub = await deployment.start_box()
        (target,) = deployment.plain
        target.script = ['long kept']
        crashes = hub.view.crashes
        async with ask_without_reading(hub, 1000):
            await site.wait_until(lambda: crashes.bars._under_way)
            (fingerprint,) = crashes.bars._under_way
            await site.wait_until(lambda: not crashes.bars._under_way)
        hub.view.record_incarnation_end(target.name, hub.clock())
        assert crashes.count(fingerprint, hub.clock()) == 0

    site.run(check, plain=1)
