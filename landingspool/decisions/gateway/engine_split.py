"""Splits the engines of a service between long and short prompts.

An engine reads prompts in the order of arrival, whatever their urgency: a
short prompt of some hundred tokens that arrives behind three long ones misses
its latency objective.  Reports of other boxes arrive too late to avoid that,
since reading one long prompt takes no longer than receiving a report.  So
engines are split in proportion to the tokens of long and of short prompts to
be read: both kinds find engines that are as busy as before, but short prompts
wait behind short ones only.

A split helps while reading is the bottleneck.  If slots or memory are, the
number of runs counts and not what is read, and one of the two groups fills up
early: so engines are split only while few of their slots, and not too much of
their memory, are taken.

Source: Harchol-Balter, Crovella and Murta, "On choosing a task assignment
policy for a distributed server system", 1999 (SITA-E).
"""

import math

from landingspool.decisions import ownership

# Tokens to be read from which on a prompt is long: 0.05 s of an engine that
# reads 90 tokens in a ms, an eighth of the shortest latency objectives.  With
# prompts of 9,000 shared tokens and short ones of 800, the long ones are a
# sixth of the requests and two thirds of the tokens read (71 boxes and 30
# engines).
LONG_TOKENS = 4000
# Half-life of the counted tokens in seconds: some hundred requests of one box
# of seventy, and less than the time in which a mix of requests changes.
HALF_LIFE_S = 10.0
# Tokens that have to be counted before engines are split: some four requests.
MIN_TOKENS = 10_000
# Minimum number of engines of a service whose engines are split.
MIN_ENGINES = 4
# Free slots of an engine, in standard deviations of the number taken, below
# which engines are not split any more, and from which on they are again.  With
# few free slots a split does harm: with 195 boxes and 50 engines of 12 slots
# each, 0.55 of them taken (2.1 deviations free), 0.932 of the requests are in
# time with the split, and 0.973 without.  With many free slots it helps: with
# 71 boxes and 30 engines of 64 slots, 0.25 to 0.54 of them taken (12 to 5
# deviations free), 0.991 are in time with the split and 0.988 without, and at
# the highest load 0.877 and 0.843.  These shares exclude network delays.
MIN_HEADROOM = 4.5
RESUME_HEADROOM = 5.5
# Share of the engines' memory held by requests from which on engines are not
# split any more, and below which they are again: long prompts hold nine tenths
# of it, and have only a part of the engines.
MAX_HELD = 0.62
RESUME_HELD = 0.54
# Bounds of headroom and held memory, by whether the engines are split now.
BOUNDS = {
    True: (MIN_HEADROOM, MAX_HELD),
    False: (RESUME_HEADROOM, RESUME_HELD),
}
# Load of the engines for short prompts relative to that of the engines for
# long ones: a request at the former waits for short ones only, and long
# prompts need the memory of the latter.
SHORT_LOAD_RATIO = 1.4


class EngineSplit:
    """Count the tokens of long and short prompts that one box sees.

    Attributes
    ----------
    is_on : bool
        Whether engines have the headroom to be split.
    """

    def __init__(self):
        self._long = 0.0
        self._short = 0.0
        self._at = 0.0
        self.is_on = True

    def record(self, read_tokens, now):
        """Record a request by the prompt tokens that stores do not hold."""
        decay = 0.5 ** (max(now - self._at, 0.0) / HALF_LIFE_S)
        self._long *= decay
        self._short *= decay
        self._at = now
        if is_long(read_tokens):
            self._long += read_tokens
        else:
            self._short += read_tokens

    def record_headroom(self, headroom, held):
        """Record the headroom of the engines.

        Parameters
        ----------
        headroom : float
            As measure_headroom.
        held : float
            Share of their memory that requests hold.
        """
        min_headroom, max_held = BOUNDS[self.is_on]
        self.is_on = headroom >= min_headroom and held < max_held

    def compute_long_share(self):
        """Return the share of tokens in long prompts; None if too few counted.

        >>> split = EngineSplit()
        >>> split.record(40_000, 1.0)
        >>> split.record(1_000, 1.0)
        >>> round(split.compute_long_share(), 2)
        0.98
        """
        total = self._long + self._short
        return self._long / total if total >= MIN_TOKENS else None

    def pick(self, read_tokens, entries):
        """Return the names of the engines for a prompt; None if all.

        Parameters
        ----------
        entries : sequence of fleet.Entry
        """
        share = self.compute_long_share()
        if share is None or not self.is_on or len(entries) < MIN_ENGINES:
            return None
        order = rank_engines(tuple((e.domain, e.name) for e in entries))
        short = (1.0 - share) / SHORT_LOAD_RATIO
        count = min(max(round((1.0 - short) * len(order)), 1), len(order) - 1)
        if is_long(read_tokens):
            return frozenset(order[:count])
        return frozenset(order[count:])


def is_long(read_tokens):
    """Return whether a prompt with that many tokens to be read is long."""
    return read_tokens >= LONG_TOKENS


def measure_headroom(taken, slots, engines):
    """Return the free slots of an engine, in deviations of those taken.

    Parameters
    ----------
    taken : float
        Requests at all engines.
    slots : int
        Slots of all engines.
    engines : int

    >>> round(measure_headroom(328, 600, 50), 1), measure_headroom(32, 128, 2)
    (2.1, 12.0)
    """
    mean = taken / engines
    return (slots / engines - mean) / math.sqrt(max(mean, 1.0))


def rank_engines(engines):
    """Return engines in one order for all boxes, balanced over domains.

    Parameters
    ----------
    engines : tuple of tuple of str
        Domain and name of each engine.

    >>> order = rank_engines((('d', 'a'), ('d', 'b'), ('e', 'c')))
    >>> sorted(order[:2]) in (['a', 'c'], ['b', 'c'])
    True
    """
    by_domain = {}
    for domain, name in engines:
        by_domain.setdefault(domain, []).append(name)
    ranked = [
        ownership.rank('long', tuple(sorted(by_domain[domain])))
        for domain in sorted(by_domain)
    ]
    rows = []
    for names in ranked:
        rows += [(rank, name) for rank, name in enumerate(names)]
    rows.sort(key=lambda row: (row[0], ownership.score('long', row[1])))
    return [name for _, name in rows]
