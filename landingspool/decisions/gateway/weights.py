"""Tracks published versions of weights, and which targets lack or load them.

Each version has a deadline of its own, counted from its publication, after
which a target without it is not used.  A target that is about to load gets
only requests that end before that.
"""

import typing

# Seconds after a version was published from which on targets without it get a
# penalty, and that penalty in seconds: answers on old weights are worth a
# fifth less, but the few targets with the new ones have to read all prompts
# anew.  With a much higher penalty all boxes send more to these than they can
# read in time.
OLD_WEIGHTS_S = 1.5
OLD_WEIGHTS_PENALTY_S = 0.03
# Seconds before the deadline from which on such targets are not used at all: a
# request may wait two or three seconds more at the target before it begins.
START_MARGIN_S = 3.0
# Seconds for which a target counts as loading without a further report.
LOADING_S = 6.0
# Seconds that a load usually takes.
USUAL_LOAD_S = 1.3
# Seconds to generate one token, and the shortest run, under usual load.
TOKEN_S = 0.002
MIN_RUN_S = 0.2


class Named(typing.NamedTuple):
    """The newest published version of a model's weights.

    `history` has (version, when this box received it) of all, oldest first:
    each version has a deadline of its own, counted from its publication.
    """

    version: int
    history: tuple


class Weights:
    """Hold the published versions and the loading targets that one box knows.

    Parameters
    ----------
    bound_s : float
        Seconds from the publication of a version until no request may begin on
        older weights.

    Attributes
    ----------
    named : dict of str to Named
        By model.
    max_lag_s : float
        Lag in seconds from which on a target is not used any more.
    """

    def __init__(self, bound_s):
        self.named = {}
        self.max_lag_s = max(bound_s - START_MARGIN_S, OLD_WEIGHTS_S)
        self._loading = {}

    def put_version(self, model, version, now):
        """Record a published version of weights; return True if it is newer.

        >>> weights = Weights(12.0)
        >>> weights.put_version('m', 2, 5.0), weights.put_version('m', 1, 6.0)
        (True, False)
        """
        known = self.named.get(model)
        if known is not None and version <= known.version:
            return False
        # The first one read after a start may have been published long ago.
        received = now if known is not None else now - OLD_WEIGHTS_S
        history = known.history if known is not None else ()
        self.named[model] = Named(version, (*history, (version, received)))
        return True

    def is_replaced(self, model, version):
        """Return whether a newer version than this (or None) is published."""
        named = self.named.get(model)
        return named is not None and (version or 0) < named.version

    def get_lag(self, model, has, now):
        """Return the seconds since the first version that a target missed.

        Parameters
        ----------
        has : int or None
            The version that the target has.

        >>> weights = Weights(12.0)
        >>> for version in 1, 2, 3:
        ...     _ = weights.put_version('m', version, 10.0 * version)
        >>> weights.get_lag('m', 1, 34.0), weights.get_lag('m', 3, 34.0)
        (14.0, 0.0)
        """
        named = self.named.get(model)
        if named is None:
            return 0.0
        has = has or 0
        missed = [
            received for version, received in named.history if version > has
        ]
        return now - min(missed) if missed else 0.0

    def put_loading(self, delays, now):
        """Record which targets load or will, and in how many seconds.

        Parameters
        ----------
        delays : dict of str to float
            Seconds until a target loads, by its name.
        """
        self._loading = {
            name: self._loading.get(name, now + delay)
            for name, delay in delays.items()
        }

    def end_loading(self, name):
        """Record that a target has its new weights."""
        self._loading.pop(name, None)

    def is_loading(self, name, prompt, now):
        """Return whether a request should not be sent to a target any more.

        A target that is about to load still gets requests that end before
        that.
        """
        begins = self._loading.get(name)
        if begins is None or now > begins + LOADING_S:
            return False
        run_s = prompt.tokens_out * TOKEN_S + MIN_RUN_S
        return now + run_s > begins

    def get_load_start(self, name, now):
        """Return when a target loads or began to; None if it doesn't load."""
        start = self._loading.get(name)
        if start is None or now > start + LOADING_S:
            return None
        return start


def estimate_load_end(starts, now):
    """Return in how many seconds the first of some loads ends, or None.

    One that has taken longer than usual may end at any time.

    Parameters
    ----------
    starts : iterable of (float or None)
        When each of them begins or began; None where nothing loads.

    >>> round(estimate_load_end([10.5, 11.0, None], 10.0), 2)
    1.8
    >>> estimate_load_end([8.0, None], 10.0)
    """
    left = [
        start + USUAL_LOAD_S - now for start in starts if start is not None
    ]
    return min((seconds for seconds in left if seconds > 0), default=None)


def compute_penalty(lag_s):
    """Return the seconds of penalty for a target with a lag of `lag_s`.

    >>> compute_penalty(1.4), compute_penalty(1.5)
    (0.0, 0.03)
    """
    return OLD_WEIGHTS_PENALTY_S if lag_s >= OLD_WEIGHTS_S else 0.0
