"""Decides which box a request is forwarded to if this one can't send it.

A box that is partitioned from the targets of a service hands its requests to
a peer that reaches them.  Peers say in their digests what they can't reach; a
peer without a fresh digest isn't chosen.
"""

import collections

# Seconds for which a peer that failed is avoided: its next digests tell
# whether it reaches the targets.
AVOID_S = 0.5
# Peers in this domain are preferred while the requests of the whole domain
# load each of them at most this many times as much as its own do.
MAX_LOAD_RATIO = 2
# Capacity of a link that is not known, Mbit/s.
DEFAULT_LINK_MBPS = 10.0


class Forwarding:
    """The peers that one box forwards requests to.

    Parameters
    ----------
    view : view.View
    """

    def __init__(self, view):
        self._view = view
        self._under_way = collections.Counter()
        self._avoided = {}

    def is_cut_off(self, service, now):
        """Return whether only peers reach the targets of a service.

        Parameters
        ----------
        service : str

        Returns
        -------
        bool
            False also if no peer is known to reach them.
        """
        if not self._is_unreached(service):
            return False
        return bool(self._list_able(service, now))

    def is_unreachable(self, service, now):
        """Return whether neither this box nor any peer reaches a service.

        False if no peer has reported: then the targets are tried from here.
        """
        if not self._is_unreached(service):
            return False
        peers = self._view.peer_digests.list_fresh(now)
        targets = self._list_targets(service)
        return bool(peers) and not any(
            is_able(digest, targets) for digest in peers
        )

    def pick_peer(self, service, tried, now):
        """Pick the box to which a request is forwarded.

        Parameters
        ----------
        tried : collection of str
            Boxes that have failed to serve this request.

        Returns
        -------
        str or None
            None: no peer is known to reach the service.
        """
        able = [
            digest
            for digest in self._list_able(service, now)
            if digest.box not in tried
        ]
        if not able:
            return None
        rng = self._view.rng
        return min(
            self._prefer_near(able, now),
            key=lambda digest: (self._weigh(digest), rng.random()),
        ).box

    def record_sent(self, peer, now):
        """Record that a request is forwarded to a peer."""
        self._under_way[peer] += 1

    def record_end(self, peer, now):
        """Record that a forwarded request has ended, in whatever way."""
        self._under_way[peer] -= 1
        if self._under_way[peer] <= 0:
            del self._under_way[peer]

    def record_failed(self, peer, now):
        """Record that a peer didn't answer, or can't reach a service."""
        self._avoided = {
            name: until for name, until in self._avoided.items() if now < until
        }
        self._avoided[peer] = now + AVOID_S

    def _is_unreached(self, service):
        partitioned = self._view.partition.is_on
        failed = self._view.reachability.list_failed()
        if not partitioned and not failed:
            return False
        targets = self._list_targets(service)
        return bool(targets) and (partitioned or targets.issubset(failed))

    def _list_targets(self, service):
        entries = self._view.fleet.list_service(service)
        return frozenset(entry.name for entry in entries)

    def _list_able(self, service, now):
        """List the digests of the peers that a request may be sent to."""
        targets = self._list_targets(service)
        return [
            digest
            for digest in self._view.peer_digests.list_fresh(now)
            if is_able(digest, targets)
            and now >= self._avoided.get(digest.box, now)
        ]

    def _prefer_near(self, able, now):
        """Return the peers in this domain if they can take its requests."""
        domain = self._view.domain
        near = [digest for digest in able if digest.domain == domain]
        boxes = 1 + sum(
            digest.domain == domain
            for digest in self._view.peer_digests.list_fresh(now)
        )
        return near if len(near) * MAX_LOAD_RATIO >= boxes else able

    def _weigh(self, digest):
        link_mbps = digest.link_mbps or DEFAULT_LINK_MBPS
        return (self._under_way[digest.box] + 1) / link_mbps


def is_able(digest, targets):
    """Return whether a peer reports that it reaches any of some targets.

    Parameters
    ----------
    digest : peer_digests.Digest
    targets : frozenset of str

    >>> from landingspool.decisions.gateway import peer_digests
    >>> digest = peer_digests.Digest('b', 'd', 1, {}, unreached=('t',))
    >>> is_able(digest, frozenset('tu')), is_able(digest, frozenset('t'))
    (True, False)
    """
    return not digest.partitioned and not targets.issubset(digest.unreached)
