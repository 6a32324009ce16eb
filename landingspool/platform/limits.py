"""Reads the field in which a target names how many requests it takes.

The field is a decimal number of requests a second, from all boxes together.
Anything else in it names nothing: read as a number by chance it could stop a
target, or free it.
"""

import re
import typing

DECIMAL = re.compile(r'(?:\d+\.?\d*|\.\d+)', re.ASCII)
# Characters of a field that can't be read that are logged.
MOST_LOGGED = 40


class Named(typing.NamedTuple):
    """The answer names a limit, in requests a second."""

    per_s: float


class Unnamed(typing.NamedTuple):
    """The answer has no such field."""


class Unreadable(typing.NamedTuple):
    """The answer has the field, and no limit can be read in it."""

    text: str


def read_limit(texts):
    """Read the field's lines; the smallest figure holds where there are more.

    Parameters
    ----------
    texts : sequence of str
        Its values, one for each line of the head.

    Returns
    -------
    Named, Unnamed or Unreadable

    >>> read_limit([]), read_limit(['1.8']), read_limit(['2', '1.5, 3'])
    (Unnamed(), Named(per_s=1.8), Named(per_s=1.5))
    >>> [read_limit([text]) for text in ('', '0', 'inf', '1e3', '-1')]
    ... # doctest: +NORMALIZE_WHITESPACE
    [Unreadable(text="''"), Unreadable(text="'0'"), Unreadable(text="'inf'"),
    Unreadable(text="'1e3'"), Unreadable(text="'-1'")]
    >>> read_limit(['9' * 400])
    Unreadable(text="'9999999999999999999999999999999999999999'")
    """
    if not texts:
        return Unnamed()
    figures = [read_figure(part) for part in split_parts(texts)]
    if None in figures:
        return Unreadable(quote(texts))
    return Named(min(figures))


def read_figure(text):
    """Give the number in a text; None where it is not over 0, or endless.

    >>> read_figure(' .5 '), read_figure('1_0'), read_figure('0.000')
    (0.5, None, None)
    """
    text = text.strip(' \t')
    if not DECIMAL.fullmatch(text):
        return None
    figure = float(text)
    return figure if 0 < figure < float('inf') else None


def split_parts(texts):
    """Split the lines of a field at its commas.

    >>> split_parts(['1, 2', ' 3'])
    ['1', '2', '3']
    """
    return [part.strip(' \t') for text in texts for part in text.split(',')]


def quote(texts):
    """Give the lines of a field for the log.

    >>> quote(['a', 'b'])
    "'a, b'"
    """
    return repr(', '.join(texts)[:MOST_LOGGED])


def list_lines(headers, name):
    """List the lines of a field in a head.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names in lower case.
    """
    key = name.encode()
    return [v.decode('latin-1') for k, v in headers if k == key]
