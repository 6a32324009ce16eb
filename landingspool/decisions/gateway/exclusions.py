"""What keeps a request from a target, however well that would serve it.

The homes of the request, an evacuation of the target's domain, what a cold
target bears, and what targets say of themselves.  Asked when a target is
chosen and once more at the moment of sending, since a connection may have to
come up in between.
"""

import typing

from landingspool.decisions.gateway import cold_targets as cold_targets_module
from landingspool.decisions.gateway import evacuation
from landingspool.decisions.gateway import allowed_regions
from landingspool.decisions.gateway import leaving as leaving_module
from landingspool.decisions.gateway import limits as limits_module
from landingspool.decisions.gateway import backoffs as backoffs_module
from landingspool.decisions.gateway import shares as shares_module


# What forbids a target that has got as many requests as it takes.
LIMITED = 'limited'
# What forbids a target that has said that it leaves.
LEAVING = 'leaving'
# What forbids a target that has asked this box for rest.
BACKING_OFF = 'resting'
# Of these bars it is known when they end: callers are told when to return.
PASSING = (LIMITED, BACKING_OFF)


class Limits(typing.NamedTuple):
    """What the bars ask of a request, the same for all targets.

    `regions` is None where it may run anywhere; `cold` is what the targets
    of its service bear while they are cold.
    """

    regions: frozenset | None
    cold: cold_targets_module.Bound


class Exclusions:
    """The bars as one box knows them.

    Parameters
    ----------
    bounds
        The deployment's Bounds.
    regions : dict of str to str
        The region of each failure domain.
    rng : random.Random
    """

    def __init__(self, bounds, regions, rng):
        self.regions = regions
        self.evacuation = evacuation.Evacuation()
        self.shares = shares_module.Shares()
        self.cold_targets = cold_targets_module.ColdTargets(
            self.shares, bounds.cold_over, bounds.cold_slack
        )
        self.limits = limits_module.Limits(self.shares)
        self.leaving = leaving_module.Leaving()
        self.backoffs = backoffs_module.Backoffs(rng)

    def get_requirements(self, work, table):
        """Give the Limits of a request."""
        return Limits(
            allowed_regions.get_allowed_regions(work.route, work.tenancy),
            find_bound(table, work.service),
        )

    def get_exclusion(self, entry, limits, now):
        """Give what forbids that a target gets a request; None: nothing."""
        bar = self._find_lasting(entry, limits)
        if bar is not None:
            return bar
        # For as long as it asked: kept away from like a sick one for half a
        # second, one that asked for 3 s got 9 requests in them.
        if not self.backoffs.may_send(entry.name, now):
            return BACKING_OFF
        if not self.cold_targets.may_send(entry.name, limits.cold, now):
            return 'cold'
        # What a target takes is bounded over all boxes: a box that went by
        # its own sends alone sent each target seven times as much.
        if not self.limits.may_send(entry.name, now):
            return LIMITED
        return None

    def _find_lasting(self, entry, limits):
        """Give what forbids it whatever was sent there before."""
        if not allowed_regions.is_domain_allowed(
            entry.domain, limits.regions, self.regions
        ):
            return 'no_home'
        if self.evacuation.holds(entry.domain):
            return 'evacuated'
        # By its own word, since the list may be away: twelve seconds long
        # requests went to a target that had said it was about to go.
        if self.leaving.holds(entry.name):
            return LEAVING
        return None

    def may_call(self, entry, now):
        """Tell whether calls beside the requests may go to a target."""
        resting = self.backoffs.is_resting(entry.name, now)
        return not resting and not self.is_closed(entry)

    def is_closed(self, entry):
        """Tell whether a target is to be left, by its own or users' word."""
        evacuated = self.evacuation.holds(entry.domain)
        return evacuated or self.leaving.holds(entry.name)

    def list_limited(self, entries, limits, now):
        """List the entries with limits that nothing else forbids now."""
        return [
            entry
            for entry in self.list_passing(entries, limits, now)
            if self.backoffs.may_send(entry.name, now)
        ]

    def list_passing(self, entries, limits, now):
        """List the entries that nothing but a limit or a rest holds back."""
        return [
            entry
            for entry in entries
            if self._find_lasting(entry, limits) is None
            and (
                self.limits.find(entry.name) is not None
                or not self.backoffs.may_send(entry.name, now)
            )
        ]

    def find_wait(self, name, now):
        """Give the seconds until limits and rests let this box send there.

        None where the box has no permit of the target's limit.
        """
        rest_s = self.backoffs.find_wait(name, now)
        if self.limits.find(name) is None:
            return rest_s
        limit_s = self.limits.find_wait(name, now)
        return None if limit_s is None else max(rest_s, limit_s)

    def record_sent(self, name, now):
        """Note that a request goes to a target."""
        self.shares.record_sent(name, now)
        self.backoffs.record_sent(name, now)

    def list_open(self, entries, limits, now):
        """List the entries that nothing forbids."""
        return [
            e for e in entries if self.get_exclusion(e, limits, now) is None
        ]

    def find_lack(self, entries, limits, now):
        """Give why no target may get a request, but for those that it had."""
        bars = {self.get_exclusion(entry, limits, now) for entry in entries}
        bars.discard(None)
        for bar in PASSING:
            if bar in bars:
                return bar
        return bars.pop() if len(bars) == 1 else 'no_target'

    def list_keepers(self, work, table):
        """Give the stores, by address, in which its context may be kept."""
        regions = allowed_regions.get_allowed_regions(work.route, work.tenancy)
        return {
            address: context_store
            for address, context_store in table.context_stores.items()
            if allowed_regions.is_domain_allowed(
                context_store.domain, regions, self.regions
            )
        }

    def withdraw_evacuation(self, domain, entries, table, now):
        """Take in that an evacuation is over; True if it stood.

        Parameters
        ----------
        entries : iterable of fleet.Entry
            All targets: those of the domain count as cold from now on.
        """
        if not self.evacuation.withdraw(domain):
            return False
        for entry in entries:
            if entry.domain == domain:
                self.record_back(entry, table, now)
        return True

    def forget(self, name):
        """Forget a life that seems to be over.

        Its words that it leaves or wants rest stay: a target whose entry
        lapsed may come back in the same life, and does not say them again.
        """
        self.shares.forget(name)
        self.cold_targets.forget(name)
        self.limits.forget(name)

    def record_back(self, entry, table, now):
        """Note that a target's path or domain came back."""
        bound = find_bound(table, entry.service)
        self.cold_targets.record_back(entry.name, bound, now)


def find_bound(table, service):
    """Give what the targets of a service bear while they are cold."""
    known = table.services.get(service) if table is not None else None
    return known.cold if known else cold_targets_module.Bound()
