"""The one clock by which the product measures time that went by.

It counts the time for which the machine was suspended: proofs, leases,
deadlines and marks are then as old on waking as they are to everybody else.
The usual steady clock stands still meanwhile, so that a box would wake with
a key that was taken away, or with a right to give orders that another one
has by now.  The event loop runs on it, too: what was due meanwhile is due at
once, within a beat of the timer.
"""

import asyncio
import time


def read():
    """Give seconds since the machine started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose timers run by this clock."""

    def time(self):
        """Give the time by which timers run (asyncio)."""
        return read()


def run(work):
    """Run a coroutine to its end, as asyncio.run, by this clock."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(work)
