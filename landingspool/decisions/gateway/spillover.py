"""Decides which requests leave the group of their box, and where they go.

A box sends to the engines of its own group (subsets.py) while these have room.
It hears a summary of every other group from some of that group's boxes.  If
its own group is full, slow or gone, a request spills to another group: of the
same failure domain if any has room, else of another domain if that saves more
than the crossing costs.  Groups are drawn in proportion to their free room, so
that boxes which hear the same summaries do not all send to the same group.

A group without a fresh summary may be cut off, or may have lost all its boxes
while its engines are idle: it counts as partly full and gets a smaller share.
"""

import functools
import math
import typing

from landingspool.decisions.gateway import choice
from landingspool.decisions import ownership

# Share of a route's latency objective from which on an expected wait is too
# long for the own group: the remainder covers reading, connecting and a wait
# that was expected shorter than it is.
MAX_WAIT_SHARE = 0.1
# Share of the slots or of the memory of the own group from which on requests
# spill: admission begins to refuse the least urgent ones at 0.8 (admission.py)
# and must not while other groups have room.
MAX_TAKEN = 0.75
# Share by which another group must be less full: without a margin two groups
# at the limit would exchange their requests.
MIN_GAIN = 0.1
# Seconds of waiting that a spill must save within the domain: opening a
# connection to an engine that this box seldom uses.
SPILL_COST_S = choice.CONNECT_S
# The same for another domain, with the trips and the bytes between domains.
CROSSING_COST_S = choice.CONNECT_S + choice.CROSS_DOMAIN_S
# Share of its slots that a group without a fresh summary is assumed to have
# taken.
UNHEARD_TAKEN = 0.5
# Engines of another group that are candidates for a spilled request: the
# better of two drawn at random is nearly as good as the best of all, and boxes
# do not meet at one.
# Source: Mitzenmacher, "The power of two choices in randomized load
# balancing", 2001.
CANDIDATES = 4

# Free slots that a full group counts as in the order of groups.
MIN_WEIGHT = 0.1
# Number of hashes.
HASHES = 2.0**64

# Reasons why a request leaves its group.
GONE = 'gone'
FULL = 'full'
WAIT = 'wait'


class Room(typing.NamedTuple):
    """How full one group is.

    Attributes
    ----------
    key : tuple
        Key of the group; its first field is the domain.
    slots : int
        Slots of all its engines that may get requests.
    taken : float
        Share of the slots or of the memory that is taken, the higher one.
    wait_s : float
        Expected wait at its mean engine, seconds.
    """

    key: tuple
    slots: int
    taken: float
    wait_s: float


def find_reason(own, target_latency_s):
    """Return why a request should leave its group, or None.

    Parameters
    ----------
    own : Room or None
        The box's own group, with the wait at the best of its engines; None
        if none of these can be used.
    target_latency_s : float
        Latency objective of the request's route.

    >>> find_reason(Room(('d', 0), 96, 0.3, 0.01), 0.5) is None
    True
    >>> find_reason(Room(('d', 0), 96, 0.3, 0.2), 0.5)
    'wait'
    """
    if own is None:
        return GONE
    if own.taken > MAX_TAKEN:
        return FULL
    if own.wait_s > target_latency_s * MAX_WAIT_SHARE:
        return WAIT
    return None


def order_groups(rooms, own, reason, domain, box):
    """Order the groups that a request may spill to, the first one preferred.

    Parameters
    ----------
    rooms : sequence of Room
        All groups but the box's own.
    own : Room or None
    reason : str
        As returned by find_reason.
    domain, box : str
        Failure domain and name of this box.

    Returns
    -------
    list of tuple
        Keys of groups: first those of this domain, each set ordered by
        rank_groups.

    >>> rooms = [Room(('e', 0), 96, 0.1, 0.0), Room(('d', 1), 96, 0.2, 0.0)]
    >>> own = Room(('d', 0), 96, 0.9, 0.3)
    >>> order_groups(rooms, own, FULL, 'd', 'b')
    [('d', 1), ('e', 0)]
    """
    gains = GAINS[reason]
    free = {
        room.key: count_free(room)
        for room in rooms
        if gains(room, own, domain)
    }
    near = {key: n for key, n in free.items() if key[0] == domain}
    far = {key: n for key, n in free.items() if key[0] != domain}
    return rank_groups(near, box) + rank_groups(far, box)


def rank_groups(weights, box):
    """Return keys of groups, ordered for one box by weighted hashes.

    Each group is the first one for a share of the boxes that corresponds to
    its weight.  A box keeps to a group as long as weights change little, and
    so keeps its connections there.

    Source: Schindelhauer and Schomaker, "Weighted distributed hash tables",
    2005.

    Parameters
    ----------
    weights : dict of tuple to float
    box : str
    """
    return sorted(
        weights,
        key=lambda key: (
            draw_exponential(key, box) / max(weights[key], MIN_WEIGHT)
        ),
    )


@functools.lru_cache(maxsize=4096)
def draw_exponential(key, box):
    """Return an exponentially distributed number, the same in every process.

    >>> draw_exponential(('d', 1), 'b') > 0
    True
    """
    score = ownership.score(f'spill/{key[0]}/{key[1]}', box)
    return -math.log((score + 1.0) / HASHES)


def count_free(room):
    """Return the free slots of a group."""
    return room.slots * (1.0 - room.taken)


def _gains_any(room, own, domain):
    return room.slots > 0


def _gains_room(room, own, domain):
    return room.slots > 0 and room.taken <= own.taken - MIN_GAIN


def _gains_time(room, own, domain):
    is_near = room.key[0] == domain
    cost_s = SPILL_COST_S if is_near else CROSSING_COST_S
    return (
        0 < count_free(room)
        and room.taken <= MAX_TAKEN
        and room.wait_s + cost_s < own.wait_s
    )


# Whether a group is worth the spill, by its reason.
GAINS = {GONE: _gains_any, FULL: _gains_room, WAIT: _gains_time}


def pick_engines(entries, ready, rng):
    """Pick the engines of another group that are candidates.

    Parameters
    ----------
    entries : list of fleet.Entry
    ready : frozenset of tuple
        Addresses to which there is an idle connection.
    rng : random.Random
    """
    known = [entry for entry in entries if entry.address in ready]
    left = [entry for entry in entries if entry.address not in ready]
    count = min(max(CANDIDATES - len(known), 0), len(left))
    return known + rng.sample(left, count)


def measure_room(key, candidates, wait_s, engines):
    """Return the Room of a group by the candidates that stand for it.

    Parameters
    ----------
    key : tuple
    candidates : sequence of choice.Candidate
        Its engines that may be used, or one for the mean of them.
    wait_s : float
    engines : int
        Number of its engines that may be used.
    """
    taken, slots = choice.count_occupancy(candidates)
    held = choice.measure_memory(candidates).share * candidates[0].weight
    share = max(taken / slots, held)
    return Room(key, slots * engines // len(candidates), share, wait_s)


def assume_room(group):
    """Return the Room of a group without a fresh summary.

    Parameters
    ----------
    group : subsets.Group
    """
    slots = len(group.engines) * group.slots
    return Room(group.key, slots, UNHEARD_TAKEN, 0.0)
