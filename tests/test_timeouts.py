"""Time-outs allow for stalls of the process, within a limit."""

import asyncio
import time

import pytest

from landingspool import timeouts

# A stall in each turn of the event loop.
STALL_S = 2 * timeouts.MIN_STALL_S
# With four turns for each extension and its effect.
LONGEST_S = (timeouts.MAX_EXTENSIONS + 1) * (
    timeouts.EXTENSION_S + 4 * STALL_S
)


async def stall():
    """Let no turn of the event loop be on time."""
    while True:
        time.sleep(STALL_S)
        await asyncio.sleep(0)


async def run_beside_stalls(work):
    """Return the seconds that work took beside stalls."""
    loop = asyncio.get_running_loop()
    stalling = asyncio.ensure_future(stall())
    began = loop.time()
    try:
        await asyncio.wait_for(work, 2 * LONGEST_S)
    finally:
        stalling.cancel()
    return loop.time() - began


async def wait_in_context():
    with pytest.raises(TimeoutError):
        async with timeouts.Timeout(0.05):
            await asyncio.sleep(60.0)


async def wait_for_task():
    task = asyncio.ensure_future(asyncio.sleep(60.0))
    await timeouts.wait_with_timeout(task, 0.05)
    assert not task.done()
    task.cancel()


@pytest.mark.parametrize('wait', [wait_in_context, wait_for_task])
def test_a_process_that_stalls_all_the_time_lets_a_timeout_end(wait):
    assert asyncio.run(run_beside_stalls(wait())) < LONGEST_S
