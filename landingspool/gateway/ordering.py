"""Order targets to load newly published versions of weights.

Any box may give orders, but only one does so at a time: the one whose claim
is in the platform's store.  All boxes follow the claims, since these name the
targets that load.  A claim is written only while some target is behind.
"""

import asyncio
import collections
import itertools
import math

from landingspool.decisions.gateway import ballots
from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import order_claims
from landingspool.decisions.gateway import rollouts
from landingspool.decisions import timing
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import runners
from landingspool.platform import store as store_module
from landingspool import supervisor

# Period at which the versions of the targets are checked, seconds.
CHECK_PERIOD_S = 0.1
# Period at which a target's report is read while it drains or loads, seconds.
REPORT_PERIOD_S = 0.2
# Stalls of this process during which the store may have gone, lost a claim
# and come back, seconds.
LONG_STALL_S = 1.0
# Seconds between two reads of the store to end an interruption.
CONFIRM_PERIOD_S = 0.5
# Times that one target may refuse higher and higher fences until its word
# keeps orders from the others no more.
MAX_REFUSALS = 10
# Below that of any claim.
NO_RANK = 0, -1


class Orderer:
    """Give orders while this box holds the claim.

    Parameters
    ----------
    hub
        The box's parts.

    Attributes
    ----------
    watch : order_claims.ClaimWatch
        Receives every claim that is read.
    """

    def __init__(self, hub):
        self._hub = hub
        self.watch = order_claims.ClaimWatch(
            hub.deployment.bounds.lease_s, hub.deployment.first_start
        )
        self._number = ballots.number_box(hub.deployment.callers.host)
        self._lease = None
        # The ballot of the next claim, as long as no other box has claimed.
        self._ballot = 0
        self._confirmed_at = -math.inf
        # Orders that were refused for their fences, by target.
        self._refusals = collections.Counter()
        self._claimed_loading = ()
        # Rank of the newest claim whose orders this box knows, and whether
        # this process has tried to claim.
        self._known_rank = NO_RANK
        self._has_claimed = False
        # How long the claim has been needed without a holder.
        self._unclaimed = timing.RunningTime(CHECK_PERIOD_S)
        self._rollouts = {}
        hub.rollbacks.subscribe(names.CLAIMS_TOPIC, self._roll_back)
        hub.timer.subscribe_stall(self._interrupt)

    async def run(self):
        """Give orders until cancelled.

        After an error this box claims anew before it gives further orders.
        What it has ordered stays known.
        """
        self._drop_claim('started again')
        if self._number is None:
            self._hub.recorder.record(
                'no_orders', reason='no IPv4 address of its own'
            )
            return
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            behind = self._list_behind()
            if not behind and not self._claimed_loading:
                self._unclaimed.restart()
                continue
            if not await self._may_hold():
                continue
            self._take_over(behind)
            orders = self._plan_orders(behind)
            if await self._may_send(orders):
                self._send_orders(orders)
            else:
                self._cancel(orders)

    async def _may_send(self, orders):
        """Return whether planned orders may be given; cancel them if not."""
        try:
            return await self._renew_claim(self._list_loading(), orders)
        except Exception:
            self._cancel(orders)
            raise

    def _list_behind(self):
        view = self._hub.view
        rows = []
        for model, named in view.weights.named.items():
            targets = {
                entry.name: view.fleet.get_version(entry.name, model) or 0
                for entry in view.list_loadable(model)
            }
            if model in self._rollouts:
                self._rollouts[model].forget(targets, self._hub.clock())
            if rollouts.is_needed(named.version, targets):
                rows.append((model, named.version, targets))
        return rows

    async def _may_hold(self):
        now = self._hub.clock()
        if self._hub.view.partition.is_on:
            # Other boxes reach the targets; they claim once this one's claim
            # has expired.
            self._drop_claim('no target can be reached')
            self._unclaimed.restart()
            return False
        box = self._hub.deployment.box
        if order_claims.is_held(self._lease, now):
            if not self.watch.is_overtaken(box, self._lease):
                return True
            self._drop_claim('another box has claimed')
        if self.watch.end is None:
            return False
        if not await self._is_free(now):
            self._unclaimed.restart()
            return False
        return self.watch.is_last_holder(box) or await self._is_turn(now)

    async def _is_free(self, now):
        """Return whether no other box can have a valid claim."""
        if not self.watch.may_claim(self._hub.deployment.box, now):
            return False
        is_due = now - self._confirmed_at >= CONFIRM_PERIOD_S
        if self.watch.is_interrupted and is_due:
            self._confirmed_at = now
            await self._hub.claims.confirm()
        self._hub.peering.read_arrived()
        if self._hub.peering.has_older_orderers():
            # Its fences would be lower than those of this build.
            return False
        told = self._hub.view.ballots
        if self.watch.is_settled(told, now):
            return True
        if not self.watch.is_settled(told, now, are_all_heard=True):
            return False
        return self._hub.peering.ballot_inquiry.ask(self.watch.resumed_at, now)

    async def _is_turn(self, now):
        """Return whether the boxes before this one had time to claim."""
        unclaimed_s = self._unclaimed.advance(now)
        rank = self._hub.peering.get_rank(CLAIM_KEY)
        if unclaimed_s < order_claims.compute_claim_delay(rank):
            return False
        return not rank or await self._is_unclaimed()

    async def _is_unclaimed(self):
        """Return whether the store has no claim that is unknown here.

        A slow store delays both the claims of other boxes and the reads that
        would show them.
        """
        end, rollbacks = self.watch.end, self.watch.rollbacks
        reply = await self._hub.store.read(names.CLAIMS_TOPIC, end, 0.0)
        if self.watch.rollbacks != rollbacks:
            return False
        if isinstance(reply, store_module.RolledBack):
            self._hub.rollbacks.report(reply)
        is_known = isinstance(reply, store_module.Page) and reply.end == end
        return is_known and self.watch.end == end

    async def _renew_claim(self, loading, orders):
        """Renew the claim if needed; return whether orders may be given.

        The claim is written again before it expires, and whenever the set of
        loading targets changes or there are orders, so that all boxes know
        these before the orders.
        """
        now = self._hub.clock()
        is_held = order_claims.is_held(self._lease, now)
        is_recent = is_held and order_claims.is_recent(self._lease, now)
        is_told = tuple(loading) == self._claimed_loading and not orders
        if is_recent and is_told:
            return True
        if not await self._claim(loading):
            return False
        return order_claims.is_held(self._lease, self._hub.clock())

    async def _claim(self, loading):
        self._has_claimed = True
        ballot, end = self._pick_ballot(), self.watch.end
        rollbacks = self.watch.rollbacks
        value = catalogue.write_claim(
            self._hub.deployment.box,
            loading,
            self._hub.view.weights.list_versions(self._hub.clock()),
            self._hub.wall(),
            self._list_given(),
            ballot,
        )
        with self._hub.view.ballots.trying(ballot):
            reply = await self._hub.store.append(
                names.CLAIMS_TOPIC, CLAIM_KEY, value, end
            )
        if self.watch.rollbacks != rollbacks:
            # The answer is that of a log which has lost this claim.
            return False
        if isinstance(reply, store_module.Appended):
            self._record_claimed(ballot, reply, loading)
            return True
        if isinstance(reply, store_module.Conflict):
            # Another box has appended, so the claim of this one is void.
            self._drop_claim('another box wrote a claim')
        if isinstance(reply, store_module.RolledBack):
            self._hub.rollbacks.report(reply)
        return False

    def _pick_ballot(self):
        """Return the ballot of a claim: the same one while it is renewed."""
        now, told = self._hub.clock(), self._hub.view.ballots
        if order_claims.is_held(self._lease, now):
            return self._lease.ballot
        # It has expired, which is no loss of the claim.
        self._lease = None
        if self._ballot <= told.claimed:
            self._ballot = told.pick(self._number)
        return self._ballot

    def _record_claimed(self, ballot, reply, loading):
        """Record that this box holds the claim that it has appended."""
        now = self._hub.clock()
        if self._lease is None:
            former = self.watch.claim
            self._hub.recorder.record(
                'holding',
                fence=ballot,
                round=ballots.get_round(ballot),
                at=reply.offset,
                former=former.holder if former else '',
                former_fence=former.ballot if former else None,
            )
        self.watch.end = reply.offset + 1
        self._lease = order_claims.Lease(
            ballot,
            reply.sent,
            self._hub.deployment.bounds.lease_s,
            reply.offset,
        )
        self._hub.view.ballots.record_claimed(ballot, now)
        self._known_rank = ballot, reply.offset
        self._claimed_loading = tuple(loading)
        self._hub.view.loading.put(loading, now)

    def _roll_back(self, rollback):
        """Drop the claim: the log that granted it has lost claims."""
        now = self._hub.clock()
        self._drop_claim('the claims were rolled back')
        self._known_rank = NO_RANK
        self.watch.roll_back(now)
        self._hub.view.ballots.tell_again(now)

    def _interrupt(self, stall):
        """Record a stall in which a claim may have been made and lost."""
        if stall.seconds >= LONG_STALL_S:
            self.watch.interrupt(stall.now)

    def _drop_claim(self, reason):
        if self._lease is not None:
            self._hub.recorder.record('lease_lost', reason=reason)
        self._lease = None
        self._claimed_loading = ()

    def _take_over(self, behind):
        """Adopt the orders of the former holder, and follow their targets.

        They may be those of this box, before it was started again; what this
        process has claimed itself it knows better.
        """
        now = self._hub.clock()
        claim = self.watch.claim
        if order_claims.is_held(self._lease, now) or claim is None:
            return
        is_own = self._has_claimed and claim.holder == self._hub.deployment.box
        if is_own or claim.rank <= self._known_rank:
            return
        self._known_rank = claim.rank
        for model, version, targets in behind:
            rollout = self._rollouts.setdefault(model, rollouts.Rollout())
            for order in rollout.take_over(
                claim, model, version, targets, self.watch.written, now
            ):
                entry = self._hub.view.fleet.entries[order.target]
                number = rollout.get_number(order.target)
                self._hub.supervisor.spawn(
                    'order', self._wait(rollout, entry, order, number)
                )

    def _plan_orders(self, behind):
        now = self._hub.clock()
        orders = []
        for model, version, targets in behind:
            rollout = self._rollouts.setdefault(model, rollouts.Rollout())
            seconds_left = {
                name: self._hub.view.get_time_left(name, model, now)
                for name, loaded in targets.items()
                if loaded < version
            }
            for order in rollout.plan_by_deadline(
                model, version, targets, seconds_left, now
            ):
                rollout.prepare(order, now)
                orders.append(order)
        return orders

    def _list_loading(self):
        now = self._hub.clock()
        loading = {}
        for rollout in self._rollouts.values():
            loading.update(rollout.list_loading(now))
        return loading

    def _list_given(self):
        now = self._hub.clock()
        rows = [r.list_given(now) for r in self._rollouts.values()]
        return list(itertools.chain.from_iterable(rows))

    def _cancel(self, orders):
        for order in orders:
            self._rollouts[order.model].withdraw(order)

    def _send_orders(self, orders):
        for order in orders:
            rollout = self._rollouts[order.model]
            self._hub.supervisor.spawn(
                'order', self._update_target(rollout, order)
            )

    async def _update_target(self, rollout, order):
        """Have one target load the version, as far as it answers."""
        entry = self._hub.view.fleet.entries.get(order.target)
        if entry is None:
            rollout.finish(order.target)
            return
        began = self._hub.clock()
        number = rollout.get_number(order.target)
        left_s = self._hub.view.get_time_left(order.target, order.model, began)
        if rollout.needs_closing(order.target, left_s):
            report = await self._drain(entry, order)
        else:
            report = await self._read_report(entry, order)
        if isinstance(report, runners.Unanswered) or self._has(report, order):
            rollout.record(order, self._hub.clock(), rollouts.REFUSED)
        elif report.busy:
            rollout.take_report(order.target, True, self._hub.clock())
        else:
            state = await self._send(entry, order, report, began)
            rollout.record(order, self._hub.clock(), state)
        await self._wait(rollout, entry, order, number)

    async def _drain(self, entry, order):
        """Wait until a target is nearly idle; return its last report.

        An ordered target refuses the requests that it hasn't begun.  All boxes
        send it fewer requests since the claim, so it is soon idle.
        """
        deadline = self._hub.clock() + rollouts.CLOSING_S
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            report = await self._read_report(entry, order)
            if isinstance(report, runners.Unanswered):
                return report
            idle = not report.waiting and not report.running
            if idle or self._hub.clock() >= deadline:
                return report

    async def _send(self, entry, order, report, began):
        if not order_claims.is_held(self._lease, self._hub.clock()):
            return rollouts.REFUSED
        if not self._hub.timer.ran_since(began):
            # What was planned before a stall of this process is void.
            return rollouts.REFUSED
        if not self._hub.view.may_call(entry.name, self._hub.clock()):
            # The target may have asked for a back-off since the planning.
            return rollouts.REFUSED
        fence = self._lease.ballot
        reply = await self._try_order(entry, order, report.orders, fence)
        self._hub.metrics.orders.labels(type(reply).__name__).inc()
        self._hub.recorder.record(
            'ordered',
            target=order.target,
            version=order.version,
            taken=report.orders,
            fence=fence,
            outcome=str(reply),
        )
        self._judge_fence(order.target, fence, reply)
        return STATES[type(reply)]

    def _judge_fence(self, target, fence, reply):
        """Drop the claim if a target has seen a higher fence.

        Another box has a claim that this one has not read, and that may be
        valid.
        """
        if isinstance(reply, runners.Taken):
            self._hub.view.ballots.record_taken()
            self._refusals.pop(target, None)
        if not isinstance(reply, runners.Refused) or not reply.fenced:
            return
        self._refusals[target] += 1
        if self._refusals[target] > MAX_REFUSALS:
            return
        self._hub.view.ballots.record_refused(fence)
        self.watch.suspect(self._hub.clock())
        self._drop_claim('fenced')

    async def _try_order(self, entry, order, taken, fence):
        """Give an order; after an error it may have been taken."""
        try:
            return await self._hub.runners.order(
                entry.address, order, taken, self._hub.deployment.box, fence
            )
        except Exception as error:
            self._hub.supervisor.report('order', error, target=entry.name)
            return runners.Unanswered(supervisor.describe(error), True)

    async def _wait(self, rollout, entry, order, number):
        """Follow a target until it has the version or gets another order."""
        box = self._hub.deployment.box
        while rollout.is_open(order.target, number):
            if not self.watch.may_claim(box, self._hub.clock()):
                # Another box gives the orders now.
                return
            await asyncio.sleep(REPORT_PERIOD_S)
            report = await self._read_report(entry, order)
            if isinstance(report, runners.Unanswered):
                continue
            if self._has(report, order):
                rollout.finish(order.target)
                self._hub.view.loading.end(order.target)
                return
            rollout.take_report(order.target, report.busy, self._hub.clock())

    async def _read_report(self, entry, order):
        """Read a target's report; an error counts as no answer."""
        try:
            return await self._fetch_report(entry, order)
        except Exception as error:
            self._hub.supervisor.report('order', error, target=entry.name)
            return runners.Unanswered(supervisor.describe(error), True)

    async def _fetch_report(self, entry, order):
        if not self._hub.view.may_call(entry.name, self._hub.clock()):
            return runners.Unanswered(
                'calls to the target are excluded', False
            )
        report = await self._hub.runners.report(entry.address)
        if isinstance(report, runners.Unanswered) and not report.sent:
            self._hub.prober.record_failed(entry.name, report.reason)
        if isinstance(report, runners.Report):
            if report.is_other_incarnation(
                fleet.parse_incarnation(entry.name)
            ):
                return runners.Unanswered('the target has restarted', True)
            version = report.versions.get(order.model)
            if version is not None:
                self._hub.view.fleet.record_version(
                    entry.name, order.model, version
                )
        return report

    def _has(self, report, order):
        return report.versions.get(order.model, 0) >= order.version


CLAIM_KEY = 'orders'
STATES = {
    runners.Taken: rollouts.ACCEPTED,
    runners.Refused: rollouts.REFUSED,
    runners.Unanswered: rollouts.UNANSWERED,
}
