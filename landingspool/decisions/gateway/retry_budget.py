"""Limits the repeats of one box: its part of the retry budget of all boxes.

All boxes together may repeat a share of the requests of a service, and a fixed
number more in any window.  Each box uses only the share of its own requests
and its part of the fixed number, so that boxes need no coordination.
"""

import collections

# Share of the bound that is used: the windows in which repeats are counted
# slide, and a request may be counted in an adjacent one.
USED_SHARE = 0.8


class RetryBudget:
    """Count first sends and repeats of one service in a sliding window.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Further repeats in a window, over all boxes.
    window_s : float
        Length of the window in seconds.
    """

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._firsts = collections.deque()
        self._repeats = collections.deque()

    def record_first(self, now):
        """Count the first send of a request."""
        self._firsts.append(now)
        self._forget(now)

    def take(self, now, boxes):
        """Take one repeat; return False if none is left.

        Parameters
        ----------
        boxes : int
            Highest number of boxes that may share the slack.

        >>> budget = RetryBudget(0.2, 5.0, 10.0)
        >>> [budget.take(0.0, 2) for _ in range(3)]
        [True, True, False]
        >>> budget.take(11.0, 2)
        True
        """
        if not self.has_left(now, boxes):
            return False
        self._repeats.append(now)
        return True

    def has_left(self, now, boxes):
        """Return whether a repeat is left, without taking it."""
        self._forget(now)
        earned = len(self._firsts) * self._ratio
        limit = USED_SHARE * (earned + self._slack / max(boxes, 1))
        return len(self._repeats) + 1 <= limit

    def _forget(self, now):
        # Repeats are kept for a full window after the first sends that earned
        # them: the bound holds in any window.
        for times in (self._firsts, self._repeats):
            while times and now - times[0] > self._window_s:
                times.popleft()
