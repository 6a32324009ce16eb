"""Which box is responsible for what: rendezvous hashing over live boxes.

Every box with the same view finds the same owner with no message, and when
a box goes only what it owned moves.  Ownership is soft: with differing
views two boxes may both act for a time, and no invariant rests on there
being just one.
"""

import functools

import xxhash

POOL_SHARD_TARGETS = 16


def score(subject, box):
    """Give the rank of `box` for `subject`, the same in every process."""
    return xxhash.xxh3_64_intdigest(f'{subject}\0{box}'.encode())


def find_owner(subject, boxes):
    """Give the box responsible for `subject`, or None with no box.

    Parameters
    ----------
    subject : str
    boxes : iterable of str

    >>> find_owner('pool', ['a', 'b']) in ('a', 'b')
    True
    >>> find_owner('pool', []) is None
    True
    """
    ranked = rank(subject, tuple(sorted(boxes)))
    return ranked[0] if ranked else None


@functools.lru_cache(maxsize=8192)
def rank(subject, boxes):
    """List the boxes for `subject`, the owner first.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase
    hit rates", 1998 (rendezvous hashing).
    """
    order = sorted(boxes, key=lambda box: (score(subject, box), box))
    return tuple(reversed(order))


def name_pool(model, domain, index=0):
    """Give the name of one shard of a pool.

    >>> name_pool('letters', 'south')
    'letters@south#0'
    """
    return f'{model}@{domain}#{index}'


def split_pool(name):
    """Give the model, the domain and the index of a shard's name.

    >>> split_pool('letters@south#0')
    ('letters', 'south', 0)
    """
    model, _, rest = name.rpartition('@')
    domain, _, index = rest.partition('#')
    return model, domain, int(index)


def count_shards(targets):
    """Give the number of shards for a pool of so many targets.

    >>> count_shards(0), count_shards(16), count_shards(17)
    (1, 1, 2)
    """
    return max(1, -(-targets // POOL_SHARD_TARGETS))


def pick_shard(model, domain, subject, targets):
    """Give the shard of a pool that serves a request.

    Parameters
    ----------
    subject : str
        The first piece of the prompt, so that follow-ups meet it again.
    targets : int
        Number of targets in the pool.
    """
    shards = count_shards(targets)
    return name_pool(model, domain, score(model, subject) % shards)


def list_shard(targets, index):
    """List the targets of one shard; all boxes split them alike.

    >>> list_shard(['a', 'b', 'c'], 0)
    ['a', 'b', 'c']
    """
    shards = count_shards(len(targets))
    return sorted(targets)[index::shards]
