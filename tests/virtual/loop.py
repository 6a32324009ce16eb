"""An event loop whose time is set from outside, one for each process.

A process is frozen by not stepping its loop, and killed by dropping it, so
its tasks see what a stopped and a killed process see.
"""

import asyncio
from asyncio import events
import heapq
import itertools


class Loop(asyncio.AbstractEventLoop):
    """Runs callbacks in the order of their times; does no input or output."""

    _order = itertools.count()

    def __init__(self, now=0.0):
        self.now = now
        self.errors = []
        self._heap = []

    def time(self):
        """Give the time of the last step."""
        return self.now

    def get_debug(self):
        """Tell asyncio that this loop checks nothing."""
        return False

    def is_running(self):
        """Tell asyncio that this loop runs when it is stepped."""
        return True

    def is_closed(self):
        """Tell asyncio that this loop takes callbacks."""
        return False

    def call_soon(self, callback, *args, context=None):
        """Run a callback at the present time."""
        return self.call_at(self.now, callback, *args, context=context)

    def call_later(self, delay, callback, *args, context=None):
        """Run a callback after a delay."""
        when = self.now + max(delay, 0)
        return self.call_at(when, callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None):
        """Run a callback at a time."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        heapq.heappush(self._heap, (when, next(self._order), handle))
        return handle

    def create_future(self):
        """Give a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro, *, name=None, context=None):
        """Give a task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def call_exception_handler(self, context):
        """Keep what nothing handled, for the auditor."""
        self.errors.append(context)

    def _timer_handle_cancelled(self, handle):
        pass

    def next_time(self):
        """Give the time of the next callback, or infinity."""
        while self._heap and self._heap[0][2].cancelled():
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else float('inf')

    def step(self, now):
        """Run the next callback at the time `now`."""
        self.now = max(self.now, now)
        handle = heapq.heappop(self._heap)[2]
        self.run(handle._run)

    def run(self, call, *args):
        """Call a function as if from a callback of this loop."""
        before = events._get_running_loop()
        events._set_running_loop(self)
        try:
            return call(*args)
        finally:
            events._set_running_loop(before)
