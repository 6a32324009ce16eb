"""Which targets no connection can be made to, and when to try again.

A target that went dark costs every request sent to it the whole wait for a
connection, and each box would learn of it by requests of its own.  So one
failed connection takes a target out until a connection made for that
purpose comes up, and boxes tell each other which targets are out.  A word
of another box only makes this one look for itself: the path that failed may
be the other box's own.
"""

import typing

# Seconds from a failed connection to the next try, doubled up to the most:
# a target is back after a second or more, and a try costs one small packet.
RETRY_S = 0.3
MOST_RETRY_S = 2.0
# Seconds for which a word of another box is not followed after this box saw
# for itself: each look is a new connection, which has a price.
CONFIRMED_S = 10.0
# The same for a box that looks after the target for others.
WATCHER_CONFIRMED_S = 1.0
# Seconds to the next try where other boxes look after a target: they tell
# when it is back, and this is for the case that nobody does.  In 15 s with 13
# dark targets 195 boxes made 18,300 probes, and 9,500 since (played without a
# network).
WATCHED_RETRY_S = 8.0
# Connections in a row that failed before other boxes are told: a single one
# may only have met a full queue, and each word makes all boxes look.
TOLD_AFTER = 2


class Out(typing.NamedTuple):
    """A target that gets no requests.

    Attributes
    ----------
    failed : int
        Connections that failed in a row; 0: only another box said so.
    due : float
        When the next one is tried.
    """

    failed: int
    due: float


class Reachability:
    """The targets that are out, as one box sees them."""

    def __init__(self):
        self._out = {}
        self._reached = {}

    def record_failed(self, name, now, watched=False):
        """Note that no connection to a target came up.

        Parameters
        ----------
        watched : bool
            Whether other boxes look after it.

        >>> reach = Reachability()
        >>> reach.record_failed('a', 10.0)
        >>> reach.is_out('a'), reach.list_due(10.1), reach.list_due(10.4)
        (True, [], ['a'])
        """
        known = self._out.get(name)
        failed = known.failed + 1 if known is not None else 1
        pause = min(RETRY_S * 2 ** (failed - 1), MOST_RETRY_S)
        if watched:
            pause = WATCHED_RETRY_S
        self._out[name] = Out(failed, now + pause)

    def record_reached(self, name, now):
        """Note that a connection to a target came up, or that it answered."""
        self._out.pop(name, None)
        self._reached[name] = now

    def suspect(self, name, now, sure_s=CONFIRMED_S):
        """Take in that another box can't connect to a target.

        Parameters
        ----------
        sure_s : float
            Seconds for which what this box saw for itself counts more.

        >>> reach = Reachability()
        >>> reach.record_reached('a', 9.0)
        >>> reach.suspect('a', 10.0)
        >>> reach.is_out('a')
        False
        >>> reach.suspect('a', 19.0)
        >>> reach.is_out('a'), reach.list_due(19.0), reach.list_failed()
        (True, ['a'], [])
        """
        if name in self._out:
            return
        if now - self._reached.get(name, -sure_s) >= sure_s:
            self._out[name] = Out(0, now)

    def expedite(self, name, now):
        """Take in that a target is back for another box.

        >>> reach = Reachability()
        >>> reach.record_failed('a', 10.0, watched=True)
        >>> reach.list_due(11.0)
        []
        >>> reach.expedite('a', 11.0)
        >>> reach.list_due(11.0)
        ['a']
        """
        out = self._out.get(name)
        if out is not None:
            self._out[name] = out._replace(due=min(out.due, now))

    def is_out(self, name):
        """Tell whether a target gets no requests."""
        return name in self._out

    def list_due(self, now):
        """List the targets to which a connection is to be tried."""
        return [name for name, out in self._out.items() if now >= out.due]

    def list_failed(self):
        """List the targets that this box itself could not connect to."""
        return [name for name, out in self._out.items() if out.failed]

    def list_told(self):
        """List the targets that other boxes are told of.

        >>> reach = Reachability()
        >>> reach.record_failed('a', 10.0)
        >>> reach.list_told()
        ()
        >>> reach.record_failed('a', 10.5)
        >>> reach.list_told()
        ('a',)
        """
        rows = self._out.items()
        return tuple(name for name, out in rows if out.failed >= TOLD_AFTER)

    def forget(self, name):
        """Forget a target that has gone."""
        self._out.pop(name, None)
        self._reached.pop(name, None)
