"""All decisions of one box behind one narrow seam.

A `Node` takes typed messages with the time and returns typed actions; it
does no input or output.  The daemon carries the actions out; tests and
benches drive it in virtual time in the same way.
"""

import random
import typing

from landingspool.decisions import configuration
from landingspool.decisions import entry
from landingspool.decisions import keeper
from landingspool.decisions import limiter
from landingspool.decisions import membership
from landingspool.decisions import messages
from landingspool.decisions import ownership
from landingspool.decisions import rollout
from landingspool.decisions import roster
from landingspool.decisions import scheduler
from landingspool.decisions import spill

SUMMARY_S = 0.5
IDLE_SCHEDULER_S = 30.0

Send = scheduler.Send
Note = scheduler.Note
Decide = entry.Decide


class Command(typing.NamedTuple):
    """An order that the shell has to send to a target."""

    order: rollout.Order
    member: typing.Any
    pool: str


class Relay(typing.NamedTuple):
    """A message that is not for the core: the shell's own tasks get it."""

    sender: str
    message: typing.Any


HANDLERS = {}


def handles(*kinds):
    """Register a method of Node as the handler of message classes."""

    def add(function):
        for kind in kinds:
            HANDLERS[kind] = function
        return function

    return add


class Node:
    """The core of one box.

    Parameters
    ----------
    box, domain, incarnation : str
    policy : scheduler.Policy
    retention : str
        Name of the retention policy.
    seed : int
    """

    def __init__(
        self,
        box,
        domain,
        incarnation,
        policy=scheduler.Policy(),
        retention='value',
    ):
        self.box = box
        self.domain = domain
        self.incarnation = incarnation
        self.policy = policy
        self.retention = retention
        self.table = configuration.Table()
        self.schedulers = {}
        self.keepers = {}
        self.rollouts = {}
        self.holders = {}
        self.leaving = set()
        rng = random.Random(f'{policy.seed}/{box}/{incarnation}')
        self.membership = membership.Membership(box, incarnation, rng)
        self.roster = roster.Roster(box, domain, self.membership)
        self.limiter = limiter.Limiter(domain, box, rng)
        self.entry = entry.Entry(
            box, domain, self.roster.view, self.roster.pick_shard
        )
        self._rooms = {}
        self._summed = 0.0
        self._lent_rooms = {}

    @property
    def members(self):
        """The members of the live list by name."""
        return self.roster.members

    def handle(self, sender, message, now):
        """Handle one message; returns a list of actions."""
        handler = HANDLERS.get(type(message))
        if handler is None:
            return [Relay(sender, message)]
        return self._expand(handler(self, sender, message, now), now)

    def tick(self, now):
        """Do what is due; returns a list of actions."""
        actions = self._tick_membership(now)
        actions += self.entry.tick(now)
        self._open_owned(now)
        for name, owned in list(self.schedulers.items()):
            sends, notes = owned.tick(now)
            actions += sends + notes
            actions += self._tick_pool(name, owned, now)
        actions += self._tick_limiter(now)
        if now - self._summed >= SUMMARY_S:
            self._summed = now
            actions += self._summarize(now)
        return self._expand(actions, now)

    def set_table(self, table):
        """Put a newer table in force; an older one changes nothing."""
        if table.offset > self.table.offset:
            self.table = table

    def set_live(self, members, now):
        """Take in the live list; returns a list of actions."""
        if not self.roster.set_live(members):
            return []
        boxes = self.roster.list_boxes(self.domain)
        self.membership.set_listed(boxes, now)
        actions = []
        for member in members:
            if member.leaving and member.kind in roster.TARGET_KINDS:
                mark = (member.name, member.incarnation)
                actions += self._mark_leaving(mark, 'live_list')
        for name, owned in self.schedulers.items():
            owned.set_members(self.roster.list_targets(name))
        return actions

    def set_stores(self, contents, now):
        """Take in what the stores hold; returns a list of actions.

        Parameters
        ----------
        contents : dict of str to stores.client.Contents
            By store; one that does not answer is left out.
        """
        pools = max(self.roster.count_pools(), 1)
        rooms = {n: found.room // pools for n, found in contents.items()}
        actions = []
        for name, kept in self.keepers.items():
            kept.set_stores(rooms)
            offers = self.schedulers[name].directory
            for found in contents.values():
                rows = [row for pool, row in found.rows if pool == name]
                actions += kept.adopt(rows, offers, now)
        return actions

    def report(self, report, now):
        """Take in a load report of a target; returns a list of actions."""
        actions = []
        if report.leaving:
            mark = (report.target, report.incarnation)
            actions += self._mark_leaving(mark, 'report')
        for owned in self.schedulers.values():
            actions += owned.report(report, now)
        return self._expand(actions, now)

    def open_request(self, work, now):
        """Begin to ask for a place; returns a list of actions."""
        return self._expand(self.entry.open(work, now), now)

    def end_request(self, request, now):
        """End a request of this box; returns a list of actions."""
        return self._expand(self.entry.close(request, now), now)

    def give_back(self, done, now):
        """Return a place; returns a list of actions."""
        return self._expand(self.entry.give_back(done, now), now)

    def ask_again(self, request, avoid, now):
        """Ask for another place; returns a list of actions."""
        return self._expand(self.entry.ask_again(request, avoid, now), now)

    def may_dispatch(self, grant):
        """Give why a grant's target may not get work now, or ``''``."""
        member = self.members.get(grant.target)
        if member is None:
            return 'unknown'
        if (grant.target, grant.incarnation) in self.leaving:
            return 'leaving'
        return ''

    def may_order(self, command, now):
        """Tell whether a planned order may still be sent.

        Looked at right before its first byte: the order has to follow the
        table in force, and for a target that does not check fences this
        box has to be surely the only one to give orders.
        """
        holder = self.holders.get(command.pool)
        if holder is None or command.order.epoch != self.table.offset:
            return False
        checks = command.member.checks_fences
        fresh = self.entry.is_fresh(now)
        return fresh and rollout.may_order(holder, checks, now)

    def list_polled(self):
        """List the targets whose load reports this box wants."""
        names = {}
        for owned in self.schedulers.values():
            for name, target in owned.targets.items():
                names[name] = target.member
        return list(names.values())

    def is_busy(self, target):
        """Tell whether a target has work of this box's schedulers."""
        for owned in self.schedulers.values():
            known = owned.targets.get(target)
            if known is not None and (known.flights or known.report is None):
                return True
        return False

    def share_of(self, workspace):
        """Give the fair share of a workspace; the least if it has none."""
        row = self.table.rows.get(workspace)
        if row is None:
            return scheduler.make_share(1.0, 0)
        return scheduler.make_share(row.weight, row.priority)

    def limit_of(self, workspace):
        """Give the request limit of a workspace; 0 if it has none."""
        row = self.table.rows.get(workspace)
        return row.limit if row else 0

    def list_shares(self):
        """Give the share of warm context of each workspace."""
        return {name: row.share for name, row in self.table.rows.items()}

    def end_export(self, export, block, now):
        """Take in what became of an export; returns a list of actions.

        Parameters
        ----------
        export : keeper.Export
        block : records.Block or None
            The sealed block; None where the write failed.
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
        more = kept.work(owned.directory, self.list_shares(), now)
        return [*actions, *more]

    def _open_scheduler(self, pool, now):
        owned = self.schedulers.get(pool)
        if owned is None:
            model, domain, _ = ownership.split_pool(pool)
            owned = scheduler.Scheduler(
                model, domain, self.box, self.policy, now
            )
            owned.set_members(self.roster.list_targets(pool))
            owned.rooms = self._rooms.setdefault(model, {})
            self.schedulers[pool] = owned
            self.rollouts[pool] = rollout.Rollout()
            writer = f'{self.box}.{self.incarnation}'
            self.keepers[pool] = keeper.Keeper(writer, self.retention)
        return owned

    def _open_owned(self, now):
        # A pool is opened by its owner before the first request, so that
        # other domains hear of its room.
        for pool in self.roster.list_owned():
            self._open_scheduler(pool, now)

    def _expand(self, actions, now):
        """Handle at once what the box sends to itself."""
        out = []
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            own = isinstance(action, Send) and action.to == self.box
            handler = HANDLERS.get(type(action.message)) if own else None
            if handler is None:
                out.append(action)
            else:
                pending += handler(self, self.box, action.message, now)
        return out

    def _mark_leaving(self, mark, source):
        if mark in self.leaving:
            return []
        self.leaving.add(mark)
        target, incarnation = mark
        actions = [Note('leaving', {'target': target, 'source': source})]
        for owned in self.schedulers.values():
            if target in owned.targets:
                owned.targets[target].mark_leaving(incarnation)
        message = messages.Leaving(target, incarnation)
        for box in self.membership.list_alive():
            if box != self.box:
                actions.append(Send(box, message))
        return actions

    def _tick_membership(self, now):
        rows = self.membership.tick(now)
        actions = [Send(box, message) for box, message in rows]
        changes, self.membership.changes = self.membership.changes, []
        for event, box in changes:
            actions.append(Note(event, {'peer': box}))
        return actions

    def _tick_pool(self, name, owned, now):
        actions = []
        if self.roster.find_owner(name, owned.domain) == self.box:
            self._renew_holder(name, now)
            orders = self.rollouts[name].plan(
                self.table.versions.get(owned.model, ''),
                self.table.offset,
                list(owned.targets.values()),
                self.holders[name],
                now,
            )
            for order in orders:
                member = owned.targets[order.target].member
                actions.append(Command(order, member, name))
            return actions
        # Another box gives the orders now; if the turn comes back, this
        # one waits like any successor.
        self.holders.pop(name, None)
        idle = not owned.flights and not owned.count_waiting()
        if idle and now - owned.started > IDLE_SCHEDULER_S:
            del self.schedulers[name]
            del self.rollouts[name]
            del self.keepers[name]
        return actions

    def _renew_holder(self, name, now):
        holder = self.holders.get(name)
        if holder is None:
            self.holders[name] = rollout.take_over(now)
        else:
            self.holders[name] = rollout.renew(holder, now)

    def _tick_limiter(self, now):
        domains = self.roster.list_domains()
        asks = self.limiter.tick(self.limit_of, domains, now)
        actions = []
        for domain, message in asks:
            subject = entry.name_account(message.workspace)
            box = ownership.find_owner(subject, self.roster.view(domain))
            if box:
                actions.append(Send(box, message))
        return actions

    def _summarize(self, now):
        """Tell the other domains of the pools that this box owns."""
        actions = []
        for name, owned in self.schedulers.items():
            room = owned.summarize(now)
            if not room.targets:
                continue
            summary = messages.Summary(self.domain, (room,))
            for domain in self.roster.list_domains():
                if domain == self.domain:
                    continue
                actions += self._send_summary(summary, owned.model, domain)
        return actions

    def _send_summary(self, summary, model, domain):
        view = self.roster.view(domain)
        boxes = {
            ownership.find_owner(pool, view)
            for pool in self.roster.list_shards(model, domain)
        }
        return [Send(box, summary) for box in sorted(boxes - {None})]

    @handles(messages.Ask)
    def _on_ask(self, sender, message, now):
        work = message.work
        _, domain, _ = ownership.split_pool(work.pool)
        owner = ownership.find_owner(work.pool, self.roster.view(self.domain))
        # A box of another domain sees ours late: what it sent to the wrong
        # box goes on to the owner, once.
        if domain == self.domain and sender == work.entry:
            if work.hops and owner and owner != self.box:
                return [Send(owner, message)]
        owned = self._open_scheduler(work.pool, now)
        return owned.ask(work, self.share_of(work.workspace), now)

    @handles(messages.Done)
    def _on_done(self, sender, message, now):
        owned = self.schedulers.get(message.pool)
        if owned is None:
            return []
        flight = owned.flights.get(message.grant)
        actions = owned.finish(message, now)
        if message.outcome == 'ok' and flight is not None:
            actions += self._keep(flight, owned, now)
        return actions

    @handles(messages.Withdraw)
    def _on_withdraw(self, sender, message, now):
        owned = self.schedulers.get(message.pool)
        if owned is not None:
            owned.withdraw(message.request)
        return []

    @handles(messages.Announce)
    def _on_announce(self, sender, message, now):
        owned = self._open_scheduler(message.pool, now)
        unknown = owned.adopt(message, self.share_of, now)
        if unknown and not message.held:
            reply = messages.Unknown(message.pool, self.box)
            return [Send(sender, reply), *owned.place(now)]
        return owned.place(now)

    @handles(messages.Reserve)
    def _on_reserve(self, sender, message, now):
        limit = self.limit_of(message.workspace)
        reply = self.limiter.reserve(
            message.request,
            message.entry,
            message.workspace,
            limit,
            self.roster.list_domains(),
            now,
        )
        return [Send(sender, reply)]

    @handles(messages.Release)
    def _on_release(self, sender, message, now):
        self.limiter.release(message.request, message.workspace)
        return []

    @handles(messages.Renew)
    def _on_renew(self, sender, message, now):
        for workspace, requests in message.held:
            self.limiter.renew(message.entry, workspace, requests, now)
        return []

    @handles(messages.Borrow)
    def _on_borrow(self, sender, message, now):
        limit = self.limit_of(message.workspace)
        if not limit:
            return []
        lend = self.limiter.lend(
            message, limit, self.roster.list_domains(), now
        )
        return [Send(sender, lend)] if lend else []

    @handles(messages.Lend)
    def _on_lend(self, sender, message, now):
        self.limiter.borrowed(message, now)
        return []

    @handles(messages.Probe, messages.Ack, messages.ProbeFor)
    def _on_probe(self, sender, message, now):
        rows = self.membership.handle(sender, message, now)
        return [Send(box, reply) for box, reply in rows]

    @handles(messages.Summary)
    def _on_summary(self, sender, message, now):
        for room in message.rooms:
            rooms = self._rooms.setdefault(room.model, {})
            rooms[message.domain] = spill.Heard(room, now)
        return []

    @handles(messages.Leaving)
    def _on_leaving(self, sender, message, now):
        # Passed on once more by whoever learns it from a peer, so that one
        # lost message does not keep a box from knowing.
        mark = (message.target, message.incarnation)
        return self._mark_leaving(mark, sender)

    @handles(
        messages.Grant,
        messages.Refuse,
        messages.Spill,
        messages.Queued,
        messages.Reserved,
        messages.Unknown,
    )
    def _on_answer(self, sender, message, now):
        return self.entry.handle(sender, message, now)

    @handles(messages.Kept)
    def _on_kept(self, sender, message, now):
        owned = self.schedulers.get(message.pool)
        if owned is None:
            return []
        owned.directory.note_stored(
            message.workspace, message.block, message.tokens
        )
        return []

    @handles(messages.Freed)
    def _on_freed(self, sender, message, now):
        owned = self.schedulers.get(message.pool)
        if owned is None:
            return []
        owned.directory.note_freed(message.keys)
        return self.keepers[message.pool].drop(message.keys)

    def _keep(self, flight, owned, now):
        target = owned.targets.get(flight.target)
        kept = self.keepers[flight.work.pool]
        shares = self.list_shares()
        return kept.plan(flight, target, owned.directory, shares, now)
