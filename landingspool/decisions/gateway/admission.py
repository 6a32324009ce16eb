"""Decides whether a request is sent to a target or refused until later.

Above its capacity an engine is late for every request: runs last longer, so
more of them hold memory, and cached prompts are evicted and read again.  A
request with too long an expected wait is refused before it begins; those with
the most tokens to read are refused first, since they delay others the most. As
the slots of all targets of a service fill up, the least urgent requests are
refused first: the wait at a single target is known with a delay, the total
over all targets is known well.
"""

import math

# Share of a route's latency objective that may be spent waiting, by the
# route's priority: targets begin more urgent requests first, so that the same
# queue is a shorter wait for them; the least urgent ones, which run longest,
# are refused first.
WAIT_SHARES = 1.2, 0.6, 0.4
# Share of taken slots, over all targets of a service, from which on some
# requests are refused, and from which on all are, by the route's priority. A
# little under all slots, since load is never spread evenly: with 12 slots a
# target, waits grow from nine tenths on.
PRESSURES = (1.1, 1.4), (0.95, 1.1), (0.85, 1.0)
# Share of memory held by requests, over all targets, from which on some large
# requests are refused, and from which on all large ones are, by the route's
# priority.  Above it runs are preempted and their prompts read again: with a
# quarter of the engines unreachable there were 406 preemptions where nothing
# was refused for memory, and 134 where small requests, which hold a twentieth
# of the memory, were refused as well.
MEMORY_SHARES = (0.95, 1.2), (0.85, 1.1), (0.8, 1.0)
# Tokens to be read above which the limit of the wait gets shorter, by the
# square root of the ratio.
USUAL_READ_TOKENS = 3000
# Lowest and highest retry time in seconds: most of a queue is read by then.
MIN_RETRY_S = 0.15
MAX_RETRY_S = 0.6
# If the slots of all targets are short the retry time is longer, since runs
# take one to two seconds: the seconds for a shortage of all slots
# (proportionally less for a smaller one), and the highest.  Callers wait for a
# third of the time that they have left.
SHORTAGE_RETRY_S = 5.0
MAX_SHORTAGE_RETRY_S = 2.0
# Range of the random factor on the retry time: callers refused together come
# back at different times.
RETRY_SPREAD = 0.8, 1.4


def compute_wait_limit(target_latency_s, read_tokens, priority):
    """Return the longest expected wait with which a request is admitted.

    Parameters
    ----------
    target_latency_s : float
        Latency objective of the request's route: seconds to the first byte.
    read_tokens : int
        Prompt tokens that the target has to read.
    priority : int
        Priority of the route; 0 is the most urgent.

    Returns
    -------
    float
        Seconds.

    >>> compute_wait_limit(0.5, 1000, 0)
    0.6
    >>> round(compute_wait_limit(0.5, 12000, 0), 3)
    0.3
    >>> compute_wait_limit(0.5, 1000, 1), compute_wait_limit(0.5, 1000, 7)
    (0.3, 0.2)
    """
    size = max(read_tokens / USUAL_READ_TOKENS, 1.0)
    share = pick_row(WAIT_SHARES, priority)
    return target_latency_s * share / math.sqrt(size)


def is_admitted(wait_s, target_latency_s, read_tokens, priority):
    """Return whether a request may be sent, by its expected wait.

    Parameters
    ----------
    wait_s : float
        Expected wait at the target, in seconds.  The other parameters are
        those of compute_wait_limit.

    >>> is_admitted(0.4, 0.4, 1000, 0), is_admitted(0.4, 0.4, 12000, 0)
    (True, False)
    """
    return wait_s <= compute_wait_limit(
        target_latency_s, read_tokens, priority
    )


def compute_refused(share, bounds, priority):
    """Return the share of requests that is refused as slots or memory fill up.

    Parameters
    ----------
    share : float
        As in is_below_share, like the other parameters.

    Returns
    -------
    float
        0 or less: none; 1 or more: all.

    >>> round(compute_refused(0.925, PRESSURES, 2), 3)
    0.5
    """
    first, last = pick_row(bounds, priority)
    return (share - first) / (last - first)


def is_below_share(share, bounds, priority, chance):
    """Return whether a request is admitted as slots or memory fill up.

    Parameters
    ----------
    share : float
        Share of all slots that are taken, or share of all memory that is held,
        weighted by this request's need.
    bounds : tuple of tuple of float
        PRESSURES or MEMORY_SHARES.
    priority : int
        Priority of the route; 0 is the most urgent.
    chance : float
        Uniform between 0 and 1: the share of refused requests grows gradually.

    >>> is_below_share(0.9, PRESSURES, 2, 0.5)
    True
    >>> is_below_share(0.95, PRESSURES, 2, 0.5)
    False
    >>> is_below_share(1.0, PRESSURES, 0, 0.5)
    True
    >>> is_below_share(0.7, MEMORY_SHARES, 2, 0.1)
    True
    >>> is_below_share(0.95, MEMORY_SHARES, 2, 0.1)
    False
    """
    return chance >= compute_refused(share, bounds, priority)


def compute_retry_after(wait_s, pressure, rng):
    """Return the seconds after which a refused caller should retry.

    Parameters
    ----------
    wait_s : float
        Expected wait at the target, in seconds.
    pressure : float
        Requests at all targets of the service, divided by their slots.
    rng : random.Random
        Spreads the retries.

    >>> import random
    >>> 0.48 <= compute_retry_after(0.9, 0.5, random.Random(1)) <= 0.84
    True
    >>> 0.6 <= compute_retry_after(0.1, 1.0, random.Random(1)) <= 1.05
    True
    """
    return estimate_retry_s(wait_s, pressure) * rng.uniform(*RETRY_SPREAD)


def estimate_retry_s(wait_s, pressure):
    """Return the seconds until most of what waits has been read.

    >>> estimate_retry_s(0.4, 0.5), round(estimate_retry_s(0.4, 1.05), 2)
    (0.4, 1.0)
    """
    seconds = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
    first, _ = PRESSURES[-1]
    shortage = max(pressure - first, 0.0) * SHORTAGE_RETRY_S
    return max(seconds, min(shortage, MAX_SHORTAGE_RETRY_S))


def pick_row(rows, priority):
    """Return the row of a priority; the last one is for all less urgent ones.

    >>> pick_row('abc', 0), pick_row('abc', 2), pick_row('abc', 7)
    ('a', 'c', 'c')
    """
    return rows[min(priority, len(rows) - 1)]
