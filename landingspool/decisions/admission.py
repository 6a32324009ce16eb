"""Whether a request may wait at all: registered policies.

A request that will not make its deadline only takes a place from one that
would; it is told at once, with a time to come back.
"""

DEADLINE_SHARE = 0.95

POLICIES = {}


def policy(name):
    """Register a policy under `name`; it tells whether to admit."""

    def add(function):
        POLICIES[name] = function
        return function

    return add


@policy('all')
def admit_all(wait, work):
    """Let everything wait: the baseline.

    What does not get its place is refused when its deadline has come.
    """
    return True


@policy('estimate')
def admit_by_estimate(wait, work):
    """Let wait what is expected to start before its deadline.

    Parameters
    ----------
    wait : float
        Expected seconds in the queue.
    work : records.Work

    >>> import collections
    >>> Work = collections.namedtuple('Work', 'left')
    >>> admit_by_estimate(2.0, Work(10.0)), admit_by_estimate(9.9, Work(10.0))
    (True, False)
    """
    return wait <= work.left * DEADLINE_SHARE
