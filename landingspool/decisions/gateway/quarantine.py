"""Decides which requests and parts of prompts crash targets.

All requests at a target break when it crashes, and nearly all of them are
innocent.  What crashes targets is at each of these crashes, and no request
with it is ever answered completely.  So a key (a whole request or a part of
prompts, see fingerprints.py) is barred if enough targets crashed under it and
no key with stronger evidence explains these crashes.

A key that was answered completely before, such as the part with which all
prompts begin, is barred only if more targets crash under it and their crashes
are spread over time: targets that crash together have another cause.

A barred key is on trial from time to time: one box lets one request through.
A complete answer lifts the bar, and another crash delays the next trial.  Keys
that were at the same crashes are told apart soon: a request that has only some
of them is tried.
"""

import itertools
import math
import typing

from landingspool.decisions.gateway import fingerprints

# Targets that may crash under a key before it is barred.  The requirements
# allow five before all boxes have to know it.
MAX_CRASHES = 3
# The same for a key that was answered before, and the seconds between the
# first and the last of these crashes.
MAX_CRASHES_ANSWERED = 5
MIN_SPREAD_S = 2.0
# Seconds from the last crash to a trial, by how many crashes there were beyond
# those that bar the key.  After the fifth crash the requirements allow three
# requests more.
TRIAL_DELAYS_S = (60.0, 60.0, 600.0, 6000.0)
# The same for a key that was answered before, which is more often innocent.
TRIAL_DELAYS_ANSWERED_S = (0.5, 60.0, 600.0)
# The same for a request without another key that explains all crashes, too.
DOUBTFUL_DELAY_S = 0.5
# Seconds to a trial after more crashes.
LAST_TRIAL_DELAY_S = 86400.0
# Seconds for which one box after the other may hold a trial that is due.
TRIAL_TURN_S = 2.0


class Evidence(typing.NamedTuple):
    """What speaks against a key.

    Attributes
    ----------
    crashes : dict of int to float
        For each target that crashed under it since its last complete answer,
        by the hash of its incarnation's name, the time of the crash.
    answered : bool
        Whether it was ever answered completely.
    """

    crashes: dict[int, float]
    answered: bool

    @property
    def strength(self):
        """Rank of the evidence, for comparisons."""
        return not self.answered, len(self.crashes)


def find_barred(rows):
    """Return the keys to be barred.

    Parameters
    ----------
    rows : dict of bytes to Evidence

    >>> def blame(targets, answered=False):
    ...     return Evidence(dict.fromkeys(targets, 1.0), answered)
    >>> fatal, seldom = blame((1, 2, 3, 4)), blame((2, 3, 4))
    >>> find_barred({b'fatal': fatal, b'seldom': seldom})
    {b'fatal'}
    >>> find_barred({b'seldom': seldom})
    {b'seldom'}
    >>> find_barred({b'common': blame(range(9), answered=True)})
    set()
    """
    barred, explained = set(), set()
    order = sorted(rows, key=lambda key: rows[key].strength, reverse=True)
    for _, group in itertools.groupby(order, lambda key: rows[key].strength):
        found = [key for key in group if is_enough(rows[key], explained)]
        barred.update(found)
        for key in found:
            explained.update(rows[key].crashes)
    return barred


def is_enough(evidence, explained):
    """Return whether evidence bars a key.

    Parameters
    ----------
    evidence : Evidence
    explained : set of int
        Crashes that are due to other keys.
    """
    times = [
        at
        for incarnation, at in evidence.crashes.items()
        if incarnation not in explained
    ]
    if not evidence.answered:
        return len(times) >= MAX_CRASHES
    if len(times) < MAX_CRASHES_ANSWERED:
        return False
    return max(times) - min(times) >= MIN_SPREAD_S


def find_rivals(key, rows):
    """Return the keys that explain all crashes of a barred key as well.

    A part is tied with each request that was at all of its crashes by chance,
    so that only other parts are its rivals.

    Parameters
    ----------
    rows : dict of bytes to Evidence
        The barred keys.

    >>> one, two = Evidence({1: 1.0}, False), Evidence({1: 1.0, 2: 1.0}, False)
    >>> find_rivals(b'part:a', {b'part:a': one, b'part:b': two, b'f': two})
    {b'part:b'}
    """
    is_part = fingerprints.is_part(key)
    crashes = rows[key].crashes.keys()
    return {
        other
        for other, evidence in rows.items()
        if other != key
        and crashes <= evidence.crashes.keys()
        and (fingerprints.is_part(other) or not is_part)
    }


def compute_trial(evidence, is_doubtful=False):
    """Return when a request with a barred key may be tried next.

    Parameters
    ----------
    is_doubtful : bool
        Whether a key that the request doesn't have explains all crashes, too.

    >>> evidence = Evidence({1: 5.0, 2: 6.0, 3: 7.0}, False)
    >>> compute_trial(evidence), compute_trial(evidence, True)
    (67.0, 7.5)
    """
    if is_doubtful:
        return max(evidence.crashes.values()) + DOUBTFUL_DELAY_S
    count = len(evidence.crashes)
    if evidence.answered:
        delays, beyond = TRIAL_DELAYS_ANSWERED_S, count - MAX_CRASHES_ANSWERED
    else:
        delays, beyond = TRIAL_DELAYS_S, count - MAX_CRASHES
    delay_s = delays[beyond] if beyond < len(delays) else LAST_TRIAL_DELAY_S
    return max(evidence.crashes.values()) + delay_s


def is_in_turn(due, now, rank, boxes):
    """Return whether a box may hold a trial that has been due since `due`.

    A part may come to few of many boxes, so that each has its turn.

    Parameters
    ----------
    rank, boxes : int
        Rank of the box in the hash order of all boxes, and their number.

    >>> [is_in_turn(10.0, now, 1, 3) for now in (9.0, 11.0, 13.0, 15.0)]
    [False, False, True, False]
    """
    if now < due:
        return False
    return math.floor((now - due) / TRIAL_TURN_S) % boxes == rank
