"""Holds the groups that one box belongs to, and what it hears of the others.

Groups (subsets.py) and the summaries of their load (spillover.py) meet here:
what the box reports of its own group, to whom, and how full the others are.
"""

from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import group_loads
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import spillover
from landingspool.decisions.gateway import subsets as subsets_module

# Boxes outside its group that a box sends each digest to, in its own domain
# and in all others.  Each box then receives one to three summaries a second of
# each other group (62 boxes in nine groups, 129 boxes in nine), half the time
# for which one counts, and a third of the loads at targets without groups.
OTHERS_NEAR = 3
OTHERS_FAR = 3


class Grouping:
    """The groups of one box.

    Parameters
    ----------
    view : view.View

    Attributes
    ----------
    subsets : subsets.Subsets
    summaries : group_loads.Summaries
    box : str
        Name of this box; empty before the first update.
    """

    def __init__(self, view):
        self._view = view
        self.subsets = subsets_module.Subsets()
        self.summaries = group_loads.Summaries()
        self.box = ''
        self._balances = {}
        self._rationed = {}

    def update(self, box, boxes, now):
        """Deal groups anew if boxes or engines have changed.

        Parameters
        ----------
        box : str
            Name of this box.
        boxes : dict of str to str
            Failure domain of each box, this one included.

        Returns
        -------
        bool
            Whether groups were dealt anew.
        """
        self.box = box
        view = self._view
        services = view.table.services.values() if view.table else ()
        engines = {
            service.name: view.fleet.list_service(service.name)
            for service in services
            if service.engine is not None
        }
        is_new = self.subsets.update(box, boxes, engines)
        if is_new:
            view.peer_digests.set_group_targets(self.subsets.list_engines())
        self._rationed = {
            service: self._list_rationed(engines[service], now)
            for service in self.subsets.list_services()
        }
        return is_new

    def _list_rationed(self, entries, now):
        """Return the engines of which only some boxes may use a quota.

        These boxes are dealt over all boxes, whatever their group.
        """
        exclusions = self._view.exclusions
        cold = frozenset(exclusions.cold_targets.list_cold(now))
        return tuple(
            entry.name
            for entry in entries
            if entry.name in cold
            or exclusions.limits.find(entry.name) is not None
        )

    def list_engines(self, service):
        """Return the engines that this box sends to first.

        Those of its group, and those of which it may have a quota.
        """
        deal = self.subsets.get(service)
        own = deal.own.engines if deal.own is not None else ()
        rationed = self._rationed.get(service, ())
        return tuple(dict.fromkeys(own + rationed)) if rationed else own

    def get_deal(self, work):
        """Return the subsets.Deal for a request; None if it has no groups."""
        return None if work.prompt is None else self.subsets.get(work.service)

    def list_loads(self, now):
        """Return the load of this box's groups, for its digest."""
        loads = []
        for service, own in self.subsets.list_own():
            load = self._summarize(service, own, now)
            loads.append(load)
            self.summaries.record(load, own.domain, now)
            self._balances[service] = self.summaries.compute_balance(
                load.service,
                self.subsets.get(service).groups,
                own.key,
                now,
                self._view.profiles.get_service(service).read_tokens_s,
            )
        return tuple(loads)

    def get_balance(self, service):
        """Return the group_loads.Balance of this box's group of a service."""
        return self._balances.get(service, group_loads.Balance())

    def _summarize(self, service, group, now):
        view = self._view
        peer_loads = view.peer_digests.sum_loads(view.peers_by_domain, now)
        names = [name for name in group.engines if self._is_usable(name)]
        rows = [
            view.loads.measure(name, peer_loads.get(name)) for name in names
        ]
        return peer_digests.GroupLoad(
            peer_digests.hash_target(service),
            group.index,
            len(names),
            round(sum(row.waiting_tokens + row.peer_tokens for row in rows)),
            round(sum(row.running + row.peer_running for row in rows)),
            round(sum(row.held_tokens + row.peer_held for row in rows)),
            round(sum(row.waiting + row.peer_waiting for row in rows)),
        )

    def _is_usable(self, name):
        view = self._view
        entry = view.fleet.entries.get(name)
        if entry is None or view.reachability.is_out(name):
            return False
        return not view.exclusions.is_closed(entry)

    def list_rooms(self, deal, service, capacity, weight, now):
        """Return the spillover.Room of each group but the box's own.

        Parameters
        ----------
        deal : subsets.Deal
        service : str
        capacity : int
            Memory of an engine in tokens; 0 if not known.
        weight : float
            As choice.Candidate.weight.
        """
        rooms = []
        for group in deal.groups.values():
            if group is deal.own:
                continue
            load = self.get_load(service, group.key, now)
            if load is None:
                rooms.append(spillover.assume_room(group))
                continue
            mean = choice.Candidate(
                subsets_module.Slots(group.slots),
                group_loads.make_mean_load(load),
                None,
                capacity=capacity,
                weight=weight,
            )
            rooms.append(
                spillover.measure_room(
                    group.key, [mean], choice.estimate_wait(mean), load.engines
                )
            )
        return rooms

    def get_load(self, service, key, now):
        """Return the fresh peer_digests.GroupLoad of a group, or None."""
        return self.summaries.get(peer_digests.hash_target(service), key, now)

    def describe(self, now):
        """Return the groups and their room, for the log.

        Returns
        -------
        dict of str to dict
            For each service: the number of this box's group, its engines and
            boxes, the share of its requests that is balanced, and for each
            other group that is heard its usable engines and requests.
        """
        found = {}
        for service, own in self.subsets.list_own():
            others = {}
            for key in self.subsets.get(service).groups:
                load = self.get_load(service, key, now)
                if load is not None and key != own.key:
                    requests = load.running + load.waiting
                    others[f'{key[0]}/{key[1]}'] = [load.engines, requests]
            found[service] = {
                'group': own.index,
                'engines': len(own.engines),
                'boxes': len(own.boxes),
                'balanced': round(self.get_balance(service).share, 2),
                'others': others,
            }
        return found

    def pick_recipients(self, peers, is_urgent):
        """Pick the boxes that a digest is sent to.

        Parameters
        ----------
        peers : dict of str to str
            Failure domain of each other box.
        is_urgent : bool
            Whether the digest has notices that all boxes need soon.

        Returns
        -------
        list of str
        """
        view, near, far = self._view, [], []
        for name, domain in peers.items():
            (near if domain == view.domain else far).append(name)
        if not self.subsets.list_services():
            return peer_digests.pick_recipients(near, far, view.rng)
        members = [n for n in near if n in self.subsets.list_peers()]
        used = view.loads.list_targets()
        concerned = self.subsets.list_boxes(used).intersection(peers)
        picked = pick_group_recipients(
            members, sorted(concerned), near, far, view.rng
        )
        if is_urgent and len(picked) < peer_digests.FAN_OUT:
            more = peer_digests.pick_recipients(near, far, view.rng)
            picked = list(dict.fromkeys(picked + more))
        return picked[: peer_digests.FAN_OUT]


def pick_group_recipients(members, concerned, near, far, rng):
    """Pick the boxes that a digest is sent to if engines have groups.

    Parameters
    ----------
    members : sequence
        The other boxes of the groups of this box: all of them.
    concerned : sequence
        Boxes of groups to whose engines this box has sent requests: they
        don't hear of these from their own members.
    near, far : sequence
        Other boxes in this domain, and in all others.
    rng : random.Random

    >>> import random
    >>> rng = random.Random(1)
    >>> told = pick_group_recipients('abc', 'jk', 'efghi', 'vwxyz', rng)
    >>> len(told), len(set('abcjk').difference(told))
    (11, 0)
    """
    picked = list(members)
    some = rng.sample(near, min(len(near), OTHERS_NEAR))
    some += rng.sample(far, min(len(far), OTHERS_FAR))
    left = max(peer_digests.FAN_OUT - len(picked) - len(some), 0)
    some += rng.sample(concerned, min(len(concerned), left))
    return list(dict.fromkeys(picked + some))
