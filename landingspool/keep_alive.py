"""The Keep-Alive header: for how long a peer keeps a connection at rest.

A request that crosses the close of its connection gets no answer, and nobody
can tell whether it was read.  HTTP/1.1 has no exchange before such a close, so
that the side that closes has to announce when, and the other one has to heed
it.
"""

import re

HEADER = 'keep-alive'
# Seconds before the end of the announced time from which on a connection isn't
# used: the request has to arrive before its peer closes.
MARGIN_S = 0.5
# `str.isdigit` also holds for digits that `int` and `float` refuse.
WHOLE_NUMBER = re.compile('[0-9]{1,18}')


def write_row(seconds):
    """Return the header row that announces whole seconds.

    >>> write_row(15)
    (b'keep-alive', b'timeout=15')
    """
    return HEADER.encode(), f'timeout={seconds}'.encode()


def read_seconds(text):
    """Return the announced seconds in the value of a header, or None.

    >>> read_seconds('timeout=3, max=9'), read_seconds('')
    (3.0, None)
    """
    for part in text.lower().split(','):
        name, _, value = part.strip().partition('=')
        if name == 'timeout' and WHOLE_NUMBER.fullmatch(value.strip()):
            return float(value)
    return None
