"""Waiting for an answer for as long as this process runs.

A process that stood still finds its waits over when it goes on, and its
loop calls what is due before it goes on with what has arrived meanwhile: a
peer that has answered would be taken for silent, and a sound one be left.
Waits whose end is found late go on for a moment instead, so that what has
arrived is read first.
"""

import asyncio

# Seconds by which the end of a wait may come late before it is taken for a
# process that stood still, and for which it then waits on.
STALL_S = 0.05
AFTER_STALL_S = 0.1


class Timeout:
    """As asyncio.timeout, but by the time for which this process runs.

    Parameters
    ----------
    seconds : float or None
        None: no limit.
    """

    def __init__(self, seconds):
        self._seconds = seconds
        self._timeout = asyncio.timeout(None)
        self._due = None
        self._handle = None

    async def __aenter__(self):
        await self._timeout.__aenter__()
        if self._seconds is not None:
            self._wait(self._seconds)
        return self

    async def __aexit__(self, *error):
        if self._handle is not None:
            self._handle.cancel()
        return await self._timeout.__aexit__(*error)

    def _wait(self, seconds):
        loop = asyncio.get_running_loop()
        self._due = loop.time() + max(seconds, 0.0)
        self._handle = loop.call_at(self._due, self._end)

    def _end(self):
        now = asyncio.get_running_loop().time()
        if now - self._due < STALL_S:
            self._timeout.reschedule(now)
        else:
            self._wait(AFTER_STALL_S)


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
