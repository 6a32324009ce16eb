"""Tracks published versions of weights, and for how long a target lacks one.

Each version has a deadline of its own, counted from its publication, after
which a target without it is not used.
"""

import typing

from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import version_ages

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
# Seconds by which a publication has to change to be worth a log line: what
# boxes know of it differs by the time that messages take.
MIN_SHIFT_S = 0.5
# Number of digests of which one has the ages of versions: about one a second.
REPEAT_EVERY = 5


class Named(typing.NamedTuple):
    """The newest published version of a model's weights.

    `history` has a version_ages.Published for each known one, oldest first:
    each version has a deadline of its own, counted from its publication.
    """

    version: int
    history: tuple


class Weights:
    """Hold the published versions that one box knows.

    Parameters
    ----------
    bound_s : float
        Seconds from the publication of a version until no request may begin on
        older weights.

    Attributes
    ----------
    named : dict of str to Named
        By model.
    bound_s : float
    max_lag_s : float
        Lag in seconds from which on a target is not used any more.
    """

    def __init__(self, bound_s):
        self.named = {}
        self.bound_s = bound_s
        self.max_lag_s = max(bound_s - START_MARGIN_S, OLD_WEIGHTS_S)
        self._digests = 0

    def put_version(self, model, version, now, proof_s=0.0, is_late=False):
        """Record a published version of weights; return True if it is newer.

        Parameters
        ----------
        proof_s, is_late
            As in version_ages.date_read.

        >>> weights = Weights(12.0)
        >>> weights.put_version('m', 2, 5.0), weights.put_version('m', 1, 6.0)
        (True, False)
        """
        known = self.named.get(model)
        if known is not None and version <= known.version:
            return False
        row = version_ages.date_read(version, now, proof_s, is_late)
        history = known.history if known is not None else ()
        self.named[model] = Named(version, version_ages.merge(history, row))
        return True

    def take_version(self, model, version, at, is_witnessed=True):
        """Adopt a version that another box knows, and when it was published.

        The store may have an older one: an operator's write of that may have
        been carried out late.

        Parameters
        ----------
        at : float
            Seconds of this box's clock.
        is_witnessed : bool
            As in version_ages.Published.

        Returns
        -------
        bool
            Whether the version is newer than those that this box knew.

        >>> weights = Weights(12.0)
        >>> weights.take_version('m', 3, 4.0)
        True
        >>> weights.put_version('m', 2, 10.0)
        False
        >>> weights.get_lag('m', 2, 10.0)
        6.0
        """
        named = self.named.get(model)
        if named is not None and version <= named.version:
            self.take_age(model, version, at, is_witnessed)
            return False
        row = version_ages.Published(version, at, is_witnessed=is_witnessed)
        history = named.history if named is not None else ()
        self.named[model] = Named(version, version_ages.merge(history, row))
        return True

    def take_age(self, model, version, at, is_witnessed=True):
        """Adopt when a version was published that is not newer than known.

        Returns
        -------
        bool
            Whether this box counts the version from another time now, by
            MIN_SHIFT_S or more.

        >>> weights = Weights(12.0)
        >>> weights.take_age('m', 2, 4.0)
        False
        >>> weights.put_version('m', 3, 10.0, float('inf'), is_late=True)
        True
        >>> weights.take_age('m', 2, 4.0)
        True
        >>> weights.get_lag('m', 1, 10.0), weights.get_lag('m', 3, 10.0)
        (6.0, 0.0)
        """
        named = self.named.get(model)
        if named is None or version > named.version:
            return False
        known = self._find(model, version)
        row = version_ages.Published(version, at, is_witnessed=is_witnessed)
        if known is not None:
            row = version_ages.adopt(known, at, is_witnessed)
        others = tuple(r for r in named.history if r.version != version)
        history = version_ages.merge(others, row)
        self.named[model] = named._replace(history=history)
        return known is None or abs(row.at - known.at) >= MIN_SHIFT_S

    def is_witnessed(self, model, version):
        """Return whether a box read the record of a version as it came."""
        row = self._find(model, version)
        return row is not None and row.is_witnessed

    def get_age(self, model, version, now):
        """Return the seconds since a known version was published.

        >>> weights = Weights(12.0)
        >>> _ = weights.put_version('m', 1, 5.0)
        >>> _ = weights.put_version('m', 2, 6.0)
        >>> weights.get_age('m', 2, 6.5)
        0.5
        """
        return now - self._find(model, version).at

    def _find(self, model, version):
        """Return the Published of a version, or None if it is not known."""
        named = self.named.get(model)
        rows = named.history if named is not None else ()
        return next((row for row in rows if row.version == version), None)

    def list_versions(self, now):
        """List the versions that boxes have to know, with their ages.

        A version whose age is not known counts as past the bound, so that it
        is told as one that has just passed it; and so are those that are past
        it.  Of these only the newest one matters, also beside newer ones that
        are not past it.

        Returns
        -------
        list of peer_digests.VersionNotice

        >>> weights = Weights(12.0)
        >>> for version in 1, 2, 3:
        ...     _ = weights.put_version('m', version, 20.0 * version)
        >>> weights.list_versions(80.0)
        [VersionNotice(model='m', version=3, age_ms=12000, is_witnessed=True)]
        >>> [notice.version for notice in weights.list_versions(65.0)]
        [2, 3]
        """
        return [
            peer_digests.VersionNotice(
                model,
                row.version,
                int(min(now - row.at, self.bound_s) * 1000),
                row.is_witnessed,
            )
            for model in self.named
            for row in self._list_needed(model, now)
        ]

    def _list_needed(self, model, now):
        """List the Published of a model's versions that boxes have to know."""
        history = self.named[model].history
        rows = version_ages.list_lacked(history) or history
        past = [row for row in rows if now - row.at >= self.bound_s]
        recent = [row for row in rows if now - row.at < self.bound_s]
        return [*past[-1:], *recent]

    def list_ages(self, now):
        """List the notices of the models with versions not past the bound."""
        past_ms = int(self.bound_s * 1000)
        notices = self.list_versions(now)
        recent = {n.model for n in notices if n.age_ms < past_ms}
        return [notice for notice in notices if notice.model in recent]

    def list_due_ages(self, now):
        """Count a digest; return the ages that it has, mostly none."""
        self._digests += 1
        if self._digests % REPEAT_EVERY:
            return ()
        return tuple(self.list_ages(now))

    def is_replaced(self, model, version):
        """Return whether a newer version than this (or None) is published."""
        named = self.named.get(model)
        return named is not None and (version or 0) < named.version

    def get_lag(self, model, has, now):
        """Return the seconds since the first version that a target missed.

        They are infinite if this box can't tell when that was published.

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
        missed = version_ages.find_missed(named.history, has)
        return 0.0 if missed is None else now - missed


def compute_penalty(lag_s):
    """Return the seconds of penalty for a target with a lag of `lag_s`.

    >>> compute_penalty(1.4), compute_penalty(1.5)
    (0.0, 0.03)
    """
    return OLD_WEIGHTS_PENALTY_S if lag_s >= OLD_WEIGHTS_S else 0.0
