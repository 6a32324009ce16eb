"""Which requests targets end under, counted over all arrivals and boxes.

A request may end each target that begins to run it, and come again under
another name at any box.  So what is counted hangs from what a request asks
for (its fingerprint), not from one arrival, and boxes tell each other of each
end that they see.  A request under which three targets have ended reaches no
further one.

An end is seen from a request's side: its connection breaks while the target
has it.  All that a target had breaks with it, so an end says little of any
one request; three say much, since few requests share them.  A target that
answers right after has not ended, and a request that is answered whole ends
nobody: both take back what was counted.
"""

import collections
import enum
import math

from landingspool.decisions.gateway import bounded
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import gossip

# Targets that may end under a request: the users' rule names the third, and
# an innocent request is seldom at three that end (of 230 arrivals lost at 13
# engines that ended within 12 s, 64 were lost at two and 1 at three).
MOST_ENDS = 3
# Seconds for which an end is remembered: what ends targets does so whenever
# it comes, and each time it is forgotten costs one more.
REMEMBERED_S = 3600.0
# Fingerprints that are remembered: 64 targets that end with 64 requests each.
# 3.5 MB where all of them have three ends (tracemalloc).
MOST_MARKS = 4096
# Seconds after a loss within which an answer of the target shows that it
# lives.  One that ends is back after some seconds, at times under its id.
ALIVE_S = 1.0
# Seconds before a target's end is known for sure in which an answer that
# stayed away counts as lost by it: entries go after three heartbeats.
PENDING_S = 3.0
# Seconds within which two words that a request was answered whole are of the
# same answer: a word's age lacks the time for which it was on its way, and
# one that seems newer with each hop would be told for ever.
SAME_S = 1.0
# Every so many digests one barred request is told again, each in its turn: a
# box that comes back from a cut has missed what was told meanwhile, and hears
# of one within a second (test_endings.py).
AGAIN_EVERY = 5


class Bar(enum.StrEnum):
    """Why a request may not be sent."""

    ENDED = 'ended_targets'
    UNDER_WAY = 'suspect_under_way'


class Crashes:
    """The ends that a box has seen or heard of.

    Attributes
    ----------
    fresh : list of bytes
        Fingerprints barred since it was last emptied.
    lifted : list of bytes
        Those that may be sent again since it was last emptied.
    """

    def __init__(self):
        self.fresh = []
        self.lifted = []
        self._marks = collections.OrderedDict()
        self._recent = collections.OrderedDict()
        self._served = collections.OrderedDict()
        self._alive = collections.OrderedDict()
        self._void = collections.OrderedDict()
        self._under_way = collections.Counter()
        self._pending = []
        self._rumors = gossip.Rumors()
        self._digests = 0

    def record_sent(self, fingerprint):
        """Note that a request goes to a target."""
        self._under_way[fingerprint] += 1

    def record_done(self, fingerprint):
        """Note that a request is no longer at a target."""
        self._under_way[fingerprint] -= 1
        if not self._under_way[fingerprint]:
            del self._under_way[fingerprint]

    def record_lost(self, fingerprint, name, now):
        """Note that a target broke off a request that it had.

        Parameters
        ----------
        name : str
            Of the target's life.

        >>> endings = Crashes()
        >>> for name in ('a', 'b', 'b'):
        ...     endings.record_lost(b'f', name, 1.0)
        >>> endings.get_quarantine(b'f', 2.0) is None
        True
        >>> endings.record_lost(b'f', 'c', 2.0)
        >>> endings.get_quarantine(b'f', 2.0), endings.fresh
        (<Bar.ENDED: 'ended_targets'>, [b'f'])
        """
        self._add(fingerprint, peer_digests.hash_target(name), now, now)

    def record_unanswered(self, fingerprint, name, now):
        """Note that no answer came, for whatever reason.

        It counts if the target's end is known soon after.
        """
        self._pending = [
            row for row in self._pending if now - row[2] < PENDING_S
        ]
        code = peer_digests.hash_target(name)
        self._pending.append((fingerprint, code, now))

    def record_over(self, name, now):
        """Take in that a target has ended, as its entry tells.

        >>> endings = Crashes()
        >>> endings.record_unanswered(b'f', 'a', 1.0)
        >>> endings.record_over('a', 3.0)
        >>> endings.count(b'f', 3.0)
        1
        """
        code = peer_digests.hash_target(name)
        for fingerprint, life, at in self._pending:
            if life == code and now - at < PENDING_S:
                self._add(fingerprint, life, at, now)
        self._pending = [row for row in self._pending if row[1] != code]

    def record_alive(self, name, sent):
        """Note that a target answers what was sent to it at `sent`.

        What it broke off shortly before, it did not break off by ending.

        >>> endings = Crashes()
        >>> endings.record_lost(b'f', 'a', 1.0)
        >>> endings.record_alive('a', 1.5)
        >>> endings.count(b'f', 2.0)
        0
        """
        life = peer_digests.hash_target(name)
        self._alive[life] = max(sent, self._alive.get(life, sent))
        self._alive.move_to_end(life)
        bounded.trim(self._alive, MOST_MARKS)
        for fingerprint in self._recent.pop(life, ()):
            ends = self._marks.get(fingerprint, {})
            if life in ends and self._is_alive(life, ends[life]):
                del ends[life]
                self._void[fingerprint, life] = sent
                self._record_fewer(fingerprint, len(ends) + 1)
        bounded.trim(self._void, MOST_MARKS)

    def record_served(self, fingerprint, now):
        """Note that a request was answered whole, here."""
        if fingerprint in self._marks:
            self._clear(fingerprint, now)
            self._rumors.put(fingerprint, peer_digests.NO_INCARNATION, now)

    def take(self, word, now):
        """Take in a word of another box; what is new is told on.

        >>> endings = Crashes()
        >>> for life in (7, 8, 9):
        ...     endings.take(peer_digests.CrashNotice(b'f', life, 100), 5.0)
        >>> endings.get_quarantine(b'f', 5.0) is Bar.ENDED
        True
        >>> served = peer_digests.CrashNotice(b'f', peer_digests.NO_INCARNATION, 0)
        >>> endings.take(served, 5.0)
        >>> endings.get_quarantine(b'f', 5.0), endings.lifted
        (None, [b'f'])
        """
        at = now - word.age_ms / 1000
        if word.life == peer_digests.NO_INCARNATION:
            if at > self._served.get(word.fingerprint, -math.inf) + SAME_S:
                self._clear(word.fingerprint, at)
                self._rumors.put(
                    word.fingerprint, peer_digests.NO_INCARNATION, at
                )
            return
        self._add(word.fingerprint, word.life, at, now)

    def count(self, fingerprint, now):
        """Count the targets that ended under a request."""
        ends = self._marks.get(fingerprint)
        if ends is None:
            return 0
        return sum(1 for at in ends.values() if now - at < REMEMBERED_S)

    def get_quarantine(self, fingerprint, now):
        """Give why a request may not be sent now; None: it may.

        From the second end on one at a time is sent by this box.  From the
        first on would refuse the innocent: of 24 callers who asked for the
        same, some got a 503 since one connection had broken.

        >>> endings = Crashes()
        >>> endings.record_sent(b'f')
        >>> endings.record_lost(b'f', 'a', 1.0)
        >>> endings.get_quarantine(b'f', 1.0)
        >>> endings.record_lost(b'f', 'b', 1.0)
        >>> endings.get_quarantine(b'f', 1.0)
        <Bar.UNDER_WAY: 'suspect_under_way'>
        """
        ends = self.count(fingerprint, now)
        if ends >= MOST_ENDS:
            return Bar.ENDED
        if ends == MOST_ENDS - 1 and self._under_way[fingerprint]:
            return Bar.UNDER_WAY
        return None

    def find_left(self, fingerprint, now):
        """Give the seconds for which a request stays barred."""
        ends = sorted(self._marks.get(fingerprint, {}).values())
        if len(ends) < MOST_ENDS:
            return 0.0
        return max(ends[-MOST_ENDS] + REMEMBERED_S - now, 0.0)

    def list_notices(self, fingerprint, now):
        """List what is known of a request, as words."""
        ends = self._marks.get(fingerprint, {})
        return [
            gossip.make_notice(fingerprint, life, at, now)
            for life, at in ends.items()
        ]

    def list_known(self, now, least=MOST_ENDS - 1):
        """List the words of requests with so many ends or more.

        A box that starts needs no more: who ended one target alone may end
        as many again as the rule allows.
        """
        return [
            word
            for fingerprint, ends in self._marks.items()
            if len(ends) >= least
            for word in self.list_notices(fingerprint, now)
        ]

    def list_quarantined(self, now):
        """List the fingerprints of which no more is sent."""
        return [f for f in self._marks if self.count(f, now) >= MOST_ENDS]

    def tell(self, now):
        """Give the words for the next digest.

        First those of requests under which most targets ended.
        """
        words = self._rumors.tell(now, self._weigh)
        self._digests += 1
        if self._digests % AGAIN_EVERY == 0:
            words += self._tell_again(now)
        return tuple(words)

    def _tell_again(self, now):
        barred = self.list_quarantined(now)
        if not barred:
            return []
        turn = self._digests // AGAIN_EVERY % len(barred)
        return self.list_notices(barred[turn], now)

    def _weigh(self, fingerprint):
        return min(len(self._marks.get(fingerprint, ())), MOST_ENDS)

    def _is_alive(self, life, at):
        return at < self._alive.get(life, at) <= at + ALIVE_S

    def _add(self, fingerprint, life, at, now):
        """Count an end, unless it is known or was taken back."""
        if now - at >= REMEMBERED_S or self._is_alive(life, at):
            return
        if at <= self._served.get(fingerprint, -math.inf):
            return
        if (fingerprint, life) in self._void:
            return
        ends = self._marks.setdefault(fingerprint, {})
        if life in ends or len(ends) > MOST_ENDS:
            return
        ends[life] = at
        self._marks.move_to_end(fingerprint)
        bounded.trim(self._marks, MOST_MARKS)
        self._recent.setdefault(life, set()).add(fingerprint)
        bounded.trim(self._recent, MOST_MARKS)
        self._rumors.put(fingerprint, life, at)
        if len(ends) == MOST_ENDS:
            self.fresh.append(fingerprint)

    def _clear(self, fingerprint, at):
        """Take back all ends of a request up to `at`."""
        self._served[fingerprint] = at
        self._served.move_to_end(fingerprint)
        bounded.trim(self._served, MOST_MARKS)
        ends = self._marks.get(fingerprint, {})
        before = len(ends)
        for life in [life for life, end in ends.items() if end <= at]:
            del ends[life]
        self._record_fewer(fingerprint, before)

    def _record_fewer(self, fingerprint, before):
        left = len(self._marks.get(fingerprint, ()))
        if before >= MOST_ENDS > left:
            self.lifted.append(fingerprint)
        if not left:
            self._marks.pop(fingerprint, None)
