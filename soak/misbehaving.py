"""Callers that stop short, and the memory of the boxes meanwhile.

What they send is never whole, so that no target may run any of it.
"""

import asyncio
import contextlib
import os
import pathlib
import random

from landingspool.platform import names
from soak import fleet as fleet_module

# Seeds with such callers: one of so many.
EVERY = 3
CALLERS = 12
# Seconds for which one keeps open what it has sent, and until it comes again.
HOLD_S = 0.1, 2.0
BODY_BYTES = 4 * 1024 * 1024
LOOK_S = 0.1
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
MEGABYTE = 1024 * 1024
# Id of all that they send.
NAME = 'incomplete'
HEAD = (
    'POST /unsafe/a HTTP/1.1\r\nhost: {host}\r\n'
    'x-landingspool-request-id: {name}\r\nauthorization: Bearer {key}\r\n'
)
# What is sent after the head's first lines.
SHAPES = (
    f'content-length: {BODY_BYTES}\r\n\r\n'.encode() + bytes(BODY_BYTES - 1),
    b'transfer-encoding: chunked\r\n\r\n'
    + f'{BODY_BYTES:x}\r\n'.encode()
    + bytes(BODY_BYTES - 1),
    b'transfer-encoding: chunked\r\n\r\n' + b'1\r\nx\r\n' * 20_000,
    b'x-stops: here',
)


def make_callers(seed, fleet):
    """Return the coroutines of such callers; none for most seeds."""
    if seed % EVERY != 1:
        return []
    rng = random.Random(f'misbehaving {seed}')
    return [send(fleet, rng) for _ in range(CALLERS)] + [watch(fleet)]


async def send(fleet, rng):
    """Send one incomplete request after another, until cancelled."""
    while True:
        box = rng.choice(fleet.boxes)
        key = rng.choice([*fleet.keys, 'of-nobody'])
        head = HEAD.format(host=fleet_module.HOST, key=key, name=NAME).encode()
        data = head + rng.choice(SHAPES)
        seconds = rng.uniform(*HOLD_S)
        # Boxes are killed, and refuse what is sent.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(seconds):
                await hold(box, data)
        await asyncio.sleep(rng.uniform(*HOLD_S))


async def hold(box, data):
    """Send bytes, and read until the box closes."""
    reader, writer = await asyncio.open_connection(*box.address)
    try:
        writer.write(data)
        while await reader.read(1024):
            pass
    finally:
        writer.transport.abort()


async def watch(fleet):
    """Note the most memory that each box has, until cancelled."""
    while True:
        for box in fleet.boxes:
            # It may have ended.
            with contextlib.suppress(OSError, IndexError):
                path = pathlib.Path(f'/proc/{box.process.pid}/statm')
                size = int(path.read_text().split()[1]) * PAGE_BYTES
                fleet.peaks[box.name] = max(fleet.peaks.get(box.name, 0), size)
        await asyncio.sleep(LOOK_S)


def check_memory(fleet, sent):
    """List the boxes that went over the memory of their machine."""
    return [
        f'{name} had {size // MEGABYTE} MB of {fleet_module.MEMORY_MB} MB'
        for name, size in fleet.peaks.items()
        if size > fleet_module.MEMORY_MB * MEGABYTE
    ]


def check_incomplete(fleet, sent):
    """List the targets that ran what had not come whole."""
    return [
        f'{runner.name} ran an incomplete request'
        for runner in fleet.runners
        if any(row[names.REQUEST_ID] == NAME for row in runner.ran)
    ]
