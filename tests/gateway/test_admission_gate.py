"""Failures while requests wait for room: each test brings about one."""

import asyncio
import types

from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import contention
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import stalls
from landingspool.decisions.gateway import waiting
from landingspool.gateway import admission_gate
from landingspool.gateway import metrics
from landingspool.gateway import request_state
from tests.gateway import site
from tests.gateway import test_view

REFUSE = admission_gate.Verdict.REFUSE
REPLAN = admission_gate.Verdict.REPLAN
SEND = admission_gate.Verdict.SEND


class Box:
    """A gate, and a view that admits what it is told to admit."""

    def __init__(self):
        self.admits = False
        self.view = test_view.make_view()
        self.view.contention = contention.Contention(self.view.free_capacity)
        self.view.is_admitted = lambda *_: self.admits
        self.metrics = metrics.Metrics()
        self.clock = asyncio.get_running_loop().time
        self.gate = admission_gate.AdmissionGate(self)

    def begin(self, name, left_s=9.0, objective_s=4.0):
        """Let a request arrive; return its state and the task at the gate."""
        call = types.SimpleNamespace(left_s=left_s, target='/', name=name)
        state = request_state.RequestState(call, b'', None, self.clock())
        work = test_view.make_work(name)
        route = work.route._replace(target_latency_s=objective_s)
        state.begin(work._replace(route=route))
        state.demand = self.view.contention.make_demand(
            state.work, left_s, name.encode(), 0.5, self.clock()
        )
        plan = plans.Plan(None, 0.0, 0.0, 0, 0, 1, None, '', None)
        return state, asyncio.ensure_future(self.gate.check(state, plan))


def run(test):
    """Run an async test with a Box."""

    async def main():
        await test(Box())

    asyncio.run(main())


async def begin_all(box, names):
    """Let some requests wait; return their states and tasks."""
    begun = [box.begin(name) for name in names]
    await asyncio.sleep(0.01)
    assert box.gate.count_waiting() == min(len(names), waiting.MAX_WAITING)
    return begun


def test_the_first_that_waits_takes_the_room_of_a_request_that_ends():
    async def check(box):
        (one, first), (_, second) = await begin_all(box, 'ab')
        box.gate.record_end('s')
        assert await first == REPLAN
        assert not second.done()
        # What arrives now lets the other one go first.
        box.admits = True
        _, third = box.begin('c')
        await asyncio.sleep(0)
        assert await second == REPLAN
        assert not third.done()
        # The first one's new plan is admitted, and wakes the last.
        assert await box.gate.check(one, None) == SEND
        assert await third == REPLAN

    run(check)


def test_whoever_waits_is_refused_after_an_eighth_of_its_objective():
    async def check(box):
        state, work = box.begin('a', objective_s=0.4)
        begun = box.clock()
        assert await work == REFUSE
        assert 0.04 < box.clock() - begun < 0.2
        assert state.release == admission_gate.Release.OVER
        # A new plan gives it no further time.
        assert await box.gate.check(state, None) == REFUSE

    run(check)


def test_a_caller_that_leaves_is_taken_out_at_once():
    async def check(box):
        (_, first), (_, second) = await begin_all(box, 'ab')
        first.cancel()
        await asyncio.sleep(0)
        assert box.gate.count_waiting() == 1
        box.gate.record_end('s')
        assert await second == REPLAN

    run(check)


def test_a_caller_that_leaves_with_room_gives_it_to_the_next():
    async def check(box):
        (_, first), (_, second) = await begin_all(box, 'ab')
        box.gate.record_end('s')
        first.cancel()
        assert await second == REPLAN

    run(check)


def test_when_the_last_target_dies_all_who_wait_for_it_learn_it():
    async def check(box):
        begun = await begin_all(box, 'abc')
        box.gate.record_no_target('s')
        assert [await work for _, work in begun] == [REPLAN] * 3

    run(check)


def test_a_stall_of_the_box_ends_all_waiting():
    async def check(box):
        begun = await begin_all(box, 'ab')
        entry = box.view.fleet.entries['t0']
        load = box.view.loads.measure('t0', (0.0, 9.0, 0.0, 0.0))
        box.view.contention.record_rejected(entry, load, 10.0)
        stalls.exclude_stall(box.view, 3.0, 13.0)
        box.gate.void()
        assert [await work for _, work in begun] == [REFUSE] * 2
        candidate = choice.Candidate(entry, load, None)
        rejections = box.view.contention.rejections
        assert not rejections.is_full(candidate, 9, 10.0)

    run(check)


def test_a_planned_stop_ends_all_waiting_and_lets_nobody_wait():
    async def check(box):
        begun = await begin_all(box, 'ab')
        box.gate.stop()
        assert [await work for _, work in begun] == [REFUSE] * 2
        assert await box.begin('c')[1] == REFUSE

    run(check)


def test_where_the_queue_is_full_the_last_in_the_order_is_refused():
    async def check(box):
        names = [f'q{n}' for n in range(waiting.MAX_WAITING + 1)]
        begun = await begin_all(box, names)
        last, work = begun[-1]
        assert await work == REFUSE
        assert last.release == admission_gate.Release.FULL
        box.gate.record_end('s')
        assert await begun[0][1] == REPLAN

    run(check)


def test_a_full_target_is_not_tried_again_and_the_caller_may_soon_return():
    async def check(deployment):
        hub = await deployment.start_box(contended=True)
        (runner,) = deployment.plain
        runner.usual = 'shed'
        got = await site.ask(hub, '/unsafe/a')
        assert got.status == 503
        assert 0 < float(got.headers['retry-after']) < 0.2
        assert len(runner.heads) == 1

    site.run(check, plain=1, engines=0)
