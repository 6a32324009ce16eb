"""Track what targets and stores have cached, from their cache events.

Each target and store gets about one call a second, and not a call after each
answer: a call that waits less than a fifth of a second costs as much as a
probe, and under load there is always something new.

In a large fleet two boxes of a domain ask the stores, and the others ask
these two for updates.  Complete lists are read from the stores themselves:
lists are megabytes, and would fill the link of the one box that all others
ask.  Targets are not asked at all in a large fleet: all boxes agree on the
preferred target of a prompt, so each target would be asked by every box.
"""

import asyncio
import functools

import cbor2
import msgspec

from landingspool.decisions import decoding
from landingspool.decisions.gateway import context_index
from landingspool.gateway import boxcalls
from landingspool import http
from landingspool.platform import runners

# Pause between two calls to one target, seconds.
TARGET_PERIOD_S = 1.0
# Pause between two calls to one store, seconds.  Stores are asked more often,
# since what they hold is offered to requests only shortly after their answer.
STORE_PERIOD_S = 0.6
# Seconds for which a call is held if there is nothing new.
HOLD_S = 0.6
# Pause after a call that failed, and the minimum after one that succeeded,
# seconds.
RETRY_PAUSE_S = 0.5
MIN_PAUSE_S = 0.05
# Range of the pause before lists that could not be read are requested again,
# seconds.  A store answers few calls at once, and all boxes may have started
# together.
LIST_RETRY_PAUSE_S = 0.1, 0.4
# Lists that a starting box reads at once.  When 71 boxes start together,
# reading 15 lists one after the other takes 2 s, during which every prompt is
# computed from the beginning.
MAX_CONCURRENT_LISTS = 4
# Seconds for which a store whose updates raised an error is not asked about,
# so that its lists are not read again and again.
LEFT_S = 5.0
# What a box names that asks for changes: the epoch and position by store.
POSITIONS = dict[str, tuple[decoding.Whole, decoding.Whole]]
# Outcomes of asking another box.
FOLLOWED = 'followed'
LISTED = 'listed'
MISSING = 'missing'
# Number of peers from which on boxes no longer ask targets.
MAX_PEERS_TO_ASK_TARGETS = 12
CHANGES_PATH = '/changes'
# Time-out for the answer of another box, seconds.
ANSWER_TIMEOUT_S = 0.8
# Characters of a reason that are logged.
MAX_REASON_CHARS = 200
# Period at which the list of targets and stores to follow is checked, seconds,
# and the shorter one before any table is known.  After a start nothing is
# known to be cached: half a second without stores costs 23,000 to 58,000
# tokens that are computed again.
CHECK_PERIOD_S = 0.5
FIRST_CHECK_PERIOD_S = 0.05


class CacheFollower:
    """Follow the cache events of every engine and every KV cache store.

    Parameters
    ----------
    hub
        The box's parts.
    """

    def __init__(self, hub):
        self._hub = hub
        self._tasks = {}
        # Until when stores are left whose updates raised an error.
        self._left_until = {}

    async def run(self):
        """Follow until cancelled."""
        try:
            while True:
                peer = self._hub.peering.pick_store_follower()
                if peer is None:
                    followed = self._list_followed()
                    self._update_tasks(followed)
                    await asyncio.sleep(
                        CHECK_PERIOD_S if followed else FIRST_CHECK_PERIOD_S
                    )
                elif self._hub.view.table is None:
                    await asyncio.sleep(FIRST_CHECK_PERIOD_S)
                else:
                    self._update_tasks({})
                    outcome = await self._ask_peer(peer)
                    await asyncio.sleep(self._get_pause(outcome))
        finally:
            self._update_tasks({})

    def _list_followed(self):
        """Return the address and period of each target and store to follow."""
        table = self._hub.view.table
        if table is None:
            return {}
        followed = {}
        for address in table.context_stores:
            followed[address] = http.parse_address(address), STORE_PERIOD_S
        if len(self._hub.peering.peers) >= MAX_PEERS_TO_ASK_TARGETS:
            return followed
        for entry in self._hub.view.fleet.entries.values():
            service = table.services.get(entry.service)
            if not self._hub.view.exclusions.may_call(
                entry, self._hub.clock()
            ):
                continue
            if service is not None and service.engine is not None:
                followed[entry.name] = entry.address, TARGET_PERIOD_S
        return followed

    def _update_tasks(self, followed):
        for name in [name for name in self._tasks if name not in followed]:
            self._tasks.pop(name).cancel()
        for name, (address, period_s) in followed.items():
            task = self._tasks.get(name)
            if task is None or task.done():
                self._tasks[name] = self._hub.supervisor.keep(
                    'cache_events',
                    functools.partial(self._follow, name, address, period_s),
                )

    async def _follow(self, name, address, period_s):
        # A box that received the state of a store from a peer continues from
        # there.
        needs_list = self._hub.view.context_index.get(name) is None
        answered = True
        while True:
            sent = self._hub.clock()
            if needs_list:
                updates = await self._hub.runners.read_list(address)
            else:
                updates = await self._read_events(name, address)
            now = self._hub.clock()
            if isinstance(updates, runners.Unanswered):
                is_store = name in self._hub.view.table.context_stores
                if is_store:
                    self._withdraw_if_dead(name, updates)
                # A call to a store that is cut off may be the first sign of a
                # crash; the next one shows whether anything still listens.
                ask_now = answered and is_store
                await asyncio.sleep(MIN_PAUSE_S if ask_now else RETRY_PAUSE_S)
                answered = False
                continue
            answered = True
            needs_list = self._apply(name, updates, sent, now)
            # A list doesn't give the store's clock, so events are read at
            # once after it.
            if not needs_list and not updates.whole:
                pause = max(period_s - (now - sent), MIN_PAUSE_S)
                await asyncio.sleep(pause)

    def _withdraw_if_dead(self, name, unanswered):
        """Stop offering parts of a store at whose address nothing listens.

        Boxes that ask this one learn of it with the next answer.
        """
        if not unanswered.refused:
            return
        if self._hub.view.context_index.withdraw(name):
            self._hub.recorder.record(
                'store_withdrawn', store=name, reason=unanswered.reason
            )

    def _apply(self, name, updates, sent, now):
        """Apply updates; return whether the complete list is needed."""
        known = self._hub.view.context_index
        index = known.get(name)
        try:
            needs_list = known.take(name, updates, sent, now)
        except Exception:
            # Some of the changes may be applied; the list is read anew.
            known.forget(name)
            raise
        if index is None or index.epoch != updates.epoch:
            self._hub.view.store_health.forget(name)
            self._hub.recorder.record(
                'cache_epoch', target=name, epoch=updates.epoch
            )
        return needs_list

    async def _read_events(self, name, address):
        index = self._hub.view.context_index.get(name)
        since = index.next if index is not None else 0
        # A list doesn't give the clock, without which nothing may be offered.
        known = index is not None and index.clock_ms is not None
        hold_s = HOLD_S if known else 0.0
        return await self._hub.runners.read_events(address, since, hold_s)

    def _get_pause(self, outcome):
        if outcome == MISSING:
            return self._hub.view.rng.uniform(*LIST_RETRY_PAUSE_S)
        return STORE_PERIOD_S if outcome == FOLLOWED else MIN_PAUSE_S

    async def _ask_peer(self, peer):
        """Ask a box that follows the stores for updates of all of them.

        Returns
        -------
        str
            FOLLOWED if nothing was missing; LISTED if complete lists were
            read, whose clock comes with the next answer; MISSING if one of
            them could not be read.
        """
        sent = self._hub.clock()
        stores = [
            name
            for name in self._hub.view.table.context_stores
            if self._left_until.get(name, sent) <= sent
        ]
        found = await self._fetch_changes(peer, stores)
        if found is None:
            # The peer may have just started as well.  Complete lists come
            # from the stores, so they can be read without it.
            found = {}
            stores = [n for n in stores if not self._is_known(n)]
        for name, updates in found.items():
            if not updates.lost:
                self._try_apply(name, updates, sent)
        missing = [n for n in stores if n not in found or found[n].lost]
        if not missing:
            return FOLLOWED
        self._hub.view.rng.shuffle(missing)
        return LISTED if await self._read_lists(missing) else MISSING

    def _try_apply(self, name, updates, sent):
        """Apply updates; leave the store for some time if that fails."""
        try:
            self._apply(name, updates, sent, self._hub.clock())
        except Exception as error:
            self._leave(name, error)

    def _leave(self, name, error):
        self._hub.supervisor.report('cache_events', error, target=name)
        self._left_until[name] = self._hub.clock() + LEFT_S

    def _is_known(self, name):
        return self._hub.view.context_index.get(name) is not None

    async def _read_lists(self, names):
        """Read complete lists in groups; return whether all were read."""
        read = []
        for start in range(0, len(names), MAX_CONCURRENT_LISTS):
            group = names[start : start + MAX_CONCURRENT_LISTS]
            read += await asyncio.gather(*map(self._try_read_list, group))
        return all(read)

    async def _fetch_changes(self, peer, stores):
        """Return a peer's CacheUpdate by store, or None without an answer."""
        known = self._hub.view.context_index
        positions = {name: known.get_position(name) for name in stores}
        try:
            return await boxcalls.ask(
                self._hub,
                peer,
                dict[str, context_index.CacheUpdate],
                ('POST', CHANGES_PATH),
                cbor2.dumps(positions),
                timeout=ANSWER_TIMEOUT_S,
            )
        except boxcalls.NoAnswer as error:
            reason = str(error)[:MAX_REASON_CHARS]
            self._hub.recorder.record('no_state', reason=reason)
            return None

    async def _try_read_list(self, name):
        """Read a list as `_read_list`; an error counts as no answer."""
        try:
            return await self._read_list(name)
        except Exception as error:
            self._leave(name, error)
            return False

    async def _read_list(self, name):
        """Read the complete list of a store; return whether it was read."""
        sent = self._hub.clock()
        updates = await self._hub.runners.read_list(http.parse_address(name))
        if isinstance(updates, runners.Unanswered):
            self._hub.recorder.record(
                'store_down', store=name, reason=updates.reason
            )
            return False
        self._apply(name, updates, sent, self._hub.clock())
        return True

    async def answer_changes(self, request, exchange):
        """Answer a peer with the updates of each store that it names."""
        try:
            positions = boxcalls.read(POSITIONS, request.body)
        except decoding.Malformed as error:
            self._hub.recorder.record('bad_message', reason=str(error))
            await exchange.send_json(400, {'error': 'not understood'})
            return
        known, now = self._hub.view.context_index, self._hub.clock()
        found = {
            n: known.make_update(n, *position, now)
            for n, position in positions.items()
        }
        answers = {
            n: updates for n, updates in found.items() if updates is not None
        }
        await boxcalls.answer(exchange, msgspec.to_builtins(answers))
