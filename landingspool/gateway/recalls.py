"""Take requests back from targets whose weights are about to be too old.

A request that has had no byte of its answer may not have begun.  Where it may
be repeated, it then leaves the target for another one, as it leaves a silent
target; otherwise it stays.  Answers that come from too old weights all the
same are logged.
"""

import math

# Seconds after which another target is looked for again.
RETRY_S = 0.25


class Recall:
    """Tell when one request is to be taken back from its target.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `clock`, `timer`.
    state : request_state.RequestState
    plan : plans.Plan or None
        None if another box has chosen the target, and watches over it.
    """

    def __init__(self, hub, state, plan):
        self._hub = hub
        self._limits = hub.view.start_limits
        self._weights = hub.view.weights
        self._state = state
        self._plan = plan

    def is_due(self):
        """Return whether the request is to be taken back."""
        return self._measure_recall() <= 0.0

    def limit_timeout(self, timeout_s):
        """Return the time-out of the answer's head, in seconds.

        Parameters
        ----------
        timeout_s : float
            The time-out if the weights of the target are not replaced.
        """
        return min(timeout_s, max(self._measure_recall(), RETRY_S))

    def measure_left(self):
        """Return the seconds in which the request may begin at the target.

        Returns
        -------
        float or None
            None if the target lacks no version.
        """
        if self._plan is None:
            return None
        return self._limits.measure_left(
            self._plan.entry.name, self._state.work, self._hub.clock()
        )

    def check_answer(self, version, sent_at):
        """Log an answer of weights that were replaced for too long.

        Parameters
        ----------
        version : int or None
            The version that the answer names; None if it names none.
        sent_at : float
            When the request was sent, seconds of this box's clock.
        """
        prompt, now = self._state.work.prompt, self._hub.clock()
        if self._plan is None or prompt is None or version is None:
            return
        lag_s = self._weights.get_lag(prompt.model, version, now)
        # The answer may have waited to be read while this process stalled.
        after_s = now - sent_at
        stalled_s = after_s - self._hub.timer.measure_running_s(sent_at)
        if lag_s - stalled_s <= self._weights.bound_s:
            return
        self._hub.recorder.record(
            'late_weights',
            request=self._state.call.name,
            target=self._plan.entry.name,
            version=version,
            lag_s=round(lag_s, 3) if math.isfinite(lag_s) else None,
            after_s=round(after_s, 3),
        )

    def _measure_recall(self):
        if self._plan is None:
            return math.inf
        return self._limits.measure_recall(
            self._plan.entry.name, self._state.work, self._hub.clock()
        )
