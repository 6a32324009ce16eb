"""Answer requests that are not served, and say when to come again.

A refusal (503) promises that the request was not executed and will not be.
"""

import random
import typing

from landingspool.decisions.gateway import continuations
from landingspool.decisions.gateway import exclusions
from landingspool.decisions.gateway import fingerprints
from landingspool.decisions.gateway import plans
from landingspool.gateway import forwarded_rows

# Range of the random Retry-After of a refusal, seconds.  Random, so that
# callers don't return together; a target's reload takes about a second.
RETRY_AFTER_S = (0.15, 0.5)
# The same when all targets are leaving: a replacement has to start, load its
# weights and be listed.
REPLACEMENT_RETRY_AFTER_S = (1.0, 2.0)
# The same when this box stops: others serve its callers at once.
STOPPING_RETRY_AFTER_S = (0.02, 0.1)
# Why a box that stops does not serve a request.
STOPPING = 'stopping'


class Answer(typing.NamedTuple):
    """The final answer to a request, for the log and the metrics."""

    status: int
    reason: str
    may_have_run: bool


class Refusals:
    """Answers one request with an error of this box.

    Parameters
    ----------
    hub
        The box's parts: `view`, `gate`, `recorder`, `metrics`, `clock`.
    state : request_state.RequestState
    origin : forwarded_rows.Origin or None
        Where the request comes from if another box has forwarded it.
    stream_retries : stream_retries.StreamRetries
    """

    def __init__(self, hub, state, origin, stream_retries):
        self._hub = hub
        self._view = hub.view
        self._state = state
        self._origin = origin
        self._stream_retries = stream_retries

    async def give_up(self, reason, status=502, after=None):
        """Answer what can't be served, as "not executed" only if that holds.

        A reply that has been started is broken off instead.  Neither is done
        if the request is to be tried again.

        Returns
        -------
        Answer or None
            None if the request goes on.
        """
        if self._state.reply.started:
            if await self._stream_retries.wait(reason):
                return None
            return self.abort_reply(reason)
        if not self._state.may_have_run:
            return await self.refuse(reason, after)
        if self._stream_retries.return_once():
            return None
        await self._send_error(status, reason)
        return Answer(status, reason, True)

    async def refuse(self, reason, after=None):
        """Answer a request that was not executed and will not be."""
        after = after or random.uniform(*RETRY_AFTER_S)
        await self._send_error(503, reason, after)
        return Answer(503, reason, False)

    async def refuse_stopping(self):
        """Answer a request that might not end before this box has stopped."""
        after = random.uniform(*STOPPING_RETRY_AFTER_S)
        return await self.give_up(STOPPING, after=after)

    async def refuse_unbound(self, found):
        """Answer a caller whose stream goes on nowhere.

        Parameters
        ----------
        found : continuations.Found
        """
        if found.unanswered or found.source == continuations.Source.UNPROVED:
            return await self.refuse(found.reason)
        return await self.refuse_for_good(found.reason)

    async def refuse_for_good(self, reason):
        """Answer a request that can't be served later, either."""
        if self._state.reply.started:
            return self.abort_reply(reason)
        if self._state.may_have_run:
            return await self.give_up(reason)
        await self._send_error(503, reason)
        return Answer(503, reason, False)

    async def _send_error(self, status, reason, after=None):
        """Send an error of this box; tell more to a box that forwards."""
        rows = ()
        if self._origin is not None:
            state = self._state
            rows = forwarded_rows.write_report(
                forwarded_rows.Report(
                    reason, state.sends, state.is_counted, state.call.name
                )
            )
        await self._state.reply.send_error(status, reason, after, rows)

    async def refuse_quarantined(self, suspicion):
        """Answer a request that might crash a further target.

        Parameters
        ----------
        suspicion : crashes.Suspicion
        """
        key, reason, left_s = suspicion
        self._hub.metrics.quarantine_refusals.labels(reason).inc()
        self._hub.recorder.record(
            'suspect_refused',
            request=self._state.call.name,
            key=fingerprints.describe(key),
            reason=reason,
            crashes=self._view.crashes.count(key, self._hub.clock()),
            left_s=round(left_s, 1),
        )
        if self._state.reply.started:
            return self.abort_reply(reason)
        if self._state.sends:
            return await self.give_up(reason)
        return await self.refuse(reason, left_s or None)

    async def refuse_excluded(self, shortage, now):
        """Answer a request that no target may get now.

        Retry-After says when a target may be available, if that follows from
        the reason of the shortage.
        """
        if shortage == exclusions.OTHER_SOFTWARE and self._has_left(now):
            return await self.refuse_for_good(shortage)
        if self._state.reply.started or self._state.may_have_run:
            return await self.give_up(shortage)
        estimate = RETRY_AFTER_ESTIMATORS.get(shortage)
        after = estimate(self, now) if estimate is not None else None
        return await self.refuse(shortage, after)

    def _has_left(self, now):
        """Return whether the software of a stream was here and has left.

        If not, its targets may be listed soon.
        """
        work, history = self._state.work, self._view.software_history
        return work.software in history.list_recent(work.service, now)

    def _estimate_capacity_return(self, now):
        left_s = self._state.get_time_left(now)
        return self._view.free_capacity.compute_retry_after(
            self._state.work, self._view.table, left_s, now
        )

    def _estimate_replacement(self, now):
        return random.uniform(*REPLACEMENT_RETRY_AFTER_S)

    def _estimate_new_weights(self, now):
        # An order that is carried out late tells no time, but no target has
        # the new weights sooner than a load takes.
        limits = self._view.start_limits
        left_s = limits.estimate_new_weights(self._state.work, now)
        return left_s + random.uniform(*RETRY_AFTER_S)

    async def refuse_overloaded(self, plan):
        """Answer a request for which the planned target has no room."""
        state = self._state
        held_s = self._hub.clock() - state.started
        after = self._compute_retry_after(plan)
        await self._send_error(503, 'busy', after)
        self._hub.recorder.record(
            'turned_away',
            request=state.call.name,
            wait_s=round(plan.wait_s, 3),
            pressure=round(plan.pressure, 3),
            taken=round(plan.room.taken, 1),
            rejecting=plan.room.rejecting,
            priority=state.demand.priority,
            route_priority=state.demand.route_priority,
            returns=state.demand.returns,
            held_s=round(held_s, 3),
            waited=state.release or '',
            after_s=round(after, 3),
            **self._describe_workspace(),
            **plans.describe_plan(plan, self._view.table),
        )
        return Answer(503, 'busy', False)

    def _describe_workspace(self):
        """Count a refusal by its workspace's share; return it for the log."""
        work, fair = self._state.work, self._view.fair_admission
        if not fair.is_on:
            return {}
        excess = fair.measure_excess(work)
        self._hub.metrics.record_share_refusal(work.service, excess)
        return {
            'workspace': work.workspace,
            'excess': round(excess, 2),
        }

    async def refuse_rejected(self, plan):
        """Answer a request that all targets it was sent to rejected."""
        if self._view.contention is None or self._state.may_have_run:
            return await self.give_up('rejected')
        return await self.refuse('rejected', self._compute_retry_after(plan))

    async def refuse_as_peer(self, refusal):
        """Answer as the other box did, which had the request last."""
        is_final = refusal.retry_after_s is None
        if refusal.reason == exclusions.OTHER_SOFTWARE and is_final:
            return await self.refuse_for_good(refusal.reason)
        return await self.give_up(
            refusal.reason, after=refusal.retry_after_s or None
        )

    def _compute_retry_after(self, plan):
        """Return the time to retry of a request refused for want of room."""
        state = self._state
        after = self._view.compute_retry_after(
            plan, state.work, state.demand, self._hub.clock()
        )
        self._hub.gate.record_refused(state, after)
        return after

    async def deny(self, status, reason):
        """Answer a request that the table does not allow."""
        await self._send_error(status, reason)
        return Answer(status, reason, False)

    def abort_reply(self, reason):
        """Break off a reply that has been started."""
        self._state.reply.abort()
        return Answer(0, reason, True)


# Methods that return the Retry-After of a refusal, by why no target may get
# the request.
RETRY_AFTER_ESTIMATORS = {
    exclusions.LIMITED: Refusals._estimate_capacity_return,
    exclusions.BACKING_OFF: Refusals._estimate_capacity_return,
    exclusions.LEAVING: Refusals._estimate_replacement,
    exclusions.OLD_WEIGHTS: Refusals._estimate_new_weights,
}
