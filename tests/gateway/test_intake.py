"""Bodies take room before they are read, and return it however they end."""

import asyncio
import types

import pytest

from landingspool.decisions.gateway import byte_budget
from landingspool.gateway import caller_room
from landingspool.gateway import intake
from landingspool.gateway import metrics
from landingspool import http
from standins import behaviours
from tests.gateway import site
from tests.gateway import test_forwarder

LARGE = 1024 * 1024
HEADER_MS = 800


@behaviours.behaviour('never')
async def answer_never(runner, head, body, reader, writer):
    """Run, and wait for the caller to leave."""
    runner.run(head, body)
    return not await reader.read()


@behaviours.behaviour('early')
async def answer_early(runner, head, body, reader, writer):
    """Fail without closing."""
    runner.run(head, b'')
    behaviours.write_answer(runner, head, writer, 500, b'no')


def write_head(path='/unsafe/a', key=site.KEY, *rows):
    """Return a head up to the framing of the body."""
    lines = (
        f'POST {path} HTTP/1.1',
        f'host: {site.HOST}',
        'x-landingspool-request-id: id1',
        'x-landingspool-deadline-ms: 2500',
        f'authorization: Bearer {key}',
        *rows,
    )
    return '\r\n'.join(lines).encode() + b'\r\n'


def write_length(length, path='/unsafe/a', key=site.KEY):
    """Return a head of a request with a length."""
    return write_head(path, key) + b'content-length: %d\r\n\r\n' % length


CHUNKED = write_head() + b'transfer-encoding: chunked\r\n\r\n'
CHUNK = b'%x\r\n' % (LARGE // 4) + bytes(LARGE // 4) + b'\r\n'
# What a caller sends, whether it then leaves, and the status of its answer.
ENDS = {
    'answered': (write_length(LARGE) + bytes(LARGE), False, 200),
    'chunks': (CHUNKED + 4 * CHUNK + b'0\r\n\r\n', False, 200),
    'small': (write_length(5) + b'small', False, 200),
    'no body': (write_length(0), False, 200),
    'unknown key': (
        write_length(LARGE, key='k') + bytes(LARGE),
        False,
        401,
    ),
    'no route': (write_length(LARGE, '/x/') + bytes(LARGE), False, 404),
    'too long': (write_length(1 << 30) + bytes(LARGE), False, 413),
    'bad chunk': (CHUNKED + CHUNK + b'zz\r\n', False, 400),
    'stops': (write_length(LARGE) + bytes(LARGE // 2), False, 408),
    'stops in chunks': (CHUNKED + CHUNK + b'5\r\n', False, 408),
    'leaves': (write_length(LARGE) + bytes(LARGE // 2), True, None),
    'leaves in chunks': (CHUNKED + CHUNK, True, None),
}


def run(check, body_bytes=None, **kinds):
    """Run a check at a box, by short limits, with some room for bodies."""

    async def main(deployment):
        limits = {'header_timeout_ms': HEADER_MS}
        deployment.publish(site.make_table(2, limits=limits))
        hub = await deployment.start_box()
        await site.wait_until(lambda: hub.view.table.version == 2)
        if body_bytes is not None:
            hub.room.intake._budget = byte_budget.BodyBudget(body_bytes)
        await check(deployment, hub)
        await site.wait_until(lambda: not hub.room.intake.used_bytes)
        assert not hub.room.intake.count_receptions()
        assert not hub.room.intake._waiters
        assert not hub.room.intake._budget._by_owner

    site.run(main, **kinds)


async def read_status(reader):
    """Read the head of an answer; return its status."""
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 4)
    return int(head.split()[1])


@pytest.mark.parametrize('name', ENDS)
def test_room_is_returned_however_a_body_ends(name):
    data, leaves, status = ENDS[name]

    async def check(deployment, hub):
        async with site.connect(hub) as (reader, writer):
            writer.write(data)
            await writer.drain()
            if leaves:
                await site.wait_until(lambda: hub.room.intake.used_bytes)
                return
            # The refusal comes, though more was sent than is read.
            assert await read_status(reader) == status

    run(check)


@pytest.mark.parametrize('path', ['/unsafe/a', '/safe/a'])
def test_room_is_returned_as_the_caller_leaves_its_target(path):
    async def check(deployment, hub):
        for target in deployment.plain:
            target.usual = 'never'
        async with site.connect(hub) as (reader, writer):
            writer.write(write_length(LARGE, path) + bytes(LARGE))
            await site.wait_until(
                lambda: any(target.ran for target in deployment.plain)
            )

    run(check)


def test_a_repeated_request_keeps_its_large_body():
    body = bytes(range(256)) * (LARGE // 256)

    async def check(deployment, hub):
        for target in deployment.plain:
            target.script = ['early']
        got = await site.ask(hub, '/safe/a', body)
        assert got.status == 500
        assert hub.metrics.repeats._value.get() == 1
        for target in deployment.plain:
            target.script = ['early', 'whole']
        got = [await site.ask(hub, '/safe/a', body) for _ in range(4)]
        ran = [row for target in deployment.plain for row in target.ran]
        assert {row['body'] for row in ran} == {b'', body}

    run(check)


def test_a_body_that_has_stopped_gives_way():
    async def check(deployment, hub):
        async with site.connect(hub) as (reader, writer):
            writer.write(write_length(LARGE) + bytes(LARGE - 1))
            await site.wait_until(lambda: hub.room.intake.used_bytes == LARGE)
            assert (await site.ask(hub, '/unsafe/a', bytes(LARGE))).status == (
                200
            )
            assert await read_status(reader) == 408
        ran = [row for target in deployment.plain for row in target.ran]
        assert len(ran) == 1

    run(check, LARGE)


def test_a_body_that_gives_way_as_it_is_refused_gets_one_refusal(monkeypatch):
    close = intake.Lease.close

    def close_late(lease):
        close(lease)
        lease.connection.interrupt(http.BadRequest(408, intake.STALLED))

    async def check(deployment, hub):
        monkeypatch.setattr(intake.Lease, 'close', close_late)
        async with site.connect(hub) as (reader, writer):
            writer.write(CHUNKED + CHUNK + b'zz\r\n')
            assert await read_status(reader) == 400
            writer.write_eof()
            assert not await reader.read(1 << 16) or reader.at_eof()
        await site.wait_until(lambda: not hub.listener.count_open())
        failures = hub.metrics.task_failures.labels('connections')
        assert not failures._value.get()

    run(check)


def test_what_finds_no_room_is_refused_as_not_run():
    async def check(deployment, hub):
        lease = hub.room.intake.open(None, lambda: '')
        await lease.take(LARGE)
        hub.room.intake.finish(lease)
        got = await site.ask(hub, '/unsafe/a', bytes(LARGE))
        assert got.status == 503
        assert intake.NO_ROOM.encode() in got.body
        assert float(got.headers['retry-after']) > 0
        # Small ones have their own part.
        assert (await site.ask(hub, '/unsafe/a')).status == 200
        assert hub.metrics.out_of_room.labels('no_memory')._value.get() == 1
        lease.close()

    run(check, LARGE + LARGE // 8)


def test_no_100_is_sent_before_there_is_room():
    async def check(deployment, hub):
        lease = hub.room.intake.open(None, lambda: '')
        await lease.take(LARGE)
        hub.room.intake.finish(lease)
        async with site.connect(hub) as (reader, writer):
            row = 'expect: 100-continue'
            head = write_head('/unsafe/a', site.KEY, row)
            writer.write(head + b'content-length: %d\r\n\r\n' % LARGE)
            assert await read_status(reader) == 503
        lease.close()

    run(check, LARGE)


def test_requests_without_a_large_body_are_served_beside_one_beyond_all_room():
    async def check(deployment, hub):
        lease = hub.room.intake.open(None, lambda: 'w1')
        await lease.take(LARGE)
        for body in (b'', b'x' * 100):
            assert (await site.ask(hub, '/unsafe/a', body)).status == 200
        lease.close()

    run(check, LARGE // 2)


def test_a_body_beyond_all_room_is_served_in_calm():
    async def check(deployment, hub):
        got = await site.ask(hub, '/unsafe/a', bytes(LARGE))
        assert got.status == 200

    run(check, LARGE // 2)


def test_a_box_without_room_leaves_a_forwarded_request_to_another():
    async def check(deployment):
        hub, others = await test_forwarder.start_cut_box(deployment)
        full, free = others
        full.room.intake._budget = byte_budget.BodyBudget(LARGE)
        lease = full.room.intake.open(None, lambda: '')
        await lease.take(LARGE)
        full.room.intake.finish(lease)
        got = await site.ask(hub, '/unsafe/a', bytes(LARGE))
        assert got.status == 200
        assert full.metrics.out_of_room.labels('no_memory')._value.get() == 1
        assert free.metrics.served_peer_counts['200'] == 1
        lease.close()

    site.run(check)


def test_settings_say_what_callers_may_take():
    hub = types.SimpleNamespace(
        deployment=types.SimpleNamespace(
            memory_bytes=1 << 30, caller_bytes=3 * LARGE
        ),
        metrics=metrics.Metrics(),
    )
    room = caller_room.CallerRoom(hub)
    assert room.intake._budget._total == 2 * LARGE
    assert room.buffers._limit == LARGE
