"""Frees the parts of replaced weights in the stores of kept context.

Any box that follows the stores itself may do it, and it does no harm if
several do: they look at different moments, so mostly the first one does all.
"""

import asyncio

from landingspool.decisions.gateway import leftovers
from landingspool.platform import boot

# Seconds between two looks, spread evenly between both.
LOOK_S = 0.8, 2.4


class Sweeper:
    """Frees what no request can use any more.

    Parameters
    ----------
    hub
        The box's parts: `view`, `peering`, `runners`, `beat`, `recorder`,
        `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._leftovers = leftovers.Leftovers()

    async def run(self):
        """Look and free until cancelled."""
        while True:
            await asyncio.sleep(self._hub.view.rng.uniform(*LOOK_S))
            for model, least in self._list_free():
                await self._free_all(model, least)

    def _list_free(self):
        """List each model and the version before which all may be freed."""
        view, now = self._hub.view, self._hub.clock()
        found = []
        for model in view.weights.named:
            least = leftovers.find_least(model, view.fleet)
            before = self._leftovers.note(model, least, now)
            if before is not None:
                found.append((model, before))
        return found

    async def _free_all(self, model, least):
        """Free the parts of a model's versions before one in all stores."""
        view = self._hub.view
        table = view.table
        if table is None or self._hub.peering.pick_reader() is not None:
            return
        for address, keeper in table.keepers.items():
            if keeper.managed:
                await self._free(address, model, least)

    async def _free(self, address, model, least):
        """Free these parts in one store, as far as one call does."""
        view, now = self._hub.view, self._hub.clock()
        index = view.warmth.get(address)
        if index is None or not view.warmth.may_fetch(address, now):
            return
        parts = leftovers.list_old(index.kept, model, least)
        if not parts or not self._hub.beat.is_fresh(now):
            return
        age_s = now - index.confirmed
        until_ms = index.clock_ms + (age_s + leftovers.ARRIVE_S) * 1000
        done = await self._hub.runners.free(
            boot.parse_address(address), index.epoch, parts, until_ms
        )
        self._hub.recorder.record(
            'swept', store=address, parts=len(parts), before=least, done=done
        )
