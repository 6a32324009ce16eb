"""Decodes the head of a target's answer and selects what is relayed.

The head states which target answered, whether it signed the answer and
whether the request was executed.  The gateway decides what follows from it.
"""

import typing

from landingspool import keep_alive
from landingspool.platform import names
from landingspool.platform import notices as notices_module

# Misdirected Request (RFC 9110, 15.5.20): another target has taken over the
# address of the one addressed.  The request was not executed.
MISDIRECTED = 421
FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))
# Statuses of answers without a body.
BODILESS = frozenset((204, 304))


class Head(typing.NamedTuple):
    """Decoded head of a target's answer.

    Attributes
    ----------
    stamped : bool
        Whether the target signed it.
    not_run : bool
        Whether it says that the request was not executed and never will be.
    content_encoded : bool
        Whether the body has a content encoding.
    closing : bool
        Whether the target closes the connection after this answer.
    keep_alive_s : float or None
        Whole seconds for which the target keeps the idle connection.
    version : int or None
        Version of the weights that made the answer.
    target : str
        Id of the target that answered; empty if not stated.
    framed : bool
        Whether it has a length or chunks; otherwise it ends with its
        connection.
    notices : notices.Notices
        What the answer announces about its target.
    """

    status: int
    headers: list
    name: str
    stamped: bool
    not_run: bool
    content_encoded: bool
    closing: bool
    keep_alive_s: float | None
    version: int | None
    target: str
    framed: bool = True
    notices: notices_module.Notices = notices_module.Notices()


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
        content_encoded=found.get('content-encoding', 'identity')
        != 'identity',
        closing='close' in found.get('connection', '').lower(),
        keep_alive_s=keep_alive.read_seconds(found.get(keep_alive.HEADER, '')),
        version=read_integer(found.get(names.VERSION)),
        target=found.get(names.TARGET_ID, ''),
        framed=status in BODILESS or not FRAMING_HEADERS.isdisjoint(found),
        notices=notices_module.read_head_notices(status, headers),
    )


def read_integer(text):
    """Return the whole number in a text, or None.

    >>> read_integer(' 12 '), read_integer('\xb2'), read_integer(None)
    (12, None, None)
    """
    return (
        int(text)
        if keep_alive.WHOLE_NUMBER.fullmatch((text or '').strip())
        else None
    )


def relay_headers(head):
    """Return the headers of an answer that are relayed to the caller."""
    return [
        (name, value)
        for name, value in head.headers
        if name.decode('latin-1') not in names.HOP_HEADERS
    ]


def read_event_version(event):
    """Return the version of the weights that a stream event names, or None.

    >>> read_event_version(b'versions: 3\\nid: 7\\ndata: x')
    3
    """
    first, _, _ = event.partition(b'\n')
    name, _, value = first.partition(b':')
    if name.strip().lower() != names.VERSION.encode():
        return None
    return read_integer(value.decode('latin-1'))
