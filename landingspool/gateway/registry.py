"""Makes this box known through the platform's store, and reads of others.

The list is a start and a check: digests between boxes tell of new ones
much sooner.  So it is read seldom, and an entry that is not renewed stays
until its box says that it stops.

It is read before anything else: a box that knows the others follows one of
these as soon as it has read the store once.
"""

import asyncio
import json
import random
import typing

from landingspool import http
from landingspool.platform import boot
from landingspool.platform import names
from landingspool.platform import store as store_module

# Period of the reads of the list, seconds: a call of each box, and digests
# tell of new boxes within a second.  Where there are more boxes than so many
# it is longer, so that all together ask no more often.
BOXES_S = 30.0
MIN_BOXES = 8
# Seconds from this box's entry to the second reading of the list where the
# whole system starts: all boxes start within 0.3 s, and the store takes the
# entries of 195 of them one after the other, in 0.4 s.
GATHERING_S = 0.8
# Pause between two tries to tell the store of this box, seconds.
REGISTER_S = 0.7


class Peer(typing.NamedTuple):
    """Another box."""

    name: str
    address: http.Address
    domain: str
    link_mbps: float = 0.0


class Registry:
    """The boxes that the store lists.

    Parameters
    ----------
    hub
        The box's parts: `deployment`, `store`, `view`, `clock`.
    peers : dict of str to Peer
        The other boxes by name, kept up to date in place.

    Attributes
    ----------
    listed : asyncio.Event
        Set once the other boxes are known, as far as the store tells.
    was_read : bool
        Whether the store has ever told which boxes there are.
    """

    def __init__(self, hub, peers):
        self._hub = hub
        self._peers = peers
        self.listed = asyncio.Event()
        self.was_read = False

    async def run(self):
        """Make this box known, and learn now and then which others are."""
        if not self._hub.deployment.first_start:
            await self._begin()
        await self._register()
        if self._hub.deployment.first_start:
            await asyncio.sleep(GATHERING_S)
            await self._begin()
        while True:
            # Spread, since all boxes start at once.
            await asyncio.sleep(self._find_period() * random.uniform(0.5, 1.5))
            await self._read_list()

    async def _begin(self):
        """Read the list for the first time, and let the others go on."""
        await self._read_list()
        self.listed.set()

    async def _read_list(self):
        newest = await self._hub.store.read_newest(names.BOXES_TOPIC)
        if isinstance(newest, store_module.Newest):
            self._take(newest)
            self.was_read = True

    def _find_period(self):
        boxes = len(self._peers) + 1
        return BOXES_S * max(boxes / MIN_BOXES, 1.0)

    async def leave(self):
        """Make it known that this box stops."""
        await self._hub.store.append(
            names.BOXES_TOPIC, self._hub.deployment.box, b''
        )

    async def _register(self):
        """Make this box known through the store; ends when it is."""
        deployment = self._hub.deployment
        row = write_peer(
            deployment.links, deployment.domain, deployment.link_mbps
        )
        while True:
            reply = await self._hub.store.append(
                names.BOXES_TOPIC, deployment.box, row
            )
            if isinstance(reply, store_module.Appended):
                return
            await asyncio.sleep(REGISTER_S)

    def _take(self, newest):
        listed = {}
        for key, value, _ in newest.records:
            peer = read_peer(key, value)
            if peer is not None and key != self._hub.deployment.box:
                listed[key] = peer
        heard = self._hub.view.neighbours.list_fresh_peers(self._hub.clock())
        for name in list(self._peers):
            if name not in listed and name not in heard:
                del self._peers[name]
        self._peers.update(listed)


def write_peer(address, domain, link_mbps):
    """Give the record of a box.

    >>> write_peer(http.Address('10.0.0.1', 8002), 'd1', 5.0)
    b'{"address": "10.0.0.1:8002", "domain": "d1", "link_mbps": 5.0}'
    """
    row = {
        'address': f'{address[0]}:{address[1]}',
        'domain': domain,
        'link_mbps': link_mbps,
    }
    return json.dumps(row).encode()


def read_peer(name, value):
    """Give the Peer in a box's record; None where there is none.

    >>> row = write_peer(http.Address('10.0.0.1', 8002), 'd1', 5.0)
    >>> read_peer('b', row).address, read_peer('b', row).link_mbps
    (Address(host='10.0.0.1', port=8002), 5.0)
    >>> read_peer('b', b'') is None
    True
    """
    try:
        row = json.loads(value)
        address = boot.parse_address(row['address'])
        link_mbps = float(row.get('link_mbps', 0.0))
        return address and Peer(name, address, row['domain'], link_mbps)
    except (ValueError, KeyError, TypeError):
        return None
