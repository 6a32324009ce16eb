"""Apply the notices in answers of targets and report them to operators."""

import typing

from landingspool.decisions.gateway import peer_digests
from landingspool.gateway import crash_records
from landingspool import http
from landingspool.platform import limits as field
from landingspool.platform import notices as notices_module


class SideCall(typing.NamedTuple):
    """A call to an address that is not a request of a caller.

    `incarnations` are their names at the address when the call is sent.  Its
    answer says nothing about an incarnation that began later.
    """

    incarnations: tuple
    asked: float


class TargetNotices:
    """Apply and log what targets announce in their answers.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `metrics`, `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._limits = hub.view.exclusions.limits
        self._unreadable = set()
        self._malformed = set()
        self._leaving = hub.view.exclusions.leaving
        self._backoffs = hub.view.exclusions.backoffs

    def take(self, name, notices, asked, certain=True):
        """Apply the notices of one answer of a target.

        Parameters
        ----------
        name : str
            Name of the target's incarnation.
        notices : notices.Notices
        asked : float
            When the request was sent, seconds.
        certain : bool
            Whether an answer of this kind always names a limit that is in
            force.  Only then an answer without one means that there is none.
        """
        self._apply_limit(name, notices.limit, asked, certain)
        self._apply_backoff(name, notices.rest)
        self._apply_leaving(name, notices.leaving)
        for title, notice in notices._asdict().items():
            if isinstance(notice, field.Unreadable):
                self._record_unreadable(name, title, notice.text)

    def begin_call(self, address):
        """Return the SideCall of a call that is sent to an address now."""
        entries = self._hub.view.fleet.entries.values()
        incarnations = tuple(e.name for e in entries if e.address == address)
        return SideCall(incarnations, self._hub.clock())

    def take_answer(self, called, notices):
        """Apply the notices in the answer to a call that is no request.

        Such answers need not name a limit that is in force, so an answer
        without one means nothing.

        Parameters
        ----------
        called : SideCall
        notices : notices.Notices
        """
        for name in called.incarnations:
            self.take(name, notices, called.asked, certain=False)

    def record_malformed(self, address, subject, reason):
        """Log an answer that can't be decoded; what is repeated, once.

        Parameters
        ----------
        address : http.Address
            Of the target or store that gave it.
        subject : str
            What it should have held.
        reason : str
        """
        row = address, subject
        if row not in self._malformed:
            self._malformed.add(row)
            key = f'{address.host}:{address.port}'
            self._hub.recorder.record('malformed', key=key, reason=reason)

    def check(self):
        """Act on new notices, and log them with the names of the targets."""
        self._log_backoffs()
        limits = crash_records.pop_all(self._limits.fresh)
        leaving = crash_records.pop_all(self._leaving.fresh)
        if not limits and not leaving:
            return
        incarnations = self._hub.view.fleet.list_incarnations()
        names = {peer_digests.hash_target(name): name for name in incarnations}
        self._log_limits(limits, names)
        self._log_leaving(leaving, names)

    def _log_backoffs(self):
        for asked in crash_records.pop_all(self._backoffs.fresh):
            self._hub.recorder.record(
                'rest_asked',
                target=asked.name,
                seconds=round(asked.rest.until - asked.rest.asked, 3),
            )
        for name in self._backoffs.take_over(self._hub.clock()):
            self._hub.recorder.record('rest_over', target=name)

    def _log_leaving(self, changes, names):
        for known in changes:
            name = names.get(known.incarnation, known.incarnation)
            self._hub.recorder.record(
                'leaving_over' if known.is_over else 'leaving_told',
                target=name,
                told_by=known.box or self._hub.deployment.box,
                age_s=round(self._hub.clock() - known.heard, 3),
            )
            entry = self._hub.view.fleet.entries.get(name)
            if entry is not None:
                # Idle connections there would only take up slots of others.
                self._hub.upstream.drop(entry.address)

    def _log_limits(self, changes, names):
        for incarnation, known in changes:
            if known.box and known.since < known.changed and known.per_s:
                # The box that received the changed limit has logged it.
                continue
            self._hub.recorder.record(
                'limit_named' if known.per_s else 'limit_over',
                target=names.get(incarnation, incarnation),
                per_s=known.per_s,
                told_by=known.box or self._hub.deployment.box,
                age_s=round(self._hub.clock() - known.heard, 3),
            )

    def sweep(self):
        """Update the metrics."""
        entries = self._hub.view.fleet.entries
        self._sweep_malformed()
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
        self._hub.metrics.record_backoffs(self._backoffs.list_backoffs(now))

    def _sweep_malformed(self):
        """Forget the answers of targets and stores that are listed no more."""
        table = self._hub.view.table
        listed = {e.address for e in self._hub.view.fleet.entries.values()}
        if table is not None:
            listed.update(map(http.parse_address, table.context_stores))
        self._malformed = {row for row in self._malformed if row[0] in listed}

    def list_leaving(self, now):
        """Return the seconds since listed targets announced their leaving."""
        found = {
            name: self._leaving.find(name)
            for name in self._hub.view.fleet.entries
        }
        return {
            name: round(now - known.heard, 1)
            for name, known in found.items()
            if known is not None
        }

    def _apply_limit(self, name, limit, asked, certain):
        now = self._hub.clock()
        if isinstance(limit, field.AdvertisedLimit):
            self._limits.record_named(name, limit.per_s, asked, now)
            self._hub.peering.send_urgent_digest()
        elif isinstance(limit, field.Absent) and certain:
            self._limits.record_unnamed(name, asked, now)

    def _apply_backoff(self, name, rest):
        if isinstance(rest, notices_module.Backoff):
            self._backoffs.record_backoff(
                name, rest.seconds, self._hub.clock()
            )

    def _apply_leaving(self, name, leaving):
        if isinstance(leaving, notices_module.Leaving):
            self._leaving.record_reported(name, self._hub.clock())

    def _record_unreadable(self, name, title, text):
        # A notice that a target repeats is logged once.
        if (name, title) not in self._unreadable:
            self._unreadable.add((name, title))
            self._hub.recorder.record(
                'bad_word', target=name, word=title, text=text
            )
