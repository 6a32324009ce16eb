"""Decodes the notices in a target's answer: leaving, back-off and limit.

A target announces that it leaves, that it wants no request for a time, or how
many requests a second it accepts.  Each notice has its own header.  An
unreadable header is ignored: misread, it could block the target.
"""

import typing

from landingspool.platform import limits
from landingspool.platform import names

LEAVING_VALUE = '1'
# The status whose answer may ask for a back-off (RFC 9110, 15.6.4).
UNAVAILABLE = 503
# Maximum seconds of a back-off; longer ones are cut to it, so that a number of
# any size expires.
MAX_BACKOFF_S = 3600.0


class Leaving(typing.NamedTuple):
    """The target leaves and wants no new requests."""


class Backoff(typing.NamedTuple):
    """The target wants no request of this box for a number of seconds."""

    seconds: float


class Notices(typing.NamedTuple):
    """Notices about a target in one of its answers.

    Attributes
    ----------
    limit : limits.AdvertisedLimit, limits.Absent or limits.Unreadable
    rest : Backoff, limits.Absent or limits.Unreadable
    leaving : Leaving, limits.Absent or limits.Unreadable
    """

    limit: typing.Any = limits.Absent()
    rest: typing.Any = limits.Absent()
    leaving: typing.Any = limits.Absent()

    @property
    def asks_backoff(self):
        """Whether the target asks for a back-off."""
        return isinstance(self.rest, Backoff)

    @property
    def asks_for_less(self):
        """Whether the target asks for fewer requests.

        A refusal then does not count as a failure of the target.
        """
        demands = limits.AdvertisedLimit, Backoff, Leaving
        return any(isinstance(notice, demands) for notice in self)


def read_notices(status, find):
    """Decode the notices in an answer.

    Parameters
    ----------
    find : callable
        ``find(name)`` returns the values of a header as a list of str.

    >>> rows = {'server-leaving': ['1'], 'retry-after': ['2.5']}
    >>> notices = read_notices(503, lambda name: rows.get(name, []))
    >>> notices.rest, notices.leaving, notices.asks_for_less
    (Backoff(seconds=2.5), Leaving(), True)
    >>> read_notices(200, lambda name: rows.get(name, [])).rest
    Absent()
    """
    rest = limits.Absent()
    if status == UNAVAILABLE:
        rest = read_backoff(find(names.RETRY_AFTER))
    return Notices(
        limit=limits.read_limit(find(names.LIMIT)),
        rest=rest,
        leaving=read_leaving(find(names.LEAVING)),
    )


def read_head_notices(status, headers):
    """Decode the notices in the head of an answer.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names in lower case.
    """
    return read_notices(
        status, lambda name: limits.list_field_lines(headers, name)
    )


def read_folded_notices(status, headers):
    """Decode the notices in a head whose headers have one line each.

    Parameters
    ----------
    headers : dict of str to str
    """

    def find(name):
        return [headers[name]] if name in headers else []

    return read_notices(status, find)


def read_leaving(texts):
    """Decode whether a target leaves.

    >>> read_leaving([]), read_leaving([' 1']), read_leaving(['0', '1'])
    (Absent(), Leaving(), Leaving())
    >>> read_leaving(['yes'])
    Unreadable(text="'yes'")
    """
    if not texts:
        return limits.Absent()
    parts = limits.split_parts(texts)
    if LEAVING_VALUE in parts:
        return Leaving()
    return limits.Unreadable(limits.quote_lines(texts))


def read_backoff(texts):
    """Decode for how long a target wants no request; the longest applies.

    >>> read_backoff([]), read_backoff(['3']), read_backoff(['0.5', '2, soon'])
    (Absent(), Backoff(seconds=3.0), Backoff(seconds=2.0))
    >>> [read_backoff([text]) for text in ('', '0', 'nan', 'inf', '-1', '1e9')]
    ... # doctest: +NORMALIZE_WHITESPACE
    [Unreadable(text="''"), Unreadable(text="'0'"), Unreadable(text="'nan'"),
    Unreadable(text="'inf'"), Unreadable(text="'-1'"),
    Unreadable(text="'1e9'")]
    >>> read_backoff(['9' * 300])
    Backoff(seconds=3600.0)
    >>> read_backoff(['Fri, 04 Dec 2026 10:00:00 GMT'])
    Unreadable(text="'Fri, 04 Dec 2026 10:00:00 GMT'")
    """
    if not texts:
        return limits.Absent()
    numbers = [limits.read_number(part) for part in limits.split_parts(texts)]
    readable = [number for number in numbers if number is not None]
    if not readable:
        return limits.Unreadable(limits.quote_lines(texts))
    return Backoff(min(max(readable), MAX_BACKOFF_S))
