"""Holds what one box has barred, and lets single requests through on trial.

The keys to be barred follow from the evidence (quarantine.py).  The box also
counts its requests that are under way with each key, since suspects and trials
are run one at a time.
"""

import collections
import enum
import math
import typing

from landingspool.decisions.gateway import quarantine
from landingspool.decisions import ownership


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


class Bars:
    """The keys that a box has barred.

    Attributes
    ----------
    fresh : list of bytes
        Keys barred since the list was last emptied.
    lifted : list of bytes
        Keys whose bar was lifted since the list was last emptied.
    """

    def __init__(self):
        self.fresh = []
        self.lifted = []
        self._box = ''
        self._boxes = ('',)
        self._barred = {}
        self._explained = frozenset()
        self._rivals = {}
        self._tried = {}
        self._under_way = collections.Counter()

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

    def update(self, rows):
        """Find the barred keys anew.

        Parameters
        ----------
        rows : dict of bytes to quarantine.Evidence

        Returns
        -------
        bool
            Whether a key was barred.
        """
        before, barred = self._barred, quarantine.find_barred(rows)
        fresh = [key for key in barred if key not in before]
        self.fresh += fresh
        self.lifted += [key for key in before if key not in barred]
        self._barred = {key: rows[key] for key in barred}
        self._explained = frozenset().union(
            *(evidence.crashes for evidence in self._barred.values())
        )
        self._rivals = {}
        self._tried = {k: at for k, at in self._tried.items() if k in barred}
        return bool(fresh)

    def is_barred(self, keys):
        """Return whether one of the keys of a request is barred."""
        return not self._barred.keys().isdisjoint(keys)

    def list_barred(self):
        """List the barred keys."""
        return sorted(self._barred)

    def is_suspect(self, evidence):
        """Return whether one more crash bars a key that was never answered.

        Parameters
        ----------
        evidence : quarantine.Evidence
        """
        if evidence.answered:
            return False
        left = evidence.crashes.keys() - self._explained
        return len(left) >= quarantine.MAX_CRASHES - 1

    def find_suspicion(self, keys, get_evidence, now):
        """Return why a request may not be sent now, or None if it may.

        From the second crash on, this box runs only one such request at a
        time.  Doing so from the first crash would refuse innocent requests:
        some of 24 callers who sent the same request got a 503 because one
        connection had broken.

        Parameters
        ----------
        keys : iterable of bytes
            The keys of the request.
        get_evidence : callable
            Returns the quarantine.Evidence of a key.

        Returns
        -------
        Suspicion or None
        """
        for key in self._barred.keys() & set(keys):
            due = self._compute_trial(key, keys)
            if not self._may_try(key, due, now):
                left_s = max(due - now, 0.0)
                return Suspicion(key, Quarantine.CRASHED, left_s)
        for key in keys:
            if self._under_way[key] and self.is_suspect(get_evidence(key)):
                return Suspicion(key, Quarantine.SUSPECT_RUNNING, 0.0)
        return None

    def _compute_trial(self, key, keys):
        """Return when a request with a barred key may be tried.

        Parameters
        ----------
        keys : iterable of bytes
            All keys of the request.
        """
        if key not in self._rivals:
            self._rivals[key] = quarantine.find_rivals(key, self._barred)
        is_doubtful = not self._rivals[key].issubset(keys)
        return quarantine.compute_trial(self._barred[key], is_doubtful)

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
