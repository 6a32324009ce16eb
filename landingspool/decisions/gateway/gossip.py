"""Spreads notices to peers by gossip, each of them in several digests.

Digests are small and may be lost: each takes the most important notices, and a
notice goes into several of them.  A box that receives a new notice passes it
on, so that it reaches all boxes although each digest reaches only some.
"""

from landingspool.decisions.gateway import peer_digests

# Maximum number of notices in one digest: 23 bytes each, so that a digest fits
# into one packet.
MAX_NOTICES = 40
# Number of digests that carry a notice, so that a lost datagram does not
# matter: all of 195 boxes receive it within 2.8 s even if 30 % of the
# datagrams are lost.
REPEATS = 3


class Gossip:
    """The notices that a box has yet to send, by request and target."""

    def __init__(self):
        self._at = {}
        self._sent_counts = {}

    def put(self, fingerprint, incarnation, at):
        """Queue a notice of what happened at `at`."""
        key = fingerprint, incarnation
        self._at[key] = at
        self._sent_counts[key] = 0

    def drop(self, fingerprint, incarnation):
        """Drop a notice that no longer holds, if it is queued."""
        key = fingerprint, incarnation
        if self._sent_counts.pop(key, None) is not None:
            del self._at[key]

    def list_due_notices(self, now, weigh):
        """Return the notices for the next digest.

        Parameters
        ----------
        weigh : callable
            ``weigh(fingerprint, incarnation)``: notices of the greatest weight
            go first, and of equal ones those sent least often.

        Returns
        -------
        list of peer_digests.CrashNotice

        >>> gossip = Gossip()
        >>> gossip.put(b'f', 7, 1.0)
        >>> gossip.list_due_notices(1.5, lambda *key: 1)
        [CrashNotice(fingerprint=b'f', incarnation=7, age_ms=500)]
        >>> [
        ...     len(gossip.list_due_notices(1.5, lambda *key: 1))
        ...     for _ in 'abc'
        ... ]
        [1, 1, 0]
        """
        order = sorted(
            self._sent_counts,
            key=lambda key: (-weigh(*key), self._sent_counts[key]),
        )
        notices = []
        for key in order[:MAX_NOTICES]:
            notices.append(make_notice(*key, self._at[key], now))
            self._sent_counts[key] += 1
            if self._sent_counts[key] >= REPEATS:
                del self._sent_counts[key], self._at[key]
        return notices


def make_notice(fingerprint, incarnation, at, now):
    """Return the notice of what happened at `at`."""
    age_ms = max(int((now - at) * 1000), 0)
    return peer_digests.CrashNotice(fingerprint, incarnation, age_ms)
