"""Tells the other boxes what this one has under way, and lives on them.

A box that the platform's store turns away asks its neighbours how fresh
their table is: an answer proves as much as its own read would, less its
age.  What they have newer it fetches from them whole.
"""

import asyncio
import collections
import contextlib
import math
import random

import msgspec

from landingspool.boxes import datagrams
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import readers
from landingspool.decisions import ownership
from landingspool.gateway import boxcalls
from landingspool.gateway import cache_follower
from landingspool.gateway import registry
from landingspool.gateway import sources
from landingspool.gateway import state
from landingspool import http

# Period of the digests, seconds: about the reading of two long prompts
# (0.1 s each), so that boxes seldom choose the same idle target.
DIGEST_S = 0.2
# Seconds after a digest before which none is sent for a limit that begins: a
# target that names one with every other answer must not make a storm.
HURRY_S = 0.05
# Period of the questions to neighbours.
ASK_S = 0.4
# Seconds over the age at which a box reads for itself from which on it asks
# its neighbours: it has tried by then, at a store that is up or says no.
ASK_LATER_S = 0.3
# Seconds by which a neighbour's proof has to be younger to be fetched: where
# the store answers nobody all have much the same, and states are large.
GAIN_S = 0.3
# Boxes that are asked at a time.
ASKED = 3
STATE_PATH = '/state'
# Seconds for which a box that starts waits for the list of the others; where
# the store has not given it by then, each box asks the store for all.
LISTED_S = 1.2
# Seconds for a neighbour's whole state.
FETCH_S = 1.0


class Peering:
    """This box among the others.

    Parameters
    ----------
    hub
        The box's parts.

    Attributes
    ----------
    peers : dict of str to registry.Peer
        The other boxes by name.
    ages : readers.Ages
        By which sources of tables are taken and left.
    """

    def __init__(self, hub):
        self._hub = hub
        self._number = 0
        self._sent = -math.inf
        self._asks = {}
        self._fetching = False
        self.peers = {}
        self._registry = registry.Registry(hub, self.peers)
        deployment = hub.deployment
        bound_s = min(deployment.bounds.table_s, deployment.bounds.key_s)
        self.ages = readers.plan_ages(bound_s)
        self._readers = readers.Readers(
            deployment.box, deployment.link_mbps, self.ages.old_s
        )
        self._socket = datagrams.Datagrams(self._take, self._record_bad)
        self._server = http.Server(self._answer)

    async def start(self):
        """Open the sockets and begin to tell."""
        address = self._hub.deployment.links
        await self._socket.start(address)
        await self._server.start(*address)
        self._hub.timer.subscribe(DIGEST_S, self._tell)
        self._hub.timer.subscribe(ASK_S, self._ask)

    async def run(self):
        """Keep to what the store lists, until cancelled."""
        await self._registry.run()

    async def wait_listed(self):
        """Wait until the other boxes are known, but not for long."""
        if self._hub.deployment.links is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LISTED_S):
                await self._registry.listed.wait()

    def get_rank(self, subject):
        """Give the place of this box in the hash order of all boxes."""
        box = self._hub.deployment.box
        order = ownership.rank(subject, tuple(sorted((*self.peers, box))))
        return order.index(box)

    async def leave(self):
        """Make it known that this box stops."""
        await self._registry.leave()

    async def close(self):
        """Close the sockets."""
        self._socket.close()
        await self._server.close()

    def pick_reader(self):
        """Pick the registry.Peer to read from; None: the store itself.

        A box that starts has no proof and reads whole lists of the store:
        of a reader all boxes of its domain would ask these at once.  That
        took 4 s with 100 boxes and 1,000 targets, and 30 s with 300 and
        3,000, over the reader's one link.
        """
        return self._pick_peer(self._hub.view.proof.age(self._hub.clock()))

    def _pick_peer(self, age_s):
        links = {
            name: self.peers[name].link_mbps for name in self._list_near()
        }
        name = self._readers.pick(links, age_s, self._hub.clock())
        return self.peers.get(name)

    def pick_store_follower(self):
        """Pick the registry.Peer that follows the stores of kept context.

        None: this box does.  However old its proof of the tables is, a box
        goes on with whom it follows: each that began to follow the stores
        would ask them for whole lists.
        """
        return self._pick_peer(0.0)

    def get_reader_name(self):
        """Give the name of the box to read from; empty for the store."""
        reader = self.pick_reader()
        return reader.name if reader is not None else ''

    def has_readers(self):
        """Tell whether this domain has boxes that read for others."""
        return len(self._list_near()) >= readers.MAX_DIRECT_READERS

    def _list_near(self):
        domain = self._hub.deployment.domain
        return [n for n, p in self.peers.items() if p.domain == domain]

    def shun(self, name, reason):
        """Note that a box did not answer, or knows nothing new itself."""
        now = self._hub.clock()
        self._readers.shun(name, now)
        self._hub.recorder.record(
            'reader_left',
            reader=name,
            reason=reason,
            proof_s=self._hub.view.proof.age_to_log(now),
        )
        self._hub.sources.leave(name)

    def is_shunned(self, name):
        """Tell whether a box is left at present."""
        return self._readers.is_shunned(name, self._hub.clock())

    def record_cut(self, reason):
        """Note that the store does not answer this box.

        Where others can be followed it does so, and who follows it is told
        at once; who has nobody to follow goes on trying.
        """
        if self.has_readers() and not self.is_cut():
            self.shun(self._hub.deployment.box, reason)
            self._hub.record_server.wake_all()

    def is_cut(self):
        """Tell whether the store failed this box shortly before."""
        return self.is_shunned(self._hub.deployment.box)

    def _tell(self, tick):
        view = self._hub.view
        # The count that divides the retry budget never falls: a box that
        # is only not heard spends its part all the same.
        view.boxes = max(view.boxes, len(self.peers) + 1)
        domains = [peer.domain for peer in self.peers.values()]
        view.peers_by_domain = dict(collections.Counter(domains))
        if self._registry.was_read:
            # Without the list a box may believe that it is one of few.
            view.bars.shares.set_members(
                self._hub.deployment.box,
                (*self.peers, self._hub.deployment.box),
                tick.now,
            )
        view.watching.set_members(self._hub.deployment.box, self._list_near())
        self._send_digest(tick.now)

    def send_urgent_digest(self):
        """Send a digest at once where a limit has begun.

        What goes to a target until all boxes know of it is over its limit:
        20 requests in the first half second with digests at their usual
        period alone, 7 with these (195 boxes, 60 requests a second in all,
        played on the decisions of tests/gateway/test_limit_load.py).
        """
        now = self._hub.clock()
        is_urgent = self._hub.view.bars.limits.is_urgent
        if is_urgent and now - self._sent >= HURRY_S:
            self._send_digest(now)

    def _send_digest(self, now):
        view = self._hub.view
        self._number += 1
        self._sent = now
        digest = peer_digests.Digest(
            box=self._hub.deployment.box,
            domain=self._hub.deployment.domain,
            number=self._number,
            loads=peer_digests.hash_loads(view.loads.list_told()),
            unreached=view.reach.list_told(),
            rooms=view.rooms,
            link_mbps=self._hub.deployment.link_mbps,
            endings=view.endings.tell(now),
            limits=view.bars.limits.tell(now),
            leaving=view.bars.leaving.tell(now),
        )
        for address in self._pick_told():
            self._socket.send(digest, address)

    def _ask(self, tick):
        if self._get_proof_age() < self.ages.old_s + ASK_LATER_S:
            return
        if not self._hub.timer.ran_since(tick.now - ASK_LATER_S):
            # Its own read comes first.
            return
        self._number += 1
        self._asks = {self._number: tick.now}
        ask = peer_digests.Ask(self._hub.deployment.box, self._number)
        for address in self._pick(ASKED):
            self._socket.send(ask, address)

    def _pick_told(self):
        if not self.peers:
            return self._pick(peer_digests.FAN_OUT)
        domain, near, far = self._hub.deployment.domain, [], []
        for peer in self.peers.values():
            (near if peer.domain == domain else far).append(peer.address)
        return peer_digests.pick_recipients(near, far, self._hub.view.rng)

    def _pick(self, most):
        # The seeds are a start where the store tells of no box.
        known = [peer.address for peer in self.peers.values()]
        known = known or list(self._hub.deployment.seeds)
        return random.sample(known, min(most, len(known)))

    def _get_proof_age(self):
        proof, now = self._hub.view.proof, self._hub.clock()
        return round(proof.age_to_send(now), 3)

    def _take(self, message, address):
        HANDLERS[type(message)](self, message, http.Address(*address))

    def _take_digest(self, digest, address):
        if digest.box == self._hub.deployment.box:
            return
        if digest.box not in self.peers:
            self.peers[digest.box] = registry.Peer(
                digest.box, address, digest.domain, digest.link_mbps
            )
        now = self._hub.clock()
        self._hub.view.take_digest(digest, now)
        self._hub.crash_records.check()
        self.send_urgent_digest()

    def _take_ask(self, ask, address):
        view = self._hub.view
        if view.table is None:
            return
        tell = peer_digests.Tell(
            self._hub.deployment.box,
            ask.number,
            view.table.version,
            self._get_proof_age(),
        )
        self._socket.send(tell, address)

    def _take_tell(self, tell, address):
        asked = self._asks.get(tell.number)
        if asked is None:
            return
        if not self._is_worth_fetching(tell):
            return
        if not self._fetching:
            self._fetching = True
            work = asyncio.ensure_future(self._fetch(address))
            work.add_done_callback(self._end_fetch)

    def _is_worth_fetching(self, tell):
        table = self._hub.view.table
        if table is None or tell.table > table.version:
            return True
        age_s = self._hub.view.proof.age(self._hub.clock())
        return tell.proof_s < age_s - GAIN_S

    def _end_fetch(self, work):
        self._fetching = False
        if not work.cancelled() and work.exception() is not None:
            self._hub.recorder.record('fault', reason=repr(work.exception()))

    async def _fetch(self, address):
        """Fetch a neighbour's state; it proves what it says of its age."""
        sent = self._hub.clock()
        try:
            given = await boxcalls.fetch(
                self._hub.client,
                address,
                state.StateSnapshot,
                ('GET', STATE_PATH),
                timeout=FETCH_S,
            )
        except boxcalls.NoAnswer as error:
            self._hub.recorder.record('no_state', reason=str(error))
            return
        self._hub.state.take(given, sent)

    async def _answer(self, request, exchange):
        answer = ANSWERS.get(request.path)
        if answer is None:
            await exchange.send_json(404, {'error': 'no such path'})
            return
        await answer(self, request, exchange)

    async def _answer_state(self, request, exchange):
        given = msgspec.to_builtins(
            self._hub.state.get_snapshot(), builtin_types=[bytes]
        )
        await boxcalls.answer(exchange, given)

    async def _answer_records(self, request, exchange):
        await self._hub.record_server.answer_records(request, exchange)

    async def _answer_newest(self, request, exchange):
        await self._hub.record_server.answer_newest(request, exchange)

    async def _answer_changes(self, request, exchange):
        await self._hub.cache_follower.answer_changes(request, exchange)

    def _record_bad(self, reason):
        self._hub.recorder.record('bad_message', reason=reason)


HANDLERS = {
    peer_digests.Digest: Peering._take_digest,
    peer_digests.Ask: Peering._take_ask,
    peer_digests.Tell: Peering._take_tell,
}


ANSWERS = {
    STATE_PATH: Peering._answer_state,
    sources.RECORDS_PATH: Peering._answer_records,
    sources.NEWEST_PATH: Peering._answer_newest,
    cache_follower.CHANGES_PATH: Peering._answer_changes,
}
