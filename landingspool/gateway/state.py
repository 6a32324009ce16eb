"""What this box has read of the platform, to give it whole to another box.

Tables and targets are kept as they were written, so that a box that can't
reach the platform's store reads them as if it had.
"""

import msgspec

from landingspool.decisions.gateway import fleet as fleet_module
from landingspool.platform import catalogue


class Given(msgspec.Struct):
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
    """

    proof_s: float
    table: bytes | None
    versions: dict[str, int]
    targets: dict[str, bytes]
    targets_end: int


class State:
    """The records behind what this box believes.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `clock`.

    Attributes
    ----------
    target_values : dict of str to bytes
        The newest record of each target, by its id.
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

    def give(self):
        """Give what another box needs that can't reach the store."""
        versions = {m: n.version for m, n in self._view.weights.named.items()}
        return Given(
            proof_s=self._view.proof.age_to_tell(self._hub.clock()),
            table=self._table_value,
            versions=versions,
            targets=self.target_values,
            targets_end=self.targets_end,
        )

    def take(self, given, sent):
        """Take in what another box gave when it was asked at `sent`."""
        now = self._hub.clock()
        if given.table is None:
            return
        self.take_table(given.table)
        for model, version in given.versions.items():
            self._view.weights.put_version(model, version, now)
        if given.targets_end >= self.targets_end:
            # An older list would bring back targets that are gone.
            self._take_targets(given.targets)
            self.targets_end = given.targets_end
        self._view.proof.note(sent - given.proof_s)
        self._hub.recorder.record(
            'state_taken',
            table=self._view.table.version,
            proof_s=self._view.proof.age_to_log(now),
        )

    def put_target(self, name, value):
        """Take in what a target wrote of itself.

        Raises
        ------
        catalogue.Malformed
        """
        entry = catalogue.read_entry(name, value)
        known = name in self._view.fleet.entries
        self.target_values[name] = value
        state = self._view.fleet.put(entry)
        if state != fleet_module.READY and known:
            self._hub.recorder.record('leaving', target=name, state=state)
            self._view.forget(name)
        elif state == fleet_module.READY and not known:
            self._hub.recorder.record(
                'target_up', target=name, versions=entry.versions
            )

    def drop_target(self, name, unsure):
        """Take in that a target is no longer listed.

        Parameters
        ----------
        unsure : bool
            Whether its entry may have lapsed though the target lives.
        """
        self.target_values.pop(name, None)
        if name in self._view.fleet.entries:
            self._hub.recorder.record(
                'target_down', target=name, sure=not unsure
            )
        self._view.fleet.drop(name, self._hub.clock(), unsure)
        if not unsure:
            self._view.forget(name)

    def _take_targets(self, values):
        for name, value in values.items():
            if value != self.target_values.get(name):
                self.put_target(name, value)
        for name in list(self._view.fleet.entries):
            if name not in values:
                # Whether it is gone, or only its entry, is not known here.
                self.drop_target(name, True)
