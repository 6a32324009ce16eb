"""Decides which workspaces are refused while there is too little capacity.

How many requests are refused follows from the load of the targets.  This
module only decides whose: capacity is divided fairly among the workspaces that
ask for it.  So a workspace gets no more by sending more, and without refusals
nothing changes.
"""

from landingspool.decisions.gateway import fair_levels
from landingspool.decisions.gateway import workspace_usage

# Seconds for which sums over all boxes are used.  Reports are not newer.
SUM_S = 0.5
# Seconds after a refusal for which boxes report the usage of a service.
REPORTED_S = 5.0
# Excess from which on a workspace counts as over its share, in the metrics.
MIN_EXCESS = 0.1


class FairAdmission:
    """The fair shares of all services, as one box knows them.

    Parameters
    ----------
    enabled : bool
        Whether the deployment asks for fair shares.
    """

    def __init__(self, enabled):
        self._enabled = enabled
        self._is_on = False
        self._weights = {}
        self._usage = workspace_usage.WorkspaceUsage()
        self._demands = {}
        self._refused_at = {}
        self._reported = float('-inf')

    @property
    def is_on(self):
        """Return whether the table holds workspaces to be fair to."""
        return self._is_on

    def put_table(self, table):
        """Take the workspaces and their weights from a published table."""
        tenancies = set(table.keys.values())
        self._is_on = self._enabled and table.keyed and len(tenancies) > 1
        self._weights = {
            workspace_usage.hash_name(tenancy.name): tenancy.weight
            for tenancy in tenancies
            if tenancy.weight != 1.0
        }
        self._usage.keep_services(table.services)
        self._demands.clear()

    def record_asked(self, work, now):
        """Record that a request has arrived."""
        if self._is_on:
            self._usage.record_asked(work, now)

    def record_served(self, work, now):
        """Record that a request is sent to a target."""
        if self._is_on:
            self._usage.record_served(work, now)

    def spread(self, work, refused, peers_by_domain, now):
        """Return the share of a workspace's requests that is refused.

        Parameters
        ----------
        work : plans.Work
        refused : float
            Share of all such requests that is refused; 0 or less: none.
        peers_by_domain : dict of str to int
            Number of other boxes in each domain.
        """
        if not self._is_on or refused <= 0:
            return refused
        self._refused_at[work.service] = now
        demands = self._find_demands(work.service, peers_by_domain, now)
        name = work.workspace
        return fair_levels.spread_refused(
            demands, workspace_usage.hash_name(name), refused
        )

    def measure_excess(self, work):
        """Return how far a workspace asks for more than its fair share."""
        demands = self._demands.get(work.service)
        if demands is None:
            return 0.0
        name = work.workspace
        return fair_levels.compute_excess(
            demands, workspace_usage.hash_name(name)
        )

    def count_over(self, now):
        """Count the workspaces over their share, by service.

        Returns
        -------
        dict of str to int
            Only services of which requests were refused lately.
        """
        counts = {}
        for service in self._list_scarce(now):
            demands = self._demands.get(service)
            if demands is not None:
                counts[service] = sum(
                    fair_levels.compute_excess(demands, workspace) > MIN_EXCESS
                    for workspace in demands.usage
                )
        return counts

    def make_due_report(self, now):
        """Return the usage that the next digest reports; empty if not due."""
        services = self._list_scarce(now)
        if not services or now - self._reported < workspace_usage.REPORT_S:
            return {}
        self._reported = now
        return self._usage.make_report(services, now)

    def take(self, digest, now):
        """Store what another box reports."""
        if self._is_on:
            self._usage.take(digest, now)

    def exclude_stall(self, seconds):
        """Exclude a stall of this box."""
        self._usage.exclude_stall(seconds)
        self._demands.clear()

    def _list_scarce(self, now):
        """List the services that refused lately; forget the others."""
        for service, at in list(self._refused_at.items()):
            if now - at >= REPORTED_S:
                del self._refused_at[service]
                self._demands.pop(service, None)
        return list(self._refused_at)

    def _find_demands(self, service, peers_by_domain, now):
        known = self._demands.get(service)
        if known is None or now - known.at > SUM_S:
            usage = self._usage.sum_usage(service, peers_by_domain, now)
            known = fair_levels.make_demands(usage, self._weights, now)
            self._demands[service] = known
        return known
