"""What a place at each target would mean for one request.

The names of kept context hold the weight version, so the pieces of a
request are named once for each version among the targets, and looked up
once in the stores; only the caches are looked up target by target.
"""

import typing

from landingspool.decisions import identity
from landingspool.decisions import routing

FETCH_S_PER_BLOCK = 0.03


class Survey(typing.NamedTuple):
    """Where a request's context is, under one weight version.

    Attributes
    ----------
    keys : tuple of str
        Names of its pieces under the version.
    stored : list of directory.Stored or None
        What the stores have of each piece.
    any_stored : bool
        Whether they have any.
    """

    keys: tuple
    stored: list
    any_stored: bool


def survey(directory, work, version):
    """Look a request's pieces up under a weight version."""
    keys = name_pieces(work.pieces, version)
    stored = directory.list_stored(keys)
    return Survey(keys, stored, any(stored))


def name_pieces(pieces, version):
    """Name pieces under a weight version."""
    return tuple(identity.add_version(piece, version) for piece in pieces)


def make_view(target, directory, found, free, price_s):
    """Give the view of a target for the routing policies.

    Parameters
    ----------
    target : pool.Target
    directory : directory.Directory
    found : Survey
    free : int
        Places left.
    price_s : float
        Seconds that the fetch of a block is taken for.
    """
    name = target.member.name
    cached = directory.count_cached(name, found.keys)
    fetchable = count_run(found.stored, cached) if found.any_stored else 0
    report = target.report
    # By position: this is built for each target at each decision, and
    # keywords take half as long again.
    return routing.View(
        name,
        free,
        report.running,
        len(target.active_grants),
        target.measure_backlog(),
        report.prefill,
        cached * identity.PIECE_TOKENS,
        fetchable * identity.PIECE_TOKENS,
        fetchable * price_s,
        target.slowness,
    )


def count_run(stored, start):
    """Count the stored pieces that follow each other from `start` on.

    >>> count_run([None, 'a', 'b', None, 'c'], 1)
    2
    """
    count = 0
    for item in stored[start:]:
        if item is None:
            break
        count += 1
    return count


def list_fetch(work, view, found):
    """List the blocks to fetch for a request at the chosen target."""
    if not routing.wants_fetch(work, view):
        return ()
    start = view.cached // identity.PIECE_TOKENS
    count = view.fetchable // identity.PIECE_TOKENS
    return tuple(item.block for item in found.stored[start : start + count])
