"""Follow the topics of tables, targets and claims in the platform's store.

Topics are followed with held reads of the store, or of a box that reads it.
Each read is answered as soon as there is anything new.  Every answer proves
that the table was current when the read was sent.  If records are gone from
the log, the newest record of each key is read again.  The version of a table
never decreases.
"""

import asyncio
import dataclasses

from landingspool.decisions import decoding
from landingspool.decisions.gateway import order_claims
from landingspool.decisions.gateway import tail as tail_module
from landingspool.gateway import resumption
from landingspool.gateway import state
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import store as store_module

# Pause after a read that failed, seconds; doubled up to the maximum.
RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8
# Maximum seconds for which a topic other than the tables waits, after a failed
# read, for any read to be answered.  The tables are read again after 0.8 s at
# most, so this matters only if their read stays without an answer too.
MAX_WAIT_S = 3.0
# The task under whose name records that are passed over are counted.
RECORDS_TASK = 'records'
# Seconds after a failed read in which a vanished entry may have lapsed only
# because the store was unreachable.
UNCONFIRMED_S = 5.0


# Hold of a read of the claims.
CLAIMS_HOLD_S = 8.0


class NotApplied(Exception):
    """The newest table could not be applied, so nothing is proved of it."""


class Follower:
    """Follow one topic; each subclass applies the records of its topic.

    A record whose application raises an unexpected error is passed over, and
    what was known before stays in force.  While a newest record is passed
    over that belongs to what a read of the topic proves, reads prove nothing.

    Parameters
    ----------
    hub
        The box's parts: `sources`, `record_server`, `view`, `recorder`,
        `supervisor`, `clock`.

    Attributes
    ----------
    topic : str
    hold_s : float
        Seconds for which a read is held if there is nothing new.
    newest_only : bool
        Whether only the newest record of a key matters.
    min_end : int
        End offset of the topic as far as this box knows.
    was_tried : bool
        Whether a read of the topic has been answered or has failed.
    """

    topic = ''
    newest_only = False

    def __init__(self, hub):
        self._hub = hub
        self._up = None
        self.was_tried = False
        # Keys whose newest record was passed over.
        self._passed_over = set()
        self._tail = tail_module.Tail(self.newest_only)
        hub.record_server.add(self.topic, self._tail)

    async def run(self):
        """Follow until cancelled.

        A box that knows its peers reads the store once, then follows a peer
        that reads for its domain.  Otherwise each of 195 boxes that start
        would send the store held reads of its own for three topics.
        """
        await self._hub.peering.wait_listed()
        while True:
            newest = await self._read(
                'newest',
                lambda: self._hub.sources.read_newest(
                    self.topic, self.min_end
                ),
            )
            known = self._tail.end or 0
            if newest.end < known:
                self._hub.rollbacks.report(
                    store_module.RolledBack(
                        self.topic, known, newest.end, store_module.NEWEST
                    )
                )
            self._tail.reset(newest.records, newest.end, newest.sent)
            self._apply_newest(newest)
            await self._follow(newest.end)

    async def _follow(self, offset):
        while True:
            page = await self._read('read', lambda: self._read_page(offset))
            if isinstance(page, store_module.Forgotten):
                self._hub.recorder.record('log_gap', first=offset)
                return
            if isinstance(page, store_module.RolledBack):
                self._hub.rollbacks.report(page)
                return
            offset = page.end
            self._tail.extend(page)
            if page.records:
                self._hub.record_server.wake(self.topic)
            self._apply_page(page)

    async def _read_page(self, offset):
        return await self._hub.sources.read(self.topic, offset, self.hold_s)

    async def _read(self, kind, read):
        """Read until there is an answer, with growing pauses.

        A read that was pending during a stall of this process, and still has
        no answer, is sent again at once: its answer would prove only how
        things were before the stall, and its failure says nothing about the
        store.
        """
        pause = RETRY_PAUSE_S
        while True:
            sent = self._hub.clock()
            reply = await self._wait(asyncio.ensure_future(read()))
            if reply is not None and not is_failure(reply):
                self._record_state(True, kind)
                return reply
            if reply is None or not self._hub.timer.ran_since(sent):
                pause = RETRY_PAUSE_S
                continue
            self._record_state(False, reply.reason)
            await self._pause_reads(pause)
            pause = min(pause * 2, MAX_RETRY_PAUSE_S)

    async def _wait(self, reading):
        """Wait for a read; return None if this process stalled during it."""
        resumed = asyncio.ensure_future(self._hub.resumption.wait_for_stall())
        try:
            await asyncio.wait(
                {reading, resumed}, return_when=asyncio.FIRST_COMPLETED
            )
            # Input that arrived during the stall is read first.
            await asyncio.wait({reading}, timeout=resumption.PENDING_INPUT_S)
            return reading.result() if reading.done() else None
        finally:
            reading.cancel()
            resumed.cancel()

    async def _pause_reads(self, seconds):
        """Pause after a failed read; the first pause is RETRY_PAUSE_S long.

        From the second failure on the source counts as unreachable.  Only the
        read of the tables continues to ask, and finds out when the source
        answers again.  If each of the three topics asked, a box would make
        four calls for each in four seconds without a store; so it makes one
        or two for each of the other two.  Each call costs time at the store.
        """
        if seconds <= RETRY_PAUSE_S:
            await asyncio.sleep(seconds)
        else:
            await self._hub.sources.wait_answered(MAX_WAIT_S)

    @property
    def min_end(self):
        """Return the offset that answers of other boxes must have reached."""
        return self._tail.end or 0

    def was_store_unreachable(self):
        """Return whether the store was unreachable shortly before."""
        failed_at = self._hub.sources.failed_at
        if failed_at is None:
            return False
        return self._hub.clock() - failed_at < UNCONFIRMED_S

    def _apply_newest(self, newest):
        self._passed_over.clear()
        self._apply_records(newest.records)
        self._log_undecoded(newest)
        self._replace_known(newest)
        self._finish_read(newest.sent)

    def _log_undecoded(self, newest):
        for reason in newest.passed_over:
            self._hub.recorder.record(
                'malformed', key=self.topic, reason=reason
            )

    def _replace_known(self, newest):
        """Drop what is no longer in the newest records."""

    def _apply_page(self, page):
        self._apply_records(page.records)
        if page.whole:
            self._finish_read(page.sent)

    def _apply_records(self, records):
        for record in records:
            try:
                self._apply(record)
            except Exception as error:
                self._pass_over(record, error)
            else:
                self._passed_over.discard(record.key)

    def _pass_over(self, record, error):
        self._passed_over.add(record.key)
        self._hub.supervisor.report(
            RECORDS_TASK,
            error,
            'record_passed_over',
            topic=self.topic,
            key=record.key,
            offset=record.offset,
        )

    def _finish_read(self, sent):
        """Record an answered read, unless what it proves isn't applied."""
        if not any(map(self._is_proved, self._passed_over)):
            self._record_read(sent)

    def _is_proved(self, key):
        """Return whether a read proves what the newest record of `key` is."""
        return True

    def _apply(self, record):
        raise NotImplementedError

    def _record_read(self, sent):
        """Record that a read which was sent at `sent` is answered."""

    def _record_malformed(self, record, error):
        self._hub.recorder.record(
            'malformed', key=record.key, reason=str(error)
        )

    def _record_state(self, up, reason):
        self.was_tried = True
        if up != self._up:
            name = 'log_up' if up else 'log_down'
            self._hub.recorder.record(name, topic=self.topic, reason=reason)
        self._up = up


class Published(Follower):
    """Follow tables, evacuations and named versions of weights."""

    topic = names.PUBLISHED_TOPIC
    newest_only = True

    @property
    def hold_s(self):
        """Return the hold of a read, after which the proof is renewed.

        Behind a box that itself follows the store, the proof is renewed only
        once in two holds.  No read of another box is held beyond the age of
        proof at which this box has to read the store itself, and none is held
        from then on: a read proves something only once it is answered.
        """
        peering = self._hub.peering
        left_s = peering.ages.old_s - self._hub.view.proof.age(
            self._hub.clock()
        )
        if left_s <= 0:
            return 0.0
        if not peering.has_readers():
            return peering.ages.hold_s
        return min(peering.ages.chained_s, left_s)

    async def _pause_reads(self, seconds):
        """Pause after a failed read; this topic always asks again."""
        await asyncio.sleep(seconds)

    def _replace_known(self, newest):
        self._hub.state.set_evacuated(
            {
                read_evacuated(record)
                for record in newest.records
                if record.value and read_evacuated(record)
            }
        )

    def _finish_read(self, sent):
        """Record an answered read.

        Raises
        ------
        NotApplied
            If the newest table was passed over: it is read again.
        """
        if any(map(self._is_proved, self._passed_over)):
            raise NotApplied('the newest table could not be applied')
        super()._finish_read(sent)

    def _is_proved(self, key):
        return key == names.TABLE_KEY

    def _apply(self, record):
        domain = read_evacuated(record)
        if domain:
            self._hub.state.put_evacuation(domain, bool(record.value))
        if not record.value or domain:
            return
        try:
            if record.key == names.TABLE_KEY:
                self._hub.state.take_table(record.value)
            elif record.key.startswith(names.VERSION_KEY):
                self._take_version(record.value)
        except decoding.Malformed as error:
            # The newest valid table stays in force.
            self._record_malformed(record, error)

    def _take_version(self, value):
        model, version = catalogue.read_version(value)
        self._hub.state.put_version(model, version, state.STORE)

    def _record_read(self, sent):
        self._hub.view.proof.record(sent)
        self._hub.resumption.record_read(is_answered=True)

    def _record_state(self, up, reason):
        super()._record_state(up, reason)
        if not up:
            self._hub.resumption.record_read(is_answered=False)


def is_failure(reply):
    """Return whether a read had no usable answer."""
    return isinstance(reply, store_module.Unavailable)


def read_evacuated(record):
    """Return the domain that a record evacuates, or an empty string."""
    if not record.key.startswith(names.EVACUATION_KEY):
        return ''
    return record.key.removeprefix(names.EVACUATION_KEY)


class Targets(Follower):
    """Follow the targets' entries."""

    topic = names.TARGETS_TOPIC
    # Longer than for tables, since no proof depends on it.  A read that is
    # lost with its connection still ends before a leaving target must have
    # been noticed (two seconds, after three in which the store worked).
    hold_s = 2.4

    @property
    def min_end(self):
        """Return the end of what was read, or of a peer's state if newer."""
        return max(super().min_end, self._hub.state.targets_end)

    def _replace_known(self, newest):
        self._hub.state.targets_end = newest.end
        # A target whose record was passed over is listed all the same.
        listed = {record.key for record in newest.records if record.value}
        for target in self._hub.view.fleet.list_targets():
            if target not in listed:
                self._hub.supervisor.guard(RECORDS_TASK, self._drop, target)

    def _apply_page(self, page):
        # Records older than the state fetched from a peer would bring back
        # targets that are gone.
        known = self._hub.state.targets_end
        newer = tuple(r for r in page.records if r.offset >= known)
        super()._apply_page(dataclasses.replace(page, records=newer))
        self._hub.state.targets_end = max(known, page.end)

    def _record_read(self, sent):
        self._hub.view.software_history.confirm_list(
            sent, self._hub.deployment.first_start
        )

    def _apply(self, record):
        if not record.value:
            self._drop(record.key)
            return
        self._hub.state.put_target(record.key, record.value)

    def _drop(self, target):
        self._hub.state.drop_target(target, self.was_store_unreachable())


class Claims(Follower):
    """Follow who orders rollouts, and which requests crashed targets."""

    topic = names.CLAIMS_TOPIC

    def __init__(self, hub, watch):
        super().__init__(hub)
        self._watch = watch
        hub.sources.subscribe_failure(self.topic, watch.interrupt)

    @property
    def hold_s(self):
        """Return the hold of a read; none after an interruption.

        Nothing else depends on noticing quickly that nothing is new here.
        """
        return 0.0 if self._watch.is_interrupted else CLAIMS_HOLD_S

    async def _read(self, kind, read):
        reply = await super()._read(kind, read)
        self._watch.confirm(self._hub.clock())
        return reply

    def _replace_known(self, newest):
        self._watch.end = newest.end

    def _apply_page(self, page):
        super()._apply_page(page)
        self._watch.end = page.end

    def _record_read(self, sent):
        self._hub.software_watch.record_read(sent)

    def _is_proved(self, key):
        return key == names.SOFTWARE_KEY

    def _apply(self, record):
        if record.key.startswith(names.CRASHES_KEY):
            self._hub.crash_records.take(record)
            return
        if record.key == names.SOFTWARE_KEY:
            self._hub.software_watch.take(record)
            return
        try:
            claim = catalogue.read_claim(
                record.value, record.offset, self._hub.wall()
            )
        except decoding.Malformed as error:
            self._record_malformed(record, error)
            return
        if self._watch.end is not None:
            # It is read as it comes.  The time of day, which may differ
            # between boxes, would date it worse than its reading.
            claim = claim._replace(age_s=0.0)
        now = self._hub.clock()
        self._hub.view.rounds.hear(claim.round, now)
        self._watch.record(claim, now)
        self._put_loading(claim, now)
        self._hub.state.take_claimed(claim.versions, now)

    def _pass_over(self, record, error):
        super()._pass_over(record, error)
        if is_claim(record):
            # Its holder may give orders, whoever it is.
            unknown = order_claims.Claim('', record.offset)
            self._watch.record(unknown, self._hub.clock())

    def _put_loading(self, claim, now):
        """Record the loads that a claim announces, from its writing on."""
        delays = {name: s - claim.age_s for name, s in claim.loading.items()}
        self._hub.view.loading.put(delays, now)


def is_claim(record):
    """Return whether a record of the topic of claims is one."""
    is_crash = record.key.startswith(names.CRASHES_KEY)
    return not is_crash and record.key != names.SOFTWARE_KEY
