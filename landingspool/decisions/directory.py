"""Where context is: in the targets' caches and in the stores.

Keys are names of pieces under a weight version, for caches and stores
alike.  The engines' cache events come late and with gaps, so what is said of a
cache here is a hint that routing weighs and nothing else: a wrong hint
costs time, never an answer.  What is said of a store names the write, so
that a read of it can be checked.
"""

import collections
import typing

CACHED_KEYS = 4096
STORED_KEYS = 65536


class Stored(typing.NamedTuple):
    """A sealed block on offer, with its tokens and its workspace."""

    block: tuple
    tokens: int
    workspace: str


class Directory:
    """The hints of one scheduler, bounded by the least recently used."""

    def __init__(self, cached_keys=CACHED_KEYS, stored_keys=STORED_KEYS):
        self._most_cached = cached_keys
        self._most_stored = stored_keys
        self._cached = collections.defaultdict(collections.OrderedDict)
        self._stored = collections.OrderedDict()

    def record_cached(self, target, keys):
        """Note that a target has just worked on these pieces."""
        known = self._cached[target]
        for key in keys:
            known[key] = True
            known.move_to_end(key)
        while len(known) > self._most_cached:
            known.popitem(last=False)

    def record_evicted(self, target, keys):
        """Note that a target said it has dropped these pieces."""
        for key in keys:
            self._cached[target].pop(key, None)

    def record_gap(self, target):
        """Note that cache events of a target were lost: doubt them all."""
        self._cached.pop(target, None)

    def forget_target(self, target):
        """Forget a target that has gone or started anew."""
        self._cached.pop(target, None)

    def count_cached(self, target, keys):
        """Count the leading pieces that a target probably has.

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
        while len(self._stored) > self._most_stored:
            self._stored.popitem(last=False)

    def record_freed(self, keys):
        """Take blocks off the offer."""
        for key in keys:
            self._stored.pop(key, None)

    def list_stored(self, keys):
        """Give what is on offer for each key, or None."""
        return [self._stored.get(key) for key in keys]

    def is_stored(self, key):
        """Tell whether a block of this key is on offer."""
        return key in self._stored

    def get_stored(self, key):
        """Give the block on offer under a key, or None."""
        return self._stored.get(key)
