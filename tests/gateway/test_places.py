"""Connections take no more places than there are, and give way in order."""

import asyncio

from landingspool.gateway import listener
from tests.gateway import site
from tests.gateway import test_intake

PLACES = 4
# Seconds in which a caller sends a body, in parts, each sooner than it would
# count as stopped.
SLOW_S = 0.8
PARTS = 20


def run(check):
    """Run a check at a box with few places."""

    async def main(deployment):
        hub = await deployment.start_box()
        hub.listener._max_connections = PLACES
        await check(deployment, hub)

    site.run(main)


async def open_all(hub, count):
    """Open connections."""
    return [
        await asyncio.open_connection(*hub.deployment.callers)
        for _ in range(count)
    ]


def close_all(opened):
    """Close connections."""
    for _, writer in opened:
        writer.transport.abort()


def test_a_head_that_has_stopped_gives_way():
    async def check(deployment, hub):
        opened = await open_all(hub, PLACES)
        for _, writer in opened:
            writer.write(test_intake.write_length(0)[:-2])
        await site.wait_until(lambda: len(hub.listener._receiving) == PLACES)
        await asyncio.sleep(2 * listener.MIN_SILENCE_S)
        assert (await site.ask(hub, '/unsafe/a')).status == 200
        # The one that has waited longest is told that it did not run.
        assert await test_intake.read_status(opened[0][0]) == 408
        assert hub.listener.displaced == 1
        close_all(opened)

    run(check)


def test_a_body_that_goes_on_keeps_its_place():
    async def check(deployment, hub):
        reader, writer = await asyncio.open_connection(*hub.deployment.callers)
        writer.write(test_intake.write_length(PARTS))
        opened = await open_all(hub, PLACES - 1)
        for _ in range(PARTS):
            writer.write(b'x')
            opened += await open_all(hub, 1)
            await asyncio.sleep(SLOW_S / PARTS)
        assert await test_intake.read_status(reader) == 200
        close_all(opened)
        writer.close()

    run(check)
