"""Follows what operators publish and which targets exist.

Held reads of the platform's store, or of a box that reads it, each
answered as soon as anything is new.  Every answer proves that the table was
current when it was asked for.  Where records are gone from the log, the
newest of each key are read again; a table never goes back in version.
"""

import asyncio
import dataclasses

from landingspool.decisions.gateway import tail as tail_module
from landingspool.gateway import resumption
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import store as store_module

# Pause after a read that failed, seconds, doubled up to the greatest.
PAUSE_S = 0.1
MOST_PAUSE_S = 0.8
# Seconds for which a read that is not of tables waits at most for the answer
# to another one; that of tables is asked for again after 0.8 s at most, so
# this is for the case that it is itself without an answer.
AWAY_S = 3.0
# Seconds after a failed read for which a vanished entry may have lapsed
# only because the store was away.
UNSURE_S = 5.0


class Follower:
    """Follows one topic; each subclass takes in the records of its own.

    Parameters
    ----------
    hub
        The box's parts: `sources`, `record_server`, `view`, `recorder`, `clock`.

    Attributes
    ----------
    topic : str
    hold_s : float
        Seconds for which a read is held where there is nothing new.
    newest_only : bool
        Whether only the newest record of a key matters.
    min_end : int
        Where the topic ended as far as this box knows.
    was_tried : bool
        Whether the topic has been read, or could not be.
    """

    topic = ''
    newest_only = False

    def __init__(self, hub):
        self._hub = hub
        self._up = None
        self.was_tried = False
        self._tail = tail_module.Tail(self.newest_only)
        hub.record_server.add(self.topic, self._tail)

    async def run(self):
        """Follow until cancelled.

        Who knows the other boxes follows one that reads for its domain as
        soon as it has read the store once; 195 boxes that start would each
        begin with held reads of their own for three topics.
        """
        await self._hub.peering.wait_listed()
        while True:
            newest = await self._read(
                'newest',
                lambda: self._hub.sources.read_newest(
                    self.topic, self.min_end
                ),
            )
            self._tail.reset(newest.records, newest.end, newest.sent)
            self._take_newest(newest)
            await self._follow(newest.end)

    async def _follow(self, offset):
        while True:
            page = await self._read('read', lambda: self._read_page(offset))
            if isinstance(page, store_module.Forgotten):
                self._hub.recorder.record('log_gap', first=offset)
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

        A read that was under way while this process stood still, and has no
        answer yet, is asked anew at once: what it would prove is as old as
        its question, and that it fails says nothing of the store.
        """
        pause = PAUSE_S
        while True:
            sent = self._hub.clock()
            reply = await self._wait(asyncio.ensure_future(read()))
            if reply is not None and not is_failure(reply):
                self._record_state(True, kind)
                return reply
            if reply is None or not self._hub.timer.ran_since(sent):
                pause = PAUSE_S
                continue
            self._record_state(False, reply.reason)
            await self._rest(pause)
            pause = min(pause * 2, MOST_PAUSE_S)

    async def _wait(self, reading):
        """Wait for a read; None where this process stood still meanwhile."""
        resumed = asyncio.ensure_future(self._hub.resumption.wait_for_stall())
        try:
            await asyncio.wait(
                {reading, resumed}, return_when=asyncio.FIRST_COMPLETED
            )
            # What has arrived meanwhile is read first.
            await asyncio.wait({reading}, timeout=resumption.PENDING_INPUT_S)
            return reading.result() if reading.done() else None
        finally:
            reading.cancel()
            resumed.cancel()

    async def _rest(self, seconds):
        """Pause after a failed read; the first pause is PAUSE_S long.

        From the second failure on the source is away.  That it is back the
        read of the tables finds out, which asks all the time: where each
        topic did, a box made four calls for each of three topics in four
        seconds without a store, and makes one or two for two of them since
        (test_following.py); each call has a price.
        """
        if seconds <= PAUSE_S:
            await asyncio.sleep(seconds)
        else:
            await self._hub.sources.wait_answered(AWAY_S)

    @property
    def min_end(self):
        """An older word of another box is not taken."""
        return self._tail.end or 0

    def is_unsure(self):
        """Tell whether the store was away shortly before now."""
        failed_at = self._hub.sources.failed_at
        if failed_at is None:
            return False
        return self._hub.clock() - failed_at < UNSURE_S

    def _take_newest(self, newest):
        for record in newest.records:
            self._take(record)
        self._record_read(newest.sent)

    def _apply_page(self, page):
        for record in page.records:
            self._take(record)
        if page.whole:
            self._record_read(page.sent)

    def _take(self, record):
        raise NotImplementedError

    def _record_read(self, sent):
        """Note that a read which was sent at `sent` is answered."""

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
    """Follows tables and named versions of weights."""

    topic = names.PUBLISHED_TOPIC
    newest_only = True

    @property
    def hold_s(self):
        """The proof is renewed once a hold, in a chain once in two holds.

        No read of another box is held beyond the age at which this one has
        to read for itself, and none at all from then on: a read proves
        something only once it is answered.
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

    async def _rest(self, seconds):
        """Pause after a failed read: it is for this one to ask again."""
        await asyncio.sleep(seconds)

    def _take_newest(self, newest):
        super()._take_newest(newest)
        self._hub.state.set_evacuated(
            {
                read_evacuated(record)
                for record in newest.records
                if record.value and read_evacuated(record)
            }
        )

    def _take(self, record):
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
        except catalogue.Malformed as error:
            # The newest good table stays in force.
            self._record_malformed(record, error)

    def _take_version(self, value):
        model, version = catalogue.read_version(value)
        if self._hub.view.weights.put_version(
            model, version, self._hub.clock()
        ):
            self._hub.recorder.record(
                'version_named', model=model, version=version
            )

    def _record_read(self, sent):
        self._hub.view.proof.record(sent)
        self._hub.resumption.record_read(is_answered=True)

    def _record_state(self, up, reason):
        super()._record_state(up, reason)
        if not up:
            self._hub.resumption.record_read(is_answered=False)


def is_failure(reply):
    """Tell whether a read had no usable answer."""
    return isinstance(reply, store_module.Unavailable)


def read_evacuated(record):
    """Give the domain whose evacuation a record tells of; empty: none."""
    if not record.key.startswith(names.EVACUATION_KEY):
        return ''
    return record.key.removeprefix(names.EVACUATION_KEY)


class Targets(Follower):
    """Follows the targets' entries."""

    topic = names.TARGETS_TOPIC
    # Longer than for tables, since no proof hangs on it; a read that is
    # lost with its connection still ends before a leaving target must have
    # been noticed (two seconds, after three in which the store was well).
    hold_s = 2.4

    @property
    def min_end(self):
        """What another box gave may be newer than what was read."""
        return max(super().min_end, self._hub.state.targets_end)

    def _take_newest(self, newest):
        super()._take_newest(newest)
        self._hub.state.targets_end = newest.end
        listed = {record.key for record in newest.records if record.value}
        for target in self._hub.view.fleet.list_targets():
            if target not in listed:
                self._drop(target)

    def _apply_page(self, page):
        # What is older than what another box gave would bring back targets
        # that are gone.
        known = self._hub.state.targets_end
        fresh = tuple(r for r in page.records if r.offset >= known)
        super()._apply_page(dataclasses.replace(page, records=fresh))
        self._hub.state.targets_end = max(known, page.end)

    def _take(self, record):
        if not record.value:
            self._drop(record.key)
            return
        self._hub.state.put_target(record.key, record.value)

    def _drop(self, target):
        self._hub.state.drop_target(target, self.is_unsure())


class Claims(Follower):
    """Follows who gives orders, and under which requests targets ended."""

    topic = names.CLAIMS_TOPIC
    # Nothing depends on hearing of silence here.
    hold_s = 8.0

    def __init__(self, hub, watch):
        super().__init__(hub)
        self._watch = watch

    def _take_newest(self, newest):
        super()._take_newest(newest)
        self._watch.end = newest.end

    def _apply_page(self, page):
        super()._apply_page(page)
        self._watch.end = page.end

    def _take(self, record):
        if record.key.startswith(names.CRASHES_KEY):
            self._hub.crash_records.take(record)
            return
        try:
            claim = catalogue.read_claim(record.value, record.offset)
        except catalogue.Malformed as error:
            self._record_malformed(record, error)
            return
        now = self._hub.clock()
        self._watch.record(claim, now)
        self._hub.view.weights.put_loading(claim.loading, now)
