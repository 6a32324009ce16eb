"""Gives the orders that bring targets to newly named weights.

Any box may do it, one at a time does: the one whose claim stands in the
platform's store.  All boxes follow the claims, since these tell which
targets load; a claim is written only while some target is behind.
"""

import asyncio

from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import rollouts
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import runners
from landingspool.platform import store as store_module

# Period of the looks while targets are behind, seconds.
LOOK_S = 0.1
# Period of the reports that are asked for while a target loads, seconds.
REPORT_S = 0.2


class Orderer:
    """Gives orders while this box holds the claim.

    Parameters
    ----------
    hub
        The box's parts.

    Attributes
    ----------
    watch : rollouts.ClaimWatch
        Told of every claim that is read.
    """

    def __init__(self, hub):
        self._hub = hub
        self.watch = rollouts.ClaimWatch(hub.deployment.bounds.lease_s)
        self._lease = None
        self._told = ()
        # Since when the right is wanted and nobody holds it.
        self._free_since = None
        self._rollouts = {}
        self._tasks = set()

    async def run(self):
        """Order until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            behind = self._list_behind()
            if not behind and not self._told:
                self._free_since = None
                continue
            if not self._may_hold():
                continue
            orders = self._plan(behind)
            if await self._hold(self._list_loading()):
                self._give(orders)
            else:
                self._withdraw(orders)

    def _list_behind(self):
        view = self._hub.view
        rows = []
        for model, named in view.weights.named.items():
            targets = {
                entry.name: view.fleet.get_version(entry.name, model) or 0
                for entry in view.list_loadable(model)
            }
            if rollouts.is_needed(named.version, targets):
                rows.append((model, named.version, targets))
        return rows

    def _may_hold(self):
        now = self._hub.clock()
        if rollouts.is_held(self._lease, now):
            return True
        if self.watch.end is None:
            return False
        box = self._hub.deployment.box
        if not self.watch.may_claim(box, now):
            self._free_since = None
            return False
        return self.watch.is_last_holder(box) or self._is_turn(now)

    def _is_turn(self, now):
        """Tell whether the boxes before this one had time to claim."""
        if self._free_since is None:
            self._free_since = now
        deployment = self._hub.peering.get_rank(CLAIM_KEY)
        return now - self._free_since >= rollouts.compute_claim_delay(
            deployment
        )

    async def _hold(self, loading):
        """Make the claim good; tells whether orders may be given.

        It is written again when it grows old, and whenever the targets
        change that load, so that all boxes hear of these first.
        """
        now = self._hub.clock()
        held = rollouts.is_held(self._lease, now)
        young = held and rollouts.is_recent(self._lease, now)
        if young and tuple(loading) == self._told:
            return True
        if not await self._claim(loading):
            return False
        return rollouts.is_held(self._lease, self._hub.clock())

    async def _claim(self, loading):
        box = self._hub.deployment.box
        value = catalogue.write_claim(box, loading)
        reply = await self._hub.store.append(
            names.CLAIMS_TOPIC, CLAIM_KEY, value, self.watch.end
        )
        if isinstance(reply, store_module.Appended):
            self.watch.end = reply.offset + 1
            if self._lease is None:
                self._hub.recorder.record('holding', fence=reply.offset)
            # The newest append is the fence: they only rise.
            self._lease = rollouts.Lease(
                reply.offset, reply.sent, self._hub.deployment.bounds.lease_s
            )
            self._told = tuple(loading)
            self._hub.view.weights.put_loading(loading, self._hub.clock())
            return True
        if isinstance(reply, store_module.Conflict):
            # Somebody else appended: what this box held is over.
            self._give_up('another holder')
        return False

    def _give_up(self, reason):
        if self._lease is not None:
            self._hub.recorder.record('lease_lost', reason=reason)
        self._lease = None
        self._told = ()

    def _plan(self, behind):
        now = self._hub.clock()
        orders = []
        for model, version, targets in behind:
            rollout = self._rollouts.setdefault(model, rollouts.Rollout())
            left = [
                self._hub.view.get_time_left(name, model, now)
                for name, has in targets.items()
                if has < version
            ]
            most = rollouts.compute_concurrency(len(targets), left)
            for order in rollout.plan(model, version, targets, most, now):
                rollout.record(order, now, rollouts.PREPARING)
                orders.append(order)
        return orders

    def _list_loading(self):
        now = self._hub.clock()
        loading = {}
        for rollout in self._rollouts.values():
            loading.update(rollout.list_loading(now))
        return loading

    def _withdraw(self, orders):
        for order in orders:
            self._rollouts[order.model].finish(order.target)

    def _give(self, orders):
        for order in orders:
            rollout = self._rollouts[order.model]
            task = asyncio.ensure_future(self._bring(rollout, order))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _bring(self, rollout, order):
        """Bring one target to the version, as far as it answers."""
        entry = self._hub.view.fleet.entries.get(order.target)
        if entry is None:
            rollout.finish(order.target)
            return
        report = await self._drain(entry, order)
        if isinstance(report, runners.Unanswered) or self._has(report, order):
            rollout.record(order, self._hub.clock(), rollouts.REFUSED)
            return
        if not report.busy:
            state = await self._send(entry, order, report)
            rollout.record(order, self._hub.clock(), state)
            if state == rollouts.REFUSED:
                return
        await self._wait(rollout, entry, order)

    async def _drain(self, entry, order):
        """Wait until a target has little left to do; the last report.

        An order makes the target refuse what has not begun.  All boxes
        send it less since the claim, so it soon has nothing.
        """
        ends = self._hub.clock() + rollouts.CLOSING_S
        while True:
            await asyncio.sleep(REPORT_S)
            report = await self._read_report(entry, order)
            if isinstance(report, runners.Unanswered):
                return report
            idle = not report.waiting and not report.running
            if idle or self._hub.clock() >= ends:
                return report

    async def _send(self, entry, order, report):
        if not rollouts.is_held(self._lease, self._hub.clock()):
            return rollouts.REFUSED
        if not self._hub.heartbeat.is_fresh(self._hub.clock()):
            return rollouts.REFUSED
        if not self._hub.view.may_call(entry.name, self._hub.clock()):
            # It may have said so since the order was planned.
            return rollouts.REFUSED
        fence = self._lease.fence
        reply = await self._hub.runners.order(
            entry.address,
            order,
            report.orders,
            self._hub.deployment.box,
            fence,
        )
        self._hub.metrics.orders.labels(type(reply).__name__).inc()
        self._hub.recorder.record(
            'ordered',
            target=order.target,
            version=order.version,
            taken=report.orders,
            fence=fence,
            outcome=str(reply),
        )
        if isinstance(reply, runners.Refused) and reply.fenced:
            # A higher fence was seen there: this one is never used again.
            self._give_up('fenced')
        return STATES[type(reply)]

    async def _wait(self, rollout, entry, order):
        while order.target in rollout.list_loading(self._hub.clock()):
            await asyncio.sleep(REPORT_S)
            report = await self._read_report(entry, order)
            if isinstance(report, runners.Unanswered):
                continue
            if self._has(report, order):
                rollout.finish(order.target)
                self._hub.view.weights.end_loading(order.target)
                return

    async def _read_report(self, entry, order):
        if not self._hub.view.may_call(entry.name, self._hub.clock()):
            return runners.Unanswered('it wants no calls', False)
        report = await self._hub.runners.report(entry.address)
        if isinstance(report, runners.Report):
            if report.is_other_incarnation(
                fleet.parse_incarnation(entry.name)
            ):
                return runners.Unanswered('it has started again', True)
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
