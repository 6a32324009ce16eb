"""Tracks which targets exist, which may get new work, and their weights.

Targets announce themselves.  One may restart under its former id, and then
holds nothing of what it held before.  So all state about a target belongs to
one incarnation, which is its id and start time: state is stored under the
incarnation's name, a new incarnation begins with none, and an entry that
arrives late names an earlier incarnation.

An incarnation that was once draining gets no new work again, whatever is read
later.  During an outage of the store that lists the targets, entries may lapse
though their targets still run: these get a grace period before they count as
gone.
"""

import typing

READY = 'ready'
DRAINING = 'draining'
# State of an entry of an earlier incarnation: a later one of the id is known.
SUPERSEDED = 'over'

# Seconds after the end of an outage of the store within which a running target
# is listed again (about two, as operators state), and less than the two
# seconds after which nothing new may reach a target that is gone.
GRACE_S = 1.8
# Separates id and start time in the name of an incarnation; not part of ids.
INCARNATION_SEPARATOR = '@'


class Incarnation(typing.NamedTuple):
    """One start of a target.

    Attributes
    ----------
    target : str
        Its id, which a later start may share.
    born : int
        When it started, Unix milliseconds; 0 if not reported, and then each
        start has an id of its own.
    """

    target: str
    born: int = 0

    @property
    def name(self):
        """Name under which all state about this incarnation is stored.

        >>> Incarnation('t', 1700).name, Incarnation('t').name
        ('t@1700', 't')
        """
        if not self.born:
            return self.target
        return f'{self.target}{INCARNATION_SEPARATOR}{self.born}'


def parse_incarnation(name):
    """Return the Incarnation that a name stands for.

    >>> parse_incarnation('t@1700'), parse_incarnation('t')
    (Incarnation(target='t', born=1700), Incarnation(target='t', born=0))
    """
    target, _, born = name.partition(INCARNATION_SEPARATOR)
    return Incarnation(target, int(born or 0))


class Entry(typing.NamedTuple):
    """What a target announces about itself.

    Attributes
    ----------
    name : str
        Name of its incarnation (Incarnation.name).
    versions : dict of str to int
        The version of the weights that it runs, by model.
    cold_s : float
        How much longer it is slow after its start, in seconds.
    software : str
        Version of its software; empty if it doesn't announce one.
    """

    name: str
    service: str
    address: tuple
    domain: str
    state: str
    slots: int
    versions: dict
    cold_s: float = 0.0
    software: str = ''

    @property
    def target(self):
        """Id of the target, without the start time."""
        return parse_incarnation(self.name).target


class Fleet:
    """Hold the targets that a box knows.

    Attributes
    ----------
    entries : dict of str to Entry
        Those that may get new work, by the name of their incarnation.
    lapsed : dict of str to float
        When the grace period ends, for those of `entries` that have one.
    """

    def __init__(self):
        self.entries = {}
        self.lapsed = {}
        self._incarnations = {}
        self._drained = set()
        self._versions = {}

    def get_incarnation(self, target):
        """Return the name of a target's newest incarnation, or None."""
        incarnation = self._incarnations.get(target)
        return incarnation.name if incarnation is not None else None

    def is_same(self, entry):
        """Return whether an entry's target hasn't restarted since.

        >>> fleet = Fleet()
        >>> entry = Entry('t', 's', (), 'd', READY, 1, {}, software='v1')
        >>> _ = fleet.put(entry)
        >>> fleet.is_same(entry), fleet.is_same(entry._replace(software='v2'))
        (True, False)
        """
        known = self.entries.get(entry.name, entry)
        newest = self.get_incarnation(entry.target)
        return newest == entry.name and known.software == entry.software

    def list_incarnations(self):
        """Return the names of the newest incarnations, ended ones included."""
        return [
            incarnation.name for incarnation in self._incarnations.values()
        ]

    def list_targets(self):
        """Return the ids of the targets that may get new work."""
        return [parse_incarnation(name).target for name in self.entries]

    def put(self, entry):
        """Store an entry; return the state that applies from now on.

        An incarnation that was once draining stays so.  One that only vanished
        (it may have been partitioned) is used again when it announces itself
        as ready. The entry of an earlier incarnation changes nothing.
        """
        if not self._begin_incarnation(parse_incarnation(entry.name)):
            return SUPERSEDED
        self.lapsed.pop(entry.name, None)
        if entry.name in self._drained:
            return DRAINING
        if entry.state != READY:
            self.drain(entry.name)
            return DRAINING
        for model, version in entry.versions.items():
            self.record_version(entry.name, model, version)
        self.entries[entry.name] = entry
        return READY

    def _begin_incarnation(self, incarnation):
        """Record an incarnation; return whether it is its target's newest."""
        known = self._incarnations.get(incarnation.target)
        if known is not None and incarnation.born < known.born:
            return False
        if known is not None and incarnation.born > known.born:
            self._remove(known.name)
        self._incarnations[incarnation.target] = incarnation
        return True

    def drop(self, name, now, unconfirmed):
        """Record that an entry has gone.

        Parameters
        ----------
        unconfirmed : bool
            Whether the store was unreachable shortly before, so that the entry
            may have lapsed though the target still runs.
        """
        if name not in self.entries:
            return
        if unconfirmed:
            self.lapsed.setdefault(name, now + GRACE_S)
        else:
            self._remove(name)

    def drain(self, name):
        """Mark an incarnation as draining, permanently."""
        self._drained.add(name)
        self._remove(name)

    def exclude_stall(self, seconds):
        """Extend the grace periods by the seconds of a stall of this box.

        >>> fleet = Fleet()
        >>> _ = fleet.put(Entry('t', 's', (), 'd', READY, 1, {}))
        >>> fleet.drop('t', 1.0, unconfirmed=True)
        >>> fleet.exclude_stall(6.0)
        >>> fleet.tick(8.0), fleet.tick(9.0)
        ([], ['t'])
        """
        for name in self.lapsed:
            self.lapsed[name] += seconds

    def tick(self, now):
        """Drop the entries whose grace period expired; return their names."""
        expired = [name for name, until in self.lapsed.items() if now >= until]
        for name in expired:
            self._remove(name)
        return expired

    def list_service(self, service):
        """Return the entries of a service that may get new work.

        Entries in their grace period are excluded while there are others.
        """
        known = [e for e in self.entries.values() if e.service == service]
        confirmed = [e for e in known if e.name not in self.lapsed]
        return confirmed or known

    def list_model(self, model, services):
        """Return the entries of the targets that have a model.

        Parameters
        ----------
        services : collection of str
            The known services: an entry that names another one is no target.
        """
        return [
            entry
            for entry in self.entries.values()
            if model in entry.versions and entry.service in services
        ]

    def get_version(self, name, model):
        """Return the version of `model` that a target is assumed to run."""
        return self._versions.get((name, model))

    def record_version(self, name, model, version):
        """Record the version that a target reported."""
        known = self._versions.get((name, model), 0)
        # Versions only rise; an older report may arrive late.
        self._versions[(name, model)] = max(known, version)

    def _remove(self, name):
        self.lapsed.pop(name, None)
        self.entries.pop(name, None)
        for key in [key for key in self._versions if key[0] == name]:
            del self._versions[key]
