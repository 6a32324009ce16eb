"""Register this box in the platform's store, and read the other boxes there.

The list is a start and a check: digests between boxes announce new boxes much
sooner.  So it is read seldom, and an entry that is not renewed stays until its
box announces that it stops.

The list is read before anything else.  A box that knows the others follows one
of them as soon as it has read the store once.
"""

import asyncio
import contextlib
import json
import math
import random
import typing

import msgspec

from landingspool.decisions import decoding
from landingspool import http
from landingspool.platform import names
from landingspool.platform import store as store_module

# Period of the reads of the list, seconds.  Each read is one call of each box,
# and digests announce new boxes within a second.  With more boxes than
# BASE_BOXES the period is longer, so that all together ask no more often.
LIST_PERIOD_S = 30.0
BASE_BOXES = 8
# Minimum seconds between two reads that are asked for.
MIN_LIST_GAP_S = 5.0
# Seconds from this box's registration to its read of the list when the whole
# system starts.  All boxes start within 0.3 s, and the store takes the entries
# of 195 boxes one after the other, in 0.4 s.
START_GATHERING_S = 0.8
# Maximum seconds from a rollback of the store's topics to the read of the list
# that shows whether this box is still in it: 195 boxes make 39 calls a second.
LOST_LIST_S = 5.0
# Pause between two attempts to register this box, seconds.
REGISTER_RETRY_S = 0.7
MAX_DOMAIN_CHARS = 256
# Topics that are always read, which show that the store has lost records.
FOLLOWED_TOPICS = (
    names.PUBLISHED_TOPIC,
    names.TARGETS_TOPIC,
    names.CLAIMS_TOPIC,
)


class Peer(typing.NamedTuple):
    """Another box, its address and domain, and its link in Mbit/s.

    `forwarding` is its address for forwarded requests; None if it takes none.
    `owns_streams` is whether it can be told what began a stream; None if its
    record has not been read.  `has_ballots` is the same for whether the fences
    of its orders are ballots, and `names_walls` for whether its namespaces
    name the isolated workspaces.
    """

    name: str
    address: http.Address
    domain: str
    link_mbps: float = 0.0
    forwarding: http.Address | None = None
    owns_streams: bool | None = None
    has_ballots: bool | None = None
    names_walls: bool | None = None


class BoxRecord(msgspec.Struct):
    """Record that a box writes about itself.

    A box of an earlier version names no address for forwarded requests, and
    doesn't say whether it can be told of streams, nor that the fences of its
    orders are ballots or that its namespaces name the isolated workspaces.
    """

    address: str
    domain: typing.Annotated[str, msgspec.Meta(max_length=MAX_DOMAIN_CHARS)]
    link_mbps: decoding.Figure = 0.0
    forwarding: str | None = None
    streams: bool = False
    ballots: bool = False
    walls: bool = False


BOX_DECODER = msgspec.json.Decoder(BoxRecord)


class Registry:
    """Register this box, and keep the peers that the store lists.

    Parameters
    ----------
    hub
        The box's parts: `deployment`, `store`, `view`, `rollbacks`,
        `recorder`, `supervisor`, `clock`.
    peers : dict of str to Peer
        The other boxes by name, updated in this object.

    Attributes
    ----------
    listed : asyncio.Event
        Set once the list of the other boxes has been requested, also if
        the store did not answer.
    was_read : bool
        Whether the store has ever answered with the list.
    """

    def __init__(self, hub, peers):
        self._hub = hub
        self._peers = peers
        self.listed = asyncio.Event()
        self.was_read = False
        self._is_registered = False
        # The record of this box as it was written, and whether the store has
        # lost it; None before it is written, and once this box stops.
        self._row = None
        self._is_lost = False
        self._is_rolled_back = False
        self._wanted = asyncio.Event()
        self._asked = -math.inf
        for topic in FOLLOWED_TOPICS:
            hub.rollbacks.subscribe(topic, self._take_rollback)

    async def run(self):
        """Register this box, and read the list of boxes periodically."""
        if not self._is_registered:
            await self._start()
        while True:
            # The period varies, since all boxes may start at once.
            period_s = self._get_period() * random.uniform(0.5, 1.5)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s):
                    await self._wanted.wait()
            if self._is_rolled_back:
                await asyncio.sleep(random.uniform(0.0, LOST_LIST_S))
                self._is_rolled_back = False
            self._wanted.clear()
            await self._read_list()
            if self._is_lost:
                self._is_lost = False
                await self._register()

    def _take_rollback(self, rollback):
        """Have the list read soon: the store may have lost this box."""
        self._is_rolled_back = True
        self._wanted.set()

    def read_soon(self):
        """Have the list read now, unless that was asked for shortly before.

        Digests announce new boxes, but not where they take forwarded requests.
        """
        now = self._hub.clock()
        if now - self._asked >= MIN_LIST_GAP_S:
            self._asked = now
            self._wanted.set()

    async def _start(self):
        """Register this box, and read the list before or after."""
        first_start = self._hub.deployment.first_start
        if not first_start:
            await self._read_first_list()
        await self._register()
        self._is_registered = True
        if first_start:
            await asyncio.sleep(START_GATHERING_S)
            await self._read_first_list()

    async def _read_first_list(self):
        """Read the list for the first time, and wake those who wait.

        An error must not keep this box from being known to the others.
        """
        await self._hub.supervisor.attempt('boxes', self._read_list())
        self.listed.set()

    async def _read_list(self):
        newest = await self._hub.store.read_newest(names.BOXES_TOPIC)
        if isinstance(newest, store_module.Newest):
            self._apply_list(newest)
            self.was_read = True

    def _get_period(self):
        boxes = len(self._peers) + 1
        return LIST_PERIOD_S * max(boxes / BASE_BOXES, 1.0)

    async def leave(self):
        """Remove this box from the store, since it stops."""
        self._row = None
        await self._hub.store.append(
            names.BOXES_TOPIC, self._hub.deployment.box, b''
        )

    async def _register(self):
        """Write this box into the store, until that has succeeded."""
        deployment = self._hub.deployment
        row = write_peer(
            deployment.links,
            deployment.domain,
            deployment.link_mbps,
            self._hub.get_forwarding_address(),
        )
        while True:
            reply = await self._hub.store.append(
                names.BOXES_TOPIC, deployment.box, row
            )
            if isinstance(reply, store_module.Appended):
                self._row = row
                return
            await asyncio.sleep(REGISTER_RETRY_S)

    def _apply_list(self, newest):
        own = self._hub.deployment.box
        listed = {}
        own_row = None
        for key, value, _ in newest.records:
            if key == own:
                own_row = value
            if not value or key == own:
                continue
            peer = self._read_peer(key, value)
            if peer is not None:
                listed[key] = peer
        self._is_lost = self._row is not None and own_row != self._row
        for reason in newest.passed_over:
            self._hub.recorder.record(
                'malformed', key=names.BOXES_TOPIC, reason=reason
            )
        recent = self._hub.view.peer_digests.list_fresh_peers(
            self._hub.clock()
        )
        for name in list(self._peers):
            if name not in listed and name not in recent:
                del self._peers[name]
        self._peers.update(listed)

    def _read_peer(self, name, value):
        """Return a Peer; the known one if its record raises an error.

        Another writer's record is passed over; the boxes beside it count.
        """
        try:
            return read_peer(name, value)
        except decoding.Malformed as error:
            self._hub.recorder.record('malformed', key=name, reason=str(error))
            return None
        except Exception as error:
            self._hub.supervisor.report('boxes', error, key=name)
            return self._peers.get(name)


def list_stream_owners(peers):
    """Return the peers that can be told of streams, by name.

    One known by its digests alone is told, so that boxes agree on the owners
    soon after one has started.

    Parameters
    ----------
    peers : dict of str to Peer
    """
    return {
        name: peer
        for name, peer in peers.items()
        if peer.owns_streams is not False
    }


def write_peer(address, domain, link_mbps, forwarding=None):
    """Return the record of a box.

    >>> row = json.loads(write_peer(http.Address('10.0.0.1', 80), 'd1', 5.0))
    >>> row['address'], row['domain'], row['link_mbps'], row['streams']
    ('10.0.0.1:80', 'd1', 5.0, True)
    """
    row = {
        'address': f'{address[0]}:{address[1]}',
        'domain': domain,
        'link_mbps': link_mbps,
        'streams': True,
        'ballots': True,
        'walls': True,
    }
    if forwarding is not None:
        row['forwarding'] = f'{forwarding[0]}:{forwarding[1]}'
    return json.dumps(row).encode()


def read_peer(name, value):
    """Return the Peer in a box's record.

    >>> row = write_peer(http.Address('10.0.0.1', 8002), 'd1', 5.0)
    >>> read_peer('b', row).address, read_peer('b', row).link_mbps
    (Address(host='10.0.0.1', port=8002), 5.0)
    >>> read_peer('b', row).forwarding is None
    True
    >>> there = http.Address('10.0.0.1', 8003)
    >>> row = write_peer(http.Address('10.0.0.1', 8002), 'd1', 5.0, there)
    >>> read_peer('b', row).forwarding
    Address(host='10.0.0.1', port=8003)

    Raises
    ------
    decoding.Malformed
    """
    return decoding.decode(
        f'box {decoding.shorten(name)}',
        lambda data: make_peer(name, BOX_DECODER.decode(data)),
        value,
    )


def make_peer(name, row):
    """Return the Peer in a box's record.

    Raises
    ------
    ValueError
        If an address is none.
    """
    forwarding = None
    if row.forwarding is not None:
        forwarding = http.read_address(row.forwarding)
    return Peer(
        name,
        http.read_address(row.address),
        row.domain,
        row.link_mbps,
        forwarding,
        row.streams,
        row.ballots,
        row.walls,
    )
