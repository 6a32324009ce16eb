"""What callers leave unread is bounded, and counted until it is gone."""

import asyncio

import pytest

from landingspool import buffers
from landingspool.gateway import delivery
from standins import behaviours
from tests.gateway import site
from tests.gateway import test_intake

LONG = b'y' * (4 * delivery.MAX_HELD_BYTES)
# Room for two unread answers, and less than for all.
ROOM_BYTES = 1024 * 1024
CALLERS = 8
AHEAD = 6


@behaviours.behaviour('very long')
async def answer_very_long(runner, head, body, reader, writer):
    """Run, and answer at length."""
    runner.run(head, body)
    behaviours.write_answer(runner, head, writer, 200, LONG)
    await writer.drain()


@behaviours.behaviour('very long cut')
async def answer_very_long_cut(runner, head, body, reader, writer):
    """Run, and break off a long answer."""
    runner.run(head, body)
    whole = behaviours.make_answer(runner, head, 200, LONG)
    writer.write(whole[: len(LONG) // 2])
    await writer.drain()
    return True


def run(check, usual, limit=ROOM_BYTES):
    """Run a check at a box whose buffers have little room."""

    async def main(deployment):
        hub = await deployment.start_box()
        hub.room.buffers._limit = limit
        for target in deployment.plain:
            target.usual = usual
        await check(hub)
        await site.wait_until(lambda: is_empty(hub.room.buffers))

    site.run(main)


def is_empty(room):
    """Return whether nothing is counted any more."""
    room.refresh()
    waits = any(room._waits.values())
    return not (room.used_bytes or room._holders or waits)


def write_request():
    """Return a request without a body."""
    return test_intake.write_length(0)


async def read_long(reader):
    """Read a long answer in chunks; return its bytes."""
    assert await test_intake.read_status(reader) == 200
    data = b''
    while size := int(await reader.readline(), 16):
        data += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return data


def test_an_answer_that_is_taken_late_is_delivered_whole():
    async def check(hub):
        async with site.connect(hub) as (reader, writer):
            writer.transport.pause_reading()
            writer.write(write_request())
            await site.wait_until(lambda: hub.room.buffers.used_bytes)
            await asyncio.sleep(0.5)
            writer.transport.resume_reading()
            assert await read_long(reader) == LONG

    run(check, 'very long')


def test_callers_that_do_not_read_go_first():
    async def check(hub):
        opened = [
            await asyncio.open_connection(*hub.deployment.callers)
            for _ in range(CALLERS)
        ]
        for _, writer in opened:
            writer.transport.pause_reading()
            writer.write(write_request())
        closed = hub.metrics.out_of_room.labels(buffers.UNREAD)
        await site.wait_until(closed._value.get)
        # One that reads is served meanwhile.
        async with site.connect(hub) as (reader, writer):
            writer.write(write_request())
            assert await read_long(reader) == LONG
        assert hub.room.buffers.used_bytes <= ROOM_BYTES
        # Room is left for what comes next.
        assert closed._value.get() >= 2
        for _, writer in opened:
            writer.transport.abort()

    run(check, 'very long')


def test_callers_that_send_ahead_give_way():
    async def check(hub):
        hub.room.buffers._limit = 0
        async with site.connect(hub) as (_, writer):
            writer.write(write_request())
            await site.wait_until(lambda: hub.listener.count_busy())
            writer.write(bytes(1024 * 1024))
            closed = hub.metrics.out_of_room.labels(buffers.SENT_AHEAD)
            await site.wait_until(closed._value.get)

    run(check, 'silent')


def test_requests_ahead_of_one_caller_are_answered_in_order():
    async def check(hub):
        async with site.connect(hub) as (reader, writer):
            writer.write(write_request() * AHEAD)
            got = [await read_long(reader) for _ in range(AHEAD)]
            assert got == [LONG] * AHEAD

    run(check, 'very long')


@pytest.mark.parametrize('usual', ['very long', 'very long cut', 'whole'])
@pytest.mark.parametrize('limit', [ROOM_BYTES, 16 * ROOM_BYTES])
def test_nothing_is_counted_after_a_caller_has_left(usual, limit):
    async def check(hub):
        async with site.connect(hub) as (reader, writer):
            writer.write(write_request())
            await reader.read(1000)
            writer.transport.abort()

    run(check, usual, limit)
