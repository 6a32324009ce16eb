"""How late the targets of a service answer, against what its routes aim at.

What waits at a target is known in part and some tenths of a second late: of
many boxes each hears some.  How long the newest answers of a box took needs
no word of others.  Where they take as long as their routes aim at, the
targets have more than they can do, whatever is believed to wait there, and
the least urgent requests are told to come back (82 boxes and 30 targets, a
quarter of these dark for 16 s: worth 0.422 with it, 0.347 and 0.400 without;
one day).
"""

import typing

# Share of the newest answer in the moving average: some five answers, the
# last two seconds of one box.
SAMPLE_WEIGHT = 0.2
# Times its aim that one answer counts at most: a target that stood still
# tells nothing of the others.
MOST_RATIO = 2.0
# Seconds after the last answer from which the average fades, and in which it
# fades to half: a box that turns all away has to try again.
FADE_S = 1.0
HALF_LIFE_S = 1.0


# Average at which targets count as full: answers take as long as is aimed at.
# At 0.65 an overload of many boxes passes sooner, but where aims are short two
# to three times as many were turned away on quiet days (0.013 to 0.025 and
# 0.038 of the requests), and worth fell by 0.05 there.
FULL_RATIO = 1.0


class Average(typing.NamedTuple):
    """The moving average of times to the first byte, by their aims."""

    ratio: float
    at: float


class LatencyTracker:
    """The averages of all services, as one box sees them."""

    def __init__(self):
        self._averages = {}

    def record_first(self, service, seconds, aim_s, now):
        """Note the first byte of an answer.

        Parameters
        ----------
        seconds : float
            From sending to the first byte.
        aim_s : float
            To the first byte that its route aims at.
        """
        known = self._find_ratio(service, now)
        ratio = min(seconds / aim_s, MOST_RATIO) if aim_s > 0 else 0.0
        average = known + SAMPLE_WEIGHT * (ratio - known)
        self._averages[service] = Average(average, now)

    def measure(self, service, now):
        """Give how full the targets are; 1: as much as they can do in time.

        >>> latency = LatencyTracker()
        >>> latency.measure('s', 0.0)
        0.0
        >>> for n in range(40):
        ...     latency.record_first('s', 1.3, 1.0, n / 10)
        >>> round(latency.measure('s', 4.0), 2)
        1.3
        >>> round(latency.measure('s', 5.9), 2)
        0.65
        """
        return self._find_ratio(service, now) / FULL_RATIO

    def _find_ratio(self, service, now):
        known = self._averages.get(service)
        if known is None:
            return 0.0
        idle_s = max(now - known.at - FADE_S, 0.0)
        return known.ratio * 0.5 ** (idle_s / HALF_LIFE_S)
