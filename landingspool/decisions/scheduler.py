"""The scheduler of one shard of a pool: who runs next, and where.

It takes the messages of entry boxes and the reports of targets, and gives
grants and refusals.  It holds nothing that must last: a scheduler that
starts is told by the entry boxes what they hold and wait for, and learns
the rest from the targets.
"""

import random
import typing

from landingspool.decisions import admission
from landingspool.decisions import directory
from landingspool.decisions import fairness
from landingspool.decisions import identity
from landingspool.decisions import lack
from landingspool.decisions import messages
from landingspool.decisions import outputs
from landingspool.decisions import placement
from landingspool.decisions import pool
from landingspool.decisions import records
from landingspool.decisions import retries
from landingspool.decisions import routing
from landingspool.decisions import spill

MOST_HOPS = 1
FIRST_TOKEN_GRACE = 0.05
COMPUTE_SMOOTHING = 0.05
FETCH_SMOOTHING = 0.3
FETCH_FORGETTING = 0.003


class Choice(typing.NamedTuple):
    """A request, the target chosen for it, and where its context is."""

    work: records.Work
    view: routing.View
    found: placement.Survey


class Scheduler:
    """Decides for one shard.

    Parameters
    ----------
    model, domain, box : str
        The pool, and the box that this runs on.
    policy : policies.Policy
    started : float
        Monotonic seconds.
    """

    def __init__(self, model, domain, box, policy, started):
        self.model = model
        self.domain = domain
        self.box = box
        self.policy = policy
        self.started = started
        self._lack = lack.Lack(started)
        self.targets = {}
        self.queue = fairness.FairQueue(policy.charge)
        self.directory = directory.Directory()
        self.active_grants = {}
        self.rooms = {}
        self.rng = random.Random(f'{policy.seed}/{box}/{model}')
        self.turn = routing.Turn(self.rng.random())
        self._waiting = {}
        self._given = 0
        self._compute = float(identity.PIECE_TOKENS)
        self._fetch_s = placement.FETCH_S_PER_BLOCK
        self._epoch = f'{box}.{self.rng.getrandbits(40):x}'
        self._by_request = {}

    def set_members(self, members):
        """Take in the members of the live list that are in this pool.

        Returns
        -------
        list of TimelineEvent
        """
        notes = []
        for member in members:
            target = self.targets.get(member.name)
            if target is None:
                target = self.targets[member.name] = pool.Target(member)
            target.member = member
            if member.leaving and target.mark_leaving(member.incarnation):
                fields = {'target': member.name, 'source': 'live_list'}
                notes.append(outputs.TimelineEvent('leaving', fields))
        known = {member.name for member in members}
        for name in [n for n in self.targets if n not in known]:
            del self.targets[name]
            self.directory.forget_target(name)
        return notes

    def ask(self, work, share, now):
        """Decide on a request: queue it, send it on, or refuse it.

        Parameters
        ----------
        work : records.Work
        share : fairness.Share
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Send
        """
        if work.request in self._waiting:
            return [outputs.Send(work.entry, messages.Queued(work.request))]
        if work.request in self._by_request:
            return self._repeat(work)
        usable = self._list_usable(now)
        reason, wait = self._judge(work, share, usable, now)
        spill = self._find_spill(work, wait, reason, usable, now)
        if spill:
            return [
                outputs.Send(work.entry, messages.Spill(work.request, spill))
            ]
        if reason:
            return [self._refuse(work, reason, wait)]
        self.queue.push(work, share)
        arrived = now - work.waited
        row = records.Waiting(work, arrived, now + work.left)
        self._waiting[work.request] = row
        sends = self.place(now, usable)
        if work.request in self._waiting:
            sends.append(
                outputs.Send(work.entry, messages.Queued(work.request))
            )
        return sends

    def place(self, now, usable=None):
        """Grant places while there are any and somebody waits."""
        sends = []
        if self.queue.length and usable is None:
            usable = self._list_usable(now)
        while self.queue.length:
            choice = self._take_next(usable, now)
            if choice is None:
                break
            sends.append(self._grant(choice, now))
        return sends

    def finish(self, done, now):
        """Take a place back and learn from what it cost."""
        flight = self.active_grants.pop(done.grant, None)
        if flight is None:
            return []
        self._by_request.pop(done.request, None)
        target = self.targets.get(flight.target)
        computed = max(done.prompt_tokens - done.cached_tokens, 0)
        self.queue.settle(
            flight.work.workspace, flight.charged, computed, done.output_tokens
        )
        if done.fetched:
            seconds = done.fetch_s / done.fetched
            self._fetch_s += FETCH_SMOOTHING * (seconds - self._fetch_s)
        if done.outcome == 'ok':
            self._compute += COMPUTE_SMOOTHING * (computed - self._compute)
        if target is not None:
            target.end_flight(done.grant, now)
            OUTCOMES[done.outcome](self, target, flight, done, now)
        return self.place(now)

    def withdraw(self, request):
        """Forget a request that its entry box has given up."""
        row = self._waiting.pop(request, None)
        if row is not None:
            self.queue.remove(row.work.workspace, request)

    def adopt(self, announce, get_share, now):
        """Take in what an entry box holds and waits for.

        This is how a scheduler that has just begun gets its state, and how
        the leases of the grants of a living box are renewed.  Returns the
        number of renewed grants that are not known here.
        """
        lease = self.policy.grant_lease_s
        unknown = 0
        for grant in announce.renewed:
            flight = self.active_grants.get(grant)
            if flight is None:
                unknown += 1
            else:
                self._set_flight(flight._replace(until=now + lease))
        for held in announce.held:
            if held.grant not in self.active_grants:
                self._adopt_grant(held, now)
        for work in announce.waiting:
            if not self._knows(work.request):
                self.queue.push(work, get_share(work.workspace))
                row = records.Waiting(work, now - work.waited, now + work.left)
                self._waiting[work.request] = row
        return unknown

    def report(self, report, now):
        """Take in a load report; returns a list of TimelineEvent."""
        target = self.targets.get(report.target)
        if target is None:
            return []
        leaving = target.is_leaving()
        before = target.describe_cache()
        target.take_report(report, now)
        if target.describe_cache() != before:
            self.directory.forget_target(report.target)
        if target.is_leaving() and not leaving:
            fields = {'target': report.target, 'source': 'report'}
            return [outputs.TimelineEvent('leaving', fields)]
        return []

    def resume(self, seconds, now):
        """Leave out so many seconds in which this process did not run.

        Reports are too old then though the targets may be sound, and entry
        boxes may have renewed their grants meanwhile.
        """
        self._lack.resume(now)
        for flight in list(self.active_grants.values()):
            until = flight.until + seconds
            self._set_flight(flight._replace(until=until))

    def apply_cache_events(self, name, events, gap):
        """Take in cache events of a target; a gap makes all doubtful."""
        if gap:
            self.directory.record_gap(name)
        for event in events:
            if event.kind == 'removed':
                self.directory.record_evicted(name, [event.piece])
            else:
                self.directory.record_cached(name, [event.piece])

    def tick(self, now):
        """Take back lapsed grants, refuse what can't be served any more.

        Returns
        -------
        tuple of (list of Send, list of TimelineEvent)
        """
        # A slow link is tried again bit by bit: nobody would fetch over it,
        # and so nobody would learn that it has become fast.
        healed = placement.FETCH_S_PER_BLOCK - self._fetch_s
        self._fetch_s += FETCH_FORGETTING * healed
        notes = self._lapse(now)
        sends = self._refuse_late(now)
        sends += self.place(now)
        sends += self._turn_away(now)
        return sends, notes

    def summarize(self, now):
        """Give the summary of this pool for the other domains."""
        usable = self._list_usable(now)
        free = sum(self._list_free(usable, now).values())
        prefill = sum(t.report.prefill / t.slowness for t in usable)
        delay = self._estimate_wait(self.queue.length, now)
        delay += self._measure_backlog(usable, now)
        return messages.Room(
            self.model, free, round(delay, 3), prefill, len(usable)
        )

    def record_room(self, domain, room, now):
        """Take in another domain's summary of its pool."""
        self.rooms[domain] = spill.Heard(room, now)

    def count_waiting(self):
        """Give the number of requests in the queue."""
        return self.queue.length

    def _repeat(self, work):
        # The answer to an Ask was lost with its link: the same grant is
        # sent again, never a second one.
        flight = self.active_grants[self._by_request[work.request]]
        if flight.message is None:
            return []
        return [outputs.Send(work.entry, flight.message)]

    def _knows(self, request):
        return request in self._waiting or request in self._by_request

    def _judge(self, work, share, usable, now):
        # Returns why a request can't be queued, or an empty reason, and
        # the seconds that it would wait.
        if not usable:
            settling = self._lack.is_settling(self.targets.values(), now)
            return ('' if settling else 'no_target'), lack.SETTLE_S
        if not self.queue.length:
            if self._list_free(usable, now):
                return '', 0.0
        ahead = self.queue.count_ahead(work.workspace, share) + 1
        wait = self._estimate_wait(ahead, now)
        admit = admission.POLICIES[self.policy.admission]
        return ('' if admit(wait, work) else 'overloaded'), wait

    def _estimate_wait(self, ahead, now):
        if not ahead:
            return 0.0
        usable = self._list_usable(now)
        rate = pool.measure_rate(usable, self._compute)
        return ahead / rate if rate else lack.SETTLE_S

    def _find_spill(self, work, wait, reason, usable, now):
        if work.hops >= MOST_HOPS or not self.rooms:
            return ''
        here = float('inf')
        if not reason:
            backlog = self._measure_backlog(usable, now)
            if wait + backlog < spill.MARGIN_S:
                return ''
            here = wait + self._estimate_first(work, usable, now)
        return spill.find_better(self.rooms, work, here, now)

    def _measure_backlog(self, usable, now):
        """Give the least seconds of work before a new request."""
        free = self._list_free(usable, now)
        return min((t.measure_seconds() for t in free), default=0.0)

    def _estimate_first(self, work, usable, now):
        """Estimate the seconds to the first token at the best target."""
        free = self._list_free(usable, now) or {t: 1 for t in usable}
        views = self._view_all(work, free)[0]
        return min(
            (routing.estimate_first_token(work, view) for view in views),
            default=lack.SETTLE_S,
        )

    def _list_usable(self, now):
        return [t for t in self.targets.values() if t.is_usable(now)]

    def _list_free(self, usable, now):
        """Give the free places of each target that has any."""
        free = {}
        most = self.policy.backlog_s
        for target in usable:
            # What waits here can still go to whoever is free first, in
            # the order of the weights; what waits in a target can't.
            if most and target.measure_seconds() > most:
                continue
            count = target.count_free(now)
            if count > 0:
                free[target] = count
        return free

    def _take_next(self, usable, now):
        """Take the request that goes next; returns a Choice or None."""
        free = self._list_free(usable, now)
        if not free:
            return None
        work = self.queue.pop()
        del self._waiting[work.request]
        views, surveys = self._view_all(work, free)
        view = routing.choose(self.policy.routing, work, views, self.turn)
        version = self.targets[view.target].report.version
        return Choice(work, view, surveys[version])

    def _view_all(self, work, free):
        """Give the views of some targets, and the surveys by version."""
        price_s = self._fetch_s + self.policy.link_price_s
        surveys = {}
        views = []
        for target, count in free.items():
            version = target.report.version
            if version not in surveys:
                found = placement.survey(self.directory, work, version)
                surveys[version] = found
            view = placement.make_view(
                target, self.directory, surveys[version], count, price_s
            )
            views.append(view)
        return views, surveys

    def _grant(self, choice, now):
        work, view, found = choice
        target = self.targets[view.target]
        self._given += 1
        grant = f'{self._epoch}.{self._given}'
        fetch = placement.list_fetch(work, view, found)
        ready = view.cached + len(fetch) * identity.PIECE_TOKENS
        compute = max(work.prompt_tokens - ready, 0)
        message = messages.Grant(
            work.request,
            grant,
            view.target,
            target.incarnation,
            target.report.version,
            self.policy.decision_age_s,
            self.policy.grant_lease_s,
            fetch,
            view.cached,
            work.offset,
        )
        flight = pool.ActiveGrant(
            grant,
            work,
            view.target,
            now,
            now + self.policy.grant_lease_s,
            self.queue.reserve(work.workspace, compute),
            compute,
            found.keys,
            message,
        )
        self._set_flight(flight)
        self.directory.record_cached(view.target, found.keys)
        return outputs.Send(work.entry, message)

    def _set_flight(self, flight):
        self.active_grants[flight.grant] = flight
        self._by_request[flight.work.request] = flight.grant
        if flight.target in self.targets:
            self.targets[flight.target].add_flight(flight)

    def _adopt_grant(self, held, now):
        charged = self.queue.reserve(held.work.workspace, 0)
        flight = pool.ActiveGrant(
            held.grant,
            held.work,
            held.target,
            now - held.work.waited,
            now + self.policy.grant_lease_s,
            charged,
            0,
            (),
        )
        self._set_flight(flight)

    def _refuse(self, work, reason, wait):
        after = retries.spread_retry_after(wait, self.rng)
        refuse = messages.Refuse(work.request, reason, after)
        return outputs.Send(work.entry, refuse)

    def _refuse_late(self, now):
        # A request that can't make its deadline any more is answered now
        # and not when the deadline comes.
        sends = []
        for row in list(self._waiting.values()):
            if now <= row.deadline - FIRST_TOKEN_GRACE:
                continue
            self.withdraw(row.work.request)
            wait = self._estimate_wait(self.queue.length, now)
            sends.append(self._refuse(row.work, 'deadline', wait))
        return sends

    def _turn_away(self, now):
        """Answer who waits although no target has been usable for long."""
        usable = self._list_usable(now)
        if not self._lack.has_lasted(usable, self.targets.values(), now):
            return []
        return [self._answer_lack(r, now) for r in [*self._waiting.values()]]

    def _answer_lack(self, row, now):
        """Send who waits to another domain, or refuse it."""
        waited, left = now - row.arrived, row.deadline - now
        work = row.work._replace(waited=waited, left=left)
        self.withdraw(work.request)
        spill = self._find_spill(work, lack.SETTLE_S, 'no_target', [], now)
        if not spill:
            return self._refuse(work, 'no_target', lack.SETTLE_S)
        return outputs.Send(work.entry, messages.Spill(work.request, spill))

    def _lapse(self, now):
        notes = []
        for flight in list(self.active_grants.values()):
            if now < flight.until:
                continue
            self.active_grants.pop(flight.grant)
            self._by_request.pop(flight.work.request, None)
            self.queue.settle(flight.work.workspace, flight.charged, 0, 0)
            target = self.targets.get(flight.target)
            if target is not None:
                target.end_flight(flight.grant, now)
            fields = {'request': flight.work.request, 'target': flight.target}
            notes.append(outputs.TimelineEvent('lapsed', fields))
        return notes

    def _end_well(self, target, flight, done, now):
        target.breaker = retries.record_success(target.breaker, now)
        target.learn(done.held)
        self.directory.record_cached(flight.target, flight.keys)

    def _end_failed(self, target, flight, done, now):
        target.breaker = retries.record_failure(target.breaker, now)
        self.directory.record_evicted(flight.target, flight.keys)

    def _end_unused(self, target, flight, done, now):
        if target.breaker.state == retries.PROBING:
            target.breaker = target.breaker._replace(state=retries.OPEN)

    def _end_leaving(self, target, flight, done, now):
        target.mark_leaving(target.incarnation)


OUTCOMES = {
    'ok': Scheduler._end_well,
    'failed': Scheduler._end_failed,
    'unused': Scheduler._end_unused,
    'leaving': Scheduler._end_leaving,
}
