"""Callers that send what the protocol allows, and do not behave."""

import asyncio
import contextlib
import itertools

from tests.crowds import scene as scene_module
from tests.crowds.scene import make_head

NUMBERS = itertools.count(1)
# Seconds for which a crowd comes back after each refusal, and for which it
# keeps open what it has sent.
CROWD_S = 4.0
# Bytes that are left out of a body that stops short.
MISSING_BYTES = 1
PIECE_BYTES = 4096
# Bytes of a chunk's data: a byte has five of framing.
SMALL_CHUNK_BYTES = 1


async def play(machine, count, send, seconds=CROWD_S):
    """Have a crowd of callers send and come back for some seconds.

    Parameters
    ----------
    machine : scene.Machine
    count : int
        Callers, each with one connection at a time.
    send : callable
        Coroutine function ``send(reader, writer, number)``: what a caller does
        on a connection, which is closed when it returns.
    """
    loop = asyncio.get_running_loop()
    ends = loop.time() + seconds
    callers = [
        asyncio.ensure_future(come_back(machine, send, number, ends))
        for number in range(count)
    ]
    try:
        await asyncio.wait(callers, timeout=seconds)
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)


async def come_back(machine, send, number, ends):
    """Send on one new connection after another."""
    loop = asyncio.get_running_loop()
    while loop.time() < ends and machine.is_alive():
        try:
            reader, writer = await asyncio.open_connection(*machine.address)
        except OSError:
            await asyncio.sleep(scene_module.LOOK_S)
            continue
        try:
            # The box may close it at any time.
            with contextlib.suppress(OSError):
                await send(reader, writer, number)
        finally:
            writer.transport.abort()


def make_name():
    """Return the id of a request."""
    return f'crowd{next(NUMBERS)}'


async def write_all(writer, data, piece_bytes=None):
    """Write bytes, at once or in pieces."""
    size = piece_bytes or len(data)
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await writer.drain()


def make_length_sender(missing_bytes, key=scene_module.site.KEY, piece=None):
    """Return a caller of large bodies with a length."""
    body = bytes(scene_module.BODY_BYTES - missing_bytes)

    async def send(reader, writer, number):
        row = f'content-length: {scene_module.BODY_BYTES}'
        writer.write(make_head(make_name(), row, key=key))
        await write_all(writer, body, piece)
        await scene_module.read_status(reader)

    return send


async def send_large_chunk(reader, writer, number):
    """Send one chunk that stops a byte short."""
    row = 'transfer-encoding: chunked'
    writer.write(make_head(make_name(), row))
    size = scene_module.BODY_BYTES
    writer.write(f'{size:x}\r\n'.encode())
    await write_all(writer, bytes(size - MISSING_BYTES))
    await scene_module.read_status(reader)


def make_small_chunks(chunks):
    """Return a body in chunks of SMALL_CHUNK_BYTES without its end."""
    size = SMALL_CHUNK_BYTES
    return (f'{size:x}\r\n'.encode() + bytes(size) + b'\r\n') * chunks


async def send_small_chunks(reader, writer, number):
    """Send very small chunks that stop short of the end."""
    row = 'transfer-encoding: chunked'
    writer.write(make_head(make_name(), row))
    chunks = scene_module.BODY_BYTES // SMALL_CHUNK_BYTES // 8
    body = make_small_chunks(chunks)
    for _ in range(8):
        await write_all(writer, body, 256 * 1024)
    await scene_module.read_status(reader)


def make_ahead_sender(requests, body_bytes):
    """Return a caller that sends requests ahead, and reads no answer."""
    body = bytes(body_bytes)

    async def send(reader, writer, number):
        writer.transport.pause_reading()
        for _ in range(requests):
            row = f'content-length: {body_bytes}'
            writer.write(make_head(make_name(), row) + body)
            await writer.drain()
        await asyncio.sleep(CROWD_S)

    return send


async def send_short_head(reader, writer, number):
    """Send a head that stops short of its end."""
    writer.write(make_head(make_name())[:-2])
    await scene_module.read_status(reader)
