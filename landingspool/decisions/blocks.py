"""States of a block of cached context, and the check after reading one.

No reader ever uses a block that has been freed or is partly written.  This
does not depend on leases, because a reader that holds one may be suspended.
A write has an identifier that is never reused, and it is sealed last.  What
a reader received is checked against the offered block before the engine may
use it.  If the check fails, the context is recomputed.
"""

import enum
import typing


class Receipt(typing.NamedTuple):
    """What a target reports to have read from a store.

    Attributes
    ----------
    key, write : str
        Key and write that the store reported to have sent.
    length : int
        Number of bytes received.
    checksum : str
        Digest of those bytes, computed by the target.
    sealed : bool
        Whether the write was still sealed at the end of the read, and not
        only at its start.
    """

    key: str
    write: str
    length: int
    checksum: str
    sealed: bool


def check_receipt(block, receipt):
    """Return why a receipt does not match the offered block, or ``''``.

    Parameters
    ----------
    block : records.Block
    receipt : Receipt

    Returns
    -------
    str
        Name of the first check that failed; empty if all passed.
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
    """State of one write."""

    WRITING = 'writing'
    SEALED = 'sealed'
    OFFERED = 'offered'
    WITHDRAWN = 'withdrawn'
    FREED = 'freed'


# A block is offered only after its seal was confirmed, and freed only after
# its offer was withdrawn.  In the worst case a reader gets a mismatch.
TRANSITIONS = {
    (State.WRITING, 'seal'): State.SEALED,
    (State.WRITING, 'fail'): State.WITHDRAWN,
    (State.SEALED, 'offer'): State.OFFERED,
    (State.SEALED, 'evict'): State.WITHDRAWN,
    (State.OFFERED, 'evict'): State.WITHDRAWN,
    (State.OFFERED, 'mismatch'): State.WITHDRAWN,
    (State.WITHDRAWN, 'free'): State.FREED,
}


def advance(state, signal):
    """Return the next state of a write, or None if it is not allowed.

    >>> advance(State.WRITING, 'offer') is None
    True
    >>> advance(State.WRITING, 'seal')
    <State.SEALED: 'sealed'>
    """
    return TRANSITIONS.get((state, signal))
