"""Let requests through to a target, wait for room, or be refused.

The decisions are those of decisions/gateway/contention.py; this module holds
the futures of the requests that wait, and wakes them when this box sees room
become free: one of its requests has ended, or a peer's digest has arrived.
Whoever is woken makes a new plan.
"""

import asyncio
import enum

from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import waiting as waiting_module


class Verdict(enum.Enum):
    """What happens to a request next."""

    SEND = 'send'
    REPLAN = 'replan'
    REFUSE = 'refuse'


class Release(enum.StrEnum):
    """Why a request no longer waits."""

    # Room may have become free: it is admitted or not, by a new plan.
    FREED = 'freed'
    # A request that was admitted let this one go first.
    GRANTED = 'granted'
    # It has waited as long as costs its caller nothing.
    OVER = 'over'
    # More urgent ones have filled the queue.
    FULL = 'full'
    STALLED = 'stalled'
    STOPPED = 'stopped'


# Releases after which a request makes a new plan; the others refuse it.
GOING_ON = (Release.FREED, Release.GRANTED)


class AdmissionGate:
    """Admits the requests of one box and holds those that wait.

    Parameters
    ----------
    hub
        The box's parts: `view`, `clock`, `recorder`, `metrics`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._view = hub.view
        self._contention = hub.view.contention
        self._futures = {}
        self._stopping = False
        self._woken = 0.0

    async def check(self, state, plan):
        """Return the Verdict on a planned request.

        Parameters
        ----------
        state : request_state.RequestState
        plan : plans.Plan
        """
        if self._contention is None:
            # A stream that has begun is worth more than one that has not.
            admitted = (
                state.sends
                or state.has_begun
                or self._view.is_admitted(plan, state.work, state.demand)
            )
            return Verdict.SEND if admitted else Verdict.REFUSE
        if state.sends or state.has_begun:
            return self._check_repeat(state, plan)
        if state.release == Release.GRANTED or self._view.is_admitted(
            plan, state.work, state.demand
        ):
            return await self._let_through(state, plan)
        return await self._wait(state)

    def record_end(self, service):
        """Record that a request of this box has ended at a target."""
        if self._contention is not None:
            self._contention.record_end(service, self._hub.clock())
            self._wake(service)

    def record_digest(self):
        """Let those who wait look again, at the pace at which sums change."""
        if self._contention is None or not self._futures:
            return
        now = self._hub.clock()
        if now - self._woken < peer_digests.SUM_CACHE_S:
            return
        self._woken = now
        for service in self._contention.waiting.list_services():
            self._wake(service)

    def record_no_target(self, service):
        """Let all who wait for a service learn that it has no target."""
        while self._contention is not None and self._wake(service):
            pass

    def record_refused(self, state, after_s):
        """Record that a request was refused for want of room.

        Parameters
        ----------
        state : request_state.RequestState
        after_s : float
            The time to retry that its caller was given.
        """
        if self._contention is None:
            return
        service = state.work.service
        if self._contention.record_refused(
            service, state.fingerprint, after_s, self._hub.clock()
        ):
            self._hub.recorder.record(
                'room_short', service=service, after_s=round(after_s, 3)
            )

    def sweep(self):
        """Log the shortages that are over, and update the metrics."""
        if self._contention is None:
            return
        over = self._contention.shortages.take_over(self._hub.clock())
        for service, known in over.items():
            self._hub.recorder.record(
                'room_free',
                service=service,
                seconds=round(known.last - known.since, 2),
                refused=known.refused,
            )
        self._hub.metrics.waiting.set(self.count_waiting())

    def release_barred(self):
        """Let those who wait with a barred key go on, to be refused."""
        crashes = self._view.crashes
        for state in list(self._futures):
            if crashes.is_barred(state.keys):
                self._release(state, Release.FREED)

    def void(self):
        """Refuse all who wait: this box has stalled."""
        self._release_all(Release.STALLED)

    def stop(self):
        """Refuse all who wait, and let nobody wait from now on."""
        self._stopping = True
        self._release_all(Release.STOPPED)

    def count_waiting(self):
        """Return the number of requests that wait."""
        return len(self._futures)

    def _check_repeat(self, state, plan):
        # A target that is full would reject it once more.
        if state.may_have_run or not plan.room.is_full():
            return Verdict.SEND
        return Verdict.REFUSE

    async def _let_through(self, state, plan):
        """Send a request, or one that waits for the same room before it."""
        service = state.work.service
        if state.release is None:
            first = self._contention.waiting.take_before(service, state.demand)
            if first is not None:
                self._release(first.request, Release.GRANTED)
                return await self._wait(state)
        if state.release == Release.FREED:
            # Room for one may be room for the next one, too.
            self._wake(service)
        if state.release is not None:
            self._count(state, 'sent')
        return Verdict.SEND

    async def _wait(self, state):
        until = self._get_end(state)
        now = self._hub.clock()
        if self._stopping or now >= until:
            state.release = state.release or Release.OVER
            return self._refuse(state)
        future = asyncio.get_running_loop().create_future()
        service = state.work.service
        self._futures[state] = future
        displaced = self._contention.waiting.put(
            service, state, state.demand, state.deadline, until
        )
        if displaced is not None:
            self._release(displaced.request, Release.FULL)
        timer = asyncio.get_running_loop().call_later(
            until - now, self._release, state, Release.OVER
        )
        try:
            state.release = await future
        except asyncio.CancelledError:
            if not future.cancelled() and future.result() in GOING_ON:
                # The caller has left with room that another one can use.
                self._wake(service)
            raise
        finally:
            timer.cancel()
            del self._futures[state]
            self._contention.waiting.remove(service, state)
        if state.release in GOING_ON:
            return Verdict.REPLAN
        return self._refuse(state)

    def _get_end(self, state):
        """Return when a request is refused if there has been no room."""
        if state.wait_until is None:
            now = self._hub.clock()
            state.wait_until = now + waiting_module.compute_wait_s(
                state.work.route.target_latency_s, state.get_time_left(now)
            )
        return state.wait_until

    def _refuse(self, state):
        self._count(state, state.release)
        return Verdict.REFUSE

    def _count(self, state, outcome):
        self._hub.metrics.waited.labels(outcome).inc()

    def _wake(self, service):
        """Let the first one who waits look again; return False if none."""
        first = self._contention.waiting.take_first(service)
        if first is None:
            return False
        self._release(first.request, Release.FREED)
        return True

    def _release(self, state, why):
        future = self._futures.get(state)
        if future is not None and not future.done():
            future.set_result(why)

    def _release_all(self, why):
        if self._contention is None:
            return
        for waiter in self._contention.waiting.take_all():
            self._release(waiter.request, why)
