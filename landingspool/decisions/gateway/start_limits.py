"""Decides whether a request would begin in time on weights that are replaced.

The bound applies to the moment at which a target begins a request, so it is
checked when a target is chosen and again when the request is sent.
"""


class StartLimits:
    """Apply the bound to the targets that one box knows.

    Parameters
    ----------
    view : view.View
    """

    def __init__(self, view):
        self._view = view

    def may_send(self, plan, work, now):
        """Return whether a planned request still begins in time."""
        if work.prompt is None:
            return True
        lag_s = self._view.get_lag(plan.entry.name, work.prompt.model, now)
        return lag_s < self._view.weights.max_lag_s
