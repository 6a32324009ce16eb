"""Follow the topics of tables, targets and claims in the platform's store.

Every answer to a read of the tables proves that the table was current when
the read was sent.  The version of a table never decreases.
"""

import asyncio
import dataclasses

from landingspool.decisions import decoding
from landingspool.decisions.gateway import order_claims
from landingspool.gateway import follower
from landingspool.gateway import state
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import store as store_module


class NotApplied(Exception):
    """The newest table could not be applied, so nothing is proved of it."""


class Published(follower.Follower):
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


def read_evacuated(record):
    """Return the domain that a record evacuates, or an empty string."""
    if not record.key.startswith(names.EVACUATION_KEY):
        return ''
    return record.key.removeprefix(names.EVACUATION_KEY)


class Targets(follower.Follower):
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

    def _forget_end(self):
        self._hub.state.forget_targets()

    def _replace_known(self, newest):
        self._hub.state.targets_end = newest.end
        self._hub.state.put_targets_proof(newest.sent)
        self._hub.current_list.record_gap()
        # A target whose record was passed over is listed all the same.
        listed = {record.key for record in newest.records if record.value}
        for target in self._hub.view.fleet.list_targets():
            if target not in listed:
                self._hub.supervisor.guard(
                    follower.RECORDS_TASK, self._drop, target
                )

    def _apply_page(self, page):
        # Records older than the state fetched from a peer would bring back
        # targets that are gone.
        known = self._hub.state.targets_end
        newer = tuple(r for r in page.records if r.offset >= known)
        for record in page.records:
            if record.offset < known:
                # Streams may have begun there all the same.
                self._hub.current_list.note(record)
        super()._apply_page(dataclasses.replace(page, records=newer))
        self._hub.state.targets_end = max(known, page.end)
        if page.whole:
            self._hub.state.put_targets_proof(page.sent)

    def _record_read(self, sent):
        self._hub.view.software_history.confirm_list(
            sent, self._hub.deployment.first_start
        )
        self._hub.current_list.record_read(self._tail.end)

    def _apply(self, record):
        if not record.value:
            self._drop(record.key)
            return
        self._hub.state.put_target(record.key, record.value)

    def _drop(self, target):
        self._hub.state.drop_target(target, self.was_store_unreachable())


class Claims(follower.Follower):
    """Follow who orders rollouts, and which requests crashed targets."""

    topic = names.CLAIMS_TOPIC
    # Nothing depends on noticing quickly that nothing is new here.
    hold_s = 8.0

    def __init__(self, hub, watch):
        super().__init__(hub)
        self._watch = watch
        hub.sources.subscribe_failure(self.topic, self._interrupt)

    async def confirm(self):
        """Read the store itself, so that an interruption is over.

        A box that this one reads from may have read the store before it.
        """
        known, end = self.known, self._watch.end
        reply = await self._hub.sources.check_store(self.topic, known)
        if isinstance(reply, store_module.RolledBack):
            self._hub.rollbacks.report(reply)
        is_known = isinstance(reply, store_module.Page) and reply.end == end
        if is_known and self._watch.end == end:
            self._watch.resume(self._hub.clock(), reply.sent)

    def _interrupt(self):
        self._watch.interrupt(self._hub.clock())

    def _replace_known(self, newest):
        self._watch.end = newest.end
        self._watch.resume(self._hub.clock(), newest.sent)

    def _apply_page(self, page):
        super()._apply_page(page)
        self._watch.end = page.end
        if page.whole:
            self._watch.resume(self._hub.clock(), page.sent)

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
            self._record_unknown(record)
            return
        if self._watch.end is not None:
            # It is read as it comes.  The time of day, which may differ
            # between boxes, would date it worse than its reading.
            claim = claim._replace(age_s=0.0)
        now = self._hub.clock()
        self._hub.view.ballots.hear(claim.ballot, now)
        self._watch.record(claim, now)
        self._put_loading(claim, now)
        self._hub.state.take_claimed(claim.versions, now)

    def _pass_over(self, record, error):
        super()._pass_over(record, error)
        if is_claim(record):
            self._record_unknown(record)

    def _record_unknown(self, record):
        """Record a claim whose holder, whoever it is, may give orders."""
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
