"""Tests the quarantine of a part of prompts under which targets crash.

Each request with the part differs from all others: its body and the last part
of its prompt are its own.  The other parts are those of sound requests.
"""

import asyncio
import itertools

from tests.gateway import crashing
from tests.gateway import site

BOXES = 3
ENGINES = 4
ARRIVALS = 14
# Seconds between two arrivals with the part.
PAUSE_S = 0.15
# Crashes allowed by the requirements before boxes have to know the part.
MAX_CRASHES = 5
COMMON, FATAL, OTHER_FATAL, RARE = 'c0', 'f0', 'f1', 'a0'
NUMBERS = itertools.count(1)


def describe_prompt(*shared):
    """Return the headers of a prompt whose last part is its own."""
    own = f'b{next(NUMBERS)}'
    parts = ','.join(f'{name}:100' for name in (*shared, own))
    return (
        ('x-landingspool-model-name', 'm'),
        ('x-landingspool-token-usage', f'{100 * len(shared) + 100},10'),
        ('x-landingspool-prefix-hash', parts),
    )


async def ask(hub, *shared, path='/resumed/a'):
    """Send a request like no other, with some shared parts."""
    body = f'body {next(NUMBERS)}'.encode()
    return await site.ask(hub, path, body, describe_prompt(*shared))


def make_fatal(runner):
    """Let a target crash under two parts."""
    runner.fatal_parts = frozenset((FATAL, OTHER_FATAL))


def run(check, engines=ENGINES):
    """Run a test against a site whose engines crash under the parts."""

    async def start(deployment):
        found = crashing.Engines(deployment, make_fatal)
        work = await found.start()
        try:
            await check(deployment, found)
        finally:
            work.cancel()

    site.run(start, engines=engines)


async def ask_in_turn(hubs, parts, arrivals=ARRIVALS):
    """Send requests with parts of a list in turn to the boxes in turn."""
    for number in range(arrivals):
        hub = hubs[number % len(hubs)]
        await ask(hub, COMMON, parts[number % len(parts)])
        await asyncio.sleep(PAUSE_S)


def test_different_requests_with_a_fatal_part_crash_no_more_targets():
    async def check(deployment, engines):
        hubs = await site.start_boxes(deployment, BOXES)
        await ask_in_turn(hubs, [FATAL])
        assert engines.count_ends() <= MAX_CRASHES

    run(check)


def test_two_fatal_parts_at_the_same_time_crash_no_more_targets():
    async def check(deployment, engines):
        hubs = await site.start_boxes(deployment, BOXES)
        await ask_in_turn(hubs, [FATAL, OTHER_FATAL], 2 * ARRIVALS)
        assert engines.count_ends() <= 2 * MAX_CRASHES

    run(check, engines=2 * ENGINES)


def test_sound_requests_are_served_beside_those_with_a_fatal_part():
    async def check(deployment, engines):
        hubs = await site.start_boxes(deployment, BOXES)
        await ask_in_turn(hubs, [FATAL], MAX_CRASHES)
        work = asyncio.ensure_future(ask_in_turn(hubs, [FATAL]))
        got = []
        for number in range(30):
            got.append(await ask(hubs[number % BOXES], COMMON, RARE))
            await asyncio.sleep(0.05)
        work.cancel()
        served = sum(answer.status == 200 and answer.whole for answer in got)
        assert served >= 28

    run(check)


def test_box_that_starts_alone_knows_the_fatal_part():
    async def check(deployment, engines):
        (hub,) = await site.start_boxes(deployment, 1)
        await ask_in_turn([hub], [FATAL])
        await site.wait_until(lambda: not hub.crash_records.list_due())
        deployment.hubs.remove(hub)
        await hub.peering.close()
        await site.wait_until(lambda: len(deployment.engines) == ENGINES)
        later = await deployment.start_box('later')
        await site.wait_until(lambda: later._is_ready())
        ends = engines.count_ends()
        got = await ask(later, COMMON, FATAL)
        assert (got.status, engines.count_ends()) == (503, ends)

    run(check)


def test_other_routes_and_paths_do_not_hide_a_fatal_part():
    async def check(deployment, engines):
        hubs = await site.start_boxes(deployment, BOXES)
        for number in range(ARRIVALS):
            path = ('/resumed/a', '/stream/b', '/resumed/c')[number % 3]
            await ask(hubs[number % BOXES], COMMON, FATAL, path=path)
            await asyncio.sleep(PAUSE_S)
        assert engines.count_ends() <= MAX_CRASHES

    run(check)
