"""What is of no use any more in stores of kept context, and when to free it.

A store frees nothing by itself, so the parts of replaced weights would fill it
for ever.  Once every target has newer weights no request can begin on the old
ones, and what had begun has fetched within the lease of its offer; so parts
are freed a lease and some seconds after the last target was seen on them.

A part whose writer crashed or was cut off keeps its room as well.  Nobody
can tell it from one that is being written but by its not growing.
"""

from landingspool.decisions.gateway import context_index as index_module

# Seconds after all targets were first seen on newer weights: the lease of the
# last offers, and the time for which a box may not have heard yet.
FREE_AFTER_S = index_module.LEASE_S + 2.0
# Seconds for which a part that is not whole has to stay as it is before it
# is freed: a write takes tenths of a second, and seconds over slow links.
INCOMPLETE_S = 5.0
# Parts freed by one call: some ten kilobytes, over links of 5 Mbit/s.
MOST_PARTS = 1000
# Seconds within which a call for it has to arrive.
CALL_TIMEOUT_S = 1.0


def get_oldest_version(model, fleet, services):
    """Give the oldest version that any target of a model has, or None.

    Parameters
    ----------
    services : collection of str
        Those that are known.
    """
    versions = [
        fleet.get_version(entry.name, model) or 0
        for entry in fleet.list_model(model, services)
    ]
    return min(versions, default=None)


def is_old(space, model, least):
    """Tell whether a namespace is that of weights before a version.

    >>> is_old('m.1', 'm', 2), is_old('m.1.wall', 'm', 2)
    (True, True)
    >>> is_old('m.2', 'm', 2), is_old('m.10', 'm', 2), is_old('mm.1', 'm', 2)
    (False, False, False)
    """
    head, _, rest = space.partition(f'{model}.')
    version = rest.split('.')[0]
    return not head and version.isdecimal() and int(version) < least


class OldestVersions:
    """Knows since when which weights are the oldest in use."""

    def __init__(self):
        self._least = {}

    def record(self, model, least, now):
        """Note the oldest version in use of a model.

        Returns
        -------
        int or None
            The version before which all may be freed now.

        >>> leftovers = OldestVersions()
        >>> leftovers.record('m', 2, 10.0)
        >>> leftovers.record('m', 2, 20.0)
        2
        >>> leftovers.record('m', 1, 20.1)
        """
        known = self._least.get(model)
        if known is None or known[0] != least:
            self._least[model] = least, now
            return None
        return least if now - known[1] >= FREE_AFTER_S else None


def list_stale(cached, model, least):
    """List the (namespace, part name) that are kept of old weights.

    Parameters
    ----------
    cached : dict of tuple to int
        As in warmth.CacheContents.

    >>> list_stale({('m.1', 'a'): 5, ('m.2', 'a'): 5}, 'm', 2)
    [('m.1', 'a')]
    """
    old = [key for key in cached if is_old(key[0], model, least)]
    return old[:MOST_PARTS]


class IncompleteParts:
    """Knows since when the unwhole parts of each store have not grown."""

    def __init__(self):
        self._since = {}

    def record(self, store, index, now):
        """Note the unwhole parts of a list that has just been read.

        Parameters
        ----------
        index : warmth.CacheContents
            With that list in it.

        Returns
        -------
        list of tuple of str
            The (namespace, part name) that may be freed now.

        >>> row = index_module.IncompletePart('s', 'a', 100, 800)
        >>> index = index_module.CacheContents(1, 0, {}, 0, 0, incomplete=(row,))
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
