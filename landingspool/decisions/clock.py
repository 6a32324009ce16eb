"""Hybrid logical clock: it orders events over processes.

A stamp is never behind the wall clock that it saw nor behind a stamp that
was received, so that an effect is listed after its cause even when the
clocks of two boxes differ.
"""

import typing


class Stamp(typing.NamedTuple):
    """Milliseconds of the wall clock and a counter within them."""

    millis: int
    count: int


def advance(last, wall):
    """Give the stamp of a local event at `wall` seconds.

    >>> advance(Stamp(5, 0), 0.010)
    Stamp(millis=10, count=0)
    >>> advance(Stamp(10, 0), 0.010)
    Stamp(millis=10, count=1)
    """
    millis = int(wall * 1000)
    if millis > last.millis:
        return Stamp(millis, 0)
    return Stamp(last.millis, last.count + 1)


def merge(last, heard, wall):
    """Give the stamp after a message with the stamp `heard` came in.

    >>> merge(Stamp(5, 0), Stamp(20, 3), 0.010)
    Stamp(millis=20, count=4)
    """
    return advance(max(last, heard), wall)
