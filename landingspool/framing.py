"""Bounds what surrounds the data in the body of a request or response.

A chunk may carry a single byte of data and an extension of any length.  While
such a body is read, other tasks run at regular intervals.
"""

import asyncio

import h11

# Bytes on the connection for each byte of data, and in addition.  A chunk of
# one byte takes six.
MAX_RATIO = 16
MAX_EXTRA_BYTES = 128 * 1024
EVENTS_PER_TURN = 16


class FramingTooLong(Exception):
    """A request has more framing than the bounds allow."""


def compute_limit(data_bytes):
    """Return how many bytes on the connection a body of this size may take.

    >>> compute_limit(0)
    131072
    """
    return MAX_EXTRA_BYTES + data_bytes * MAX_RATIO


class Meter:
    """Counts what is read from one connection.

    Bytes of the next request that come with those of one count for the first.
    """

    def __init__(self):
        self._events = 0
        self.start_request()

    def start_request(self):
        """Count for another request from now on."""
        self._received_bytes = 0
        self._data_bytes = 0

    def count_received(self, data):
        """Count bytes that are given to the parser."""
        self._received_bytes += len(data)

    async def count_event(self, event):
        """Count an event of h11, and let other tasks run if it is due.

        Raises
        ------
        FramingTooLong
        """
        self._events += 1
        if self._events % EVENTS_PER_TURN == 0:
            await asyncio.sleep(0)
        if isinstance(event, h11.Data):
            self._data_bytes += len(event.data)
        if event is h11.NEED_DATA:
            # All that was received is parsed, apart from one event.
            self._check()

    def _check(self):
        if self._received_bytes > compute_limit(self._data_bytes):
            raise FramingTooLong('too long a framing of the body')
