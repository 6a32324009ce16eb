"""What a box does first after a time in which it did not run.

The proof of its table has aged meanwhile, though the platform's store may be
as sound as before.  So the table is read anew at once, and requests wait for
that, for a share of the time within which they are to be answered, before
they are refused.  Nothing is sent on the old proof.
"""

import asyncio

from landingspool.gateway import attempts

# Seconds after a standstill for which the lack of a proof is put down to it.
RENEWAL_S = 0.5
# Seconds for which what has arrived meanwhile is read, before all else.
PENDING_INPUT_S = 0.02
# Share of the time aimed at that a request may wait; the rest is for its
# target, or for the caller to come back.
HOLD_SHARE = 0.5


class Resumption:
    """The renewal of the proof after a standstill.

    Parameters
    ----------
    hub
        The box's parts: `view`, `timer`, `recorder`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._resumed_at = None
        self._over = asyncio.Event()
        self._woken = asyncio.Event()
        self._over.set()

    def begin(self, stall):
        """Have the table read anew, and let requests wait for that."""
        self._resumed_at = stall.now
        self._over.clear()
        self._woken.set()
        self._woken = asyncio.Event()
        asyncio.get_running_loop().call_later(RENEWAL_S, self._end, stall.now)

    async def wait_read(self):
        """Wait until what has arrived in a standstill has been read.

        Callers that have left meanwhile are found out by it: their requests
        must not reach targets all at once with those that are still wanted.
        """
        now = self._hub.timer.look()
        if self._resumed_at is not None:
            left_s = self._resumed_at + PENDING_INPUT_S - now
            if left_s > 0:
                await asyncio.sleep(left_s)

    async def wait_for_stall(self):
        """Wait until this process has stood still."""
        await self._woken.wait()

    def record_read(self, is_answered):
        """Note how a read of the tables ended that was sent since then.

        Parameters
        ----------
        is_answered : bool
            Whether there was an answer; without one there is nothing to
            wait for.
        """
        if self._over.is_set():
            return
        now = self._hub.timer.now()
        if is_answered and not self._is_proved(now):
            return
        self._hub.recorder.record(
            'proof_renewed',
            seconds=round(now - self._resumed_at, 3),
            proved=is_answered,
        )
        self._over.set()

    async def wait_proved(self, aim_s):
        """Wait for a proof that a standstill has made too old.

        Parameters
        ----------
        aim_s : float
            Seconds within which the request is to be answered.

        Returns
        -------
        bool
            Whether there is one now; False at once where the lack of a proof
            does not come from a standstill.
        """
        if self._over.is_set():
            return False
        waiting = asyncio.ensure_future(self._over.wait())
        try:
            await asyncio.wait({waiting}, timeout=aim_s * HOLD_SHARE)
        finally:
            waiting.cancel()
        return self._is_proved(self._hub.timer.now())

    def _is_proved(self, now):
        view = self._hub.view
        return view.table is not None and attempts.is_proved(view, now)

    def _end(self, begun):
        """End the renewal that began then."""
        if begun == self._resumed_at:
            self._over.set()
