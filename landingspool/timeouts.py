"""Time-outs that allow for stalls of this process.

After a stall all time-outs that expired during it are due at once, and the
event loop runs them before it reads the data that arrived during the stall:
a peer that has answered would count as unresponsive, and a healthy one would
be given up.  A time-out that fires late is therefore extended for a short
time, so that data that has arrived is read first.  Extensions are limited: a
process that stalls all the time still has to answer.
"""

import asyncio

# A time-out that fires at least MIN_STALL_S seconds late counts as a stall of
# the process, and is extended by EXTENSION_S seconds.
MIN_STALL_S = 0.05
EXTENSION_S = 0.1
# Extensions of one time-out.
MAX_EXTENSIONS = 10


class Timeout:
    """Context manager like asyncio.timeout that allows for stalls.

    Parameters
    ----------
    seconds : float or None
        Time limit; None means no limit.
    """

    def __init__(self, seconds):
        self._seconds = seconds
        self._timeout = asyncio.timeout(None)
        self._due = None
        self._handle = None
        self._extensions = 0

    async def __aenter__(self):
        await self._timeout.__aenter__()
        if self._seconds is not None:
            self._schedule(self._seconds)
        return self

    async def __aexit__(self, *error):
        if self._handle is not None:
            self._handle.cancel()
        return await self._timeout.__aexit__(*error)

    def _schedule(self, seconds):
        loop = asyncio.get_running_loop()
        self._due = loop.time() + max(seconds, 0.0)
        self._handle = loop.call_at(self._due, self._expire)

    def _expire(self):
        now = asyncio.get_running_loop().time()
        is_late = now - self._due >= MIN_STALL_S
        if is_late and self._extensions < MAX_EXTENSIONS:
            self._extensions += 1
            self._schedule(EXTENSION_S)
        else:
            self._timeout.reschedule(now)


async def wait_with_timeout(task, seconds):
    """Wait for a task with a time-out that allows for stalls.

    The task is not cancelled at the time-out; the caller cancels it if it
    does not need the result.

    Parameters
    ----------
    task : asyncio.Task
    seconds : float
        Time limit.
    """
    loop = asyncio.get_running_loop()
    for _ in range(MAX_EXTENSIONS + 1):
        due = loop.time() + seconds
        await asyncio.wait({task}, timeout=seconds)
        if task.done() or loop.time() - due < MIN_STALL_S:
            return
        seconds = EXTENSION_S
