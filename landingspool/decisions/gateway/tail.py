"""The newest records of a topic, kept so that other boxes can follow it.

In a large fleet two boxes of each domain read the platform's store, and
the others read from these, by the same offsets: a follower need not know
which of both it reads from.
"""

import collections
import typing

# Records kept: some minutes of a busy topic; who is further behind takes
# the newest of each key.
MOST_RECORDS = 3000


class Span(typing.NamedTuple):
    """Records from an offset on; `end` is the offset after the last one."""

    records: tuple
    end: int


class Tail:
    """One topic as a reader has it.

    Attributes
    ----------
    end : int or None
        The offset after the newest record; None before any read.
    proved : float or None
        When the newest read was sent that was answered.
    """

    def __init__(self, most=MOST_RECORDS):
        self.end = None
        self.proved = None
        self._records = collections.deque(maxlen=most)
        self._newest = {}

    def reset(self, records, end, sent):
        """Begin anew from the newest (key, value, offset) of each key."""
        self._records.clear()
        self._newest = {key: (value, at) for key, value, at in records}
        self.end = end
        self.proved = sent

    def extend(self, records, end, sent):
        """Add the (key, value) records up to `end`."""
        first = end - len(records)
        for place, (key, value) in enumerate(records):
            self._records.append((key, value))
            self._newest[key] = value, first + place
            if not value:
                del self._newest[key]
        self.end = end
        self.proved = sent

    def read(self, start):
        """Give the Span from `start` on, or None where it is gone.

        >>> tail = Tail()
        >>> tail.reset([('a', b'1', 4)], 5, 0.0)
        >>> tail.extend([('a', b'2'), ('b', b'3')], 7, 1.0)
        >>> tail.read(6)
        Span(records=(('b', b'3'),), end=7)
        >>> tail.read(4) is None, tail.read(9) is None
        (True, True)
        """
        if self.end is None or start > self.end:
            return None
        count = self.end - start
        if count > len(self._records):
            return None
        rows = list(self._records)[len(self._records) - count :]
        return Span(tuple(rows), self.end)

    def read_newest(self):
        """Give the newest (key, value, offset) of each key."""
        return tuple((k, v, at) for k, (v, at) in self._newest.items())
