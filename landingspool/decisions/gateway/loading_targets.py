"""Tracks which targets load new weights, or will in a short time.

A target that loads refuses requests, and one that runs when the load begins
loses a part of its value.  So a target that is about to load gets only
requests that end before that.
"""

# Seconds for which a target counts as loading without a further report.
LOADING_S = 6.0
# Seconds that a load usually takes.
USUAL_LOAD_S = 1.3
# Seconds to generate one token, and the shortest run, under usual load.
TOKEN_S = 0.002
MIN_RUN_S = 0.2


class LoadingTargets:
    """Hold the loads that one box knows, by target."""

    def __init__(self):
        self._starts = {}

    def put(self, delays, now):
        """Record which targets load or will, and in how many seconds.

        A target that stays listed keeps its time, unless another load is
        announced after the first one began.

        Parameters
        ----------
        delays : dict of str to float
            Seconds until a target loads, by its name; negative ones if it
            began to.
        """
        self._starts = {
            name: self._date(name, delay, now)
            for name, delay in delays.items()
        }

    def _date(self, name, delay, now):
        """Return when a target loads that is listed."""
        known = self._starts.get(name)
        if known is None or (delay > 0 and known <= now):
            return now + delay
        return known

    def end(self, name):
        """Record that a target has its new weights."""
        self._starts.pop(name, None)

    def excludes(self, name, prompt, now):
        """Return whether a request would not end before a target loads.

        >>> from landingspool.decisions.gateway import prompts
        >>> loading = LoadingTargets()
        >>> loading.put({'t': 1.0}, 10.0)
        >>> short, long = (prompts.Prompt('m', 100, n, ()) for n in (4, 900))
        >>> [loading.excludes('t', prompt, 10.0) for prompt in (short, long)]
        [False, True]
        >>> loading.excludes('t', short, 11.0)
        True
        """
        start = self.get_start(name, now)
        if start is None:
            return False
        run_s = prompt.tokens_out * TOKEN_S + MIN_RUN_S
        return now + run_s > start

    def get_start(self, name, now):
        """Return when a target loads or began to; None if it doesn't load.

        >>> loading = LoadingTargets()
        >>> loading.put({'t': 0.5}, 10.0)
        >>> loading.get_start('t', 16.5), loading.get_start('t', 16.6)
        (10.5, None)
        """
        start = self._starts.get(name)
        if start is None or now > start + LOADING_S:
            return None
        return start

    def estimate_end(self, names, now):
        """Return in how many seconds the first load ends, at the earliest.

        One that has taken longer than usual may end at any time, and where
        none is under way the next one has yet to begin.

        Parameters
        ----------
        names : iterable of str
            The targets whose loads count.

        >>> loading = LoadingTargets()
        >>> loading.put({'a': 0.5, 'b': 1.0}, 10.0)
        >>> round(loading.estimate_end(['a', 'b', 'c'], 10.0), 2)
        1.8
        >>> loading.estimate_end(['a', 'c'], 12.5)
        1.3
        """
        starts = [self.get_start(name, now) for name in names]
        left = [
            start + USUAL_LOAD_S - now for start in starts if start is not None
        ]
        return min((s for s in left if s > 0), default=USUAL_LOAD_S)
