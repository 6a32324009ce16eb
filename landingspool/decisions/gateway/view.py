"""State that one box holds about the fleet, and its decisions on each request.

All of it is soft state: a box starts empty, learns from the platform's store,
from targets and from its own requests, and decides without consulting other
boxes.
"""

import random

from landingspool.decisions.gateway import admission
from landingspool.decisions.gateway import capacity as capacity_module
from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import context_index as index_module
from landingspool.decisions.gateway import crashes as crashes_module
from landingspool.decisions.gateway import engine_split as split_module
from landingspool.decisions.gateway import exclusions
from landingspool.decisions.gateway import fleet as fleet_module
from landingspool.decisions.gateway import freshness
from landingspool.decisions.gateway import health as health_module
from landingspool.decisions.gateway import latency
from landingspool.decisions.gateway import loads as loads_module
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import reachability as reachability_module
from landingspool.decisions.gateway import retry_budget
from landingspool.decisions.gateway import transfers
from landingspool.decisions.gateway import watchers as watchers_module
from landingspool.decisions.gateway import weights as weights_module

# Lowest number of boxes that the retry budget is divided by: the deployments
# have six and seven boxes, and may replace one of them.
MIN_BOXES = 8
# Seconds without a byte after which a target with a waiting request counts as
# silent: engines answer within some hundred ms, plain services within 220 ms
# at most.
ENGINE_SILENCE_S = 1.0
PLAIN_SILENCE_S = 0.45


# Share of a route's latency objective that a request may be expected to wait
# at each of the engines for its size; above it the other engines are
# candidates, too.
OVERFLOW_SHARE = 0.2


class View:
    """Hold what one box knows, and plan requests with it.

    Parameters
    ----------
    domain : str
    bounds
        The deployment's Bounds.
    seed : int
        Of the random choices.
    regions : dict of str to str, optional
        The region of each failure domain.
    """

    def __init__(self, domain, bounds, seed, regions=None):
        self.domain = domain
        self.bounds = bounds
        self.rng = random.Random(seed)
        self.table = None
        self.fleet = fleet_module.Fleet()
        self.loads = loads_module.Loads()
        self.latency = latency.LatencyTracker()
        self.weights = weights_module.Weights(bounds.version_s)
        self.reachability = reachability_module.Reachability()
        self.watchers = watchers_module.Watchers()
        self.engine_split = split_module.EngineSplit()
        self.exclusions = exclusions.Exclusions(
            bounds, regions or {}, self.rng
        )
        self.free_capacity = capacity_module.FreeCapacity(
            self.fleet, self.exclusions
        )
        self.context_index = index_module.ContextIndex()
        self.proof = freshness.Proof(bounds.key_s, bounds.keys_fail_closed)
        self.peer_digests = peer_digests.PeerDigests()
        self.endings = crashes_module.Crashes()
        self.boxes = MIN_BOXES
        # Number of other boxes in each domain.
        self.peers_by_domain = {}
        # Epoch and used tokens of each store, as this box last counted them.
        self.rooms = {}
        self._health = {}
        self._retry_budgets = {}

    def put_table(self, table):
        """Store a published table; return False if it is not newer."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True

    def put_entry(self, entry, now):
        """Store a target's entry; return the state that applies."""
        before = self.fleet.get_incarnation(entry.target)
        state = self.fleet.put(entry)
        if state == fleet_module.SUPERSEDED:
            return state
        if before not in (None, entry.name):
            self.record_incarnation_end(before, now)
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
        """Return whether a request's service has a target not excluded."""
        limits = self.exclusions.get_requirements(work, self.table)
        entries = self.fleet.list_service(work.service)
        return bool(self.exclusions.list_open(entries, limits, now))

    def get_shortage(self, work, now):
        """Return why no target may get a request."""
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
        entries = self._list_usable(work, avoid, now)
        # Most targets run the same weights, so transfers are planned once for
        # each namespace.
        transfers_by_space = {}
        candidates = [
            self._make_candidate(
                entry, work, now, transfers_by_space
            )._replace(ready=entry.address in ready)
            for entry in entries
        ]
        held = choice.measure_memory(candidates)
        candidates = plans.weigh_candidates(candidates, work, held)
        silence_timeout_s = (
            PLAIN_SILENCE_S if work.prompt is None else ENGINE_SILENCE_S
        )
        usable = choice.list_usable(candidates, now, silence_timeout_s)
        chosen = choice.choose(
            self._pick_by_size(usable, work, held),
            work.prompt,
            self.domain,
            now,
            self.rng,
            silence_timeout_s,
        )
        if chosen is None:
            return None
        plan = self._make_plan(chosen, work, now, transfers_by_space)
        pressure = max(
            choice.measure_pressure(candidates),
            self.latency.measure(work.service, now),
        )
        all_limited = all(c.limited for c in candidates)
        return plan._replace(
            pressure=pressure, held=held, all_limited=all_limited
        )

    def _pick_by_size(self, candidates, work, held):
        """Return the healthy engines for prompts of this request's size.

        All candidates are returned where each of these engines would let the
        request wait too long.
        """
        if work.prompt is None or not candidates:
            return candidates
        taken, slots = choice.count_occupancy(candidates)
        self.engine_split.record_headroom(
            split_module.measure_headroom(taken, slots, len(candidates)),
            held.share,
        )
        stored = max(candidate.stored for candidate in candidates)
        read = prompts.count_read(work.prompt, stored)
        names = self.engine_split.pick(read, [c.entry for c in candidates])
        if names is None:
            return candidates
        limit_s = work.route.target_latency_s * OVERFLOW_SHARE
        suited = [c for c in candidates if c.entry.name in names]
        if all(choice.estimate_wait(c) > limit_s for c in suited):
            return candidates
        return suited

    def is_admitted(self, plan, work):
        """Return whether a request should be sent as planned."""
        if work.prompt is None:
            return True
        weight = choice.compute_memory_weight(
            plans.count_held(work), plan.held
        )
        filled = (
            (plan.pressure, admission.PRESSURES),
            (plan.held.share * weight, admission.MEMORY_SHARES),
        )
        for share, bounds in filled:
            if not admission.is_below_share(
                share, bounds, work.route.priority, self.rng.random()
            ):
                return False
        return admission.is_admitted(
            plan.wait_s,
            work.route.target_latency_s,
            plan.read_tokens,
            work.route.priority,
        )

    def get_lag(self, name, model, now):
        """Return the seconds since the first version that a target missed."""
        has = self.fleet.get_version(name, model)
        return self.weights.get_lag(model, has, now)

    def get_time_left(self, name, model, now):
        """Return the seconds for which a target's weights remain usable."""
        return self.weights.max_lag_s - self.get_lag(name, model, now)

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
        sent = loads_module.Sent(now, tokens, False, held)
        self.loads.record_sent(plan.entry.name, work.name, sent)
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
        sent = self.loads.record_first(name, work.name)
        if sent is not None:
            self.endings.record_alive(name, sent.at)
        if sent is None or work.prompt is None:
            return
        objective_s = work.route.target_latency_s
        self.latency.record_first(
            work.service, now - sent.at, objective_s, now
        )
        if plan.space:
            parts = prompts.list_shared(work.prompt)
            self.context_index.add_read(name, plan.space, parts, now)

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

    def record_loss(self, name, now, certain=False):
        """Update a target's health from a request that it did not answer."""
        known = self.get_health(name)
        self._health[name] = health_module.record_loss(known, now, certain)

    def take_digest(self, digest, now):
        """Store what another box reports of its requests and of targets."""
        self.peer_digests.take(digest, now)
        for name in self.watchers.receive_report(
            digest.box, digest.unreached, now
        ):
            self.reachability.expedite(name, now)
        for name in digest.unreached:
            if name in self.fleet.entries:
                self._suspect(name, now)
        for notice in digest.endings:
            self.endings.take(notice, now)
        for notice in digest.limits:
            self.exclusions.limits.take(notice, digest.box, now)
        for notice in digest.leaving:
            self.exclusions.leaving.take(notice, digest.box, now)
        for store, counted in digest.rooms.items():
            self.context_index.record_taken(store, *counted)

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
        self.reachability.record_failed(name, now, watched)

    def get_health(self, name):
        """Return the Health of a target."""
        return self._health.get(name, health_module.Health())

    def count_first(self, work, now):
        """Count a request for the retry budget of its service."""
        self._get_retry_budget(work.service).record_first(now)
        self.free_capacity.record(work, now)

    def may_repeat(self, service, now):
        """Take one repeat from a service's retry budget, if one is left."""
        return self._get_retry_budget(service).take(now, self.boxes)

    def may_call(self, name, now):
        """Return whether calls other than requests may go to a target."""
        entry = self.fleet.entries.get(name)
        return entry is not None and self.exclusions.may_call(entry, now)

    def record_incarnation_end(self, name, now):
        """Record that the incarnation of a target has ended."""
        self.endings.record_incarnation_end(name, now)
        self.exclusions.leaving.record_incarnation_end(name)
        self.forget(name)

    def forget(self, name):
        """Discard what was learned of a target that is gone."""
        self._health.pop(name, None)
        self.loads.forget(name)
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

    def _list_usable(self, work, avoid, now):
        """Return the entries of the targets that a request may be sent to."""
        limits = self.exclusions.get_requirements(work, self.table)
        known = self.fleet.list_service(work.service)
        known = [entry for entry in known if entry.name not in avoid]
        entries = self.exclusions.list_open(known, limits, now)
        # If none can be reached, an attempt costs no more than a refusal.
        reached = [e for e in entries if not self.reachability.is_out(e.name)]
        entries = reached or entries
        if work.prompt is None:
            return entries
        return self._list_loaded(entries, work.prompt, now)

    def _list_loaded(self, entries, prompt, now):
        """Return the entries that neither load nor have too old weights."""
        idle = [
            entry
            for entry in entries
            if not self.weights.is_loading(entry.name, prompt, now)
        ]
        return [
            entry
            for entry in idle or entries
            if self.get_lag(entry.name, prompt.model, now)
            < self.weights.max_lag_s
        ]

    def _make_candidate(self, entry, work, now, transfers_by_space):
        peers_by_domain = self.peer_digests.get_load(
            entry.name, self.peers_by_domain, now
        )
        load = self.loads.measure(entry.name, peers_by_domain)
        health = self.get_health(entry.name)
        cold_s = self.exclusions.cold_targets.get_seconds_left(entry.name, now)
        limited = self.exclusions.limits.find(entry.name) is not None
        if work.prompt is None:
            return choice.Candidate(
                entry, load, health, cold_s=cold_s, limited=limited
            )
        version = self.fleet.get_version(entry.name, work.prompt.model)
        space = prompts.build_namespace(
            work.prompt.model, version, work.tenancy
        )
        cached = prompts.count_kept(
            work.prompt, space, self.context_index.cached(entry.name)
        )
        transfer = transfers_by_space.get(space)
        if transfer is None:
            transfer = self._plan_transfer(work, version, space, now)
            transfers_by_space[space] = transfer
        return choice.Candidate(
            entry,
            load,
            health,
            cached,
            transfer.tokens,
            transfer.seconds,
            weights_module.compute_penalty(
                self.get_lag(entry.name, work.prompt.model, now)
            ),
            self._get_capacity(work.service),
            cold_s=cold_s,
            limited=limited,
        )

    def _get_capacity(self, service):
        known = self.table.services.get(service)
        if known is None or known.engine is None:
            return 0
        return known.engine.capacity_tokens

    def _make_plan(self, chosen, work, now, transfers_by_space):
        version, space, read = None, '', 0
        transfer = transfers.Transfer()
        if work.prompt is not None:
            version, space = self._get_namespace(chosen.entry.name, work, now)
            if version is not None:
                transfer = transfers_by_space[space]
            cached = max(chosen.cached, transfer.tokens)
            read = prompts.count_read(work.prompt, cached)
        return plans.Plan(
            chosen.entry,
            chosen.expected_s,
            chosen.wait_s,
            chosen.cached,
            read,
            chosen.candidates,
            version,
            space,
            transfer,
        )

    def _get_namespace(self, name, work, now):
        """Return the version that a request needs, and its namespace.

        A target that is about to load may have the new weights before the
        request arrives, or get them while it runs.  So the version is None
        (any version will do), and the request has a namespace of its own and
        no transfers: it shares no context with other requests.
        """
        model = work.prompt.model
        version = self.fleet.get_version(name, model)
        space = prompts.build_namespace(model, version, work.tenancy)
        loading = self.weights.is_loading(name, work.prompt, now)
        if version is None or loading:
            return None, f'{space}.{work.name}'
        return version, space

    def _plan_transfer(self, work, version, space, now):
        service = self.table.services.get(work.service)
        if service is None or service.engine is None:
            return transfers.Transfer()
        if not service.engine.managed or len(work.prompt.parts) < 2:
            return transfers.Transfer()
        planned = transfers.plan_transfer(
            work.prompt,
            space,
            self.exclusions.list_context_stores(work, self.table),
            self.context_index,
            service.engine.token_bytes,
            now,
        )
        if self.weights.is_replaced(work.prompt.model, version):
            # These parts are of no use within seconds, and the memory that
            # they take becomes free only after that.
            return planned._replace(save=())
        return planned
