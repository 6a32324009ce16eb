"""Decides which boxes are told of a stream, and asked for it.

A caller continues its stream at any box, but mostly in the same failure
domain.  So rendezvous hashing names a few owners of each stream in every
domain, from the list of boxes alone.  Lists differ while boxes come and go;
several owners make it likely that one of them was told and is asked.
"""

import heapq

from landingspool.decisions import ownership

# Owners in the domain of a box, itself excluded: one may be gone.
NEAR_OWNERS = 2
# Other domains with an owner each: the domain itself may be cut off.  For each
# that is missing there is one more in the domain, where some boxes may have
# been cut off together.
FAR_DOMAINS = 2


def pick_owners(key, domain, peers):
    """Pick the boxes that a box tells of a stream, or asks for it.

    Parameters
    ----------
    key : bytes
        As returned by stream_bindings.make_key.
    domain : str
        Failure domain of the box that picks.
    peers : dict of str to str
        The domains of the other boxes, by name.

    Returns
    -------
    list of str

    >>> peers = dict(a='d', b='d', c='d', e='x', f='x', g='y', h='z')
    >>> picked = pick_owners(b"k", "d", peers)
    >>> sorted(peers[name] for name in picked)
    ['d', 'd', 'x', 'z']
    >>> len(pick_owners(b"k", "d", dict.fromkeys('abcef', 'd')))
    4
    """
    subject = key.hex()
    near = [name for name, place in peers.items() if place == domain]
    others = set(peers.values()) - {domain}
    domains = pick_best(subject, others, FAR_DOMAINS)
    missing = FAR_DOMAINS - len(domains)
    owners = pick_best(subject, near, NEAR_OWNERS + missing)
    for other in domains:
        far = [name for name, place in peers.items() if place == other]
        owners += pick_best(subject, far, 1)
    return owners


def pick_best(subject, names, count):
    """Return the first names in the hash order of a subject."""
    return heapq.nlargest(
        count, names, key=lambda name: (ownership.score(subject, name), name)
    )
