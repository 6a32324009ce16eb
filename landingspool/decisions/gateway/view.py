"""What one box believes, and what it decides from it about each request.

Everything in here is soft: a box starts with nothing, learns from the
platform's store, from targets and from its own requests, and decides alone.
"""

import random

from landingspool.decisions.gateway import admission
from landingspool.decisions.gateway import retry_budget
from landingspool.decisions.gateway import exclusions
from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import crashes as crashes_module
from landingspool.decisions.gateway import fleet as fleet_module
from landingspool.decisions.gateway import freshness
from landingspool.decisions.gateway import health as health_module
from landingspool.decisions.gateway import latency
from landingspool.decisions.gateway import loads as loads_module
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import engine_split as partition_module
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import reachability as reachability_module
from landingspool.decisions.gateway import capacity as capacity_module
from landingspool.decisions.gateway import transfers
from landingspool.decisions.gateway import context_index as index_module
from landingspool.decisions.gateway import watchers as watchers_module
from landingspool.decisions.gateway import weights as weights_module

# Boxes that the retry budget is divided by at least: today's deployments
# have six and seven, and may replace one.
MIN_BOXES = 8
# Seconds without a byte after which a target with a waiting request is
# taken for silent: engines answer within some hundred ms, plain services
# within 220 at most.
ENGINE_PATIENCE_S = 1.0
PLAIN_PATIENCE_S = 0.45


# Share of the latency that a route aims at that a request is expected to wait
# at each engine for its size before the other engines are weighed, too.
OVERFLOW_SHARE = 0.2


class View:
    """The beliefs of one box.

    Parameters
    ----------
    domain : str
    bounds
        The deployment's Bounds.
    seed : int
        Of the choices that are left to chance.
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
        self.reach = reachability_module.Reachability()
        self.watching = watchers_module.Watchers()
        self.engine_split = partition_module.EngineSplit()
        self.bars = exclusions.Exclusions(bounds, regions or {}, self.rng)
        self.room = capacity_module.FreeCapacity(self.fleet, self.bars)
        self.context_index = index_module.ContextIndex()
        self.proof = freshness.Proof(bounds.key_s, bounds.keys_fail_closed)
        self.neighbours = peer_digests.PeerDigests()
        self.endings = crashes_module.Crashes()
        self.boxes = MIN_BOXES
        # Other boxes, by domain.
        self.peers_by_domain = {}
        # Incarnation and tokens taken of each store that this box counted.
        self.rooms = {}
        self._health = {}
        self._allowances = {}

    def put_table(self, table):
        """Take in a published table; True if it is newer than ours."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True

    def put_entry(self, entry, now):
        """Take in what a target says; gives the state that holds."""
        before = self.fleet.get_incarnation(entry.target)
        state = self.fleet.put(entry)
        if state == fleet_module.SUPERSEDED:
            return state
        if before not in (None, entry.name):
            self.record_over(before, now)
        self.bars.cold_targets.record_reported(entry.name, entry.cold_s, now)
        return state

    def withdraw_evacuation(self, domain, now):
        """Take in that an evacuation is over; True if it stood."""
        entries = self.fleet.entries.values()
        return self.bars.withdraw_evacuation(domain, entries, self.table, now)

    def record_back(self, name, now):
        """Note that this box can connect to a target again."""
        entry = self.fleet.entries.get(name)
        self.reach.record_reached(name, now)
        if entry is not None:
            self.bars.record_back(entry, self.table, now)

    def list_services(self):
        """List the names of the published services."""
        return tuple(self.table.services) if self.table is not None else ()

    def list_loadable(self, model):
        """List the entries of a model's targets that may get orders."""
        return [
            entry
            for entry in self.fleet.list_model(model, self.list_services())
            if not self.bars.is_closed(entry)
        ]

    def may_send(self, entry, work, now):
        """Tell whether a request may be sent to a target at this moment."""
        if entry.name not in self.fleet.entries:
            return False
        limits = self.bars.get_requirements(work, self.table)
        return self.bars.get_exclusion(entry, limits, now) is None

    def has_available(self, work, now):
        """Tell whether nothing forbids some target of a request's service."""
        limits = self.bars.get_requirements(work, self.table)
        entries = self.fleet.list_service(work.service)
        return bool(self.bars.list_open(entries, limits, now))

    def find_lack(self, work, now):
        """Give why no target may get a request, as bars.Exclusions.find_lack."""
        limits = self.bars.get_requirements(work, self.table)
        entries = self.fleet.list_service(work.service)
        return self.bars.find_lack(entries, limits, now)

    def plan(self, work, avoid, now, ready=frozenset()):
        """Choose a target for a request; a Plan, or None where none is.

        Parameters
        ----------
        avoid : sequence of str
            Targets that had this request before.
        ready : frozenset of tuple
            Addresses to which a connection is at rest.
        """
        entries = self._list_usable(work, avoid, now)
        # Most targets run the same weights: one plan of transfers each.
        transfers_by_space = {}
        candidates = [
            self._weigh(entry, work, now, transfers_by_space)._replace(
                ready=entry.address in ready
            )
            for entry in entries
        ]
        held = choice.measure_held(candidates)
        candidates = plans.weigh_candidates(candidates, work, held)
        patience_s = (
            PLAIN_PATIENCE_S if work.prompt is None else ENGINE_PATIENCE_S
        )
        usable = choice.list_usable(candidates, now, patience_s)
        chosen = choice.choose(
            self._narrow(usable, work, held),
            work.prompt,
            self.domain,
            now,
            self.rng,
            patience_s,
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

    def _narrow(self, candidates, work, held):
        """Keep the engines for readings of a request's size, among sound ones.

        All are kept where each of these would let it wait too long.
        """
        if work.prompt is None or not candidates:
            return candidates
        taken, places = choice.count_taken(candidates)
        self.engine_split.record_room(
            partition_module.measure_room(taken, places, len(candidates)),
            held.share,
        )
        saved = max(candidate.saved for candidate in candidates)
        read = prompts.count_read(work.prompt, saved)
        names = self.engine_split.pick(read, [c.entry for c in candidates])
        if names is None:
            return candidates
        limit_s = work.route.target_latency_s * OVERFLOW_SHARE
        cached = [c for c in candidates if c.entry.name in names]
        if all(choice.expect_wait(c) > limit_s for c in cached):
            return candidates
        return cached

    def is_admitted(self, plan, work):
        """Tell whether a request should be sent on as planned."""
        if work.prompt is None:
            return True
        weight = choice.weigh_memory(plans.count_held(work), plan.held)
        filled = (
            (plan.pressure, admission.PRESSURES),
            (plan.held.share * weight, admission.MEMORY_SHARES),
        )
        for share, bounds in filled:
            if not admission.is_spared(
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
        """Give the seconds since the first version that a target missed."""
        has = self.fleet.get_version(name, model)
        return self.weights.get_lag(model, has, now)

    def get_time_left(self, name, model, now):
        """Give the seconds for which a target's weights may be used."""
        return self.weights.most_lag_s - self.get_lag(name, model, now)

    def get_connection_limit(self, service):
        """Give how many connections to one target this box may keep.

        All boxes together keep half of what a target accepts, so that new
        connections of any of them still find room.
        """
        known = self.table.services.get(service)
        if known is None:
            return 1
        return max(known.max_connections // (2 * self.boxes), 1)

    def record_sent(self, plan, work, now):
        """Note that a request goes to a target."""
        tokens = held = 0
        if work.prompt is not None:
            tokens = plan.read_tokens
            stored = prompts.count_read(work.prompt, plan.transfer.tokens)
            self.engine_split.record(stored, now)
            held = plans.count_held(work)
        sent = loads_module.Sent(now, tokens, False, held)
        self.loads.record_sent(plan.entry.name, work.name, sent)
        self.bars.record_sent(plan.entry.name, now)

    def record_first(self, plan, work, now):
        """Note that the answer to a request has begun."""
        name = plan.entry.name
        if name not in self.fleet.entries:
            # What a life that is over sends says nothing of the next one.
            return
        self.loads.record_received(name, now)
        self.reach.record_reached(name, now)
        sent = self.loads.record_first(name, work.name)
        if sent is not None:
            self.endings.record_alive(name, sent.at)
        if sent is None or work.prompt is None:
            return
        aim_s = work.route.target_latency_s
        self.latency.record_first(work.service, now - sent.at, aim_s, now)
        if plan.space:
            parts = prompts.list_shared(work.prompt)
            self.context_index.add_read(name, plan.space, parts, now)

    def record_answer(self, plan, wait_s, failed):
        """Learn from an answer of a target.

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
        """Learn from a request that a target did not answer."""
        known = self.get_health(name)
        self._health[name] = health_module.record_loss(known, now, certain)

    def take_digest(self, digest, now):
        """Take in what another box has under way, and what it found out."""
        self.neighbours.take(digest, now)
        for name in self.watching.receive_report(
            digest.box, digest.unreached, now
        ):
            self.reach.expedite(name, now)
        for name in digest.unreached:
            if name in self.fleet.entries:
                self._suspect(name, now)
        for word in digest.endings:
            self.endings.take(word, now)
        for word in digest.limits:
            self.bars.limits.take(word, digest.box, now)
        for word in digest.leaving:
            self.bars.leaving.take(word, digest.box, now)
        for store, counted in digest.rooms.items():
            self.context_index.record_taken(store, *counted)

    def _suspect(self, name, now):
        duty = self.watching.is_duty(name)
        sure_s = (
            reachability_module.WATCHER_CONFIRMED_S
            if duty
            else reachability_module.CONFIRMED_S
        )
        self.reach.suspect(name, now, sure_s)

    def record_unreached(self, name, now):
        """Note that no connection of this box to a target came up."""
        watched = self.watching.is_watched(name, now)
        self.reach.record_failed(name, now, watched)

    def get_health(self, name):
        """Give the Health of a target."""
        return self._health.get(name, health_module.Health())

    def count_first(self, work, now):
        """Count a request for the retry budget of its service."""
        self._get_allowance(work.service).record_first(now)
        self.room.record(work, now)

    def may_repeat(self, service, now):
        """Take one repeat from the retry budget of a service."""
        return self._get_allowance(service).take(now, self.boxes)

    def may_call(self, name, now):
        """Tell whether calls beside the requests may go to a target."""
        entry = self.fleet.entries.get(name)
        return entry is not None and self.bars.may_call(entry, now)

    def record_over(self, name, now):
        """Take in that the life of a target is over."""
        self.endings.record_over(name, now)
        self.bars.leaving.record_over(name)
        self.forget(name)

    def forget(self, name):
        """Forget what was learnt of a target that has gone."""
        self._health.pop(name, None)
        self.loads.forget(name)
        self.reach.forget(name)
        self.context_index.forget(name)
        self.bars.forget(name)

    def _get_allowance(self, service):
        known = self._allowances.get(service)
        if known is None:
            bounds = self.bounds
            known = retry_budget.RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
            self._allowances[service] = known
        return known

    def _list_usable(self, work, avoid, now):
        """List the entries of the targets that a request may be sent to."""
        limits = self.bars.get_requirements(work, self.table)
        known = self.fleet.list_service(work.service)
        known = [entry for entry in known if entry.name not in avoid]
        entries = self.bars.list_open(known, limits, now)
        # Where none can be reached, trying costs no more than refusing.
        reached = [e for e in entries if not self.reach.is_out(e.name)]
        entries = reached or entries
        if work.prompt is None:
            return entries
        return self._list_loaded(entries, work.prompt, now)

    def _list_loaded(self, entries, prompt, now):
        """Leave out what loads or has weights that are too old to use."""
        idle = [
            entry
            for entry in entries
            if not self.weights.is_loading(entry.name, prompt, now)
        ]
        return [
            entry
            for entry in idle or entries
            if self.get_lag(entry.name, prompt.model, now)
            < self.weights.most_lag_s
        ]

    def _weigh(self, entry, work, now, transfers_by_space):
        peers_by_domain = self.neighbours.get_load(
            entry.name, self.peers_by_domain, now
        )
        load = self.loads.measure(entry.name, peers_by_domain)
        health = self.get_health(entry.name)
        cold_s = self.bars.cold_targets.find_left(entry.name, now)
        limited = self.bars.limits.find(entry.name) is not None
        if work.prompt is None:
            return choice.Candidate(
                entry, load, health, cold_s=cold_s, limited=limited
            )
        version = self.fleet.get_version(entry.name, work.prompt.model)
        space = prompts.name_space(work.prompt.model, version, work.tenancy)
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
            weights_module.find_handicap(
                self.get_lag(entry.name, work.prompt.model, now)
            ),
            self._find_capacity(work.service),
            cold_s=cold_s,
            limited=limited,
        )

    def _find_capacity(self, service):
        known = self.table.services.get(service)
        if known is None or known.engine is None:
            return 0
        return known.engine.capacity_tokens

    def _make_plan(self, chosen, work, now, transfers_by_space):
        version, space, read = None, '', 0
        transfer = transfers.Transfer()
        if work.prompt is not None:
            version, space = self._find_space(chosen.entry.name, work, now)
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

    def _find_space(self, name, work, now):
        """Give the version that a request needs, and its namespace.

        A target that is about to load may have the new weights before the
        request arrives, or while it runs.  So the request may run on
        whichever is there (None), but shares nothing: it has a namespace of
        its own, and no transfers.
        """
        model = work.prompt.model
        version = self.fleet.get_version(name, model)
        space = prompts.name_space(model, version, work.tenancy)
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
            self.bars.list_keepers(work, self.table),
            self.context_index,
            service.engine.token_bytes,
            now,
        )
        if self.weights.is_replaced(work.prompt.model, version):
            # Nobody reads these any more in a few seconds, and the room that
            # they take is only free again after that.
            return planned._replace(save=())
        return planned
