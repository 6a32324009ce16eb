"""Prove that this box has seen all targets that are listed at present.

Held reads prove how the list was some seconds before.  A box that is cut off,
or reads through one that is, would take an older list for complete.  So where
a target that has just been listed matters, the store itself is read once more.
"""

import asyncio

from landingspool.decisions import decoding
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import store as store_module
from landingspool import timeouts

# Seconds for which a read is waited for.  The store answers in 4 ms, and in a
# quarter of a second when it is slow.
RENEWAL_TIMEOUT_S = 0.3
# Pages of one read: more records than a box can miss between two held reads.
MAX_PAGES = 4
TASK = 'targets_list'


class CurrentList:
    """Reads the newest records of the targets' topic from the store.

    They count for the history of software only; the fleet follows the topic.

    Parameters
    ----------
    hub
        The box's parts: `view`, `store`, `rollbacks`, `software_watch`,
        `deployment`, `recorder`, `metrics`, `supervisor`, `clock`.

    Attributes
    ----------
    is_failing : bool
        Whether the last read was not answered, and none of this box since.
    """

    def __init__(self, hub):
        self._hub = hub
        self._history = hub.view.software_history
        # The end of the topic at the last read that was applied completely.
        self._end = None
        self._turn = asyncio.Lock()
        self._waiting = None
        self.is_failing = False
        hub.rollbacks.subscribe(names.TARGETS_TOPIC, self._take_rollback)

    def record_read(self, end):
        """Record that all records before an offset are applied."""
        self._end = end
        self.is_failing = False

    def record_gap(self):
        """Record that records are missing between two reads of the topic.

        What was listed meanwhile is only known to other boxes, and to the
        summary of versions that is in the store by now.
        """
        if self._end is None:
            # The first read of all has no former one.
            return
        self._end = None
        self._history.lose_list()
        self._hub.software_watch.lose_proof()

    def _take_rollback(self, rollback):
        self.record_gap()

    async def renew(self):
        """Read what was listed until now, for RENEWAL_TIMEOUT_S at most.

        The read begins after the call.  Several callers share one.
        """
        if self._end is None:
            return
        if self._waiting is None:
            self._waiting = self._hub.supervisor.spawn(TASK, self._take_turn())
        await timeouts.wait_with_timeout(self._waiting, RENEWAL_TIMEOUT_S)

    async def _take_turn(self):
        async with self._turn:
            # Who calls from now on needs a read that begins later.
            self._waiting = None
            sent = self._hub.clock()
            reason = await self._try_read()
            self._record_outcome(reason, sent)

    async def _try_read(self):
        """Read until the end; return why that failed, or an empty string."""
        try:
            async with timeouts.Timeout(RENEWAL_TIMEOUT_S):
                return await self._read()
        except TimeoutError:
            return 'no answer in time'

    async def _read(self):
        sent, offset = self._hub.clock(), self._end
        for _ in range(MAX_PAGES):
            page = await self._hub.store.read(names.TARGETS_TOPIC, offset, 0.0)
            if isinstance(page, store_module.RolledBack):
                self._hub.rollbacks.report(page)
            if not isinstance(page, store_module.Page):
                return describe(page)
            if self._end is None:
                return 'records were missing meanwhile'
            for record in page.records:
                self.note(record)
            offset = page.end
            if page.whole:
                self._end = offset
                self._history.confirm_list(
                    sent, self._hub.deployment.first_start
                )
                return ''
        return f'over {MAX_PAGES} pages'

    def note(self, record):
        """Record the software of a target that is or was listed.

        Parameters
        ----------
        record : tail.Record
        """
        if not record.value:
            return
        try:
            entry = catalogue.read_entry(record.key, record.value)
        except decoding.Malformed as error:
            # No box uses such a target.
            self._hub.recorder.record(
                'malformed', key=record.key, reason=str(error)
            )
            return
        now = self._hub.clock()
        self._history.record(entry.service, entry.software, now)

    def _record_outcome(self, reason, sent):
        self.is_failing = bool(reason)
        outcome = 'failed' if reason else 'read'
        self._hub.metrics.list_renewals.labels(outcome).inc()
        if reason:
            self._hub.recorder.record(
                'list_not_renewed',
                reason=reason,
                seconds=round(self._hub.clock() - sent, 3),
            )


def describe(outcome):
    """Return why a read told nothing.

    >>> describe(store_module.Unavailable('refused', False))
    'refused'
    >>> describe(store_module.Forgotten())
    'Forgotten'
    """
    if isinstance(outcome, store_module.Unavailable):
        return outcome.reason
    return type(outcome).__name__
