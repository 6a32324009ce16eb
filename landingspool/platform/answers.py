"""Reads the head of a target's answer, and what of it goes back.

It tells what the target claims: whose answer it is, whether it is signed,
whether the request has run.  What follows from that is decided elsewhere.
"""

import typing

from landingspool.platform import names
from landingspool.platform import notices as words_module

# The status of a target that now has another one's address (RFC 9110,
# 15.5.20): it ran nothing.
MISDIRECTED = 421


class Head(typing.NamedTuple):
    """The head of a target's answer, decoded.

    Attributes
    ----------
    stamped : bool
        Whether the target signed it.
    not_run : bool
        Whether it says that the request has not run and won't.
    kept_s : float or None
        Whole seconds for which the target keeps the connection.
    words : words.Notices
        What the answer says of the target.
    """

    status: int
    headers: list
    name: str
    stamped: bool
    not_run: bool
    coded: bool
    closing: bool
    kept_s: float | None
    version: int | None
    target: str
    words: words_module.Notices = words_module.Notices()


def read_head(status, headers):
    """Decode the head of an answer.

    Parameters
    ----------
    headers : list of tuple of bytes
    """
    found = {k.decode('latin-1'): v.decode('latin-1') for k, v in headers}
    return Head(
        status=status,
        headers=headers,
        name=found.get(names.REQUEST_ID, ''),
        stamped=bool(found.get(names.STAMP)),
        not_run=names.NOT_RUN in found or status == MISDIRECTED,
        coded=found.get('content-encoding', 'identity') != 'identity',
        closing='close' in found.get('connection', '').lower(),
        kept_s=read_kept(found.get('keep-alive', '')),
        version=read_whole(found.get(names.VERSION)),
        target=found.get(names.TARGET_ID, ''),
        words=words_module.read_head_notices(status, headers),
    )


def read_kept(text):
    """Give the seconds in a Keep-Alive header, None where there are none.

    >>> read_kept('timeout=3, max=9'), read_kept('')
    (3.0, None)
    """
    for part in text.lower().split(','):
        name, _, value = part.strip().partition('=')
        if name == 'timeout' and value.strip().isdigit():
            return float(value)
    return None


def read_whole(text):
    """Give a whole number, None where the text holds none."""
    return int(text) if text and text.strip().isdigit() else None


def relay_headers(head):
    """Give the headers of an answer that go back to the caller."""
    return [
        (name, value)
        for name, value in head.headers
        if name.decode('latin-1') not in names.HOP_HEADERS
    ]


def find_event_version(event):
    """Give the version that an event of a stream tells, or None.

    >>> find_event_version(b'versions: 3\\nid: 7\\ndata: x')
    3
    """
    first, _, _ = event.partition(b'\n')
    name, _, value = first.partition(b':')
    if name.strip().lower() != names.VERSION.encode():
        return None
    return read_whole(value.decode('latin-1'))
