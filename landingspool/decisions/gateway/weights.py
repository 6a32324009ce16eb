"""Which weights are named, and which targets lack or load them.

Each version has a bound of its own, from its naming on, after which a target
without it is not used.  And a target that is about to load gets only the
requests that end before that.
"""

import typing

# Seconds after a version was named from which targets that lack it are put
# behind, by so many seconds: answers on old weights are worth a fifth less,
# but the few targets that have the new ones have to read all prompts anew.
# With much more all boxes send to these what they can't read in time.
OLD_WEIGHTS_S = 1.5
OLD_WEIGHTS_HANDICAP_S = 0.03
# Seconds before the bound from which on they are not used at all: a request
# may wait two or three seconds more at the target before it begins.
BEGIN_S = 3.0
# Seconds for which a target is believed to load without further word.
LOADING_S = 6.0
# Seconds that one token takes to make, and that any request takes at least,
# under usual load.
TOKEN_S = 0.002
SHORTEST_RUN_S = 0.2


class Named(typing.NamedTuple):
    """The newest version of weights of a model.

    `history` has (version, when this box heard of it) of all, oldest first:
    each version has a bound of its own from its naming on.
    """

    version: int
    history: tuple


class Weights:
    """The named versions and the loading targets, as one box knows them.

    Parameters
    ----------
    bound_s : float
        From a naming until no request may begin on older weights.

    Attributes
    ----------
    named : dict of str to Named
        By model.
    most_lag_s : float
        Lag from which on a target is not used any more.
    """

    def __init__(self, bound_s):
        self.named = {}
        self.most_lag_s = max(bound_s - BEGIN_S, OLD_WEIGHTS_S)
        self._loading = {}

    def put_version(self, model, version, now):
        """Take in a named version of weights; True if it is newer.

        >>> weights = Weights(12.0)
        >>> weights.put_version('m', 2, 5.0), weights.put_version('m', 1, 6.0)
        (True, False)
        """
        known = self.named.get(model)
        if known is not None and version <= known.version:
            return False
        # The first one read after a start may have been named long ago.
        heard = now if known is not None else now - OLD_WEIGHTS_S
        history = known.history if known is not None else ()
        self.named[model] = Named(version, (*history, (version, heard)))
        return True

    def is_replaced(self, model, version):
        """Tell whether a newer version than this one (or None) is named."""
        named = self.named.get(model)
        return named is not None and (version or 0) < named.version

    def get_lag(self, model, has, now):
        """Give the seconds since the first version that a target missed.

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
        missed = [heard for version, heard in named.history if version > has]
        return now - min(missed) if missed else 0.0

    def put_loading(self, delays, now):
        """Take in which targets load, or will after so many seconds.

        Parameters
        ----------
        delays : dict of str to float
        """
        self._loading = {
            name: self._loading.get(name, now + delay)
            for name, delay in delays.items()
        }

    def end_loading(self, name):
        """Note that a target has its new weights."""
        self._loading.pop(name, None)

    def is_loading(self, name, prompt, now):
        """Tell whether a request should not be sent to a target any more.

        One that is about to load still gets what ends before that.
        """
        begins = self._loading.get(name)
        if begins is None or now > begins + LOADING_S:
            return False
        run_s = prompt.tokens_out * TOKEN_S + SHORTEST_RUN_S
        return now + run_s > begins


def find_handicap(lag_s):
    """Give the seconds by which a target that lags is put behind.

    >>> find_handicap(1.4), find_handicap(1.5)
    (0.0, 0.03)
    """
    return OLD_WEIGHTS_HANDICAP_S if lag_s >= OLD_WEIGHTS_S else 0.0
