"""Learns what targets and stores keep, from their cache events.

One call a second to each: a call that waits less than a fifth of a second
has the price of a probe, and under load there is always something new.
In a large fleet two boxes of a domain ask the stores, and the others ask
these for what is new.  Whole lists they ask of the stores themselves: lists
are megabytes, and would fill the link of the one box that all others ask.
Targets are not asked at all there, since all boxes agree on the home of a
prompt and each target would be asked by every box.
"""

import asyncio

import cbor2
import msgspec

from landingspool.decisions.gateway import context_index
from landingspool.gateway import boxcalls
from landingspool.platform import boot
from landingspool.platform import runners

# Pause between two calls to one target, seconds.
PERIOD_S = 1.0
# Stores are asked more often: what they hold is offered to requests only
# shortly after their word.
STORE_PERIOD_S = 0.6
# Seconds for which a call is held where there is nothing new.
HOLD_S = 0.6
# Pause after a call that failed, and the least after one that did not,
# seconds.
FAILED_S = 0.5
LEAST_PAUSE_S = 0.05
# Pause before lists that could not be had are asked for again, seconds: a
# store answers few calls at once, and all boxes may have started together.
AGAIN_S = 0.1, 0.4
# Lists that a box that starts reads at once.  One after the other it took 15
# of them 2 s, while every prompt was read anew (71 boxes that start together).
LISTS_AT_ONCE = 4
# What came of asking another box.
FOLLOWED = 'followed'
LISTED = 'listed'
MISSING = 'missing'
# Boxes up to which every box asks every target.
MOST_BOXES = 12
CHANGES_PATH = '/changes'
# Seconds for the answer of another box.
ANSWER_S = 0.8
# Characters of a reason that are logged.
MOST_REASON = 200
# How often the list of those to be followed is looked through, seconds, and
# how often before any table is known.  After a start all is cold: in half a
# second without stores 23,000 to 58,000 tokens were read again (three days).
LOOK_S = 0.5
FIRST_LOOK_S = 0.05


class CacheFollower:
    """Follows every engine and every store of kept context.

    Parameters
    ----------
    hub
        The box's parts.
    """

    def __init__(self, hub):
        self._hub = hub
        self._tasks = {}

    async def run(self):
        """Follow until cancelled."""
        try:
            while True:
                peer = self._hub.peering.pick_store_follower()
                if peer is None:
                    wanted = self._list_wanted()
                    self._adapt(wanted)
                    await asyncio.sleep(LOOK_S if wanted else FIRST_LOOK_S)
                elif self._hub.view.table is None:
                    await asyncio.sleep(FIRST_LOOK_S)
                else:
                    self._adapt({})
                    outcome = await self._ask_peer(peer)
                    await asyncio.sleep(self._find_pause(outcome))
        finally:
            self._adapt({})

    def _list_wanted(self):
        """Give the address and period of each one to be followed."""
        table = self._hub.view.table
        if table is None:
            return {}
        wanted = {}
        for address in table.context_stores:
            wanted[address] = boot.parse_address(address), STORE_PERIOD_S
        if len(self._hub.peering.peers) >= MOST_BOXES:
            return wanted
        for entry in self._hub.view.fleet.entries.values():
            service = table.services.get(entry.service)
            if not self._hub.view.bars.may_call(entry, self._hub.clock()):
                continue
            if service is not None and service.engine is not None:
                wanted[entry.name] = entry.address, PERIOD_S
        return wanted

    def _adapt(self, wanted):
        for name in [name for name in self._tasks if name not in wanted]:
            self._tasks.pop(name).cancel()
        for name, (address, period_s) in wanted.items():
            task = self._tasks.get(name)
            if task is None or task.done():
                work = self._follow(name, address, period_s)
                self._tasks[name] = asyncio.ensure_future(work)

    async def _follow(self, name, address, period_s):
        # A box that was told of a store by another one goes on from there.
        whole = self._hub.view.context_index.get(name) is None
        while True:
            sent = self._hub.clock()
            if whole:
                news = await self._hub.runners.read_list(address)
            else:
                news = await self._read_events(name, address)
            now = self._hub.clock()
            if isinstance(news, runners.Unanswered):
                await asyncio.sleep(FAILED_S)
                continue
            whole = self._take(name, news, sent, now)
            # After a list its clock is still missing: no pause.
            if not whole and not news.whole:
                pause = max(period_s - (now - sent), LEAST_PAUSE_S)
                await asyncio.sleep(pause)

    def _take(self, name, news, sent, now):
        """Take in news; tells whether the whole list is needed."""
        known = self._hub.view.context_index
        index = known.get(name)
        again = known.take(name, news, sent, now)
        if index is None or index.epoch != news.epoch:
            self._hub.recorder.record(
                'cache_epoch', target=name, epoch=news.epoch
            )
        return again

    async def _read_events(self, name, address):
        index = self._hub.view.context_index.get(name)
        since = index.next if index is not None else 0
        # A list tells no clock, and without one nothing may be offered.
        known = index is not None and index.clock_ms is not None
        hold_s = HOLD_S if known else 0.0
        return await self._hub.runners.read_events(address, since, hold_s)

    def _find_pause(self, outcome):
        if outcome == MISSING:
            return self._hub.view.rng.uniform(*AGAIN_S)
        return STORE_PERIOD_S if outcome == FOLLOWED else LEAST_PAUSE_S

    async def _ask_peer(self, peer):
        """Ask a box that follows the stores what is new at all of them.

        Returns
        -------
        str
            FOLLOWED where nothing was missing, LISTED where whole lists were
            read, whose clock the next answer brings, MISSING where one could
            not be had.
        """
        stores = self._hub.view.table.context_stores
        sent = self._hub.clock()
        found = await self._fetch_changes(peer, stores)
        if found is None:
            # It may have started with this box: the lists need no other box.
            found = {}
            stores = [n for n in stores if not self._is_known(n)]
        for name, news in found.items():
            if not news.lost:
                self._take(name, news, sent, self._hub.clock())
        missing = [n for n in stores if n not in found or found[n].lost]
        if not missing:
            return FOLLOWED
        self._hub.view.rng.shuffle(missing)
        return LISTED if await self._read_lists(missing) else MISSING

    def _is_known(self, name):
        return self._hub.view.context_index.get(name) is not None

    async def _read_lists(self, names):
        """Read whole lists, some at a time; tells whether all were had."""
        read = []
        for start in range(0, len(names), LISTS_AT_ONCE):
            some = names[start : start + LISTS_AT_ONCE]
            read += await asyncio.gather(*map(self._read_list, some))
        return all(read)

    async def _fetch_changes(self, peer, stores):
        """Fetch the CacheUpdate of another box by store; None: it gave no answer."""
        known = self._hub.view.context_index
        wanted = {name: known.get_position(name) for name in stores}
        try:
            return await boxcalls.ask(
                self._hub,
                peer,
                dict[str, context_index.CacheUpdate],
                ('POST', CHANGES_PATH),
                cbor2.dumps(wanted),
                timeout=ANSWER_S,
            )
        except boxcalls.NoAnswer as error:
            reason = str(error)[:MOST_REASON]
            self._hub.recorder.record('no_state', reason=reason)
            return None

    async def _read_list(self, name):
        """Read the whole list of a store; tells whether it could be had."""
        sent = self._hub.clock()
        news = await self._hub.runners.read_list(boot.parse_address(name))
        if isinstance(news, runners.Unanswered):
            self._hub.recorder.record(
                'store_down', store=name, reason=news.reason
            )
            return False
        self._take(name, news, sent, self._hub.clock())
        return True

    async def answer_changes(self, request, exchange):
        """Answer another box: what is new at each store."""
        try:
            wanted = msgspec.convert(
                cbor2.loads(request.body), dict[str, tuple[int, int]]
            )
        except (cbor2.CBORError, msgspec.ValidationError) as error:
            self._hub.recorder.record('bad_message', reason=str(error))
            await exchange.send_json(400, {'error': 'not understood'})
            return
        known, now = self._hub.view.context_index, self._hub.clock()
        found = {n: known.tell(n, *place, now) for n, place in wanted.items()}
        told = {n: news for n, news in found.items() if news is not None}
        await boxcalls.answer(exchange, msgspec.to_builtins(told))
