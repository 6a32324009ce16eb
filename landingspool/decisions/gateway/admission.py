"""Whether a request is sent on, or told at once to come back.

Past its capacity an engine serves everybody late: runs last longer, so
more of them hold memory, prompts are dropped and read again.  A request
that would wait too long is refused before it begins; what needs the most
reading is refused first, since it costs the others the most.  And as the
places of all targets of a service fill up, the least urgent are refused first:
the wait at one target is known late, what all have together is known well.
"""

import math

# Share of the latency a route aims at that may go by in waiting, by the
# priority of the route: targets begin the more urgent first, so the same
# queue is a shorter wait for them; and what is least urgent, and takes the
# most time at a target, is the first to be told to come back.
WAIT_SHARES = 1.2, 0.6, 0.4
# Share of the places of all targets of a service that are taken from which on
# requests are turned away, and from which on all of them are, by the priority
# of the route.  A little under all places, since they are never taken evenly:
# at 12 places a target, waits grow from nine tenths on.
PRESSURES = (1.1, 1.4), (0.95, 1.1), (0.85, 1.0)
# Share of the memory of all targets that requests hold from which on large
# ones are turned away, and from which on all large ones are, by the priority
# of the route.  Over it runs are preempted and read again: in a day with a
# quarter of the engines dark 406 were where nobody was turned away for memory,
# and 134 where small requests were, too, which hold a twentieth of it.
MEMORY_SHARES = (0.95, 1.2), (0.85, 1.1), (0.8, 1.0)
# Tokens to be read from which on a request is refused earlier, by the root
# of how many times more it is.
USUAL_READ = 3000
# Seconds after which a refused caller is asked to come back, and at most:
# what waits is mostly read by then.
LEAST_RETRY_S = 0.15
MOST_RETRY_S = 0.6
# Where places are short everywhere that takes longer: runs take one to two
# seconds.  So many seconds for each place that is short, and at most; callers
# wait for a third of the time that they have left.
SHORT_RETRY_S = 5.0
MOST_SHORT_RETRY_S = 2.0
# Times as long that a caller is told to wait, spread evenly between both:
# callers refused together come back apart.
RETRY_SPREAD = 0.8, 1.4


def find_limit(target_latency_s, read_tokens, priority):
    """Give the longest expected wait with which a request is admitted.

    Parameters
    ----------
    target_latency_s : float
        Seconds to the first byte that its route aims at.
    read_tokens : int
        Prompt tokens that the target has to read.
    priority : int
        Of its route; 0 is the most urgent.

    Returns
    -------
    float
        Seconds.

    >>> find_limit(0.5, 1000, 0), round(find_limit(0.5, 12000, 0), 3)
    (0.6, 0.3)
    >>> find_limit(0.5, 1000, 1), find_limit(0.5, 1000, 7)
    (0.3, 0.2)
    """
    size = max(read_tokens / USUAL_READ, 1.0)
    share = pick_row(WAIT_SHARES, priority)
    return target_latency_s * share / math.sqrt(size)


def is_admitted(wait_s, target_latency_s, read_tokens, priority):
    """Tell whether a request may be sent on, by its expected wait.

    Parameters
    ----------
    wait_s : float
        Expected at the target; the others are those of find_limit.

    >>> is_admitted(0.4, 0.4, 1000, 0), is_admitted(0.4, 0.4, 12000, 0)
    (True, False)
    """
    return wait_s <= find_limit(target_latency_s, read_tokens, priority)


def is_spared(share, bounds, priority, chance):
    """Tell whether a request is spared as places or memory fill up.

    Parameters
    ----------
    share : float
        That is taken of all places, or of all memory by this one's need.
    bounds : tuple of tuple of float
        PRESSURES or MEMORY_SHARES.
    priority : int
        Of its route; 0 is the most urgent.
    chance : float
        Evenly between 0 and 1: a share is turned away, not all at once.

    >>> is_spared(0.9, PRESSURES, 2, 0.5), is_spared(0.95, PRESSURES, 2, 0.5)
    (True, False)
    >>> is_spared(1.0, PRESSURES, 0, 0.5)
    True
    >>> is_spared(0.7, MEMORY_SHARES, 2, 0.1)
    True
    >>> is_spared(0.95, MEMORY_SHARES, 2, 0.1)
    False
    """
    first, last = pick_row(bounds, priority)
    return chance >= (share - first) / (last - first)


def compute_retry_after(wait_s, pressure, rng):
    """Give the seconds after which a refused caller should come back.

    Parameters
    ----------
    wait_s : float
        Expected at the target.
    pressure : float
        Requests at all targets of the service, by their places.
    rng : random.Random
        Spreads the callers.

    >>> import random
    >>> 0.48 <= compute_retry_after(0.9, 0.5, random.Random(1)) <= 0.84
    True
    >>> 0.6 <= compute_retry_after(0.1, 1.0, random.Random(1)) <= 1.05
    True
    """
    seconds = min(max(wait_s, LEAST_RETRY_S), MOST_RETRY_S)
    first, _ = PRESSURES[-1]
    short = max(pressure - first, 0.0) * SHORT_RETRY_S
    seconds = max(seconds, min(short, MOST_SHORT_RETRY_S))
    return seconds * rng.uniform(*RETRY_SPREAD)


def pick_row(rows, priority):
    """Give the row of a priority; the last one is for all less urgent.

    >>> pick_row('abc', 0), pick_row('abc', 2), pick_row('abc', 7)
    ('a', 'c', 'c')
    """
    return rows[min(priority, len(rows) - 1)]
