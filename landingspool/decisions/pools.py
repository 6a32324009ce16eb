"""The pools that one box schedules: each with its scheduler, the keeper of
its context, its rollout, and the right to give its targets orders."""

from landingspool.decisions import kv_offload
from landingspool.decisions import messages
from landingspool.decisions import outputs
from landingspool.decisions import ownership
from landingspool.decisions import rollout
from landingspool.decisions import scheduler
from landingspool.decisions import spill

IDLE_S = 30.0


class Pools:
    """What one box schedules.

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
        self.keepers = {}
        self.holders = {}
        self._writer = f'{box}.{incarnation}'
        self._roster = roster
        self._policy = policy
        self._retention = retention
        self._rollouts = {}
        self._rooms = {}

    def open(self, pool, now):
        """Give the scheduler of a shard; begins one where there is none."""
        owned = self.schedulers.get(pool)
        if owned is None:
            model, domain, _ = ownership.split_pool(pool)
            owned = scheduler.Scheduler(
                model, domain, self.box, self._policy, now
            )
            owned.set_members(self._roster.list_targets(pool))
            owned.rooms = self._rooms.setdefault(model, {})
            self.schedulers[pool] = owned
            self._rollouts[pool] = rollout.Rollout()
            self.keepers[pool] = kv_offload.Keeper(
                self._writer, self._retention
            )
        return owned

    def tick(self, table, now):
        """Do what is due in all pools; returns a list of actions."""
        # A pool is opened by its owner before the first request, so that
        # other domains hear of its room.
        for pool in self._roster.list_owned():
            self.open(pool, now)
        actions = []
        for pool, owned in list(self.schedulers.items()):
            sends, notes = owned.tick(now)
            actions += [*sends, *notes]
            if self._roster.find_owner(pool, owned.domain) == self.box:
                actions += self._plan_orders(pool, owned, table, now)
            else:
                self._retire(pool, owned, now)
        return actions

    def resume(self, seconds, now):
        """Go on after so many seconds in which this process did not run."""
        for owned in self.schedulers.values():
            owned.resume(seconds, now)
        for rooms in self._rooms.values():
            for domain, heard in rooms.items():
                rooms[domain] = heard._replace(at=heard.at + seconds)

    def set_members(self):
        """Take in a changed live list."""
        for pool, owned in self.schedulers.items():
            owned.set_members(self._roster.list_targets(pool))

    def set_stores(self, contents, now):
        """Take in what the stores hold; returns a list of actions.

        Parameters
        ----------
        contents : dict of str to stores.client.Contents
            By store; one that does not answer is left out.
        """
        pools = max(self._roster.count_target_shards(), 1)
        rooms = {name: found.room // pools for name, found in contents.items()}
        actions = []
        for pool, kept in self.keepers.items():
            kept.set_stores(rooms)
            offers = self.schedulers[pool].directory
            for found in contents.values():
                rows = [row for name, row in found.rows if name == pool]
                actions += kept.adopt(rows, offers, now)
        return actions

    def report(self, report, now):
        """Take in a load report; returns a list of actions."""
        actions = []
        for owned in self.schedulers.values():
            actions += owned.report(report, now)
        return actions

    def mark_leaving(self, target, incarnation):
        """Keep new work from an incarnation of a target."""
        for owned in self.schedulers.values():
            if target in owned.targets:
                owned.targets[target].mark_leaving(incarnation)

    def list_polled(self):
        """List the targets whose load reports this box wants."""
        found = {
            name: target.member
            for owned in self.schedulers.values()
            for name, target in owned.targets.items()
        }
        return list(found.values())

    def is_busy(self, target):
        """Tell whether a target has work of this box's schedulers."""
        for owned in self.schedulers.values():
            known = owned.targets.get(target)
            if known is not None and (
                known.active_grants or known.report is None
            ):
                return True
        return False

    def may_order(self, command, now):
        """Tell whether this box may still send an order of a pool."""
        holder = self.holders.get(command.pool)
        if holder is None:
            return False
        return rollout.may_order(holder, command.member.checks_fences, now)

    def finish(self, done, shares, now):
        """Take a place back; what is worth keeping is exported."""
        owned = self.schedulers.get(done.pool)
        if owned is None:
            return []
        flight = owned.active_grants.get(done.grant)
        actions = owned.finish(done, now)
        if done.outcome != 'ok' or flight is None:
            return actions
        target = owned.targets.get(flight.target)
        kept = self.keepers[done.pool]
        more = kept.plan(flight, target, owned.directory, shares, now)
        return [*actions, *more]

    def end_export(self, export, block, shares, now):
        """Take in what became of an export; returns a list of actions.

        Parameters
        ----------
        export : keeper.Export
        block : records.Block or None
            The sealed block; None where the write failed.
        shares : dict of str to float
        now : float
        """
        owned = self.schedulers.get(export.pool)
        if owned is None:
            return []
        kept = self.keepers[export.pool]
        if block is None:
            actions = kept.failed(export.key, export.store, now)
        else:
            actions = kept.sealed(
                export.key, block, owned.directory, export.workspace
            )
        return [*actions, *kept.work(owned.directory, shares, now)]

    def drop_blocks(self, pool, keys):
        """Take blocks off the offer that failed their check, for good.

        Their writes are freed and never offered again: what the store says
        of them now may be made up from the very bytes that are wrong.
        """
        owned = self.schedulers.get(pool)
        if owned is None:
            return []
        found = [owned.directory.get_stored(key) for key in keys]
        owned.directory.record_freed(keys)
        failed = [stored.block for stored in found if stored is not None]
        return self.keepers[pool].reject(failed)

    def record_summary(self, summary, now):
        """Take in another domain's summary."""
        for room in summary.rooms:
            rooms = self._rooms.setdefault(room.model, {})
            rooms[summary.domain] = spill.Heard(room, now)

    def summarize(self, now):
        """Tell the other domains of the pools that have targets."""
        actions = []
        for owned in self.schedulers.values():
            room = owned.summarize(now)
            if not room.targets:
                continue
            summary = messages.Summary(self.domain, (room,))
            for domain in self._roster.list_domains():
                if domain != self.domain:
                    actions += self._send_summary(summary, room.model, domain)
        return actions

    def _send_summary(self, summary, model, domain):
        boxes = {
            self._roster.find_owner(pool, domain)
            for pool in self._roster.list_shards(model, domain)
        }
        return [outputs.Send(box, summary) for box in sorted(boxes - {None})]

    def _plan_orders(self, pool, owned, table, now):
        holder = self.holders.get(pool)
        if holder is None:
            self.holders[pool] = rollout.take_over(now)
        else:
            self.holders[pool] = rollout.renew(holder, now)
        orders = self._rollouts[pool].plan(
            table.versions.get(owned.model, ''),
            table.offset,
            list(owned.targets.values()),
            self.holders[pool],
            now,
        )
        return [
            outputs.Command(order, owned.targets[order.target].member, pool)
            for order in orders
        ]

    def _retire(self, pool, owned, now):
        # Another box gives the orders now; if the turn comes back, this
        # one waits like any successor.
        self.holders.pop(pool, None)
        idle = not owned.active_grants and not owned.count_waiting()
        if idle and now - owned.started > IDLE_S:
            del self.schedulers[pool]
            del self._rollouts[pool]
            del self.keepers[pool]
