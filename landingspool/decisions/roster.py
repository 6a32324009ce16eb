"""Index of the machines known to a box, and of the box responsible for each.

Combines the platform's live list, which lags, with the membership view of
the box's own failure domain.  The indexes are built when the list changes
and not for each request, because the list changes rarely and is read often.
"""

import collections

from landingspool.decisions import ownership

TARGET_KINDS = ('target', 'plain')


class Roster:
    """The boxes, targets and stores known to one box.

    Parameters
    ----------
    box, domain : str
    membership : membership.Membership
        The view of which boxes of the own domain are alive.
    """

    def __init__(self, box, domain, membership):
        self.box = box
        self.domain = domain
        self.members = {}
        self._membership = membership
        self._pools = {}
        self._boxes = {}
        self._owned = ()
        self._owned_key = None
        self._revision = 0

    def set_live(self, members):
        """Update from the live list and return whether it has changed."""
        found = {member.name: member for member in members}
        if found == self.members:
            return False
        self.members = found
        self._revision += 1
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
        """List the members that are entry boxes of a domain."""
        return self._boxes.get(domain, [])

    def list_domains(self):
        """List the failure domains that have boxes, and the own domain."""
        return tuple(sorted({*self._boxes, self.domain}))

    def view(self, domain):
        """Return the boxes of a domain that may be responsible."""
        if domain == self.domain:
            return self._membership.list_alive()
        boxes = self._boxes.get(domain, ())
        return tuple(sorted(m.name for m in boxes if not m.leaving))

    def get_owner(self, subject, domain):
        """Return the box of a domain responsible for `subject`, or None."""
        return ownership.get_owner(subject, self.view(domain))

    def list_pool(self, model, domain):
        """List the targets of a model in a domain."""
        return self._pools.get((model, domain), [])

    def list_other_domains(self, model):
        """List the other domains with targets of a model that stay."""
        return {
            domain
            for (name, domain), members in self._pools.items()
            if name == model
            and domain != self.domain
            and any(not member.leaving for member in members)
        }

    def list_models(self, domain):
        """List the models that have targets in a domain."""
        return sorted(model for model, at in self._pools if at == domain)

    def list_shards(self, model, domain):
        """List the names of the shards of a pool."""
        count = ownership.count_shards(len(self.list_pool(model, domain)))
        return [ownership.name_pool(model, domain, i) for i in range(count)]

    def pick_shard(self, work, domain):
        """Return the shard of a domain's pool that serves a request."""
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
        if self._owned_key != (self._revision, alive):
            self._owned_key = self._revision, alive
            self._owned = tuple(
                pool
                for model in self.list_models(self.domain)
                for pool in self.list_shards(model, self.domain)
                if ownership.get_owner(pool, alive) == self.box
            )
        return self._owned

    def count_target_shards(self):
        """Return the number of shards that share the stores."""
        return sum(
            len(self.list_shards(model, domain))
            for (model, domain), members in self._pools.items()
            if members[0].kind == 'target'
        )
