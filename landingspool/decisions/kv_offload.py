"""Offloading of a pool's cached context (KV cache blocks) to the stores.

This module decides which blocks to export, to offer to targets and to free,
following the retention policy.  Each write gets an identifier that is never
reused.  A block is offered only after its seal was confirmed, and withdrawn
before it is freed.  A store that fails or is full gets no writes for a
back-off time.
"""

import collections
import itertools
import typing

from landingspool.decisions import blocks
from landingspool.decisions import identity
from landingspool.decisions import retention

MAX_EXPORTS = 2
MAX_CANDIDATES = 256
MAX_REJECTED_WRITES = 4096
STORE_BACKOFF_S = 5.0
DEFAULT_BLOCK_BYTES = 65536
ORPHAN_AGE_S = 60.0


class Export(typing.NamedTuple):
    """Ask a target to write the context of one piece to a store."""

    pool: str
    workspace: str
    target: str
    incarnation: str
    key: str
    store: str
    write: str
    depth: int


class Candidate(typing.NamedTuple):
    """A piece that could be exported, with a target that has it cached."""

    work: typing.Any
    key: str
    depth: int
    target: typing.Any


class Free(typing.NamedTuple):
    """Ask a store to free a write."""

    store: str
    write: str


class Store(typing.NamedTuple):
    """State of one store.

    `capacity` is in bytes, for this pool.  The store gets no writes before
    the time `backoff_until`, in seconds.
    """

    name: str
    capacity: int
    backoff_until: float = 0.0


class OffloadPlanner:
    """Plans which context of one pool is held in the stores.

    Parameters
    ----------
    box : str
        Prefix of the identifiers of this planner's writes.
    policy : str
        Name of the retention policy.
    """

    def __init__(self, box, policy):
        self.box = box
        self.retention = retention.RetentionPlan(policy, 0)
        self.stores = {}
        self._writes = itertools.count(1)
        self._exporting = {}
        self._candidates = collections.OrderedDict()
        self._states = {}
        self._rejected = collections.OrderedDict()
        self._block_bytes = DEFAULT_BLOCK_BYTES

    def set_stores(self, stores):
        """Update from the stores in use and their capacity for this pool."""
        for name in [n for n in self.stores if n not in stores]:
            del self.stores[name]
            self.retention.drop_store(name)
        for name, capacity in stores.items():
            old = self.stores.get(name)
            backoff_until = old.backoff_until if old else 0.0
            self.stores[name] = Store(name, capacity, backoff_until)
        self.retention.capacity = sum(
            store.capacity for store in self.stores.values()
        )

    def plan(self, flight, target, directory, shares, now):
        """Plan what to export of the context of a finished request.

        Parameters
        ----------
        flight : pool.ActiveGrant
            The grant of the request, with the keys of its pieces.
        target : pool.Target or None
        directory : directory.Directory
        shares : dict of str to float
        now : float

        Returns
        -------
        list of Export or Free
        """
        for key in flight.keys:
            self.retention.record_use(key, now)
        if target is None or target.report is None:
            return []
        for depth, key in enumerate(flight.keys):
            if not directory.is_stored(key) and key not in self._exporting:
                self._candidates[key] = Candidate(
                    flight.work, key, depth, target
                )
        while len(self._candidates) > MAX_CANDIDATES:
            self._candidates.popitem(last=False)
        return self.work(directory, shares, now)

    def work(self, directory, shares, now):
        """Start exports up to the limit and return a list of actions."""
        actions = []
        while self._candidates and len(self._exporting) < MAX_EXPORTS:
            _, candidate = self._candidates.popitem(last=False)
            if not directory.is_stored(candidate.key):
                actions += self._start_export(
                    candidate, directory, shares, now
                )
        return actions

    def sealed(self, key, block, directory, workspace):
        """Record the confirmed seal of a write and offer its block."""
        self._exporting.pop(key, None)
        if key not in self.retention.blocks:
            return [Free(block.store, block.write)]
        state = blocks.advance(blocks.State.WRITING, 'seal')
        self._states[key] = blocks.advance(state, 'offer')
        self._block_bytes = block.length
        directory.record_stored(workspace, block, identity.PIECE_TOKENS)
        return []

    def failed(self, key, store, now):
        """Record a failed write; nothing of it has been offered."""
        self._exporting.pop(key, None)
        self.retention.drop(key)
        known = self.stores.get(store)
        if known is not None:
            self.stores[store] = known._replace(
                backoff_until=now + STORE_BACKOFF_S
            )
        return []

    def reject(self, failed):
        """Free blocks that failed a check, and never adopt them again."""
        for block in failed:
            self.retention.drop(block.key)
            self._states.pop(block.key, None)
            self._rejected[block.write] = True
        while len(self._rejected) > MAX_REJECTED_WRITES:
            self._rejected.popitem(last=False)
        return [Free(block.store, block.write) for block in failed]

    def adopt(self, listing, directory, now):
        """Adopt the blocks of a store's listing, as after a restart.

        Sealed blocks are offered again.  An unsealed write is freed if it is
        too old to be still in progress.
        """
        actions = []
        for row in listing:
            if row.block.write in self._rejected:
                continue
            if row.sealed and self._is_unplanned(row.block, directory):
                actions += self._adopt_block(row, directory, now)
            elif not row.sealed and row.age > ORPHAN_AGE_S:
                actions.append(Free(row.block.store, row.block.write))
        return actions

    def _is_unplanned(self, block, directory):
        """Return whether a sealed block is not offered, or not planned for.

        The plan drops the blocks of a store that doesn't answer.  It may
        only have been silent, and then holds them still.
        """
        stored = directory.get_stored(block.key)
        if stored is None:
            return True
        is_planned = block.key in self.retention.blocks
        return stored.block.write == block.write and not is_planned

    def _adopt_block(self, row, directory, now):
        retained = retention.RetainedBlock(
            key=row.block.key,
            workspace=row.workspace,
            store=row.block.store,
            bytes=row.block.length,
            cost_s=row.cost_s,
            used=now - row.age,
            returns=0,
            depth=row.depth,
        )
        accepted, evicted = self.retention.add(retained, {}, now)
        if not accepted:
            directory.record_freed([row.block.key])
            return [Free(row.block.store, row.block.write)]
        self._states[row.block.key] = blocks.State.OFFERED
        directory.record_stored(
            row.workspace, row.block, identity.PIECE_TOKENS
        )
        return self._evict(evicted, directory)

    def _start_export(self, candidate, directory, shares, now):
        if not self._list_available(now) or candidate.target.report is None:
            return []
        retained = retention.RetainedBlock(
            key=candidate.key,
            workspace=candidate.work.workspace,
            store='',
            bytes=self._block_bytes,
            cost_s=identity.PIECE_TOKENS / candidate.target.report.prefill,
            used=now,
            returns=0,
            depth=candidate.depth,
        )
        accepted, evicted = self.retention.add(retained, shares, now)
        if not accepted:
            return []
        actions = self._evict(evicted, directory)
        store = self._pick_store(now)
        self.retention.assign_store(candidate.key, store)
        write = f'{self.box}.{next(self._writes)}.{candidate.key[:8]}'
        self._exporting[candidate.key] = store
        self._states[candidate.key] = blocks.State.WRITING
        export = Export(
            pool=candidate.work.pool,
            workspace=candidate.work.workspace,
            target=candidate.target.member.name,
            incarnation=candidate.target.incarnation,
            key=candidate.key,
            store=store,
            write=write,
            depth=candidate.depth,
        )
        return [*actions, export]

    def _list_available(self, now):
        return [s for s in self.stores.values() if s.backoff_until <= now]

    def _pick_store(self, now):
        # The store with the most free capacity: the plan covers all stores
        # together, and a write to a full one would fail.
        def rank(store):
            return self.retention.get_stored_bytes(
                store.name
            ) - store.capacity, store.name

        return min(self._list_available(now), key=rank).name

    def _evict(self, evicted, directory):
        actions = []
        for retained in evicted:
            # Withdrawn first, then freed: a reader that has started already
            # finds the seal removed and recomputes the context.
            stored = directory.get_stored(retained.key)
            directory.record_freed([retained.key])
            self._states.pop(retained.key, None)
            if stored is not None:
                actions.append(Free(stored.block.store, stored.block.write))
        return actions


class Listed(typing.NamedTuple):
    """One write in a store's listing; its `age` is in seconds."""

    block: typing.Any
    workspace: str
    sealed: bool
    age: float
    cost_s: float
    depth: int
