"""Frees what is of no use any more in the stores of kept context.

Parts of replaced weights any box that follows the stores itself may free, and
it does no harm if several do: they look at different moments, so mostly the
first one does all.  Parts that broke off one box frees, the store's owner
among the boxes that are heard, right after it has read the store's whole
list; it tells the others how much of the store's room is taken.
"""

import asyncio

from landingspool.decisions.gateway import garbage
from landingspool.decisions import ownership
from landingspool.platform import boot
from landingspool.platform import runners

# Seconds between two looks, spread evenly between both.
CHECK_PERIOD_S = 0.8, 2.4
# Seconds between two whole lists of a store by its owner.  One in a hundred
# events is lost, and parts that broke off are told of in lists alone; each
# list is some ten kilobytes.
LIST_PERIOD_S = 6.0
# Seconds within which a part found broken off has to be freed: it must not
# be one that somebody writes anew.
FREE_S = 0.2


class Sweeper:
    """Frees what no request can use any more.

    Parameters
    ----------
    hub
        The box's parts: `view`, `peering`, `runners`, `heartbeat`, `recorder`,
        `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._leftovers = garbage.OldestVersions()
        self._broken = garbage.IncompleteParts()
        self._listed = {}

    async def run(self):
        """Look and free until cancelled."""
        while True:
            await asyncio.sleep(self._hub.view.rng.uniform(*CHECK_PERIOD_S))
            owned = self._list_owned()
            self._forget_rooms(owned)
            for address in self._list_due(owned):
                await self._check(address)
            for model, least in self._list_free():
                await self._free_all(model, least)

    def _list_free(self):
        """List each model and the version before which all may be freed."""
        view, now = self._hub.view, self._hub.clock()
        found = []
        for model in view.weights.named:
            least = garbage.get_oldest_version(
                model, view.fleet, view.list_services()
            )
            before = self._leftovers.record(model, least, now)
            if before is not None:
                found.append((model, before))
        return found

    async def _free_all(self, model, least):
        """Free the parts of a model's versions before one in all stores."""
        view = self._hub.view
        table = view.table
        if (
            table is None
            or self._hub.peering.pick_store_follower() is not None
        ):
            return
        for address, context_store in table.context_stores.items():
            if context_store.managed:
                await self._free(address, model, least)

    async def _free(self, address, model, least):
        """Free these parts in one store, as far as one call does."""
        view, now = self._hub.view, self._hub.clock()
        index = view.context_index.get(address)
        if index is None or not view.context_index.may_fetch(address, now):
            return
        parts = garbage.list_stale(index.cached, model, least)
        if not parts or not self._hub.heartbeat.is_fresh(now):
            return
        age_s = now - index.confirmed
        until_ms = index.clock_ms + (age_s + garbage.CALL_TIMEOUT_S) * 1000
        done = await self._hub.runners.free(
            boot.parse_address(address), index.epoch, parts, until_ms
        )
        self._hub.recorder.record(
            'swept', store=address, parts=len(parts), before=least, done=done
        )

    def _list_owned(self):
        """List the stores that this box owns among the boxes it knows."""
        table = self._hub.view.table
        if table is None:
            return []
        boxes = [self._hub.deployment.box, *self._hub.peering.peers]
        return [
            address
            for address, context_store in table.context_stores.items()
            if context_store.managed
            and ownership.find_owner(address, boxes)
            == self._hub.deployment.box
        ]

    def _forget_rooms(self, owned):
        """Tell the others no more of stores that another box owns now.

        Its count is newer, and both would be taken in by turns.
        """
        rooms = self._hub.view.rooms
        for address in [name for name in rooms if name not in owned]:
            del rooms[address]

    def _list_due(self, owned):
        """List the stores of this box whose whole list is due."""
        now = self._hub.clock()
        return [
            address
            for address in owned
            if now - self._listed.get(address, -LIST_PERIOD_S) >= LIST_PERIOD_S
        ]

    async def _check(self, address):
        """Read the whole list of a store, and free what broke off."""
        hub, context_index = self._hub, self._hub.view.context_index
        index = context_index.get(address)
        if index is None or index.clock_ms is None:
            return
        clock_ms, asked = index.clock_ms, index.confirmed
        sent = hub.clock()
        news = await hub.runners.read_list(boot.parse_address(address))
        now = hub.clock()
        if isinstance(news, runners.Unanswered) or not hub.heartbeat.is_fresh(
            now
        ):
            return
        self._listed[address] = now
        if news.epoch != index.epoch:
            # A new life: who follows the store begins it.
            return
        context_index.take(
            address, news._replace(clock_ms=clock_ms), sent, now
        )
        index = context_index.get(address)
        hub.view.rooms[address] = index.epoch, index.taken
        parts = self._broken.record(address, index, now)
        if not parts:
            return
        until_ms = clock_ms + (now - asked + FREE_S) * 1000
        done = await hub.runners.free(
            boot.parse_address(address), index.epoch, parts, until_ms
        )
        if done:
            context_index.forget_incomplete(address, parts)
        hub.recorder.record(
            'swept_broken', store=address, parts=len(parts), done=done
        )
