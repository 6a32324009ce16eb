"""Plays the load of hundreds of boxes on the decisions alone, without a net.

Each box has its own View and decides on digests that reach a part of the
others, as in a deployment; engines read prompts one after the other and run
a fixed number at once.  What callers get is counted: who has a first token
within its aim, who is refused, and how many connections are opened.

    python -m bench.many
"""

import collections
import heapq
import itertools
import math
import random
import typing

from bench import engine
from bench import mixes
from bench import orders
from bench import world
from landingspool.decisions.gateway import context_index
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import rollout_pace
from landingspool.decisions.gateway import view as view_module
from landingspool.gateway import deployment

# Seconds from the end of a reading until all boxes know that a store has it:
# the event is 60 ms late, and is asked for every 0.6 s, once by a reader and
# once by the boxes that follow this one.
KNOWN_S = 0.7
DIGEST_S = 0.2
# Seconds for which an engine keeps a connection at rest, as it names them,
# and for which one is used for what must not be repeated.
UNREPEATABLE_S = 2.0
# Seconds after which a connection is given up that does not come up.
TIMEOUT_S = 0.2
# Seconds after which the kernel tells that a peer acknowledges nothing.
SILENT_S = 0.8
# Seconds from a request's sending to its reading on a new connection.
CONNECT_S = 0.008
# Seconds of loads of new weights: from the naming to the first, from telling
# all boxes to the load, and the load itself.
NAMING_S = 0.3
CLOSING_S = 0.5
LOAD_S = 1.4
# Seconds before the beginning in which all boxes knew each other.
LISTED_S = 60.0
# Seconds from the naming of a limit until it binds.
CONTACT_S = 4.0


class Got(typing.NamedTuple):
    """What callers got in a run.

    Attributes
    ----------
    in_aim, refused, lost : float
        Shares of the requests: first token within its aim, told to come
        back, sent on a connection to a dark engine.
    connections, read_again : float
        New connections, and tokens of shared parts that some engine had
        read before, for each request.
    slowest_s : float
        Within which 99 of 100 have their first token.
    probes : int
        Connections made only to see whether an engine is back.
    by_kind : dict of str to float
        Share in aim of each kind.
    by_second : tuple of float
        The same of the requests that came in each second.
    limited_per_s : tuple of float
        Requests a second that each engine with a limit got from CONTACT_S
        after it was named.
    renewed : float
        Share of the engines with the newest weights `Size.version_s` after
        these were named; for orders of which some are carried out late.
    """

    in_aim: float
    refused: float
    connections: float
    read_again: float
    slowest_s: float
    lost: float
    probes: int
    by_kind: dict
    by_second: tuple
    limited_per_s: tuple = ()
    renewed: float = 1.0
    spilled: dict = {}
    digests: int = 0
    crossings: float = 0.0


class Asked(typing.NamedTuple):
    """One request: when and where it came, and which engines it avoids."""

    kind: mixes.Kind
    box: int
    work: plans.Work
    since: float
    avoid: tuple = ()


class SharedStore(context_index.ContextIndex):
    """What a box knows is kept; the store's part is the same for all."""

    def __init__(self, held):
        super().__init__()
        self._index = context_index.CacheContents(
            1, 0, held, 0.0, 0.0, 0.0, used=1
        )

    def get(self, name):
        return self._index if name == world.STORE else super().get(name)

    def cached(self, name):
        return (
            self._index.cached if name == world.STORE else super().cached(name)
        )

    def may_fetch(self, name, now):
        return name == world.STORE

    def may_save(self, name, now):
        return name == world.STORE


class Play:
    """One run; `run` gives a Got, `views` are those of the boxes."""

    def __init__(self, size, seed):
        self._size = size
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._held = {}
        self._engines = [
            engine.Engine(
                size.slots, size.capacity, world.find_speed(size, place)
            )
            for place in range(size.engines)
        ]
        self._domains = {
            str(n): f'd{n % size.domains}' for n in range(size.boxes)
        }
        self._idle = [collections.defaultdict(list) for _ in range(size.boxes)]
        self.views = [self._make_view(n) for n in range(size.boxes)]
        self._counts = collections.Counter()
        # The newest digest of each box.
        self._numbers = collections.Counter()
        self._waits = []
        self._read_once = set()
        self._renewed = 1.0

    def _make_view(self, number):
        size = self._size
        domain = f'd{number % size.domains}'
        view = view_module.View(
            domain, deployment.Bounds(version_s=size.version_s), number
        )
        view.put_table(world.make_table(size))
        view.context_index = SharedStore(self._held)
        view.boxes = size.boxes
        peers_by_domain = [f'd{n % size.domains}' for n in range(size.boxes)]
        view.peers_by_domain = collections.Counter(peers_by_domain)
        view.peers_by_domain[domain] -= 1
        near = range(number % size.domains, size.boxes, size.domains)
        view.watchers.set_members(
            str(number), [str(n) for n in near if n != number]
        )
        for place in range(size.engines):
            view.fleet.put(world.make_entry(place, size))
        boxes = [str(n) for n in range(size.boxes)]
        view.exclusions.shares.set_members(str(number), boxes, -LISTED_S)
        return view

    def run(self):
        """Play to the end."""
        self.at(0.0, self._tell, 0)
        self.at(0.0, self._arrive)
        for number, when in enumerate(self._size.named_at):
            self.at(when, self._name_version, number + 2)
        self.at(0.0, self._look, 0)
        while self._events:
            now, _, act, args = heapq.heappop(self._events)
            act(now, *args)
        return self._sum_up()

    def at(self, when, act, *args):
        """Call ``act(when, *args)`` at that time."""
        heapq.heappush(self._events, (when, next(self._order), act, args))

    def _tell(self, now, number):
        """Let each box tell the others, a part of them at a time."""
        if now >= self._size.seconds:
            return
        steps = 10
        for box in range(number % steps, self._size.boxes, steps):
            self._tell_others(box, now)
        self.at(now + DIGEST_S / steps, self._tell, number + 1)

    def _tell_others(self, box, now):
        view = self.views[box]
        # Its reads of the platform's store are answered.
        view.proof.record(now)
        self._numbers[box] += 1
        digest = peer_digests.Digest(
            str(box),
            view.domain,
            self._numbers[box],
            peer_digests.hash_loads(view.loads.list_reported()),
            view.reachability.list_reported(),
            limits=view.exclusions.limits.list_due_notices(now),
            answers=view.profiles.take_reports(),
            groups=view.grouping.list_loads(now),
        )
        peers = {
            name: domain
            for name, domain in self._domains.items()
            if name != digest.box
        }
        view.grouping.update(digest.box, self._domains, now)
        is_urgent = peer_digests.is_urgent(digest)
        for other in view.grouping.pick_recipients(peers, is_urgent):
            self._counts['digests'] += 1
            self.views[int(other)].take_digest(digest, now)

    def _is_dark(self, address, now):
        """Tell whether an engine answers nothing any more."""
        return address[1] < self._size.dark and now >= self._size.dark_at

    def _look(self, now, number):
        """Let each box probe the engines that it is due to probe."""
        if now >= self._size.seconds or not self._size.dark:
            return
        for view in self.views:
            for name in view.reachability.list_due(now):
                self._counts['probes'] += 1
                address = view.fleet.entries[name].address
                if self._is_dark(address, now):
                    self.at(now + TIMEOUT_S, self._fail, view, name)
                else:
                    view.reachability.record_reached(name, now)
        self.at(now + TIMEOUT_S + 0.01, self._look, number + 1)

    def _fail(self, now, view, name):
        view.record_unreached(name, now)

    def _name_version(self, now, version):
        """Name new weights, which engines load a few at a time."""
        for view in self.views:
            view.weights.put_version('m', version, now)
        if not self._size.late:
            self.at(now + NAMING_S, self._begin_loads, version)
            return
        holder = orders.Orders(self, self._size, self._engines, self._rng)
        self.at(now + NAMING_S, holder.check, version)
        self.at(now + self._size.version_s, self._count_renewed, version)

    def get_version(self, name):
        """Return the version of the weights that an engine has."""
        return self.views[0].fleet.get_version(name, 'm')

    def _count_renewed(self, now, version):
        names = [f'e{n}' for n in range(self._size.engines)]
        renewed = sum(self.get_version(name) >= version for name in names)
        self._renewed = renewed / len(names)

    def _begin_loads(self, now, version):
        view = self.views[0]
        behind = [
            entry.name
            for entry in view.fleet.list_service('engine')
            if view.fleet.get_version(entry.name, 'm') < version
        ]
        if version < view.weights.named['m'].version or not behind:
            return
        left = [view.get_time_left(name, 'm', now) for name in behind]
        names = behind[
            : rollout_pace.compute_concurrency(self._size.engines, left)
        ]
        for view in self.views:
            view.loading.put(dict.fromkeys(names, CLOSING_S), now)
        for name in names:
            self._engines[int(name[1:])].load(now + CLOSING_S, LOAD_S)
        ends = now + CLOSING_S + LOAD_S
        self.at(ends, self.end_loads, names, version)
        self.at(ends + 0.1, self._begin_loads, version)

    def end_loads(self, now, names, version):
        """Record at all boxes that engines have loaded a version."""
        for view in self.views:
            for name in names:
                view.loading.end(name)
                view.fleet.record_version(name, 'm', version)

    def _arrive(self, now):
        if now >= self._size.seconds:
            return
        self.at(now + self._rng.expovariate(self._get_rate(now)), self._arrive)
        kinds = self._size.mix.kinds
        weights = [kind.share for kind in kinds]
        kind = self._rng.choices(kinds, weights)[0]
        box = self._draw_box(now)
        self._counts['asked', kind.name] += 1
        self._counts['all', int(now)] += 1
        self._try(now, Asked(kind, box, self._make_work(kind), now))

    def _get_rate(self, now):
        """Return the requests a second at a time, over all domains."""
        size = self._size
        swings = [
            math.sin(math.tau * (now / 13.0 + n * size.step))
            for n in range(size.domains)
        ]
        return size.per_s * (1.0 + size.swing * sum(swings) / size.domains)

    def _draw_box(self, now):
        """Draw the box that a request comes to.

        Demand swings by domain, a little out of step, and each client keeps
        to one box.
        """
        size = self._size
        if not size.swing and not size.clients:
            return self._rng.randrange(size.boxes)
        swings = [
            1.0
            + size.swing * math.sin(math.tau * (now / 13.0 + n * size.step))
            for n in range(size.domains)
        ]
        domain = self._rng.choices(range(size.domains), swings)[0]
        if not size.clients:
            return self._rng.randrange(domain, size.boxes, size.domains)
        client = self._rng.randrange(size.clients)
        homes = random.Random(f'{domain}/{client}')
        return homes.randrange(domain, size.boxes, size.domains)

    def _make_work(self, kind):
        thing = f'{kind.name}{self._rng.randrange(kind.things)}'
        name = f'q{next(self._order)}'
        # A shared part has one size, whoever asks for it.
        shared = world.draw_size(random.Random(thing), kind.shared)
        own = world.draw_size(self._rng, kind.own)
        prompt = prompts.Prompt(
            'm',
            shared + own,
            world.draw_size(self._rng, kind.tokens_out),
            (prompts.Part(thing, shared), prompts.Part(name, own)),
        )
        return plans.Work(name, world.make_route(kind), 'engine', None, prompt)

    def _try(self, now, asked):
        """Choose an engine, and send there or refuse."""
        view = self.views[asked.box]
        ready = self._list_ready(asked, now)
        plan = view.plan(asked.work, asked.avoid, now, ready)
        if plan is None or not view.is_admitted(plan, asked.work):
            self._counts['refused', asked.kind.name] += 1
            return
        address = plan.entry.address
        is_kept = address in ready
        self._counts['crossings'] += plan.entry.domain != view.domain
        if is_kept:
            self._idle[asked.box][address].pop()
        else:
            self._counts['connections'] += 1
        if not self._is_dark(address, now):
            self._send(now, now if is_kept else now + CONNECT_S, asked, plan)
        elif is_kept:
            self._lose_later(now, asked, plan)
        else:
            self._try_elsewhere(now, asked, plan)

    def _is_limited(self, address, now):
        size = self._size
        return address[1] < size.limited and now >= size.limited_at

    def _hear_limit(self, now, asked, plan, sent):
        """Take in the limit that an answer names."""
        view = self.views[asked.box]
        view.exclusions.limits.record_named(
            plan.entry.name, self._size.limit_per_s, sent, now
        )
        if view.exclusions.limits.is_urgent:
            self._tell_others(asked.box, now)

    def _send(self, now, arrives, asked, plan):
        work = asked.work
        self.views[asked.box].record_sent(plan, work, now)
        if self._is_limited(plan.entry.address, now):
            self.at(arrives, self._hear_limit, asked, plan, now)
            if now >= self._size.limited_at + CONTACT_S:
                self._counts['limited', plan.entry.name] += 1
        first, end, read = self._engines[plan.entry.address[1]].take(
            arrives, plan.read_tokens, work.prompt, plan.space
        )
        part, own = work.prompt.parts
        if read > own.tokens:
            self._record_read((plan.space, part.name), part.tokens, first)
        wait_s = first - asked.since
        self._waits.append(wait_s)
        in_aim = wait_s <= asked.kind.aim_s
        self._counts['in_aim', asked.kind.name] += in_aim
        self._counts['good', int(asked.since)] += in_aim
        self.at(first, self._begin, asked, plan)
        self.at(end, self._end, asked, plan)

    def _lose_later(self, now, asked, plan):
        """Lose what was sent on a kept connection to a dark engine."""
        self._counts['lost'] += 1
        self.views[asked.box].record_sent(plan, asked.work, now)
        self._idle[asked.box].pop(plan.entry.address, None)
        self.at(now + SILENT_S, self._lose, asked, plan)

    def _lose(self, now, asked, plan):
        view = self.views[asked.box]
        view.loads.record_end(plan.entry.name, asked.work.name)
        view.record_unreached(plan.entry.name, now)

    def _try_elsewhere(self, now, asked, plan):
        """Try again once a new connection has not come up."""
        name, later = plan.entry.name, now + TIMEOUT_S
        self.at(later, self._fail, self.views[asked.box], name)
        avoid = (*asked.avoid, name)
        self.at(later, self._try, asked._replace(avoid=avoid))

    def _record_read(self, key, tokens, first):
        """Note that a shared part is read, and when all know of it."""
        if key in self._read_once:
            self._counts['again'] += tokens
        self._read_once.add(key)
        self.at(first + KNOWN_S, self._keep, key, tokens)

    def _keep(self, now, key, tokens):
        self._held[key] = tokens

    def _begin(self, now, asked, plan):
        self.views[asked.box].record_first(plan, asked.work, now)

    def _end(self, now, asked, plan):
        view = self.views[asked.box]
        view.loads.record_end(plan.entry.name, asked.work.name)
        self._idle[asked.box][plan.entry.address].append(now)

    def _list_ready(self, asked, now):
        """List the engines to which a connection at rest may be used."""
        most = self._size.idle_s
        if not asked.kind.repeatable:
            most = min(most, UNREPEATABLE_S)
        idle = self._idle[asked.box]
        for address in list(idle):
            idle[address] = [
                at for at in idle[address] if now - at < self._size.idle_s
            ]
        return frozenset(
            address
            for address, rows in idle.items()
            if rows and now - rows[-1] < most
        )

    def _sum_up(self):
        counts = self._counts
        names = [kind.name for kind in self._size.mix.kinds]
        asked = sum(counts['asked', name] for name in names)
        waits = sorted(self._waits)
        return Got(
            in_aim=sum(counts['in_aim', name] for name in names) / asked,
            refused=sum(counts['refused', name] for name in names) / asked,
            connections=counts['connections'] / asked,
            read_again=counts['again'] / asked,
            slowest_s=waits[int(len(waits) * 0.99)],
            lost=counts['lost'] / asked,
            probes=counts['probes'],
            by_kind={
                name: counts['in_aim', name] / counts['asked', name]
                for name in names
            },
            by_second=tuple(
                round(counts['good', n] / counts['all', n], 2)
                for n in range(int(self._size.seconds))
                if counts['all', n]
            ),
            spilled=dict(
                sum(
                    (v.grouping.summaries.spilled for v in self.views),
                    collections.Counter(),
                )
            ),
            digests=counts['digests'],
            crossings=counts['crossings'] / asked,
            limited_per_s=self._find_limited_rates(),
            renewed=self._renewed,
        )

    def _find_limited_rates(self):
        size = self._size
        seconds = size.seconds - size.limited_at - CONTACT_S
        return tuple(
            round(self._counts['limited', f'e{n}'] / seconds, 2)
            for n in range(size.limited)
        )


def main():
    """Play each case, and print what callers get."""
    for name, size in mixes.CASES.items():
        got = Play(size, 1).run()
        print(
            f'{name}: in aim {got.in_aim:.3f}, refused {got.refused:.4f}, '
            f'read again {got.read_again:.0f}, '
            f'connections {got.connections:.2f}, p99 {got.slowest_s:.2f} s, '
            f'probes {got.probes}, by second {got.by_second}, '
            f'spilled {got.spilled}, digests {got.digests}, {got.by_kind}'
        )


if __name__ == '__main__':
    main()
