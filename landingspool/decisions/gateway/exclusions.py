"""Decides which targets a request must not be sent to.

A target is excluded by the software version that began the request's stream,
by its allowed regions, by an evacuation of the target's domain, by the request
rate that a cold target can take, and by what the target announces about
itself: a limit, that it is leaving, or a back-off.  The check is made when a
target is chosen and again just before sending, since a connection may have to
be opened between the two.
"""

import typing

from landingspool.decisions.gateway import allowed_regions
from landingspool.decisions.gateway import backoffs as backoffs_module
from landingspool.decisions.gateway import cold_targets as cold_targets_module
from landingspool.decisions.gateway import evacuation
from landingspool.decisions.gateway import leaving as leaving_module
from landingspool.decisions.gateway import limits as limits_module
from landingspool.decisions.gateway import shares as shares_module


# Exclusion of a target whose advertised limit is used up.
LIMITED = 'limited'
# Exclusion of a target that has announced that it is leaving.
LEAVING = 'leaving'
# Exclusion of a target that has asked this box to back off.
BACKING_OFF = 'resting'
# Exclusion of a target of another software version than that of the stream.
OTHER_SOFTWARE = 'other_software'
# Exclusion of targets whose weights are older than the bound allows.
OLD_WEIGHTS = 'old_weights'
# Exclusions whose end is known: a refusal says when to retry.
TEMPORARY = (LIMITED, BACKING_OFF)


class Requirements(typing.NamedTuple):
    """What a request requires of a target, the same for all targets.

    `regions` is None if any region is allowed.  `cold` is the request rate
    that the targets of the service can take while they are cold.  `software`
    is None if any software version may get the request.
    """

    regions: frozenset | None
    cold: cold_targets_module.Bound
    software: str | None = None


class Exclusions:
    """The exclusions in force, as known to one box.

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
        """Return the Requirements of a request."""
        return Requirements(
            allowed_regions.get_allowed_regions(work.route, work.tenancy),
            get_cold_bound(table, work.service),
            work.software,
        )

    def get_exclusion(self, entry, requirements, now):
        """Return why a target must not get a request, or None if it may."""
        exclusion = self._get_lasting(entry, requirements)
        if exclusion is not None:
            return exclusion
        # The back-off is honored for its whole length.  With only the
        # half-second pause after a failure, a target that asked for 3 s got 9
        # requests in that time.
        if not self.backoffs.may_send(entry.name, now):
            return BACKING_OFF
        if not self.cold_targets.may_send(entry.name, requirements.cold, now):
            return 'cold'
        # The limit holds for all boxes together.  When each box counted only
        # its own requests, targets received seven times their limit.
        if not self.limits.may_send(entry.name, now):
            return LIMITED
        return None

    def _get_lasting(self, entry, requirements):
        """Return the exclusion that is independent of earlier requests."""
        if requirements.software not in (None, entry.software):
            return OTHER_SOFTWARE
        if not allowed_regions.is_domain_allowed(
            entry.domain, requirements.regions, self.regions
        ):
            return 'no_home'
        if self.evacuation.holds(entry.domain):
            return 'evacuated'
        # The target's own announcement counts, since the platform's list may
        # be unavailable: requests were sent for twelve seconds to a target
        # that had announced that it was leaving.
        if self.leaving.holds(entry.name):
            return LEAVING
        return None

    def may_call(self, entry, now):
        """Return whether calls other than requests may be sent to a target."""
        resting = self.backoffs.is_backing_off(entry.name, now)
        return not resting and not self.is_closed(entry)

    def is_closed(self, entry):
        """Return whether a target is evacuated or is leaving."""
        evacuated = self.evacuation.holds(entry.domain)
        return evacuated or self.leaving.holds(entry.name)

    def list_limited(self, entries, requirements, now):
        """List the entries with limits that have no other exclusion now."""
        return [
            entry
            for entry in self.list_temporary(entries, requirements, now)
            if self.backoffs.may_send(entry.name, now)
        ]

    def list_temporary(self, entries, requirements, now):
        """List the entries excluded by nothing but a limit or a back-off."""
        return [
            entry
            for entry in entries
            if self._get_lasting(entry, requirements) is None
            and (
                self.limits.find(entry.name) is not None
                or not self.backoffs.may_send(entry.name, now)
            )
        ]

    def compute_wait(self, name, now):
        """Return the seconds until limit and back-off allow a request.

        None if the box has no permit of the target's limit.
        """
        backoff_s = self.backoffs.compute_wait(name, now)
        if self.limits.find(name) is None:
            return backoff_s
        limit_s = self.limits.compute_wait(name, now)
        return None if limit_s is None else max(backoff_s, limit_s)

    def record_sent(self, name, now):
        """Record that a request is sent to a target."""
        self.shares.record_sent(name, now)
        self.backoffs.record_sent(name, now)

    def list_open(self, entries, requirements, now):
        """List the entries that are not excluded."""
        return [
            e
            for e in entries
            if self.get_exclusion(e, requirements, now) is None
        ]

    def list_permitted(self, entries, requirements):
        """List the entries that a request may get, now or later."""
        return [
            entry
            for entry in entries
            if self._get_lasting(entry, requirements) is None
        ]

    def get_shortage(self, entries, requirements, now):
        """Return why the targets that a request did not try are excluded."""
        exclusions = {
            self.get_exclusion(entry, requirements, now) for entry in entries
        }
        if exclusions == {OTHER_SOFTWARE}:
            return OTHER_SOFTWARE
        exclusions -= {None, OTHER_SOFTWARE}
        for exclusion in TEMPORARY:
            if exclusion in exclusions:
                return exclusion
        return exclusions.pop() if len(exclusions) == 1 else 'no_target'

    def list_context_stores(self, work, table):
        """Return the stores that may hold the request's KV cache.

        The keys are the addresses of the stores.
        """
        regions = allowed_regions.get_allowed_regions(work.route, work.tenancy)
        return {
            address: context_store
            for address, context_store in table.context_stores.items()
            if allowed_regions.is_domain_allowed(
                context_store.domain, regions, self.regions
            )
        }

    def withdraw_evacuation(self, domain, entries, table, now):
        """Record the end of an evacuation; return True if it was in force.

        Parameters
        ----------
        entries : iterable of fleet.Entry
            All targets.  Those of the domain count as cold from now on.
        """
        if not self.evacuation.withdraw(domain):
            return False
        for entry in entries:
            if entry.domain == domain:
                self.record_reconnected(entry, table, now)
        return True

    def forget(self, name):
        """Forget an incarnation that seems to have ended.

        Its announcements that it is leaving or wants a back-off stay: a target
        whose entry lapsed may come back in the same incarnation and does not
        repeat them.
        """
        self.shares.forget(name)
        self.cold_targets.forget(name)
        self.limits.forget(name)

    def record_reconnected(self, entry, table, now):
        """Record that a target's path or domain is reachable again."""
        bound = get_cold_bound(table, entry.service)
        self.cold_targets.record_reconnected(entry.name, bound, now)


def get_cold_bound(table, service):
    """Return what the targets of a service can take while they are cold."""
    known = table.services.get(service) if table is not None else None
    return known.cold if known else cold_targets_module.Bound()
