"""Log output to standard output that never blocks the process.

A slow reader of the log must not delay requests: a line that does not fit
into the pipe at once is dropped and counted.  LogSink of successful requests
are limited per second; all others are written.  At most once a second a line
reports how many were dropped, so that gaps in the log are visible.
"""

import json
import os
import sys
import time

from loguru import logger

from landingspool import boot_clock
from landingspool import event_kinds

# LogSink per second of successful requests.  A box that serves 35 requests per
# second writes two such lines for each.
MAX_DEBUG_LINES_PER_S = 150
DEBUG_LEVEL = 'DEBUG'
LEFT_OUT = event_kinds.CATALOGUE['left_out']


class LogSink:
    """Non-blocking sink for loguru.

    Parameters
    ----------
    descriptor : int
        File descriptor of a pipe or file; it is made non-blocking.
    box : str
        Name of the box in the lines that report dropped lines.
    clock : callable, optional
        Returns monotonic time in seconds.
    max_debug_per_s : int, optional
        Limit of lines of the level DEBUG per second.
    wall : callable, optional
        Returns wall-clock time in seconds.
    """

    def __init__(
        self,
        descriptor,
        box,
        clock=boot_clock.read,
        max_debug_per_s=MAX_DEBUG_LINES_PER_S,
        wall=time.time,
    ):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._box = box
        self._clock = clock
        self._wall = wall
        self._max_debug_per_s = max_debug_per_s
        self._second = clock()
        self._written = 0
        self._skipped = 0
        self._remainder = b''
        self.lost = 0

    def write(self, message):
        """Write one line, or drop and count it."""
        self._start_second()
        if message.record['level'].name == DEBUG_LEVEL:
            self._written += 1
            if self._written > self._max_debug_per_s:
                self._skipped += 1
                return
        self._write_bytes(str(message).encode())

    def _start_second(self):
        """Reset the counts each second, and report the dropped lines."""
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
            self._write_bytes(json.dumps(row).encode() + b'\n')

    def _write_bytes(self, data):
        # The remainder of a partly written line goes first, or two lines
        # would be mixed.
        data = self._remainder + data
        try:
            count = os.write(self._descriptor, data)
        except BlockingIOError:
            self.lost += 1
            return
        except OSError:
            # The reader has closed the pipe; requests are still served.
            self.lost += 1
            self._remainder = b''
            return
        self._remainder = data[count:]


def configure(box, stream=None, level=DEBUG_LEVEL):
    """Send the log of `box` to standard output, one line per event."""
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
