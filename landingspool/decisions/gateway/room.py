"""Accounts for the room at the targets of a service, as one box knows it.

Engines and plain targets are counted alike: places taken by requests of all
boxes, places in all, and targets that rejected a request lately.  Peers'
requests are known a few tenths of a second late, which is several times the
work of a plain request; a rejection is exact.
"""

import collections
import math
import typing

from landingspool.decisions.gateway import bounded
from landingspool.decisions.gateway import choice

# A box sends one request more than it had at a target that was full, after so
# many times the seconds in which a place becomes free for it.  All boxes do
# so, and what is too much is rejected.  A box that had no other request there
# can't tell when a place becomes free, and waits for one work time: with more
# boxes than places, rejections are a matter of chance.
PROBE_RATIO = 4.0
# Share of a target's places, as known to this box, from which on a rejection
# means that it was full.  Below, the rejection counts as a failure as well.
CROWDED_SHARE = 0.5
# Seconds within which rejections by several targets of a service mean that
# load is high, and not that a target fails.
COMMON_S = 1.0
# Targets whose rejections are remembered: more than a deployment has.
MAX_REJECTIONS = 1024
# Seconds over which the rate of ended requests is averaged: some ten requests
# of one box.
RATE_S = 2.0
# Lowest rate assumed, in requests a second, of a box that has served none.
MIN_RATE_PER_S = 1.0


class Room(typing.NamedTuple):
    """Room at all targets of one service that a request may be sent to.

    Attributes
    ----------
    taken : float
        Requests at them.
    places : int
    targets : int
    rejecting : int
        Targets that have rejected a request and would reject another.
    free_s : float
        Seconds after which places become free for this box, one after the
        other, if all boxes get equal parts; 0.0 if not known.
    """

    taken: float = 0.0
    places: int = 0
    targets: int = 0
    rejecting: int = 0
    free_s: float = 0.0

    def is_full(self):
        """Return whether all targets would reject a further request.

        >>> Room(9.0, 12, 2, 2).is_full(), Room(9.0, 12, 2, 1).is_full()
        (True, False)
        """
        return self.targets > 0 and self.rejecting >= self.targets


class Rejected(typing.NamedTuple):
    """A rejection by a target of a service.

    `own` is the number of other requests that this box had at the target.
    """

    at: float
    service: str
    own: int


class Rejections:
    """The targets that rejected a request of this box lately.

    A target that was full takes as many requests of this box as it had when it
    rejected one, and more as places become free: so what this box may send
    follows the end of its own requests, which it sees at once.
    """

    def __init__(self):
        self._known = collections.OrderedDict()

    def record(self, entry, load, now):
        """Record a rejection.

        Parameters
        ----------
        entry : fleet.Entry
        load : choice.Load
            Requests at the target as known, the rejected one included.
        """
        own = max(load.waiting + load.running - 1, 0)
        self._known[entry.name] = Rejected(now, entry.service, own)
        self._known.move_to_end(entry.name)
        bounded.trim(self._known, MAX_REJECTIONS)

    def is_alone(self, entry, now):
        """Return whether no other target of the service rejected lately."""
        return not any(
            known.service == entry.service
            and name != entry.name
            and now - known.at < COMMON_S
            for name, known in self._known.items()
        )

    def is_full(self, candidate, boxes, now):
        """Return whether a target would reject a further request.

        Parameters
        ----------
        candidate : choice.Candidate
        boxes : int
            Boxes that send to the target, this one included.

        >>> import collections
        >>> entry = collections.namedtuple('Entry', 'name service slots')
        >>> rejections, load = Rejections(), choice.Load(1, peer_running=4.0)
        >>> target = choice.Candidate(entry('t', 's', 6), load, None)
        >>> rejections.record(target.entry, load._replace(waiting=2), 1.0)
        >>> rejections.is_full(target, 5, 1.1)
        True
        >>> rejections.is_full(target, 5, 1.2)
        False
        >>> fewer = target._replace(load=load._replace(waiting=0))
        >>> rejections.is_full(fewer, 5, 1.1)
        False
        >>> idle = target._replace(load=choice.Load(1))
        >>> rejections.is_full(idle, 5, 1.1)
        False
        """
        known = self._known.get(candidate.entry.name)
        if known is None:
            return False
        load, places = candidate.load, max(candidate.entry.slots, 1)
        probe_s = candidate.profile.work_s
        if known.own:
            probe_s *= max(boxes / places * PROBE_RATIO, 1.0)
        allowed = known.own + (now - known.at) / probe_s
        own = load.waiting + load.running
        return own + 1 > allowed and was_crowded(load, places)

    def clear(self):
        """Forget all: after a stall of this box they say nothing."""
        self._known.clear()


class ServedRates:
    """How many requests a second of this box each service has ended lately.

    It is this box's part of what the targets can do, as far as known.
    """

    def __init__(self):
        self._rates = {}

    def record_end(self, service, now):
        """Record that a request has ended at a target of the service."""
        per_s, at = self._rates.get(service, (0.0, now))
        decayed = per_s * decay(now - at)
        self._rates[service] = decayed + 1 / RATE_S, now

    def find(self, service, now):
        """Return requests a second, MIN_RATE_PER_S at least.

        >>> rates = ServedRates()
        >>> for n in range(200):
        ...     rates.record_end('s', n / 20)
        >>> 19 < rates.find('s', 10.0) < 21, rates.find('t', 10.0)
        (True, 1.0)
        """
        per_s, at = self._rates.get(service, (0.0, now))
        return max(per_s * decay(now - at), MIN_RATE_PER_S)


def decay(seconds):
    """Return the weight of what happened some seconds ago."""
    return math.exp(-max(seconds, 0.0) / RATE_S)


def measure(candidates, rejections, boxes, now):
    """Return the Room at some plain targets, and those that are not full.

    Parameters
    ----------
    candidates : sequence of choice.Candidate
    rejections : Rejections
    boxes : int
        Boxes that send to these targets, this one included.

    Returns
    -------
    tuple of (Room, list of choice.Candidate)
    """
    taken, places = choice.count_occupancy(candidates)
    accepting = [
        candidate
        for candidate in candidates
        if not rejections.is_full(candidate, boxes, now)
    ]
    full = len(candidates) - len(accepting)
    work_s = candidates[0].profile.work_s if candidates else 0.0
    free_s = work_s * boxes / max(places, 1)
    return Room(taken, places, len(candidates), full, free_s), accepting


def was_crowded(load, places):
    """Return whether a target that rejected a request was probably full.

    Parameters
    ----------
    load : choice.Load
        Requests at the target as known when it rejected one.
    places : int

    >>> was_crowded(choice.Load(waiting=1, peer_running=3.0), 6)
    True
    >>> was_crowded(choice.Load(waiting=1), 6)
    False
    """
    taken = load.waiting + load.running
    taken += load.peer_waiting + load.peer_running
    return taken >= places * CROWDED_SHARE


def estimate_answer_s(room, work_s):
    """Return the expected seconds to the answer of a further request.

    Targets work on one request for each place, and some let a few more wait.

    Parameters
    ----------
    room : Room
    work_s : float
        Usual seconds of work of a request.

    >>> estimate_answer_s(Room(6.0, 12, 2), 0.06)
    0.06
    >>> estimate_answer_s(Room(24.0, 12, 2), 0.06)
    0.12
    """
    return work_s * max(room.taken / max(room.places, 1), 1.0)
