"""Free KV cache parts in the stores that no request can use any more.

Parts of replaced weights may be freed by any box that follows the stores
itself, also by one that is cut off from the others: when they may be freed
follows from the publication of the newer weights.  If several boxes do so it
is harmless; they check at different times, so mostly the first one frees all.
Parts of namespaces that no request uses any more (walls.py) are freed in the
same way, by boxes with a recent proof of the table.

Abandoned parts, whose write was never completed and no longer advances, are
freed by one box only: the owner of the store among the boxes that are known.
The owner does so right after it has read the complete list of the store, and
reports to the others how much of the store's capacity is taken.  A box that
lacks a recent proof of the table may know the other boxes as little, and frees
none.
"""

import asyncio
import collections

from landingspool.decisions.gateway import garbage
from landingspool.decisions.gateway import readers
from landingspool.decisions import ownership
from landingspool import http
from landingspool.platform import runners

# Range of the seconds between two checks, spread evenly.
CHECK_PERIOD_S = 0.8, 2.4
# Seconds between two complete lists that the owner reads of a store.  One in a
# hundred events is lost, and abandoned parts are reported in lists only.  Each
# list is some ten kilobytes.
LIST_PERIOD_S = 6.0
# Seconds within which an abandoned part must be freed after it is found.
# After that, a target may be writing it again.
FREE_WITHIN_S = 0.2


class Sweeper:
    """Free what no request can use any more.

    Parameters
    ----------
    hub
        The box's parts: `view`, `peering`, `runners`, `timer`, `recorder`,
        `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._versions = garbage.KnownVersions()
        self._abandoned = garbage.IncompleteParts()
        self._listed = {}
        # When a box of an earlier build may last have run.
        self._earlier_at = hub.clock()

    async def run(self):
        """Check and free until cancelled."""
        while True:
            await asyncio.sleep(self._hub.view.rng.uniform(*CHECK_PERIOD_S))
            await self.check()

    async def check(self):
        """Check all stores once, and free what may be freed."""
        owned = self._list_owned()
        self._drop_unowned_counts(owned)
        for address in self._list_due_stores(owned):
            await self._check_abandoned(address)
        followed = self._list_followed()
        for model, min_version in self._list_garbage():
            for address in followed:
                await self._free_stale(address, model, min_version)
        since = self._find_unbroken_since()
        if since is not None:
            for address in followed:
                await self._free_unused(address, since)

    def _list_followed(self):
        """List the stores that this box follows itself."""
        table = self._hub.view.table
        if (
            table is None
            or self._hub.peering.pick_store_follower() is not None
        ):
            return []
        return [
            address
            for address, store in table.context_stores.items()
            if store.managed
        ]

    def _list_garbage(self):
        """List models, each with the version before which all is garbage."""
        view, now = self._hub.view, self._hub.clock()
        wait_s = garbage.compute_wait(view.weights.bound_s)
        found = []
        for model, named in view.weights.named.items():
            self._versions.record(model, named.version, now)
            replacing = self._versions.find_replacing(model, wait_s, now)
            in_use = garbage.get_oldest_version(
                model, view.fleet, view.list_services()
            )
            if replacing is not None and in_use is not None:
                # A box that does not know of the newer weights may still send
                # requests to a target that has older ones.
                found.append((model, min(replacing, in_use)))
        return found

    def _find_unbroken_since(self):
        """Return the time since which all tables are known here, or None.

        None if that is not as long ago as parts may be offered by boxes with
        an older table.
        """
        view, now = self._hub.view, self._hub.clock()
        if self._hub.peering.has_earlier_namespaces():
            self._earlier_at = now
        since = now - garbage.compute_wait(view.weights.bound_s)
        return since if view.proof.is_unbroken(since, now) else None

    async def _free_stale(self, address, model, min_version):
        """Free parts of versions before `min_version` in one store."""
        freed = await self._free(
            address,
            lambda cached: garbage.list_stale(cached, model, min_version),
        )
        if freed is not None:
            self._hub.recorder.record(
                'swept',
                before=min_version,
                versions=self._count_versions(model),
                **freed,
            )

    async def _free_unused(self, address, since):
        """Free parts in one store that no table since a time gives to use."""
        walls, is_alone = self._hub.view.walls, self._earlier_at <= since
        found = []

        def pick(cached):
            spaces = {space for space, _ in cached}
            found.extend(walls.list_unused(sorted(spaces), since, is_alone))
            return garbage.list_parts(cached, set(found))

        freed = await self._free(address, pick)
        if freed is not None:
            self._hub.recorder.record('swept_unused', spaces=found, **freed)

    async def _free(self, address, pick):
        """Free parts in one store, as many as one call frees.

        Parameters
        ----------
        pick : callable
            Returns the parts among those that are cached.

        Returns
        -------
        dict or None
            What was done, for the log; None if there was nothing to free.
        """
        view, now = self._hub.view, self._hub.clock()
        index = view.context_index.get(address)
        if index is None or not view.context_index.may_fetch(address, now):
            return None
        parts = pick(index.cached)
        if not parts or not self._hub.timer.ran_since(index.confirmed):
            return None
        age_s = now - index.confirmed
        until_ms = index.clock_ms + (age_s + garbage.CALL_TIMEOUT_S) * 1000
        done = await self._hub.runners.free(
            http.parse_address(address), index.epoch, parts, until_ms
        )
        if done:
            view.context_index.forget_parts(address, index.epoch, parts)
        return {
            'store': address,
            'parts': len(parts),
            'done': done,
            'until_ms': int(until_ms),
            'index_s': round(age_s, 3),
            'proof_s': view.proof.age_to_log(now),
        }

    def _count_versions(self, model):
        """Return how many known targets of a model have each version."""
        fleet = self._hub.view.fleet
        services = self._hub.view.list_services()
        return collections.Counter(
            str(fleet.get_version(entry.name, model))
            for entry in fleet.list_model(model, services)
        )

    def _list_owned(self):
        """List the stores that this box owns among the known boxes."""
        table = self._hub.view.table
        if table is None:
            return []
        boxes = [self._hub.deployment.box, *self._hub.peering.peers]
        return [
            address
            for address, store in table.context_stores.items()
            if store.managed
            and ownership.get_owner(address, boxes) == self._hub.deployment.box
        ]

    def _drop_unowned_counts(self, owned):
        """Stop reporting the stores that another box owns now.

        The count of the new owner is newer; peers would apply both in turn.
        """
        store_usage = self._hub.view.store_usage
        for address in [name for name in store_usage if name not in owned]:
            del store_usage[address]

    def _is_out_of_touch(self, now):
        """Return whether this box may not know the other boxes any more."""
        ages = self._hub.peering.ages
        proof_s = self._hub.view.proof.age(now)
        return readers.is_stale(proof_s, ages.hold_s, ages.old_s)

    def _list_due_stores(self, owned):
        """List the owned stores whose complete list is due."""
        now = self._hub.clock()
        return [
            address
            for address in owned
            if now - self._listed.get(address, -LIST_PERIOD_S) >= LIST_PERIOD_S
        ]

    async def _check_abandoned(self, address):
        """Read the complete list of a store and free abandoned parts."""
        hub, context_index = self._hub, self._hub.view.context_index
        index = context_index.get(address)
        if index is None or index.clock_ms is None:
            return
        clock_ms, asked = index.clock_ms, index.confirmed
        sent = hub.clock()
        updates = await hub.runners.read_list(http.parse_address(address))
        now = hub.clock()
        if isinstance(updates, runners.Unanswered) or not hub.timer.ran_since(
            sent
        ):
            return
        self._listed[address] = now
        index = context_index.get(address)
        if updates.epoch != index.epoch or updates.next < index.next:
            # The store has restarted, whose follower applies the new epoch; or
            # the follower knows more than the list: an incomplete part in it
            # may be complete by now.
            return
        context_index.take(
            address, updates._replace(clock_ms=clock_ms), sent, now
        )
        index = context_index.get(address)
        hub.view.store_usage[address] = index.epoch, index.taken
        parts = self._abandoned.record(address, index, now)
        if not parts:
            return
        self._abandoned.forget(address, parts)
        if self._is_out_of_touch(now):
            return
        until_ms = clock_ms + (now - asked + FREE_WITHIN_S) * 1000
        done = await hub.runners.free(
            http.parse_address(address), index.epoch, parts, until_ms
        )
        if done:
            context_index.forget_incomplete(address, parts)
        hub.recorder.record(
            'swept_broken', store=address, parts=len(parts), done=done
        )
