"""Hybrid logical clock that orders events across processes.

A stamp is never earlier than the local wall clock or any received stamp, so
an effect is listed after its cause even if the clocks of two boxes differ.
"""

import typing

from landingspool.decisions import decoding


class Stamp(typing.NamedTuple):
    """Wall-clock milliseconds and a counter for events within one of them."""

    millis: decoding.TimeMs
    count: decoding.Count


def advance(last, wall):
    """Return the stamp of a local event at `wall` seconds.

    >>> advance(Stamp(5, 0), 0.010)
    Stamp(millis=10, count=0)
    >>> advance(Stamp(10, 0), 0.010)
    Stamp(millis=10, count=1)
    """
    millis = int(wall * 1000)
    if millis > last.millis:
        return Stamp(millis, 0)
    return Stamp(last.millis, last.count + 1)


def merge(last, received, wall):
    """Return the stamp after a message with the stamp `received` arrives.

    >>> merge(Stamp(5, 0), Stamp(20, 3), 0.010)
    Stamp(millis=20, count=4)
    """
    return advance(max(last, received), wall)
