"""Holds what a service's targets are assumed to do, and learns it.

Before there are answers the prior holds, one for all services.  The reading
rate and the base time of engines are fitted to the newest answers, the time of
a plain request is their median; the other figures stay those of the prior.
"""

import collections
import math
import statistics
import typing

from landingspool.decisions.gateway import speed_fits

# The prior.  Prompt tokens that an engine reads in a second: known engines
# read 48 to 140 in a millisecond.
READ_TOKENS_S = 112_000.0
# Seconds that one running request adds to the first token of the next: a
# decoding step takes 3.2 ms, and each running request lengthens it by 0.05 ms.
RUNNING_S = 0.0006
# Seconds that a request waiting for its first byte adds at a plain target.
WORK_S = 0.045
# Seconds of a run for which a request waits if all slots are taken: those of
# the longest kind.
RUN_S = 2.0
# Answers kept for the fit of a service, and the seconds for which they count:
# a change of all engines, say by new software, is learned in that time.
MAX_ANSWERS = 192
MAX_AGE_S = 40.0
# Ratio to the prior, either way, from which on a learned figure is used.  A
# smaller difference hardly changes a choice: callers of engines that read 88
# tokens in a ms begin in time as often with either figure.
DIFFERENT = 1.4
# The same for a figure that is used already.
STILL_DIFFERENT = 1.15
# Seconds between two fits of a service, a millisecond of work each, and the
# same while there are fewer answers than are kept.
FIT_PERIOD_S = 8.0
FIRST_PERIOD_S = 2.0


class Profile(typing.NamedTuple):
    """What is assumed of one target.

    Attributes
    ----------
    read_tokens_s : float
        Prompt tokens that it reads in a second.
    base_s : float
        Seconds to the first byte without anything to read.
    running_s : float
        Seconds that one running request adds to that.
    work_s : float
        Seconds that a plain request takes.
    run_s : float
        Seconds after which a run ends and frees its slot.
    factor : float
        Its seconds, divided by those of a typical target of the service.
    """

    read_tokens_s: float = READ_TOKENS_S
    base_s: float = 0.0
    running_s: float = RUNNING_S
    work_s: float = WORK_S
    run_s: float = RUN_S
    factor: float = 1.0

    @property
    def excess_s(self):
        """Seconds by which its base exceeds that of a typical target.

        >>> Profile(base_s=0.06, factor=1.5).excess_s
        0.02
        """
        return round(self.base_s - self.base_s / self.factor, 9)


PRIOR = Profile()
# The lines that are fitted before there are answers.
PRIOR_LINE = speed_fits.Line(PRIOR.base_s, 1.0 / READ_TOKENS_S)


def scale(profile, factor):
    """Return the profile of a target that takes `factor` times as long.

    >>> slower = scale(PRIOR, 1.25)
    >>> slower.read_tokens_s, slower.run_s, slower.factor
    (89600.0, 2.5, 1.25)
    """
    if factor == 1.0:
        return profile
    return Profile(
        read_tokens_s=profile.read_tokens_s / factor,
        base_s=profile.base_s * factor,
        running_s=profile.running_s * factor,
        work_s=profile.work_s * factor,
        run_s=profile.run_s * factor,
        factor=factor,
    )


class Service:
    """Answers of one service's targets, and the figures fitted to them."""

    def __init__(self):
        self.answers = collections.deque(maxlen=MAX_ANSWERS)
        self.line = PRIOR_LINE
        self.is_engine = False
        self.fitted = -math.inf
        self.profile = PRIOR

    def fit(self, now):
        """Fit the figures if they are due."""
        is_full = len(self.answers) == MAX_ANSWERS
        period_s = FIT_PERIOD_S if is_full else FIRST_PERIOD_S
        if now - self.fitted < period_s:
            return
        self.fitted = now
        while self.answers and now - self.answers[0][2] > MAX_AGE_S:
            self.answers.popleft()
        samples = [row[:2] for row in self.answers]
        self.line = self._fit_line(samples)
        self.profile = self._make_profile(len(samples))

    def _fit_line(self, samples):
        if self.is_engine or len(samples) < speed_fits.MIN_ANSWERS:
            return speed_fits.fit(samples, PRIOR_LINE)
        # Plain requests differ in the work that they are, and the usual one
        # counts; at a target with free slots they hardly wait.
        median_s = statistics.median(seconds for _, seconds in samples)
        return speed_fits.Line(median_s, PRIOR_LINE.token_s)

    def _make_profile(self, count):
        if count < speed_fits.MIN_ANSWERS:
            return PRIOR
        known = self.profile
        if not self.is_engine:
            work_s = max(self.line.base_s, WORK_S / speed_fits.MAX_RATIO)
            work_s = pick_figure(work_s, WORK_S, known.work_s)
            return PRIOR._replace(work_s=work_s)
        rate = pick_figure(
            1.0 / self.line.token_s, READ_TOKENS_S, known.read_tokens_s
        )
        return PRIOR._replace(read_tokens_s=rate, base_s=self.line.base_s)


def pick_figure(learned, prior, known):
    """Return the learned figure if it differs enough from the prior.

    Parameters
    ----------
    known : float
        The figure used so far.

    >>> pick_figure(64.0, 112.0, 112.0), pick_figure(90.0, 112.0, 112.0)
    (64.0, 112.0)
    >>> pick_figure(90.0, 112.0, 64.0)
    90.0
    """
    least = DIFFERENT if known == prior else STILL_DIFFERENT
    ratio = max(learned / prior, prior / learned)
    return learned if ratio >= least else prior
