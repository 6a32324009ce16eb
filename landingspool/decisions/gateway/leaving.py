"""Tracks the targets that have announced that they are leaving.

A target that is leaving says so in its answers, before the platform's list
does or without it.  The announcement holds for the whole incarnation of the
target, whatever is read later: a reloaded list, the state of another box or an
entry that lapsed and came back reflect what was written before it.

Peers are notified, since a box that has not sent to the target lately, or that
has just started, would otherwise learn of it only by a request that runs on a
target about to exit.
"""

import collections
import typing

from landingspool.decisions.gateway import bounded
from landingspool.decisions.gateway import peer_digests

# Incarnations that are remembered: more than leave during the uptime of a box,
# except for the longest uptimes.
MAX_KNOWN = 4096
# Seconds for which a new notice goes into each digest.  After that it goes
# only into each fifth, for as long as targets usually take to leave.
NEW_S = 1.0
REPEAT_EVERY = 5
REPEAT_FOR_S = 60.0
# Maximum number of notices in one digest, 9 bytes each.
MAX_NOTICES = 40


class Known(typing.NamedTuple):
    """The announcement of one incarnation.

    Attributes
    ----------
    incarnation : int
        Hash of the incarnation's name (peer_digests.hash_target).
    heard : float
        When the answer with the announcement was received.
    box : str
        The peer that reported it; empty if the target itself did.
    is_over : bool
        Whether the incarnation has ended.
    """

    incarnation: int
    heard: float
    box: str = ''
    is_over: bool = False


class Leaving:
    """The incarnations that have announced that they are leaving.

    Attributes
    ----------
    fresh : list of Known
        What was received, or has ended, since the list was last emptied.
    """

    def __init__(self):
        self.fresh = []
        self._known = collections.OrderedDict()
        self._digests = 0

    def record_reported(self, name, now):
        """Record that an answer of a target announced that it is leaving.

        Parameters
        ----------
        name : str
            Of the target's incarnation.

        >>> leaving = Leaving()
        >>> leaving.record_reported('t', 1.0)
        >>> leaving.holds('t'), leaving.holds('u')
        (True, False)
        """
        self._put(Known(peer_digests.hash_target(name), now))

    def take(self, notice, box, now):
        """Apply a notice from a peer.

        Parameters
        ----------
        notice : peer_digests.LeavingNotice
        """
        self._put(Known(notice.incarnation, now - notice.age_ms / 1000, box))

    def record_incarnation_end(self, name):
        """Record that an incarnation ended, keeping its announcement.

        It may only seem to have ended: its entry may have lapsed.
        """
        incarnation = peer_digests.hash_target(name)
        known = self._known.get(incarnation)
        if known is not None and not known.is_over:
            self._known[incarnation] = known._replace(is_over=True)
            self.fresh.append(self._known[incarnation])

    def holds(self, name):
        """Return whether a target has announced that it is leaving."""
        return peer_digests.hash_target(name) in self._known

    def find(self, name):
        """Return the Known announcement of an incarnation, or None."""
        return self._known.get(peer_digests.hash_target(name))

    def tell(self, now):
        """Return the notices for the next digest.

        >>> leaving = Leaving()
        >>> leaving.record_reported('t', 1.0)
        >>> [len(leaving.tell(at)) for at in (1.1, 2.1, 2.3, 2.5, 2.7, 70.0)]
        [1, 0, 0, 0, 1, 0]
        """
        self._digests += 1
        again = self._digests % REPEAT_EVERY == 0
        notices = [
            make_notice(known, now)
            for known in self._known.values()
            if now - known.heard < (REPEAT_FOR_S if again else NEW_S)
        ]
        return tuple(notices[-MAX_NOTICES:])

    def list_notices(self, now):
        """List the notices of running incarnations, for a box that starts."""
        return [
            make_notice(known, now)
            for known in self._known.values()
            if not known.is_over
        ]

    def _put(self, known):
        if known.incarnation in self._known:
            return
        self._known[known.incarnation] = known
        self.fresh.append(known)
        bounded.trim(self._known, MAX_KNOWN)


def make_notice(known, now):
    """Return the peer_digests.LeavingNotice of a Known."""
    age_ms = max(int((now - known.heard) * 1000), 0)
    return peer_digests.LeavingNotice(known.incarnation, age_ms)
