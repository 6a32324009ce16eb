"""Holds the newest records of a topic so that other boxes can follow it.

In a large fleet two boxes of each domain read the platform's store, and the
others read from these two, by the same offsets: a follower need not know which
of the two it reads from.
"""

import math
import typing

# Records that are kept, some minutes of a busy topic.  A follower that is
# further behind reads the newest record of each key.
MAX_RECORDS = 3000


class Record(typing.NamedTuple):
    """One record of a topic; an empty value deletes the key."""

    key: str
    value: bytes
    offset: int


class Span(typing.NamedTuple):
    """Records from an offset on; `end` is the offset after the last one."""

    records: tuple
    end: int


class Tail:
    """The end of one topic, as a reader has it.

    Parameters
    ----------
    newest_only : bool
        Whether a record replaces the earlier ones of its key, which are then
        not passed on.  Otherwise four tables published within 0.3 s would all
        be sent to each follower over a link that carries 0.6 MB/s.
    most : int
        Maximum number of records kept.

    Attributes
    ----------
    end : int or None
        The offset after the newest record; None before any read.
    proved : float or None
        When the newest read was sent that returned all records there were.
    last : Record or None
        The record with the highest offset, as far as is known.
    began : float
        When the read was sent that showed all of the present history.
    asked, got : float
        When the newest read that was answered began, and when its answer came.
    rolled : float or None
        When the topic was last rolled back; None: not since the start.
    """

    def __init__(self, newest_only=False, most=MAX_RECORDS):
        self.end = None
        self.proved = None
        self.last = None
        self.began = -math.inf
        self.asked = -math.inf
        self.got = -math.inf
        self.rolled = None
        self._newest_only = newest_only
        self._most = most
        # From this offset on no record is missing that a follower needs.
        self._first = None
        self._records = {}
        self._newest = {}

    def reset(self, records, end, sent):
        """Restart from the newest Record of each key."""
        self._records.clear()
        self._newest = {record.key: record for record in records}
        self._first = end
        self.end = end
        self.proved = sent
        self.began = sent
        # Pages of the newest records that were read later may go beyond.
        below = [row for row in records if row.offset < end]
        self.last = max(below, key=lambda row: row.offset, default=None)
        if self.last is not None and self.last.offset == end - 1:
            # Those who check their last record begin there.
            self._first = end - 1
            self._keep(self.last)

    def forget(self, at):
        """Forget all records, since the topic was rolled back.

        Parameters
        ----------
        at : float
            What was read from the store before may be of a former history.

        >>> tail = Tail()
        >>> tail.reset([Record('a', b'1', 4)], 5, 0.0)
        >>> tail.forget(3.0)
        >>> tail.end, tail.last, tail.read(4), tail.read_newest()
        (None, None, None, ())
        """
        self._records.clear()
        self._newest.clear()
        self.end = self.proved = self.last = None
        self.rolled = at if self.rolled is None else max(at, self.rolled)

    def extend(self, page):
        """Append the records of a store.Page."""
        for record in page.records:
            self._keep(record)
            self.last = record
            self._newest[record.key] = record
            if not record.value:
                del self._newest[record.key]
        self.end = page.end
        if page.whole:
            self.proved = page.sent

    def read(self, start):
        """Return the Span from `start` on, or None if it is no longer kept.

        >>> tail = Tail()
        >>> tail.reset([Record('a', b'1', 4)], 5, 0.0)
        >>> tail._keep(Record('a', b'2', 5))
        >>> tail.end = 6
        >>> tail.read(5).records
        (Record(key='a', value=b'2', offset=5),)
        >>> tail.read(3) is None, tail.read(9) is None
        (True, True)
        """
        if self.end is None or not self._first <= start <= self.end:
            return None
        rows = [row for row in self._records.values() if row.offset >= start]
        return Span(tuple(rows), self.end)

    def read_newest(self):
        """Return the newest Record of each key."""
        return tuple(self._newest.values())

    def _keep(self, record):
        slot = record.key if self._newest_only else record.offset
        # Reinserted, so that the records stay in the order of offsets.
        self._records.pop(slot, None)
        self._records[slot] = record
        if len(self._records) > self._most:
            oldest = next(iter(self._records))
            self._first = self._records.pop(oldest).offset + 1
