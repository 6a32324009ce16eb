"""The decision logic of one box behind a single interface.

A `Node` receives typed messages together with the current time and returns
typed actions; it does no input or output.  The daemon executes the actions.
Tests and benchmarks drive it through the same interface in virtual time.
"""

import random

from landingspool.decisions import configuration
from landingspool.decisions import entry
from landingspool.decisions import fairness
from landingspool.decisions import limiter
from landingspool.decisions import membership
from landingspool.decisions import messages
from landingspool.decisions import outputs
from landingspool.decisions import ownership
from landingspool.decisions import policies
from landingspool.decisions import pools
from landingspool.decisions import roster

SUMMARY_PERIOD_S = 0.5

HANDLERS = {}


def handles(*kinds):
    """Register a method of `Node` as the handler of message classes."""

    def add(function):
        for kind in kinds:
            HANDLERS[kind] = function
        return function

    return add


class Node:
    """The decision logic of one box.

    Parameters
    ----------
    box, domain, incarnation : str
    policy : policies.Policy
    retention : str
        Name of the retention policy.
    """

    def __init__(
        self,
        box,
        domain,
        incarnation,
        policy=policies.Policy(),
        retention='value',
    ):
        self.box = box
        self.domain = domain
        self.incarnation = incarnation
        self.table = configuration.Table()
        self.leaving = set()
        rng = random.Random(f'{policy.seed}/{box}/{incarnation}')
        self.membership = membership.Membership(box, incarnation, rng)
        self.roster = roster.Roster(box, domain, self.membership)
        self.pools = pools.Pools(
            box, incarnation, domain, self.roster, policy, retention
        )
        self.limiter = limiter.Limiter(domain, box, rng)
        self.entry = entry.Entry(
            box, domain, self.roster.view, self.roster.pick_shard
        )
        self._last_summary = 0.0
        self._shares = {}
        self._shares_offset = None

    @property
    def members(self):
        """The members of the live list, by name."""
        return self.roster.members

    def handle(self, sender, message, now):
        """Handle one message and return a list of actions."""
        handler = HANDLERS.get(type(message))
        if handler is None:
            return [outputs.Relay(sender, message)]
        return self._expand(handler(self, sender, message, now), now)

    def tick(self, now):
        """Run the periodic work that is due and return a list of actions."""
        actions = self._tick_membership(now)
        actions += self.entry.tick(now)
        actions += self.pools.tick(self.table, now)
        actions += self._tick_limiter(now)
        if now - self._last_summary >= SUMMARY_PERIOD_S:
            self._last_summary = now
            actions += self.pools.summarize(now)
        return self._expand(actions, now)

    def resume(self, seconds, now):
        """Continue after a stall of this process of `seconds` seconds.

        Peers seem silent only because this process did not read; what they
        sent during the stall is still to be read.
        """
        self.membership.reset(now)
        self.entry.resume(seconds)
        self.pools.resume(seconds, now)
        self.limiter.resume(seconds)

    def set_table(self, table):
        """Switch to a newer table; an older one is ignored."""
        if table.offset > self.table.offset:
            self.table = table

    def set_live(self, members, now):
        """Update from the live list and return a list of actions."""
        if not self.roster.set_live(members):
            return []
        boxes = self.roster.list_boxes(self.domain)
        self.membership.set_listed(boxes, now)
        actions = []
        for member in members:
            if member.leaving and member.kind in roster.TARGET_KINDS:
                target_mark = (member.name, member.incarnation)
                actions += self._mark_leaving(target_mark, 'live_list')
        self.pools.set_members()
        return actions

    def set_stores(self, contents, now):
        """Update from the stores' listings and return a list of actions."""
        return self._expand(self.pools.set_stores(contents, now), now)

    def report(self, report, now):
        """Update from a target's load report and return a list of actions."""
        actions = []
        if report.leaving:
            target_mark = (report.target, report.incarnation)
            actions += self._mark_leaving(target_mark, 'report')
        actions += self.pools.report(report, now)
        return self._expand(actions, now)

    def open_request(self, work, now):
        """Start to ask for a slot and return a list of actions."""
        return self._expand(self.entry.open(work, now), now)

    def end_request(self, request, now):
        """Close a request of this box and return a list of actions."""
        return self._expand(self.entry.close(request, now), now)

    def return_grant(self, done, now):
        """Release a slot and return a list of actions."""
        return self._expand(self.entry.return_grant(done, now), now)

    def ask_again(self, request, avoid, now):
        """Ask for another slot and return a list of actions."""
        return self._expand(self.entry.ask_again(request, avoid, now), now)

    def may_dispatch(self, grant):
        """Return why a grant's target must not get work now, or ``''``."""
        member = self.members.get(grant.target)
        if member is None:
            return 'unknown'
        if (grant.target, grant.incarnation) in self.leaving:
            return 'leaving'
        return ''

    def may_order(self, command, now):
        """Return whether a planned order may still be sent.

        Checked right before its first byte is sent.  The order must follow
        the table in force.  For a target that does not check fences, this
        box must be certain to be the only one that gives orders.
        """
        if command.order.epoch != self.table.offset:
            return False
        if not self.entry.is_fresh(now):
            return False
        return self.pools.may_order(command, now)

    def get_share(self, workspace):
        """Return the fair share of a workspace; the lowest if it has none."""
        row = self.table.rows.get(workspace)
        if row is None:
            return fairness.make_share(1.0, 0)
        return fairness.make_share(row.weight, row.priority)

    def get_limit(self, workspace):
        """Return the request limit of a workspace; 0 if it has none."""
        row = self.table.rows.get(workspace)
        return row.limit if row else 0

    def list_shares(self):
        """Return each workspace's share of the cached context, by name.

        Computed once for each table, because every answer needs it.
        """
        if self._shares_offset != self.table.offset:
            rows = self.table.rows.items()
            self._shares = {name: row.share for name, row in rows}
            self._shares_offset = self.table.offset
        return self._shares

    def end_export(self, export, block, now):
        """Record the outcome of an export and return a list of actions."""
        shares = self.list_shares()
        actions = self.pools.end_export(export, block, shares, now)
        return self._expand(actions, now)

    def _expand(self, actions, now):
        """Handle messages that the box sends to itself, without a link."""
        out = []
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            own = isinstance(action, outputs.Send) and action.to == self.box
            handler = HANDLERS.get(type(action.message)) if own else None
            if handler is None:
                out.append(action)
            else:
                pending += handler(self, self.box, action.message, now)
        return out

    def _mark_leaving(self, target_mark, source):
        if target_mark in self.leaving:
            return []
        self.leaving.add(target_mark)
        target, incarnation = target_mark
        actions = [
            outputs.TimelineEvent(
                'leaving', {'target': target, 'source': source}
            )
        ]
        self.pools.mark_leaving(target, incarnation)
        message = messages.Leaving(target, incarnation)
        for box in self.membership.list_alive():
            if box != self.box:
                actions.append(outputs.Send(box, message))
        return actions

    def _tick_membership(self, now):
        rows = self.membership.tick(now)
        actions = [outputs.Send(box, message) for box, message in rows]
        changes, self.membership.changes = self.membership.changes, []
        for event, box in changes:
            actions.append(outputs.TimelineEvent(event, {'peer': box}))
        return actions

    def _tick_limiter(self, now):
        domains = self.roster.list_domains()
        loan_requests = self.limiter.tick(self.get_limit, domains, now)
        actions = []
        for domain, message in loan_requests:
            subject = entry.make_limiter_key(message.workspace)
            box = ownership.get_owner(subject, self.roster.view(domain))
            if box:
                actions.append(outputs.Send(box, message))
        return actions

    @handles(messages.Ask)
    def _on_ask(self, sender, message, now):
        work = message.work
        _, domain, _ = ownership.split_pool(work.pool)
        owner = ownership.get_owner(work.pool, self.roster.view(self.domain))
        # A box of another domain learns of changes in this domain late.  A
        # request that it sent to the wrong box is forwarded to the owner,
        # once.
        if domain == self.domain and sender == work.entry:
            if work.hops and owner and owner != self.box:
                return [outputs.Send(owner, message)]
        owned = self.pools.open(work.pool, now)
        return owned.ask(work, self.get_share(work.workspace), now)

    @handles(messages.Done)
    def _on_done(self, sender, message, now):
        return self.pools.finish(message, self.list_shares(), now)

    @handles(messages.Withdraw)
    def _on_withdraw(self, sender, message, now):
        owned = self.pools.schedulers.get(message.pool)
        if owned is not None:
            owned.withdraw(message.request)
        return []

    @handles(messages.Announce)
    def _on_announce(self, sender, message, now):
        owned = self.pools.open(message.pool, now)
        unknown = owned.adopt(message, self.get_share, now)
        if unknown and not message.held:
            reply = messages.Unknown(message.pool, self.box)
            return [outputs.Send(sender, reply), *owned.place(now)]
        return owned.place(now)

    @handles(messages.Reserve)
    def _on_reserve(self, sender, message, now):
        limit = self.get_limit(message.workspace)
        reply = self.limiter.reserve(
            message.request,
            message.entry,
            message.workspace,
            limit,
            self.roster.list_domains(),
            now,
        )
        return [outputs.Send(sender, reply)]

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
        limit = self.get_limit(message.workspace)
        if not limit:
            return []
        lend = self.limiter.lend(
            message, limit, self.roster.list_domains(), now
        )
        return [outputs.Send(sender, lend)] if lend else []

    @handles(messages.Lend)
    def _on_lend(self, sender, message, now):
        self.limiter.accept_loan(message, now)
        return []

    @handles(messages.Probe, messages.Ack, messages.ProbeFor)
    def _on_probe(self, sender, message, now):
        rows = self.membership.handle(sender, message, now)
        return [outputs.Send(box, reply) for box, reply in rows]

    @handles(messages.Summary)
    def _on_summary(self, sender, message, now):
        self.pools.record_summary(message, now)
        return []

    @handles(messages.Leaving)
    def _on_leaving(self, sender, message, now):
        # A box that learns this from a peer forwards it once more, so that
        # one lost message does not leave a box uninformed.
        target_mark = (message.target, message.incarnation)
        return self._mark_leaving(target_mark, sender)

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

    @handles(messages.Freed)
    def _on_freed(self, sender, message, now):
        return self.pools.drop_blocks(message.pool, message.keys)
