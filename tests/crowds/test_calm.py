"""A single caller inside the limits is served on a small machine."""

import asyncio

import pytest

from tests.crowds import callers
from tests.crowds import scene as scene_module

LARGEST = bytes(scene_module.BODY_BYTES)
# Seconds in which a slow caller sends the largest body, in parts.
SLOW_S = 2.4
PARTS = 24
# A body in small chunks, and requests ahead that are read.
SMALL = bytes(256 * 1024)
AHEAD = 40
AHEAD_BODY = bytes(64 * 1024)


def run(folder, play):
    """Play a case against the first box."""

    async def main():
        async with scene_module.Scene(folder) as scene:
            reader, writer = await asyncio.open_connection(
                *scene.machines[0].address
            )
            try:
                async with asyncio.timeout(scene_module.ASK_S):
                    await play(reader, writer)
            finally:
                writer.close()
            assert all(machine.is_alive() for machine in scene.machines)

    asyncio.run(main())


def write_length_head(writer, body, *rows):
    """Write the head of a request whose body has a length."""
    row = f'content-length: {len(body)}'
    writer.write(scene_module.make_head(callers.make_name(), row, *rows))


async def read_answer(reader):
    """Read an answer of a target whole; return its status."""
    status = await scene_module.read_status(reader)
    assert await reader.readexactly(len(b'done')) == b'done'
    return status


def test_largest_body_is_served(tmp_path):
    async def play(reader, writer):
        # One after another on the same connection.
        for _ in range(3):
            write_length_head(writer, LARGEST)
            await callers.write_all(writer, LARGEST)
            assert await read_answer(reader) == 200

    run(tmp_path, play)


def test_largest_body_of_a_slow_caller_is_served(tmp_path):
    async def play(reader, writer):
        write_length_head(writer, LARGEST)
        size = len(LARGEST) // PARTS
        for start in range(0, len(LARGEST), size):
            await callers.write_all(writer, LARGEST[start : start + size])
            await asyncio.sleep(SLOW_S / PARTS)
        assert await read_answer(reader) == 200

    run(tmp_path, play)


def test_largest_body_after_a_100_is_served(tmp_path):
    async def play(reader, writer):
        write_length_head(writer, LARGEST, 'expect: 100-continue')
        assert await scene_module.read_status(reader) == 100
        await callers.write_all(writer, LARGEST)
        assert await read_answer(reader) == 200

    run(tmp_path, play)


@pytest.mark.parametrize(
    ('body', 'size'), [(LARGEST, 65536), (LARGEST, 4096), (SMALL, 16)]
)
def test_body_in_chunks_is_served(tmp_path, body, size):
    async def play(reader, writer):
        row = 'transfer-encoding: chunked'
        writer.write(scene_module.make_head(callers.make_name(), row))
        chunk = f'{size:x}\r\n'.encode() + bytes(size) + b'\r\n'
        chunks = chunk * (len(body) // size) + b'0\r\n\r\n'
        await callers.write_all(writer, chunks, 65536)
        assert await read_answer(reader) == 200

    run(tmp_path, play)


def test_requests_ahead_that_are_read_are_served(tmp_path):
    async def play(reader, writer):
        async def send():
            for _ in range(AHEAD):
                write_length_head(writer, AHEAD_BODY)
                await callers.write_all(writer, AHEAD_BODY)

        sending = asyncio.ensure_future(send())
        for _ in range(AHEAD):
            assert await read_answer(reader) == 200
        await sending

    run(tmp_path, play)
