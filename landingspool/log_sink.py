"""Log lines on standard output that never hold the process up.

A reader that is slow costs lines, not requests: what does not fit into the
pipe at once is left out and counted.  LogSink on requests that went well are
bounded in each second; all others are written.  One line a second tells how
many were left out, so that a gap is never taken for silence.
"""

import json
import os
import sys
import time

from loguru import logger

from landingspool import event_kinds
from landingspool import boot_clock

# LogSink a second on requests that went well; a box of today's deployments
# serves some 35 requests a second with two such lines each.
USUAL_LINES_S = 150
LEVEL_OF_USUAL = 'DEBUG'
LEFT_OUT = event_kinds.CATALOGUE['left_out']


class LogSink:
    """A sink for loguru.

    Parameters
    ----------
    descriptor : int
        Of a pipe or file; it is made non-blocking.
    box : str
        Named in the lines that tell of lines left out.
    clock : callable, optional
        Gives monotonic seconds.
    usual : int, optional
        LogSink of the level DEBUG in each second.
    wall : callable, optional
        Gives the seconds of the wall clock.
    """

    def __init__(
        self,
        descriptor,
        box,
        clock=boot_clock.read,
        usual=USUAL_LINES_S,
        wall=time.time,
    ):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._box = box
        self._clock = clock
        self._wall = wall
        self._usual = usual
        self._second = clock()
        self._written = 0
        self._skipped = 0
        self._rest = b''
        self.lost = 0

    def write(self, message):
        """Write one line, or count that it was left out."""
        self._begin_second()
        if message.record['level'].name == LEVEL_OF_USUAL:
            self._written += 1
            if self._written > self._usual:
                self._skipped += 1
                return
        self._put(str(message).encode())

    def _begin_second(self):
        """Count anew in each second, and tell what the last one left out."""
        now = self._clock()
        if now - self._second < 1.0:
            return
        self._second, self._written = now, 0
        if self._skipped or self.lost:
            row = {
                't': round(self._wall(), 3),
                'box': self._box,
                'n': LEFT_OUT.number,
                'event': LEFT_OUT.name,
                'usual': self._skipped,
                'full': self.lost,
            }
            self._skipped = self.lost = 0
            self._put(json.dumps(row).encode() + b'\n')

    def _put(self, data):
        # What is left of a line that was cut goes first, or lines mingle.
        data = self._rest + data
        try:
            done = os.write(self._descriptor, data)
        except BlockingIOError:
            self.lost += 1
            return
        except OSError:
            # The reader has gone; requests are served all the same.
            self.lost += 1
            self._rest = b''
            return
        self._rest = data[done:]


def configure(box, stream=None, level=LEVEL_OF_USUAL):
    """Send the log of `box` to standard output, one line an event."""
    descriptor = (stream or sys.stdout).fileno()
    logger.remove()
    logger.configure(extra={'box': '-'})
    logger.add(
        LogSink(descriptor, box),
        format='{message}',
        level=level,
        backtrace=False,
        diagnose=False,
    )
