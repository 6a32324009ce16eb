"""Follow a topic of the platform's store, whatever its records mean.

Topics are followed with held reads of the store, or of a box that reads it.
Each read is answered as soon as there is anything new.  If records are gone
from the log, the newest record of each key is read again.  So it is if the log
was rolled back, and nothing of its former history counts from then on.
"""

import asyncio

from landingspool.decisions.gateway import histories
from landingspool.decisions.gateway import tail as tail_module
from landingspool.gateway import resumption
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


class Follower:
    """Follow one topic; each subclass applies the records of its topic.

    A record whose application raises an unexpected error is passed over, and
    what was known before stays in force.  While a newest record is passed
    over that belongs to what a read of the topic proves, reads prove nothing.

    Parameters
    ----------
    hub
        The box's parts: `sources`, `record_server`, `rollbacks`, `view`,
        `recorder`, `supervisor`, `clock`.

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
        # Whether this box itself has noticed that the topic was rolled back,
        # and has not read the newest records since.
        self._is_first = False
        # Whether the newest records after a rollback are still to be read.
        self._is_void = False
        # Done as soon as the topic was rolled back.
        self._voided = None
        hub.record_server.add(self.topic, self._tail)
        hub.rollbacks.subscribe(self.topic, self._take_rollback)

    async def run(self):
        """Follow until cancelled.

        A box that knows its peers reads the store once, then follows a peer
        that reads for its domain.  Otherwise each of 195 boxes that start
        would send the store held reads of its own for three topics.
        """
        await self._hub.peering.wait_listed()
        while True:
            self._voided = asyncio.get_running_loop().create_future()
            newest = await self._read('newest', self._read_newest)
            if newest is None:
                continue
            self._check_newest(newest)
            self._voided = asyncio.get_running_loop().create_future()
            self._take_newest(newest)
            await self._follow(newest.end)

    async def _read_newest(self):
        """Read the newest records.

        A box that has noticed itself that the topic was rolled back asks the
        store: others may not have noticed it yet.
        """
        is_first, self._is_first = self._is_first, False
        return await self._hub.sources.read_newest(
            self.topic, self.min_end, self.known, is_first
        )

    def _check_newest(self, newest):
        """Report if the newest records are of another history."""
        known, kept = self.known, self._tail.read_newest()
        is_lower = newest.end < known.end
        if is_lower or histories.find_contradiction(
            kept, newest.records, known.end
        ):
            self._hub.rollbacks.report(
                store_module.RolledBack(
                    self.topic,
                    known.end,
                    newest.end,
                    store_module.NEWEST if is_lower else store_module.RECORD,
                    newest.sent,
                )
            )
            self._is_first = False

    def _take_newest(self, newest):
        self._tail.reset(newest.records, newest.end, newest.sent)
        self._hub.record_server.wake(self.topic)
        self._apply_newest(newest)
        if self._is_void:
            self._is_void = False
            self._hub.rollbacks.finish(self.topic)

    def _take_rollback(self, rollback):
        """Forget the former history; what is read of it meanwhile is void."""
        is_told = rollback.at is not None
        self._tail.forget(rollback.at if is_told else self._hub.clock())
        self._is_first = rollback.noticed != store_module.PEER
        self._is_void = True
        self._forget_end()
        if self._voided is not None and not self._voided.done():
            self._voided.set_result(None)

    def _forget_end(self):
        """Forget the end of the topic as others have told it."""

    @property
    def known(self):
        """Return the histories.Known of the topic."""
        return histories.make_known(self._tail)

    async def _follow(self, offset):
        while True:
            page = await self._read('read', lambda: self._read_page(offset))
            if page is None:
                return
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
        return await self._hub.sources.read(
            self.topic, offset, self.hold_s, self.known
        )

    async def _read(self, kind, read):
        """Read until there is an answer, with growing pauses.

        Returns None if the topic was rolled back meanwhile: what is under way
        then may be of its former history.

        A read that was pending during a stall of this process, and still has
        no answer, is sent again at once: its answer would prove only how
        things were before the stall, and its failure says nothing about the
        store.
        """
        pause = RETRY_PAUSE_S
        while True:
            sent = self._hub.clock()
            reply = await self._wait(asyncio.ensure_future(read()))
            if self._voided.done():
                return None
            if reply is not None and not is_failure(reply):
                self._tail.asked, self._tail.got = sent, self._hub.clock()
                self._record_state(True, kind)
                return reply
            if reply is None or not self._hub.timer.ran_since(sent):
                pause = RETRY_PAUSE_S
                continue
            self._record_state(False, reply.reason)
            await self._pause_reads(pause)
            pause = min(pause * 2, MAX_RETRY_PAUSE_S)

    async def _wait(self, reading):
        """Wait for a read.

        Returns None if this process stalled during it, or the topic was rolled
        back.
        """
        resumed = asyncio.ensure_future(self._hub.resumption.wait_for_stall())
        try:
            await asyncio.wait(
                {reading, resumed, self._voided},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if self._voided.done():
                return None
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
        """Return whether the store was unreachable shortly before.

        It was, too, if it has come back from a copy.
        """
        times = (self._hub.sources.failed_at, self._tail.rolled)
        now = self._hub.clock()
        return any(at is not None and now - at < UNCONFIRMED_S for at in times)

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


def is_failure(reply):
    """Return whether a read had no usable answer."""
    return isinstance(reply, store_module.Unavailable)
