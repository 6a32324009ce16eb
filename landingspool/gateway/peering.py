"""Exchange digests and state with the other boxes.

Digests report what this box has under way.  A box that gets no answer from
the platform's store asks its peers how fresh their tables are.  A peer's
answer proves as much as a read of its own would have, less its age.  If a
peer has newer state, the box fetches all of it.
"""

import asyncio
import collections
import contextlib
import math
import random

from landingspool.boxes import datagrams
from landingspool.decisions.gateway import ballots
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import readers
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import stream_records
from landingspool.decisions import ownership
from landingspool.gateway import ballot_inquiry
from landingspool.gateway import boxcalls
from landingspool.gateway import peer_requests
from landingspool.gateway import registry
from landingspool.gateway import state
from landingspool import http
from landingspool import http_server

# Period of the digests, seconds: about the prefill of two long prompts (0.1 s
# each), so that boxes seldom choose the same idle target.
DIGEST_S = 0.2
# Seconds without a digest after which a box of an earlier build counts as
# gone: each digest reaches only some boxes.
OLDER_BOX_S = 5.0
# Minimum seconds between a digest and an urgent one: for a limit that begins,
# and for requests that were sent to engines of a group.  A target that names a
# limit in every other answer must not cause a flood.
MIN_DIGEST_GAP_S = 0.05
# Period of the checks whether groups of engines have changed, seconds: boxes
# and engines come and go seldom, and those that are gone are left out anyway.
GROUPS_PERIOD_S = 1.0
# Period of the questions to peers about their tables, seconds.
ASK_PERIOD_S = 0.4
# Seconds by which the proof must exceed the age at which a box reads the store
# itself before it asks its peers.  By then it has tried to read the store,
# which has answered or refused if it can be reached.
ASK_DELAY_S = 0.3
# Minimum seconds by which a peer's proof must be newer for its state to be
# fetched.  If the store answers nobody, all proofs have about the same age,
# and states are large.
MIN_GAIN_S = 0.3
# Boxes that are asked in each period.
PEERS_ASKED = 3
# Seconds for which a starting box waits for the list of the other boxes.  If
# the store has not answered by then, the box reads all topics from the store.
LIST_TIMEOUT_S = 1.2
# Largest body of a request of a peer, bytes, and of all together.
MAX_BODY_BYTES = 1024 * 1024
MAX_HELD_BYTES = 4 * MAX_BODY_BYTES
# Connections of peers: at most so many, and this share of all descriptors.
MAX_CONNECTIONS = 1024
CONNECTION_SHARE = 1 / 4
# Time-out for a peer's state, seconds.
FETCH_TIMEOUT_S = 1.0


class Peering:
    """Send and receive digests and state, and select the box to read from.

    Parameters
    ----------
    hub
        The box's parts.

    Attributes
    ----------
    peers : dict of str to registry.Peer
        The other boxes by name.
    ages : readers.Ages
        Ages of proof at which a source of tables is used and left.
    """

    def __init__(self, hub):
        self._hub = hub
        self._number = 0
        self._sent = -math.inf
        self._is_due = False
        self._grouped_at = -math.inf
        self._asked_at = {}
        self._fetching = False
        self.peers = {}
        self.ballot_inquiry = ballot_inquiry.BallotInquiry(hub)
        self._registry = registry.Registry(hub, self.peers)
        deployment = hub.deployment
        bound_s = min(deployment.bounds.table_s, deployment.bounds.key_s)
        self.ages = readers.plan_ages(bound_s)
        self._readers = readers.Readers(
            deployment.box, deployment.link_mbps, self.ages.old_s
        )
        self._socket = datagrams.Datagrams(
            hub.timer, self._receive, self._record_bad_message
        )
        self._server = http_server.Server(
            peer_requests.PeerRequests(hub).answer,
            MAX_BODY_BYTES,
            hub.supervisor.make_reporter('peer_requests'),
            min(
                MAX_CONNECTIONS, int(deployment.descriptors * CONNECTION_SHARE)
            ),
            MAX_HELD_BYTES,
        )

    async def start(self):
        """Open the sockets and begin to send digests."""
        address = self._hub.deployment.links
        await self._socket.start(address)
        await self._server.start(*address)
        self._hub.timer.subscribe(DIGEST_S, self._on_digest_period)
        self._hub.timer.subscribe(MIN_DIGEST_GAP_S, self._send_if_due)
        self._hub.timer.subscribe(ASK_PERIOD_S, self._on_ask_period)

    async def run(self):
        """Follow the list of boxes in the store until cancelled."""
        await self._registry.run()

    def list_unfit(self, work):
        """List the peers that a request can't be forwarded to, or not yet.

        A box that knows nothing of streams could continue one anywhere.
        """
        is_resumable = routes.is_resumable(work.route)
        names = [
            name
            for name, peer in self.peers.items()
            if peer.forwarding is None
            or (is_resumable and not peer.owns_streams)
        ]
        if names:
            self._registry.read_soon()
        return names

    def is_complete(self):
        """Return whether this box knows all that the store has listed."""
        return self._hub.deployment.links is None or self._registry.was_read

    def has_older_orderers(self):
        """Return whether a box of an earlier build may give orders.

        Its fences are offsets in the store, and so below those of this build.
        """
        now, digests = self._hub.clock(), self._hub.view.peer_digests
        if not all(peer.has_ballots for peer in self.peers.values()):
            self._registry.read_soon()
        return any(
            peer.has_ballots is False
            and digests.was_heard(name, now, OLDER_BOX_S)
            for name, peer in self.peers.items()
        )

    def has_earlier_namespaces(self):
        """Return whether a box may name namespaces as earlier builds do.

        One that the store still lists may be cut off from this box alone, and
        one that is known by its digests may be of any build.
        """
        return not self.is_complete() or not all(
            peer.names_walls for peer in self.peers.values()
        )

    def send(self, message, address):
        """Send a message without any guarantee of delivery."""
        self._socket.send(message, address)

    def read_arrived(self):
        """Apply the messages that have arrived."""
        self._socket.read_arrived()

    async def wait_listed(self):
        """Wait until the other boxes are known, for LIST_TIMEOUT_S at most."""
        if self._hub.deployment.links is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIST_TIMEOUT_S):
                await self._registry.listed.wait()

    def get_rank(self, subject):
        """Return the rank of this box in the hash order of all boxes."""
        box = self._hub.deployment.box
        order = ownership.rank(subject, tuple(sorted((*self.peers, box))))
        return order.index(box)

    async def leave(self):
        """Announce through the store that this box stops."""
        await self._registry.leave()

    async def close(self):
        """Close the sockets."""
        self._socket.close()
        await self._server.close()

    def pick_reader(self):
        """Return the registry.Peer to read from, or None for the store.

        A starting box has no proof, and reads complete lists from the store.
        Otherwise all boxes of a domain would request these from one reader
        at once.  Over the one link of the reader that takes 4 s with 100 boxes
        and 1,000 targets, and 30 s with 300 boxes and 3,000 targets.
        """
        age_s = self._hub.view.proof.age(self._hub.clock())
        return self._pick_peer(self._list_domain_peers(), age_s)

    def _pick_peer(self, names, age_s):
        links = {name: self.peers[name].link_mbps for name in names}
        name = self._readers.pick(links, age_s, self._hub.clock())
        return self.peers.get(name)

    def pick_store_follower(self):
        """Return the registry.Peer that follows the KV cache stores.

        None means that this box follows them.  However old its proof of the
        tables is, a box stays with the peer that it follows: each box that
        began to follow the stores would ask them for complete lists.  Only
        one that reaches no target, and so no store either, is left.
        """
        watchers = self._hub.view.watchers
        names = self._list_domain_peers()
        return self._pick_peer(
            [name for name in names if not watchers.is_partitioned(name)], 0.0
        )

    def get_reader_name(self):
        """Return the name of the box to read from; empty for the store."""
        reader = self.pick_reader()
        return reader.name if reader is not None else ''

    def has_readers(self):
        """Return whether this domain has boxes that read for others."""
        return len(self._list_domain_peers()) >= readers.MAX_DIRECT_READERS

    def _list_domain_peers(self):
        domain = self._hub.deployment.domain
        return [n for n, p in self.peers.items() if p.domain == domain]

    def avoid(self, name, reason):
        """Avoid a box that did not answer, or whose state is outdated."""
        now = self._hub.clock()
        self._readers.avoid(name, now)
        self._hub.recorder.record(
            'reader_left',
            reader=name,
            reason=reason,
            proof_s=self._hub.view.proof.age_to_log(now),
        )
        self._hub.sources.leave(name)

    def is_avoided(self, name):
        """Return whether a box is avoided at present."""
        return self._readers.is_avoided(name, self._hub.clock())

    def record_cut(self, reason):
        """Record that the store does not answer this box.

        If there are boxes to follow, this one does so, and notifies its own
        followers at once.  Otherwise it continues to ask the store.
        """
        if self.has_readers() and not self.is_cut():
            self.avoid(self._hub.deployment.box, reason)
            self._hub.record_server.wake_all()

    def is_cut(self):
        """Return whether the store failed this box shortly before."""
        return self.is_avoided(self._hub.deployment.box)

    def _on_digest_period(self, tick):
        view = self._hub.view
        # The count that divides the retry budget never decreases: a box whose
        # digests don't arrive continues to spend its part.
        view.boxes = max(view.boxes, len(self.peers) + 1)
        domains = [peer.domain for peer in self.peers.values()]
        view.peers_by_domain = dict(collections.Counter(domains))
        if self._registry.was_read:
            # Without the list, this box may know only few of its peers.
            box = self._hub.deployment.box
            members = (*self.peers, box)
            view.exclusions.shares.set_members(box, members, tick.now)
            view.crashes.bars.set_members(box, members)
        view.watchers.set_members(
            self._hub.deployment.box, self._list_domain_peers()
        )
        # Without its digests a box counts as gone.
        self._hub.supervisor.guard('groups', self._update_groups, tick.now)
        self._send_digest(tick.now)

    def _update_groups(self, now):
        if now - self._grouped_at < GROUPS_PERIOD_S:
            return
        self._grouped_at = now
        deployment, grouping = self._hub.deployment, self._hub.view.grouping
        boxes = {peer.name: peer.domain for peer in self.peers.values()}
        boxes[deployment.box] = deployment.domain
        if not grouping.update(deployment.box, boxes, now):
            return
        self._socket.set_read_period(
            datagrams.SHORT_READ_PERIOD_S
            if grouping.subsets.list_services()
            else datagrams.READ_PERIOD_S
        )
        for service, own in grouping.subsets.list_own():
            self._hub.recorder.record(
                'group_dealt',
                service=service,
                group=own.index,
                engines=own.engines,
                boxes=len(own.boxes),
            )

    def send_urgent_digest(self):
        """Send a digest now if a limit has begun or a target has crashed.

        Until all boxes know what crashes targets, more of them crash.
        Until all boxes know of a limit, they exceed it.  With digests at
        their usual period alone, 20 requests exceed it in the first half
        second; with these, 7 do (195 boxes, 60 requests a second in all, the
        case of tests/gateway/test_limit_load.py).
        """
        now = self._hub.clock()
        view = self._hub.view
        is_urgent = view.exclusions.limits.is_urgent or view.crashes.is_urgent
        if is_urgent and now - self._sent >= MIN_DIGEST_GAP_S:
            self._send_digest(now)

    def report_sent(self):
        """Tell the boxes of the group of a request that was just sent.

        A request is often over before the next periodic digest, and the
        boxes of a group choose among few engines: without this they would
        choose the same one in the meantime.
        """
        if not self._hub.view.grouping.subsets.list_services():
            return
        now = self._hub.clock()
        if now - self._sent >= MIN_DIGEST_GAP_S:
            self._send_loads(now)
        else:
            self._is_due = True

    def _send_if_due(self, tick):
        if self._is_due:
            self._send_loads(tick.now)

    def _send_loads(self, now):
        """Send a digest of nothing but loads to the boxes of the group."""
        digest = self._make_digest(now)
        members = self._hub.view.grouping.subsets.list_peers()
        self._socket.send_to_all(
            digest,
            [self.peers[name].address for name in members & self.peers.keys()],
        )

    def _send_digest(self, now):
        view = self._hub.view
        digest = self._make_digest(now)._replace(
            rooms=view.store_usage,
            endings=view.crashes.list_due_notices(now),
            limits=view.exclusions.limits.list_due_notices(now),
            leaving=view.exclusions.leaving.list_due_notices(now),
            slow_stores=view.store_health.list_reported(now),
            usage=view.fair_admission.make_due_report(now),
            answers=view.profiles.take_reports(),
            groups=view.grouping.list_loads(now),
            versions=view.weights.list_due_ages(now),
            ballot=view.ballots.get_due(now),
        )
        self._socket.send_to_all(digest, self._pick_digest_receivers(digest))

    def _make_digest(self, now):
        """Return a digest of loads and of targets that can't be reached."""
        self._is_due = False
        view = self._hub.view
        self._number += 1
        self._sent = now
        return peer_digests.Digest(
            box=self._hub.deployment.box,
            domain=self._hub.deployment.domain,
            number=self._number,
            loads=peer_digests.hash_loads(view.loads.list_reported()),
            unreached=(
                ()
                if view.partition.is_on
                else view.reachability.list_reported()
            ),
            link_mbps=self._hub.deployment.link_mbps,
            partitioned=view.partition.is_on,
        )

    def _on_ask_period(self, tick):
        if self._get_proof_age() < self.ages.old_s + ASK_DELAY_S:
            return
        if not self._hub.timer.ran_since(tick.now - ASK_DELAY_S):
            # After a stall, this box's own read comes first.
            return
        self._number += 1
        self._asked_at = {self._number: tick.now}
        ask = peer_digests.ProofQuery(self._hub.deployment.box, self._number)
        for address in self._pick(PEERS_ASKED):
            self._socket.send(ask, address)

    def _pick_digest_receivers(self, digest):
        if not self.peers:
            return self._pick(peer_digests.FAN_OUT)
        domains = {peer.name: peer.domain for peer in self.peers.values()}
        picked = self._hub.view.grouping.pick_recipients(
            domains, peer_digests.is_urgent(digest)
        )
        return [self.peers[name].address for name in picked]

    def _pick(self, count):
        # The seeds are used if the store doesn't list any box.
        known = [peer.address for peer in self.peers.values()]
        known = known or list(self._hub.deployment.seeds)
        return random.sample(known, min(count, len(known)))

    def _get_proof_age(self):
        proof, now = self._hub.view.proof, self._hub.clock()
        return round(proof.age_to_send(now), 3)

    def _receive(self, message, address):
        # One that fails must not delay the others, nor fail a request for
        # which messages are read.
        self._hub.supervisor.guard(
            'messages',
            HANDLERS[type(message)],
            self,
            message,
            http.Address(*address),
        )

    def _receive_digest(self, digest, address):
        if digest.box == self._hub.deployment.box:
            return
        if digest.box not in self.peers:
            self.peers[digest.box] = registry.Peer(
                digest.box, address, digest.domain, digest.link_mbps
            )
        now = self._hub.clock()
        self._hub.view.take_digest(digest, now)
        if self._hub.timer.ran_since(now - DIGEST_S):
            # Ages that were received during a stall would seem too low.
            self._hub.state.take_ages(digest.versions, now, state.PEER)
        self._hub.gate.record_digest()
        self._hub.crash_records.check()
        self.send_urgent_digest()

    def _receive_ask(self, ask, address):
        view = self._hub.view
        if view.table is None:
            return
        tell = peer_digests.ProofReply(
            self._hub.deployment.box,
            ask.number,
            view.table.version,
            self._get_proof_age(),
        )
        self._socket.send(tell, address)

    def _receive_tell(self, tell, address):
        asked = self._asked_at.get(tell.number)
        if asked is None:
            return
        if not self._is_worth_fetching(tell):
            return
        if not self._fetching:
            self._fetching = True
            work = self._hub.supervisor.spawn('state', self._fetch(address))
            work.add_done_callback(self._end_fetch)

    def _is_worth_fetching(self, tell):
        table = self._hub.view.table
        if table is None or tell.table > table.version:
            return True
        age_s = self._hub.view.proof.age(self._hub.clock())
        return tell.proof_s < age_s - MIN_GAIN_S

    def _end_fetch(self, work):
        self._fetching = False

    async def _fetch(self, address):
        """Fetch and apply a peer's state, with the proof that it contains."""
        sent = self._hub.clock()
        try:
            snapshot = await boxcalls.fetch(
                self._hub.client,
                address,
                state.StateSnapshot,
                ('GET', peer_requests.STATE_PATH),
                timeout=FETCH_TIMEOUT_S,
            )
        except boxcalls.NoAnswer as error:
            self._hub.recorder.record('no_state', reason=str(error))
            return
        self._hub.state.take(snapshot, sent)

    def _receive_ballot(self, message, address):
        self.ballot_inquiry.receive(message, address)

    def _receive_streams(self, message, address):
        self._hub.continuity.take(message)

    def _record_bad_message(self, reason):
        self._hub.recorder.record('bad_message', reason=reason)


HANDLERS = {
    peer_digests.Digest: Peering._receive_digest,
    peer_digests.ProofQuery: Peering._receive_ask,
    peer_digests.ProofReply: Peering._receive_tell,
    ballots.BallotQuery: Peering._receive_ballot,
    ballots.BallotReply: Peering._receive_ballot,
    stream_records.StreamRecords: Peering._receive_streams,
}
