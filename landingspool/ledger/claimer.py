"""Claims idempotency keys in the log before requests that must run once.

The claimer owns the ledger of this box.  Claims are batched into one record,
because the log accepts few appends a second.  A claim is won only when it has
been read back as the first one of its key; the response to the append does
not count.
"""

import asyncio
import collections
import dataclasses
import itertools
import typing

from landingspool.decisions import claims
from landingspool.ledger import outcomes
from landingspool import timeouts

SETTLE_TIMEOUT_S = 2.5
POLL_S = 0.05
IDLE_POLL_S = 1.0
# Appends a second of all boxes together.
APPENDS_PER_S = 80
DOWN_RETRY_AFTER_S = 5.0
# Abandoned claims that are remembered until their release is read back.
MAX_ABANDONED = 4096


@dataclasses.dataclass(frozen=True)
class Won:
    """This box may execute the request once."""

    claim: str


@dataclasses.dataclass(frozen=True)
class Held:
    """Another claim holds the key."""

    holder: claims.Holder


@dataclasses.dataclass(frozen=True)
class Unsettled:
    """The outcome is unknown; this box will not execute the request."""

    reason: str


class Pending(typing.NamedTuple):
    """A claim whose outcome is not known yet."""

    claim: claims.Claim
    future: asyncio.Future


class Claimer:
    """Appends claims in batches, reads them back and settles them.

    Parameters
    ----------
    log : log.Log
    box : str
        Name of this box with its incarnation.
    window : float
        Time during which a key may be claimed, in seconds.
    recorder : events.Recorder
    count_boxes : callable
        Returns the number of boxes that share the log's append rate.
    """

    def __init__(self, log, box, window, recorder, count_boxes):
        self._log = log
        self._box = box
        self._recorder = recorder
        self._count_boxes = count_boxes
        self.ledger = claims.Ledger(window)
        self.current = False
        self._claim_numbers = itertools.count(1)
        self._queued_claims = []
        self._waiting = {}
        self._queued_releases = []
        self._abandoned = collections.OrderedDict()
        self._has_work = asyncio.Event()

    async def claim(self, key, minted):
        """Claim a key.

        Parameters
        ----------
        key : str
        minted : float
            The time contained in the caller's key, in wall-clock seconds.

        Returns
        -------
        Won, Held or Unsettled
        """
        if not self.current:
            return Unsettled('the log was not read yet')
        holder = self.ledger.find(key)
        if holder is not None:
            return Held(holder)
        number = next(self._claim_numbers)
        claim = claims.Claim(key, f'{self._box}.{number}', self._box, minted)
        future = asyncio.get_running_loop().create_future()
        self._queued_claims.append(Pending(claim, future))
        self._waiting[claim.claim] = future
        self._has_work.set()
        try:
            async with timeouts.Timeout(SETTLE_TIMEOUT_S):
                return await future
        except TimeoutError:
            self._abandon(claim)
            return Unsettled('the log did not settle the claim in time')

    async def run(self):
        """Append batches and read the stream until cancelled."""
        async with asyncio.TaskGroup() as group:
            # If one fails, the other ends as well; both are started again.
            group.create_task(self._append_all())
            group.create_task(self._read_all())

    def _abandon(self, claim):
        # This box never executes the request after this.  If the claim is
        # in the log, it is released, so that a retry through another box
        # does not find the key spent.
        self._waiting.pop(claim.claim, None)
        self._queued_claims = [
            pending
            for pending in self._queued_claims
            if pending.claim != claim
        ]
        self._abandoned[claim.claim] = True
        while len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.popitem(last=False)
        self._release(claim)

    def _release(self, claim):
        release = claim._replace(action=claims.RELEASE)
        if release not in self._queued_releases:
            self._queued_releases.append(release)
        self._has_work.set()

    async def _append_all(self):
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            batch, self._queued_claims = self._queued_claims, []
            releases, self._queued_releases = self._queued_releases, []
            rows = [pending.claim for pending in batch] + releases
            if rows:
                await self._try_append(batch, releases, rows)
            await asyncio.sleep(self._count_boxes() / APPENDS_PER_S)

    async def _try_append(self, batch, releases, rows):
        """Append a batch; after an error its claims are in doubt."""
        try:
            await self._append(batch, releases, rows)
        except Exception:
            # The claims end by their time-out, which releases them.
            self._queued_releases += releases
            raise

    async def _append(self, batch, releases, rows):
        data = claims.encode_batch(rows)
        reply = await self._log.append(claims.STREAM, data)
        if isinstance(reply, outcomes.Refused):
            self._queued_releases += releases
            for pending in batch:
                self._settle(pending.claim.claim, Unsettled(reply.reason))
            if releases:
                asyncio.get_running_loop().call_later(
                    DOWN_RETRY_AFTER_S, self._has_work.set
                )
            return
        if isinstance(reply, outcomes.Lost):
            self._queued_releases += releases
        await self._read_once()

    async def _read_all(self):
        while True:
            await self._read_once()
            busy = bool(self._waiting)
            await asyncio.sleep(POLL_S if busy else IDLE_POLL_S)

    async def _read_once(self):
        """Read all new records; return whether the log responded."""
        while True:
            page = await self._log.read(claims.STREAM, self.ledger.offset)
            if isinstance(page, outcomes.Unavailable):
                return False
            for offset, data in page.entries:
                for claim, outcome in self.ledger.fold(offset, data):
                    self._record(claim, outcome)
            if self.ledger.offset + 1 >= page.next or not page.entries:
                self.current = True
                return True

    def _record(self, claim, outcome):
        if claim.box != self._box:
            return
        if claim.claim in self._abandoned:
            self._record_abandoned(claim, outcome)
        if claim.action != claims.CLAIM or claim.claim not in self._waiting:
            return
        if outcome == claims.WON:
            self._settle(claim.claim, Won(claim.claim))
        elif outcome == claims.LOST:
            self._settle(claim.claim, Held(self.ledger.find(claim.key)))
        else:
            self._settle(claim.claim, Unsettled('the key is too old'))

    def _record_abandoned(self, claim, outcome):
        if outcome != claims.WON:
            return
        if claim.action == claims.RELEASE:
            del self._abandoned[claim.claim]
        else:
            # An append without an answer may be carried out after the
            # release, which then found nothing to free.
            self._release(claim)

    def _settle(self, claim, outcome):
        future = self._waiting.pop(claim, None)
        if future is None or future.done():
            return
        name = type(outcome).__name__
        self._recorder.record('claimed', claim=claim, outcome=name)
        future.set_result(outcome)
