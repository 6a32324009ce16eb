"""Keeps the evidence of which requests and parts of prompts crash targets.

A request, or each request with one part in its prompt, may crash each target
that begins to run it, and come again under another id at any box.  So crashes
are counted by what is sent, never by one arrival: under the key of the whole
request and under those of the shared parts of its prompt (fingerprints.py).
Boxes report each crash that they see to their peers.  Which keys are barred
follows from the evidence (quarantine.py).

A crash is seen from the side of a request: its connection breaks while the
target has it.  Many requests share a part, and connections break for other
reasons, too.  So a crash counts against a part only once it is confirmed: the
target's host refuses connections, or the target's entry has ended.  A target
that answers right after a break has not crashed, and what is answered
completely crashes no target: both revoke what was counted.
"""

import collections
import enum
import math
import typing

from landingspool.decisions.gateway import bounded
from landingspool.decisions.gateway import fingerprints
from landingspool.decisions.gateway import gossip
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import quarantine
from landingspool.decisions import ownership

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
# Seconds before a crash is confirmed in which a missing answer is attributed
# to it: entries lapse after three heartbeats.
PENDING_S = 3.0
# Seconds within which two notices that a key was answered completely are
# taken for the same answer.  The age in a notice lacks its transit time, so it
# seems newer with each hop and would be passed on forever.
SAME_ANSWER_S = 1.0
# Every REPEAT_EVERY-th digest announces one of the barred keys again, in turn:
# a box that rejoins after a partition has missed earlier notices, and then
# receives one within a second (test_endings.py).
REPEAT_EVERY = 5


class Quarantine(enum.StrEnum):
    """Why a request may not be sent."""

    CRASHED = 'ended_targets'
    SUSPECT_RUNNING = 'suspect_under_way'


class Suspicion(typing.NamedTuple):
    """Why a request may not be sent.

    Attributes
    ----------
    key : bytes
        What the request has in common with those under which targets crashed.
    reason : Quarantine
    left_s : float
        Seconds until requests with the key may be tried.
    """

    key: bytes
    reason: Quarantine
    left_s: float


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
    fresh : list of bytes
        Keys barred since the list was last emptied; `update` extends it.
    lifted : list of bytes
        Keys whose bar was lifted since the list was last emptied.
    confirmed : list of Crash
        Crashes confirmed since the list was last emptied.
    is_urgent : bool
        Whether there is new evidence of this box, or a new bar, that has not
        been in a digest yet.
    """

    def __init__(self):
        self.fresh = []
        self.lifted = []
        self.confirmed = []
        self.is_urgent = False
        self._box = ''
        self._boxes = ('',)
        self._crashes = collections.OrderedDict()
        self._recent = collections.OrderedDict()
        self._served = collections.OrderedDict()
        self._told = collections.OrderedDict()
        self._alive = collections.OrderedDict()
        self._revoked = collections.OrderedDict()
        self._under_way = collections.Counter()
        self._pending = collections.OrderedDict()
        self._ended = collections.OrderedDict()
        self._tried = {}
        self._barred = set()
        self._rivals = {}
        self._explained = set()
        self._is_outdated = False
        self._gossip = gossip.Gossip()
        self._digests = 0

    def set_members(self, box, boxes):
        """Set the name of this box and those of all boxes.

        Parameters
        ----------
        boxes : iterable of str
        """
        self._box, self._boxes = box, tuple(sorted(boxes))

    def record_sent(self, key, now):
        """Record that a request is sent to a target."""
        self._under_way[key] += 1
        if key in self._barred:
            self._tried[key] = now

    def record_done(self, key):
        """Record that a request is no longer at a target."""
        self._under_way[key] -= 1
        if not self._under_way[key]:
            del self._under_way[key]

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
        >>> crashes.get_quarantine(b'f', 2.0) is None
        True
        >>> crashes.record_lost(b'f', 'c', 2.0)
        >>> crashes.get_quarantine(b'f', 2.0), crashes.fresh
        (<Quarantine.CRASHED: 'ended_targets'>, [b'f'])
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
        ended = self._ended.get(code, -math.inf)
        if sent <= ended and self._alive.get(code, -math.inf) <= ended:
            self._add_own(key, code, ended, now)
            return
        self._drop_pending(now)
        pending = self._pending.setdefault(code, collections.OrderedDict())
        pending[key] = now
        self._pending.move_to_end(code)
        bounded.trim(pending, MAX_KEYS)
        bounded.trim(self._pending, MAX_KEYS)

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
        pending = self._pending.pop(code, {})
        keys = [key for key, at in pending.items() if now - at < PENDING_S]
        for key in keys:
            self._add_own(key, code, pending[key], now)
        self._ended[code] = now
        self._ended.move_to_end(code)
        bounded.trim(self._ended, MAX_KEYS)
        if keys:
            self.confirmed.append(Crash(name, tuple(keys)))

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
                del crashes[incarnation]
                self._revoked[key, incarnation] = sent
                self._drop_if_empty(key)
                self._is_outdated = True
        bounded.trim(self._revoked, MAX_KEYS)

    def record_served(self, key, now):
        """Record that this box has received a complete answer."""
        if key in self._crashes:
            self._clear(key, now)
            self._tell_served(key, now)
        elif fingerprints.is_part(key):
            self._record_answer(key, now)

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
        barred = quarantine.find_barred(rows)
        self.fresh += [key for key in barred if key not in self._barred]
        self.lifted += [key for key in self._barred if key not in barred]
        self.is_urgent |= not barred <= self._barred
        self._barred = barred
        self._explained = {
            incarnation for key in barred for incarnation in self._crashes[key]
        }
        self._tried = {k: at for k, at in self._tried.items() if k in barred}
        self._rivals = {}

    def find_quarantine(self, keys, now):
        """Return why a request may not be sent now, or None if it may.

        From the second crash on, this box runs only one such request at a
        time.  Doing so from the first crash would refuse innocent requests:
        some of 24 callers who sent the same request got a 503 because one
        connection had broken.

        Parameters
        ----------
        keys : iterable of bytes
            The keys of the request.

        Returns
        -------
        Suspicion or None

        >>> crashes = Crashes()
        >>> crashes.record_sent(b'f', 1.0)
        >>> crashes.record_lost(b'f', 'a', 1.0)
        >>> crashes.find_quarantine((b'f',), 1.0)
        >>> crashes.record_lost(b'f', 'b', 1.0)
        >>> crashes.find_quarantine((b'f',), 1.0).reason
        <Quarantine.SUSPECT_RUNNING: 'suspect_under_way'>
        """
        self.update()
        if not self._crashes:
            return None
        for key in self._barred.intersection(keys):
            due = self._compute_trial(key, keys)
            if not self._may_try(key, due, now):
                left_s = max(due - now, 0.0)
                return Suspicion(key, Quarantine.CRASHED, left_s)
        for key in keys:
            if self._under_way[key] and self._is_suspect(
                key, self._crashes.get(key, ())
            ):
                return Suspicion(key, Quarantine.SUSPECT_RUNNING, 0.0)
        return None

    def get_quarantine(self, key, now):
        """Return why requests with nothing but a key may not be sent."""
        found = self.find_quarantine((key,), now)
        return found.reason if found is not None else None

    def is_barred(self, keys):
        """Return whether one of the keys of a request is barred."""
        self.update()
        return not self._barred.isdisjoint(keys)

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
            self._is_suspect(key, self._list_blamed(key))
            for key in keys
            if fingerprints.is_part(key)
        )

    def _is_suspect(self, key, incarnations):
        """Return whether one more crash bars a key that was never answered."""
        if self._has_answered(key):
            return False
        left = set(incarnations) - self._explained
        return len(left) >= quarantine.MAX_CRASHES - 1

    def _list_blamed(self, key):
        """List the targets that broke off under a key, crashed or not."""
        pending = [code for code, keys in self._pending.items() if key in keys]
        return [*pending, *self._crashes.get(key, ())]

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
        return sorted(self._barred)

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

    def _get_evidence(self, key):
        return quarantine.Evidence(
            self._crashes.get(key, {}), self._has_answered(key)
        )

    def _has_answered(self, key):
        """Return whether requests with a part were ever answered.

        A whole request counts as never answered: what it crashes is counted
        anew from each answer on.
        """
        return fingerprints.is_part(key) and key in self._served

    def _compute_trial(self, key, keys):
        """Return when a request with a barred key may be tried.

        Parameters
        ----------
        keys : iterable of bytes
            All keys of the request.
        """
        is_doubtful = not self._find_rivals(key).issubset(keys)
        return quarantine.compute_trial(self._get_evidence(key), is_doubtful)

    def _find_rivals(self, key):
        """Return the keys that explain the crashes of a barred key as well."""
        if key not in self._rivals:
            rows = {other: self._get_evidence(other) for other in self._barred}
            self._rivals[key] = quarantine.find_rivals(key, rows)
        return self._rivals[key]

    def _may_try(self, key, due, now):
        """Return whether this box may let one request with a key through."""
        tried = self._tried.get(key, -math.inf)
        if self._under_way[key] or now - tried < quarantine.TRIAL_TURN_S:
            return False
        order = ownership.rank(key.hex(), self._boxes)
        if self._box not in order:
            return False
        rank = order.index(self._box)
        return quarantine.is_in_turn(due, now, rank, len(order))

    def _drop_pending(self, now):
        """Drop the missing answers that no crash has confirmed in time."""
        while self._pending:
            code, pending = next(iter(self._pending.items()))
            if now - max(pending.values()) < PENDING_S:
                return
            del self._pending[code]

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
                (key for key in self._crashes if key not in self._barred),
                next(iter(self._crashes)),
            )
            del self._crashes[key]
            self._is_outdated |= key in self._barred

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

    def _clear(self, key, at):
        """Revoke all crashes of a key up to `at`."""
        self._record_answer(key, at)
        crashes = self._crashes.get(key, {})
        for incarnation, at_crash in list(crashes.items()):
            if at_crash <= at:
                del crashes[incarnation]
                self._gossip.drop(key, incarnation)
        self._drop_if_empty(key)
        self._is_outdated = True

    def _drop_if_empty(self, key):
        if not self._crashes.get(key):
            self._crashes.pop(key, None)
