"""Directory of cached context in the targets' caches and in the stores.

A key names a piece of a prompt under a weight version, both for caches and
for stores.
The engines' cache events arrive late and with gaps, so an entry for a cache
is only a hint for routing: a wrong hint costs time but never leads to a
wrong answer.  An entry for a store contains the identifier of the write, so
that a read of it can be checked.
"""

import collections
import typing

# Maximum number of keys for the cache of each target, and for all stores.
MAX_CACHED_KEYS = 4096
MAX_STORED_KEYS = 65536


class Stored(typing.NamedTuple):
    """An offered block, with its number of tokens and its workspace."""

    block: tuple
    tokens: int
    workspace: str


class Directory:
    """The entries of one scheduler, bounded by LRU eviction."""

    def __init__(
        self, cached_keys=MAX_CACHED_KEYS, stored_keys=MAX_STORED_KEYS
    ):
        self._max_cached_keys = cached_keys
        self._max_stored_keys = stored_keys
        self._cached = collections.defaultdict(collections.OrderedDict)
        self._stored = collections.OrderedDict()

    def record_cached(self, target, keys):
        """Record that a target has just processed these pieces."""
        known = self._cached[target]
        for key in keys:
            known[key] = True
            known.move_to_end(key)
        while len(known) > self._max_cached_keys:
            known.popitem(last=False)

    def record_evicted(self, target, keys):
        """Record that a target has reported the eviction of these pieces."""
        for key in keys:
            self._cached[target].pop(key, None)

    def record_gap(self, target):
        """Drop all entries of a target whose cache events were lost."""
        self._cached.pop(target, None)

    def forget_target(self, target):
        """Drop all entries of a target that was removed or restarted."""
        self._cached.pop(target, None)

    def count_cached(self, target, keys):
        """Count the leading pieces that a target probably has cached.

        >>> directory = Directory()
        >>> directory.record_cached('t', ['a', 'b', 'd'])
        >>> directory.count_cached('t', ['a', 'b', 'c', 'd'])
        2
        """
        known = self._cached.get(target)
        if not known:
            return 0
        count = 0
        for key in keys:
            if key not in known:
                break
            count += 1
        return count

    def record_stored(self, workspace, block, tokens):
        """Offer a sealed block."""
        self._stored[block.key] = Stored(block, tokens, workspace)
        while len(self._stored) > self._max_stored_keys:
            self._stored.popitem(last=False)

    def record_freed(self, keys):
        """Withdraw the offer of blocks."""
        for key in keys:
            self._stored.pop(key, None)

    def list_stored(self, keys):
        """Return the offered block of each key, or None for a key without."""
        return [self._stored.get(key) for key in keys]

    def is_stored(self, key):
        """Return whether a block of this key is offered."""
        return key in self._stored

    def get_stored(self, key):
        """Return the offered block of a key, or None."""
        return self._stored.get(key)
