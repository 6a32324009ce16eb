"""Tells the other boxes, a few times a second, what this one has under way.

In a small fleet each box tells all others.  In a large one it tells the
collectors of its domain, and collects itself where others tell it.
"""

from landingspool.decisions.gateway import collectors
from landingspool.decisions.gateway import neighbours

# Period of the digests and totals, seconds: about the reading of two long
# prompts (0.1 s each), so that boxes seldom choose the same idle target.
PERIOD_S = 0.2


class Telling:
    """Sends digests and totals, and takes in those of others.

    Parameters
    ----------
    hub
        The box's parts: `place`, `view`, `clock`, `peering`.
    send : callable
        ``send(message, address)``.
    """

    def __init__(self, hub, send):
        self._hub = hub
        self._send = send
        self._number = 0
        self._collectors = collectors.Collectors(hub.place.box)
        self._tellers = collectors.Contacts()
        self._abroad = collectors.Contacts()

    def tell(self, tick):
        """Tell what is under way now."""
        digest = self._make_digest()
        self._hub.view.neighbours.note_told(digest.loads)
        peers = self._hub.peering.peers
        if len(peers) < collectors.MOST_FLAT:
            self._tell_some(digest)
            return
        near = self._list_near()
        told = self._collectors.pick(near, tick.now)
        for name in told:
            self._send(digest, peers[name].address)
        self._collect(digest, near, tick.now)
        if not self._hub.view.neighbours.has_total(tick.now):
            self._tell_some(digest)

    def take_digest(self, digest, address, now):
        """Take in a digest of another box."""
        self._hub.view.neighbours.take(digest, now)
        self._hub.view.suspect(digest.unreached, now)
        if digest.domain == self._hub.place.domain:
            self._tellers.note(digest.box, address, now)

    def take_total(self, total, address, now):
        """Take in a total of a collector."""
        self._hub.view.neighbours.take_total(total, now)
        if total.whole:
            self._collectors.note_total(total.box, now)
            self._hub.view.suspect(total.unreached, now)
        else:
            self._abroad.note(total.box, address, now)

    def _make_digest(self):
        view, place = self._hub.view, self._hub.place
        self._number += 1
        return neighbours.Digest(
            box=place.box,
            domain=place.domain,
            number=self._number,
            loads=view.list_loads(),
            unreached=tuple(view.reach.list_failed()),
        )

    def _tell_some(self, digest):
        for address in self._hub.peering.pick_some(neighbours.FAN_OUT):
            self._send(digest, address)

    def _collect(self, digest, near, now):
        """Add up for those that tell this box, if any do."""
        tellers = self._tellers.list_fresh(now)
        if not tellers and not self._collectors.is_collector(near):
            return
        known = self._hub.view.neighbours
        part = known.add_up(digest, now)
        for address in self._list_abroad(now):
            self._send(part, address)
        total = known.add_domains(part, now)
        for address in tellers:
            self._send(total, address)
        known.take_total(total, now)

    def _list_abroad(self, now):
        """List the addresses of the collectors of the other domains."""
        by_domain = {}
        for name, peer in self._hub.peering.peers.items():
            if peer.domain != self._hub.place.domain:
                by_domain.setdefault(peer.domain, []).append(name)
        first = [
            tuple(self._hub.peering.peers[name].address)
            for names in by_domain.values()
            for name in collectors.rank(names)[: collectors.COLLECTORS]
        ]
        # Others collect there where the first ones are away.
        heard = [tuple(address) for address in self._abroad.list_fresh(now)]
        return sorted({*first, *heard})

    def _list_near(self):
        domain = self._hub.place.domain
        peers = self._hub.peering.peers
        return [name for name, peer in peers.items() if peer.domain == domain]
