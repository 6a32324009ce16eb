"""Which targets exist, which of them may get new work, and on what weights.

Targets say of themselves that they are there.  One that was ever leaving
gets no new work again under its id, whatever is read later.  While the
place where they are listed was away, entries may lapse though the target
lives: those get a time of grace before they are taken as gone.
"""

import typing

READY = 'ready'
DRAINING = 'draining'

# Seconds after the list's return within which a living target is back on
# it (the users' letter: about two), and less than the two seconds after
# which nothing new may reach a target that is gone.
GRACE_S = 1.8


class Entry(typing.NamedTuple):
    """What a target says of itself.

    Attributes
    ----------
    name : str
        Its id, new with each start.
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


class Fleet:
    """The targets that a box knows.

    Attributes
    ----------
    entries : dict of str to Entry
        Those that may get new work.
    lapsed : dict of str to float
        Those of `entries` whose time of grace ends then.
    """

    def __init__(self):
        self.entries = {}
        self.lapsed = {}
        self._drained = set()
        self._versions = {}

    def put(self, entry):
        """Take in an entry; returns the state that holds from now on.

        An id that was ever leaving stays so.  One that only vanished (it
        may have been cut off) counts again when it says that it is ready.
        """
        self.lapsed.pop(entry.name, None)
        if entry.name in self._drained:
            return DRAINING
        if entry.state != READY:
            self.drain(entry.name)
            return DRAINING
        for model, version in entry.versions.items():
            self.note_version(entry.name, model, version)
        self.entries[entry.name] = entry
        return READY

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
        """Mark a target as leaving, for ever."""
        self._drained.add(name)
        self._remove(name)

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

    def list_model(self, model):
        """List the entries of the targets that have a model."""
        return [e for e in self.entries.values() if model in e.versions]

    def get_version(self, name, model):
        """Give the version of `model` that a target is believed to run."""
        return self._versions.get((name, model))

    def note_version(self, name, model, version):
        """Note the version that a target told."""
        known = self._versions.get((name, model), 0)
        # Versions only rise; an older word may come late.
        self._versions[(name, model)] = max(known, version)

    def _remove(self, name):
        self.lapsed.pop(name, None)
        self.entries.pop(name, None)
        for key in [key for key in self._versions if key[0] == name]:
            del self._versions[key]
