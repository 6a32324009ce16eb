"""What the end of a grant says of its target and of its cached context."""

from landingspool.decisions import retries

HANDLERS = {}


def handles(outcome):
    """Register a function as the handler of an outcome."""

    def add(function):
        HANDLERS[outcome] = function
        return function

    return add


def apply(target, directory, active_grant, done, now):
    """Update a target and the directory from a grant that has ended.

    Parameters
    ----------
    target : pool.Target
    directory : directory.Directory
    active_grant : pool.ActiveGrant
    done : messages.Done
    now : float
        Monotonic seconds.
    """
    HANDLERS[done.outcome](target, directory, active_grant, done, now)


@handles('ok')
def _end_ok(target, directory, active_grant, done, now):
    target.breaker = retries.record_success(target.breaker, now)
    target.record_hold(done.held)
    directory.record_cached(active_grant.target, active_grant.keys)


@handles('failed')
def _end_failed(target, directory, active_grant, done, now):
    target.breaker = retries.record_failure(target.breaker, now)
    directory.record_evicted(active_grant.target, active_grant.keys)


@handles('unused')
def _end_unused(target, directory, active_grant, done, now):
    if target.breaker.state == retries.PROBING:
        target.breaker = target.breaker._replace(state=retries.OPEN)


@handles('leaving')
def _end_leaving(target, directory, active_grant, done, now):
    target.mark_leaving(target.incarnation)
