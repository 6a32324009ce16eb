"""Agree with callers on how long a connection at rest is kept.

Each answer announces for how long its connection is kept.  The connection is
closed only some time after that, also if a configuration has lowered the idle
time-out since.
"""

import math

from landingspool import keep_alive

# Seconds for which a connection is kept beyond the announced time, at least: a
# request sent at its end has to arrive, and a caller counts from the arrival
# of the last answer.
MIN_MARGIN_S = 1.0
# Least time that is announced, seconds: the header has whole ones.
MIN_ANNOUNCED_S = 1


class Persistence:
    """How long one connection of a caller is kept, and how it was used.

    Parameters
    ----------
    margin_s : float
        Seconds for which callers may know of a newer configuration than this
        box.

    Attributes
    ----------
    served : int
        Requests that were answered on the connection.
    longest_rest_s : float
        The longest that it rested before a further request.
    """

    def __init__(self, margin_s):
        self._margin_s = max(margin_s, MIN_MARGIN_S)
        self._announced_s = 0
        self.served = 0
        self.longest_rest_s = 0.0

    def announce(self, limits):
        """Return the header row that announces the time to a caller."""
        self._announced_s = max(math.floor(limits.idle_s), MIN_ANNOUNCED_S)
        return keep_alive.write_row(self._announced_s)

    def compute_limit(self, limits):
        """Return the seconds after which the connection at rest is closed.

        Parameters
        ----------
        limits : routes.Limits
            In force now: callers use their open connections by the newest.
        """
        return max(limits.idle_s, self._announced_s) + self._margin_s

    def record_request(self, rested_s):
        """Record that a request came after a rest, in seconds."""
        if self.served:
            self.longest_rest_s = max(self.longest_rest_s, rested_s)
