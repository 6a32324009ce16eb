"""Reads what an answer says of the target that made it.

Three words: that it leaves, that it wants no request for a time, and how many
requests it takes.  Each has a field of its own, and what can't be read in one
says nothing, since read as something by chance it could stop a target.
"""

import typing

from landingspool.platform import limits
from landingspool.platform import names

LEAVES = '1'
# The status whose answer may ask for rest (RFC 9110, 15.6.4).
UNAVAILABLE = 503
# Seconds of rest beyond which a figure counts as this many: a figure of any
# size has to end.
MOST_REST_S = 3600.0


class Leaving(typing.NamedTuple):
    """The target leaves."""


class Rest(typing.NamedTuple):
    """The target wants no request of this box for so many seconds."""

    seconds: float


class Notices(typing.NamedTuple):
    """What one answer says of its target.

    Attributes
    ----------
    limit : limits.Named, limits.Unnamed or limits.Unreadable
    rest : Rest, limits.Unnamed or limits.Unreadable
    leaving : Leaving, limits.Unnamed or limits.Unreadable
    """

    limit: typing.Any = limits.Unnamed()
    rest: typing.Any = limits.Unnamed()
    leaving: typing.Any = limits.Unnamed()

    @property
    def asks_rest(self):
        """Whether it asks for rest."""
        return isinstance(self.rest, Rest)

    @property
    def is_wish(self):
        """Whether it asks for less, so that a refusal is no failure."""
        wishes = limits.Named, Rest, Leaving
        return any(isinstance(word, wishes) for word in self)


def read_notices(status, find):
    """Read the words of an answer.

    Parameters
    ----------
    find : callable
        ``find(name)`` gives the lines of a field, as a list of str.

    >>> rows = {'server-leaving': ['1'], 'retry-after': ['2.5']}
    >>> words = read_notices(503, lambda name: rows.get(name, []))
    >>> words.rest, words.leaving, words.is_wish
    (Rest(seconds=2.5), Leaving(), True)
    >>> read_notices(200, lambda name: rows.get(name, [])).rest
    Unnamed()
    """
    rest = limits.Unnamed()
    if status == UNAVAILABLE:
        rest = read_rest(find(names.REST))
    return Notices(
        limit=limits.read_limit(find(names.LIMIT)),
        rest=rest,
        leaving=read_leaving(find(names.LEAVING)),
    )


def read_head_notices(status, headers):
    """Read the words in a head.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names in lower case.
    """
    return read_notices(status, lambda name: limits.list_lines(headers, name))


def read_folded_notices(status, headers):
    """Read the words in a head whose fields have one line each.

    Parameters
    ----------
    headers : dict of str to str
    """

    def find(name):
        return [headers[name]] if name in headers else []

    return read_notices(status, find)


def read_leaving(texts):
    """Read whether a target leaves.

    >>> read_leaving([]), read_leaving([' 1']), read_leaving(['0', '1'])
    (Unnamed(), Leaving(), Leaving())
    >>> read_leaving(['yes'])
    Unreadable(text="'yes'")
    """
    if not texts:
        return limits.Unnamed()
    parts = limits.split_parts(texts)
    if LEAVES in parts:
        return Leaving()
    return limits.Unreadable(limits.quote(texts))


def read_rest(texts):
    """Read for how long a target wants no request; the longest holds.

    >>> read_rest([]), read_rest(['3']), read_rest(['0.5', '2, soon'])
    (Unnamed(), Rest(seconds=3.0), Rest(seconds=2.0))
    >>> [read_rest([text]) for text in ('', '0', 'nan', 'inf', '-1', '1e9')]
    ... # doctest: +NORMALIZE_WHITESPACE
    [Unreadable(text="''"), Unreadable(text="'0'"), Unreadable(text="'nan'"),
    Unreadable(text="'inf'"), Unreadable(text="'-1'"),
    Unreadable(text="'1e9'")]
    >>> read_rest(['9' * 300])
    Rest(seconds=3600.0)
    >>> read_rest(['Fri, 04 Dec 2026 10:00:00 GMT'])
    Unreadable(text="'Fri, 04 Dec 2026 10:00:00 GMT'")
    """
    if not texts:
        return limits.Unnamed()
    figures = [limits.read_figure(part) for part in limits.split_parts(texts)]
    readable = [figure for figure in figures if figure is not None]
    if not readable:
        return limits.Unreadable(limits.quote(texts))
    return Rest(min(max(readable), MOST_REST_S))
