"""Finds garbage in the stores of cached context, and when it may be freed.

A store frees nothing by itself, so that parts of replaced weights would fill
it.  It checks nothing either: a part that one box frees while a target fetches
it for a request of another box corrupts that request.  Which targets have old
weights is no basis for that, since a target that crashed comes back with them,
and a box that is cut off from the others does not notice.  So boxes that offer
parts and boxes that free them go by the publication of the newer weights, on
which they agree without a message:

* Parts are offered until the bound on the age of old weights, and only by a
  box with a proof, younger than that, that it knows the newest weights.
* They are freed once the box has known of the newer weights for that bound and
  the lease of the last offers.

A part whose writer crashed or was disconnected takes up memory as well.  The
only difference from one that is being written is that it doesn't grow.
"""

import itertools
import typing

from landingspool.decisions.gateway import context_index as index_module
from landingspool.decisions.gateway import namespaces

# Seconds by which boxes may date the publication of a version differently.
DATING_MARGIN_S = 1.0
# Seconds for which an incomplete part has to be unchanged before it is freed:
# a write takes tenths of a second, and seconds over slow links.
INCOMPLETE_S = 5.0
# Seconds between two lists of a store above which the earlier one says nothing
# of the incomplete parts: another box may have freed them in between, so that
# a target writes them again.
MAX_LIST_GAP_S = 10.0
# Parts freed by one call: some ten kilobytes, over links of 5 Mbit/s.
MAX_PARTS = 1000
# Seconds within which a call that frees parts has to arrive.
CALL_TIMEOUT_S = 1.0


def get_oldest_version(model, fleet, services):
    """Return the oldest version that any target of a model has, or None.

    Parameters
    ----------
    services : collection of str
        The known services.
    """
    versions = [
        fleet.get_version(entry.name, model) or 0
        for entry in fleet.list_model(model, services)
    ]
    return min(versions, default=None)


def is_stale(space, model, oldest):
    """Return whether a namespace belongs to weights before a version.

    >>> is_stale('m.1', 'm', 2), is_stale('m.1~own~w', 'm', 2)
    (True, True)
    >>> is_stale('m.2', 'm', 2), is_stale('m.10', 'm', 2)
    (False, False)
    >>> is_stale('mm.1', 'm', 2), is_stale('m%2E1.1', 'm', 2)
    (False, False)
    """
    found = namespaces.parse(space)
    if found is None or found.version is None:
        return False
    return found.model == model and found.version < oldest


def may_offer(lag_s, proof_s, bound_s):
    """Return whether parts of some weights may be offered to a request.

    Parameters
    ----------
    lag_s : float
        Seconds since newer weights were published, as far as this box knows;
        infinite if it can't tell.
    proof_s : float
        Seconds since the proof that this box knew all published versions.
    bound_s : float
        As weights.Weights.

    >>> may_offer(0.0, 1.5, 12.0), may_offer(11.9, 1.5, 12.0)
    (True, True)
    >>> may_offer(12.0, 1.5, 12.0), may_offer(0.0, 12.0, 12.0)
    (False, False)
    """
    return lag_s < bound_s and proof_s < bound_s


def compute_wait(bound_s):
    """Return the seconds after which no offer of replaced parts can be left.

    They are counted from when a box first knew of the newer weights, which
    were published before.

    >>> round(compute_wait(12.0), 1)
    15.6
    """
    return bound_s + index_module.LEASE_S + DATING_MARGIN_S


class KnownVersions:
    """Track since when this box has known the versions of the weights.

    The age that other boxes tell is not used: one that is too high does harm.
    """

    def __init__(self):
        self._since = {}

    def record(self, model, version, now):
        """Record that a published version of a model's weights is known."""
        self._since.setdefault(model, {}).setdefault(version, now)

    def find_replacing(self, model, wait_s, now):
        """Return the newest version that was known `wait_s` ago, or None.

        >>> versions = KnownVersions()
        >>> versions.record('m', 2, 10.0)
        >>> versions.record('m', 3, 18.0)
        >>> versions.record('m', 2, 18.0)
        >>> versions.find_replacing('m', 9.0, 18.9) is None
        True
        >>> versions.find_replacing('m', 9.0, 19.0)
        2
        >>> versions.find_replacing('m', 9.0, 27.0)
        3
        """
        since = self._since.get(model, {})
        known = [v for v, at in since.items() if now - at >= wait_s]
        newest = max(known, default=None)
        if newest is not None:
            # Of those before it nothing is asked any more.
            self._since[model] = {
                v: at for v, at in since.items() if v >= newest
            }
        return newest


def list_stale(cached, model, oldest):
    """Return the (namespace, part name) of cached parts of old weights.

    Parameters
    ----------
    cached : dict of tuple to int
        Tokens by (namespace, part name).

    >>> list_stale({('m.1', 'a'): 5, ('m.2', 'a'): 5}, 'm', 2)
    [('m.1', 'a')]
    """
    spaces = {space for space, _ in cached}
    stale = {space for space in spaces if is_stale(space, model, oldest)}
    return list_parts(cached, stale)


def list_parts(cached, spaces):
    """Return the (namespace, part name) of parts of some namespaces.

    Parameters
    ----------
    cached : dict of tuple to int
        Tokens by (namespace, part name).
    spaces : collection of str
    """
    found = (key for key in cached if key[0] in spaces)
    return list(itertools.islice(found, MAX_PARTS))


class Sighting(typing.NamedTuple):
    """When a list of a store was read, and its rows' time of first sight."""

    listed: float
    since: dict


class IncompleteParts:
    """Track since when the incomplete parts of each store are unchanged."""

    def __init__(self):
        self._sightings = {}

    def record(self, store, index, now):
        """Record the incomplete parts of a list that was just read.

        Parameters
        ----------
        index : context_index.CacheContents
            With that list in it.

        Returns
        -------
        list of tuple of str
            The (namespace, part name) that may be freed now.

        >>> row = index_module.IncompletePart('s', 'a', 100, 800)
        >>> index = index_module.CacheContents(
        ...     1, 0, {}, 0, 0, incomplete=(row,)
        ... )
        >>> broken = IncompleteParts()
        >>> broken.record('k', index, 10.0)
        []
        >>> broken.record('k', index, 10.0 + INCOMPLETE_S)
        [('s', 'a')]
        >>> grown = index._replace(incomplete=(row._replace(tokens=300),))
        >>> broken.record('k', grown, 18.0)
        []
        >>> broken.record('k', grown, 18.1 + MAX_LIST_GAP_S)
        []
        """
        sighting = self._sightings.get(store)
        known = {}
        if sighting and now - sighting.listed <= MAX_LIST_GAP_S:
            known = sighting.since
        rows = {
            (index.epoch, row): known.get((index.epoch, row), now)
            for row in index.incomplete
        }
        self._sightings[store] = Sighting(now, rows)
        return [
            (row.space, row.part)
            for (_, row), since in rows.items()
            if now - since >= INCOMPLETE_S
        ]

    def forget(self, store, parts):
        """Watch incomplete parts of a store anew, since they are freed.

        A target may write them again at once, and then has written as much of
        them at some time as was left of the former write.

        Parameters
        ----------
        parts : collection of tuple of str
            (namespace, part name) each.
        """
        sighting = self._sightings[store]
        since = {
            (epoch, row): at
            for (epoch, row), at in sighting.since.items()
            if (row.space, row.part) not in parts
        }
        self._sightings[store] = sighting._replace(since=since)
