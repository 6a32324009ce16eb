"""Divides the memory of a box among what callers can make it hold.

Large bodies can't take the room of small ones, and no workspace can take the
room of all others.
"""

import collections
import typing

MEGABYTE = 1024 * 1024
# Memory of a process at rest, with the tables of a small deployment.
REST_BYTES = 44 * MEGABYTE
# Least part of the memory that is divided, however little there is.
MIN_SHARE = 1 / 8
# Shares of what is left.  The rest is for tables, digests and streams.
BODY_SHARE = 0.5
BUFFER_SHARE = 0.25
# Size of a body from which on it counts as large.
LARGE_BYTES = 64 * 1024
# Share of the room for bodies that large ones can't take.
SMALL_SHARE = 1 / 8
# Share of the room for bodies that is kept for workspaces that hold less.
OTHERS_SHARE = 1 / 4


class Parts(typing.NamedTuple):
    """Bytes for bodies, and for the buffers of connections."""

    body_bytes: int
    buffer_bytes: int


def divide(memory_bytes, caller_bytes=None):
    """Return the Parts of a process that may use this memory.

    Parameters
    ----------
    memory_bytes : int
    caller_bytes : int, optional
        What callers can make it hold, if the settings say so.

    >>> sizes = (mb * MEGABYTE for mb in (48, 150, 4096))
    >>> [divide(size).body_bytes // MEGABYTE for size in sizes]
    [3, 53, 2026]
    >>> divide(150 * MEGABYTE, caller_bytes=30 * MEGABYTE)
    Parts(body_bytes=20971520, buffer_bytes=10485760)
    """
    left = max(memory_bytes - REST_BYTES, int(memory_bytes * MIN_SHARE))
    if caller_bytes is not None:
        left = caller_bytes / (BODY_SHARE + BUFFER_SHARE)
    return Parts(int(left * BODY_SHARE), int(left * BUFFER_SHARE))


class BodyBudget:
    """Bytes of bodies that callers make a box hold.

    Parameters
    ----------
    total_bytes : int

    Attributes
    ----------
    used_bytes : int
    """

    def __init__(self, total_bytes):
        self._total = total_bytes
        # Of large bodies by workspace; None: of all small ones.
        self._by_owner = collections.Counter()
        self.used_bytes = 0

    def take(self, owner, held, size):
        """Take room for a body, if there is some.

        Where no large body is held, any other one has room.

        Parameters
        ----------
        owner : str or None
            The workspace of a large body; None for a small one.
        held : int
            Bytes that the body has taken before.
        size : int
            Further bytes.

        Returns
        -------
        bool

        >>> budget = BodyBudget(64 * MEGABYTE)
        >>> [budget.take('a', 0, 20 * MEGABYTE) for _ in range(3)]
        [True, True, False]
        >>> budget.take('b', 0, 8 * MEGABYTE), budget.take(None, 0, 1000)
        (True, True)
        >>> budget.free('a', 40 * MEGABYTE)
        >>> budget.take('a', 0, 20 * MEGABYTE)
        True
        """
        has_room = self._has_room if owner is not None else self._fits_small
        if not has_room(owner, held, size):
            return False
        self.add(owner, size)
        return True

    def add(self, owner, size):
        """Count bytes that have room already."""
        if size:
            self.used_bytes += size
            self._by_owner[owner] += size

    def free(self, owner, size):
        """Return room that was taken."""
        if not size:
            return
        self.used_bytes -= size
        self._by_owner[owner] -= size
        if not self._by_owner[owner]:
            del self._by_owner[owner]

    def _has_room(self, owner, held, size):
        if self.used_bytes - self._by_owner[None] <= held:
            return True
        used, most = self.used_bytes + size, self._total * (1 - SMALL_SHARE)
        if used > most:
            return False
        if self._by_owner[owner] + size <= self._total * OTHERS_SHARE:
            return True
        return used <= most - self._total * OTHERS_SHARE

    def _fits_small(self, owner, held, size):
        if self.used_bytes + size <= self._total:
            return True
        return self._by_owner[None] + size <= self._total * SMALL_SHARE
