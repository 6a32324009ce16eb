"""Keeps the evidence of which requests and parts of prompts crash targets.

A request, or each request with one part in its prompt, may crash each target
that begins to run it, and come again under another id at any box.  So crashes
are counted by what is sent, never by one arrival: under the key of the whole
request and under those of the shared parts of its prompt (fingerprints.py).
Boxes report each crash that they see to their peers.  Which keys are barred
follows from the evidence (quarantine.py, bars.py).

A crash is seen from the side of a request: its connection breaks while the
target has it.  Many requests share a part, and connections break for other
reasons, too.  So a crash counts against a part only once it is confirmed: the
target's host refuses connections, or the target's entry has ended.  A target
that answers right after a break has not crashed, and what is answered
completely crashes no target: both revoke what was counted.
"""

import collections
import math
import typing

from landingspool.decisions.gateway import bars as bars_module
from landingspool.decisions.gateway import bounded
from landingspool.decisions.gateway import fingerprints
from landingspool.decisions.gateway import gossip
from landingspool.decisions.gateway import missing_answers
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import quarantine

# Seconds for which a crash is remembered.  What crashes targets does so
# whenever it comes, and each time it is forgotten costs more targets.
REMEMBERED_S = 86400.0
# Keys that are remembered: 64 targets that crash with 64 requests each.  They
# take 3.5 MB if all of them have three crashes.
MAX_KEYS = 4096
# Crashes that are counted for one key; more don't change any decision.
MAX_COUNTED = 12
# Seconds after a lost connection within which an answer shows that the target
# is alive.  A target that crashes is back after some seconds, at times under
# the same id.
ALIVE_S = 1.0
# Seconds within which two notices that a key was answered completely are
# taken for the same answer.  The age in a notice lacks its transit time, so it
# seems newer with each hop and would be passed on forever.
SAME_ANSWER_S = 1.0
# Every REPEAT_EVERY-th digest announces one of the barred keys again, in turn:
# a box that rejoins after a partition has missed earlier notices, and then
# receives one within a second (test_endings.py).
REPEAT_EVERY = 5


class Crash(typing.NamedTuple):
    """A crash that this box has confirmed, for the log.

    Attributes
    ----------
    target : str
        Name of the target's incarnation.
    keys : tuple of bytes
        What this box had lost there.
    """

    target: str
    keys: tuple


class Crashes:
    """The crashes that a box has seen or received notice of.

    Attributes
    ----------
    bars : bars.Bars
        The barred keys, as of the last `update`.
    confirmed : list of Crash
        Crashes confirmed since the list was last emptied.
    is_urgent : bool
        Whether there is new evidence of this box, or a new bar, that has not
        been in a digest yet.
    """

    def __init__(self):
        self.bars = bars_module.Bars()
        self.confirmed = []
        self.is_urgent = False
        self._crashes = collections.OrderedDict()
        self._recent = collections.OrderedDict()
        self._served = collections.OrderedDict()
        self._lifted = collections.OrderedDict()
        self._told = collections.OrderedDict()
        self._alive = collections.OrderedDict()
        self._revoked = collections.OrderedDict()
        self._missing = missing_answers.MissingAnswers()
        self._is_outdated = False
        self._gossip = gossip.Gossip()
        self._digests = 0

    def record_broken(self, keys, name, sent, now):
        """Record that the connection to a target broke during a request.

        Parameters
        ----------
        keys : iterable of bytes
            The keys of the request.
        name : str
            Name of the target's incarnation.
        sent, now : float
            When it was sent, and when the connection broke.
        """
        for key in keys:
            if fingerprints.is_part(key):
                self.record_unanswered(key, name, sent, now)
            else:
                self.record_lost(key, name, now)

    def record_lost(self, key, name, now):
        """Record a crash that needs no confirmation.

        Parameters
        ----------
        name : str
            Name of the target's incarnation.

        >>> crashes = Crashes()
        >>> for name in ('a', 'b', 'b'):
        ...     crashes.record_lost(b'f', name, 1.0)
        >>> crashes.list_quarantined(2.0)
        []
        >>> crashes.record_lost(b'f', 'c', 2.0)
        >>> crashes.list_quarantined(2.0)
        [b'f']
        """
        self._add_own(key, peer_digests.hash_target(name), now, now)

    def record_unanswered(self, key, name, sent, now):
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
        code = peer_digests.hash_target(name)
        ended = self._missing.get_end(code)
        if sent <= ended and self._alive.get(code, -math.inf) <= ended:
            self._add_own(key, code, ended, now)
        else:
            self._missing.put(key, code, now)

    def record_incarnation_end(self, name, now):
        """Record that the crash of a target is confirmed.

        Its entry has ended, or its host refuses connections.

        >>> crashes = Crashes()
        >>> crashes.record_unanswered(b'f', 'a', 0.5, 1.0)
        >>> crashes.record_incarnation_end('a', 3.0)
        >>> crashes.count(b'f', 3.0)
        1
        """
        code = peer_digests.hash_target(name)
        missing = self._missing.take(code, now)
        for key, at in missing.items():
            self._add_own(key, code, at, now)
        if missing:
            self.confirmed.append(Crash(name, tuple(missing)))

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
        bounded.trim(self._alive, MAX_KEYS)
        for key in self._recent.pop(incarnation, ()):
            crashes = self._crashes.get(key, {})
            if incarnation in crashes and self._is_alive(
                incarnation, crashes[incarnation]
            ):
                self._remove(key, [incarnation])
                self._revoked[key, incarnation] = sent
        bounded.trim(self._revoked, MAX_KEYS)

    def record_served(self, key, now):
        """Record that this box has received a complete answer."""
        if key in self._crashes:
            self._clear(key, now)
            self._gossip.put(key, peer_digests.NO_INCARNATION, now)
        elif fingerprints.is_part(key):
            self._record_answer(key, now)

    def take(self, notice, now):
        """Apply a notice from a peer, and pass it on if it is new.

        >>> crashes = Crashes()
        >>> for incarnation in (7, 8, 9):
        ...     crashes.take(
        ...         peer_digests.CrashNotice(b'f', incarnation, 100), 5.0
        ...     )
        >>> crashes.list_quarantined(5.0)
        [b'f']
        >>> none = peer_digests.NO_INCARNATION
        >>> crashes.take(peer_digests.CrashNotice(b'f', none, 0), 5.0)
        >>> crashes.list_quarantined(5.0), crashes.bars.lifted
        ([], [b'f'])
        """
        key, at = notice.fingerprint, now - notice.age_ms / 1000
        if notice.incarnation != peer_digests.NO_INCARNATION:
            self._add(key, notice.incarnation, at, now)
        elif at > self._served.get(key, -math.inf) + SAME_ANSWER_S:
            self._clear(key, at)
            self._gossip.put(key, peer_digests.NO_INCARNATION, at)

    def count(self, key, now):
        """Count the targets that crashed under a key."""
        crashes = self._crashes.get(key)
        if crashes is None:
            return 0
        return sum(1 for at in crashes.values() if now - at < REMEMBERED_S)

    def update(self):
        """Find the barred keys anew if the evidence has changed."""
        if not self._is_outdated:
            return
        self._is_outdated = False
        rows = {
            key: self._get_evidence(key)
            for key, crashes in self._crashes.items()
            if len(crashes) >= quarantine.MAX_CRASHES
        }
        self.is_urgent |= self.bars.update(rows)

    def find_quarantine(self, keys, now):
        """Return why a request may not be sent now, or None if it may.

        Parameters
        ----------
        keys : iterable of bytes
            The keys of the request.

        Returns
        -------
        bars.Suspicion or None

        >>> crashes = Crashes()
        >>> crashes.bars.record_sent(b'f', 1.0)
        >>> crashes.record_lost(b'f', 'a', 1.0)
        >>> crashes.find_quarantine((b'f',), 1.0)
        >>> crashes.record_lost(b'f', 'b', 1.0)
        >>> crashes.find_quarantine((b'f',), 1.0).reason
        <Quarantine.SUSPECT_RUNNING: 'suspect_under_way'>
        """
        self.update()
        if not self._crashes:
            return None
        return self.bars.find_suspicion(keys, self._get_evidence, now)

    def is_barred(self, keys):
        """Return whether one of the keys of a request is barred."""
        self.update()
        return self.bars.is_barred(keys)

    def may_repeat(self, keys):
        """Return whether a request that broke may be repeated.

        It may not if one more crash bars a part of its prompt.  Crashes that
        are not confirmed yet count here, too: the repeat would come first.

        Parameters
        ----------
        keys : iterable of bytes
            The keys of the request.

        >>> crashes = Crashes()
        >>> keys = (b'f', b'part:f')
        >>> crashes.record_broken(keys, 'a', 0.5, 1.0)
        >>> crashes.may_repeat(keys)
        True
        >>> crashes.record_broken(keys, 'b', 0.5, 1.0)
        >>> crashes.may_repeat(keys), crashes.count(b'part:f', 1.0)
        (False, 0)
        """
        self.update()
        return not any(
            self.bars.is_suspect(
                self._get_evidence(key, self._missing.find(key))
            )
            for key in keys
            if fingerprints.is_part(key)
        )

    def list_notices(self, key, now):
        """List what is known about a key, as notices."""
        return [
            gossip.make_notice(key, incarnation, at, now)
            for incarnation, at in self._crashes.get(key, {}).items()
        ]

    def list_known(self, now, least=quarantine.MAX_CRASHES - 1):
        """List the notices of keys with at least `least` crashes.

        A box that starts needs no others: a request with a single crash may
        crash as many more targets as the rule allows.
        """
        found = []
        for key, crashes in self._crashes.items():
            if len(crashes) >= least:
                found += self._list_evidence(key, now)
        return found

    def list_quarantined(self, now):
        """List the barred keys."""
        self.update()
        return self.bars.list_barred()

    def describe_suspects(self, keys, limit):
        """Return the keys with most evidence: crashes, and if ever answered.

        Parameters
        ----------
        keys : iterable of bytes
        limit : int
            Maximum number of keys.
        """
        rows = [(key, self._get_evidence(key)) for key in keys]
        rows.sort(key=lambda row: row[1].strength, reverse=True)
        return {
            fingerprints.describe(key): [len(row.crashes), row.answered]
            for key, row in rows[:limit]
        }

    def list_due_notices(self, now):
        """Return the notices for the next digest.

        What lifts a bar comes first, and then the keys under which most
        targets crashed.
        """
        self.is_urgent = False
        notices = self._gossip.list_due_notices(now, self._weigh)
        self._digests += 1
        if self._digests % REPEAT_EVERY == 0:
            notices += self._repeat_notices(now)
        return tuple(notices)

    def _repeat_notices(self, now):
        barred = self.list_quarantined(now)
        if not barred:
            return []
        position = self._digests // REPEAT_EVERY % len(barred)
        return self._list_evidence(barred[position], now)

    def _list_evidence(self, key, now):
        """List all that speaks for and against a key, as notices."""
        notices = self.list_notices(key, now)
        if self._has_answered(key):
            none, at = peer_digests.NO_INCARNATION, self._served[key]
            notices.append(gossip.make_notice(key, none, at, now))
        return notices

    def _weigh(self, key, incarnation):
        """Return the weight of a notice in digests.

        A crash breaks many requests that are in no other crash, but few parts
        that were never answered.
        """
        if incarnation == peer_digests.NO_INCARNATION:
            return quarantine.MAX_CRASHES
        if self._has_answered(key):
            return 0
        weight = len(self._crashes.get(key, ())) + fingerprints.is_part(key)
        return min(weight, quarantine.MAX_CRASHES)

    def _get_evidence(self, key, missing=None):
        """Return what speaks against a key.

        Parameters
        ----------
        missing : dict of int to float, optional
            Missing answers that count as crashes, by target.
        """
        crashes = self._crashes.get(key, {})
        if missing:
            crashes = {**missing, **crashes}
        return quarantine.Evidence(crashes, self._has_answered(key))

    def _has_answered(self, key):
        """Return whether requests with a part were ever answered.

        A whole request counts as never answered: what it crashes is counted
        anew from each answer on.
        """
        return fingerprints.is_part(key) and key in self._served

    def _is_alive(self, incarnation, at):
        return at < self._alive.get(incarnation, at) <= at + ALIVE_S

    def _add_own(self, key, incarnation, at, now):
        """Count a crash that this box has seen."""
        before = len(self._crashes.get(key, ()))
        self._add(key, incarnation, at, now)
        is_new = len(self._crashes.get(key, ())) > before
        if is_new and fingerprints.is_part(key):
            self.is_urgent |= not self._has_answered(key)

    def _add(self, key, incarnation, at, now):
        """Count a crash, unless it is known or was revoked."""
        if now - at >= REMEMBERED_S or self._is_alive(incarnation, at):
            return
        if at <= self._served.get(key, -math.inf):
            if fingerprints.is_part(key):
                self._tell_served(key, now)
            return
        if (key, incarnation) in self._revoked:
            return
        if at <= self._lifted.get(key, -math.inf):
            return
        crashes = self._crashes.setdefault(key, {})
        if incarnation in crashes or len(crashes) >= MAX_COUNTED:
            return
        crashes[incarnation] = at
        self._crashes.move_to_end(key)
        self._trim()
        self._recent.setdefault(incarnation, set()).add(key)
        bounded.trim(self._recent, MAX_KEYS)
        self._gossip.put(key, incarnation, at)
        if self._has_answered(key):
            self._tell_served(key, now)
        self._is_outdated |= len(crashes) >= quarantine.MAX_CRASHES

    def _trim(self):
        """Forget the keys that crashed no target for longest, barred last."""
        while len(self._crashes) > MAX_KEYS:
            key = next(
                (k for k in self._crashes if not self.bars.is_barred((k,))),
                next(iter(self._crashes)),
            )
            self._remove(key, list(self._crashes[key]))

    def _tell_served(self, key, now):
        """Tell peers of the last complete answer, once in SAME_ANSWER_S."""
        if now - self._told.get(key, -math.inf) < SAME_ANSWER_S:
            return
        self._told[key] = now
        self._told.move_to_end(key)
        bounded.trim(self._told, MAX_KEYS)
        self._gossip.put(key, peer_digests.NO_INCARNATION, self._served[key])

    def _record_answer(self, key, at):
        self._served[key] = max(at, self._served.get(key, at))
        self._served.move_to_end(key)
        bounded.trim(self._served, MAX_KEYS)

    def lift(self, key, now):
        """Revoke all crashes of a key, as an operator or another box asks.

        It does not count as answered by that.
        """
        self._lifted[key] = now
        self._lifted.move_to_end(key)
        bounded.trim(self._lifted, MAX_KEYS)
        self._remove_until(key, now)

    def forget_lift(self, key):
        """Let all crashes of a key count that a later record names.

        A lift counts from when this box reads it, which may be long after
        these crashes.

        >>> crashes = Crashes()
        >>> crashes.lift(b'f', 9.0)
        >>> notice = peer_digests.CrashNotice(b'f', 7, 1000)
        >>> crashes.take(notice, 9.0)
        >>> crashes.count(b'f', 9.0)
        0
        >>> crashes.forget_lift(b'f')
        >>> crashes.take(notice, 9.0)
        >>> crashes.count(b'f', 9.0)
        1
        """
        self._lifted.pop(key, None)

    def _clear(self, key, at):
        """Revoke all crashes of a key up to a complete answer."""
        self._record_answer(key, at)
        self._remove_until(key, at)

    def _remove_until(self, key, at):
        crashes = self._crashes.get(key, {})
        self._remove(key, [code for code, t in crashes.items() if t <= at])

    def _remove(self, key, incarnations):
        """Remove crashes of a key, and the notices of them."""
        crashes = self._crashes.get(key, {})
        # A new answer matters even if it revokes no crash.
        self._is_outdated |= len(crashes) >= quarantine.MAX_CRASHES
        for incarnation in incarnations:
            del crashes[incarnation]
            self._gossip.drop(key, incarnation)
        if not crashes:
            self._crashes.pop(key, None)
