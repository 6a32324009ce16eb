"""Fits the time to a first byte as a base time and a reading rate.

Requests also wait behind others, mostly unknown to the box that sent them: the
wait makes answers later, never sooner.  So the line is fitted to the lower
quartile of the times and not to their mean, which would take the wait of a
busy hour for a lower reading rate.
"""

import typing

# Share of the answers that are below the fitted line: that many hardly wait
# while the targets have time for what is asked of them.
QUANTILE = 0.25
# Answers below which the prior holds: a few seconds of a service.
MIN_ANSWERS = 24
# Answers that the prior reading rate weighs as much as.  Without it, prompts
# of one size would say nothing about the rate and set it at random.
PRIOR_ANSWERS = 16
# Tokens of a long prompt, whose reading time is compared with the prior's.
LONG_TOKENS = 4000
# Rounds of the reweighted fit; later ones change less than a hundredth.
ROUNDS = 6
# Lowest deviation in seconds by which a row's weight is divided.
MIN_DEVIATION_S = 0.001
# Largest ratio of a learned rate to the prior, either way: engines in use
# differ by three.
MAX_RATIO = 3.0
# Highest base time in seconds; a longer one is a wait.
MAX_BASE_S = 0.2


class Line(typing.NamedTuple):
    """Seconds to a first byte: a base, and some for each token read."""

    base_s: float
    token_s: float

    def estimate(self, tokens):
        """Return the seconds to the first byte of an answer.

        >>> Line(0.05, 1e-5).estimate(1000)
        0.060000000000000005
        """
        return self.base_s + tokens * self.token_s


def fit(samples, prior):
    """Return the Line through the lower quartile of the samples.

    Parameters
    ----------
    samples : iterable of tuple
        Tokens read and seconds to the first byte.
    prior : Line
        Returned if there are fewer than MIN_ANSWERS samples.

    >>> prior = Line(0.0, 1e-5)
    >>> fit([(1000, 0.2)] * 9, prior) == prior
    True
    >>> rows = [(n, 0.05 + n * 2e-5) for n in range(100, 9000, 50)]
    >>> line = fit(rows, prior)
    >>> round(line.base_s, 3), round(line.token_s, 7)
    (0.05, 2e-05)
    """
    samples = list(samples)
    if len(samples) < MIN_ANSWERS:
        return prior
    line = prior
    for _ in range(ROUNDS):
        sums = sum_weighted(samples, line)
        line = limit(solve(add_prior(sums, line, prior)), prior)
    return line


def add_prior(sums, line, prior):
    """Return weighted sums with the deviation of the rate from the prior."""
    count, tokens, seconds, squares, products = sums
    deviation_s = abs(line.token_s - prior.token_s) * LONG_TOKENS
    weight = PRIOR_ANSWERS * QUANTILE / max(deviation_s, MIN_DEVIATION_S)
    weight *= LONG_TOKENS**2
    squares += weight
    products += weight * prior.token_s
    return count, tokens, seconds, squares, products


def sum_weighted(rows, line):
    """Return the weighted sums of 1, x, y, x * x and x * y over rows.

    The weights make the least squares of the rows their quantile: a row's
    share above or below the line, divided by its distance.
    """
    base_s, token_s = line
    count = tokens = seconds = squares = products = 0.0
    for x, y in rows:
        over = y - base_s - token_s * x
        share = QUANTILE if over > 0 else 1.0 - QUANTILE
        share /= max(abs(over), MIN_DEVIATION_S)
        count += share
        tokens += share * x
        seconds += share * y
        squares += share * x * x
        products += share * x * y
    return count, tokens, seconds, squares, products


def solve(sums):
    """Return the least-squares Line of weighted sums.

    >>> solve((2.0, 4.0, 6.0, 10.0, 14.0))
    Line(base_s=1.0, token_s=1.0)
    """
    count, tokens, seconds, squares, products = sums
    token_s = (count * products - tokens * seconds) / (
        count * squares - tokens * tokens
    )
    return Line((seconds - token_s * tokens) / count, token_s)


def limit(line, prior):
    """Return a Line within the bounds that a figure may have.

    >>> limit(Line(-0.1, 9.0), Line(0.0, 1.0))
    Line(base_s=0.0, token_s=3.0)
    """
    lowest, highest = prior.token_s / MAX_RATIO, prior.token_s * MAX_RATIO
    slope = min(max(line.token_s, lowest), highest)
    return Line(min(max(line.base_s, 0.0), MAX_BASE_S), slope)
