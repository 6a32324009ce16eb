"""Tracks until when this box is known to have the newest configuration.

A read of the platform's store proves that everything published before the read
was sent is known here.  A peer's proof counts with its age.  Requests with a
key are only sent while the proof is young enough: so a revoked key is refused
everywhere within the bound.  A deployment may prefer availability to that
bound: then any proof is enough, however old.  With the bound an outage of the
store for 8 s cost 0.24 of the value that requests earn (0.56 instead of 0.80).
"""

import math

# Margin in seconds for the time from the check until the first byte reaches a
# target: many times a turn of the event loop and a trip between failure
# domains.
MARGIN_S = 0.25
# Seconds between two proofs above which a table may have come and gone in
# between without being known here.
MAX_GAP_S = 2.0
# Age in seconds that logs and messages carry if there is no proof: both carry
# plain numbers, and any such age is far above the bound.
UNKNOWN_LOGGED_S = 9999.0
UNKNOWN_TOLD_S = 9000.0


class Proof:
    """The moment up to which the configuration is known.

    Parameters
    ----------
    bound_s : float
        Maximum age of the proof for requests with a key, in seconds.
    fails_closed : bool
        Whether the bound applies; otherwise any proof is fresh.
    """

    def __init__(self, bound_s, fails_closed=True):
        self._bound_s = bound_s - MARGIN_S if fails_closed else math.inf
        self._at = None
        # Since when no proof was older than MAX_GAP_S as the next one came.
        self._unbroken_since = math.inf

    def record(self, sent):
        """Record that a read that was sent at `sent` was answered."""
        if self._at is not None and sent <= self._at:
            return
        if self.age(sent) > MAX_GAP_S:
            self._unbroken_since = sent
        self._at = sent

    def is_unbroken(self, since, now):
        """Return whether all tables since a time have been known soon.

        >>> proof = Proof(5.0)
        >>> proof.record(1.0)
        >>> proof.is_unbroken(1.0, 2.0), proof.is_unbroken(0.5, 2.0)
        (True, False)
        >>> proof.record(2.0 + MAX_GAP_S)
        >>> proof.is_unbroken(1.0, 2.0 + MAX_GAP_S)
        False
        """
        is_known = self.age(now) <= MAX_GAP_S
        return is_known and self._unbroken_since <= since

    def age(self, now):
        """Return the seconds since the proof; infinite if there is none."""
        return math.inf if self._at is None else now - self._at

    def age_to_log(self, now):
        """Return the age as log lines carry it.

        >>> Proof(5.0).age_to_log(1.0)
        9999.0
        """
        return round(min(self.age(now), UNKNOWN_LOGGED_S), 2)

    def age_to_send(self, now):
        """Return the age as messages to other boxes carry it.

        >>> Proof(5.0).age_to_send(1.0)
        9000.0
        """
        return min(self.age(now), UNKNOWN_TOLD_S)

    def is_fresh(self, now):
        """Return whether requests with a key may be sent.

        >>> proof = Proof(5.0)
        >>> proof.is_fresh(1.0)
        False
        >>> proof.record(1.0)
        >>> proof.is_fresh(5.5), proof.is_fresh(5.9)
        (True, False)
        >>> proof = Proof(5.0, fails_closed=False)
        >>> proof.is_fresh(1.0)
        False
        >>> proof.record(1.0)
        >>> proof.is_fresh(99.0)
        True
        """
        return self.age(now) < self._bound_s
