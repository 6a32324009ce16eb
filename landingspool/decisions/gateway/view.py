"""State that one box holds about the fleet, and its decisions on each request.

All of it is soft state: a box starts empty, learns from the platform's store,
from targets and from its own requests, and decides without consulting other
boxes.
"""

import random

from landingspool.decisions.gateway import admission
from landingspool.decisions.gateway import ballots
from landingspool.decisions.gateway import capacity as capacity_module
from landingspool.decisions.gateway import contention as contention_module
from landingspool.decisions.gateway import context_index as index_module
from landingspool.decisions.gateway import crashes as crashes_module
from landingspool.decisions.gateway import demand as demand_module
from landingspool.decisions.gateway import engine_split as split_module
from landingspool.decisions.gateway import exclusions
from landingspool.decisions.gateway import fair_admission
from landingspool.decisions.gateway import fleet as fleet_module
from landingspool.decisions.gateway import forwarding as forwarding_module
from landingspool.decisions.gateway import freshness
from landingspool.decisions.gateway import grouping as grouping_module
from landingspool.decisions.gateway import health as health_module
from landingspool.decisions.gateway import latency
from landingspool.decisions.gateway import loading_targets
from landingspool.decisions.gateway import loads as loads_module
from landingspool.decisions.gateway import namespaces
from landingspool.decisions.gateway import partition as partition_module
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import permit_search
from landingspool.decisions.gateway import planner
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import profiles as profiles_module
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import reachability as reachability_module
from landingspool.decisions.gateway import retry_budget
from landingspool.decisions.gateway import software_history
from landingspool.decisions.gateway import start_limits
from landingspool.decisions.gateway import store_health as store_health_module
from landingspool.decisions.gateway import stream_bindings
from landingspool.decisions.gateway import transfers
from landingspool.decisions.gateway import walls as walls_module
from landingspool.decisions.gateway import watchers as watchers_module
from landingspool.decisions.gateway import weights as weights_module

# Lowest number of boxes that the retry budget is divided by: the deployments
# have six and seven boxes, and may replace one of them.
MIN_BOXES = 8


class View:
    """Hold what one box knows, and plan requests with it.

    Parameters
    ----------
    domain : str
    bounds
        The deployment's Bounds.
    seed : int
        Seed of the random choices.
    regions : dict of str to str, optional
        The region of each failure domain.
    process : str, optional
        Random text that no other process has.
    """

    def __init__(self, domain, bounds, seed, regions=None, process=''):
        self.domain = domain
        self.bounds = bounds
        self.rng = random.Random(seed)
        self.table = None
        self.fleet = fleet_module.Fleet()
        self.software_history = software_history.SoftwareHistory()
        self.stream_bindings = stream_bindings.Bindings()
        self.loads = loads_module.Loads()
        self.latency = latency.LatencyTracker()
        self.weights = weights_module.Weights(bounds.version_s)
        self.loading = loading_targets.LoadingTargets()
        self.ballots = ballots.Ballots()
        self.reachability = reachability_module.Reachability()
        self.partition = partition_module.Partition()
        self.watchers = watchers_module.Watchers()
        self.engine_split = split_module.EngineSplit()
        self.exclusions = exclusions.Exclusions(
            bounds, regions or {}, self.rng
        )
        self.free_capacity = capacity_module.FreeCapacity(
            self.fleet, self.exclusions
        )
        # None unless callers compete for room at times.
        self.contention = (
            contention_module.Contention(self.free_capacity)
            if bounds.contended
            else None
        )
        self.private_spaces = namespaces.PrivateSpaces(process)
        self.walls = walls_module.Walls()
        self.context_index = index_module.ContextIndex()
        self.store_health = store_health_module.StoreHealth()
        self.proof = freshness.Proof(bounds.key_s, bounds.keys_fail_closed)
        self.peer_digests = peer_digests.PeerDigests()
        self.crashes = crashes_module.Crashes()
        self.fair_admission = fair_admission.FairAdmission(bounds.fair_shares)
        self.profiles = profiles_module.Profiles()
        self.boxes = MIN_BOXES
        # Number of other boxes in each domain.
        self.peers_by_domain = {}
        # Epoch and used tokens of each store, as this box last counted them.
        self.store_usage = {}
        self.grouping = grouping_module.Grouping(self)
        self.start_limits = start_limits.StartLimits(self)
        self.planner = planner.Planner(self)
        self.forwarding = forwarding_module.Forwarding(self)
        self.permit_search = permit_search.PermitSearch()
        self._health = {}
        self._retry_budgets = {}

    def put_table(self, table):
        """Store a published table; return False if it is not newer."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.fair_admission.put_table(table)
        return True

    def may_serve(self, work, now):
        """Return whether a request may be served by the table in force.

        A request with a key needs a recent confirmation of the table by the
        platform's store: the key may have been revoked.
        """
        return work.tenancy is None or self.proof.is_fresh(now)

    def put_entry(self, entry, now):
        """Store a target's entry; return the state that applies."""
        before = self.fleet.get_incarnation(entry.target)
        state = self.fleet.put(entry)
        if state == fleet_module.SUPERSEDED:
            return state
        if before not in (None, entry.name):
            self.record_incarnation_end(before, now)
        self.software_history.record(entry.service, entry.software, now)
        self.exclusions.cold_targets.record_reported(
            entry.name, entry.cold_s, now
        )
        return state

    def withdraw_evacuation(self, domain, now):
        """Record the end of an evacuation; return True if it was in force."""
        entries = self.fleet.entries.values()
        return self.exclusions.withdraw_evacuation(
            domain, entries, self.table, now
        )

    def record_connected(self, now):
        """Record that a new connection to any target was established."""
        if self.partition.record_connected(now):
            for name in self.reachability.list_failed():
                self.reachability.expedite(name, now)

    def record_reconnected(self, name, now):
        """Record that this box can connect to a target again."""
        entry = self.fleet.entries.get(name)
        self.reachability.record_reached(name, now)
        if entry is not None:
            self.exclusions.record_reconnected(entry, self.table, now)

    def list_services(self):
        """Return the names of the published services."""
        return tuple(self.table.services) if self.table is not None else ()

    def list_loadable(self, model):
        """Return the entries of a model's targets that may get load orders."""
        return [
            entry
            for entry in self.fleet.list_model(model, self.list_services())
            if not self.exclusions.is_closed(entry)
        ]

    def may_send(self, entry, work, now):
        """Return whether a request may be sent to a target now."""
        if entry.name not in self.fleet.entries:
            return False
        limits = self.exclusions.get_requirements(work, self.table)
        return self.exclusions.get_exclusion(entry, limits, now) is None

    def has_available(self, work, now):
        """Return whether any target of the request's service may get it."""
        limits = self.exclusions.get_requirements(work, self.table)
        entries = self.fleet.list_service(work.service)
        return bool(self.exclusions.list_open(entries, limits, now))

    def reaches(self, service):
        """Return whether any target of a service can be connected to."""
        return any(
            not self.reachability.is_out(entry.name)
            for entry in self.fleet.list_service(service)
        )

    def get_shortage(self, work, now):
        """Return why no target may get a request."""
        if self.start_limits.lacks_new_weights(work, now):
            return exclusions.OLD_WEIGHTS
        limits = self.exclusions.get_requirements(work, self.table)
        entries = self.fleet.list_service(work.service)
        return self.exclusions.get_shortage(entries, limits, now)

    def plan(self, work, avoid, now, ready=frozenset()):
        """Choose a target for a request; return a Plan, or None.

        Parameters
        ----------
        avoid : sequence of str
            Targets that this request was sent to before.
        ready : frozenset of tuple
            Addresses to which there is an idle connection.
        """
        return self.planner.plan(work, avoid, now, ready)

    def make_demand(self, work, left_s, fingerprint, now):
        """Return the Demand of a request that arrives."""
        if self.contention is None:
            return demand_module.make_demand(work, left_s, False, 0.0)
        excess = self.fair_admission.measure_excess(work)
        return self.contention.make_demand(
            work, left_s, fingerprint, self.rng.random(), now, excess
        )

    def is_admitted(self, plan, work, demand=None):
        """Return whether a request should be sent as planned.

        Parameters
        ----------
        demand : demand.Demand or None
            None where callers don't compete for room.
        """
        return self.planner.is_admitted(plan, work, demand)

    def compute_retry_after(self, plan, work, demand, now):
        """Return the seconds after which a refused caller should retry."""
        if self.contention is None:
            return admission.compute_retry_after(
                plan.wait_s, plan.pressure, self.rng
            )
        return self.contention.compute_retry_after(plan, work, demand, now)

    def get_lag(self, name, model, now):
        """Return the seconds since the first version that a target missed."""
        has = self.fleet.get_version(name, model)
        return self.weights.get_lag(model, has, now)

    def get_time_left(self, name, model, now):
        """Return the seconds for which a target's weights remain usable."""
        return self.weights.max_lag_s - self.get_lag(name, model, now)

    def is_plain(self, service):
        """Return whether the targets of a service are no model engines."""
        known = self.table.services.get(service)
        return known is not None and known.engine is None

    def get_connection_limit(self, service):
        """Return how many connections to one target this box may keep open.

        All boxes together keep at most half of what a target accepts, so that
        new connections of any of them are still accepted.
        """
        known = self.table.services.get(service)
        if known is None:
            return 1
        return max(known.max_connections // (2 * self.boxes), 1)

    def record_sent(self, plan, work, now):
        """Record that a request is sent to a target."""
        tokens = held = 0
        if work.prompt is not None:
            tokens = plan.read_tokens
            stored = prompts.count_read(work.prompt, plan.transfer.tokens)
            self.engine_split.record(stored, now)
            held = plans.count_held(work)
        if plan.spill:
            is_crossing = plan.entry.domain != self.domain
            self.grouping.summaries.count(plan.spill, is_crossing)
        sent = loads_module.Sent(now, tokens, False, held)
        self.loads.record_sent(plan.entry.name, work.name, sent)
        self.fair_admission.record_served(work, now)
        self.exclusions.record_sent(plan.entry.name, now)

    def record_first(self, plan, work, now):
        """Record the first byte of the answer to a request."""
        name = plan.entry.name
        if name not in self.fleet.entries:
            # An answer of an earlier incarnation tells nothing about the
            # current one.
            return
        self.loads.record_received(name, now)
        self.reachability.record_reached(name, now)
        self.partition.record_answered(now)
        sent = self.loads.record_first(name, work.name)
        if sent is not None:
            self.crashes.record_alive(name, sent.at)
            self._learn_speed(plan, work, now - sent.at, now)
        if sent is None or work.prompt is None:
            return
        objective_s = work.route.target_latency_s
        self.latency.record_first(
            work.service, now - sent.at, objective_s, now
        )
        self._record_fetch(plan, work, now - sent.at, now)
        if plan.space:
            parts = prompts.list_shared(work.prompt)
            self.context_index.add_read(name, plan.space, parts, now)

    def _record_fetch(self, plan, work, wait_s, now):
        """Record the time to the first byte for the store fetched from."""
        transfer = plan.transfer
        # What the target has cached is not fetched.
        fetched = transfer.tokens > plan.cached + transfers.MIN_TOKENS
        beyond_s = wait_s - plan.expected_s + transfer.delay_s
        sample = store_health_module.Sample(
            work.service,
            plan.entry.name,
            transfer.store if fetched else '',
            beyond_s,
        )
        self.store_health.record(sample, now)

    def get_store_delay(self, store, now):
        """Return the seconds by which fetches from a store are delayed."""
        return self.store_health.get_delay(store, self.boxes, now)

    def list_slow_stores(self, now):
        """Return the delay in seconds of each slow store."""
        return self.store_health.list_slow(self.boxes, now)

    def _learn_speed(self, plan, work, seconds, now):
        name = plan.entry.name
        is_usual = (
            not self.exclusions.cold_targets.get_seconds_left(name, now)
            and self.exclusions.limits.find(name) is None
        )
        if is_usual and profiles_module.is_telling(plan, work):
            self.profiles.record(name, plan.read_tokens, seconds, now)

    def record_answer(self, plan, wait_s, failed):
        """Update a target's health from an answer.

        Parameters
        ----------
        wait_s : float
            Seconds to the first byte.
        """
        if plan.entry.name not in self.fleet.entries:
            return
        known = self.get_health(plan.entry.name)
        beyond = max(wait_s - plan.expected_s, 0.0)
        self._health[plan.entry.name] = health_module.record_answer(
            known, beyond, failed
        )

    def record_rejected(self, plan, work, now):
        """Update what is known of a target that rejected a request."""
        name = plan.entry.name
        if self.contention is None or work.prompt is not None:
            self.record_loss(name, now, certain=True)
            return
        peer_loads = self.peer_digests.sum_loads(self.peers_by_domain, now)
        load = self.loads.measure(name, peer_loads.get(name))
        if not self.contention.record_rejected(plan.entry, load, now):
            self.record_loss(name, now)

    def record_loss(self, name, now, certain=False):
        """Update a target's health from a request that it did not answer."""
        known = self.get_health(name)
        self._health[name] = health_module.record_loss(known, now, certain)

    def take_digest(self, digest, now):
        """Store what another box reports of its requests and of targets."""
        self.peer_digests.take(digest, now)
        self.grouping.summaries.take(digest, now)
        self._take_unreached(digest, now)
        for notice in digest.endings:
            self.crashes.take(notice, now)
        for notice in digest.limits:
            self.exclusions.limits.take(notice, digest.box, now)
        for notice in digest.leaving:
            self.exclusions.leaving.take(notice, digest.box, now)
        for report in digest.answers:
            self.profiles.take(report, now)
        for store, counted in digest.rooms.items():
            self.context_index.record_taken(store, *counted)
        self.store_health.take_reports(digest.box, digest.slow_stores, now)
        self.fair_admission.take(digest, now)
        self.ballots.hear(digest.ballot, now)

    def _take_unreached(self, digest, now):
        unreached = self.fleet.entries.keys() & digest.unreached
        if digest.partitioned or partition_module.is_nearly_all(
            len(unreached), len(self.fleet.entries)
        ):
            # The box is cut off, which says nothing about the targets.
            self.watchers.record_partitioned(digest.box)
            return
        for name in self.watchers.receive_report(
            digest.box, digest.unreached, now
        ):
            self.reachability.expedite(name, now)
        for name in digest.unreached:
            if name in unreached:
                self._suspect(name, now)

    def _suspect(self, name, now):
        duty = self.watchers.is_duty(name)
        confirm_s = (
            reachability_module.WATCHER_CONFIRMED_S
            if duty
            else reachability_module.CONFIRMED_S
        )
        self.reachability.suspect(name, now, confirm_s)

    def record_unreached(self, name, now):
        """Record that this box could not connect to a target."""
        watched = self.watchers.is_watched(name, now)
        is_new = name not in self.reachability.list_failed()
        self.reachability.record_failed(name, now, watched)
        self.partition.record_failed(name, is_new, now)

    def list_samples(self, now):
        """List the targets whose probes tell whether this box is cut off."""
        if not self.partition.is_suspected(now):
            return []
        failed = self.reachability.list_failed()
        untried = [
            entry
            for entry in self.fleet.entries.values()
            if entry.name not in failed
        ]
        if not untried:
            self.partition.begin(now)
        samples = [e for e in untried if self.exclusions.may_call(e, now)]
        return self.partition.pick_samples(samples, now)

    def list_silent(self, now):
        """List the silent targets whose paths are due to be checked."""
        silent = [
            name
            for name in self.loads.list_silent(
                now, reachability_module.SILENCE_S
            )
            if self.may_call(name, now)
        ]
        return self.reachability.take_unchecked(silent, now)

    def list_due_probes(self, now):
        """List the targets that are due to be probed."""
        if not self.partition.is_on:
            return self.reachability.list_due(now)
        dues = self.reachability.get_dues()
        dues = {
            name: dues.get(name, 0.0)
            for name in self.fleet.entries
            if self.may_call(name, now)
        }
        return self.partition.list_retries(dues, now)

    def get_health(self, name):
        """Return the Health of a target."""
        return self._health.get(name, health_module.Health())

    def count_first(self, work, now):
        """Count a request for the retry budget of its service."""
        self._get_retry_budget(work.service).record_first(now)
        self.free_capacity.record(work, now)
        self.fair_admission.record_asked(work, now)

    def take_repeat(self, service, now):
        """Take one repeat from a service's retry budget, if one is left."""
        return self._get_retry_budget(service).take(now, self.boxes)

    def has_repeat(self, service, now):
        """Return whether a service's retry budget has a repeat left."""
        return self._get_retry_budget(service).has_left(now, self.boxes)

    def may_call(self, name, now):
        """Return whether calls other than requests may go to a target."""
        entry = self.fleet.entries.get(name)
        return entry is not None and self.exclusions.may_call(entry, now)

    def record_incarnation_end(self, name, now):
        """Record that the incarnation of a target has ended."""
        self.crashes.record_incarnation_end(name, now)
        self.exclusions.leaving.record_incarnation_end(name)
        self.forget(name)

    def forget(self, name):
        """Discard what was learned of a target that is gone."""
        self._health.pop(name, None)
        self.loads.forget(name)
        self.profiles.forget(name)
        self.reachability.forget(name)
        self.context_index.forget(name)
        self.exclusions.forget(name)

    def _get_retry_budget(self, service):
        known = self._retry_budgets.get(service)
        if known is None:
            bounds = self.bounds
            known = retry_budget.RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
            self._retry_budgets[service] = known
        return known
