"""Admits, orders and refuses requests where callers compete for room.

Joins the account of room, the allowances of waiting, the requests that wait
and the callers that return, for one box.  A box has it only if its settings
say that callers compete for room at times.
"""

from landingspool.decisions.gateway import admission
from landingspool.decisions.gateway import allowances
from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import demand as demand_module
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import returns as returns_module
from landingspool.decisions.gateway import room as room_module
from landingspool.decisions.gateway import service_figures
from landingspool.decisions.gateway import shortages as shortages_module
from landingspool.decisions.gateway import waiting as waiting_module

# Share of the time left after which a refused caller returns at the latest:
# callers wait no longer, whatever they are told.
MAX_RETRY_SHARE = 1 / 3
# Share of its latency objective after which a refused caller should return,
# even if room is expected later: it can still be answered in time.
IN_TIME_SHARE = 0.5


class Contention:
    """What one box knows of those that compete for room.

    Parameters
    ----------
    free_capacity : capacity.FreeCapacity
        Gives refused callers successive times to retry.

    Attributes
    ----------
    waiting : waiting.Waiting
    rejections : room.Rejections
    shortages : shortages.Shortages
    """

    def __init__(self, free_capacity):
        self._free_capacity = free_capacity
        self._returns = returns_module.Returns()
        self._served = room_module.ServedRates()
        self._urgency = allowances.Urgency()
        self.shortages = shortages_module.Shortages()
        self.waiting = waiting_module.Waiting()
        self.rejections = room_module.Rejections()

    def make_demand(self, work, left_s, fingerprint, chance, now, excess=0.0):
        """Return the Demand of a request that arrives.

        Parameters
        ----------
        left_s : float
            Seconds for which its caller waits.
        chance : float
            Uniform between 0 and 1.
        excess : float
            How far its workspace is above its share.
        """
        returns = self._returns.take(
            work.route.name,
            left_s,
            fingerprint,
            self.shortages.is_short(work.service, now),
            now,
        )
        return demand_module.make_demand(work, left_s, returns, chance, excess)

    def is_admitted(self, plan, work, demand, table, spread):
        """Return whether a request should be sent as planned.

        Parameters
        ----------
        spread : callable
            Returns the share of the requests of its workspace to refuse, for
            a share of those of all workspaces.
        """
        if work.prompt is None:
            return self._is_plain_admitted(plan, work)
        objective_s = work.route.target_latency_s
        urgent = self._urgency.find(table, work.service)
        if urgent is None:
            # The table has changed since the request arrived.
            urgent = allowances.Urgent(demand.route_priority, objective_s)
        steps = allowances.count_steps(demand, urgent)
        limit_s = allowances.compute_wait_limit(
            steps,
            objective_s,
            urgent,
            plan.read_tokens / plan.profile.read_tokens_s,
        )
        weight = choice.compute_memory_weight(
            plans.count_held(work), plan.held
        )
        filled = (
            (plan.pressure, admission.PRESSURES),
            (plan.held.share * weight, admission.MEMORY_SHARES),
        )
        refused = [
            spread(admission.compute_refused(share, bounds, steps))
            for share, bounds in filled
        ]
        return allowances.is_admitted(demand, plan.wait_s, limit_s, refused)

    def _is_plain_admitted(self, plan, work):
        if plan.room.is_full():
            return False
        answer_s = room_module.estimate_answer_s(
            plan.room, plan.profile.work_s
        )
        return answer_s <= allowances.ANSWER_SHARE * (
            work.route.target_latency_s
        )

    def record_end(self, service, now):
        """Record that a target has ended a request of this box."""
        self._served.record_end(service, now)

    def record_rejected(self, entry, load, now):
        """Record that a target rejected a request without running it.

        Parameters
        ----------
        load : choice.Load
            Requests at the target as known.

        Returns
        -------
        bool
            Whether it probably was full; if not, it may be failing.
        """
        self.rejections.record(entry, load, now)
        crowded = room_module.was_crowded(load, max(entry.slots, 1))
        return crowded or not self.rejections.is_alone(entry, now)

    def compute_retry_after(self, plan, work, demand, now):
        """Return the seconds after which a refused caller should retry.

        Callers are given successive times, at the rate at which this box is
        likely to get room.

        Parameters
        ----------
        plan : plans.Plan or None
        """
        longest_s = demand.left_s * MAX_RETRY_SHARE
        latest_s = work.route.target_latency_s * IN_TIME_SHARE
        after_s = self._free_capacity.pace_return(
            work.service,
            demand.route_priority,
            self._find_rate(plan, work, now),
            min(self._estimate_first(plan, work), latest_s, longest_s),
            longest_s,
            now,
        )
        return min(after_s, longest_s)

    def record_refused(self, service, fingerprint, after_s, now):
        """Record the time to retry that a refused caller was given.

        Returns
        -------
        bool
            Whether a shortage of the service begins.
        """
        self._returns.record_refused(fingerprint, after_s, now)
        return self.shortages.record(service, now)

    def exclude_stall(self):
        """Void what a stall of this box has made too old."""
        self.rejections.clear()

    def _find_rate(self, plan, work, now):
        """Return for how many requests a second this box gets room.

        That is what it was served lately, or its equal part of the places if
        that is more: a box with few callers has not used it.
        """
        served_per_s = self._served.find(work.service, now)
        if plan is None or not plan.room.free_s:
            return served_per_s
        return max(served_per_s, 1 / plan.room.free_s)

    def _estimate_first(self, plan, work):
        """Return the seconds until there is room for the next request."""
        if work.prompt is None:
            if plan is None:
                return service_figures.PRIOR.work_s
            return room_module.estimate_answer_s(
                plan.room, plan.profile.work_s
            )
        wait_s = 0.0 if plan is None else plan.wait_s
        pressure = 0.0 if plan is None else plan.pressure
        return admission.estimate_retry_s(wait_s, pressure)
