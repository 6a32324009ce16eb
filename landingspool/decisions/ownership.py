"""Which box owns a subject, by rendezvous hashing over the live boxes.

Boxes with the same view find the same owner without exchanging messages.
When a box leaves, only the subjects that it owned move.  Ownership is
advisory: with different views two boxes may both act as owner for a time,
and no invariant depends on there being only one.
"""

import functools

import xxhash

POOL_SHARD_TARGETS = 16


def score(subject, box):
    """Return the hash of a subject and a box, the same in every process."""
    return xxhash.xxh3_64_intdigest(f'{subject}\0{box}'.encode())


def get_owner(subject, boxes):
    """Return the box responsible for `subject`, or None without boxes.

    Parameters
    ----------
    subject : str
    boxes : iterable of str

    >>> get_owner('pool', ['a', 'b']) in ('a', 'b')
    True
    >>> get_owner('pool', []) is None
    True
    """
    ranked = rank(subject, tuple(sorted(boxes)))
    return ranked[0] if ranked else None


@functools.lru_cache(maxsize=8192)
def rank(subject, boxes):
    """List the boxes by descending score for `subject`, the owner first.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase
    hit rates", 1998 (rendezvous hashing).
    """
    order = sorted(boxes, key=lambda box: (score(subject, box), box))
    return tuple(reversed(order))


def name_pool(model, domain, index=0):
    """Return the name of one shard of a pool.

    >>> name_pool('letters', 'south')
    'letters@south#0'
    """
    return f'{model}@{domain}#{index}'


def split_pool(name):
    """Return the model, the domain and the index in a shard's name.

    >>> split_pool('letters@south#0')
    ('letters', 'south', 0)
    """
    model, _, suffix = name.rpartition('@')
    domain, _, index = suffix.partition('#')
    return model, domain, int(index)


def count_shards(targets):
    """Return the number of shards of a pool with `targets` targets.

    >>> count_shards(0), count_shards(16), count_shards(17)
    (1, 1, 2)
    """
    return max(1, -(-targets // POOL_SHARD_TARGETS))


def pick_shard(model, domain, subject, targets):
    """Return the shard of a pool that serves a request.

    Parameters
    ----------
    subject : str
        The first piece of the prompt, so that follow-up requests reach the
        same shard.
    targets : int
        Number of targets in the pool.
    """
    shards = count_shards(targets)
    return name_pool(model, domain, score(model, subject) % shards)


def list_shard(targets, index):
    """List the targets of one shard; the split is the same on all boxes.

    >>> list_shard(['a', 'b', 'c'], 0)
    ['a', 'b', 'c']
    """
    shards = count_shards(len(targets))
    return sorted(targets)[index::shards]
