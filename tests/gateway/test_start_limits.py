"""No request begins on weights that were replaced longer ago than allowed."""

import asyncio
import math
import types

from landingspool.decisions.gateway import health
from landingspool.gateway import attempts
from landingspool.gateway import recalls
from standins import runner
from tests.gateway import site
from tests.gateway import test_relay
from tests.gateway import test_view

# A fence that no box reaches: the target takes no orders to load.
NO_ORDERS = 10**9


async def start(deployment, version_s, first=1, **bounds):
    """Start a box with one engine; a second one starts, but is not announced.

    Parameters
    ----------
    first : int
        Version of the weights of the first one; the second has the other.

    Returns
    -------
    tuple of (hub.Hub, runner.Runner, runner.Runner)
        The box, the engine on old weights and the one on new weights.
    """
    known = deployment.engines[0]
    known.version = first
    deployment.announce(known, 'engine', model='m')
    hub = await deployment.start_box(version_s=version_s, **bounds)
    other = runner.Runner('late', 3 - first)
    await other.start()
    deployment.engines.append(other)
    for target in deployment.engines:
        target.fence = NO_ORDERS
        target.usual = 'stream'
    await use_objective(deployment, hub, 2000)
    return hub, *sorted(deployment.engines, key=lambda t: t.version)


async def use_objective(deployment, hub, objective_ms):
    """Publish another latency objective for all routes."""
    rows = {
        name: {**row, 'target_latency_ms': objective_ms}
        for name, row in site.ROUTES.items()
    }
    version = hub.view.table.version + 1
    deployment.publish(site.make_table(version, routes=rows))
    await site.wait_until(lambda: hub.view.table.version == version)


async def name_version(deployment, hub, lag_s):
    """Publish the new version; return as soon as it is known for `lag_s`."""
    deployment.store.put('keyed.op', 'version/m', {'model': 'm', 'version': 2})
    await site.wait_until(lambda: get_lag(hub) >= lag_s)


def get_lag(hub):
    """Return the seconds since the new version is known."""
    return hub.view.weights.get_lag('m', 1, hub.clock())


async def announce(deployment, hub, target):
    """Announce a target, and wait until the box knows it."""
    deployment.announce(target, 'engine', model='m')
    await site.wait_until(lambda: find_name(hub, target))


def find_name(hub, target):
    """Return the name of a target's incarnation, or None."""
    for entry in hub.view.fleet.entries.values():
        if entry.target == target.name:
            return entry.name
    return None


async def ask(hub, route):
    return await site.ask(hub, f'/{route}/a', headers=test_relay.PROMPT)


def delay_connections(monkeypatch, seconds, during=None):
    """Let connections take some seconds, in which `during` is awaited."""
    open_exchange = attempts.open_exchange

    async def open_late(hub, work, entry, **how):
        exchange = await open_exchange(hub, work, entry, **how)
        await asyncio.sleep(seconds)
        if during is not None:
            await during()
        return exchange

    monkeypatch.setattr(attempts, 'open_exchange', open_late)


def test_request_chosen_in_time_is_not_sent_late(monkeypatch):
    async def check(deployment):
        hub, old, new = await start(deployment, 5.0)
        await name_version(deployment, hub, 1.5)

        delay_connections(
            monkeypatch, 0.7, lambda: announce(deployment, hub, new)
        )
        got = await ask(hub, 'stream')
        assert got.status == 200
        assert not old.ran
        assert len(new.ran) == 1

    site.run(check, engines=1)


def test_request_chosen_in_time_is_refused_if_no_other_target_is_left(
    monkeypatch,
):
    async def check(deployment):
        hub, old, _ = await start(deployment, 5.0)
        await name_version(deployment, hub, 1.5)
        delay_connections(monkeypatch, 0.7)
        got = await ask(hub, 'stream')
        assert got.status == 503
        assert float(got.headers['retry-after']) > 0
        assert not old.ran

    site.run(check, engines=1)


def test_prepared_replacement_is_not_sent_late(monkeypatch):
    async def check(deployment):
        hub, old, new = await start(deployment, 5.0, first=2)
        await use_objective(deployment, hub, 400)
        new.usual = 'silent'
        await name_version(deployment, hub, 0.5)
        work = asyncio.ensure_future(ask(hub, 'resumed'))
        await site.wait_until(lambda: new.ran)
        await announce(deployment, hub, old)
        delay_connections(monkeypatch, 1.0)
        await work
        assert not old.ran

    site.run(check, engines=1)


def test_request_is_not_sent_to_a_wait_beyond_the_bound():
    async def check(deployment):
        hub, old, _ = await start(deployment, 3.0)
        old.usual, old.queue_s = 'queued stream', 2.0
        assert (await ask(hub, 'stream')).status == 200
        await name_version(deployment, hub, 1.2)
        got = await ask(hub, 'stream')
        assert got.status == 503
        assert len(old.ran) == 1

    site.run(check, engines=1)


async def ask_before_bound(deployment, route, **bounds):
    """Send a request to old weights, where it would begin past the bound.

    Returns
    -------
    tuple of (hub.Hub, runner.Runner, runner.Runner, asyncio.Future)
        The box, the engines on old and new weights, and the answer to be.
    """
    hub, old, new = await start(deployment, 3.0, **bounds)
    old.usual, old.queue_s = 'queued stream', 2.1
    await name_version(deployment, hub, 1.2)
    work = asyncio.ensure_future(ask(hub, route))
    await site.wait_until(lambda: old.heads)
    return hub, old, new, work


def test_time_out_ends_before_the_bound_but_is_never_too_short():
    async def check(deployment):
        hub, old, _, work = await ask_before_bound(deployment, 'resumed')
        entry = hub.view.fleet.entries[find_name(hub, old)]
        plan = types.SimpleNamespace(entry=entry)
        state = types.SimpleNamespace(work=test_view.make_work('q'))
        recall = recalls.Recall(hub, state, plan)
        left_s = recall.measure_left()
        assert 1.2 < left_s < 1.8
        limit_s = recall.limit_timeout(9.0)
        assert abs(limit_s - left_s + 1.0) < 0.05
        assert recall.limit_timeout(0.1) == 0.1
        assert not recall.is_due()
        await site.wait_until(recall.is_due)
        assert recall.limit_timeout(9.0) == recalls.RETRY_S
        unplanned = recalls.Recall(hub, state, None)
        assert unplanned.limit_timeout(9.0) == 9.0
        await work

    site.run(check, engines=1)


def test_request_that_would_begin_late_is_taken_back():
    async def check(deployment):
        hub, old, new, work = await ask_before_bound(deployment, 'resumed')
        await announce(deployment, hub, new)
        got = await work
        assert got.status == 200
        assert got.body.count(b'id: ') == 4
        assert not old.ran
        assert old.cancelled == 1
        assert len(new.ran) == 1
        # The bound is not the fault of the target.
        left = find_name(hub, old)
        assert hub.view.get_health(left) == health.Health()
        losses = hub.metrics.losses.labels('old_weights')
        assert losses._value.get() == 1

    site.run(check, engines=1)


def test_request_that_must_not_be_repeated_is_not_taken_back():
    async def check(deployment):
        hub, old, new, work = await ask_before_bound(deployment, 'stream')
        await announce(deployment, hub, new)
        assert (await work).status == 200
        assert len(old.ran) == 1
        assert not new.heads

    site.run(check, engines=1)


def test_request_stays_beyond_the_bound_where_no_other_target_is_left():
    async def check(deployment):
        _, old, _, work = await ask_before_bound(deployment, 'resumed')
        assert (await work).status == 200
        assert len(old.ran) == 1

    site.run(check, engines=1)


def test_request_stays_beyond_the_bound_if_the_other_target_rejects_it():
    async def check(deployment):
        hub, old, new, work = await ask_before_bound(deployment, 'resumed')
        new.usual = 'shed'
        await announce(deployment, hub, new)
        assert (await work).status == 200
        assert len(old.ran) == 1
        assert len(new.heads) == 1

    site.run(check, engines=1)


def test_request_stays_beyond_the_bound_without_a_repeat_left():
    async def check(deployment):
        hub, old, new, work = await ask_before_bound(
            deployment, 'resumed', retry_ratio=0.0, retry_slack=0.0
        )
        await announce(deployment, hub, new)
        assert (await work).status == 200
        assert len(old.ran) == 1
        assert not new.ran

    site.run(check, engines=1)


def find_event(hub, name):
    """Return the fields of the last event of one kind."""
    events = [e for e in hub.recorder.select() if e.name == name]
    return events[-1].fields


def test_answer_from_weights_past_the_bound_is_logged():
    async def check(deployment):
        hub, old, _, work = await ask_before_bound(deployment, 'stream')
        assert (await work).status == 200
        assert hub.recorder.counts['late_weights'] == 1
        fields = find_event(hub, 'late_weights')
        assert fields['target'] == find_name(hub, old)
        assert fields['request'] == old.ran[0]['x-landingspool-request-id']
        assert fields['version'] == 1
        assert 3.2 < fields['lag_s'] < 3.9
        assert 2.0 < fields['after_s'] < 2.5

    site.run(check, engines=1)


def test_answers_within_the_bound_are_not_logged_as_late():
    async def check(deployment):
        hub, old, _ = await start(deployment, 3.0)
        assert (await ask(hub, 'stream')).status == 200
        assert 'weights_left_s' not in find_event(hub, 'dispatched')
        await name_version(deployment, hub, 0.1)
        assert (await ask(hub, 'stream')).status == 200
        assert len(old.ran) == 2
        assert 2.5 < find_event(hub, 'dispatched')['weights_left_s'] < 2.95
        assert not hub.recorder.counts['late_weights']

    site.run(check, engines=1)


def test_answer_that_waited_for_a_stalled_box_is_not_logged_as_late(suspend):
    async def check(deployment):
        hub, old, _ = await start(deployment, 3.0)
        old.usual, old.queue_s = 'queued stream', 0.4
        await name_version(deployment, hub, 0.1)
        work = asyncio.ensure_future(ask(hub, 'stream'))
        await site.wait_until(lambda: hub.recorder.counts['dispatched'])
        suspend(3.5)
        assert (await work).status == 200
        assert get_lag(hub) > 3.5
        assert not hub.recorder.counts['late_weights']

    site.run_on_boot_clock(check, engines=1)


def test_answer_from_weights_of_unknown_age_is_logged_without_an_age(
    monkeypatch,
):
    async def check(deployment):
        hub, _, _, work = await ask_before_bound(deployment, 'stream')
        monkeypatch.setattr(
            hub.view.weights, 'get_lag', lambda model, has, now: math.inf
        )
        assert (await work).status == 200
        assert find_event(hub, 'late_weights')['lag_s'] is None

    site.run(check, engines=1)


def make_late_view(lag_s):
    """Return a View whose only target is behind, and the time."""
    view = test_view.make_view(1)
    view.weights.put_version('m', 1, 1.0)
    view.weights.put_version('m', 2, 10.0)
    return view, 10.0 + lag_s


def send(view, at):
    """Send a request; return its plan and work."""
    work = test_view.make_work(f'sent at {at}')
    plan = view.plan(work, (), at)
    view.record_sent(plan, work, at)
    return plan, work


def test_target_behind_is_left_while_a_request_waits_there_for_long():
    view, now = make_late_view(8.0)
    _, work = send(view, now - 4.0)
    view.loads.record_received('t0', now)
    assert test_view.pick(view, now) is None
    view.loads.record_end('t0', work.name)
    assert test_view.pick(view, now) == 't0'


def test_target_behind_is_left_after_a_long_wait():
    view, now = make_late_view(8.0)
    plan, work = send(view, now - 4.5)
    view.record_first(plan, work, now - 0.5)
    view.loads.record_end('t0', work.name)
    assert test_view.pick(view, now - 2.4) == 't0'
    assert test_view.pick(view, now) is None


def test_long_wait_is_remembered_while_nothing_is_sent():
    view, now = make_late_view(8.0)
    plan, work = send(view, now - 11.0)
    view.record_first(plan, work, now - 6.0)
    view.loads.record_end('t0', work.name)
    assert test_view.pick(view, now) is None


def test_target_behind_is_left_if_a_long_wait_is_expected():
    view, now = make_late_view(8.0)
    assert test_view.pick(view, now) == 't0'
    test_view.begin_requests(view, 10)
    plan = view.plan(test_view.make_work(), (), 10.2)
    assert plan.wait_s > 3.0
    assert test_view.pick(view, now) is None


def test_request_is_not_sent_with_too_long_a_wait_expected():
    view, now = make_late_view(8.0)
    work = test_view.make_work()
    plan = view.plan(work, (), now)
    assert view.start_limits.may_send(plan, work, now)
    late = plan._replace(wait_s=2.8)
    assert not view.start_limits.may_send(late, work, now)


def test_target_on_the_newest_weights_is_used_however_long_it_waits():
    view, now = make_late_view(8.0)
    send(view, now - 6.0)
    view.loads.record_received('t0', now)
    assert test_view.pick(view, now) is None
    test_view.put(view, 't0', 2)
    assert test_view.pick(view, now) == 't0'
