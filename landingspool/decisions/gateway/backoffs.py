"""Keeps this box from sending to targets that have asked it to back off.

A target that rejects a request may name the seconds for which it wants no
requests from the box that sent it.  The back-off applies to this box alone,
and to every kind of request or call.  Each such answer stands by itself:
neither a shorter back-off asked for later nor a success ends a longer one.  A
back-off belongs to one incarnation of the target, also if the target's entry
lapses and comes back during the back-off.

After the back-off one request at a time is sent, until a request that was sent
after the back-off is answered: requests that had to wait elsewhere must not
arrive all at once.
"""

import collections
import typing

from landingspool.decisions.gateway import bounded

# Maximum random share by which a back-off is extended: boxes that were
# rejected together must not return together.
SPREAD = 0.1
# Seconds by which a back-off has to be extended to be logged again: rejections
# of requests under way arrive one after the other.
RELOG_S = 0.5
# Seconds after which an unanswered request no longer blocks the next one.
TRIAL_S = 1.0
# Incarnations with a back-off at the same time: more than deployments have
# targets.
MAX_KNOWN = 1024


class Backoff(typing.NamedTuple):
    """The back-off of one target.

    Attributes
    ----------
    asked : float
        When the answer that asked for the back-off was received.
    until : float
        When it ends.
    tried : float or None
        When a request was last sent since `asked`; None: none was.
    is_reported : bool
        Whether take_over has returned its end.
    """

    asked: float
    until: float
    tried: float | None = None
    is_reported: bool = False


class BackoffChange(typing.NamedTuple):
    """A back-off that has begun or was extended, for the log."""

    name: str
    rest: Backoff


class Backoffs:
    """The back-offs that targets have asked of this box.

    Parameters
    ----------
    rng : random.Random

    Attributes
    ----------
    fresh : list of BackoffChange
        Back-offs begun or extended since the list was last emptied.
    """

    def __init__(self, rng):
        self.fresh = []
        self._rng = rng
        self._known = collections.OrderedDict()
        self._ended = []

    def record_backoff(self, name, seconds, now):
        """Record that a target asks for a back-off of some seconds.

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
        backoff = Backoff(now, until)
        if known is None or until > max(known.until, now) + RELOG_S:
            self.fresh.append(BackoffChange(name, backoff))
        self._known[name] = backoff
        self._known.move_to_end(name)
        bounded.trim(self._known, MAX_KNOWN)

    def record_sent(self, name, now):
        """Record that a request is sent to a target."""
        known = self._known.get(name)
        if known is not None:
            self._known[name] = known._replace(tried=now)

    def record_answered(self, name, asked):
        """Record that a target has answered the request sent to it at `asked`.

        Calls other than requests use no slot of the target, so their answers
        say nothing about how it would respond to requests.

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
        """Return whether this box may send a target one more request now."""
        return not self.compute_wait(name, now)

    def is_backing_off(self, name, now):
        """Return whether this box is backing off from a target now."""
        known = self._known.get(name)
        return known is not None and now < known.until

    def compute_wait(self, name, now):
        """Return the seconds until this box may send; 0: it may now."""
        known = self._known.get(name)
        if known is None:
            return 0.0
        if now < known.until:
            return known.until - now
        if known.tried is None or known.tried < known.until:
            return 0.0
        return max(known.tried + TRIAL_S - now, 0.0)

    def list_backoffs(self, now):
        """Return the seconds left of each back-off, by incarnation name."""
        return {
            name: round(known.until - now, 1)
            for name, known in self._known.items()
            if now < known.until
        }

    def take_over(self, now):
        """Return the names whose back-off has ended since the last call.

        >>> import random
        >>> backoffs = Backoffs(random.Random(1))
        >>> backoffs.record_backoff('t', 1.0, 10.0)
        >>> [backoffs.take_over(at) for at in (10.5, 11.2, 11.3)]
        [[], ['t'], []]
        """
        over, self._ended = self._ended, []
        for name, known in list(self._known.items()):
            if known.until <= now and not known.is_reported:
                self._known[name] = known._replace(is_reported=True)
                over.append(name)
        return over

    def _end(self, name):
        known = self._known.pop(name)
        if not known.is_reported:
            self._ended.append(name)
