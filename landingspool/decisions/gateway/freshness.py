"""How old the newest proof is that no later configuration was published.

A read of the platform's store proves, for the moment at which it was sent,
that all published before is known here.  A peer's proof counts with its
age.  Requests with a key are only sent on while the proof is young enough:
a key that was taken away is then refused everywhere within the bound.  A
deployment that would rather be served than have that bound kept says so:
any proof then does, however old (a store that was away for 8 s cost 0.24 of
a day's worth before: 0.56 with the bound, 0.80 without, one seed).
"""

import math

# Time between the check and the first byte that reaches a target, seconds:
# the loop's turn and one trip between failure domains, many times over.
MARGIN_S = 0.25
# What stands in logs and in messages for the age where no proof is known,
# seconds: both carry plain numbers, and any such age is far over the bound.
UNKNOWN_LOGGED_S = 9999.0
UNKNOWN_TOLD_S = 9000.0


class Proof:
    """The moment up to which the configuration is known.

    Parameters
    ----------
    bound_s : float
        Greatest age with which keyed requests are served.
    fails_closed : bool
        Whether the bound holds; otherwise any known proof is fresh.
    """

    def __init__(self, bound_s, fails_closed=True):
        self._bound_s = bound_s - MARGIN_S if fails_closed else math.inf
        self._at = None

    def record(self, sent):
        """Note that a read that was sent at `sent` has been answered."""
        if self._at is None or sent > self._at:
            self._at = sent

    def age(self, now):
        """Give the seconds since the proof; infinite where none is known."""
        return math.inf if self._at is None else now - self._at

    def age_to_log(self, now):
        """Give the age as log lines carry it.

        >>> Proof(5.0).age_to_log(1.0)
        9999.0
        """
        return round(min(self.age(now), UNKNOWN_LOGGED_S), 2)

    def age_to_send(self, now):
        """Give the age as messages to other boxes carry it.

        >>> Proof(5.0).age_to_send(1.0)
        9000.0
        """
        return min(self.age(now), UNKNOWN_TOLD_S)

    def is_fresh(self, now):
        """Tell whether keyed requests may be sent on.

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
