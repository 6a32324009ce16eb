"""The retry budget of one box: its part of what all boxes may repeat.

All boxes together may send again a share of the requests of a service and
a fixed number more in any window.  Each box spends only the share of its
own requests and its part of the fixed number, so no talk is needed.
"""

import collections

# Part of the bound that is used: the windows of the count slide, and a
# request may be counted in the neighbouring one.
USED = 0.8


class RetryBudget:
    """Counts first sends and repeats of one service in a sliding window.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Further repeats in a window, over all boxes.
    window_s : float
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
        """Take one repeat; returns False when there is none left.

        Parameters
        ----------
        boxes : int
            Boxes that may share the slack: the most that are believed in.

        >>> allowance = RetryBudget(0.2, 5.0, 10.0)
        >>> [allowance.take(0.0, 2) for _ in range(3)]
        [True, True, False]
        >>> allowance.take(11.0, 2)
        True
        """
        self._forget(now)
        earned = len(self._firsts) * self._ratio
        most = USED * (earned + self._slack / max(boxes, 1))
        if len(self._repeats) + 1 > most:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now):
        # Repeats stay a window longer than firsts: a bound on any window.
        for times in (self._firsts, self._repeats):
            while times and now - times[0] > self._window_s:
                times.popleft()
