"""What this box has read of the platform, to give it whole to another box.

Tables and targets are kept as they were written, so that a box that can't
reach the platform's store reads them as if it had.
"""

import msgspec

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
    """

    proof_s: float
    table: bytes | None
    versions: dict[str, int]
    targets: dict[str, bytes]


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
    """

    def __init__(self, hub):
        self._hub = hub
        self._view = hub.view
        self._table_value = None
        self.target_values = {}

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
        versions = {m: n.version for m, n in self._view.named.items()}
        return Given(
            proof_s=self._view.proof.age_to_tell(self._hub.clock()),
            table=self._table_value,
            versions=versions,
            targets=self.target_values,
        )

    def take(self, given, sent):
        """Take in what another box gave when it was asked at `sent`."""
        now = self._hub.clock()
        if given.table is None:
            return
        self.take_table(given.table)
        for model, version in given.versions.items():
            self._view.put_version(model, version, now)
        self._take_targets(given.targets, now)
        self._view.proof.note(sent - given.proof_s)
        self._hub.recorder.record(
            'state_taken',
            table=self._view.table.version,
            proof_s=self._view.proof.age_to_log(now),
        )

    def _take_targets(self, values, now):
        fleet = self._view.fleet
        for name, value in values.items():
            fleet.put(catalogue.read_entry(name, value))
        for name in list(fleet.entries):
            if name not in values:
                fleet.drop(name, now, True)
