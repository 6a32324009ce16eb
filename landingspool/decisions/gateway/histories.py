"""Tells the histories of a topic apart, without a name for any of them.

A store that comes back from a copy gives offsets out again.  So the same
offset may stand for different records, and answers of boxes that read the
store at different times may belong to different histories.  The one that a
later read of the store has shown is the newer one.
"""

import math
import typing

from landingspool.decisions.gateway import tail

# Seconds by which the ages that boxes tell may be wrong: an answer that isn't
# held arrives within this time.
SLACK_S = 0.4
# Stands for bytes that are no text.
REPLACEMENT = '\ufffd'


class Known(typing.NamedTuple):
    """What a reader knows of a topic; the times are those of its clock.

    Attributes
    ----------
    end : int
        Offset after the newest record.
    last : tail.Record or None
        The newest record; None if it isn't known.
    began : float
        When a read was sent that showed all of the present history.
    asked, got : float
        When the newest read that was answered began, and when its answer came.
    voided : float
        What was read from the store before may be of a former history.
    """

    end: int = 0
    last: tail.Record | None = None
    began: float = -math.inf
    asked: float = -math.inf
    got: float = -math.inf
    voided: float = -math.inf


NOTHING = Known()


def make_known(kept):
    """Return what the tail.Tail of a topic tells; it may be None."""
    if kept is None:
        return NOTHING
    return Known(
        kept.end or 0,
        kept.last,
        kept.began,
        kept.asked,
        kept.got,
        -math.inf if kept.rolled is None else kept.rolled,
    )


def is_doubtful(known, failed_at):
    """Return whether the store may have lost the last record since.

    It may have come back from a copy if a source failed meanwhile, or told
    that the store had failed it.

    Parameters
    ----------
    failed_at : float or None
        When a source last failed.

    >>> known = Known(5, tail.Record('k', b'v', 4), asked=1.0, got=3.0)
    >>> is_doubtful(known, 0.9), is_doubtful(known, 2.9)
    (False, True)
    """
    if known.last is None or failed_at is None:
        return False
    return failed_at >= known.asked


def is_voided(known, proved):
    """Return whether records read at `proved` may be of a former history.

    >>> is_voided(Known(voided=5.0), 4.9), is_voided(Known(), 4.9)
    (True, False)
    """
    return proved < known.voided


def is_later(known, rolled):
    """Return whether a topic was rolled back after a reader's history began.

    Parameters
    ----------
    rolled : float or None
        When a box noticed that it was; None: never.

    >>> known = Known(began=5.0)
    >>> is_later(known, 4.0), is_later(known, 9.0), is_later(known, None)
    (False, True, False)
    """
    if rolled is None or math.isinf(known.began):
        return False
    # What this reader was told itself lies up to SLACK_S before that.
    return rolled > max(known.began, known.voided + SLACK_S) + SLACK_S


def is_proof(known, end, proved):
    """Return whether a lower end, read at `proved`, is no lag of its reader.

    What this reader knows was in the store when its newest answer came.

    >>> is_proof(Known(9, got=5.0), 8, 5.1), is_proof(Known(9, got=5.0), 8, 4)
    (True, False)
    """
    return end < known.end and proved > known.got


def is_continued(known, page):
    """Return whether a page from the last record on continues what is known.

    A box that keeps only the newest record of a key may lack the last record.

    Parameters
    ----------
    page : store.Page
        Read from the offset of the last record on.

    >>> last = tail.Record('k', b'v', 4)
    >>> page = tail.Span((last,), 5)
    >>> is_continued(Known(5, last), page)
    True
    >>> is_continued(Known(5, last._replace(value=b'w')), page)
    False
    >>> is_continued(Known(7, last), page)
    False
    """
    if page.end < known.end:
        return False
    first = next(iter(page.records), known.last)
    return first.offset > known.last.offset or is_same(known.last, first)


def is_same(one, other):
    """Return whether two records at one offset are the same.

    A key that is no text reads differently in a page and in a list of the
    newest records, where it has replacement characters.

    >>> one = tail.Record('k', b'v', 4)
    >>> is_same(one, one), is_same(one, one._replace(key='l'))
    (True, False)
    >>> is_same(one._replace(key='\ufffd'), one._replace(key='\\xff'))
    True
    """
    if (one.value, one.offset) != (other.value, other.offset):
        return False
    return one.key == other.key or REPLACEMENT in one.key + other.key


def find_contradiction(known, records, end):
    """Find a key whose newest record can't be that of a later read.

    A newer record of a key has an offset that wasn't known before.

    Parameters
    ----------
    known : iterable of tail.Record
        The newest records of keys.
    records : iterable of tail.Record
        The newest records of keys by a later read.
    end : int
        Offset after the newest of the known records.

    Returns
    -------
    str or None
        The key.

    >>> one = tail.Record('k', b'v', 4)
    >>> find_contradiction([one], [one], 5)
    >>> find_contradiction([one], [one._replace(offset=2)], 5)
    'k'
    >>> find_contradiction([one], [one._replace(offset=6)], 5)
    """
    former = {record.key: record for record in known}
    for record in {record.key: record for record in records}.values():
        if record.offset < end and former.get(record.key, record) != record:
            return record.key
    return None
