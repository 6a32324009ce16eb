"""Callers whose requests become whole slowly, also late in a planned stop."""

import asyncio
import contextlib
import random
import signal
import time
import typing

from landingspool.platform import names
from soak import callers
from soak import faults
from soak import fleet as fleet_module

# Seeds with such callers: one of so many.
EVERY = 4
CALLERS = 16
# Seconds from a request's head to the end of its body.
SLOW_S = 0.0, 3.5
# Seconds between two planned stops.
PAUSE_S = 0.2, 1.5
# Seconds that a caller waits for its answers.
WAIT_S = 6.0
# Seconds from the end of a body to that of its connection from which on the
# box has read it.
READ_S = 0.2
HEAD = (
    'POST /{route}/a HTTP/1.1\r\nhost: {host}\r\n'
    f'{names.REQUEST_ID}: {{name}}\r\n'
    'authorization: Bearer {key}\r\n'
    'connection: {connection}\r\ncontent-length: 4\r\n\r\n'
)
# What a process does not survive in calm.
HARMS = signal.SIGKILL, signal.SIGSTOP


class Late(typing.NamedTuple):
    """A request whose body ended `whole_at`, and the request behind it.

    `statuses` are those of the answers on the connection, which ended at
    `ended_at`.
    """

    name: str
    box: str
    began_at: float
    whole_at: float
    ended_at: float
    statuses: tuple


def make_callers(seed, fleet):
    """Return the coroutines of such callers; none for most seeds."""
    if seed % EVERY != 2:
        return []
    rng = random.Random(f'late {seed}')
    works = [send(fleet, rng, number) for number in range(CALLERS)]
    return [*works, stop_boxes(fleet, rng)]


async def stop_boxes(fleet, rng):
    """Stop one box after another as planned, until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(*PAUSE_S))
        await faults.stop(fleet, rng)


async def send(fleet, rng, number):
    """Send one pair of requests after another, until cancelled."""
    count = 0
    while True:
        count += 1
        box = rng.choice(fleet.boxes)
        name = f'late{number}-{count} {box.name}'
        route, key = rng.choice(('safe', 'unsafe')), rng.choice([*fleet.keys])
        seconds = rng.uniform(*SLOW_S)
        rows = [
            HEAD.format(
                route=route,
                host=fleet_module.HOST,
                name=text,
                key=key,
                connection=connection,
            ).encode()
            for text, connection in (
                (name, 'keep-alive'),
                (f'behind {name}', 'close'),
            )
        ]
        # Boxes are killed, and refuse what is sent.
        with contextlib.suppress(OSError):
            fleet.late.append(await send_pair(box, name, rows, seconds))
        await asyncio.sleep(callers.PAUSE_S)


async def send_pair(box, name, heads, seconds):
    """Send a slow request and one behind it; return the Late."""
    began_at = time.monotonic()
    reader, writer = await asyncio.open_connection(*box.address)
    received = bytearray()
    try:
        writer.write(heads[0] + b'ab')
        await asyncio.sleep(seconds)
        writer.write(b'cd' + heads[1] + b'abcd')
        whole_at = time.monotonic()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(WAIT_S):
                while data := await reader.read(1024):
                    received += data
    finally:
        writer.transport.abort()
    found = bytes(received).split(b'HTTP/1.1 ')[1:]
    statuses = tuple(int(row[:3]) for row in found)
    return Late(name, box.name, began_at, whole_at, time.monotonic(), statuses)


def check_late(fleet, sent):
    """List what was cut or ran against a promise at boxes that stopped."""
    ran = {
        row[names.REQUEST_ID] for runner in fleet.runners for row in runner.ran
    }
    return [
        problem
        for row in fleet.late
        if was_stopped(fleet, row)
        for problem in check_pair(row, ran)
    ]


def was_stopped(fleet, row):
    """Tell whether nothing but a planned stop befell the box meanwhile."""
    (box,) = (box for box in fleet.boxes if box.name == row.box)
    found = {
        number
        for at, number in box.signals
        if row.began_at - fleet_module.GRACE_S <= at <= row.ended_at
    }
    overdue = fleet.overdue.get(row.box, 0.0) > row.began_at - WAIT_S
    return signal.SIGTERM in found.difference(HARMS) == found and not overdue


def check_pair(row, ran):
    """Yield what is wrong with the answers to a pair."""
    is_read = row.ended_at - row.whole_at > READ_S
    if is_read and not row.statuses:
        yield f'{row.name}: whole, and cut without an answer'
    for name, status in zip(
        (row.name, f'behind {row.name}'), row.statuses, strict=False
    ):
        if status in callers.PROMISES and name in ran:
            yield f'{name}: told {status} but ran'
    if len(row.statuses) < 2 and f'behind {row.name}' in ran:
        yield f'behind {row.name}: ran, and was cut without an answer'
