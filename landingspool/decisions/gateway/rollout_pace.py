"""Computes how many targets may be under way to new weights at once.

Targets that load serve nobody, so that the others carry their load.  As few as
possible are under way, but so many that all are ready in the time left.
"""

# Share of the targets that are under way (closing or loading) at once; twice
# as many may load without slowing each other, and are under way if
# the time left requires it.
CONCURRENT_SHARE = 0.2
MAX_CONCURRENT_SHARE = 0.4
# Seconds that one target is under way: closing, two reports, and a load of 1.3
# s (0.9 s in some deployments).
UNDER_WAY_S = 2.2


def compute_concurrency(targets, left):
    """Return how many targets may be under way at once.

    As few as bring all to the new weights in time, since the others have to
    carry the load.

    Parameters
    ----------
    targets : int
        Targets of the model.
    left : sequence of float
        For each that is behind, the seconds for which it may still be used.

    >>> compute_concurrency(50, [12.0] * 50)
    10
    >>> compute_concurrency(50, [7.0] * 30)
    10
    >>> compute_concurrency(50, [4.0] * 10 + [9.0] * 40)
    12
    >>> compute_concurrency(50, [1.0] * 30)
    20
    >>> compute_concurrency(5, [9.0] * 5)
    1
    >>> compute_concurrency(5, [2.4] * 2)
    2
    >>> compute_concurrency(1, [9.0])
    1
    """
    usual = int(targets * CONCURRENT_SHARE)
    return max(min(max(compute_pace(left), usual), compute_limit(targets)), 1)


def compute_first_concurrency(targets, concurrency, accepted, unanswered):
    """Return how many targets may be under way until each has had an order.

    An order without an answer may be carried out many seconds later, so the
    others get theirs sooner if most have none.

    Parameters
    ----------
    concurrency : int
        Targets that may be under way at once if orders are answered.
    accepted, unanswered : int
        Orders so far that had an answer, and those that had none.

    >>> compute_first_concurrency(5, 1, 0, 1)
    2
    >>> [compute_first_concurrency(50, 10, 6, n) for n in (0, 4, 10, 30)]
    [10, 10, 15, 20]
    """
    wanted = concurrency * (unanswered + 1) // (accepted + 1)
    return max(min(wanted, compute_limit(targets)), concurrency)


def compute_limit(targets):
    """Return how many targets may load at once without slowing each other.

    >>> [compute_limit(targets) for targets in (1, 2, 5, 50)]
    [1, 1, 2, 20]
    """
    limit = int(targets * MAX_CONCURRENT_SHARE)
    return max(min(limit, targets - 1), 1)


def compute_pace(left):
    """Return how many targets have to be under way for all to be in time.

    >>> compute_pace([4.4, 4.4, 4.4]), compute_pace([])
    (2, 0)
    """
    paces = [
        rank * UNDER_WAY_S / max(seconds, UNDER_WAY_S)
        for rank, seconds in enumerate(sorted(left), 1)
    ]
    return round(max(paces, default=0.0))
