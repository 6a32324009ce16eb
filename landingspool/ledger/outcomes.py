"""What can become of a call to the platform, as tagged outcomes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Appended:
    """The record is in the log at `offset`."""

    offset: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """The record is surely not in the log."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """No answer came: the record may be in the log, now or later."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Page:
    """Records of a stream in offset order.

    `first` is the first offset that the log still holds, `next` the offset
    that the next append will get, `entries` pairs of offset and bytes.
    """

    first: int
    next: int
    entries: tuple


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The platform could not be read."""

    reason: str
