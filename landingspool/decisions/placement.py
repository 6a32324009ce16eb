"""Views of the targets for one request, as the routing policies need them.

Keys of cached context contain the weight version.  The keys of a request are
therefore computed, and looked up in the stores, once for each version among
the targets.  Only the caches are looked up for each target.
"""

import typing

from landingspool.decisions import identity
from landingspool.decisions import routing

FETCH_S_PER_BLOCK = 0.03


class ContextLocation(typing.NamedTuple):
    """Location of a request's cached context for one weight version.

    Attributes
    ----------
    keys : tuple of str
        Keys of its pieces for the version.
    stored : list of directory.Stored or None
        Stored block of each piece, None if no store has it.
    any_stored : bool
        Whether any piece is stored.
    """

    keys: tuple
    stored: list
    any_stored: bool


def locate_context(directory, work, version):
    """Look up the pieces of a request for a weight version."""
    keys = compute_keys(work.pieces, version)
    stored = directory.list_stored(keys)
    return ContextLocation(keys, stored, any(stored))


def compute_keys(pieces, version):
    """Return the keys of pieces for a weight version."""
    return tuple(identity.add_version(piece, version) for piece in pieces)


def make_view(target, directory, located, free, fetch_s_per_block):
    """Return the view of a target for the routing policies.

    Parameters
    ----------
    target : pool.Target
    directory : directory.Directory
    located : ContextLocation
    free : int
        Number of free slots.
    fetch_s_per_block : float
        Expected seconds to fetch one block.
    """
    name = target.member.name
    cached = directory.count_cached(name, located.keys)
    fetchable = (
        count_consecutive(located.stored, cached) if located.any_stored else 0
    )
    report = target.report
    # Positional arguments: a view is built for each target at each
    # decision, and keyword arguments take half as long again.
    return routing.View(
        name,
        free,
        report.running,
        len(target.active_grants),
        target.measure_backlog(),
        report.prefill,
        cached * identity.PIECE_TOKENS,
        fetchable * identity.PIECE_TOKENS,
        fetchable * fetch_s_per_block,
        target.slowness,
    )


def count_consecutive(stored, start):
    """Count the consecutive stored pieces from `start` on.

    >>> count_consecutive([None, 'a', 'b', None, 'c'], 1)
    2
    """
    count = 0
    for item in stored[start:]:
        if item is None:
            break
        count += 1
    return count


def list_blocks_to_fetch(work, view, located):
    """List the blocks to fetch for a request at the chosen target."""
    if not routing.wants_fetch(work, view):
        return ()
    start = view.cached // identity.PIECE_TOKENS
    count = view.fetchable // identity.PIECE_TOKENS
    return tuple(item.block for item in located.stored[start : start + count])
