"""What one box believes, and what it decides from it about each request.

Everything in here is soft: a box starts with nothing, learns from the
platform's store, from targets and from its own requests, and decides alone.
"""

import random
import typing

from landingspool.decisions.gateway import admission
from landingspool.decisions.gateway import allowance
from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import fleet as fleet_module
from landingspool.decisions.gateway import freshness
from landingspool.decisions.gateway import health as health_module
from landingspool.decisions.gateway import neighbours
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import reach as reach_module
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import transfers
from landingspool.decisions.gateway import warmth as warmth_module

# Boxes that the retry budget is divided by at least: today's deployments
# have six and seven, and may replace one.
USUAL_BOXES = 8
# Seconds without a byte after which a target with a waiting request is
# taken for silent: engines answer within some hundred ms, plain services
# within 220 at most.
ENGINE_PATIENCE_S = 1.0
PLAIN_PATIENCE_S = 0.45
# Seconds after a version was named from which targets that lack it are put
# behind, by so many seconds at first: answers on old weights are worth a
# fifth less, but all requests at the few new ones would only wait there.
OLD_WEIGHTS_S = 1.5
OLD_WEIGHTS_HANDICAP_S = 0.12
# Seconds after which they are not used at all: a request may wait two or
# three seconds more at the target, and the bound is twelve.
OLD_WEIGHTS_MOST_S = 9.0
# Seconds for which a target is believed to load without further word.
LOADING_S = 6.0
# Seconds that one token takes to make, and that any request takes at least,
# in the middle of the load of the two deployments (measured: 1.8 ms for each
# token that the request may make at most, 0.15 s to the first).
TOKEN_S = 0.002
SHORTEST_RUN_S = 0.2


class Work(typing.NamedTuple):
    """One request as the decisions see it."""

    name: str
    route: routes.Route
    service: str
    tenancy: routes.Tenancy | None
    prompt: prompts.Prompt | None


class Plan(typing.NamedTuple):
    """Where a request goes, with what decided it.

    Attributes
    ----------
    entry : fleet.Entry
    expected_s : float
        Rank of the target: the expected seconds to its first byte.
    kept : int
        Tokens of the prompt believed to be kept there.
    wait_s : float
        The part of it that is spent behind other requests.
    read_tokens : int
        Prompt tokens that the target has to read.
    pressure : float
        Requests at all targets that might have been chosen, by their places.
    transfer : transfers.Transfer
    """

    entry: fleet_module.Entry
    expected_s: float
    wait_s: float
    kept: int
    read_tokens: int
    candidates: int
    version: int | None
    space: str
    transfer: transfers.Transfer
    pressure: float = 0.0


class Sent(typing.NamedTuple):
    """A request of this box at a target; `begun` once bytes came back.

    `tokens` are to be read, `held` is the memory that it takes in the end.
    """

    at: float
    tokens: int
    begun: bool
    held: int = 0


class Named(typing.NamedTuple):
    """The newest version of weights of a model.

    `history` has (version, when this box heard of it) of all, oldest first:
    each version has a bound of its own from its naming on.
    """

    version: int
    history: tuple


class View:
    """The beliefs of one box.

    Parameters
    ----------
    domain : str
    bounds
        The deployment's Bounds.
    seed : int
        Of the choices that are left to chance.
    """

    def __init__(self, domain, bounds, seed):
        self.domain = domain
        self.bounds = bounds
        self.rng = random.Random(seed)
        self.table = None
        self.named = {}
        self.fleet = fleet_module.Fleet()
        self.reach = reach_module.Reach()
        self.warmth = warmth_module.Warmth()
        self.proof = freshness.Proof(bounds.key_s)
        self.neighbours = neighbours.Neighbours()
        self.boxes = USUAL_BOXES
        # Other boxes, by domain.
        self.others = {}
        self._loading = {}
        self._sent = {}
        self._heard = {}
        self._health = {}
        self._allowances = {}

    def put_table(self, table):
        """Take in a published table; True if it is newer than ours."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True

    def put_version(self, model, version, now):
        """Take in a named version of weights; True if it is newer."""
        known = self.named.get(model)
        if known is not None and version <= known.version:
            return False
        # The first one read after a start may have been named long ago.
        heard = now if known is not None else now - OLD_WEIGHTS_S
        history = known.history if known is not None else ()
        self.named[model] = Named(version, (*history, (version, heard)))
        return True

    def put_loading(self, delays, now):
        """Take in which targets load, or will after so many seconds.

        Parameters
        ----------
        delays : dict of str to float
        """
        self._loading = {
            name: self._loading.get(name, now + delay)
            for name, delay in delays.items()
        }

    def end_loading(self, name):
        """Note that a target has its new weights."""
        self._loading.pop(name, None)

    def is_loading(self, name, prompt, now):
        """Tell whether a request should not be sent to a target any more.

        One that is about to load still gets what ends before that.
        """
        begins = self._loading.get(name)
        if begins is None or now > begins + LOADING_S:
            return False
        run_s = prompt.tokens_out * TOKEN_S + SHORTEST_RUN_S
        return now + run_s > begins

    def plan(self, work, avoid, now):
        """Choose a target for a request; a Plan, or None where none is.

        Parameters
        ----------
        avoid : sequence of str
            Targets that had this request before.
        """
        entries = [
            entry
            for entry in self.fleet.list_service(work.service)
            if entry.name not in avoid
        ]
        # Where none can be reached, trying costs no more than refusing.
        reached = [e for e in entries if not self.reach.is_out(e.name)]
        entries = reached or entries
        if work.prompt is not None:
            entries = self._list_loaded(entries, work.prompt, now)
        # Most targets run the same weights: one plan of transfers each.
        transfers_by_space = {}
        candidates = [
            self._weigh(entry, work, now, transfers_by_space)
            for entry in entries
        ]
        chosen = choice.choose(
            candidates,
            work.prompt,
            self.domain,
            now,
            self.rng,
            PLAIN_PATIENCE_S if work.prompt is None else ENGINE_PATIENCE_S,
        )
        if chosen is None:
            return None
        plan = self._make_plan(chosen, work, now, transfers_by_space)
        return plan._replace(pressure=choice.measure_pressure(candidates))

    def find_kept(self, service):
        """Give how many connections to one target this box may keep.

        All boxes together keep half of what a target accepts, so that new
        connections of any of them still find room.
        """
        known = self.table.services.get(service)
        if known is None:
            return 1
        return max(known.max_connections // (2 * self.boxes), 1)

    def note_sent(self, plan, work, now):
        """Note that a request goes to a target."""
        tokens = held = 0
        if work.prompt is not None:
            tokens = plan.read_tokens
            held = work.prompt.tokens_in + work.prompt.tokens_out
        at_target = self._sent.setdefault(plan.entry.name, {})
        at_target[work.name] = Sent(now, tokens, False, held)

    def note_first(self, plan, work, now):
        """Note that the answer to a request has begun."""
        name = plan.entry.name
        self._heard[name] = now
        self.reach.note_reached(name, now)
        sent = self._sent.get(name, {}).get(work.name)
        if sent is None or sent.begun:
            return
        self._sent[name][work.name] = sent._replace(begun=True)
        if work.prompt is not None and plan.space:
            parts = prompts.list_shared(work.prompt)
            self.warmth.add_read(name, plan.space, parts, now)

    def note_heard(self, name, now):
        """Note that a target sent something."""
        self._heard[name] = now

    def note_end(self, plan, work):
        """Note that a request is no longer at a target."""
        at_target = self._sent.get(plan.entry.name)
        if at_target is None:
            return
        at_target.pop(work.name, None)
        if not at_target:
            del self._sent[plan.entry.name]

    def note_answer(self, plan, wait_s, failed):
        """Learn from an answer of a target.

        Parameters
        ----------
        wait_s : float
            Seconds to the first byte.
        """
        known = self.get_health(plan.entry.name)
        beyond = max(wait_s - plan.expected_s, 0.0)
        self._health[plan.entry.name] = health_module.note_answer(
            known, beyond, failed
        )

    def note_loss(self, name, now, certain=False):
        """Learn from a request that a target did not answer."""
        known = self.get_health(name)
        self._health[name] = health_module.note_loss(known, now, certain)

    def suspect(self, digest, now):
        """Take in which targets another box can't connect to."""
        for name in digest.unreached:
            if name in self.fleet.entries:
                self.reach.suspect(name, now)

    def get_health(self, name):
        """Give the Health of a target."""
        return self._health.get(name, health_module.Health())

    def count_first(self, service, now):
        """Count a request of a service for its retry budget."""
        self._get_allowance(service).note_first(now)

    def may_repeat(self, service, now):
        """Take one repeat from the retry budget of a service."""
        return self._get_allowance(service).take(now, self.boxes)

    def forget(self, name):
        """Forget what was learnt of a target that has gone."""
        self._health.pop(name, None)
        self._heard.pop(name, None)
        self.reach.forget(name)
        self.warmth.forget(name)

    def measure_load(self, name, now):
        """Give the choice.Load at a target, of this and other boxes."""
        rows = self._sent.get(name, {}).values()
        waiting = [row for row in rows if not row.begun]
        tokens, running, held, queued = self.neighbours.get_load(
            name, self.others, now
        )
        return choice.Load(
            waiting=len(waiting),
            running=len(rows) - len(waiting),
            waiting_tokens=sum(row.tokens for row in waiting),
            oldest=min((row.at for row in waiting), default=None),
            heard=self._heard.get(name, 0.0),
            others_tokens=tokens,
            others_running=running,
            held_tokens=sum(row.held for row in rows),
            others_held=held,
            others_waiting=queued,
        )

    def list_loads(self):
        """Give what this box has at each target, for the other boxes."""
        loads = {}
        for name, rows in self._sent.items():
            waiting = [row.tokens for row in rows.values() if not row.begun]
            held = sum(row.held for row in rows.values())
            count = len(waiting)
            loads[name] = [sum(waiting), len(rows) - count, held, count]
        return loads

    def _get_allowance(self, service):
        known = self._allowances.get(service)
        if known is None:
            bounds = self.bounds
            known = allowance.Allowance(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
            self._allowances[service] = known
        return known

    def _list_loaded(self, entries, prompt, now):
        """Leave out what loads or has weights that are too old to use."""
        model = prompt.model
        idle = [e for e in entries if not self.is_loading(e.name, prompt, now)]
        entries = idle or entries
        return [
            entry
            for entry in entries
            if self.find_lag(entry.name, model, now) < OLD_WEIGHTS_MOST_S
        ]

    def find_lag(self, name, model, now):
        """Give the seconds since the first version that a target missed."""
        named = self.named.get(model)
        if named is None:
            return 0.0
        has = self.fleet.get_version(name, model) or 0
        missed = [heard for version, heard in named.history if version > has]
        return now - min(missed) if missed else 0.0

    def _find_handicap(self, name, model, now):
        if self.find_lag(name, model, now) < OLD_WEIGHTS_S:
            return 0.0
        return OLD_WEIGHTS_HANDICAP_S

    def _weigh(self, entry, work, now, transfers_by_space):
        load = self.measure_load(entry.name, now)
        health = self.get_health(entry.name)
        if work.prompt is None:
            return choice.Candidate(entry, load, health)
        version = self.fleet.get_version(entry.name, work.prompt.model)
        space = prompts.name_space(work.prompt.model, version, work.tenancy)
        kept = prompts.count_kept(
            work.prompt, space, self.warmth.kept(entry.name)
        )
        transfer = transfers_by_space.get(space)
        if transfer is None:
            transfer = self._plan_transfer(work, version, space, now)
            transfers_by_space[space] = transfer
        return choice.Candidate(
            entry,
            load,
            health,
            kept,
            transfer.tokens,
            transfer.seconds,
            self._find_handicap(entry.name, work.prompt.model, now),
            self._find_capacity(work.service),
        )

    def _find_capacity(self, service):
        known = self.table.services.get(service)
        if known is None or known.engine is None:
            return 0
        return known.engine.capacity_tokens

    def is_admitted(self, plan, work):
        """Tell whether a request should be sent on as planned."""
        if work.prompt is None:
            return True
        if not admission.is_spared(
            plan.pressure, work.route.priority, self.rng.random()
        ):
            return False
        return admission.is_admitted(
            plan.wait_s,
            work.route.target_latency_s,
            plan.read_tokens,
            work.route.priority,
        )

    def _make_plan(self, chosen, work, now, transfers_by_space):
        version, space, transfer = None, '', transfers.Transfer()
        if work.prompt is not None:
            model = work.prompt.model
            version = self.fleet.get_version(chosen.entry.name, model)
            space = prompts.name_space(model, version, work.tenancy)
            if version is not None and not self.is_loading(
                chosen.entry.name, work.prompt, now
            ):
                transfer = transfers_by_space[space]
            else:
                # The target may take the new weights before the request
                # arrives, or while it runs.  So it may run on whatever is
                # there, but shares nothing: a namespace of its own, and no
                # transfers.
                version = None
                space = f'{space}.{work.name}'
        read = 0
        if work.prompt is not None:
            kept = max(chosen.kept, transfer.tokens)
            read = prompts.count_read(work.prompt, kept)
        return Plan(
            chosen.entry,
            chosen.expected_s,
            chosen.wait_s,
            chosen.kept,
            read,
            chosen.candidates,
            version,
            space,
            transfer,
        )

    def _plan_transfer(self, work, version, space, now):
        service = self.table.services.get(work.service)
        if service is None or service.engine is None:
            return transfers.Transfer()
        if not service.engine.managed or len(work.prompt.parts) < 2:
            return transfers.Transfer()
        planned = transfers.plan_transfer(
            work.prompt,
            space,
            self.table.keepers,
            self.warmth,
            service.engine.token_bytes,
            now,
        )
        named = self.named.get(work.prompt.model)
        if named is not None and (version or 0) < named.version:
            # Nobody reads these any more in a few seconds, and the room that
            # they take is only free again after that.
            return planned._replace(save=())
        return planned
