"""Decodes bytes that others wrote, which may hold anything.

Bytes of other writers, of targets, of other boxes and of callers may be nested
without end, hold numbers that nothing can compute with, or values of another
type than their decoder expects.  Each of these raises an exception of its own.
Here all of them are one outcome, Malformed, so that whoever decodes can pass
over one record or refuse one answer, and go on.
"""

import re
import struct
import typing

import cbor2
import msgspec

# Exceptions that decoding arbitrary bytes may raise.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
    struct.error,
    cbor2.CBORError,
)
# Characters of an error, and of what it is about, in a log line.
MAX_REASON_CHARS = 200
MAX_SUBJECT_CHARS = 256

# What changes the depth in a JSON text, or whether it is within a string.
MARKS = re.compile(rb'\\.|["\[\]{}]', re.DOTALL)
STEPS = {b'[': 1, b'{': 1, b']': -1, b'}': -1}
# Depth beyond that of any record.
MAX_DEPTH = 16

# Bounds of the numbers that are computed with.  Whole numbers up to this one
# are exact as floats.
MAX_COUNT = 2**53
# Seconds and milliseconds of a century.
MAX_SECONDS = 100 * 366 * 24 * 3600
MAX_MILLISECONDS = MAX_SECONDS * 1000
# Unix time in milliseconds at the end of the year 2100.
MAX_TIME_MS = 4_102_444_800_000
MAX_FIGURE = 1e15
MAX_HASH = 2**63 - 1

Whole = typing.Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Figure = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_FIGURE)]
Hash = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_HASH)]
# Durations and ages; clocks that differ can make an age negative.
Seconds = typing.Annotated[
    float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)
]
Milliseconds = typing.Annotated[
    int, msgspec.Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)
]
Age = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
TimeMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]


class Malformed(Exception):
    """Bytes can't be decoded; the text names them and says why."""


def decode(subject, read, value):
    """Return what a decoder makes of a value that someone else wrote.

    Parameters
    ----------
    subject : str
        What the value is, for the text of the error.
    read : callable
        ``read(value)``; whatever it raises of DECODE_ERRORS means that the
        value can't be decoded.
    value : object

    Raises
    ------
    Malformed

    >>> decode('a number', int, b'5')
    5
    >>> decode('a number', int, b'x' * 9)
    Traceback (most recent call last):
    landingspool.decisions.decoding.Malformed: a number: ValueError("invalid \
literal for int() with base 10: b'xxxxxxxxx'")
    """
    try:
        return read(value)
    except DECODE_ERRORS as error:
        raise Malformed(f'{shorten(subject)}: {describe(error)}') from error


def cut_nesting(data):
    """Replace what is nested deeper than MAX_DEPTH in a JSON text by null.

    In a text that holds what several writers wrote, one of them can't make
    the others' unreadable so.

    >>> cut_nesting(b'[{"a": "]"}, %s]' % (b'[' * 40 + b']' * 40))
    b'[{"a": "]"}, [[[[[[[[[[[[[[[null]]]]]]]]]]]]]]]]'
    """
    kept, start, depth, is_text = [], 0, 0, False
    for mark in MARKS.finditer(data):
        is_text ^= mark.group() == b'"'
        step = 0 if is_text else STEPS.get(mark.group(), 0)
        if step > 0 and depth == MAX_DEPTH:
            kept += [data[start : mark.start()], b'null']
        depth += step
        if step < 0 and depth == MAX_DEPTH:
            start = mark.end()
    if depth <= MAX_DEPTH:
        kept.append(data[start:])
    return b''.join(kept)


def describe(error):
    """Return the text of an error of a decoder, of bounded length."""
    try:
        is_told = isinstance(error, msgspec.MsgspecError)
        return (str(error) if is_told else repr(error))[:MAX_REASON_CHARS]
    except ValueError:
        # It quotes a number that is too long for a text.
        return type(error).__name__


def shorten(subject):
    """Return the name of what was decoded, of bounded length."""
    return subject[:MAX_SUBJECT_CHARS]
