"""Decodes the header in which a target advertises a limit of requests.

The value is a decimal number of requests a second, from all boxes together.
Any other value is ignored: misread as a number, it could block a target or
lift its limit.
"""

import re
import typing

DECIMAL = re.compile(r'(?:\d+\.?\d*|\.\d+)', re.ASCII)
# Requests a second from which on a limit is none; higher ones count as this.
MAX_PER_S = 1e9
# Characters of an unreadable header that are logged.
MAX_LOGGED_CHARS = 40


class AdvertisedLimit(typing.NamedTuple):
    """The answer advertises a limit, in requests a second."""

    per_s: float


class Absent(typing.NamedTuple):
    """The answer does not have the header."""


class Unreadable(typing.NamedTuple):
    """The answer has the header, but with no valid value."""

    text: str


def read_limit(texts):
    """Decode the values of the header; the smallest number applies.

    Parameters
    ----------
    texts : sequence of str
        One value for each line of the head.

    Returns
    -------
    AdvertisedLimit, Absent or Unreadable

    >>> read_limit([]), read_limit(['1.8']), read_limit(['2', '1.5, 3'])
    (Absent(), AdvertisedLimit(per_s=1.8), AdvertisedLimit(per_s=1.5))
    >>> [read_limit([text]) for text in ('', '0', 'inf', '1e3', '-1')]
    ... # doctest: +NORMALIZE_WHITESPACE
    [Unreadable(text="''"), Unreadable(text="'0'"), Unreadable(text="'inf'"),
    Unreadable(text="'1e3'"), Unreadable(text="'-1'")]
    >>> read_limit(['9' * 300])
    AdvertisedLimit(per_s=1000000000.0)
    >>> read_limit(['9' * 400])
    Unreadable(text="'9999999999999999999999999999999999999999'")
    """
    if not texts:
        return Absent()
    numbers = [read_number(part) for part in split_parts(texts)]
    if None in numbers:
        return Unreadable(quote_lines(texts))
    return AdvertisedLimit(min(*numbers, MAX_PER_S))


def read_number(text):
    """Return the number in a text; None unless positive and finite.

    >>> read_number(' .5 '), read_number('1_0'), read_number('0.000')
    (0.5, None, None)
    """
    text = text.strip(' \t')
    if not DECIMAL.fullmatch(text):
        return None
    number = float(text)
    return number if 0 < number < float('inf') else None


def split_parts(texts):
    """Split the lines of a header at their commas.

    >>> split_parts(['1, 2', ' 3'])
    ['1', '2', '3']
    """
    return [part.strip(' \t') for text in texts for part in text.split(',')]


def quote_lines(texts):
    """Return the lines of a header as one text for the log.

    >>> quote_lines(['a', 'b'])
    "'a, b'"
    """
    return repr(', '.join(texts)[:MAX_LOGGED_CHARS])


def list_field_lines(headers, name):
    """List the values of a header, one for each of its lines.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names in lower case.
    """
    key = name.encode()
    return [v.decode('latin-1') for k, v in headers if k == key]
