"""Which targets exist, which of them may get new work, and on what weights.

Targets say of themselves that they are there.  One may start again under
the id that it had, and then holds and knows nothing of before.  So what is
believed of a target belongs to one life of it, its id and when that start
was: all beliefs are kept under the life's name, a new life begins with none,
and an older word that comes late names a life that is over.

A life that was ever leaving gets no new work again, whatever is read later.
While the place where targets are listed was away, entries may lapse though
the target lives: those get a time of grace before they are taken as gone.
"""

import typing

READY = 'ready'
DRAINING = 'draining'
# An entry of a life that is over: a later one of the same id is known.
SUPERSEDED = 'over'

# Seconds after the list's return within which a living target is back on
# it (the users' letter: about two), and less than the two seconds after
# which nothing new may reach a target that is gone.
GRACE_S = 1.8
# Between the id and the start in the name of a life; no id holds it.
INCARNATION_SEPARATOR = '@'


class Incarnation(typing.NamedTuple):
    """One start of a target.

    Attributes
    ----------
    target : str
        Its id, which a later start may have too.
    born : int
        When it started, Unix milliseconds; 0 where it does not tell, and
        then each start has an id of its own.
    """

    target: str
    born: int = 0

    @property
    def name(self):
        """The name under which all beliefs about this life are kept.

        >>> Incarnation('t', 1700).name, Incarnation('t').name
        ('t@1700', 't')
        """
        if not self.born:
            return self.target
        return f'{self.target}{INCARNATION_SEPARATOR}{self.born}'


def parse_incarnation(name):
    """Give the Incarnation of a name.

    >>> parse_incarnation('t@1700'), parse_incarnation('t')
    (Incarnation(target='t', born=1700), Incarnation(target='t', born=0))
    """
    target, _, born = name.partition(INCARNATION_SEPARATOR)
    return Incarnation(target, int(born or 0))


class Entry(typing.NamedTuple):
    """What a target says of itself.

    Attributes
    ----------
    name : str
        Of its life (Incarnation.name).
    versions : dict of str to int
        The version of the weights that it runs, by model.
    cold_s : float
        How much longer it is slow from its start.
    """

    name: str
    service: str
    address: tuple
    domain: str
    state: str
    slots: int
    versions: dict
    cold_s: float = 0.0

    @property
    def target(self):
        """The target's id, by which it knows itself."""
        return parse_incarnation(self.name).target


class Fleet:
    """The targets that a box knows.

    Attributes
    ----------
    entries : dict of str to Entry
        Those that may get new work, by the name of their life.
    lapsed : dict of str to float
        Those of `entries` whose time of grace ends then.
    """

    def __init__(self):
        self.entries = {}
        self.lapsed = {}
        self._lives = {}
        self._drained = set()
        self._versions = {}

    def get_incarnation(self, target):
        """Give the name of the newest life of a target; None: unknown."""
        life = self._lives.get(target)
        return life.name if life is not None else None

    def list_incarnations(self):
        """List the names of the newest lives, also of those that are over."""
        return [life.name for life in self._lives.values()]

    def list_targets(self):
        """List the ids of the targets that may get new work."""
        return [parse_incarnation(name).target for name in self.entries]

    def put(self, entry):
        """Take in an entry; returns the state that holds from now on.

        A life that was ever leaving stays so.  One that only vanished (it
        may have been cut off) counts again when it says that it is ready.
        The entry of an earlier life than is known changes nothing.
        """
        if not self._begin_life(parse_incarnation(entry.name)):
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

    def _begin_life(self, life):
        """Note a life; tells whether it is the newest of its target."""
        known = self._lives.get(life.target)
        if known is not None and life.born < known.born:
            return False
        if known is not None and life.born > known.born:
            self._remove(known.name)
        self._lives[life.target] = life
        return True

    def drop(self, name, now, unsure):
        """Take in that an entry has gone.

        Parameters
        ----------
        unsure : bool
            Whether the list was away shortly before, so that the entry may
            have lapsed though the target lives.
        """
        if name not in self.entries:
            return
        if unsure:
            self.lapsed.setdefault(name, now + GRACE_S)
        else:
            self._remove(name)

    def drain(self, name):
        """Mark a life as leaving, for ever."""
        self._drained.add(name)
        self._remove(name)

    def exclude_stall(self, seconds):
        """Leave out seconds for which this box did not run.

        >>> fleet = Fleet()
        >>> _ = fleet.put(Entry('t', 's', (), 'd', READY, 1, {}))
        >>> fleet.drop('t', 1.0, unsure=True)
        >>> fleet.exclude_stall(6.0)
        >>> fleet.tick(8.0), fleet.tick(9.0)
        ([], ['t'])
        """
        for name in self.lapsed:
            self.lapsed[name] += seconds

    def tick(self, now):
        """Drop the entries whose time of grace is over; returns them."""
        over = [name for name, until in self.lapsed.items() if now >= until]
        for name in over:
            self._remove(name)
        return over

    def list_service(self, service):
        """List the entries of a service that may get new work.

        Those in their time of grace are left out while others are there.
        """
        known = [e for e in self.entries.values() if e.service == service]
        sure = [e for e in known if e.name not in self.lapsed]
        return sure or known

    def list_model(self, model, services):
        """List the entries of the targets that have a model.

        Parameters
        ----------
        services : collection of str
            Those that are known: who names another one is no target.
        """
        return [
            entry
            for entry in self.entries.values()
            if model in entry.versions and entry.service in services
        ]

    def get_version(self, name, model):
        """Give the version of `model` that a target is believed to run."""
        return self._versions.get((name, model))

    def record_version(self, name, model, version):
        """Note the version that a target told."""
        known = self._versions.get((name, model), 0)
        # Versions only rise; an older word may come late.
        self._versions[(name, model)] = max(known, version)

    def _remove(self, name):
        self.lapsed.pop(name, None)
        self.entries.pop(name, None)
        for key in [key for key in self._versions if key[0] == name]:
            del self._versions[key]
