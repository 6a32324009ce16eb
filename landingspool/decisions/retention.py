"""Retention policies: which blocks of cached context the stores hold.

The stores have far less capacity than the prompts that may return would
need.  The policy ``value`` retains the blocks that save the most time for
their size: the time to recompute the context, times the probability that it
is requested again, divided by its bytes.  The probability comes from a
histogram of return gaps for each workspace.  Each workspace has a share of
the capacity; an idle share is lent to other workspaces and reclaimed.

A policy is one function, registered under its name.
"""

import bisect
import collections
import math
import typing

GAP_BOUNDS_S = tuple(15.0 * 2**power for power in range(16))
GAP_DECAY = 0.999
PRIOR_RETURNS = 1.0
PRIOR_WAITING = 2.0
MAX_CANDIDATES = 64

POLICIES = {}


class RetainedBlock(typing.NamedTuple):
    """A retained block, as the policies see it.

    `cost_s` is the number of seconds to recompute it, `used` the time of its
    last use in seconds, `returns` the number of its uses since it was added,
    `depth` the index of its piece in the prompt.
    """

    key: str
    workspace: str
    store: str
    bytes: int
    cost_s: float
    used: float
    returns: int
    depth: int


def policy(name):
    """Register a policy that computes the value of a retained block."""

    def add(function):
        POLICIES[name] = function
        return function

    return add


class ReturnGaps:
    """Histogram of the gaps after which prompts of a workspace return.

    Old gaps decay gradually, so that the histogram follows changes in use.
    """

    def __init__(self):
        self._counts = [0.0] * (len(GAP_BOUNDS_S) + 1)
        self._evictions = 0.0

    def record_return(self, gap):
        """Count a prompt that returned after `gap` seconds."""
        self._decay()
        self._counts[bisect.bisect_left(GAP_BOUNDS_S, gap)] += 1

    def record_eviction(self):
        """Count a prompt that was evicted before it returned."""
        self._decay()
        self._evictions += 1

    def estimate_return(self, age):
        """Estimate the rate of return of a prompt not seen for `age` seconds.

        Returns
        -------
        float
            Probability per second, within the bucket that contains `age`.

        Notes
        -----
        This is the hazard rate: of all prompts with a gap at least as long,
        the fraction that returned within the bucket, divided by the width
        of the bucket in seconds.
        """
        index = bisect.bisect_left(GAP_BOUNDS_S, age)
        later = sum(self._counts[index:]) + self._evictions + PRIOR_WAITING
        start = GAP_BOUNDS_S[index - 1] if index else 0.0
        end = GAP_BOUNDS_S[min(index, len(GAP_BOUNDS_S) - 1)]
        width = end - start if end > start else GAP_BOUNDS_S[-1]
        count = self._counts[index] + PRIOR_RETURNS / len(self._counts)
        return count / later / width

    def _decay(self):
        self._counts = [count * GAP_DECAY for count in self._counts]
        self._evictions *= GAP_DECAY


@policy('lru')
def value_by_recency(block, gaps, now):
    """Return the time of the last use (least recently used goes first)."""
    return block.used


@policy('value')
def value_per_byte(block, gaps, now):
    """Return the expected time saved per byte.

    A piece is useless without the pieces before it in the prompt, so of two
    pieces of one prompt the later one is evicted first.
    """
    rate = gaps.estimate_return(max(now - block.used, 0.0))
    shared = 1.0 + math.log1p(block.returns)
    return (
        rate * shared * block.cost_s / block.bytes / (1 + 0.01 * block.depth)
    )


class RetentionPlan:
    """Plan of the capacity of the stores: which blocks are retained.

    Parameters
    ----------
    policy : str
        Name of a registered policy.
    capacity : int
        Total bytes of all stores in use.
    """

    def __init__(self, policy, capacity):
        self._value = POLICIES[policy]
        self.capacity = capacity
        self.blocks = {}
        self._used = collections.Counter()
        self._gaps = collections.defaultdict(ReturnGaps)
        self._total = 0
        self._by_store = collections.Counter()
        self._by_workspace = collections.defaultdict(collections.OrderedDict)

    def record_use(self, key, now):
        """Record a use of a block and its return gap."""
        block = self.blocks.get(key)
        if block is None:
            return
        if now > block.used:
            self._gaps[block.workspace].record_return(now - block.used)
        updated = block._replace(used=now, returns=block.returns + 1)
        self.blocks[key] = updated
        self._by_workspace[block.workspace].move_to_end(key)

    def add(self, block, shares, now):
        """Add a block and return the blocks that are evicted for it.

        Parameters
        ----------
        block : RetainedBlock
        shares : dict of str to float
            Share of the capacity of each workspace, 0 to 1.
        now : float

        Returns
        -------
        tuple of (bool, list of RetainedBlock)
            Whether the block is retained, and which blocks are evicted.
            None is evicted for a block that is not retained.
        """
        if block.key in self.blocks or block.bytes > self.capacity:
            return block.key in self.blocks, []
        evicted = []
        excess = self._total + block.bytes - self.capacity
        chosen = set()
        while excess > 0:
            victim = self._choose_victim(block, shares, chosen, now)
            if victim is None:
                return False, []
            evicted.append(victim)
            chosen.add(victim.key)
            excess -= victim.bytes
        for victim in evicted:
            self._gaps[victim.workspace].record_eviction()
            self.drop(victim.key)
        self.blocks[block.key] = block
        self._by_workspace[block.workspace][block.key] = True
        self._used[block.workspace] += block.bytes
        self._by_store[block.store] += block.bytes
        self._total += block.bytes
        return True, evicted

    def assign_store(self, key, store):
        """Record which store was chosen for a block."""
        block = self.blocks[key]
        self._by_store[block.store] -= block.bytes
        self._by_store[store] += block.bytes
        self.blocks[key] = block._replace(store=store)

    def get_stored_bytes(self, store):
        """Return the planned bytes in a store."""
        return self._by_store[store]

    def drop(self, key):
        """Remove a block from the plan; return it, or None if unknown."""
        block = self.blocks.pop(key, None)
        if block is not None:
            self._used[block.workspace] -= block.bytes
            self._by_store[block.store] -= block.bytes
            self._total -= block.bytes
            del self._by_workspace[block.workspace][key]
        return block

    def drop_store(self, store):
        """Remove all blocks of a store that has failed; return them."""
        keys = [key for key, row in self.blocks.items() if row.store == store]
        return [self.drop(key) for key in keys]

    def get_used_bytes(self, workspace):
        """Return the bytes in use by a workspace."""
        return self._used[workspace]

    def _choose_victim(self, block, shares, chosen, now):
        # Capacity is reclaimed first from the workspace that exceeds its
        # share by the most bytes, so a workspace within its share never
        # loses a block to another one.
        owner = self._get_most_over_share(block, shares, chosen)
        if owner is None:
            return None
        rows = self._list_candidates(owner, chosen)
        if not rows:
            return None
        gaps = self._gaps[owner]
        victim = min(rows, key=lambda row: self._value(row, gaps, now))
        if owner == block.workspace:
            # Within one workspace, a block must be worth no less than the
            # block that it replaces.
            value = self._value(block, gaps, now)
            if self._value(victim, gaps, now) > value:
                return None
        return victim

    def _get_most_over_share(self, block, shares, chosen):
        best, most = None, 0.0
        for name, used in self._used.items():
            if not used:
                continue
            evicted = sum(
                self.blocks[key].bytes
                for key in chosen
                if self.blocks[key].workspace == name
            )
            own_bytes = block.bytes if name == block.workspace else 0
            over = (
                used
                - evicted
                + own_bytes
                - shares.get(name, 0.0) * self.capacity
            )
            if over > most:
                best, most = name, over
        return best

    def _list_candidates(self, owner, chosen):
        # Only the least recently used blocks are compared: a full search
        # for each block would cost more than the better choice saves.
        rows = []
        for key in self._by_workspace[owner]:
            if key not in chosen:
                rows.append(self.blocks[key])
            if len(rows) >= MAX_CANDIDATES:
                break
        return rows
