"""Plays a burst on plain targets that reject what is over their places.

The load: three targets of six places, work of 45 ms that must not run twice,
and, after a second at half of what they can do, one and a half times as many
requests as that for some seconds.
Callers come back once, at the time told, mostly to another box.
"""

import collections
import heapq
import itertools
import random
import typing

from landingspool.decisions.gateway import demand
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import view as view_module
from landingspool.decisions.gateway import waiting
from landingspool.gateway import deployment
from tests.gateway import test_view

BOXES = 5
TARGETS = 3
PLACES = 6
WORK_S = 0.045
PER_S = 1.5 * TARGETS * PLACES / WORK_S
BURST_S = 3.0
LEFT_S = 1.0
ROUTE = routes.Route(
    'r', 'h', '/', routes.UNSAFE, LEFT_S, 0.15, 2, (routes.Share('s', 1),)
)


class Caller(typing.NamedTuple):
    """One arrival of a caller; `born` is when it came first."""

    work: plans.Work
    born: float
    returns: bool
    demand: demand.Demand


class Burst:
    """Some boxes before the targets of one service, in virtual time."""

    def __init__(self, contended):
        self.rng = random.Random(7)
        bounds = deployment.Bounds(contended=contended)
        self.views = []
        for number in range(BOXES):
            view = view_module.View('d', bounds, number)
            table = routes.make_table(
                1, [ROUTE], [routes.Service('s')], {}, routes.Limits(), False
            )
            view.put_table(table)
            for target in range(TARGETS):
                test_view.put(view, f't{target}', 1)
            view.peers_by_domain = {'d': BOXES - 1}
            self.views.append(view)
        self.taken = collections.Counter()
        self.rejected = 0
        self.refused_with_places = 0
        self.ends = collections.Counter()
        self._events = []
        self._ties = itertools.count()

    def run(self):
        for number in range(int(PER_S / 3)):
            self._at(number * 3 / PER_S, self._arrive, LEFT_S, None)
        for number in range(int(PER_S * BURST_S)):
            self._at(1.0 + number / PER_S, self._arrive, LEFT_S, None)
        for number in range(BOXES):
            self._at(number / 25, self._send_digest, number)
        while self._events and self._events[0][0] < 1.0 + BURST_S + LEFT_S:
            now, _, call, args = heapq.heappop(self._events)
            call(now, *args)
        return self

    def _at(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._ties), call, args))

    def _send_digest(self, now, number):
        self._at(now + 0.2, self._send_digest, number)
        reported = self.views[number].loads.list_reported()
        loads = peer_digests.hash_loads(reported)
        sent = peer_digests.Digest(f'b{number}', 'd', next(self._ties), loads)
        for other, view in enumerate(self.views):
            if other != number:
                view.take_digest(sent, now)

    def _arrive(self, now, left_s, born):
        view, name = self.rng.choice(self.views), f'q{next(self._ties)}'
        work = plans.Work(name, ROUTE, 's', None, None)
        asked = view.make_demand(work, left_s, name.encode(), now)
        caller = Caller(work, born or now, born is not None, asked)
        self._try(now, view, caller, now + waiting.compute_wait_s(0.15, 1.0))

    def _try(self, now, view, caller, until):
        plan = view.plan(caller.work, (), now)
        if view.is_admitted(plan, caller.work, caller.demand):
            caller, until = self._let_go_first(now, view, caller, until)
            self._send(now, view, plan, caller)
        elif now >= until:
            self._refuse(now, view, plan, caller)
        else:
            view.contention.waiting.put('s', caller, caller.demand, now, until)
            self._at(until, self._end_wait, view, plan, caller)

    def _let_go_first(self, now, view, caller, until):
        """Return the caller that waits and goes first, or the given one."""
        if view.contention is None:
            return caller, until
        waiting = view.contention.waiting
        first = waiting.take_before('s', caller.demand)
        if first is None:
            return caller, until
        waiting.put('s', caller, caller.demand, now, until)
        plan = view.plan(caller.work, (), now)
        self._at(until, self._end_wait, view, plan, caller)
        return first.request, first.until

    def _end_wait(self, now, view, plan, caller):
        if view.contention.waiting.remove('s', caller):
            self._refuse(now, view, plan, caller)

    def _send(self, now, view, plan, caller):
        target = plan.entry.name
        if self.taken[target] >= PLACES:
            self.rejected += 1
            view.record_sent(plan, caller.work, now)
            view.record_rejected(plan, caller.work, now)
            view.loads.record_end(target, caller.work.name)
            self._come_back(now, view, plan, caller)
            return
        self.taken[target] += 1
        view.record_sent(plan, caller.work, now)
        work_s = WORK_S * self.rng.uniform(0.5, 1.5)
        self._at(now + work_s, self._end, view, plan, caller)

    def _end(self, now, view, plan, caller):
        self.taken[plan.entry.name] -= 1
        view.record_first(plan, caller.work, now)
        view.loads.record_end(plan.entry.name, caller.work.name)
        self.ends['back' if caller.returns else 'new', 'served'] += 1
        if view.contention is not None:
            view.contention.record_end('s', now)
            first = view.contention.waiting.take_first('s')
            if first is not None:
                self._try(now, view, first.request, first.until)

    def _refuse(self, now, view, plan, caller):
        if sum(self.taken.values()) < TARGETS * PLACES / 2:
            self.refused_with_places += 1
        self._come_back(now, view, plan, caller)

    def _come_back(self, now, view, plan, caller):
        after = view.compute_retry_after(plan, caller.work, caller.demand, now)
        if view.contention is not None:
            name = caller.work.name.encode()
            view.contention.record_refused('s', name, after, now)
        kind = 'back' if caller.returns else 'new'
        self.ends[kind, 'refused'] += 1
        left_s = caller.born + LEFT_S - now
        if not caller.returns:
            after = min(after, left_s / 3)
            left_s -= after
            self._at(now + after, self._arrive, left_s, caller.born)


def count_rejected(burst):
    """Return the share of arrivals that targets rejected."""
    return burst.rejected / burst.ends.total()


def measure_served(ends, kind):
    """Return the share of arrivals of a kind that were served."""
    return ends[kind, 'served'] / (
        ends[kind, 'served'] + ends[kind, 'refused']
    )


def test_a_burst_is_refused_rather_than_sent_to_full_targets():
    before, now = Burst(False).run(), Burst(True).run()
    assert count_rejected(before) > 0.3
    assert count_rejected(now) < 0.1
    assert not now.refused_with_places
    # No fewer callers are served for it.
    served = [
        burst.ends['new', 'served'] + burst.ends['back', 'served']
        for burst in (before, now)
    ]
    assert served[1] >= served[0]


def test_callers_that_return_are_served_before_new_ones():
    ends = Burst(True).run().ends
    assert measure_served(ends, 'back') > 1.5 * measure_served(ends, 'new')
