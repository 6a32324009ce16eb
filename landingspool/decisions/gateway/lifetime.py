"""Decides which requests a box still serves once its planned stop has begun.

The platform ends the process after the grace, whatever it is doing then.  A
request that was passed on by that time and has no answer yet may have run, so
its caller can't send it again if it must not run twice.  One that is refused
before anything was sent costs its caller a new connection, to another box.

At the beginning of a stop the balancer still brings new callers, and nearly
everything ends in time: what usually does is served.  After that few requests
come, such as those whose body ends late, and little time is left: only those
are served whose own deadline ends them in time.
"""

import math

from landingspool.decisions.gateway import routes

# Seconds for which a stopping box accepts new connections.  The balancer
# checks readiness each second and removes a box after two failed checks.
NOTICE_S = 2.6
# Share of the grace that the notice takes at most.
MAX_NOTICE_SHARE = 1 / 2
# Seconds before the platform kills the process at which it exits by itself.
EXIT_MARGIN_S = 0.8
# How many times the usual time of a request has to be left, by whether it may
# run more than once.
REPEATABLE_RATIO = 1.0
ONCE_RATIO = 2.0


class Lifetime:
    """How long one box goes on serving; without end before it stops.

    Parameters
    ----------
    grace_s : float
        Seconds from the beginning of a planned stop to the end of the process.

    >>> lifetime = Lifetime(8.0)
    >>> lifetime.begin_stop(10.0)
    >>> lifetime.begin_stop(12.0)
    >>> lifetime.notice_ends, round(lifetime.ends, 1)
    (12.6, 17.2)
    """

    def __init__(self, grace_s):
        self._grace_s = grace_s
        self.notice_ends = math.inf
        self.ends = math.inf

    @property
    def is_stopping(self):
        """Whether a planned stop has begun."""
        return self.ends < math.inf

    def begin_stop(self, now):
        """Record that a planned stop begins, unless it has begun before."""
        if self.is_stopping:
            return
        self.notice_ends = now + min(
            NOTICE_S, self._grace_s * MAX_NOTICE_SHARE
        )
        self.ends = now + max(self._grace_s - EXIT_MARGIN_S, 0.0)

    def may_read(self, deadline, now):
        """Return whether a request may be read that has this deadline.

        >>> lifetime = Lifetime(8.0)
        >>> lifetime.begin_stop(10.0)
        >>> lifetime.may_read(30.0, 12.0), lifetime.may_read(30.0, 13.0)
        (True, False)
        >>> lifetime.may_read(17.0, 13.0)
        True
        """
        return deadline <= self.ends or now < self.notice_ends

    def may_send(self, work, deadline, profile, now):
        """Return whether a request may be sent to a target now.

        Parameters
        ----------
        work : plans.Work
        deadline : float
            When it is answered at the latest.
        profile : service_figures.Profile
            What a typical target of its service does.
        """
        if deadline <= self.ends:
            return True
        if now >= self.notice_ends:
            return False
        repeatable = routes.may_repeat(work.route)
        ratio = REPEATABLE_RATIO if repeatable else ONCE_RATIO
        return now + estimate_run(work, profile) * ratio <= self.ends


def estimate_run(work, profile):
    """Return the seconds that a request usually takes, to its last byte.

    Parameters
    ----------
    work : plans.Work
    profile : service_figures.Profile
    """
    objective_s = work.route.target_latency_s
    if work.prompt is None:
        return max(objective_s, profile.work_s)
    read_s = work.prompt.tokens_in / profile.read_tokens_s
    return max(objective_s, profile.base_s + read_s) + profile.run_s
