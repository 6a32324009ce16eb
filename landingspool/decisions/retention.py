"""What context to keep: registered policies, one function each.

A store has far less room than there are prompts that may return.  `value`
keeps what saves most for its space: the time to compute the context again,
times the chance that it is wanted again, by the bytes that it takes.  The
chance comes from a histogram of return gaps for each workspace.  Each
workspace has its share of the room; idle share is lent out and taken back.
"""

import bisect
import collections
import math
import typing

GAP_BOUNDS_S = tuple(15.0 * 2**power for power in range(16))
GAP_FORGETTING = 0.999
PRIOR_RETURNS = 1.0
PRIOR_KEPT = 2.0
CANDIDATES = 64

POLICIES = {}


class Kept(typing.NamedTuple):
    """One kept block as the policies see it."""

    key: str
    workspace: str
    store: str
    bytes: int
    cost_s: float
    used: float
    returns: int
    depth: int


def policy(name):
    """Register a policy that gives the value of a kept block."""

    def add(function):
        POLICIES[name] = function
        return function

    return add


class Gaps:
    """Histogram of the gaps after which the prompts of a workspace return.

    Old gaps are forgotten bit by bit, so that it follows its users.
    """

    def __init__(self):
        self._counts = [0.0] * (len(GAP_BOUNDS_S) + 1)
        self._ended = 0.0

    def record_return(self, gap):
        """Count a prompt that returned after `gap` seconds."""
        self._forget()
        self._counts[bisect.bisect_left(GAP_BOUNDS_S, gap)] += 1

    def record_ended(self):
        """Count a prompt that was given up without a return."""
        self._forget()
        self._ended += 1

    def estimate_return(self, age):
        """Estimate the rate of return of a prompt that waits for `age`.

        Returns
        -------
        float
            Chance a second, over the bucket of gaps that `age` is in.

        Notes
        -----
        This is the hazard rate: of all that waited as long, the part that
        returned within the bucket, by the bucket's width.
        """
        index = bisect.bisect_left(GAP_BOUNDS_S, age)
        later = sum(self._counts[index:]) + self._ended + PRIOR_KEPT
        low = GAP_BOUNDS_S[index - 1] if index else 0.0
        high = GAP_BOUNDS_S[min(index, len(GAP_BOUNDS_S) - 1)]
        width = high - low if high > low else GAP_BOUNDS_S[-1]
        count = self._counts[index] + PRIOR_RETURNS / len(self._counts)
        return count / later / width

    def _forget(self):
        self._counts = [count * GAP_FORGETTING for count in self._counts]
        self._ended *= GAP_FORGETTING


@policy('lru')
def value_by_use(kept, gaps, now):
    """Value by the time of the last use: the baseline."""
    return kept.used


@policy('value')
def value_for_space(kept, gaps, now):
    """Value by the time saved for the space taken.

    A piece deep in a prompt is worth nothing without those before it, so
    of two pieces of one prompt the later goes first.
    """
    rate = gaps.estimate_return(max(now - kept.used, 0.0))
    shared = 1.0 + math.log1p(kept.returns)
    return rate * shared * kept.cost_s / kept.bytes / (1 + 0.01 * kept.depth)


class Shelf:
    """The plan for the room of the stores: what is kept and what goes.

    Parameters
    ----------
    policy : str
        Name of a registered policy.
    room : int
        Bytes of room in all stores that are in use.
    """

    def __init__(self, policy, room):
        self._value = POLICIES[policy]
        self.room = room
        self.kept = {}
        self._used = collections.Counter()
        self._gaps = collections.defaultdict(Gaps)
        self._total = 0
        self._by_store = collections.Counter()
        self._by_workspace = collections.defaultdict(collections.OrderedDict)

    def record_use(self, key, now):
        """Note that a block was wanted again; learns its return gap."""
        kept = self.kept.get(key)
        if kept is None:
            return
        if now > kept.used:
            self._gaps[kept.workspace].record_return(now - kept.used)
        again = kept._replace(used=now, returns=kept.returns + 1)
        self.kept[key] = again
        self._by_workspace[kept.workspace].move_to_end(key)

    def add(self, kept, shares, now):
        """Keep a block; returns the blocks that have to go for it.

        Parameters
        ----------
        kept : Kept
        shares : dict of str to float
            Share of the room of each workspace.
        now : float

        Returns
        -------
        tuple of (bool, list of Kept)
            Whether the block is kept, and what goes.  Nothing goes for a
            block that is not kept.
        """
        if kept.key in self.kept or kept.bytes > self.room:
            return kept.key in self.kept, []
        gone = []
        need = self._total + kept.bytes - self.room
        passed = set()
        while need > 0:
            victim = self._find_victim(kept, shares, passed, now)
            if victim is None:
                return False, []
            gone.append(victim)
            passed.add(victim.key)
            need -= victim.bytes
        for victim in gone:
            self._gaps[victim.workspace].record_ended()
            self.drop(victim.key)
        self.kept[kept.key] = kept
        self._by_workspace[kept.workspace][kept.key] = True
        self._used[kept.workspace] += kept.bytes
        self._by_store[kept.store] += kept.bytes
        self._total += kept.bytes
        return True, gone

    def place(self, key, store):
        """Say in which store a block is, once that is chosen."""
        kept = self.kept[key]
        self._by_store[kept.store] -= kept.bytes
        self._by_store[store] += kept.bytes
        self.kept[key] = kept._replace(store=store)

    def count_stored(self, store):
        """Give the bytes that the plan has in a store."""
        return self._by_store[store]

    def drop(self, key):
        """Take a block out of the plan; returns it or None."""
        kept = self.kept.pop(key, None)
        if kept is not None:
            self._used[kept.workspace] -= kept.bytes
            self._by_store[kept.store] -= kept.bytes
            self._total -= kept.bytes
            del self._by_workspace[kept.workspace][key]
        return kept

    def drop_store(self, store):
        """Take out all blocks of a store that has died."""
        keys = [key for key, row in self.kept.items() if row.store == store]
        return [self.drop(key) for key in keys]

    def get_used(self, workspace):
        """Give the bytes that a workspace uses."""
        return self._used[workspace]

    def _find_victim(self, kept, shares, passed, now):
        # Room is taken back first from the workspace that is furthest
        # over its share, so a workspace inside its share never loses a
        # block to another one.
        owner = self._find_most_over(kept, shares, passed)
        if owner is None:
            return None
        rows = self._list_candidates(owner, passed)
        if not rows:
            return None
        gaps = self._gaps[owner]
        victim = min(rows, key=lambda row: self._value(row, gaps, now))
        if owner == kept.workspace:
            # Among its own, a block has to be worth more than what goes.
            value = self._value(kept, gaps, now)
            if self._value(victim, gaps, now) > value:
                return None
        return victim

    def _find_most_over(self, kept, shares, passed):
        best, most = None, 0.0
        for name, used in self._used.items():
            if not used:
                continue
            gone = sum(
                self.kept[key].bytes
                for key in passed
                if self.kept[key].workspace == name
            )
            mine = kept.bytes if name == kept.workspace else 0
            over = used - gone + mine - shares.get(name, 0.0) * self.room
            if over > most:
                best, most = name, over
        return best

    def _list_candidates(self, owner, passed):
        # The least recently used are looked at; a full search at each
        # block would cost more than what the better choice is worth.
        rows = []
        for key in self._by_workspace[owner]:
            if key not in passed:
                rows.append(self.kept[key])
            if len(rows) >= CANDIDATES:
                break
        return rows
