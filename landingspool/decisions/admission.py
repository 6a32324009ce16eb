"""Admission policies that decide whether a request may be queued.

A request that cannot meet its deadline would only delay others that can.  It
is refused at once, with a time after which to retry.
"""

DEADLINE_SHARE = 0.95

POLICIES = {}


def policy(name):
    """Register an admission policy under `name`."""

    def add(function):
        POLICIES[name] = function
        return function

    return add


@policy('all')
def admit_all(wait, work):
    """Admit every request; the baseline.

    A request that gets no slot is refused when its deadline expires.
    """
    return True


@policy('estimate')
def admit_by_estimate(wait, work):
    """Admit a request that is expected to start before its deadline.

    Parameters
    ----------
    wait : float
        Expected time in the queue, in seconds.
    work : records.Work

    >>> import collections
    >>> Work = collections.namedtuple('Work', 'left')
    >>> admit_by_estimate(2.0, Work(10.0)), admit_by_estimate(9.9, Work(10.0))
    (True, False)
    """
    return wait <= work.left * DEADLINE_SHARE
