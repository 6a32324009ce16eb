"""The newest records of a topic, kept so that other boxes can follow it.

In a large fleet two boxes of each domain read the platform's store, and
the others read from these, by the same offsets: a follower need not know
which of both it reads from.
"""

import typing

# Records kept: some minutes of a busy topic; who is further behind takes
# the newest of each key.
MOST_RECORDS = 3000


class Record(typing.NamedTuple):
    """One record of a topic; the value is empty where it drops its key."""

    key: str
    value: bytes
    offset: int


class Span(typing.NamedTuple):
    """Records from an offset on; `end` is the offset after the last one."""

    records: tuple
    end: int


class Tail:
    """One topic as a reader has it.

    Parameters
    ----------
    newest_only : bool
        Whether a record makes the earlier ones of its key needless; these
        are then not handed on.  Four tables published within 0.3 s would
        otherwise go to each follower over a link that bears 0.6 MB/s.
    most : int
        Records kept.

    Attributes
    ----------
    end : int or None
        The offset after the newest record; None before any read.
    proved : float or None
        When the newest read was sent that told all there was.
    """

    def __init__(self, newest_only=False, most=MOST_RECORDS):
        self.end = None
        self.proved = None
        self._newest_only = newest_only
        self._most = most
        # From here on nothing is missing that a follower needs.
        self._first = None
        self._records = {}
        self._newest = {}

    def reset(self, records, end, sent):
        """Begin anew from the newest Record of each key."""
        self._records.clear()
        self._newest = {record.key: record for record in records}
        self._first = end
        self.end = end
        self.proved = sent

    def extend(self, page):
        """Add a store.Page."""
        for record in page.records:
            self._keep(record)
            self._newest[record.key] = record
            if not record.value:
                del self._newest[record.key]
        self.end = page.end
        if page.whole:
            self.proved = page.sent

    def read(self, start):
        """Give the Span from `start` on, or None where it is gone.

        >>> tail = Tail()
        >>> tail.reset([Record('a', b'1', 4)], 5, 0.0)
        >>> tail._keep(Record('a', b'2', 5))
        >>> tail.end = 6
        >>> tail.read(5).records
        (Record(key='a', value=b'2', offset=5),)
        >>> tail.read(4) is None, tail.read(9) is None
        (True, True)
        """
        if self.end is None or not self._first <= start <= self.end:
            return None
        rows = [row for row in self._records.values() if row.offset >= start]
        return Span(tuple(rows), self.end)

    def read_newest(self):
        """Give the newest Record of each key."""
        return tuple(self._newest.values())

    def _keep(self, record):
        place = record.key if self._newest_only else record.offset
        # Put in anew, so that the records stay in the order of offsets.
        self._records.pop(place, None)
        self._records[place] = record
        if len(self._records) > self._most:
            oldest = next(iter(self._records))
            self._first = self._records.pop(oldest).offset + 1
