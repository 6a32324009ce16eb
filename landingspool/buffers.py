"""Counts the bytes that lie in the buffers of connections.

A peer that sends ahead, or that doesn't read what it asked for, makes a box
hold bytes for as long as it likes.  Where these come to more than their room,
connections of callers are closed: first those whose caller has not read for
the longest time, then those that have sent ahead for the longest.
"""

import collections

# Share of the room that is in use after connections were closed for it: what
# comes next must not find it full again.
LEFT_SHARE = 7 / 8
UNREAD = 'unread_answer'
SENT_AHEAD = 'sent_ahead'


class Buffers:
    """The bytes in the buffers of all connections of one box.

    Parameters
    ----------
    limit_bytes : int
    counter
        Counts the connections that are closed, by reason; anything with
        ``counter.labels(reason).inc()``.

    Attributes
    ----------
    used_bytes : int
    """

    def __init__(self, limit_bytes, counter):
        self._limit = limit_bytes
        self._counter = counter
        # Connections that hold bytes.
        self._holders = set()
        # Those of callers that wait, by reason, the longest wait first.
        self._waits = {
            UNREAD: collections.OrderedDict(),
            SENT_AHEAD: collections.OrderedDict(),
        }
        self._closed = collections.Counter()
        self._is_making_room = False
        self.used_bytes = 0

    @property
    def is_short(self):
        """Whether more than half of the room is taken."""
        return self.used_bytes > self._limit // 2

    def change(self, size):
        """Count bytes that are held from now on, or no longer if negative."""
        self.used_bytes += size
        is_over = size > 0 and self.used_bytes > self._limit
        if is_over and not self._is_making_room:
            self._is_making_room = True
            self._make_room()
            self._is_making_room = False

    def set_holder(self, connection, holds):
        """Record whether a connection holds any bytes."""
        if holds:
            self._holders.add(connection)
        else:
            self._holders.discard(connection)

    def begin_wait(self, reason, connection):
        """Record that a connection's caller doesn't read, or sends ahead."""
        self._waits[reason].setdefault(connection)

    def end_wait(self, reason, connection):
        """Record that this is over."""
        self._waits[reason].pop(connection, None)

    def refresh(self):
        """Count anew what the kernel has taken meanwhile."""
        for connection in list(self._holders):
            connection.count_held()

    def take_closed(self):
        """Return the connections closed since the last call, by reason."""
        closed, self._closed = self._closed, collections.Counter()
        return closed

    def _make_room(self):
        self.refresh()
        if self.used_bytes <= self._limit:
            return
        most = self._limit * LEFT_SHARE
        for reason, connections in self._waits.items():
            while self.used_bytes > most and connections:
                connection, _ = connections.popitem(last=False)
                self._closed[reason] += 1
                self._counter.labels(reason).inc()
                connection.abort()
