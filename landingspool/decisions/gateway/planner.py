"""Plans which target gets a request, from what one box knows of all targets.

Every request is planned, and a large service has some sixty targets.  So only
what narrows the targets down is measured for each of them; the cached context
and the lag of the weights are looked up for those that remain.
"""

import typing

from landingspool.decisions.gateway import admission
from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import engine_split as split_module
from landingspool.decisions.gateway import garbage
from landingspool.decisions.gateway import group_planner
from landingspool.decisions.gateway import health as health_module
from landingspool.decisions.gateway import namespaces
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import room as room_module
from landingspool.decisions.gateway import transfers
from landingspool.decisions.gateway import weights as weights_module

# Seconds without a byte after which a target with a waiting request counts as
# silent: engines answer within some hundred ms, plain services within 220 ms
# at most.
ENGINE_SILENCE_S = 1.0
PLAIN_SILENCE_S = 0.45
# Share of a route's latency objective that a request may be expected to wait
# at each of the engines for its size; above it the other engines are
# candidates, too.
OVERFLOW_SHARE = 0.2


class Space(typing.NamedTuple):
    """What targets that run the same version of the weights have in common.

    Attributes
    ----------
    name : str
        Namespace of the cached context; empty for plain services.
    transfer : transfers.Transfer
    lag_s : float
        Seconds since the first version of the weights that they lack.
    """

    name: str = ''
    transfer: transfers.Transfer = transfers.Transfer()
    lag_s: float = 0.0


class Field(typing.NamedTuple):
    """The targets that a request may be sent to.

    Attributes
    ----------
    candidates : list of choice.Candidate
    spaces : dict of (int or None) to Space
        By version of the weights.
    held : choice.HeldMemory
        Memory that requests hold at the candidates, other groups excluded.
    reason : str
        Why there are candidates of another group (spillover.py).
    spilled_to : frozenset of str
        Names of the targets of that other group.
    """

    candidates: list
    spaces: dict
    held: choice.HeldMemory
    reason: str = ''
    spilled_to: frozenset = frozenset()


def choose_side(field, name):
    """Return the candidates that are in the same group as a target."""
    is_spilled = name in field.spilled_to
    return [
        c
        for c in field.candidates
        if (c.entry.name in field.spilled_to) == is_spilled
    ]


def get_silence_timeout(work):
    """Return after how many seconds a target with a request is silent."""
    return PLAIN_SILENCE_S if work.prompt is None else ENGINE_SILENCE_S


class Planner:
    """Plan requests with the state of one box.

    Parameters
    ----------
    view : view.View
    """

    def __init__(self, view):
        self._view = view
        self._group_planner = group_planner.GroupPlanner(view, self)

    def plan(self, work, avoid, now, ready):
        """Choose a target for a request; return a Plan, or None.

        The parameters are those of `view.View.plan`.
        """
        self._view.profiles.refresh(now)
        field = self._gather(work, avoid, now, ready)
        usable = choice.list_usable(
            field.candidates, now, get_silence_timeout(work)
        )
        room, usable = self._measure_room(usable, work, now)
        chosen = self._choose(
            self._pick_by_size(usable, work, field.held),
            work,
            now,
            field.spaces,
        )
        if chosen is None:
            return None
        plan = self.make_plan(chosen, work, now, field.spaces)
        near = choose_side(field, plan.entry.name)
        pressure = max(
            choice.measure_pressure(near),
            self._view.latency.measure(work.service, now),
        )
        is_spilled = plan.entry.name in field.spilled_to
        return plan._replace(
            pressure=pressure,
            held=choice.measure_memory(near),
            all_limited=all(c.limited for c in field.candidates),
            spill=field.reason if is_spilled else '',
            planned_at=now,
            room=room,
            profile=self._view.profiles.get_service(work.service),
        )

    def is_admitted(self, plan, work, demand):
        """Return whether a request should be sent as planned.

        The parameters are those of `view.View.is_admitted`.
        """
        contention = self._view.contention
        if contention is not None and demand is not None:
            return contention.is_admitted(
                plan,
                work,
                demand,
                self._view.table,
                lambda refused: self.spread_refused(refused, plan, work),
            )
        if work.prompt is None:
            return True
        rng, priority = self._view.rng, work.route.priority
        weight = choice.compute_memory_weight(
            plans.count_held(work), plan.held
        )
        filled = (
            (plan.pressure, admission.PRESSURES),
            (plan.held.share * weight, admission.MEMORY_SHARES),
        )
        for share, bounds in filled:
            refused = admission.compute_refused(share, bounds, priority)
            if rng.random() < self.spread_refused(refused, plan, work):
                return False
        return admission.is_admitted(
            plan.wait_s,
            work.route.target_latency_s,
            plan.read_tokens,
            priority,
        )

    def spread_refused(self, refused, plan, work):
        """Return the share of a workspace's requests that is refused.

        Parameters
        ----------
        refused : float
            Share of the requests of all workspaces that is refused.
        """
        return self._view.fair_admission.spread(
            work, refused, self._view.peers_by_domain, plan.planned_at
        )

    def make_plan(self, chosen, work, now, spaces):
        """Return the Plan of a request for the chosen target.

        Parameters
        ----------
        chosen : choice.Chosen
        spaces : dict of (int or None) to Space
            By version of the weights, as _find_spaces.
        """
        version, space, read = None, '', 0
        transfer = transfers.Transfer()
        if work.prompt is not None:
            version, space = self._get_namespace(chosen.entry.name, work, now)
            if version is not None:
                transfer = spaces[version].transfer
            cached = max(chosen.cached, transfer.tokens)
            read = prompts.count_read(work.prompt, cached)
        elif not self._view.is_plain(work.service):
            # Without any, engines share it among all requests without one.
            space = namespaces.write(self._view.private_spaces.make())
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

    def _gather(self, work, avoid, now, ready):
        """Return the Field of a request."""
        field = self._group_planner.gather(work, avoid, now, ready)
        if field is not None:
            return field
        entries = self._list_usable(work, avoid, now)
        return self.make_field(entries, work, now, ready)

    def make_field(
        self, entries, work, now, ready, held=None, load=None, spaces=None
    ):
        """Return the Field of a request for some targets.

        Parameters
        ----------
        held : choice.HeldMemory, optional
            That by which the wait for memory is weighted; None: that of these
            targets.
        load : tuple of float, optional
            The load that peers put on each of them; None: as in their digests.
        spaces : dict, optional
            The Space of each version that is known already.
        """
        spaces = self._find_spaces(entries, work, now, spaces or {})
        candidates = self._make_candidates(
            entries, work, now, ready, spaces, load
        )
        if held is None:
            held = choice.measure_memory(candidates)
        candidates = plans.weigh_candidates(candidates, work, held)
        candidates = self._view.start_limits.list_timely(
            candidates, spaces, work, now
        )
        return Field(candidates, spaces, held)

    def _list_usable(self, work, avoid, now):
        """Return the entries of the targets that a request may be sent to."""
        view = self._view
        limits = view.exclusions.get_requirements(work, view.table)
        known = view.fleet.list_service(work.service)
        known = [entry for entry in known if entry.name not in avoid]
        entries = view.exclusions.list_open(known, limits, now)
        # If none can be reached, an attempt costs no more than a refusal.
        reached = [e for e in entries if not view.reachability.is_out(e.name)]
        entries = reached or entries
        if work.prompt is None:
            return entries
        return self._list_loaded(entries, work.prompt, now)

    def _list_loaded(self, entries, prompt, now):
        """Return the entries that neither load nor have too old weights."""
        view = self._view
        idle = [
            entry
            for entry in entries
            if not view.loading.excludes(entry.name, prompt, now)
        ]
        return self.list_new_enough(idle or entries, prompt, now)

    def list_new_enough(self, entries, prompt, now):
        """Return the entries whose weights are not too old."""
        view = self._view
        max_lag_s = view.weights.max_lag_s
        lags = self._list_lags(entries, prompt.model, now)
        if all(lag_s < max_lag_s for lag_s in lags.values()):
            return entries
        return [
            entry
            for entry in entries
            if lags[view.fleet.get_version(entry.name, prompt.model)]
            < max_lag_s
        ]

    def _list_lags(self, entries, model, now):
        """Return the lag in seconds of each version that the targets run."""
        view = self._view
        versions = {view.fleet.get_version(e.name, model) for e in entries}
        return {
            version: view.weights.get_lag(model, version, now)
            for version in versions
        }

    def _find_spaces(self, entries, work, now, known):
        """Return the Space of each version of the weights, by version.

        Most targets run the same weights, so transfers are planned once for
        all of them.

        Parameters
        ----------
        known : dict
            Those found for other targets of the same request.
        """
        if work.prompt is None:
            return {}
        lags = self._list_lags(entries, work.prompt.model, now)
        return {
            version: known.get(version)
            or self._make_space(version, lag_s, work, now)
            for version, lag_s in lags.items()
        }

    def _make_space(self, version, lag_s, work, now):
        if version is None:
            return Space(lag_s=lag_s)
        name = self._write_namespace(version, work)
        transfer = transfers.Transfer()
        view = self._view
        proof_s, bound_s = view.proof.age(now), view.weights.bound_s
        if garbage.may_offer(lag_s, proof_s, bound_s) and view.walls.may_offer(
            now
        ):
            transfer = self._plan_transfer(work, version, name, now)
        return Space(name, transfer, lag_s)

    def _make_candidates(self, entries, work, now, ready, spaces, load):
        """Return what narrows the targets down, as a Candidate for each."""
        view = self._view
        peer_loads = view.peer_digests.sum_loads(view.peers_by_domain, now)
        capacity = 0
        if work.prompt is not None:
            capacity = self.get_capacity(work.service)
        limits = view.exclusions.limits
        candidates = []
        for entry in entries:
            space = self._get_space(entry, work, spaces)
            candidates.append(
                choice.Candidate(
                    entry,
                    view.loads.measure(
                        entry.name, load or peer_loads.get(entry.name)
                    ),
                    view.get_health(entry.name),
                    stored=space.transfer.tokens,
                    fetch_s=space.transfer.seconds,
                    penalty_s=weights_module.compute_penalty(space.lag_s),
                    capacity=capacity,
                    ready=entry.address in ready,
                    limited=limits.find(entry.name) is not None,
                    profile=view.profiles.get(entry.name, entry.service),
                )
            )
        return candidates

    def _get_space(self, entry, work, spaces):
        if work.prompt is None:
            return Space()
        version = self._view.fleet.get_version(entry.name, work.prompt.model)
        return spaces[version]

    def _choose(self, candidates, work, now, spaces):
        """Return the Chosen target among usable ones, or None."""
        if not candidates:
            return None
        # Targets are compared with all usable ones, also those left out here.
        peers = health_module.measure_peers([c.health for c in candidates])
        ranks = choice.rank_targets(work.prompt, candidates)
        preferred = [
            self._look_up(candidate, work, now, spaces)
            for candidate in choice.limit_to_preferred(candidates, ranks)
        ]
        return choice.choose(
            preferred,
            work.prompt,
            self._view.domain,
            choice.Comparison(peers, ranks),
            self._view.rng,
        )

    def _look_up(self, candidate, work, now, spaces):
        """Add to a candidate what need not be known of every target."""
        view, name = self._view, candidate.entry.name
        cold_s = view.exclusions.cold_targets.get_seconds_left(name, now)
        if work.prompt is None:
            return candidate._replace(cold_s=cold_s) if cold_s else candidate
        space = self._get_space(candidate.entry, work, spaces)
        cached = prompts.count_kept(
            work.prompt, space.name, view.context_index.cached(name)
        )
        return candidate._replace(cached=cached, cold_s=cold_s)

    def _measure_room(self, candidates, work, now):
        """Return the Room at plain targets, and those that are not full."""
        contention = self._view.contention
        if contention is None or work.prompt is not None:
            return room_module.Room(), candidates
        boxes = sum(self._view.peers_by_domain.values()) + 1
        room, accepting = room_module.measure(
            candidates, contention.rejections, boxes, now
        )
        return room, accepting or candidates

    def _pick_by_size(self, candidates, work, held):
        """Return the healthy engines for prompts of this request's size.

        All candidates are returned where each of these engines would let the
        request wait too long.
        """
        if work.prompt is None or not candidates:
            return candidates
        view = self._view
        taken, slots = choice.count_occupancy(candidates)
        view.engine_split.record_headroom(
            split_module.measure_headroom(taken, slots, len(candidates)),
            held.share,
        )
        stored = max(candidate.stored for candidate in candidates)
        read = prompts.count_read(work.prompt, stored)
        names = view.engine_split.pick(read, [c.entry for c in candidates])
        if names is None:
            return candidates
        limit_s = work.route.target_latency_s * OVERFLOW_SHARE
        suited = [c for c in candidates if c.entry.name in names]
        if all(choice.estimate_wait(c) > limit_s for c in suited):
            return candidates
        return suited

    def get_capacity(self, service):
        """Return the memory of a service's engines in tokens, or 0."""
        known = self._view.table.services.get(service)
        if known is None or known.engine is None:
            return 0
        return known.engine.capacity_tokens

    def _get_namespace(self, name, work, now):
        """Return the version that a request needs, and its namespace.

        A target that is about to load may have the new weights before the
        request arrives, or get them while it runs.  So the version is None
        (any version will do), and the request has a namespace of its own and
        no transfers: it shares no context with other requests.
        """
        view, model = self._view, work.prompt.model
        version = view.fleet.get_version(name, model)
        loading = view.loading.excludes(name, work.prompt, now)
        if version is None or loading:
            return None, namespaces.write(view.private_spaces.make())
        return version, self._write_namespace(version, work)

    def _write_namespace(self, version, work):
        """Return the namespace of a request at targets with some weights.

        The table in force decides who is isolated, not that by which the
        request was admitted.
        """
        workspace = work.tenancy.name if work.tenancy is not None else None
        isolated = self._view.table.isolated
        return namespaces.write(
            namespaces.choose(work.prompt.model, version, workspace, isolated)
        )

    def _plan_transfer(self, work, version, space, now):
        view = self._view
        service = view.table.services.get(work.service)
        if service is None or service.engine is None:
            return transfers.Transfer()
        if not service.engine.managed or len(work.prompt.parts) < 2:
            return transfers.Transfer()
        planned = transfers.plan_transfer(
            work.prompt,
            space,
            view.exclusions.list_context_stores(work, view.table),
            view.context_index,
            service.engine.token_bytes,
            now,
            transfers.Delays(
                lambda store: view.get_store_delay(store, now),
                view.rng,
                view.profiles.get_service(work.service).read_tokens_s,
            ),
        )
        if view.weights.is_replaced(work.prompt.model, version):
            # Parts of replaced weights are of no use within seconds, and the
            # memory that they take becomes free only after that.
            return planned._replace(save=())
        return planned
