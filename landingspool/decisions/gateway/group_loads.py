"""Keeps what boxes hear of the load of other groups, and balances over them.

Each digest carries a summary of the sender's own group (subsets.py).  The
newest one tells how much room a group has now; smoothed ones tell whether a
group lastingly gets more than others, as while demand differs between failure
domains.  Then a part of its requests goes to groups that get less: waiting
until its queues are long would help only those who come later.
"""

import collections
import typing

from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import service_figures

# Seconds for which a summary counts.  Some of a group's boxes send it to each
# other box one to three times a second; a group of which nothing is heard for
# longer has no boxes in reach.
FRESH_S = 2.0
# Half-life in seconds of the smoothed load of a group: some requests of each
# engine, and a small part of the time in which the demand of a domain changes.
HALF_LIFE_S = 0.5
# Share by which the own group's smoothed load must exceed that of the mean
# group before a part of its requests is balanced over others: less is chance.
TOLERANCE = 0.1
# Part of the requests that is balanced for an excess load of 1.  The load seen
# is that after balancing: with 2, an excess of a half shrinks to a seventh.
GAIN = 2.0
# Highest part that is balanced: reports are late, and groups that get all
# requests of others would send them back.
MAX_BALANCED = 0.6
# Seconds of reading that wait at the mean engine of the own group, from which
# on requests are balanced: an eighth of the shortest latency objectives (0.5
# s).  Below it a crossing, which costs bytes and a connection, saves callers
# nothing that they notice.
MIN_BALANCED_WAIT_S = 0.07
# Reason of the requests that are balanced over groups.
BALANCE = 'balance'
# Where a spilled request goes.
DOMAIN = 'domain'
CROSSING = 'crossing'


class Received(typing.NamedTuple):
    """The newest summary of a group, and when it was received."""

    load: peer_digests.GroupLoad
    at: float


class Smoothed(typing.NamedTuple):
    """The smoothed load at the mean engine of a group, as compute_mean."""

    mean: tuple
    engines: int
    at: float

    @property
    def busy(self):
        """Requests at an engine, begun and waiting."""
        return self.mean[1] + self.mean[3]


class Balance(typing.NamedTuple):
    """Which part of a group's requests other groups take.

    Attributes
    ----------
    share : float
        Of the requests that the group would get; 0 if none are balanced.
    weights : dict of tuple to float
        Load that the other groups lack, by their keys.
    """

    share: float = 0.0
    weights: dict = {}


class Summaries:
    """The newest summary of each group, and the count of spilled requests.

    Attributes
    ----------
    spilled : collections.Counter
        Requests that left their group, by reason and destination.
    """

    def __init__(self):
        self._received = {}
        self._smoothed = {}
        self.spilled = collections.Counter()

    def take(self, digest, now):
        """Store the summaries in the digest of another box."""
        for load in digest.groups:
            self.record(load, digest.domain, now)

    def record(self, load, domain, now):
        """Store the summary of a group of a domain."""
        key = load.service, domain, load.index
        self._received[key] = Received(load, now)
        known = self._smoothed.get(key)
        self._smoothed[key] = smooth(known, load, now)

    def compute_balance(
        self,
        service,
        keys,
        own_key,
        now,
        read_tokens_s=service_figures.READ_TOKENS_S,
    ):
        """Return the Balance of the own group.

        Parameters
        ----------
        service : int
            Hash of the service's name.
        keys : iterable of tuple
            Keys of all groups.
        own_key : tuple
        read_tokens_s : float
            As in balance_groups.
        """
        groups = {}
        for key in keys:
            load = self._smoothed.get((service, *key))
            if load is not None and now - load.at <= FRESH_S and load.engines:
                groups[key] = load
        own = groups.pop(own_key, None)
        return balance_groups(own, groups, read_tokens_s)

    def get(self, service, key, now):
        """Return the fresh peer_digests.GroupLoad of a group, or None.

        Parameters
        ----------
        service : int
            Hash of the service's name.
        key : tuple
            Domain and number of the group.

        >>> summaries = Summaries()
        >>> load = peer_digests.GroupLoad(7, 1, 4, 0, 2, 900, 0)
        >>> digest = peer_digests.Digest('b', 'd', 1, {}, groups=(load,))
        >>> summaries.take(digest, 1.0)
        >>> summaries.get(7, ('d', 1), 2.5) == load
        True
        >>> summaries.get(7, ('d', 1), 3.5) is None
        True
        """
        known = self._received.get((service, *key))
        if known is None or now - known.at > FRESH_S:
            return None
        return known.load

    def exclude_stall(self, seconds):
        """Exclude a stall of this box from the age of summaries."""
        for key, row in self._received.items():
            self._received[key] = row._replace(at=row.at + seconds)

    def describe_spilled(self):
        """Return the requests that left their group, for the log.

        >>> summaries = Summaries()
        >>> summaries.count('wait', is_crossing=True)
        >>> summaries.describe_spilled()
        {'wait/crossing': 1}
        """
        return {'/'.join(key): count for key, count in self.spilled.items()}

    def count(self, reason, is_crossing):
        """Count a request that is sent to another group."""
        self.spilled[reason, CROSSING if is_crossing else DOMAIN] += 1


def smooth(known, load, now):
    """Return the Smoothed load of a group after a new summary."""
    mean = compute_mean(load)
    if known is None or not known.engines:
        return Smoothed(mean, load.engines, now)
    weight = 1.0 - 0.5 ** ((now - known.at) / HALF_LIFE_S)
    pairs = zip(known.mean, mean, strict=True)
    smoothed = tuple(old + weight * (new - old) for old, new in pairs)
    return Smoothed(smoothed, load.engines, now)


def balance_groups(own, groups, read_tokens_s=service_figures.READ_TOKENS_S):
    """Return the Balance between a group and others.

    Parameters
    ----------
    own : Smoothed or None
    groups : dict of tuple to Smoothed
        The other groups.
    read_tokens_s : float
        Prompt tokens that a typical engine reads in a second.

    >>> full = Smoothed((9000.0, 4.0, 0.0, 4.0), 4, 1.0)
    >>> idle = Smoothed((0.0, 2.0, 0.0, 0.0), 4, 1.0)
    >>> balance_groups(full, {('d', 1): idle})
    Balance(share=0.6, weights={('d', 1): 12.0})
    >>> balance_groups(idle, {('d', 1): full})
    Balance(share=0.0, weights={})
    """
    if own is None or not groups:
        return Balance()
    rows = [own, *groups.values()]
    engines = sum(row.engines for row in rows)
    mean = sum(row.busy * row.engines for row in rows) / engines
    wait_s = own.mean[0] / read_tokens_s
    if own.busy <= mean * (1 + TOLERANCE) or wait_s < MIN_BALANCED_WAIT_S:
        return Balance()
    share = min(GAIN * (own.busy - mean) / own.busy, MAX_BALANCED)
    weights = {
        key: (mean - row.busy) * row.engines
        for key, row in groups.items()
        if row.busy < mean
    }
    return Balance(share, weights)


def compute_mean(load):
    """Return the load at the mean engine of a reported group.

    Returns
    -------
    tuple of float
        As in the digests: tokens waiting, requests running, tokens held,
        requests waiting.

    >>> compute_mean(peer_digests.GroupLoad(7, 1, 2, 800, 6, 4000, 2))
    (400.0, 3.0, 2000.0, 1.0)
    """
    engines = max(load.engines, 1)
    fields = load.tokens, load.running, load.held, load.waiting
    return tuple(field / engines for field in fields)


def make_mean_load(load):
    """Return the choice.Load at the mean engine of a reported group."""
    tokens, running, held, waiting = compute_mean(load)
    return choice.Load(
        peer_tokens=tokens,
        peer_running=running,
        peer_held=held,
        peer_waiting=waiting,
    )
