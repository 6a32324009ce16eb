"""Store what crashes targets, and log crashes, bars and their ends.

What boxes gossip about crashes is lost when they all stop.  So what bars a
request or a part of prompts is written into the platform's store as well.  A
box that starts, or was cut off, reads it there.
"""

import asyncio
import typing

from landingspool.decisions import decoding
from landingspool.decisions.gateway import fingerprints
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import quarantine
from landingspool.decisions import timing
from landingspool.gateway import outcomes
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import store as store_module

# Seconds that a box leaves to each box before it, in the hash order of all
# boxes, to write what all of them know.  One of them writes the record, and
# the others read it within a few milliseconds.
TURN_S = 0.5
# Period at which a box checks whether its turn has come, seconds.
CHECK_PERIOD_S = 0.1
# Seconds for which a failed write waits at most for the store to answer any
# read.
MAX_WAIT_S = 5.0
# Seconds for which a write that raised an error is left, by the time for which
# this process has run, so that the other records are written.
RETRY_S = 5.0
# Maximum number of suspects that the log line of one crash names.
MAX_SUSPECTS = 8


class PendingWrite(typing.NamedTuple):
    """A value to write unless another box has done so before.

    `at` is the end of the turns of the boxes before this one, in seconds for
    which this process has run.
    """

    value: bytes
    at: float


class CrashRecords:
    """Keep the crashes that bar requests and parts in the platform's store.

    Parameters
    ----------
    hub
        The box's parts: `view`, `store`, `recorder`, `gate`, `peering`,
        `prober`, `rollbacks`, `supervisor`, `clock`, `wall`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._crashes = hub.view.crashes
        self._pending = {}
        self._running = timing.RunningTime(CHECK_PERIOD_S)
        self._ran_s = 0.0
        self._written = {}
        # The records that were lifted, by their keys.
        self._revoked = {}
        # How often the topic was rolled back, and whether its newest records
        # are still to be read since.
        self._rollbacks = 0
        self._is_void = False
        self._wake = asyncio.Event()
        hub.rollbacks.subscribe(names.CLAIMS_TOPIC, self._take_rollback)
        hub.rollbacks.subscribe_end(names.CLAIMS_TOPIC, self._write_lost)

    def check(self):
        """Log crashes and changed bars, and have the bars written."""
        crashes, now = self._crashes, self._hub.clock()
        crashes.update()
        for crash in pop_all(crashes.confirmed):
            self._hub.recorder.record(
                'target_crashed',
                target=crash.target,
                keys=len(crash.keys),
                suspects=crashes.describe_suspects(crash.keys, MAX_SUSPECTS),
            )
        bars = crashes.bars
        fresh, lifted = pop_all(bars.fresh), pop_all(bars.lifted)
        for key in fresh:
            self._record_bar(key)
        for key in lifted:
            self._hub.recorder.record(
                'bar_lifted', content=fingerprints.describe(key)
            )
            if crashes.count(key, now) < quarantine.MAX_CRASHES:
                # A bar that another key explains may hold again.
                self._put(key, b'')
        if fresh:
            self._hub.gate.release_barred()
        if crashes.is_urgent:
            self._hub.peering.send_urgent_digest()

    def take(self, record):
        """Apply a record of any box; an empty value lifts a quarantine."""
        now = self._hub.clock()
        key = record.key.removeprefix(names.CRASHES_KEY)
        notices = ()
        try:
            fingerprint = catalogue.read_fingerprint(key)
            if record.value:
                notices = catalogue.read_crashes(
                    key, record.value, self._hub.wall()
                )
        except decoding.Malformed as error:
            # It tells nothing, so a box may write what is known.
            self._written.pop(key, None)
            self._hub.recorder.record(
                'malformed', key=record.key, reason=str(error)
            )
            return
        if self._is_void and self._revoked.get(key) == record.value:
            # The store has lost the lift of this very record.
            self._written[key] = record.value
            self._put(fingerprint, b'')
            return
        self._record_written(key, record.value)
        if record.value:
            # A lift that was read before was written before.
            self._crashes.forget_lift(fingerprint)
        else:
            self._crashes.lift(fingerprint, now)
        for notice in notices:
            self._crashes.take(notice, now)
        self.check()

    def _record_written(self, key, value):
        """Record that a value is in the store."""
        former = self._written.get(key)
        self._written[key] = value
        if value:
            self._revoked.pop(key, None)
        elif former:
            self._revoked[key] = former

    def _take_rollback(self, rollback):
        """Take nothing for written until it is read again."""
        self._rollbacks += 1
        self._is_void = True
        self._written.clear()

    def _write_lost(self):
        """Have what bars requests written again if the store has lost it."""
        self._is_void = False
        now = self._hub.clock()
        for key in self._crashes.bars.list_barred():
            if not self._written.get(key.hex()):
                self._put_bar(key, self._crashes.list_notices(key, now))

    def record_end(self, state, is_answered):
        """Record that a request is no longer at a target.

        Crashes are counted by the keys of the request and over all attempts,
        since callers send what crashes targets again, under a new id each
        time.

        Parameters
        ----------
        state : request_state.RequestState
        is_answered : bool
            Whether it was answered completely.
        """
        now = self._hub.clock()
        for key in state.keys:
            self._crashes.bars.record_done(key)
            if is_answered:
                self._crashes.record_served(key, now)
        self.check()

    def record_missing_answer(self, state, cause, name, sent):
        """Record that a target may have crashed under a request.

        Parameters
        ----------
        state : request_state.RequestState
        cause : outcomes.Cause
            Why the answer is missing.
        name : str
            Name of the target's incarnation.
        sent : float
            When the request was sent to it.
        """
        now = self._hub.clock()
        if cause == outcomes.Cause.CLOSED:
            self._crashes.record_broken(state.keys, name, sent, now)
            if len(state.keys) > 1:
                self._hub.prober.confirm_crash(name)
        elif cause in outcomes.UNANSWERED:
            for key in state.keys:
                self._crashes.record_unanswered(key, name, sent, now)
        self.check()

    def list_due(self):
        """List the keys of the records that are still to be written."""
        return list(self._pending)

    async def run(self):
        """Write pending records until cancelled."""
        while True:
            if not self._pending:
                await self._wake.wait()
            self._wake.clear()
            while self._pending:
                self._ran_s = self._running.advance(self._hub.clock())
                for key, write in list(self._pending.items()):
                    if self._ran_s >= write.at and not self._is_void:
                        await self._try_write(key, write)
                    self._drop_written(key)
                await asyncio.sleep(CHECK_PERIOD_S)

    def _record_bar(self, key):
        now = self._hub.clock()
        notices = self._crashes.list_notices(key, now)
        incarnations = self._hub.view.fleet.list_incarnations()
        found = {peer_digests.hash_target(name): name for name in incarnations}
        self._hub.recorder.record(
            'barred',
            content=fingerprints.describe(key),
            record=f'{names.CRASHES_KEY}{key.hex()}',
            targets=[
                found.get(notice.incarnation, notice.incarnation)
                for notice in notices
            ],
            ages_ms=[notice.age_ms for notice in notices],
        )
        self._put_bar(key, notices)

    def _put_bar(self, key, notices):
        wall = self._hub.wall()
        self._put(key, catalogue.write_crashes(notices, wall))

    def _put(self, fingerprint, value):
        key = fingerprint.hex()
        turn = self._hub.peering.get_rank(key)
        self._pending[key] = PendingWrite(value, self._ran_s + turn * TURN_S)
        self._wake.set()

    async def _try_write(self, key, write):
        """Write one record, or leave it for RETRY_S if that fails."""
        try:
            await self._write(key, write)
        except Exception as error:
            self._hub.supervisor.report('crash_records', error)
            if self._pending.get(key) is write:
                later = write._replace(at=self._ran_s + RETRY_S)
                self._pending[key] = later

    async def _write(self, key, write):
        """Write one record if no other box has written it yet."""
        if self._is_written(key, write.value):
            return
        rollbacks = self._rollbacks
        reply = await self._hub.store.append(
            names.CLAIMS_TOPIC, f'{names.CRASHES_KEY}{key}', write.value
        )
        if isinstance(reply, store_module.Unavailable):
            await self._hub.sources.wait_answered(MAX_WAIT_S)
            return
        if rollbacks == self._rollbacks:
            # Otherwise it may be lost.
            self._record_written(key, write.value)

    def _drop_written(self, key):
        """Drop a pending record that this or another box has written."""
        write = self._pending.get(key)
        if write is not None and self._is_written(key, write.value):
            del self._pending[key]

    def _is_written(self, key, value):
        is_same = bool(self._written.get(key)) == bool(value)
        return is_same and not self._is_void


def pop_all(rows):
    """Empty a list and return what it held."""
    taken = list(rows)
    rows.clear()
    return taken
