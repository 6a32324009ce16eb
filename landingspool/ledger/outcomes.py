"""Outcomes of a call to the platform, one class each."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Appended:
    """The record is in the log at `offset`."""

    offset: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """The record is confirmed not to be in the log."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """No valid response: the record may be in the log, now or later."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Page:
    """Records of a stream in offset order.

    Attributes
    ----------
    first : int
        First offset that the log still holds.
    next : int
        Offset of the next append.
    entries : tuple
        Pairs of an offset and the record's bytes.
    """

    first: int
    next: int
    entries: tuple


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The platform could not be read."""

    reason: str
