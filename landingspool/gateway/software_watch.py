"""Watch which software versions the targets of each service have.

A summary of what all boxes have seen is kept in the platform's store: a box
that starts can't tell otherwise that there was a single version.  It is
written as it changes, which is seldom.
"""

import asyncio
import math

from landingspool.decisions import decoding
from landingspool.decisions.gateway import software_history
from landingspool.decisions import timing
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import store as store_module

# Period of the records of the versions that are listed, seconds.
OBSERVE_PERIOD_S = 5.0
# Period of the check whether the summary has changed, seconds.
CHECK_PERIOD_S = 0.2
# Seconds that a box leaves to each box before it, in the hash order of all
# boxes, to write what all of them see.
TURN_S = 0.5
# Seconds that a box leaves to those that still have seen what it has not.
SHRINK_DELAY_S = 2 * OBSERVE_PERIOD_S
# Seconds for which a failed write waits at most for the store to answer any
# read.
MAX_WAIT_S = 5.0
# Seconds after a rollback in which the summary in the store may lack versions
# that the boxes which know them have not written again yet.
REWRITTEN_S = 10.0


class SoftwareWatch:
    """Keeps the history of versions, and its summary in the store.

    Parameters
    ----------
    hub
        The box's parts: `view`, `peering`, `rollbacks`, `sources`, `store`,
        `timer`, `recorder`, `supervisor`, `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._history = hub.view.software_history
        self._running = timing.RunningTime(CHECK_PERIOD_S)
        # The services with several versions.
        self._mixed = set()
        # The summary in the store; None if there is none.
        self._stored = None
        # When the newest read was sent that has shown which one is there.
        self._proved = None
        # Since when the one in the store is out of date, by running time.
        self._differs_since = None
        self._writing = None
        # When the topic was last rolled back.
        self._rolled = -math.inf

    def start(self):
        """Begin the periodic checks."""
        self._hub.rollbacks.subscribe(names.CLAIMS_TOPIC, self._take_rollback)
        self._hub.timer.subscribe(OBSERVE_PERIOD_S, self._observe)
        self._hub.timer.subscribe(CHECK_PERIOD_S, self._check)

    def take(self, record):
        """Apply the summary that a box has written."""
        try:
            self._stored = catalogue.read_software(record.value)
        except decoding.Malformed as error:
            self._hub.recorder.record(
                'malformed', key=record.key, reason=str(error)
            )

    def _take_rollback(self, rollback):
        """Take nothing for stored until the topic is read again."""
        self._rolled = self._hub.clock()
        self._stored = None
        self._proved = None

    def record_read(self, sent):
        """Record that a read sent at `sent` has shown the newest summary."""
        self._proved = max(sent, self._proved or sent)

    def lose_proof(self):
        """Have the summary count only once it is read again."""
        self._proved = None

    def _observe(self, tick):
        entries = self._hub.view.fleet.entries.values()
        self._history.observe(entries, tick.now)
        self._history.drop_expired(tick.now)
        self._log_changes(self._history.list_mixed(tick.now))

    def _log_changes(self, mixed):
        """Log which services begin or end to have several versions."""
        for service in mixed.keys() - self._mixed:
            self._hub.recorder.record(
                'software_mixed', service=service, versions=mixed[service]
            )
        for service in self._mixed - mixed.keys():
            self._hub.recorder.record('software_single', service=service)
        self._mixed = set(mixed)

    def _check(self, tick):
        ran_s = self._running.advance(tick.now)
        self._adopt(tick.now)
        wanted = self._find_wanted(tick.now)
        if wanted is None or wanted == self._stored:
            self._differs_since = None
            return
        if self._differs_since is None:
            self._differs_since = ran_s
        is_idle = self._writing is None or self._writing.done()
        if is_idle and ran_s >= self._differs_since + self._get_delay(wanted):
            self._writing = self._hub.supervisor.spawn(
                'software_summary', self._try_write(wanted)
            )

    def _adopt(self, now):
        """Adopt the stored summary if this box has watched too short."""
        if self._stored is None or self._proved is None:
            return
        if self._history.has_watched(now):
            return
        if now - self._rolled < REWRITTEN_S:
            return
        if self._history.adopt(self._stored, self._proved, now):
            self._hub.recorder.record(
                'history_adopted', versions=sorted(self._stored.versions)
            )

    def _find_wanted(self, now):
        """Return the summary that should be stored; None if not known.

        A box that may have missed a version only adds to what is stored.
        """
        if self._proved is None:
            return None
        own = self._history.summarize(now)
        if self._history.is_witness(now):
            return own
        if self._stored is None:
            return None
        return software_history.merge(own, self._stored)

    def _get_delay(self, wanted):
        """Return after how many seconds this box writes a summary."""
        stored = self._stored or software_history.Summary()
        grows = software_history.merge(wanted, stored) != stored
        turn_s = self._hub.peering.get_rank(names.SOFTWARE_KEY) * TURN_S
        return turn_s if grows else turn_s + SHRINK_DELAY_S

    async def _try_write(self, summary):
        """Write a summary; after an error none is written for MAX_WAIT_S."""
        try:
            await self._write(summary)
        except Exception as error:
            self._hub.supervisor.report('software_summary', error)
            await asyncio.sleep(MAX_WAIT_S)

    async def _write(self, summary):
        rolled = self._rolled
        reply = await self._hub.store.append(
            names.CLAIMS_TOPIC,
            names.SOFTWARE_KEY,
            catalogue.write_software(summary),
        )
        if isinstance(reply, store_module.Unavailable):
            await self._hub.sources.wait_answered(MAX_WAIT_S)
            return
        if rolled == self._rolled:
            # Otherwise it may be lost.
            self._stored = summary
