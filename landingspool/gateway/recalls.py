"""Take requests back from targets whose weights are about to be too old.

A request that has had no byte of its answer may not have begun.  Where it may
be repeated, it then leaves the target for another one, as it leaves a silent
target; otherwise it stays.
"""

import math

# Seconds after which another target is looked for again.
RETRY_S = 0.25


class Recall:
    """Tells when one request is to be taken back from its target.

    Parameters
    ----------
    hub
        The box's parts: `view`, `clock`.
    state : request_state.RequestState
    plan : plans.Plan or None
        None if another box has chosen the target, and watches over it.
    """

    def __init__(self, hub, state, plan):
        self._hub = hub
        self._view = hub.view
        self._state = state
        self._plan = plan

    def is_due(self):
        """Return whether the request is to be taken back."""
        return self._measure_left() <= 0.0

    def limit_timeout(self, timeout_s):
        """Return the time-out of the answer's head, in seconds.

        Parameters
        ----------
        timeout_s : float
            The time-out if the weights of the target are not replaced.
        """
        return min(timeout_s, max(self._measure_left(), RETRY_S))

    def _measure_left(self):
        if self._plan is None:
            return math.inf
        return self._view.start_limits.measure_recall(
            self._plan.entry.name, self._state.work, self._hub.clock()
        )
