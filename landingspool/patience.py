"""Waiting for an answer for as long as this process runs.

A process that stood still finds its waits over when it goes on, and its
loop calls what is due before it goes on with what has arrived meanwhile: a
peer that has answered would be taken for silent, and a sound one be left.
"""

import asyncio

# Seconds by which the end of a wait may come late before it is taken for a
# process that stood still, and for which it then waits on.
STALL_S = 0.05
AFTER_STALL_S = 0.1


async def wait_running(work, seconds):
    """Wait for a task for so many seconds in which this process ran.

    The task may go on afterwards; where its result is not wanted then, the
    caller cancels it.
    """
    loop = asyncio.get_running_loop()
    while True:
        ends = loop.time() + seconds
        await asyncio.wait({work}, timeout=seconds)
        if work.done() or loop.time() - ends < STALL_S:
            return
        seconds = AFTER_STALL_S
