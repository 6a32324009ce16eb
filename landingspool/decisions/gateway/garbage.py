"""Finds garbage in the stores of cached context, and when it may be freed.

A store frees nothing by itself, so that parts of replaced weights would fill
it.  Once every target has newer weights no request can begin on the old ones,
and requests that had begun have fetched their parts within the lease of their
offer; so parts are freed a lease and some seconds after the last target was
seen on them.

A part whose writer crashed or was disconnected takes up memory as well.  The
only difference from one that is being written is that it doesn't grow.
"""

from landingspool.decisions.gateway import context_index as index_module

# Seconds after all targets were first seen on newer weights: the lease of the
# last offers, and the time within which all boxes have received the change.
FREE_AFTER_S = index_module.LEASE_S + 2.0
# Seconds for which an incomplete part has to be unchanged before it is freed:
# a write takes tenths of a second, and seconds over slow links.
INCOMPLETE_S = 5.0
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

    >>> is_stale('m.1', 'm', 2), is_stale('m.1.wall', 'm', 2)
    (True, True)
    >>> is_stale('m.2', 'm', 2), is_stale('m.10', 'm', 2)
    (False, False)
    >>> is_stale('mm.1', 'm', 2)
    False
    """
    head, _, rest = space.partition(f'{model}.')
    version = rest.split('.')[0]
    return not head and version.isdecimal() and int(version) < oldest


class OldestVersions:
    """Track since when each model's oldest version is in use."""

    def __init__(self):
        self._oldest = {}

    def record(self, model, oldest, now):
        """Record the oldest version in use of a model.

        Returns
        -------
        int or None
            The version before which all parts may be freed now.

        >>> versions = OldestVersions()
        >>> versions.record('m', 2, 10.0)
        >>> versions.record('m', 2, 20.0)
        2
        >>> versions.record('m', 1, 20.1)
        """
        known = self._oldest.get(model)
        if known is None or known[0] != oldest:
            self._oldest[model] = oldest, now
            return None
        return oldest if now - known[1] >= FREE_AFTER_S else None


def list_stale(cached, model, oldest):
    """Return the (namespace, part name) of cached parts of old weights.

    Parameters
    ----------
    cached : dict of tuple to int
        Tokens by (namespace, part name).

    >>> list_stale({('m.1', 'a'): 5, ('m.2', 'a'): 5}, 'm', 2)
    [('m.1', 'a')]
    """
    stale = [key for key in cached if is_stale(key[0], model, oldest)]
    return stale[:MAX_PARTS]


class IncompleteParts:
    """Track since when the incomplete parts of each store are unchanged."""

    def __init__(self):
        self._since = {}

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
        >>> broken.record('k', grown, 30.0)
        []
        """
        known = self._since.get(store, {})
        rows = {
            (index.epoch, row): known.get((index.epoch, row), now)
            for row in index.incomplete
        }
        self._since[store] = rows
        return [
            (row.space, row.part)
            for (_, row), since in rows.items()
            if now - since >= INCOMPLETE_S
        ]
