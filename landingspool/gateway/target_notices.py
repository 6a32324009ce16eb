"""Takes in what targets say in their answers, and tells operators of it."""

import typing

from landingspool.decisions.gateway import peer_digests
from landingspool.gateway import crash_records
from landingspool.platform import limits as field
from landingspool.platform import notices as notices_module


class SideCall(typing.NamedTuple):
    """A call beside the requests, as it goes out.

    `incarnations` are the names of the lives at its address then: an answer says
    nothing of a life that has begun since.
    """

    incarnations: tuple
    asked: float


class TargetNotices:
    """What answers say of their targets, for the decisions and for the log.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `metrics`, `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._limits = hub.view.bars.limits
        self._unreadable = set()
        self._leaving = hub.view.bars.leaving
        self._rests = hub.view.bars.backoffs

    def take(self, name, words, asked, certain=True):
        """Take in what an answer of a target says.

        Parameters
        ----------
        name : str
            Of the target's life.
        words : words.Notices
        asked : float
            When the request went out.
        certain : bool
            Whether an answer of this kind names a limit wherever one holds:
            only then one without tells that there is none.
        """
        self._take_limit(name, words.limit, asked, certain)
        self._take_rest(name, words.rest)
        self._take_leaving(name, words.leaving)
        for title, word in words._asdict().items():
            if isinstance(word, field.Unreadable):
                self._record_unreadable(name, title, word.text)

    def begin_call(self, address):
        """Give the SideCall of a call to an address that goes out now."""
        entries = self._hub.view.fleet.entries.values()
        incarnations = tuple(e.name for e in entries if e.address == address)
        return SideCall(incarnations, self._hub.clock())

    def take_answer(self, called, words):
        """Take in what the answer to a call beside the requests says.

        Whether such answers name each limit isn't said anywhere, so one
        without tells nothing.

        Parameters
        ----------
        called : SideCall
        words : words.Notices
        """
        for name in called.incarnations:
            self.take(name, words, called.asked, certain=False)

    def check(self):
        """Act on what is new, and log it by the names of the targets."""
        self._look_at_rests()
        limits = crash_records.pop_all(self._limits.fresh)
        leaving = crash_records.pop_all(self._leaving.fresh)
        if not limits and not leaving:
            return
        incarnations = self._hub.view.fleet.list_incarnations()
        names = {peer_digests.hash_target(name): name for name in incarnations}
        self._look_at_limits(limits, names)
        self._look_at_leaving(leaving, names)

    def _look_at_rests(self):
        for asked in crash_records.pop_all(self._rests.fresh):
            self._hub.recorder.record(
                'rest_asked',
                target=asked.name,
                seconds=round(asked.rest.until - asked.rest.asked, 3),
            )
        for name in self._rests.take_over(self._hub.clock()):
            self._hub.recorder.record('rest_over', target=name)

    def _look_at_leaving(self, changes, names):
        for known in changes:
            name = names.get(known.life, known.life)
            self._hub.recorder.record(
                'leaving_over' if known.is_over else 'leaving_told',
                target=name,
                told_by=known.box or self._hub.deployment.box,
                age_s=round(self._hub.clock() - known.heard, 3),
            )
            entry = self._hub.view.fleet.entries.get(name)
            if entry is not None:
                # What is at rest there only keeps places from the others.
                self._hub.upstream.drop(entry.address)

    def _look_at_limits(self, changes, names):
        for life, known in changes:
            if known.box and known.since < known.changed and known.per_s:
                # Who heard the target name another figure has logged it.
                continue
            self._hub.recorder.record(
                'limit_named' if known.per_s else 'limit_over',
                target=names.get(life, life),
                per_s=known.per_s,
                told_by=known.box or self._hub.deployment.box,
                age_s=round(self._hub.clock() - known.heard, 3),
            )

    def sweep(self):
        """Bring the metrics up to date."""
        entries = self._hub.view.fleet.entries
        self._unreadable = {
            row for row in self._unreadable if row[0] in entries
        }
        now = self._hub.clock()
        named = self._limits.list_named(entries)
        used = {
            name: self._limits.compute_used_rate(name, now) for name in named
        }
        self._hub.metrics.record_limits(named, used, now)
        self._hub.metrics.record_leaving(self.list_leaving(now))
        self._hub.metrics.record_backoffs(self._rests.list_backoffs(now))

    def list_leaving(self, now):
        """Give the seconds since listed targets said that they leave."""
        found = {
            name: self._leaving.find(name)
            for name in self._hub.view.fleet.entries
        }
        return {
            name: round(now - known.heard, 1)
            for name, known in found.items()
            if known is not None
        }

    def _take_limit(self, name, limit, asked, certain):
        now = self._hub.clock()
        if isinstance(limit, field.AdvertisedLimit):
            self._limits.record_named(name, limit.per_s, asked, now)
            self._hub.peering.send_urgent_digest()
        elif isinstance(limit, field.Absent) and certain:
            self._limits.record_unnamed(name, asked, now)

    def _take_rest(self, name, rest):
        if isinstance(rest, notices_module.Backoff):
            self._rests.record_backoff(name, rest.seconds, self._hub.clock())

    def _take_leaving(self, name, leaving):
        if isinstance(leaving, notices_module.Leaving):
            self._leaving.record_reported(name, self._hub.clock())

    def _record_unreadable(self, name, title, text):
        # One line for what a target says again and again.
        if (name, title) not in self._unreadable:
            self._unreadable.add((name, title))
            self._hub.recorder.record(
                'bad_word', target=name, word=title, text=text
            )
