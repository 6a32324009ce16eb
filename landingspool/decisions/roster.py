"""The machines that a box knows of, and who is responsible for what.

It joins the platform's lagging live list with the membership view of the
own failure domain.  Indexes are built when the list changes, not when a
request asks, since the list changes seldom and is asked for all the time.
"""

import collections

from landingspool.decisions import ownership

TARGET_KINDS = ('target', 'plain')


class Roster:
    """What one box knows of boxes, targets and stores.

    Parameters
    ----------
    box, domain : str
    membership : membership.Membership
        The view of the boxes of the own domain.
    """

    def __init__(self, box, domain, membership):
        self.box = box
        self.domain = domain
        self.members = {}
        self._membership = membership
        self._pools = {}
        self._boxes = {}
        self._owned = ()
        self._owned_for = None
        self._changes = 0

    def set_live(self, members):
        """Take in the live list; returns whether it has changed."""
        found = {member.name: member for member in members}
        if found == self.members:
            return False
        self.members = found
        self._changes += 1
        pools = collections.defaultdict(list)
        boxes = collections.defaultdict(list)
        for member in members:
            if member.kind in TARGET_KINDS:
                pools[(member.model, member.domain)].append(member)
            elif member.kind == 'entry':
                boxes[member.domain].append(member)
        self._pools = dict(pools)
        self._boxes = dict(boxes)
        return True

    def list_boxes(self, domain):
        """List the members that are boxes of a domain."""
        return self._boxes.get(domain, [])

    def list_domains(self):
        """List the failure domains that have boxes, the own included."""
        return tuple(sorted({*self._boxes, self.domain}))

    def view(self, domain):
        """Give the boxes of a domain that are reckoned with."""
        if domain == self.domain:
            return self._membership.list_alive()
        boxes = self._boxes.get(domain, ())
        return tuple(sorted(m.name for m in boxes if not m.leaving))

    def find_owner(self, subject, domain):
        """Give the box of a domain that is responsible, or None."""
        return ownership.find_owner(subject, self.view(domain))

    def list_pool(self, model, domain):
        """List the targets of a model in a domain."""
        return self._pools.get((model, domain), [])

    def list_models(self, domain):
        """List the models that have targets in a domain."""
        return sorted(model for model, at in self._pools if at == domain)

    def list_shards(self, model, domain):
        """List the names of the shards of a pool."""
        count = ownership.count_shards(len(self.list_pool(model, domain)))
        return [ownership.name_pool(model, domain, i) for i in range(count)]

    def pick_shard(self, work, domain):
        """Give the shard of a domain's pool for a request."""
        targets = len(self.list_pool(work.model, domain))
        subject = work.pieces[0].hex() if work.pieces else work.request
        return ownership.pick_shard(work.model, domain, subject, targets)

    def list_targets(self, pool):
        """List the members of one shard."""
        model, domain, index = ownership.split_pool(pool)
        members = {m.name: m for m in self.list_pool(model, domain)}
        names = ownership.list_shard(list(members), index)
        return [members[name] for name in names]

    def list_owned(self):
        """List the shards of the own domain that this box schedules."""
        alive = self.view(self.domain)
        if self._owned_for != (self._changes, alive):
            self._owned_for = self._changes, alive
            self._owned = tuple(
                pool
                for model in self.list_models(self.domain)
                for pool in self.list_shards(model, self.domain)
                if ownership.find_owner(pool, alive) == self.box
            )
        return self._owned

    def count_target_shards(self):
        """Give the number of shards that share the stores."""
        return sum(
            len(self.list_shards(model, domain))
            for (model, domain), members in self._pools.items()
            if members[0].kind == 'target'
        )
