"""The boot-time clock, by which all parts measure elapsed time.

It includes the time for which the machine was suspended.  After a resume the
age of proofs, leases, deadlines and marks is therefore the same on this box
as on all others.  The monotonic clock stops during a suspension: a box would
resume with a revoked key in use, or with a right to issue orders that another
box holds by then.  The event loop uses this clock as well: timers that expire
during a suspension run at once, within one period of the timer's checks.
"""

import asyncio
import selectors
import time

# Longest time in seconds without a poll of the sockets while callbacks are
# ready.  A poll is a system call, and the callbacks of one request run in
# several rounds, each of which would begin with one.
MAX_UNPOLLED_S = 0.002


def read():
    """Return seconds since the machine's boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Selector(selectors.DefaultSelector):
    """Polls the sockets only now and then while callbacks are ready."""

    def __init__(self):
        super().__init__()
        self._polled_at = read()

    def select(self, timeout=None):
        """Return the ready sockets (selectors).

        The event loop calls with a `timeout` of 0 while it has callbacks to
        run.  After a stall of the process the sockets are polled first.
        """
        now = read()
        if timeout == 0 and now - self._polled_at < MAX_UNPOLLED_S:
            return []
        found = super().select(timeout)
        self._polled_at = now if timeout == 0 else read()
        return found


class Loop(asyncio.SelectorEventLoop):
    """Event loop whose timers use the boot-time clock."""

    def __init__(self):
        super().__init__(Selector())

    def time(self):
        """Return the time in seconds that timers use (asyncio)."""
        return read()


def run(work):
    """Run a coroutine like asyncio.run, with this module's event loop."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(work)
