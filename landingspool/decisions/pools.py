"""Pools that one box schedules, with their exports and rollouts.

Each pool has a scheduler, a planner that exports its cached context to the
stores, a rollout of weight versions, and a lease on sending orders to its
targets.
"""

from landingspool.decisions import kv_offload
from landingspool.decisions import messages
from landingspool.decisions import outputs
from landingspool.decisions import ownership
from landingspool.decisions import rollout
from landingspool.decisions import scheduler
from landingspool.decisions import spill

IDLE_TIMEOUT_S = 30.0
# Boxes of each shard that receive the summaries of other domains: its
# scheduler, and the box that takes over if that fails.
SUMMARY_RECEIVERS = 2


class Pools:
    """Pools scheduled by one box.

    Parameters
    ----------
    box, incarnation, domain : str
    roster : roster.Roster
    policy : policies.Policy
    retention : str
        Name of the retention policy.
    """

    def __init__(self, box, incarnation, domain, roster, policy, retention):
        self.box = box
        self.domain = domain
        self.schedulers = {}
        self.offload_planners = {}
        self.holders = {}
        self._writer = f'{box}.{incarnation}'
        self._roster = roster
        self._policy = policy
        self._retention = retention
        self._rollouts = {}
        self._domains = {}

    def open(self, pool, now):
        """Return the scheduler of a shard, creating it if necessary."""
        pool_scheduler = self.schedulers.get(pool)
        if pool_scheduler is None:
            model, domain, _ = ownership.split_pool(pool)
            pool_scheduler = scheduler.Scheduler(
                model, domain, self.box, self._policy, now
            )
            pool_scheduler.domains = self._open_domains(model)
            self._update_members(pool, pool_scheduler)
            self.schedulers[pool] = pool_scheduler
            self._rollouts[pool] = rollout.Rollout()
            self.offload_planners[pool] = kv_offload.OffloadPlanner(
                self._writer, self._retention
            )
        return pool_scheduler

    def tick(self, table, now):
        """Run the periodic work of all pools; return a list of actions."""
        # The owner opens a pool before the first request, so that other
        # domains receive a summary of its free capacity.
        for pool in self._roster.list_owned():
            self.open(pool, now)
        actions = []
        for pool, pool_scheduler in list(self.schedulers.items()):
            sends, notes = pool_scheduler.tick(now)
            actions += [*sends, *notes]
            if self._roster.get_owner(pool, pool_scheduler.domain) == self.box:
                actions += self._plan_orders(pool, pool_scheduler, table, now)
            else:
                self._retire(pool, pool_scheduler, now)
        return actions

    def resume(self, seconds, now):
        """Extend leases and summaries by a stall of `seconds`."""
        for pool_scheduler in self.schedulers.values():
            pool_scheduler.resume(seconds, now)
        for domains in self._domains.values():
            domains.resume(seconds)

    def set_members(self):
        """Apply a changed live list."""
        for pool, pool_scheduler in self.schedulers.items():
            self._update_members(pool, pool_scheduler)

    def set_stores(self, contents, now):
        """Apply the contents of the stores; return a list of actions.

        Parameters
        ----------
        contents : dict of str to stores.client.Contents
            By store, without the stores that did not answer.
        """
        pools = max(self._roster.count_target_shards(), 1)
        capacities = {
            name: found.room // pools for name, found in contents.items()
        }
        actions = []
        for pool, offload_planner in self.offload_planners.items():
            offload_planner.set_stores(capacities)
            offers = self.schedulers[pool].directory
            for found in contents.values():
                rows = [row for name, row in found.rows if name == pool]
                actions += offload_planner.adopt(rows, offers, now)
        return actions

    def report(self, report, now):
        """Record a load report; return a list of actions."""
        actions = []
        for pool_scheduler in self.schedulers.values():
            actions += pool_scheduler.report(report, now)
        return actions

    def mark_leaving(self, target, incarnation):
        """Exclude an incarnation of a target from new requests."""
        for pool_scheduler in self.schedulers.values():
            if target in pool_scheduler.targets:
                pool_scheduler.targets[target].mark_leaving(incarnation)

    def list_polled(self):
        """List the targets whose load reports this box polls."""
        found = {
            name: target.member
            for pool_scheduler in self.schedulers.values()
            for name, target in pool_scheduler.targets.items()
        }
        return list(found.values())

    def is_busy(self, target):
        """Return whether a target has grants of this box or no report yet."""
        for pool_scheduler in self.schedulers.values():
            known = pool_scheduler.targets.get(target)
            if known is not None and (
                known.active_grants or known.report is None
            ):
                return True
        return False

    def may_order(self, command, now):
        """Return whether this box may still send an order of a pool."""
        holder = self.holders.get(command.pool)
        if holder is None:
            return False
        return rollout.may_order(holder, command.member.checks_fences, now)

    def finish(self, done, shares, now):
        """Process a returned grant; export context worth storing."""
        pool_scheduler = self.schedulers.get(done.pool)
        if pool_scheduler is None:
            return []
        active_grant = pool_scheduler.active_grants.get(done.grant)
        actions = pool_scheduler.finish(done, now)
        if done.outcome != 'ok' or active_grant is None:
            return actions
        target = pool_scheduler.targets.get(active_grant.target)
        offload_planner = self.offload_planners[done.pool]
        more = offload_planner.plan(
            active_grant, target, pool_scheduler.directory, shares, now
        )
        return [*actions, *more]

    def end_export(self, export, block, shares, now):
        """Process the result of an export; return a list of actions.

        Parameters
        ----------
        export : kv_offload.Export
        block : records.Block or None
            The sealed block; None if the write failed.
        shares : dict of str to float
        now : float
        """
        pool_scheduler = self.schedulers.get(export.pool)
        if pool_scheduler is None:
            return []
        offload_planner = self.offload_planners[export.pool]
        if block is None:
            actions = offload_planner.failed(export.key, export.store, now)
        else:
            actions = offload_planner.sealed(
                export.key, block, pool_scheduler.directory, export.workspace
            )
        return [
            *actions,
            *offload_planner.work(pool_scheduler.directory, shares, now),
        ]

    def drop_blocks(self, pool, keys):
        """Withdraw blocks that failed their check, permanently.

        Their writes are freed and never offered again: the store may derive
        its current answers about them from the corrupt bytes.
        """
        pool_scheduler = self.schedulers.get(pool)
        if pool_scheduler is None:
            return []
        found = [pool_scheduler.directory.get_stored(key) for key in keys]
        pool_scheduler.directory.record_freed(keys)
        failed = [stored.block for stored in found if stored is not None]
        return self.offload_planners[pool].reject(failed)

    def record_summary(self, summary, now):
        """Record a summary from another domain."""
        for room in summary.rooms:
            domains = self._open_domains(room.model)
            domains.record_summary(summary.domain, room, now)

    def summarize(self, now):
        """Send summaries of pools with targets to the other domains."""
        actions = []
        for pool_scheduler in self.schedulers.values():
            room = pool_scheduler.summarize(now)
            if not room.targets:
                continue
            summary = messages.Summary(self.domain, (room,))
            for domain in self._roster.list_domains():
                if domain != self.domain:
                    actions += self._send_summary(summary, room.model, domain)
        return actions

    def _update_members(self, pool, pool_scheduler):
        pool_scheduler.set_members(self._roster.list_targets(pool))
        listed = self._roster.list_other_domains(pool_scheduler.model)
        pool_scheduler.domains.set_listed(listed)

    def _open_domains(self, model):
        return self._domains.setdefault(model, spill.OtherDomains())

    def _send_summary(self, summary, model, domain):
        view = self._roster.view(domain)
        boxes = {
            box
            for pool in self._roster.list_shards(model, domain)
            for box in ownership.rank(pool, view)[:SUMMARY_RECEIVERS]
        }
        return [outputs.Send(box, summary) for box in sorted(boxes)]

    def _plan_orders(self, pool, pool_scheduler, table, now):
        holder = self.holders.get(pool)
        if holder is None:
            self.holders[pool] = rollout.take_over(now)
        else:
            self.holders[pool] = rollout.renew(holder, now)
        orders = self._rollouts[pool].plan(
            table.versions.get(pool_scheduler.model, ''),
            table.offset,
            list(pool_scheduler.targets.values()),
            self.holders[pool],
            now,
        )
        return [
            outputs.Command(
                order, pool_scheduler.targets[order.target].member, pool
            )
            for order in orders
        ]

    def _retire(self, pool, pool_scheduler, now):
        # Another box sends the orders now.  If the pool returns to this box,
        # it waits for the lease like any successor.
        self.holders.pop(pool, None)
        idle = (
            not pool_scheduler.active_grants
            and not pool_scheduler.count_waiting()
        )
        if idle and now - pool_scheduler.started > IDLE_TIMEOUT_S:
            del self.schedulers[pool]
            del self._rollouts[pool]
            del self.offload_planners[pool]
