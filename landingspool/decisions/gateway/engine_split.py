"""Which engines read long prompts, and which are kept free of them.

An engine reads prompts in the order of their coming, whatever their
urgency: a question of some hundred tokens that comes behind three long
prompts is late by itself.  What other boxes have sent is known too late to
avoid that, since reading one long prompt takes no longer than hearing of it.
So engines are parted by the size of what they read, in the measure in which
tokens of long and of short readings come: then both kinds find engines that
are as busy as before, but short readings wait behind short ones alone.

That holds where reading is what engines lack.  Where they lack places or
memory, runs count and not readings, and a part of the engines is soon full:
so engines are parted only while few of their places, and not too much of
their memory, are taken.

Source: Harchol-Balter, Crovella and Murta, "On choosing a task assignment
policy for a distributed server system", 1999 (SITA-E).
"""

import math

from landingspool.decisions import ownership

# Tokens to be read from which on a reading is long: 0.05 s of an engine that
# reads 90 tokens in a ms, an eighth of the shortest aims.  Where prompts of
# 9,000 shared tokens meet questions of 800, these are a sixth of the requests
# and two thirds of the tokens read (71 boxes and 30 engines, a played day).
LONG_TOKENS = 4000
# Seconds in which what was noted counts half: some hundred requests of one
# box of seventy, and less than the time in which a mix of requests changes.
HALF_LIFE_S = 10.0
# Tokens that have to be noted before engines are parted: some four requests.
LEAST_TOKENS = 10_000
# Engines that a service needs to be parted.
LEAST_ENGINES = 4
# Free places of an engine, in standard deviations of how many chance takes
# beside the mean, under which engines are not parted any more, and from which
# on they are again.  195 boxes and 50 engines of 12 places each, of which 0.55
# are taken (2.1): 0.932 of the requests in time with parted engines, 0.973
# without.  71 boxes and 30 engines of 64 places, of which 0.25 to 0.54 are
# taken (12 to 5): 0.991 and 0.988, and 0.877 and 0.843 at the most load
# (played without a network).
LEAST_ROOM = 4.5
ROOM_AGAIN = 5.5
# Share of the engines' memory that requests hold, from which on engines are
# not parted any more, and under which they are again: long prompts hold nine
# tenths of it, and have a part of the engines only.
MOST_HELD = 0.62
HELD_AGAIN = 0.54
# What keeps engines parted, and what lets them be parted anew.
BOUNDS = {True: (LEAST_ROOM, MOST_HELD), False: (ROOM_AGAIN, HELD_AGAIN)}
# Times as busy as the others that engines for short readings are: what waits
# there waits for short ones alone, and the memory of the others is what long
# prompts need.
SHORT_BUSY = 1.4


class EngineSplit:
    """The tokens that come in long and in short readings, as a box sees.

    Attributes
    ----------
    is_on : bool
        Whether engines have the room to be parted.
    """

    def __init__(self):
        self._long = 0.0
        self._short = 0.0
        self._at = 0.0
        self.is_on = True

    def record(self, read_tokens, now):
        """Note a request by the tokens that stores do not hold."""
        faded = 0.5 ** (max(now - self._at, 0.0) / HALF_LIFE_S)
        self._long *= faded
        self._short *= faded
        self._at = now
        if is_long(read_tokens):
            self._long += read_tokens
        else:
            self._short += read_tokens

    def record_room(self, room, held):
        """Note the room that engines have.

        Parameters
        ----------
        room : float
            As measure_room.
        held : float
            Share of their memory that requests hold.
        """
        least, most = BOUNDS[self.is_on]
        self.is_on = room >= least and held < most

    def find_share(self):
        """Give the share of tokens in long readings; None: too few known.

        >>> partition = EngineSplit()
        >>> partition.record(40_000, 1.0)
        >>> partition.record(1_000, 1.0)
        >>> round(partition.find_share(), 2)
        0.98
        """
        total = self._long + self._short
        return self._long / total if total >= LEAST_TOKENS else None

    def pick(self, read_tokens, entries):
        """Give the names of the engines for a reading; None: all of them.

        Parameters
        ----------
        entries : sequence of fleet.Entry
        """
        share = self.find_share()
        if share is None or not self.is_on or len(entries) < LEAST_ENGINES:
            return None
        order = order_engines(tuple((e.domain, e.name) for e in entries))
        short = (1.0 - share) / SHORT_BUSY
        count = min(max(round((1.0 - short) * len(order)), 1), len(order) - 1)
        if is_long(read_tokens):
            return frozenset(order[:count])
        return frozenset(order[count:])


def is_long(read_tokens):
    """Tell whether a reading is long."""
    return read_tokens >= LONG_TOKENS


def measure_room(taken, places, engines):
    """Give the free places of an engine, in deviations of those taken.

    Parameters
    ----------
    taken : float
        Requests at all engines.
    places : int
        Of all engines.
    engines : int

    >>> round(measure_room(328, 600, 50), 1), measure_room(32, 128, 2)
    (2.1, 12.0)
    """
    mean = taken / engines
    return (places / engines - mean) / math.sqrt(max(mean, 1.0))


def order_engines(places):
    """Order engines alike on all boxes, so that each domain has its share.

    Parameters
    ----------
    places : tuple of tuple of str
        Domain and name of each engine.

    >>> order = order_engines((('d', 'a'), ('d', 'b'), ('e', 'c')))
    >>> sorted(order[:2]) in (['a', 'c'], ['b', 'c'])
    True
    """
    by_domain = {}
    for domain, name in places:
        by_domain.setdefault(domain, []).append(name)
    ranked = [
        ownership.rank('long', tuple(sorted(by_domain[domain])))
        for domain in sorted(by_domain)
    ]
    rows = []
    for names in ranked:
        rows += [(place, name) for place, name in enumerate(names)]
    rows.sort(key=lambda row: (row[0], ownership.score('long', row[1])))
    return [name for _, name in rows]
