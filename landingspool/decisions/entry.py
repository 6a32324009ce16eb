"""What an entry box decides for the requests that it owns.

It asks the limiter of the workspace and the scheduler of the pool at the
same time, follows them when the view of the boxes changes, and hands each
request one answer: a grant or a refusal.  When the box that should answer
is silent it asks the next one in rank, in the end itself, so that no
request waits for a box that has gone.
"""

import typing

from landingspool.decisions import messages
from landingspool.decisions import outputs
from landingspool.decisions import ownership
from landingspool.decisions import records
from landingspool.decisions import timing

ANSWER_S = 0.4
# What waits is told often, since a new scheduler must not lose it for
# long; what is held only has to outlive its lease.
ANNOUNCE_S = 2.0
RENEW_S = 5.0
MOST_ASKS = 8
SILENT_RETRY_AFTER_S = 2.0


class Case(typing.NamedTuple):
    """One request that this box owns.

    Attributes
    ----------
    work : records.Work
    arrived, deadline : float
        Monotonic seconds.
    domain : str
        Failure domain that is asked for a place.
    asked : float
        When the scheduler was last asked.
    asks : int
        How many boxes were asked in this domain without an answer.
    scheduler : str
        The box that was asked.
    heard : bool
        Whether that box has answered.
    reserved : bool
        Whether the limiter has admitted it.
    limiter : str
    limit_asked : float
    limit_asks : int
    grant : messages.Grant or None
    returned : bool
        Whether the last grant was given back, so that no scheduler holds
        anything for it.
    """

    work: records.Work
    arrived: float
    deadline: float
    domain: str
    asked: float
    limiter: str
    limit_asked: float
    asks: int = 0
    scheduler: str = ''
    heard: bool = False
    reserved: bool = False
    limit_asks: int = 0
    grant: messages.Grant | None = None
    returned: bool = False


class Entry:
    """The requests of one entry box.

    Parameters
    ----------
    box, domain : str
    view : callable
        ``view(domain)`` gives the boxes of a domain that are reckoned with.
    shard : callable
        ``shard(work, domain)`` gives the name of the shard for a request.
    """

    def __init__(self, box, domain, view, shard):
        self.box = box
        self.domain = domain
        self._view = view
        self._shard = shard
        self._tracked = {}
        self._announced = 0.0
        self._renewed = 0.0
        self._beat = timing.Heartbeat()

    def __len__(self):
        return len(self._tracked)

    def open(self, work, now):
        """Begin to ask for a place; returns a list of actions.

        `work` has `waited` and `left` as of `now`; each message carries
        them as they are when it is sent.
        """
        case = Case(
            work=work,
            arrived=now - work.waited,
            deadline=now + work.left,
            domain=self.domain,
            asked=now,
            limiter='',
            limit_asked=now,
        )
        self._tracked[work.request] = case
        return [*self._reserve(case, now), *self._ask(work.request, now)]

    def ask_again(self, request, avoid, now):
        """Ask for another place after one that could not be used."""
        case = self._tracked[request]
        avoided = tuple(dict.fromkeys((*case.work.avoid, *avoid)))
        work = case.work._replace(avoid=avoided, hops=0)
        self._tracked[request] = case._replace(
            work=work,
            grant=None,
            asks=0,
            heard=False,
            returned=False,
            domain=self.domain,
        )
        return self._ask(request, now)

    def give_back(self, done, now):
        """Return a place, used or not; the request itself stays open."""
        case = self._tracked.get(done.request)
        if case is None:
            return []
        self._tracked[done.request] = case._replace(grant=None, returned=True)
        return [outputs.Send(case.scheduler, done)]

    def close(self, request, now):
        """End a request: its place at the limiter is free again."""
        case = self._tracked.pop(request, None)
        if case is None:
            return []
        release = messages.Release(request, case.work.workspace)
        sends = [outputs.Send(case.limiter, release)]
        if case.grant is not None:
            unused = make_unused(case.grant, case)
            sends.append(outputs.Send(case.scheduler, unused))
        elif not case.returned:
            withdraw = messages.Withdraw(request, case.work.pool)
            sends.append(outputs.Send(case.scheduler, withdraw))
        return sends

    def handle(self, sender, message, now):
        """Handle an answer; returns a list of actions."""
        return HANDLERS[type(message)](self, sender, message, now)

    def tick(self, now):
        """Ask again where nobody answered, follow moved owners, renew."""
        self._beat.record(now)
        actions = []
        for request, case in list(self._tracked.items()):
            actions += self._follow(request, case, now)
        renew = now - self._renewed >= RENEW_S
        if renew or now - self._announced >= ANNOUNCE_S:
            self._announced = now
            actions += self._announce(now, renew)
        if renew:
            self._renewed = now
            actions += self._renew()
        return actions

    def resume(self, seconds):
        """Leave out so many seconds in which this process did not run."""
        for request, case in self._tracked.items():
            self._tracked[request] = case._replace(
                asked=case.asked + seconds,
                limit_asked=case.limit_asked + seconds,
            )

    def is_fresh(self, now):
        """Tell whether this process ran all the time until `now`."""
        return self._beat.is_fresh(now)

    def get_tracked(self, request):
        """Give the Case of a request, or None."""
        return self._tracked.get(request)

    def _on_grant(self, sender, grant, now):
        case = self._tracked.get(grant.request)
        if case is None or (case.grant and case.grant.grant != grant.grant):
            return [outputs.Send(sender, make_unused(grant, case))]
        if case.grant is not None:
            return []
        case = case._replace(grant=grant, scheduler=sender, heard=True)
        self._tracked[grant.request] = case
        if not case.reserved:
            return []
        return [outputs.Decide(grant.request, grant)]

    def _on_refuse(self, sender, refuse, now):
        case = self._tracked.get(refuse.request)
        if case is None or case.grant or sender != case.scheduler:
            return []
        return [outputs.Decide(refuse.request, refuse)]

    def _on_spill(self, sender, spill, now):
        case = self._tracked.get(spill.request)
        if case is None or case.grant or sender != case.scheduler:
            return []
        work = case.work._replace(hops=case.work.hops + 1)
        self._tracked[spill.request] = case._replace(
            work=work, domain=spill.domain, asks=0, heard=False
        )
        return self._ask(spill.request, now)

    def _on_queued(self, sender, queued, now):
        case = self._tracked.get(queued.request)
        if case is not None and sender == case.scheduler:
            self._tracked[queued.request] = case._replace(heard=True)
        return []

    def _on_reserved(self, sender, reserved, now):
        case = self._tracked.get(reserved.request)
        if case is None or case.reserved:
            return []
        if not reserved.admitted:
            refuse = messages.Refuse(
                reserved.request, 'limit', reserved.retry_after
            )
            return [outputs.Decide(reserved.request, refuse)]
        self._tracked[reserved.request] = case._replace(
            reserved=True, limiter=sender
        )
        if case.grant is None:
            return []
        return [outputs.Decide(reserved.request, case.grant)]

    def _on_unknown(self, sender, unknown, now):
        return self._announce_to(unknown.pool, sender, now, whole=True)

    def _ask(self, request, now):
        case = self._tracked[request]
        shard = self._shard(case.work, case.domain)
        box = self._pick(shard, case.domain, case.asks)
        if box is None:
            return self._lose_domain(request, case, now)
        asked = case._replace(
            work=case.work._replace(pool=shard),
            scheduler=box,
            asked=now,
            heard=False,
        )
        self._tracked[request] = asked
        sends = [outputs.Send(box, messages.Ask(refresh_work(asked, now)))]
        if case.scheduler and case.scheduler != box:
            withdraw = messages.Withdraw(request, case.work.pool)
            sends.append(outputs.Send(case.scheduler, withdraw))
        return sends

    def _lose_domain(self, request, case, now):
        # The other domain has no box left that we know of: back home.
        if case.domain == self.domain:
            refuse = messages.Refuse(
                request, 'no_scheduler', SILENT_RETRY_AFTER_S
            )
            return [outputs.Decide(request, refuse)]
        self._tracked[request] = case._replace(domain=self.domain, asks=0)
        return self._ask(request, now)

    def _reserve(self, case, now):
        work = case.work
        box = self._pick(
            make_limiter_key(work.workspace), self.domain, case.limit_asks
        )
        box = box or self.box
        self._tracked[work.request] = self._tracked[work.request]._replace(
            limiter=box, limit_asked=now
        )
        reserve = messages.Reserve(work.request, self.box, work.workspace)
        return [outputs.Send(box, reserve)]

    def _pick(self, subject, domain, asks):
        ranked = ownership.rank(subject, self._view(domain))
        if not ranked:
            return None
        if domain == self.domain and asks >= 2:
            return self.box
        return ranked[min(asks, len(ranked) - 1)]

    def _follow(self, request, case, now):
        actions = []
        if not case.reserved and now - case.limit_asked >= ANSWER_S:
            case = case._replace(limit_asks=case.limit_asks + 1)
            self._tracked[request] = case
            actions += self._reserve(case, now)
        case = self._tracked[request]
        if case.grant is not None:
            return actions
        if not case.heard and now - case.asked >= ANSWER_S:
            return actions + self._ask_next(request, case, now)
        if case.heard and self._has_moved(case):
            self._tracked[request] = case._replace(asks=0)
            return actions + self._ask(request, now)
        return actions

    def _ask_next(self, request, case, now):
        if case.asks >= MOST_ASKS:
            refuse = messages.Refuse(
                request, 'no_scheduler', SILENT_RETRY_AFTER_S
            )
            return [outputs.Decide(request, refuse)]
        domain, asks = case.domain, case.asks + 1
        if domain != self.domain and asks >= 2:
            domain, asks = self.domain, 0
        self._tracked[request] = case._replace(domain=domain, asks=asks)
        return self._ask(request, now)

    def _has_moved(self, case):
        return case.scheduler not in self._view(case.domain)

    def _announce(self, now, renew):
        boxes = {
            (case.work.pool, case.scheduler)
            for case in self._tracked.values()
            if renew or case.grant is None
        }
        actions = []
        for pool, box in sorted(boxes):
            actions += self._announce_to(pool, box, now, renew=renew)
        return actions

    def _announce_to(self, pool, box, now, whole=False, renew=True):
        cases = [
            case
            for case in self._tracked.values()
            if case.work.pool == pool and case.scheduler == box
        ]
        waiting = tuple(
            refresh_work(c, now) for c in cases if c.grant is None and c.heard
        )
        granted = [case for case in cases if renew and case.grant]
        held = ()
        if whole:
            held = tuple(
                messages.Held(
                    refresh_work(case, now),
                    case.grant.grant,
                    case.grant.target,
                )
                for case in granted
            )
        renewed = tuple(case.grant.grant for case in granted)
        announce = messages.Announce(self.box, pool, held, waiting, renewed)
        return [outputs.Send(box, announce)]

    def _renew(self):
        boxes = {}
        for request, case in self._tracked.items():
            if case.reserved:
                rows = boxes.setdefault(case.limiter, {})
                rows.setdefault(case.work.workspace, []).append(request)
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


def refresh_work(case, now):
    """Give the work of a case with its durations as of now."""
    return case.work._replace(
        waited=now - case.arrived, left=case.deadline - now
    )


def make_limiter_key(workspace):
    """Give the name under which a workspace's limiter is hashed."""
    return f'limit/{workspace}'


def make_unused(grant, case):
    """Give the Done that returns a grant which nobody wants."""
    pool = case.work.pool if case else ''
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
