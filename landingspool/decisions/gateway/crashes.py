"""Quarantines requests under which targets crash.

A request may crash each target that begins to run it, and come again under
another id at any box.  So crashes are counted by what a request asks for (its
fingerprint), not by one arrival, and boxes report each crash that they see to
their peers.  A request under which three targets have crashed is sent to no
further target.

A crash is seen from the side of a request: its connection breaks while the
target has it.  All requests at a target break with it, so one crash says
little about any one of them.  Three crashes say much, since few requests share
them.  A target that answers right afterwards has not crashed, and a request
that is answered completely crashes no target: both revoke what was counted.
"""

import collections
import enum
import math

from landingspool.decisions.gateway import bounded
from landingspool.decisions.gateway import gossip
from landingspool.decisions.gateway import peer_digests

# Targets that may crash under a request before it is quarantined.  The
# requirements allow three, and an innocent request is seldom at three targets
# that crash: of 230 arrivals lost at 13 engines that crashed within
# 12 s, 64 were lost at two and 1 at three.
MAX_CRASHES = 3
# Seconds for which a crash is remembered.  A request that crashes targets does
# so whenever it comes, and each time it is forgotten costs one more target.
REMEMBERED_S = 3600.0
# Fingerprints that are remembered: 64 targets that crash with 64 requests
# each.  They take 3.5 MB if all of them have three crashes.
MAX_FINGERPRINTS = 4096
# Seconds after a lost connection within which an answer shows that the target
# is alive.  A target that crashes is back after some seconds, at times under
# the same id.
ALIVE_S = 1.0
# Seconds before a crash is confirmed in which a missing answer is attributed
# to it: entries lapse after three heartbeats.
PENDING_S = 3.0
# Seconds within which two notices that a request was answered completely are
# taken for the same answer.  The age in a notice lacks its transit time, so it
# seems newer with each hop and would be passed on forever.
SAME_ANSWER_S = 1.0
# Every REPEAT_EVERY-th digest announces one of the quarantined requests again,
# in turn: a box that rejoins after a partition has missed earlier notices, and
# then receives one within a second (test_endings.py).
REPEAT_EVERY = 5


class Quarantine(enum.StrEnum):
    """Why a request may not be sent."""

    CRASHED = 'ended_targets'
    SUSPECT_RUNNING = 'suspect_under_way'


class Crashes:
    """The crashes that a box has seen or received notice of.

    Attributes
    ----------
    fresh : list of bytes
        Fingerprints quarantined since the list was last emptied.
    lifted : list of bytes
        Fingerprints released from quarantine since the list was last emptied.
    """

    def __init__(self):
        self.fresh = []
        self.lifted = []
        self._crashes = collections.OrderedDict()
        self._recent = collections.OrderedDict()
        self._served = collections.OrderedDict()
        self._alive = collections.OrderedDict()
        self._revoked = collections.OrderedDict()
        self._under_way = collections.Counter()
        self._pending = []
        self._ended = collections.OrderedDict()
        self._gossip = gossip.Gossip()
        self._digests = 0

    def record_sent(self, fingerprint):
        """Record that a request is sent to a target."""
        self._under_way[fingerprint] += 1

    def record_done(self, fingerprint):
        """Record that a request is no longer at a target."""
        self._under_way[fingerprint] -= 1
        if not self._under_way[fingerprint]:
            del self._under_way[fingerprint]

    def record_lost(self, fingerprint, name, now):
        """Record that the connection to a target broke during a request.

        Parameters
        ----------
        name : str
            Name of the target's incarnation.

        >>> crashes = Crashes()
        >>> for name in ('a', 'b', 'b'):
        ...     crashes.record_lost(b'f', name, 1.0)
        >>> crashes.get_quarantine(b'f', 2.0) is None
        True
        >>> crashes.record_lost(b'f', 'c', 2.0)
        >>> crashes.get_quarantine(b'f', 2.0), crashes.fresh
        (<Quarantine.CRASHED: 'ended_targets'>, [b'f'])
        """
        self._add(fingerprint, peer_digests.hash_target(name), now, now)

    def record_unanswered(self, fingerprint, name, sent, now):
        """Record that no answer came, for whatever reason.

        The attempt counts as a crash if the crash of the target was confirmed
        while it waited, or is confirmed soon after.  It doesn't count before
        it has ended: a target whose entry has gone may serve on.

        >>> crashes = Crashes()
        >>> crashes.record_incarnation_end('a', 2.0)
        >>> crashes.record_unanswered(b'f', 'a', 1.0, 3.0)
        >>> crashes.record_unanswered(b'g', 'a', 2.5, 3.0)
        >>> crashes.count(b'f', 3.0), crashes.count(b'g', 3.0)
        (1, 0)
        """
        self._pending = [
            row for row in self._pending if now - row[2] < PENDING_S
        ]
        code = peer_digests.hash_target(name)
        ended = self._ended.get(code, -math.inf)
        if sent <= ended and self._alive.get(code, -math.inf) <= ended:
            self._add(fingerprint, code, ended, now)
        else:
            self._pending.append((fingerprint, code, now))

    def record_incarnation_end(self, name, now):
        """Record a crash that the target's entry has confirmed.

        >>> crashes = Crashes()
        >>> crashes.record_unanswered(b'f', 'a', 0.5, 1.0)
        >>> crashes.record_incarnation_end('a', 3.0)
        >>> crashes.count(b'f', 3.0)
        1
        """
        code = peer_digests.hash_target(name)
        for fingerprint, incarnation, at in self._pending:
            if incarnation == code and now - at < PENDING_S:
                self._add(fingerprint, incarnation, at, now)
        self._pending = [row for row in self._pending if row[1] != code]
        self._ended[code] = now
        self._ended.move_to_end(code)
        bounded.trim(self._ended, MAX_FINGERPRINTS)

    def record_alive(self, name, sent):
        """Record that a target answers what was sent to it at `sent`.

        Connections that broke shortly before then did not break by a crash.

        >>> crashes = Crashes()
        >>> crashes.record_lost(b'f', 'a', 1.0)
        >>> crashes.record_alive('a', 1.5)
        >>> crashes.count(b'f', 2.0)
        0
        """
        incarnation = peer_digests.hash_target(name)
        self._alive[incarnation] = max(
            sent, self._alive.get(incarnation, sent)
        )
        self._alive.move_to_end(incarnation)
        bounded.trim(self._alive, MAX_FINGERPRINTS)
        for fingerprint in self._recent.pop(incarnation, ()):
            crashes = self._crashes.get(fingerprint, {})
            if incarnation in crashes and self._is_alive(
                incarnation, crashes[incarnation]
            ):
                del crashes[incarnation]
                self._revoked[fingerprint, incarnation] = sent
                self._record_fewer(fingerprint, len(crashes) + 1)
        bounded.trim(self._revoked, MAX_FINGERPRINTS)

    def record_served(self, fingerprint, now):
        """Record that this box answered a request completely."""
        if fingerprint in self._crashes:
            self._clear(fingerprint, now)
            self._gossip.put(fingerprint, peer_digests.NO_INCARNATION, now)

    def take(self, notice, now):
        """Apply a notice from a peer, and pass it on if it is new.

        >>> crashes = Crashes()
        >>> for incarnation in (7, 8, 9):
        ...     crashes.take(
        ...         peer_digests.CrashNotice(b'f', incarnation, 100), 5.0
        ...     )
        >>> crashes.get_quarantine(b'f', 5.0) is Quarantine.CRASHED
        True
        >>> none = peer_digests.NO_INCARNATION
        >>> crashes.take(peer_digests.CrashNotice(b'f', none, 0), 5.0)
        >>> crashes.get_quarantine(b'f', 5.0), crashes.lifted
        (None, [b'f'])
        """
        at = now - notice.age_ms / 1000
        if notice.incarnation == peer_digests.NO_INCARNATION:
            if (
                at
                > self._served.get(notice.fingerprint, -math.inf)
                + SAME_ANSWER_S
            ):
                self._clear(notice.fingerprint, at)
                self._gossip.put(
                    notice.fingerprint, peer_digests.NO_INCARNATION, at
                )
            return
        self._add(notice.fingerprint, notice.incarnation, at, now)

    def count(self, fingerprint, now):
        """Count the targets that crashed under a request."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return 0
        return sum(1 for at in crashes.values() if now - at < REMEMBERED_S)

    def get_quarantine(self, fingerprint, now):
        """Return why a request may not be sent now, or None if it may.

        From the second crash on, this box runs only one such request at a
        time.  Doing so from the first crash would refuse innocent requests:
        some of 24 callers who sent the same request got a 503 because one
        connection had broken.

        >>> crashes = Crashes()
        >>> crashes.record_sent(b'f')
        >>> crashes.record_lost(b'f', 'a', 1.0)
        >>> crashes.get_quarantine(b'f', 1.0)
        >>> crashes.record_lost(b'f', 'b', 1.0)
        >>> crashes.get_quarantine(b'f', 1.0)
        <Quarantine.SUSPECT_RUNNING: 'suspect_under_way'>
        """
        crashes = self.count(fingerprint, now)
        if crashes >= MAX_CRASHES:
            return Quarantine.CRASHED
        if crashes == MAX_CRASHES - 1 and self._under_way[fingerprint]:
            return Quarantine.SUSPECT_RUNNING
        return None

    def get_seconds_left(self, fingerprint, now):
        """Return the seconds for which a request stays quarantined."""
        crashes = sorted(self._crashes.get(fingerprint, {}).values())
        if len(crashes) < MAX_CRASHES:
            return 0.0
        return max(crashes[-MAX_CRASHES] + REMEMBERED_S - now, 0.0)

    def list_notices(self, fingerprint, now):
        """List what is known about a request, as notices."""
        crashes = self._crashes.get(fingerprint, {})
        return [
            gossip.make_notice(fingerprint, incarnation, at, now)
            for incarnation, at in crashes.items()
        ]

    def list_known(self, now, least=MAX_CRASHES - 1):
        """List the notices of requests with at least `least` crashes.

        A box that starts needs no others: a request with a single crash may
        crash as many more targets as the rule allows.
        """
        return [
            notice
            for fingerprint, crashes in self._crashes.items()
            if len(crashes) >= least
            for notice in self.list_notices(fingerprint, now)
        ]

    def list_quarantined(self, now):
        """List the fingerprints of quarantined requests."""
        return [f for f in self._crashes if self.count(f, now) >= MAX_CRASHES]

    def list_due_notices(self, now):
        """Return the notices for the next digest.

        Requests under which most targets crashed come first.
        """
        notices = self._gossip.list_due_notices(now, self._weigh)
        self._digests += 1
        if self._digests % REPEAT_EVERY == 0:
            notices += self._repeat_notices(now)
        return tuple(notices)

    def _repeat_notices(self, now):
        quarantined = self.list_quarantined(now)
        if not quarantined:
            return []
        position = self._digests // REPEAT_EVERY % len(quarantined)
        return self.list_notices(quarantined[position], now)

    def _weigh(self, fingerprint):
        return min(len(self._crashes.get(fingerprint, ())), MAX_CRASHES)

    def _is_alive(self, incarnation, at):
        return at < self._alive.get(incarnation, at) <= at + ALIVE_S

    def _add(self, fingerprint, incarnation, at, now):
        """Count a crash, unless it is known or was revoked."""
        if now - at >= REMEMBERED_S or self._is_alive(incarnation, at):
            return
        if at <= self._served.get(fingerprint, -math.inf):
            return
        if (fingerprint, incarnation) in self._revoked:
            return
        crashes = self._crashes.setdefault(fingerprint, {})
        if incarnation in crashes or len(crashes) > MAX_CRASHES:
            return
        crashes[incarnation] = at
        self._crashes.move_to_end(fingerprint)
        bounded.trim(self._crashes, MAX_FINGERPRINTS)
        self._recent.setdefault(incarnation, set()).add(fingerprint)
        bounded.trim(self._recent, MAX_FINGERPRINTS)
        self._gossip.put(fingerprint, incarnation, at)
        if len(crashes) == MAX_CRASHES:
            self.fresh.append(fingerprint)

    def _clear(self, fingerprint, at):
        """Revoke all crashes of a request up to `at`."""
        self._served[fingerprint] = at
        self._served.move_to_end(fingerprint)
        bounded.trim(self._served, MAX_FINGERPRINTS)
        crashes = self._crashes.get(fingerprint, {})
        before = len(crashes)
        for incarnation in [
            incarnation
            for incarnation, at_crash in crashes.items()
            if at_crash <= at
        ]:
            del crashes[incarnation]
        self._record_fewer(fingerprint, before)

    def _record_fewer(self, fingerprint, before):
        left = len(self._crashes.get(fingerprint, ()))
        if before >= MAX_CRASHES > left:
            self.lifted.append(fingerprint)
        if not left:
            self._crashes.pop(fingerprint, None)
