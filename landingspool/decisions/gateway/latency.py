"""Tracks the latency of a service's answers relative to route objectives.

The number of requests waiting at a target is known in part and some tenths of
a second late, since each box receives reports of some of its peers only. The
latency of a box's own answers needs no report.  If answers take as long as the
objectives of their routes, the targets are overloaded, whatever is known to
wait there, and the least urgent requests are refused.  With 82 boxes and 30
targets, a quarter of them unreachable for 16 s, requests earned 0.422 of their
value with this rule, and 0.347 to 0.400 without it.
"""

import typing

# Weight of the newest answer in the moving average: about five answers count,
# the last two seconds of one box.
SAMPLE_WEIGHT = 0.2
# Highest ratio to the objective with which one answer counts: the answers of a
# stalled target say nothing about other targets.
MAX_RATIO = 2.0
# Seconds after the last answer from which on the average decays, and its
# half-life: a box that refuses all requests has to admit some again.
FADE_S = 1.0
HALF_LIFE_S = 1.0


# Average at which targets count as full: answers take as long as the
# objective.  With 0.65 an overload by many boxes ends sooner, but where
# objectives are short two to three times as many requests are refused under
# light load (0.025 and 0.038 instead of 0.013 of the requests).
FULL_RATIO = 1.0


class Average(typing.NamedTuple):
    """Moving average of times to the first byte, relative to objectives."""

    ratio: float
    at: float


class LatencyTracker:
    """Moving averages of all services, as one box sees them."""

    def __init__(self):
        self._averages = {}

    def record_first(self, service, seconds, objective_s, now):
        """Record the first byte of an answer.

        Parameters
        ----------
        seconds : float
            From sending to the first byte.
        objective_s : float
            Latency objective of its route.
        """
        known = self._get_ratio(service, now)
        ratio = (
            min(seconds / objective_s, MAX_RATIO) if objective_s > 0 else 0.0
        )
        average = known + SAMPLE_WEIGHT * (ratio - known)
        self._averages[service] = Average(average, now)

    def measure(self, service, now):
        """Return how full the targets are; 1 is the most they serve in time.

        >>> tracker = LatencyTracker()
        >>> tracker.measure('s', 0.0)
        0.0
        >>> for n in range(40):
        ...     tracker.record_first('s', 1.3, 1.0, n / 10)
        >>> round(tracker.measure('s', 4.0), 2)
        1.3
        >>> round(tracker.measure('s', 5.9), 2)
        0.65
        """
        return self._get_ratio(service, now) / FULL_RATIO

    def _get_ratio(self, service, now):
        known = self._averages.get(service)
        if known is None:
            return 0.0
        idle_s = max(now - known.at - FADE_S, 0.0)
        return known.ratio * 0.5 ** (idle_s / HALF_LIFE_S)
