"""The keeper of one pool's context: what to export, to free, to offer.

It turns the retention policy's choice into steps with the stores.  A write
gets an identity that is never used again; a block is offered only after
its seal was confirmed, taken off the offer before it is freed, and a store
that fails or is full is left alone for a time.
"""

import collections
import itertools
import typing

from landingspool.decisions import blocks
from landingspool.decisions import identity
from landingspool.decisions import retention

MOST_EXPORTS = 2
MOST_WISHES = 256
MOST_REJECTED = 4096
STORE_REST_S = 5.0
DEFAULT_BLOCK_BYTES = 65536
ORPHAN_S = 60.0


class Export(typing.NamedTuple):
    """Ask a target to write a piece of context to a store."""

    pool: str
    workspace: str
    target: str
    incarnation: str
    key: str
    store: str
    write: str
    depth: int


class Wish(typing.NamedTuple):
    """A piece that may be worth keeping, at a target that has it now."""

    work: typing.Any
    key: str
    depth: int
    target: typing.Any


class Free(typing.NamedTuple):
    """Ask a store to free a write."""

    store: str
    write: str


class Store(typing.NamedTuple):
    """What is known of one store."""

    name: str
    room: int
    until: float = 0.0


class Keeper:
    """Plans the kept context of one pool.

    Parameters
    ----------
    box : str
    policy : str
        Name of the retention policy.
    """

    def __init__(self, box, policy):
        self.box = box
        self.shelf = retention.Shelf(policy, 0)
        self.stores = {}
        self._writes = itertools.count(1)
        self._exporting = {}
        self._wishes = collections.OrderedDict()
        self._states = {}
        self._rejected = collections.OrderedDict()
        self._block_bytes = DEFAULT_BLOCK_BYTES

    def set_stores(self, stores):
        """Take in the stores in use and their room for this pool."""
        for name in [n for n in self.stores if n not in stores]:
            del self.stores[name]
            self.shelf.drop_store(name)
        for name, room in stores.items():
            old = self.stores.get(name)
            until = old.until if old else 0.0
            self.stores[name] = Store(name, room, until)
        self.shelf.room = sum(store.room for store in self.stores.values())

    def plan(self, flight, target, directory, shares, now):
        """Plan what to keep of a finished request.

        Parameters
        ----------
        flight : pool.ActiveGrant
            Its grant, with the names of its pieces.
        target : pool.Target or None
        directory : directory.Directory
        shares : dict of str to float
        now : float

        Returns
        -------
        list of Export or Free
        """
        for key in flight.keys:
            self.shelf.record_use(key, now)
        if target is None or target.report is None:
            return []
        for depth, key in enumerate(flight.keys):
            if not directory.is_stored(key) and key not in self._exporting:
                self._wishes[key] = Wish(flight.work, key, depth, target)
        while len(self._wishes) > MOST_WISHES:
            self._wishes.popitem(last=False)
        return self.work(directory, shares, now)

    def work(self, directory, shares, now):
        """Begin the exports that there is room for; returns actions."""
        actions = []
        while self._wishes and len(self._exporting) < MOST_EXPORTS:
            _, wish = self._wishes.popitem(last=False)
            if not directory.is_stored(wish.key):
                actions += self._keep(wish, directory, shares, now)
        return actions

    def sealed(self, key, block, directory, workspace):
        """Take in the confirmed seal of a write: offer it from now on."""
        self._exporting.pop(key, None)
        if key not in self.shelf.kept:
            return [Free(block.store, block.write)]
        state = blocks.advance(blocks.State.WRITING, 'seal')
        self._states[key] = blocks.advance(state, 'offer')
        self._block_bytes = block.length
        directory.record_stored(workspace, block, identity.PIECE_TOKENS)
        return []

    def failed(self, key, store, now):
        """Take in that a write failed: nothing of it was offered."""
        self._exporting.pop(key, None)
        self.shelf.drop(key)
        known = self.stores.get(store)
        if known is not None:
            self.stores[store] = known._replace(until=now + STORE_REST_S)
        return []

    def reject(self, failed):
        """Free blocks that failed a check; they are not adopted again."""
        for block in failed:
            self.shelf.drop(block.key)
            self._states.pop(block.key, None)
            self._rejected[block.write] = True
        while len(self._rejected) > MOST_REJECTED:
            self._rejected.popitem(last=False)
        return [Free(block.store, block.write) for block in failed]

    def adopt(self, listing, directory, now):
        """Take in a store's listing, as a keeper that has just begun.

        Sealed blocks are offered again; a write that was never sealed and
        that nobody can still be writing is freed.
        """
        actions = []
        for row in listing:
            if row.block.write in self._rejected:
                continue
            if row.sealed and not directory.is_stored(row.block.key):
                actions += self._adopt_block(row, directory, now)
            elif not row.sealed and row.age > ORPHAN_S:
                actions.append(Free(row.block.store, row.block.write))
        return actions

    def _adopt_block(self, row, directory, now):
        kept = retention.Kept(
            key=row.block.key,
            workspace=row.workspace,
            store=row.block.store,
            bytes=row.block.length,
            cost_s=row.cost_s,
            used=now - row.age,
            returns=0,
            depth=row.depth,
        )
        room, gone = self.shelf.add(kept, {}, now)
        if not room:
            return [Free(row.block.store, row.block.write)]
        self._states[row.block.key] = blocks.State.OFFERED
        directory.record_stored(
            row.workspace, row.block, identity.PIECE_TOKENS
        )
        return self._evict(gone, directory)

    def _keep(self, wish, directory, shares, now):
        if not self._list_rested(now) or wish.target.report is None:
            return []
        kept = retention.Kept(
            key=wish.key,
            workspace=wish.work.workspace,
            store='',
            bytes=self._block_bytes,
            cost_s=identity.PIECE_TOKENS / wish.target.report.prefill,
            used=now,
            returns=0,
            depth=wish.depth,
        )
        room, gone = self.shelf.add(kept, shares, now)
        if not room:
            return []
        actions = self._evict(gone, directory)
        store = self._pick_store(now)
        self.shelf.place(wish.key, store)
        write = f'{self.box}.{next(self._writes)}.{wish.key[:8]}'
        self._exporting[wish.key] = store
        self._states[wish.key] = blocks.State.WRITING
        export = Export(
            pool=wish.work.pool,
            workspace=wish.work.workspace,
            target=wish.target.member.name,
            incarnation=wish.target.incarnation,
            key=wish.key,
            store=store,
            write=write,
            depth=wish.depth,
        )
        return [*actions, export]

    def _list_rested(self, now):
        return [s for s in self.stores.values() if s.until <= now]

    def _pick_store(self, now):
        # The one with the most room left: the plan is over all stores,
        # and a write to a full one would fail.
        def rank(store):
            return self.shelf.count_stored(store.name) - store.room, store.name

        return min(self._list_rested(now), key=rank).name

    def _evict(self, gone, directory):
        actions = []
        for kept in gone:
            # First off the offer, then freed: a reader that is under way
            # finds the seal gone and computes the context again.
            stored = directory.get_stored(kept.key)
            directory.record_freed([kept.key])
            self._states.pop(kept.key, None)
            if stored is not None:
                actions.append(Free(stored.block.store, stored.block.write))
        return actions


class Listed(typing.NamedTuple):
    """One write in a store's listing."""

    block: typing.Any
    workspace: str
    sealed: bool
    age: float
    cost_s: float
    depth: int
