"""Takes in the limits that targets name, and tells operators of them."""

from landingspool.decisions.gateway import neighbours
from landingspool.gateway import marks
from landingspool.platform import limits as field


class Limiting:
    """What answers say of limits, for the decisions and for the log.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `metrics`, `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._limits = hub.view.bars.limits
        self._unreadable = set()

    def take(self, name, limit, asked, certain=True):
        """Take in what an answer of a target says.

        Parameters
        ----------
        name : str
            Of the target's life.
        limit : limits.Named, limits.Unnamed or limits.Unreadable
        asked : float
            When the request went out.
        certain : bool
            Whether an answer of this kind names a limit wherever one holds:
            only then one without tells that there is none.
        """
        now = self._hub.clock()
        if isinstance(limit, field.Named):
            self._limits.note_named(name, limit.per_s, asked, now)
            self._hub.peering.hurry()
        elif isinstance(limit, field.Unreadable):
            self._note_unreadable(name, limit.text)
        elif certain:
            self._limits.note_unnamed(name, asked, now)

    def take_beside(self, address, limit, seconds):
        """Take in the limit that an answer to a call beside requests names.

        Whether such answers name each limit isn't said anywhere, so one
        without tells nothing.

        Parameters
        ----------
        address : tuple
            Of the target.
        limit : limits.Named or limits.Unreadable
        seconds : float
            For which the call may have lasted.
        """
        asked = self._hub.clock() - seconds
        for entry in self._hub.view.fleet.entries.values():
            if tuple(entry.address) == tuple(address):
                self.take(entry.name, limit, asked, certain=False)

    def look(self):
        """Log what is new, by the names of the targets."""
        changes = marks.take_all(self._limits.fresh)
        if not changes:
            return
        entries = self._hub.view.fleet.entries
        names = {neighbours.code_target(name): name for name in entries}
        for life, known in changes:
            if known.box and known.since < known.changed and known.per_s:
                # Who heard the target name another figure has logged it.
                continue
            self._hub.recorder.record(
                'limit_named' if known.per_s else 'limit_over',
                target=names.get(life, life),
                per_s=known.per_s,
                told_by=known.box or self._hub.place.box,
                age_s=round(self._hub.clock() - known.heard, 3),
            )

    def sweep(self):
        """Bring the metrics up to date."""
        entries = self._hub.view.fleet.entries
        self._unreadable.intersection_update(entries)
        now = self._hub.clock()
        named = self._limits.list_named(entries)
        used = {name: self._limits.find_used(name, now) for name in named}
        self._hub.metrics.note_limits(named, used, now)

    def _note_unreadable(self, name, text):
        # One line for what a target says again and again.
        if name not in self._unreadable:
            self._unreadable.add(name)
            self._hub.recorder.record('bad_limit', target=name, text=text)
