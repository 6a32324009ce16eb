"""Dates the published versions of one model's weights.

The platform's store does not tell when a version was published.  A box that
follows the store knows it from its own reads: the version was published after
the last read without it.  A box that starts, or that was away, only knows that
it was published at some time; it adopts the age that other boxes tell, and
until then the version counts as past any deadline.
"""

import math
import typing

# Maximum versions of a model that are told apart; of more, several share the
# earliest publication among them.
MAX_VERSIONS = 16
# The version that targets begin with, which none of them lacks.
FIRST_VERSION = 1
# Publication of a version whose age this box can't tell.
UNKNOWN = -math.inf


class Published(typing.NamedTuple):
    """A published version of a model's weights.

    Attributes
    ----------
    version : int
    at : float
        When it was published, seconds of this box's clock; UNKNOWN if this
        box can't tell.
    earliest : float
        When it was certainly not published yet.
    is_witnessed : bool
        Whether this box, or one that told it, read the record as it came;
        otherwise `at` is the earliest time that is possible.
    """

    version: int
    at: float
    earliest: float = UNKNOWN
    is_witnessed: bool = True


def date_read(version, now, proof_s, is_late):
    """Date a version whose record was just read.

    Parameters
    ----------
    proof_s : float
        Seconds since the last proof that there was no newer version.
    is_late : bool
        Whether that proof is older than that of a box that follows the store,
        whose reads are answered as a record comes.

    Returns
    -------
    Published

    >>> date_read(2, 10.0, 1.0, False)
    Published(version=2, at=10.0, earliest=9.0, is_witnessed=True)
    >>> date_read(2, 10.0, 6.0, True).at
    4.0
    """
    earliest = now - proof_s
    at = earliest if is_late else now
    return Published(version, at, earliest, not is_late)


def adopt(row, at, is_witnessed):
    """Return a Published with a publication that another box told.

    Of two that were witnessed the earlier one holds: it may be that of a box
    which read the record sooner.  One that was not witnessed is only better
    than none: boxes that told each other of these would make them later each
    time, by the time that a message takes.

    >>> read = date_read(2, 10.0, 1.0, False)
    >>> [adopt(read, at, True).at for at in (9.5, 10.5, 3.0)]
    [9.5, 10.0, 9.0]
    >>> adopt(read, 9.5, False).at
    10.0
    >>> unknown = date_read(2, 10.0, math.inf, True)
    >>> adopt(unknown, 3.0, False)
    Published(version=2, at=3.0, earliest=-inf, is_witnessed=False)
    >>> adopt(adopt(unknown, 3.0, False), 4.0, True).at
    4.0
    """
    if not is_witnessed and (row.is_witnessed or row.at != UNKNOWN):
        return row
    if row.is_witnessed:
        at = min(row.at, at)
    return row._replace(at=max(at, row.earliest), is_witnessed=is_witnessed)


def merge(history, row):
    """Return the versions of a history with one more, in ascending order.

    >>> one, two = Published(1, 5.0), Published(2, 7.0)
    >>> merge((two,), one) == (one, two)
    True
    >>> long = [Published(n, float(n)) for n in range(MAX_VERSIONS)]
    >>> merged = merge(long, Published(99, 99.0))
    >>> len(merged) == MAX_VERSIONS, merged[0]
    (True, Published(version=1, at=0.0, earliest=-inf, is_witnessed=True))
    """
    rows = sorted((*history, row), key=lambda known: known.version)
    if len(rows) > MAX_VERSIONS:
        first, second, *rest = rows
        rows = [second._replace(at=min(first.at, second.at)), *rest]
    return tuple(rows)


def list_lacked(history):
    """Return the versions that a target may lack.

    >>> one, two = Published(1, 2.0), Published(2, 5.0)
    >>> list_lacked((one, two)) == (two,)
    True
    """
    return tuple(row for row in history if row.version > FIRST_VERSION)


def find_missed(history, has):
    """Return when the first version that a target lacks was published.

    A version is published after those before it, so that one that no box read
    as it came has at least their time, and none has a later one than the next.

    Parameters
    ----------
    history : iterable of Published
        In ascending order.
    has : int or None
        The version that the target has, if known.  Versions begin at 1, so
        the first one is not lacked by any target.

    Returns
    -------
    float or None
        None if it lacks none; UNKNOWN if this box can't tell.

    >>> history = Published(1, 2.0), Published(2, 5.0), Published(3, UNKNOWN)
    >>> find_missed(history, None), find_missed(history, 2)
    (5.0, 5.0)
    >>> find_missed(history, 3), find_missed(history[2:], 2)
    (None, -inf)
    >>> find_missed((Published(2, 9.0), Published(3, 6.0)), None)
    6.0
    """
    at, missed = UNKNOWN, None
    for row in history:
        is_dated = row.is_witnessed and row.at != UNKNOWN
        at = row.at if is_dated else max(at, row.at)
        if row.version > (has or FIRST_VERSION):
            missed = at if missed is None else min(missed, at)
    return missed
