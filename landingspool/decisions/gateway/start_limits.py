"""Decides whether a request would begin in time on weights that are replaced.

The bound applies to the moment at which a target begins a request.  So a
request goes to a target that lacks a version only if its wait there, with an
allowance for error, ends before the bound.  Where all targets lack it for too
long, callers are told when one can have it at the earliest.
"""

import math

from landingspool.decisions.gateway import choice

# Allowance for error: the factor by which a wait is assumed to be longer.
WAIT_FACTOR = 1.5
# Seconds before the bound at which a request that has not begun is to be taken
# back: another target has to be connected to and to accept it.
RECALL_MARGIN_S = 1.0


def may_begin(weights, lag_s, wait_s):
    """Return whether a request begins in time on replaced weights.

    Parameters
    ----------
    weights : weights.Weights
    lag_s : float
        Seconds since the first version that the target missed; infinite if
        not known.
    wait_s : float
        Seconds for which requests wait at the target.

    >>> from landingspool.decisions.gateway import weights
    >>> weights = weights.Weights(12.0)
    >>> may_begin(weights, 8.9, 0.0), may_begin(weights, 9.0, 0.0)
    (True, False)
    >>> may_begin(weights, 5.9, 4.0), may_begin(weights, 6.0, 4.0)
    (True, False)
    >>> may_begin(weights, math.inf, 0.0)
    False
    """
    begins_s = lag_s + wait_s * WAIT_FACTOR
    return lag_s < weights.max_lag_s and begins_s < weights.bound_s


class StartLimits:
    """Apply the bound to the targets that one box knows.

    Parameters
    ----------
    view : view.View
    """

    def __init__(self, view):
        self._view = view

    def list_timely(self, candidates, spaces, work, now):
        """Return the candidates at which a request begins in time.

        Parameters
        ----------
        candidates : list of choice.Candidate
        spaces : dict of (int or None) to planner.Space
            Those of the candidates; none if the request has no prompt.
        """
        if not any(space.lag_s for space in spaces.values()):
            return candidates
        model = work.prompt.model
        return [
            candidate
            for candidate in candidates
            if self._may_begin(
                candidate.entry.name,
                spaces[self._get_version(candidate, model)].lag_s,
                choice.estimate_wait(candidate),
                now,
            )
        ]

    def may_send(self, plan, work, now):
        """Return whether a planned request still begins in time."""
        if work.prompt is None:
            return True
        name = plan.entry.name
        lag_s = self._view.get_lag(name, work.prompt.model, now)
        return self._may_begin(name, lag_s, plan.wait_s, now)

    def measure_left(self, name, work, now):
        """Return the seconds in which a request may begin at a target.

        Returns
        -------
        float or None
            None if the target lacks no version.
        """
        if work.prompt is None:
            return None
        lag_s = self._view.get_lag(name, work.prompt.model, now)
        return self._view.weights.bound_s - lag_s if lag_s else None

    def measure_recall(self, name, work, now):
        """Return the seconds until a request is to be taken back.

        Returns
        -------
        float
            Infinite if the target lacks no version.
        """
        left_s = self.measure_left(name, work, now)
        return math.inf if left_s is None else left_s - RECALL_MARGIN_S

    def lacks_new_weights(self, work, now):
        """Return whether all targets for a request have too old weights."""
        entries = self._list_permitted(work)
        return bool(
            work.prompt is not None
            and entries
            and not self._view.planner.list_new_enough(
                entries, work.prompt, now
            )
        )

    def estimate_new_weights(self, work, now):
        """Return in how many seconds a target has new weights at least."""
        names = [entry.name for entry in self._list_permitted(work)]
        return self._view.loading.estimate_end(names, now)

    def _list_permitted(self, work):
        """Return the entries that a request may get, now or later.

        Those that can't be reached are left out unless there are no others.
        """
        view = self._view
        limits = view.exclusions.get_requirements(work, view.table)
        entries = view.exclusions.list_permitted(
            view.fleet.list_service(work.service), limits
        )
        reached = [
            entry
            for entry in entries
            if not view.reachability.is_out(entry.name)
        ]
        return reached or entries

    def _get_version(self, candidate, model):
        return self._view.fleet.get_version(candidate.entry.name, model)

    def _may_begin(self, name, lag_s, expected_s, now):
        view = self._view
        if not lag_s:
            return True
        wait_s = max(expected_s, view.loads.measure_wait(name, now))
        return may_begin(view.weights, lag_s, wait_s)
