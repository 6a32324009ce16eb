"""Keeps the requests that targets broke off until a crash is confirmed.

Connections break for many reasons.  A missing answer is attributed to a crash
of its target if that is confirmed while it waited or soon after.
"""

import collections
import math

from landingspool.decisions.gateway import bounded

# Seconds before a crash is confirmed in which a missing answer is attributed
# to it: entries lapse after three heartbeats.
PENDING_S = 3.0
# Targets, and keys of one target, that are remembered.
MAX_ROWS = 4096


class MissingAnswers:
    """The missing answers of one box, and the crashes that it confirmed.

    Targets are identified by the hash of their incarnation's name.
    """

    def __init__(self):
        self._pending = collections.OrderedDict()
        self._ended = collections.OrderedDict()

    def get_end(self, incarnation):
        """Return when the crash of a target was confirmed, or -inf."""
        return self._ended.get(incarnation, -math.inf)

    def put(self, key, incarnation, now):
        """Record an answer that is missing at `now`."""
        self._drop_old(now)
        keys = self._pending.setdefault(incarnation, collections.OrderedDict())
        keys[key] = now
        self._pending.move_to_end(incarnation)
        bounded.trim(keys, MAX_ROWS)
        bounded.trim(self._pending, MAX_ROWS)

    def take(self, incarnation, now):
        """Confirm a crash; return what is attributed to it.

        Returns
        -------
        dict of bytes to float
            When the answers were found missing, by key.

        >>> missing = MissingAnswers()
        >>> missing.put(b'f', 7, 1.0)
        >>> missing.find(b'f'), missing.take(7, 3.0), missing.get_end(7)
        ({7: 1.0}, {b'f': 1.0}, 3.0)
        """
        self._ended[incarnation] = now
        self._ended.move_to_end(incarnation)
        bounded.trim(self._ended, MAX_ROWS)
        keys = self._pending.pop(incarnation, {})
        return {key: at for key, at in keys.items() if now - at < PENDING_S}

    def find(self, key):
        """Return when answers of targets to a key were missing, by target."""
        return {
            incarnation: keys[key]
            for incarnation, keys in self._pending.items()
            if key in keys
        }

    def _drop_old(self, now):
        """Drop the missing answers that no crash has confirmed in time."""
        while self._pending:
            incarnation, keys = next(iter(self._pending.items()))
            if now - max(keys.values()) < PENDING_S:
                return
            del self._pending[incarnation]
