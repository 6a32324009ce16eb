"""Decisions of an entry box for the requests that it owns.

An entry box asks the limiter of the workspace and the scheduler of the pool
at the same time, asks their successors when the membership changes, and gives
each request one answer: a grant or a refusal.  If a box does not answer, the
entry box asks the next one in rank and finally itself, so that no request
waits for a box that has failed.
"""

import typing

from landingspool.decisions import messages
from landingspool.decisions import outputs
from landingspool.decisions import ownership
from landingspool.decisions import records
from landingspool.decisions import timing

ANSWER_TIMEOUT_S = 0.4
# Waiting requests are announced often, so that a new scheduler soon has
# them.  Grants only need to be renewed before their lease ends.
ANNOUNCE_INTERVAL_S = 2.0
RENEW_INTERVAL_S = 5.0
MAX_ASKS = 8
SILENT_RETRY_AFTER_S = 2.0


class TrackedRequest(typing.NamedTuple):
    """One request that this box owns.

    Attributes
    ----------
    work : records.Work
    arrived, deadline : float
        Monotonic seconds.
    domain : str
        Failure domain that is asked for a slot.
    asked_at : float
        Monotonic time in seconds at which the scheduler was last asked.
    asks : int
        Number of boxes in this domain that were asked and did not answer.
    scheduler : str
        Box that was asked for a slot.
    answered : bool
        Whether that box has answered.
    reserved : bool
        Whether the limiter has admitted the request.
    limiter : str
        Box that was asked for a permit.
    limit_asked_at : float
        Monotonic time in seconds at which the limiter was last asked.
    limit_asks : int
        Number of limiters that were asked and did not answer.
    grant : messages.Grant or None
    returned : bool
        Whether the last grant was returned, so that no scheduler has state
        of this request.
    """

    work: records.Work
    arrived: float
    deadline: float
    domain: str
    asked_at: float
    limiter: str
    limit_asked_at: float
    asks: int = 0
    scheduler: str = ''
    answered: bool = False
    reserved: bool = False
    limit_asks: int = 0
    grant: messages.Grant | None = None
    returned: bool = False


class Entry:
    """Requests owned by one entry box.

    Parameters
    ----------
    box, domain : str
    view : callable
        ``view(domain)`` returns the boxes of a domain that are in use.
    shard : callable
        ``shard(work, domain)`` returns the name of the shard for a request.
    """

    def __init__(self, box, domain, view, shard):
        self.box = box
        self.domain = domain
        self._get_view = view
        self._get_shard = shard
        self._tracked = {}
        self._announced_at = 0.0
        self._renewed_at = 0.0
        self._heartbeat = timing.Heartbeat()

    def __len__(self):
        return len(self._tracked)

    def open(self, work, now):
        """Request a permit and a slot; return a list of actions.

        `work` has `waited` and `left` as of `now`.  Each message carries
        their values at the time it is sent.
        """
        tracked = TrackedRequest(
            work=work,
            arrived=now - work.waited,
            deadline=now + work.left,
            domain=self.domain,
            asked_at=now,
            limiter='',
            limit_asked_at=now,
        )
        self._tracked[work.request] = tracked
        return [*self._reserve(tracked, now), *self._ask(work.request, now)]

    def ask_again(self, request, avoid, now):
        """Request another slot after one that could not be used."""
        tracked = self._tracked[request]
        avoided = tuple(dict.fromkeys((*tracked.work.avoid, *avoid)))
        work = tracked.work._replace(avoid=avoided, hops=0)
        self._tracked[request] = tracked._replace(
            work=work,
            grant=None,
            asks=0,
            answered=False,
            returned=False,
            domain=self.domain,
        )
        return self._ask(request, now)

    def return_grant(self, done, now):
        """Return a grant, used or not; the request stays open."""
        tracked = self._tracked.get(done.request)
        if tracked is None:
            return []
        self._tracked[done.request] = tracked._replace(
            grant=None, returned=True
        )
        return [outputs.Send(tracked.scheduler, done)]

    def close(self, request, now):
        """End a request; release its permit and any grant."""
        tracked = self._tracked.pop(request, None)
        if tracked is None:
            return []
        release = messages.Release(request, tracked.work.workspace)
        sends = [outputs.Send(tracked.limiter, release)]
        if tracked.grant is not None:
            unused = make_unused_done(tracked.grant, tracked)
            sends.append(outputs.Send(tracked.scheduler, unused))
        elif not tracked.returned:
            withdraw = messages.Withdraw(request, tracked.work.pool)
            sends.append(outputs.Send(tracked.scheduler, withdraw))
        return sends

    def handle(self, sender, message, now):
        """Handle an answer; return a list of actions."""
        return HANDLERS[type(message)](self, sender, message, now)

    def tick(self, now):
        """Repeat unanswered requests, follow moved owners and renew leases."""
        self._heartbeat.record(now)
        actions = []
        for request, tracked in list(self._tracked.items()):
            actions += self._follow_up(request, tracked, now)
        renew = now - self._renewed_at >= RENEW_INTERVAL_S
        if renew or now - self._announced_at >= ANNOUNCE_INTERVAL_S:
            self._announced_at = now
            actions += self._announce(now, renew)
        if renew:
            self._renewed_at = now
            actions += self._renew()
        return actions

    def resume(self, seconds):
        """Extend the answer time-outs by a stall of `seconds`."""
        for request, tracked in self._tracked.items():
            self._tracked[request] = tracked._replace(
                asked_at=tracked.asked_at + seconds,
                limit_asked_at=tracked.limit_asked_at + seconds,
            )

    def is_fresh(self, now):
        """Return whether this process has not stalled up to `now`."""
        return self._heartbeat.is_fresh(now)

    def get_tracked(self, request):
        """Return the TrackedRequest of a request, or None."""
        return self._tracked.get(request)

    def _on_grant(self, sender, grant, now):
        tracked = self._tracked.get(grant.request)
        if tracked is None or (
            tracked.grant and tracked.grant.grant != grant.grant
        ):
            return [outputs.Send(sender, make_unused_done(grant, tracked))]
        if tracked.grant is not None:
            return []
        tracked = tracked._replace(
            grant=grant, scheduler=sender, answered=True
        )
        self._tracked[grant.request] = tracked
        if not tracked.reserved:
            return []
        return [outputs.Decide(grant.request, grant)]

    def _on_refuse(self, sender, refuse, now):
        tracked = self._tracked.get(refuse.request)
        if tracked is None or tracked.grant or sender != tracked.scheduler:
            return []
        if refuse.reason == 'no_target' and tracked.domain != self.domain:
            # The summary of that domain was out of date.
            return self._return_home(refuse.request, tracked, now)
        return [outputs.Decide(refuse.request, refuse)]

    def _on_spill(self, sender, spill, now):
        tracked = self._tracked.get(spill.request)
        if tracked is None or tracked.grant or sender != tracked.scheduler:
            return []
        work = tracked.work._replace(hops=tracked.work.hops + 1)
        self._tracked[spill.request] = tracked._replace(
            work=work, domain=spill.domain, asks=0, answered=False
        )
        return self._ask(spill.request, now)

    def _on_queued(self, sender, queued, now):
        tracked = self._tracked.get(queued.request)
        if tracked is not None and sender == tracked.scheduler:
            self._tracked[queued.request] = tracked._replace(answered=True)
        return []

    def _on_reserved(self, sender, reserved, now):
        tracked = self._tracked.get(reserved.request)
        if tracked is None or tracked.reserved:
            return []
        if not reserved.admitted:
            refuse = messages.Refuse(
                reserved.request, 'limit', reserved.retry_after
            )
            return [outputs.Decide(reserved.request, refuse)]
        self._tracked[reserved.request] = tracked._replace(
            reserved=True, limiter=sender
        )
        if tracked.grant is None:
            return []
        return [outputs.Decide(reserved.request, tracked.grant)]

    def _on_unknown(self, sender, unknown, now):
        return self._announce_to(unknown.pool, sender, now, full=True)

    def _ask(self, request, now):
        tracked = self._tracked[request]
        shard = self._get_shard(tracked.work, tracked.domain)
        box = self._pick_box(shard, tracked.domain, tracked.asks)
        if box is None:
            return self._leave_domain(request, tracked, now)
        updated = tracked._replace(
            work=tracked.work._replace(pool=shard),
            scheduler=box,
            asked_at=now,
            answered=False,
        )
        self._tracked[request] = updated
        sends = [outputs.Send(box, messages.Ask(refresh_work(updated, now)))]
        if tracked.scheduler and tracked.scheduler != box:
            withdraw = messages.Withdraw(request, tracked.work.pool)
            sends.append(outputs.Send(tracked.scheduler, withdraw))
        return sends

    def _leave_domain(self, request, tracked, now):
        # No box of this domain is known any more.  Requests that were sent
        # to another domain return to the local one.
        if tracked.domain == self.domain:
            refuse = messages.Refuse(
                request, 'no_scheduler', SILENT_RETRY_AFTER_S
            )
            return [outputs.Decide(request, refuse)]
        return self._return_home(request, tracked, now)

    def _return_home(self, request, tracked, now):
        self._tracked[request] = tracked._replace(domain=self.domain, asks=0)
        return self._ask(request, now)

    def _reserve(self, tracked, now):
        work = tracked.work
        box = self._pick_box(
            make_limiter_key(work.workspace), self.domain, tracked.limit_asks
        )
        box = box or self.box
        self._tracked[work.request] = self._tracked[work.request]._replace(
            limiter=box, limit_asked_at=now
        )
        reserve = messages.Reserve(work.request, self.box, work.workspace)
        return [outputs.Send(box, reserve)]

    def _pick_box(self, subject, domain, asks):
        ranked = ownership.rank(subject, self._get_view(domain))
        if not ranked:
            return None
        if domain == self.domain and asks >= 2:
            return self.box
        return ranked[min(asks, len(ranked) - 1)]

    def _follow_up(self, request, tracked, now):
        actions = []
        if (
            not tracked.reserved
            and now - tracked.limit_asked_at >= ANSWER_TIMEOUT_S
        ):
            tracked = tracked._replace(limit_asks=tracked.limit_asks + 1)
            self._tracked[request] = tracked
            actions += self._reserve(tracked, now)
        tracked = self._tracked[request]
        if tracked.grant is not None:
            return actions
        if not tracked.answered and now - tracked.asked_at >= ANSWER_TIMEOUT_S:
            return actions + self._ask_next(request, tracked, now)
        if tracked.answered and self._has_moved(tracked):
            self._tracked[request] = tracked._replace(asks=0)
            return actions + self._ask(request, now)
        return actions

    def _ask_next(self, request, tracked, now):
        if tracked.asks >= MAX_ASKS:
            refuse = messages.Refuse(
                request, 'no_scheduler', SILENT_RETRY_AFTER_S
            )
            return [outputs.Decide(request, refuse)]
        domain, asks = tracked.domain, tracked.asks + 1
        if domain != self.domain and asks >= 2:
            domain, asks = self.domain, 0
        self._tracked[request] = tracked._replace(domain=domain, asks=asks)
        return self._ask(request, now)

    def _has_moved(self, tracked):
        return tracked.scheduler not in self._get_view(tracked.domain)

    def _announce(self, now, renew):
        boxes = {
            (tracked.work.pool, tracked.scheduler)
            for tracked in self._tracked.values()
            if renew or tracked.grant is None
        }
        actions = []
        for pool, box in sorted(boxes):
            actions += self._announce_to(pool, box, now, renew=renew)
        return actions

    def _announce_to(self, pool, box, now, full=False, renew=True):
        tracked_requests = [
            tracked
            for tracked in self._tracked.values()
            if tracked.work.pool == pool and tracked.scheduler == box
        ]
        waiting = tuple(
            refresh_work(c, now)
            for c in tracked_requests
            if c.grant is None and c.answered
        )
        granted = [
            tracked for tracked in tracked_requests if renew and tracked.grant
        ]
        held = ()
        if full:
            held = tuple(
                messages.Held(
                    refresh_work(tracked, now),
                    tracked.grant.grant,
                    tracked.grant.target,
                )
                for tracked in granted
            )
        renewed = tuple(tracked.grant.grant for tracked in granted)
        announce = messages.Announce(self.box, pool, held, waiting, renewed)
        return [outputs.Send(box, announce)]

    def _renew(self):
        boxes = {}
        for request, tracked in self._tracked.items():
            if tracked.reserved:
                rows = boxes.setdefault(tracked.limiter, {})
                rows.setdefault(tracked.work.workspace, []).append(request)
        return [
            outputs.Send(
                box,
                messages.Renew(
                    self.box,
                    tuple((name, tuple(held)) for name, held in rows.items()),
                ),
            )
            for box, rows in boxes.items()
        ]


def refresh_work(tracked, now):
    """Return the work of a request with its durations as of `now`."""
    return tracked.work._replace(
        waited=now - tracked.arrived, left=tracked.deadline - now
    )


def make_limiter_key(workspace):
    """Return the name that is hashed to find a workspace's limiter."""
    return f'limit/{workspace}'


def make_unused_done(grant, tracked):
    """Return the Done message for a grant that is not used."""
    pool = tracked.work.pool if tracked else ''
    return messages.Done(
        grant.request, grant.grant, 'unused', 0, 0, 0, pool, 0.0
    )


HANDLERS = {
    messages.Grant: Entry._on_grant,
    messages.Refuse: Entry._on_refuse,
    messages.Spill: Entry._on_spill,
    messages.Queued: Entry._on_queued,
    messages.Reserved: Entry._on_reserved,
    messages.Unknown: Entry._on_unknown,
}
