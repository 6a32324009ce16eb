"""Keep the records that this box has read, to send them to another box.

Tables and targets are kept as they were written.  A box that can't reach the
platform's store reads them as if they came from the store.
"""

import asyncio
import contextlib
import math

import msgspec

from landingspool.decisions import decoding
from landingspool.decisions.gateway import fleet as fleet_module
from landingspool.decisions.gateway import histories
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import readers
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import store
from landingspool.platform import tables
from landingspool import timeouts


# Where a version of weights was read, for the log.
STORE = 'store'
CLAIM = 'claim'
PEER = 'peer'


class StateSnapshot(msgspec.Struct):
    """State that one box sends to another.

    Attributes
    ----------
    proof_s : float
        Age of the proof of the table, seconds.
    table : bytes or None
        The table as it was written, or None before any was read.
    versions : dict of str to int
        The newest named version of the weights of each model.
    targets : dict of str to bytes
        Their entries as they were written, by target.
    targets_end : int
        End offset of their topic for the box that sends them.
    targets_s : float or None
        Seconds since their topic was read; a box of an earlier version doesn't
        tell.
    targets_rolled : float or None
        Seconds since that topic was rolled back; None: never, or not told.
    evacuated : list of str
        The evacuated failure domains.
    endings : list of peer_digests.CrashNotice
        The requests that crashed targets.
    limits : list of peer_digests.LimitNotice
        The limits that targets advertise.
    leaving : list of peer_digests.LeavingNotice
        The targets that have announced that they leave.
    ages : list of peer_digests.VersionNotice
        The versions of weights that boxes have to know, with their ages.
    """

    proof_s: decoding.Age
    table: bytes | None
    versions: dict[str, decoding.Count]
    targets: dict[str, bytes]
    targets_end: decoding.Count
    evacuated: list[str] = []
    endings: list[peer_digests.CrashNotice] = []
    limits: list[peer_digests.LimitNotice] = []
    leaving: list[peer_digests.LeavingNotice] = []
    ages: list[peer_digests.VersionNotice] = []
    targets_s: decoding.Age | None = None
    targets_rolled: decoding.Age | None = None


class State:
    """Apply tables, evacuations and targets, and keep their records.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `continuity`, `rollbacks`,
        `record_server`, `clock`.

    Attributes
    ----------
    target_values : dict of str to bytes
        The newest valid record of each target, by the target's id.
    targets_end : int
        End offset of their topic when they were read or fetched.
    targets_proved : float
        When the read of the store was sent that showed them.
    """

    def __init__(self, hub):
        self._hub = hub
        self._view = hub.view
        self._table_value = None
        self._has_table = asyncio.Event()
        self.target_values = {}
        self.targets_end = 0
        self.targets_proved = -math.inf

    def take_table(self, value):
        """Put a published table in force if it is newer.

        Raises
        ------
        decoding.Malformed
        """
        table = tables.read_table(value)
        if self._view.put_table(table):
            self._table_value = value
            self._has_table.set()
            now = self._hub.clock()
            self._view.software_history.put_table(table, now)
            self._view.walls.put(table.isolated, now)
            self._hub.recorder.record(
                'published',
                version=table.version,
                proof_s=self._view.proof.age_to_log(now),
                isolated=sorted(table.isolated),
            )
            for reason in table.passed_over:
                self._hub.recorder.record(
                    'malformed', key=names.TABLE_KEY, reason=reason
                )

    async def wait_for_table(self, seconds):
        """Wait until the first table is in force, for `seconds` at most."""
        with contextlib.suppress(TimeoutError):
            async with timeouts.Timeout(seconds):
                await self._has_table.wait()

    def get_snapshot(self):
        """Return what a box needs that can't reach the store."""
        versions = {m: n.version for m, n in self._view.weights.named.items()}
        return StateSnapshot(
            proof_s=self._view.proof.age_to_send(self._hub.clock()),
            table=self._table_value,
            versions=versions,
            targets=self.target_values,
            targets_end=self.targets_end,
            evacuated=self._view.exclusions.evacuation.list_domains(),
            endings=self._view.crashes.list_known(self._hub.clock()),
            limits=self._view.exclusions.limits.list_notices(
                self._hub.clock()
            ),
            leaving=self._view.exclusions.leaving.list_notices(
                self._hub.clock()
            ),
            ages=self._view.weights.list_versions(self._hub.clock()),
            targets_s=self._get_targets_age(),
            targets_rolled=self._hub.record_server.get_rolled_age(
                names.TARGETS_TOPIC
            ),
        )

    def take(self, snapshot, sent):
        """Apply the state that another box sent when asked at `sent`."""
        now = self._hub.clock()
        for notice in snapshot.endings:
            self._view.crashes.take(notice, now)
        for limit in snapshot.limits:
            self._view.exclusions.limits.take(limit, '', sent)
        for notice in snapshot.leaving:
            self._view.exclusions.leaving.take(notice, '', sent)
        if snapshot.table is None:
            return
        try:
            self.take_table(snapshot.table)
        except decoding.Malformed as error:
            # Without its table nothing else of it is proved.
            self._hub.recorder.record(
                'malformed', key=names.TABLE_KEY, reason=str(error)
            )
            return
        if sent - snapshot.proof_s > now - self._view.proof.age(now):
            # The peer's list of evacuations is newer than this box's own.
            self.set_evacuated(snapshot.evacuated)
        # Dated from the asking, versions would grow older with each exchange.
        self.take_versions(self._list_unknown(snapshot.ages), sent, PEER)
        for model, version in snapshot.versions.items():
            self.put_version(model, version, PEER)
        self._report_rollback(snapshot, now)
        if self._is_newest(snapshot, sent):
            # An older list would bring back targets that are gone.
            self._apply_targets(snapshot.targets)
            self.targets_end = snapshot.targets_end
            if snapshot.targets_s is not None:
                self.put_targets_proof(sent - snapshot.targets_s)
        self._view.proof.record(sent - snapshot.proof_s)
        self._hub.recorder.record(
            'state_taken',
            table=self._view.table.version,
            proof_s=self._view.proof.age_to_log(now),
        )

    def put_targets_proof(self, proved):
        """Record that a read sent at `proved` showed the list of targets."""
        self.targets_proved = max(self.targets_proved, proved)

    def forget_targets(self):
        """Forget the end of the topic of targets, since it was rolled back."""
        self.targets_end = 0
        self.targets_proved = -math.inf

    def _get_targets_age(self):
        """Return the seconds since the list of targets was read, or None."""
        if math.isinf(self.targets_proved):
            return None
        return max(self._hub.clock() - self.targets_proved, 0.0)

    def _report_rollback(self, snapshot, now):
        """Report that the topic of targets was rolled back, as a box tells."""
        if snapshot.targets_rolled is None:
            return
        known = self._hub.record_server.get_known(names.TARGETS_TOPIC)
        rolled = now - snapshot.targets_rolled
        if histories.is_later(known, rolled):
            self._hub.rollbacks.report(
                store.RolledBack(
                    names.TARGETS_TOPIC,
                    known.end,
                    snapshot.targets_end,
                    store.PEER,
                    rolled - histories.SLACK_S,
                )
            )

    def _is_newest(self, snapshot, sent):
        """Return whether a list of targets is not older than this box's."""
        known = self._hub.record_server.get_known(names.TARGETS_TOPIC)
        age_s = snapshot.targets_s
        proved = sent - age_s if age_s is not None else -math.inf
        if histories.is_voided(known, proved):
            return False
        return snapshot.targets_end >= self.targets_end

    def put_version(self, model, version, source):
        """Apply that a version of weights is published.

        Parameters
        ----------
        source : str
            Who told this box, for the log.
        """
        now = self._hub.clock()
        proof_s = self._view.proof.age(now)
        ages = self._hub.peering.ages
        # A record may have waited for the end of a stall to be read.
        is_late = readers.is_stale(
            proof_s, ages.hold_s, ages.old_s
        ) or not self._hub.timer.ran_since(now - proof_s)
        if self._view.weights.put_version(
            model, version, now, proof_s, is_late
        ):
            self._log_version('version_named', model, version, source)
            return
        known = self._view.weights.named[model].version
        if version < known and source == STORE:
            self._hub.recorder.record(
                'version_reverted', model=model, version=version, known=known
            )

    def take_versions(self, notices, now, source):
        """Apply the versions of weights that another box knew at `now`.

        Parameters
        ----------
        notices : iterable of peer_digests.VersionNotice
        now : float
            Seconds of this box's clock.
        source : str
            Who told this box, for the log.
        """
        self._take_notices(
            notices,
            now,
            source,
            self._view.weights.take_version,
            'version_named',
        )

    def take_ages(self, notices, now, source):
        """Apply how long ago versions of weights were published at `now`.

        Parameters
        ----------
        notices : iterable of peer_digests.VersionNotice
        now : float
            Seconds of this box's clock.
        source : str
            Who told this box, for the log.
        """
        self._take_notices(
            notices, now, source, self._view.weights.take_age, 'version_dated'
        )

    def _take_notices(self, notices, now, source, adopt, event):
        """Adopt notices by a method of the weights; log what that changed."""
        for notice in notices:
            at = now - max(notice.age_ms, 0) / 1000
            if adopt(notice.model, notice.version, at, notice.is_witnessed):
                self._log_version(event, notice.model, notice.version, source)

    def take_claimed(self, notices, now):
        """Apply the versions in a claim, and ages if no better are known.

        Ages are computed by the time of day of two boxes, which may differ.
        If each box added such a difference to what it knows and claimed that,
        ages would grow with each claim.  So they give way to the word of any
        box that read the record as it came.
        """
        unknown = [
            notice._replace(is_witnessed=False)
            for notice in self._list_unknown(notices)
        ]
        self.take_versions(unknown, now, CLAIM)

    def _list_unknown(self, notices):
        """List the notices of versions that no box is known to have read."""
        weights = self._view.weights
        return [
            notice
            for notice in notices
            if not weights.is_witnessed(notice.model, notice.version)
        ]

    def _log_version(self, event, model, version, source):
        now = self._hub.clock()
        age_s = self._view.weights.get_age(model, version, now)
        self._hub.recorder.record(
            event,
            model=model,
            version=version,
            source=source,
            age_s=round(age_s, 2) if math.isfinite(age_s) else None,
            proof_s=self._view.proof.age_to_log(now),
        )

    def put_evacuation(self, domain, is_evacuated):
        """Apply that a domain's evacuation was ordered or withdrawn."""
        now = self._hub.clock()
        if is_evacuated and self._view.exclusions.evacuation.put(domain, now):
            self._hub.recorder.record('evacuated', domain=domain)
        elif not is_evacuated and self._view.withdraw_evacuation(domain, now):
            self._hub.recorder.record('evacuation_over', domain=domain)

    def set_evacuated(self, domains):
        """Replace the evacuated domains by those listed."""
        for domain in self._view.exclusions.evacuation.find_ended(domains):
            self.put_evacuation(domain, False)
        for domain in domains:
            self.put_evacuation(domain, True)

    def put_target(self, target, value):
        """Apply the record of a target.

        A malformed record names no target to use.  A later one may be valid
        again, so what is known of the target is not discarded.
        """
        try:
            entry = catalogue.read_entry(target, value)
        except decoding.Malformed as error:
            self._hub.recorder.record(
                'malformed', key=target, reason=str(error)
            )
            self._remove_target(target, False)
            return
        self._put_entry(entry, value)

    def _put_entry(self, entry, value):
        fleet = self._view.fleet
        known = fleet.entries.get(entry.name)
        before = fleet.get_incarnation(entry.target)
        state = self._view.put_entry(entry, self._hub.clock())
        if state == fleet_module.SUPERSEDED:
            return
        self.target_values[entry.target] = value
        if before != entry.name or (
            known is not None and known.software != entry.software
        ):
            # Idle connections there belong to an earlier incarnation.
            self._hub.upstream.drop(entry.address)
        if before not in (None, entry.name):
            self._hub.recorder.record(
                'target_reborn', target=entry.name, ended=before
            )
        if state != fleet_module.READY and known is not None:
            self._hub.recorder.record(
                'leaving', target=entry.name, state=state
            )
            self._view.forget(entry.name)
        elif state == fleet_module.READY and known is None:
            self._hub.recorder.record(
                'target_up',
                target=entry.name,
                versions=entry.versions,
                software=entry.software,
                cold_s=entry.cold_s,
            )
            self._hub.continuity.check(self._hub.clock())

    def drop_target(self, target, unconfirmed):
        """Apply that a target is no longer listed.

        Parameters
        ----------
        unconfirmed : bool
            Whether its entry may have lapsed though the target still runs.
        """
        name = self._remove_target(target, unconfirmed)
        if name is not None and not unconfirmed:
            self._view.record_incarnation_end(name, self._hub.clock())

    def _remove_target(self, target, unconfirmed):
        """Remove a target from the list; return its incarnation's name."""
        fleet = self._view.fleet
        self.target_values.pop(target, None)
        name = fleet.get_incarnation(target)
        if name in fleet.entries:
            self._hub.recorder.record(
                'target_down', target=name, sure=not unconfirmed
            )
        fleet.drop(name, self._hub.clock(), unconfirmed)
        return name

    def _apply_targets(self, values):
        for name, value in values.items():
            if value != self.target_values.get(name):
                self.put_target(name, value)
        for target in self._view.fleet.list_targets():
            if target not in values:
                # The target may still run: only its entry may be gone.
                self.drop_target(target, True)
