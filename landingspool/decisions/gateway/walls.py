"""Tracks which namespaces of cached context may still be in use.

When operators isolate a workspace, or no longer do so, requests of the others
go to another namespace.  The stores free nothing by themselves, so that what
lies in the former one would fill them.  Boxes agree without a message on when
its parts may be freed, as on those of replaced weights (garbage.py):

* A box offers parts only while its proof that it knows the newest table is
  younger than the bound on old weights.  So boxes with an older table have
  stopped once another one has known the newer table for that bound and the
  lease of the last offers.
* A namespace may come back at any moment.  A box that frees may not know of
  that for as long as its proof is old, nor before its call has arrived.  So a
  box offers nothing for that time after the isolated workspaces have changed.

Earlier builds don't name the isolated workspaces in the common namespace.
What they use may be freed once all boxes have been of this build for as long.
"""

import math
import typing

from landingspool.decisions.gateway import freshness
from landingspool.decisions.gateway import garbage
from landingspool.decisions.gateway import namespaces

# Seconds by which the rest is longer than a call that frees can be late: boxes
# may differ in when they read the same record.
MARGIN_S = 0.25
# Seconds for which nothing is offered once the isolated workspaces changed.
REST_S = freshness.MAX_GAP_S + garbage.CALL_TIMEOUT_S + MARGIN_S


class Period(typing.NamedTuple):
    """A set of isolated workspaces, and until when it was in force here."""

    isolated: frozenset
    until: float = math.inf


class Walls:
    """Hold the sets of isolated workspaces that were in force at one box."""

    def __init__(self):
        self._periods = ()
        self._since = math.inf
        self._rests_until = -math.inf

    def put(self, isolated, now):
        """Record the isolated workspaces of the table in force.

        >>> walls = Walls()
        >>> walls.put(frozenset(), 1.0)
        >>> walls.may_offer(4.9)
        True
        >>> walls.put(frozenset('w'), 5.0)
        >>> walls.may_offer(5.0), walls.may_offer(5.0 + REST_S)
        (False, True)
        """
        if not self._periods:
            self._since = now
        elif isolated == self._periods[-1].isolated:
            return
        else:
            self._rests_until = now + REST_S
            ended = self._periods[-1]._replace(until=now)
            self._periods = (*self._periods[:-1], ended)
        self._periods = (*self._periods, Period(isolated))

    def may_offer(self, now):
        """Return whether parts of stores may be offered to requests."""
        return now >= self._rests_until

    def list_unused(self, spaces, since, is_alone):
        """List the namespaces that no box has used since a time.

        Parameters
        ----------
        spaces : iterable of str
        since : float
        is_alone : bool
            Whether no box of an earlier build has run since then.

        >>> walls = Walls()
        >>> walls.put(frozenset(), 1.0)
        >>> walls.put(frozenset('w'), 5.0)
        >>> spaces = ['m.1', 'm.1.w', 'm.1~own~w', 'm.1~own~v']
        >>> walls.list_unused(spaces, 4.0, True)
        ['m.1.w', 'm.1~own~v']
        >>> walls.list_unused(spaces, 6.0, True)
        ['m.1', 'm.1.w', 'm.1~own~v']
        >>> walls.list_unused(spaces, 6.0, False)
        ['m.1~own~v']
        """
        if since < self._since:
            return []
        self._periods = tuple(p for p in self._periods if p.until >= since)
        return [
            text for text in spaces if not self._is_used(text, not is_alone)
        ]

    def _is_used(self, text, has_earlier):
        """Return whether the table of a period gives a request a namespace."""
        space = namespaces.parse(text)
        if space is None:
            return has_earlier or not namespaces.is_former(text)
        if space.audience == namespaces.COMMON and has_earlier:
            return True
        return any(
            namespaces.is_used(space, period.isolated)
            for period in self._periods
        )
