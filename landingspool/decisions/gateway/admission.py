"""Whether a request is sent on, or told at once to come back.

Past its capacity an engine serves everybody late: runs last longer, so
more of them hold memory, prompts are dropped and read again.  A request
that would wait too long is refused before it begins; what needs the most
reading is refused first, since it costs the others the most.
"""

import math

# Share of the latency a route aims at that may go by in waiting.
WAIT_SHARE = 1.2
# Tokens to be read from which on a request is refused earlier, by the root
# of how many times more it is.
USUAL_READ = 3000
# Seconds after which a refused caller is asked to come back, and at most:
# what waits is mostly read by then.
LEAST_RETRY_S = 0.15
MOST_RETRY_S = 0.6


def find_limit(target_latency_s, read_tokens):
    """Give the longest expected wait with which a request is admitted.

    >>> find_limit(0.5, 1000), round(find_limit(0.5, 12000), 3)
    (0.6, 0.3)
    """
    size = max(read_tokens / USUAL_READ, 1.0)
    return target_latency_s * WAIT_SHARE / math.sqrt(size)


def is_admitted(wait_s, target_latency_s, read_tokens):
    """Tell whether a request may be sent on.

    >>> is_admitted(0.4, 0.4, 1000), is_admitted(0.4, 0.4, 12000)
    (True, False)
    """
    return wait_s <= find_limit(target_latency_s, read_tokens)


def find_retry_after(wait_s, rng):
    """Give the seconds after which a refused caller should come back."""
    seconds = min(max(wait_s, LEAST_RETRY_S), MOST_RETRY_S)
    return seconds * rng.uniform(0.8, 1.4)
