"""Finds the candidates of a request to a service whose engines have groups.

A request has the engines of its box's own group as candidates, which is all
that most requests need.  If it should leave the group (spillover.py) or is one
of those that are balanced over groups (group_loads.py), engines of one other
group are candidates, too.  A box that finds nothing usable by its groups
chooses among all targets, as if there were none.
"""

from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import group_loads
from landingspool.decisions.gateway import spillover

# Seconds without a byte after which an engine with a waiting request is
# silent.
SILENCE_S = 1.0


class GroupPlanner:
    """Find candidates by the groups of one box.

    Parameters
    ----------
    view : view.View
    planner : planner.Planner
    """

    def __init__(self, view, planner):
        self._view = view
        self._planner = planner

    def gather(self, work, avoid, now, ready):
        """Return the planner.Field of a request; None if groups don't help.

        The parameters are those of `view.View.plan`.
        """
        deal = self._view.grouping.get_deal(work)
        if deal is None:
            return None
        names = self._view.grouping.list_engines(work.service)
        entries = self._list_free(names, work, avoid, now)
        field = self._planner.make_field(entries, work, now, ready)
        own = self._measure_own(field, now)
        reason = spillover.find_reason(own, work.route.target_latency_s)
        if reason is None:
            others = self._draw_balanced(work)
            reason = group_loads.BALANCE
        else:
            others = self._order_others(deal, field, own, reason, work, now)
        for key in others:
            engines = deal.groups[key].engines
            entries = self._list_free(engines, work, avoid, now)
            other = self._make_other(entries, field, work, now, ready, key)
            if other.candidates:
                return join(field, other, reason)
        return field if field.candidates else None

    def _measure_own(self, field, now):
        """Return the Room of the own group; None if no engine is sound."""
        sound = choice.list_sound(field.candidates, now, SILENCE_S)
        if not sound:
            return None
        wait_s = min(choice.estimate_wait(c) for c in sound)
        key = self._view.domain, 0
        return spillover.measure_room(key, sound, wait_s, len(sound))

    def _draw_balanced(self, work):
        """Return the groups for a request that is balanced; else none."""
        view = self._view
        balance = view.grouping.get_balance(work.service)
        if not balance.share or view.rng.random() >= balance.share:
            return ()
        return spillover.rank_groups(balance.weights, view.grouping.box)

    def _order_others(self, deal, field, own, reason, work, now):
        view = self._view
        rooms = view.grouping.list_rooms(
            deal,
            work.service,
            self._planner.get_capacity(work.service),
            field.candidates[0].weight if field.candidates else 1.0,
            now,
        )
        return spillover.order_groups(
            rooms, own, reason, view.domain, view.grouping.box
        )

    def _make_other(self, entries, field, work, now, ready, key):
        """Return a Field with some engines of another group."""
        view = self._view
        load = view.grouping.get_load(work.service, key, now)
        return self._planner.make_field(
            spillover.pick_engines(entries, ready, view.rng),
            work,
            now,
            ready,
            field.held if field.candidates else None,
            None if load is None else group_loads.compute_mean(load),
            field.spaces,
        )

    def _list_free(self, names, work, avoid, now):
        """Return the entries of those engines that may get a request now."""
        view = self._view
        fleet, prompt = view.fleet, work.prompt
        known = [
            fleet.entries[name]
            for name in names
            if name in fleet.entries
            and name not in fleet.lapsed
            and name not in avoid
            and not view.reachability.is_out(name)
            and not view.loading.excludes(name, prompt, now)
        ]
        if not known:
            return []
        limits = view.exclusions.get_requirements(work, view.table)
        entries = view.exclusions.list_open(known, limits, now)
        return self._planner.list_new_enough(entries, prompt, now)


def join(own, other, reason):
    """Return a Field with the targets of the own group and of another one.

    A request that is balanced has only those of the other group.
    """
    near = [] if reason == group_loads.BALANCE else own.candidates
    return own._replace(
        candidates=near + other.candidates,
        spaces=own.spaces | other.spaces,
        reason=reason,
        spilled_to=frozenset(c.entry.name for c in other.candidates),
    )
