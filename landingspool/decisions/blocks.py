"""Kept context: how a block is written, sealed, read, checked and freed.

No reader ever uses a block that is freed or half written, and that does
not lean on leases, since a reader that holds one may be frozen.  A write
has an identity that is never used again, its seal comes last, and what a
reader received is checked against the offer that it was promised before
the engine may use it.  Where the check fails the context is computed again.
"""

import enum
import typing


class Receipt(typing.NamedTuple):
    """What a target says it read from a store.

    Attributes
    ----------
    key, write : str
        What the store said that it sent.
    length : int
        Bytes that arrived.
    checksum : str
        Digest that the target computed over those bytes.
    sealed : bool
        Whether the store still had the write sealed at the end of the
        read, not only at its beginning.
    """

    key: str
    write: str
    length: int
    checksum: str
    sealed: bool


def check_receipt(block, receipt):
    """Give why a receipt does not match the block offered, or ``''``.

    Parameters
    ----------
    block : records.Block
    receipt : Receipt

    Returns
    -------
    str
        Name of the first check that failed, empty where all hold.
    """
    for name, holds in CHECKS:
        if not holds(block, receipt):
            return name
    return ''


CHECKS = (
    ('key', lambda block, receipt: block.key == receipt.key),
    ('write', lambda block, receipt: block.write == receipt.write),
    ('length', lambda block, receipt: block.length == receipt.length),
    ('checksum', lambda block, receipt: block.checksum == receipt.checksum),
    ('seal', lambda block, receipt: receipt.sealed),
)


class State(enum.Enum):
    """The life of one write."""

    WRITING = 'writing'
    SEALED = 'sealed'
    OFFERED = 'offered'
    WITHDRAWN = 'withdrawn'
    FREED = 'freed'


# A block is offered only once its seal was confirmed, and freed only after
# its offer was withdrawn: a reader then gets a mismatch at the worst.
TABLE = {
    (State.WRITING, 'seal'): State.SEALED,
    (State.WRITING, 'fail'): State.WITHDRAWN,
    (State.SEALED, 'offer'): State.OFFERED,
    (State.SEALED, 'evict'): State.WITHDRAWN,
    (State.OFFERED, 'evict'): State.WITHDRAWN,
    (State.OFFERED, 'mismatch'): State.WITHDRAWN,
    (State.WITHDRAWN, 'free'): State.FREED,
}


def advance(state, signal):
    """Give the next state of a write, or None where it may not be.

    >>> advance(State.WRITING, 'offer') is None
    True
    >>> advance(State.WRITING, 'seal')
    <State.SEALED: 'sealed'>
    """
    return TABLE.get((state, signal))
