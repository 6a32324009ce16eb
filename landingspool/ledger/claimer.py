"""Claims keys in the log before work that must not be repeated.

It owns the ledger of this box.  Claims are batched into one record, since
the log takes few appends; a claim is won only when it was read back as the
first of its key, whatever became of the append's answer.
"""

import asyncio
import dataclasses
import itertools
import typing

from landingspool.decisions import claims
from landingspool.ledger import outcomes
from landingspool import timeouts

SETTLE_S = 2.5
POLL_S = 0.05
IDLE_POLL_S = 1.0
APPENDS_A_SECOND = 80
DOWN_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(frozen=True)
class Won:
    """This box may run the request, once."""

    claim: str


@dataclasses.dataclass(frozen=True)
class Held:
    """Another claim holds the key."""

    holder: claims.Holder


@dataclasses.dataclass(frozen=True)
class Unsettled:
    """It could not be settled in time; this box will not run it."""

    reason: str


class Pending(typing.NamedTuple):
    """A claim that waits for its outcome."""

    claim: claims.Claim
    future: asyncio.Future


class Claimer:
    """Batches, appends, reads back and settles claims.

    Parameters
    ----------
    log : log.Log
    box : str
        This box with its incarnation.
    window : float
        Seconds for which a key may be claimed.
    recorder : events.Recorder
    count_boxes : callable
        Gives the number of boxes that share the log's append rate.
    """

    def __init__(self, log, box, window, recorder, count_boxes):
        self._log = log
        self._box = box
        self._recorder = recorder
        self._count_boxes = count_boxes
        self.ledger = claims.Ledger(window)
        self.current = False
        self._numbers = itertools.count(1)
        self._queue = []
        self._waiting = {}
        self._releases = []
        self._work = asyncio.Event()

    async def claim(self, key, minted):
        """Claim a key.

        Parameters
        ----------
        key : str
        minted : float
            The time inside the caller's key, wall-clock seconds.

        Returns
        -------
        Won, Held or Unsettled
        """
        if not self.current:
            return Unsettled('the log was not read yet')
        holder = self.ledger.find(key)
        if holder is not None:
            return Held(holder)
        number = next(self._numbers)
        claim = claims.Claim(key, f'{self._box}.{number}', self._box, minted)
        future = asyncio.get_running_loop().create_future()
        self._queue.append(Pending(claim, future))
        self._waiting[claim.claim] = future
        self._work.set()
        try:
            async with timeouts.Timeout(SETTLE_S):
                return await future
        except TimeoutError:
            self._give_up(claim)
            return Unsettled('the log did not settle the claim in time')

    async def run(self):
        """Append batches and read the stream until cancelled."""
        await asyncio.gather(self._append_all(), self._read_all())

    def _give_up(self, claim):
        # From here on this box never runs it.  If the claim did land, it
        # is released, so that a retry elsewhere does not find it spent.
        self._waiting.pop(claim.claim, None)
        self._queue = [p for p in self._queue if p.claim != claim]
        self._releases.append(claim._replace(action=claims.RELEASE))
        self._work.set()

    async def _append_all(self):
        while True:
            await self._work.wait()
            self._work.clear()
            batch, self._queue = self._queue, []
            releases, self._releases = self._releases, []
            rows = [pending.claim for pending in batch] + releases
            if rows:
                await self._append(batch, releases, rows)
            await asyncio.sleep(self._count_boxes() / APPENDS_A_SECOND)

    async def _append(self, batch, releases, rows):
        data = claims.encode_batch(rows)
        reply = await self._log.append(claims.STREAM, data)
        if isinstance(reply, outcomes.Refused):
            self._releases += releases
            for pending in batch:
                self._settle(pending.claim.claim, Unsettled(reply.reason))
            if releases:
                asyncio.get_running_loop().call_later(
                    DOWN_RETRY_AFTER_S, self._work.set
                )
            return
        if isinstance(reply, outcomes.Lost):
            self._releases += releases
        await self._read_once()

    async def _read_all(self):
        while True:
            await self._read_once()
            busy = bool(self._waiting)
            await asyncio.sleep(POLL_S if busy else IDLE_POLL_S)

    async def _read_once(self):
        """Read all that is new; returns whether the log answered."""
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
        if claim.action != claims.CLAIM or claim.box != self._box:
            return
        if claim.claim not in self._waiting:
            return
        if outcome == claims.WON:
            self._settle(claim.claim, Won(claim.claim))
        elif outcome == claims.LOST:
            self._settle(claim.claim, Held(self.ledger.find(claim.key)))
        else:
            self._settle(claim.claim, Unsettled('the key is too old'))

    def _settle(self, claim, outcome):
        future = self._waiting.pop(claim, None)
        if future is None or future.done():
            return
        kind = type(outcome).__name__
        self._recorder.record('claimed', claim=claim, outcome=kind)
        future.set_result(outcome)
