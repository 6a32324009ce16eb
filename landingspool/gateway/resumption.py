"""Renew the proof of the routing table after a stall of this process.

The proof says how recently the platform's store confirmed the table.  It
ages during a stall, though the store may work as before.  So the table is
read again at once.  Requests wait for that for a share of their latency
objective before they are refused.  None is sent on the old proof.
"""

import asyncio

from landingspool import timeouts

# Turns after a stall for which a missing proof is attributed to the stall, and
# seconds of each.  A further pause of the process takes one turn at most.
RENEWAL_TURNS = 5
RENEWAL_TURN_S = 0.1
# Seconds after a stall in which only the input received during it is read.
PENDING_INPUT_S = 0.02
# Share of its latency objective that a request may wait.  The other part is
# for the target, or for the caller to return.
MAX_WAIT_SHARE = 0.5


class Resumption:
    """Renews the proof after a stall and lets requests wait for it.

    Parameters
    ----------
    hub
        The box's parts: `view`, `timer`, `recorder`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._resumed_at = None
        self._finished = asyncio.Event()
        self._stall_begun = asyncio.Event()
        self._finished.set()

    def begin(self, stall):
        """Have the table read again, and let requests wait for that."""
        self._resumed_at = stall.now
        self._finished.clear()
        self._stall_begun.set()
        self._stall_begun = asyncio.Event()
        self._await_renewal(stall.now, RENEWAL_TURNS)

    async def wait_for_pending_input(self):
        """Wait until the input received during a stall has been read.

        This detects callers that disconnected during the stall.  Otherwise
        their requests would reach the targets all at once, together with
        those that are still wanted.
        """
        now = self._hub.timer.now()
        if self._resumed_at is not None:
            left_s = self._resumed_at + PENDING_INPUT_S - now
            if left_s > 0:
                await asyncio.sleep(left_s)

    async def wait_for_stall(self):
        """Wait until this process has stalled."""
        await self._stall_begun.wait()

    def record_read(self, is_answered):
        """Record the result of a read of the tables sent after the stall.

        Parameters
        ----------
        is_answered : bool
            Whether the store answered; if not, the wait of requests ends.
        """
        if self._finished.is_set():
            return
        now = self._hub.timer.now()
        if is_answered and not self._is_proved(now):
            return
        self._hub.recorder.record(
            'proof_renewed',
            seconds=round(now - self._resumed_at, 3),
            proved=is_answered,
        )
        self._finished.set()

    async def wait_for_proof(self, objective_s):
        """Wait for the renewal of a proof that a stall has made too old.

        Parameters
        ----------
        objective_s : float
            Latency objective of the request, seconds.

        Returns
        -------
        bool
            Whether the table is proved now.  False at once if the proof is
            not missing because of a stall.
        """
        if self._finished.is_set():
            return False
        waiting = asyncio.ensure_future(self._finished.wait())
        try:
            await timeouts.wait_with_timeout(
                waiting, objective_s * MAX_WAIT_SHARE
            )
        finally:
            waiting.cancel()
        return self._is_proved(self._hub.timer.now())

    def _is_proved(self, now):
        view = self._hub.view
        return view.table is not None and view.proof.is_fresh(now)

    def _await_renewal(self, begun, turns):
        """End the renewal that began at `begun` after a number of turns.

        A later renewal takes its place.
        """
        if begun != self._resumed_at:
            return
        if not turns:
            self._finished.set()
            return
        asyncio.get_running_loop().call_later(
            RENEWAL_TURN_S, self._await_renewal, begun, turns - 1
        )
