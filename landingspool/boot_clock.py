"""The boot-time clock, by which all parts measure elapsed time.

It includes the time for which the machine was suspended.  After a resume the
age of proofs, leases, deadlines and marks is therefore the same on this box
as on all others.  The monotonic clock stops during a suspension: a box would
resume with a revoked key in use, or with a right to issue orders that another
box holds by then.  The event loop uses this clock as well: timers that expire
during a suspension run at once, within one period of the timer's checks.
"""

import asyncio
import time


def read():
    """Return seconds since the machine's boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Loop(asyncio.SelectorEventLoop):
    """Event loop whose timers use the boot-time clock."""

    def time(self):
        """Return the time in seconds that timers use (asyncio)."""
        return read()


def run(work):
    """Run a coroutine like asyncio.run, with this module's event loop."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(work)
