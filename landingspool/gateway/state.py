"""What this box has read of the platform, to give it whole to another box.

Tables and targets are kept as they were written, so that a box that can't
reach the platform's store reads them as if it had.
"""

import msgspec

from landingspool.decisions.gateway import fleet as fleet_module
from landingspool.decisions.gateway import peer_digests
from landingspool.platform import catalogue


class StateSnapshot(msgspec.Struct):
    """What one box gives another.

    Attributes
    ----------
    proof_s : float
        Age of the proof of the table.
    table : bytes or None
        As it was written; None before any was read.
    versions : dict of str to int
        The newest named version of the weights of each model.
    targets : dict of str to bytes
        As they were written.
    targets_end : int
        Where their topic ended for the box that gives.
    evacuated : list of str
        The evacuated failure domains.
    endings : list of neighbours.CrashNotice
        The requests under which targets ended.
    limits : list of neighbours.LimitNotice
        The limits that targets name.
    leaving : list of neighbours.LeavingNotice
        The targets that have said that they leave.
    """

    proof_s: float
    table: bytes | None
    versions: dict[str, int]
    targets: dict[str, bytes]
    targets_end: int
    evacuated: list[str] = []
    endings: list[peer_digests.CrashNotice] = []
    limits: list[peer_digests.LimitNotice] = []
    leaving: list[peer_digests.LeavingNotice] = []


class State:
    """The records behind what this box believes.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `clock`.

    Attributes
    ----------
    target_values : dict of str to bytes
        The newest record of each target that can be read, by its id.
    targets_end : int
        Where their topic ended when they were read or given.
    """

    def __init__(self, hub):
        self._hub = hub
        self._view = hub.view
        self._table_value = None
        self.target_values = {}
        self.targets_end = 0

    def take_table(self, value):
        """Put a published table in force if it is newer.

        Raises
        ------
        catalogue.Malformed
        """
        table = catalogue.read_table(value)
        if self._view.put_table(table):
            self._table_value = value
            self._hub.recorder.record(
                'published',
                version=table.version,
                proof_s=self._view.proof.age_to_log(self._hub.clock()),
            )

    def get_snapshot(self):
        """Give what another box needs that can't reach the store."""
        versions = {m: n.version for m, n in self._view.weights.named.items()}
        return StateSnapshot(
            proof_s=self._view.proof.age_to_send(self._hub.clock()),
            table=self._table_value,
            versions=versions,
            targets=self.target_values,
            targets_end=self.targets_end,
            evacuated=self._view.bars.evacuation.list_domains(),
            endings=self._view.endings.list_known(self._hub.clock()),
            limits=self._view.bars.limits.list_notices(self._hub.clock()),
            leaving=self._view.bars.leaving.list_notices(self._hub.clock()),
        )

    def take(self, given, sent):
        """Take in what another box gave when it was asked at `sent`."""
        now = self._hub.clock()
        for word in given.endings:
            self._view.endings.take(word, now)
        for limit in given.limits:
            self._view.bars.limits.take(limit, '', sent)
        for word in given.leaving:
            self._view.bars.leaving.take(word, '', sent)
        if given.table is None:
            return
        self.take_table(given.table)
        if sent - given.proof_s > now - self._view.proof.age(now):
            # Its word of what stands is newer than this box's own.
            self.set_evacuated(given.evacuated)
        for model, version in given.versions.items():
            self._view.weights.put_version(model, version, now)
        if given.targets_end >= self.targets_end:
            # An older list would bring back targets that are gone.
            self._take_targets(given.targets)
            self.targets_end = given.targets_end
        self._view.proof.record(sent - given.proof_s)
        self._hub.recorder.record(
            'state_taken',
            table=self._view.table.version,
            proof_s=self._view.proof.age_to_log(now),
        )

    def put_evacuation(self, domain, stands):
        """Take in that a domain's evacuation was put or withdrawn."""
        now = self._hub.clock()
        if stands and self._view.bars.evacuation.put(domain, now):
            self._hub.recorder.record('evacuated', domain=domain)
        elif not stands and self._view.withdraw_evacuation(domain, now):
            self._hub.recorder.record('evacuation_over', domain=domain)

    def set_evacuated(self, domains):
        """Take in all evacuations that stand."""
        for domain in self._view.bars.evacuation.find_ended(domains):
            self.put_evacuation(domain, False)
        for domain in domains:
            self.put_evacuation(domain, True)

    def put_target(self, target, value):
        """Take in what was written of a target.

        What can't be read names no target to use; it may be read again later,
        so that what was learnt of the target stays.
        """
        try:
            entry = catalogue.read_entry(target, value)
        except catalogue.Malformed as error:
            self._hub.recorder.record(
                'malformed', key=target, reason=str(error)
            )
            self._lose_target(target, False)
            return
        self._put_entry(entry, value)

    def _put_entry(self, entry, value):
        fleet = self._view.fleet
        known = entry.name in fleet.entries
        before = fleet.get_incarnation(entry.target)
        state = self._view.put_entry(entry, self._hub.clock())
        if state == fleet_module.SUPERSEDED:
            return
        self.target_values[entry.target] = value
        if before != entry.name:
            # What is at rest there is of a life that is over.
            self._hub.upstream.drop(entry.address)
        if before not in (None, entry.name):
            self._hub.recorder.record(
                'target_reborn', target=entry.name, ended=before
            )
        if state != fleet_module.READY and known:
            self._hub.recorder.record(
                'leaving', target=entry.name, state=state
            )
            self._view.forget(entry.name)
        elif state == fleet_module.READY and not known:
            self._hub.recorder.record(
                'target_up',
                target=entry.name,
                versions=entry.versions,
                cold_s=entry.cold_s,
            )

    def drop_target(self, target, unsure):
        """Take in that a target is no longer listed.

        Parameters
        ----------
        unsure : bool
            Whether its entry may have lapsed though the target lives.
        """
        name = self._lose_target(target, unsure)
        if name is not None and not unsure:
            self._view.record_over(name, self._hub.clock())

    def _lose_target(self, target, unsure):
        """Take a target off the list; gives the name of its life."""
        fleet = self._view.fleet
        self.target_values.pop(target, None)
        name = fleet.get_incarnation(target)
        if name in fleet.entries:
            self._hub.recorder.record(
                'target_down', target=name, sure=not unsure
            )
        fleet.drop(name, self._hub.clock(), unsure)
        return name

    def _take_targets(self, values):
        for name, value in values.items():
            if value != self.target_values.get(name):
                self.put_target(name, value)
        for target in self._view.fleet.list_targets():
            if target not in values:
                # Whether it is gone, or only its entry, is not known here.
                self.drop_target(target, True)
