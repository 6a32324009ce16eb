"""Scheduler of one shard of a pool: which request runs next, and where.

A scheduler receives the messages of entry boxes and the load reports of
targets, and sends grants and refusals.  It has no durable state: after a
start, the entry boxes announce their grants and waiting requests, and the
targets report their load.
"""

import random
import typing

from landingspool.decisions import admission
from landingspool.decisions import cost_estimates
from landingspool.decisions import directory
from landingspool.decisions import fairness
from landingspool.decisions import grant_outcomes
from landingspool.decisions import identity
from landingspool.decisions import messages
from landingspool.decisions import outputs
from landingspool.decisions import placement
from landingspool.decisions import pool
from landingspool.decisions import records
from landingspool.decisions import retries
from landingspool.decisions import routing
from landingspool.decisions import shortage
from landingspool.decisions import spill

MAX_HOPS = 1
FIRST_TOKEN_GRACE_S = 0.05


class Choice(typing.NamedTuple):
    """A request, its chosen target and the location of its context."""

    work: records.Work
    view: routing.View
    located: placement.ContextLocation


class Scheduler:
    """Scheduler of one shard.

    Parameters
    ----------
    model, domain, box : str
        Pool, and the box that the scheduler runs on.
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
        self._shortage = shortage.Shortage(started)
        self.targets = {}
        self.queue = fairness.FairQueue(policy.charge)
        self.directory = directory.Directory()
        self.active_grants = {}
        self.domains = spill.OtherDomains()
        self.rng = random.Random(f'{policy.seed}/{box}/{model}')
        self.policy_state = routing.PolicyState(self.rng.random())
        self._waiting = {}
        self._grant_count = 0
        self._estimates = cost_estimates.CostEstimates()
        self._epoch = f'{box}.{self.rng.getrandbits(40):x}'
        self._by_request = {}

    def set_members(self, members):
        """Apply the members of the live list that are in this pool.

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
        """Queue a request, spill it to another domain or refuse it.

        Parameters
        ----------
        work : records.Work
        share : fairness.Share
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Send and TimelineEvent
        """
        if work.request in self._waiting:
            return [outputs.Send(work.entry, messages.Queued(work.request))]
        if work.request in self._by_request:
            return self._resend_grant(work)
        if self.domains.take_back(work.request):
            work = work._replace(hops=0)
        usable = self._list_usable(now)
        reason, wait = self._check_admission(work, share, usable, now)
        domain = self._pick_domain(work, wait, reason, usable, now)
        if domain:
            return [spill.make_spill(work, domain)]
        if reason:
            refused = [work] if reason == 'no_target' else []
            notes = shortage.explain(self, refused, now)
            return [*notes, self._refuse(work, reason, wait)]
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
        """Grant free slots to waiting requests; return a list of Send."""
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
        """Process a returned grant and update the estimates from it."""
        active_grant = self.active_grants.pop(done.grant, None)
        if active_grant is None:
            return []
        self._by_request.pop(done.request, None)
        target = self.targets.get(active_grant.target)
        computed = max(done.prompt_tokens - done.cached_tokens, 0)
        self.queue.settle(
            active_grant.work.workspace,
            active_grant.charged,
            computed,
            done.output_tokens,
        )
        if done.fetched:
            self._estimates.record_fetch(done.fetched, done.fetch_s)
        if done.outcome == 'ok':
            self._estimates.record_compute(computed)
        if target is not None:
            target.end_grant(done.grant, now)
            grant_outcomes.apply(
                target, self.directory, active_grant, done, now
            )
        return self.place(now)

    def withdraw(self, request):
        """Remove a request that its entry box has withdrawn."""
        row = self._waiting.pop(request, None)
        if row is not None:
            self.queue.remove(row.work.workspace, request)

    def adopt(self, announce, get_share, now):
        """Adopt the grants and waiting requests of an entry box.

        A scheduler that has just started gets its state this way.  The leases
        of the grants are renewed as well.  Return the number of renewed grants
        that are unknown here.
        """
        lease = self.policy.grant_lease_s
        unknown = 0
        for grant in announce.renewed:
            active_grant = self.active_grants.get(grant)
            if active_grant is None:
                unknown += 1
            else:
                self._set_grant(active_grant._replace(until=now + lease))
        for held in announce.held:
            if held.grant not in self.active_grants:
                self._adopt_grant(held, now)
        for work in announce.waiting:
            if not self._is_known(work.request):
                self.queue.push(work, get_share(work.workspace))
                row = records.Waiting(work, now - work.waited, now + work.left)
                self._waiting[work.request] = row
        return unknown

    def report(self, report, now):
        """Record a load report; return a list of TimelineEvent."""
        target = self.targets.get(report.target)
        if target is None:
            return []
        leaving = target.is_leaving()
        before = target.get_cache_identity()
        target.record_report(report, now)
        if target.get_cache_identity() != before:
            self.directory.forget_target(report.target)
        if target.is_leaving() and not leaving:
            fields = {'target': report.target, 'source': 'report'}
            return [outputs.TimelineEvent('leaving', fields)]
        return []

    def resume(self, seconds, now):
        """Extend the leases of grants by a stall of `seconds`.

        After a stall, reports are too old even if the targets are healthy,
        and entry boxes may have sent renewals during it.
        """
        self._shortage.resume(now)
        for active_grant in list(self.active_grants.values()):
            until = active_grant.until + seconds
            self._set_grant(active_grant._replace(until=until))

    def apply_cache_events(self, name, events, gap):
        """Apply cache events of a target; a gap invalidates earlier ones."""
        if gap:
            self.directory.record_gap(name)
        for event in events:
            if event.kind == 'removed':
                self.directory.record_evicted(name, [event.piece])
            else:
                self.directory.record_cached(name, [event.piece])

    def tick(self, now):
        """Expire grants, and refuse requests that cannot be served any more.

        Return a list of Send and a list of TimelineEvent.
        """
        self._estimates.recover()
        self.domains.expire(now)
        notes = self._expire_grants(now)
        sends = self._refuse_overdue(now)
        sends += self.place(now)
        more, refused = self._spill_or_refuse_waiting(now)
        notes += shortage.explain(self, refused, now)
        return sends + more, notes

    def summarize(self, now):
        """Return the summary of this pool for the other domains."""
        usable = self._list_usable(now)
        free = sum(self._list_free(usable, now).values())
        prefill = sum(t.report.prefill / t.slowness for t in usable)
        delay = self._estimate_wait(self.queue.length, now)
        delay += self._measure_backlog(usable, now)
        return messages.Room(
            self.model, free, round(delay, 3), prefill, len(usable)
        )

    def record_room(self, domain, room, now):
        """Record another domain's summary of its pool."""
        self.domains.record_summary(domain, room, now)

    def count_waiting(self):
        """Return the number of requests in the queue."""
        return self.queue.length

    def _resend_grant(self, work):
        # The answer to an Ask was lost with its link.  The same grant is
        # sent again, never a second one.
        active_grant = self.active_grants[self._by_request[work.request]]
        if active_grant.message is None:
            return []
        return [outputs.Send(work.entry, active_grant.message)]

    def _is_known(self, request):
        return request in self._waiting or request in self._by_request

    def _check_admission(self, work, share, usable, now):
        # Returns the reason to refuse, or '', and the expected wait.
        if not usable:
            reason = '' if self._is_settling(now) else 'no_target'
            return reason, shortage.SETTLE_S
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
        rate = pool.compute_request_rate(
            usable, self._estimates.compute_tokens
        )
        return ahead / rate if rate else shortage.SETTLE_S

    def _pick_domain(self, work, wait, reason, usable, now):
        if work.hops >= MAX_HOPS:
            return ''
        local_s = float('inf')
        if not reason:
            backlog = self._measure_backlog(usable, now)
            if wait + backlog < spill.MARGIN_S:
                return ''
            local_s = wait + self._estimate_first(work, usable, now)
        return self.domains.pick(work, local_s, now)

    def _measure_backlog(self, usable, now):
        """Return the least backlog in seconds of a target with a slot."""
        free = self._list_free(usable, now)
        return min((t.measure_backlog_s() for t in free), default=0.0)

    def _estimate_first(self, work, usable, now):
        """Estimate the seconds to the first token at the best target."""
        free = self._list_free(usable, now) or {t: 1 for t in usable}
        views = self._make_views(work, free)[0]
        return min(
            (routing.estimate_first_token(work, view) for view in views),
            default=shortage.SETTLE_S,
        )

    def _list_usable(self, now):
        return [t for t in self.targets.values() if t.is_usable(now)]

    def _list_free(self, usable, now):
        return pool.list_free(usable, self.policy.backlog_s, now)

    def _take_next(self, usable, now):
        """Choose the next request and its target; return a Choice or None."""
        free = self._list_free(usable, now)
        if not free:
            return None
        work = self.queue.pop()
        del self._waiting[work.request]
        views, locations = self._make_views(work, free)
        view = routing.choose(
            self.policy.routing, work, views, self.policy_state
        )
        version = self.targets[view.target].report.version
        return Choice(work, view, locations[version])

    def _make_views(self, work, free):
        """Return views of targets, and context locations by version."""
        fetch_s_per_block = (
            self._estimates.fetch_s_per_block + self.policy.link_price_s
        )
        locations = {}
        views = []
        for target, count in free.items():
            version = target.report.version
            if version not in locations:
                located = placement.locate_context(
                    self.directory, work, version
                )
                locations[version] = located
            view = placement.make_view(
                target,
                self.directory,
                locations[version],
                count,
                fetch_s_per_block,
            )
            views.append(view)
        return views, locations

    def _grant(self, choice, now):
        work, view, located = choice
        target = self.targets[view.target]
        self._grant_count += 1
        grant = f'{self._epoch}.{self._grant_count}'
        fetch = placement.list_blocks_to_fetch(work, view, located)
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
        active_grant = pool.ActiveGrant(
            grant,
            work,
            view.target,
            now,
            now + self.policy.grant_lease_s,
            self.queue.reserve(work.workspace, compute),
            compute,
            located.keys,
            message,
        )
        self._set_grant(active_grant)
        self.directory.record_cached(view.target, located.keys)
        return outputs.Send(work.entry, message)

    def _set_grant(self, active_grant):
        self.active_grants[active_grant.grant] = active_grant
        self._by_request[active_grant.work.request] = active_grant.grant
        if active_grant.target in self.targets:
            self.targets[active_grant.target].add_grant(active_grant)

    def _adopt_grant(self, held, now):
        charged = self.queue.reserve(held.work.workspace, 0)
        active_grant = pool.ActiveGrant(
            held.grant,
            held.work,
            held.target,
            now - held.work.waited,
            now + self.policy.grant_lease_s,
            charged,
            0,
            (),
        )
        self._set_grant(active_grant)

    def _refuse(self, work, reason, wait):
        after = retries.spread_retry_after(wait, self.rng)
        refuse = messages.Refuse(work.request, reason, after)
        return outputs.Send(work.entry, refuse)

    def _refuse_overdue(self, now):
        # A request that can no longer meet its deadline is refused now, not
        # when the deadline expires.
        sends = []
        for row in list(self._waiting.values()):
            if now <= row.deadline - FIRST_TOKEN_GRACE_S:
                continue
            self.withdraw(row.work.request)
            wait = self._estimate_wait(self.queue.length, now)
            sends.append(self._refuse(row.work, 'deadline', wait))
        return sends

    def _spill_or_refuse_waiting(self, now):
        """Answer waiting requests if no target is usable.

        Each is sent to another domain as soon as one is known, and refused
        if the shortage has lasted.  Return the answers and the refused work.
        """
        usable = self._list_usable(now)
        lasted = self._shortage.has_lasted(usable, self._is_settling(now), now)
        sends, refused = [], []
        for row in [] if usable else [*self._waiting.values()]:
            answer = self._spill_or_refuse(row, lasted, now)
            if answer is not None:
                sends.append(answer)
                if isinstance(answer.message, messages.Refuse):
                    refused.append(row.work)
        return sends, refused

    def _spill_or_refuse(self, row, lasted, now):
        """Return the answer to a waiting request, or None if it waits on."""
        waited, left = now - row.arrived, row.deadline - now
        work = row.work._replace(waited=waited, left=left)
        reason = 'no_target' if lasted else ''
        wait = shortage.SETTLE_S
        domain = self._pick_domain(work, wait, reason, [], now)
        if not domain and not lasted:
            return None
        self.withdraw(work.request)
        if domain:
            return spill.make_spill(work, domain)
        return self._refuse(work, reason, wait)

    def _is_settling(self, now):
        return self._shortage.is_settling(
            self.targets.values(), self.domains, now
        )

    def _expire_grants(self, now):
        notes = []
        for active_grant in list(self.active_grants.values()):
            if now < active_grant.until:
                continue
            self.active_grants.pop(active_grant.grant)
            self._by_request.pop(active_grant.work.request, None)
            self.queue.settle(
                active_grant.work.workspace, active_grant.charged, 0, 0
            )
            target = self.targets.get(active_grant.target)
            if target is not None:
                target.end_grant(active_grant.grant, now)
            fields = {
                'request': active_grant.work.request,
                'target': active_grant.target,
            }
            notes.append(outputs.TimelineEvent('lapsed', fields))
        return notes
