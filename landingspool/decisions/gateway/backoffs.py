"""Keeps this box away from targets that have asked it for rest.

A target that turns a request away may name the seconds for which it wants
none of the box that sent it.  That binds this box alone, through every way to
the target, and each such answer for itself: neither a shorter rest asked for
later nor a success in between ends a longer one.  It belongs to one life of
the target, also where its entry goes and comes back meanwhile.

After the rest one request at a time goes there, until one is answered that
was sent after it: what had to wait elsewhere must not come all at once.
"""

import collections
import typing

from landingspool.decisions.gateway import bounded

# Part of a rest by which it is prolonged at most, by chance: the boxes that
# were refused together do not return together.
SPREAD = 0.1
# Seconds by which a rest has to be prolonged to be logged again: refusals of
# what was under way come one after the other.
TOLD_AGAIN_S = 0.5
# Seconds after which a request that has no answer keeps no other one back.
TRIAL_S = 1.0
# Lives with rests at the same time: more than deployments have targets.
MOST_KNOWN = 1024


class Rest(typing.NamedTuple):
    """The rest of one target.

    Attributes
    ----------
    asked : float
        When the answer came that asked for it.
    until : float
    tried : float or None
        When a request went there after it; None: none has yet.
    is_told : bool
        Whether take_over has given its end.
    """

    asked: float
    until: float
    tried: float | None = None
    is_told: bool = False


class Asked(typing.NamedTuple):
    """A rest that has begun, or was prolonged, for the log."""

    name: str
    rest: Rest


class Backoffs:
    """The rests that targets have asked of this box.

    Parameters
    ----------
    rng : random.Random

    Attributes
    ----------
    fresh : list of Asked
        What was asked for since it was last emptied.
    """

    def __init__(self, rng):
        self.fresh = []
        self._rng = rng
        self._known = collections.OrderedDict()
        self._ended = []

    def record_backoff(self, name, seconds, now):
        """Take in that a target asks for so many seconds of rest.

        >>> import random
        >>> backoffs = Backoffs(random.Random(1))
        >>> backoffs.record_backoff('t', 3.0, 10.0)
        >>> backoffs.record_backoff('t', 0.5, 10.2)
        >>> backoffs.may_send('t', 13.0), backoffs.may_send('t', 13.31)
        (False, True)
        """
        until = now + seconds * (1 + self._rng.uniform(0, SPREAD))
        known = self._known.get(name)
        if known is not None and known.until >= until:
            return
        rest = Rest(now, until)
        if known is None or until > max(known.until, now) + TOLD_AGAIN_S:
            self.fresh.append(Asked(name, rest))
        self._known[name] = rest
        self._known.move_to_end(name)
        bounded.trim(self._known, MOST_KNOWN)

    def record_sent(self, name, now):
        """Note that a request goes to a target."""
        known = self._known.get(name)
        if known is not None:
            self._known[name] = known._replace(tried=now)

    def record_answered(self, name, asked):
        """Note that a target has answered the request sent to it at `asked`.

        What is asked beside the requests takes no place there, so that its
        answer says nothing of what requests would find.

        >>> import random
        >>> backoffs = Backoffs(random.Random(1))
        >>> backoffs.record_backoff('t', 1.0, 10.0)
        >>> backoffs.record_answered('t', 10.1)
        >>> backoffs.may_send('t', 10.5)
        False
        >>> backoffs.record_sent('t', 11.2)
        >>> backoffs.may_send('t', 11.3), backoffs.may_send('t', 12.3)
        (False, True)
        >>> backoffs.record_answered('t', 11.2)
        >>> backoffs.may_send('t', 11.3)
        True
        """
        known = self._known.get(name)
        if known is not None and asked >= known.until:
            self._end(name)

    def may_send(self, name, now):
        """Tell whether this box may send a target one more request now."""
        return not self.find_wait(name, now)

    def is_resting(self, name, now):
        """Tell whether a target wants nothing of this box now."""
        known = self._known.get(name)
        return known is not None and now < known.until

    def find_wait(self, name, now):
        """Give the seconds until this box may send to a target; 0: it may."""
        known = self._known.get(name)
        if known is None:
            return 0.0
        if now < known.until:
            return known.until - now
        if known.tried is None or known.tried < known.until:
            return 0.0
        return max(known.tried + TRIAL_S - now, 0.0)

    def list_backoffs(self, now):
        """Give the seconds left of each rest, by the name of the life."""
        return {
            name: round(known.until - now, 1)
            for name, known in self._known.items()
            if now < known.until
        }

    def take_over(self, now):
        """Give the names of those whose rest has ended since last asked.

        >>> import random
        >>> backoffs = Backoffs(random.Random(1))
        >>> backoffs.record_backoff('t', 1.0, 10.0)
        >>> backoffs.take_over(10.5), backoffs.take_over(11.2), backoffs.take_over(11.3)
        ([], ['t'], [])
        """
        over, self._ended = self._ended, []
        for name, known in list(self._known.items()):
            if known.until <= now and not known.is_told:
                self._known[name] = known._replace(is_told=True)
                over.append(name)
        return over

    def _end(self, name):
        known = self._known.pop(name)
        if not known.is_told:
            self._ended.append(name)
