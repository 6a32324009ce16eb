"""What callers get while the weights of all targets are too old."""

import pytest

from landingspool.decisions.gateway import exclusions
from landingspool.decisions.gateway import loading_targets
from tests.gateway import site
from tests.gateway import test_view

PROMPT = (
    ('x-landingspool-model-name', 'm'),
    ('x-landingspool-token-usage', '300,10'),
    ('x-landingspool-prefix-hash', 'aa:100,bb:150,cc:50'),
)
# Seconds for which old weights may be used, and longer than a test takes.
VERSION_S = 2.0
NEVER_S = 60.0


async def outdate(deployment):
    """Start a box; return it once the weights of all targets are too old."""
    site.delay_orders(deployment.engines, NEVER_S)
    hub = await deployment.start_box(version_s=VERSION_S)
    named = {'model': 'm', 'version': 2}
    deployment.store.put('keyed.op', 'version/m', named)
    await site.wait_until(
        lambda: hub.view.get_time_left('e0', 'm', hub.clock()) <= 0
    )
    return hub


def test_callers_are_refused_at_once_and_return_no_sooner_than_a_load():
    async def check(deployment):
        hub = await outdate(deployment)
        hub.view.loading.put({}, hub.clock())
        got = await site.ask(hub, '/stream/a', headers=PROMPT)
        assert got.status == 503
        assert exclusions.OLD_WEIGHTS in got.body.decode()
        assert 1.3 < float(got.headers['retry-after']) < 2.0
        assert not any(e.ran for e in deployment.engines)

    site.run(check)


def test_callers_are_told_when_the_first_load_ends():
    async def check(deployment):
        hub = await outdate(deployment)
        hub.view.start_limits.estimate_new_weights = lambda work, now: 0.9
        times = []
        for _ in range(6):
            got = await site.ask(hub, '/stream/a', headers=PROMPT)
            assert exclusions.OLD_WEIGHTS in got.body.decode()
            times.append(float(got.headers['retry-after']))
        assert all(1.0 < at < 1.5 for at in times)
        # Callers do not come back together.
        assert len({round(at, 2) for at in times}) > 1

    site.run(check)


def make_outdated_view():
    """Return a View whose two targets lack version 2, and a time after it."""
    view = test_view.make_view(2)
    view.weights.put_version('m', 1, 1.0)
    view.weights.put_version('m', 2, 10.0)
    return view, 10.0 + view.weights.max_lag_s + 1.0


def test_the_time_is_that_of_the_first_load_under_way():
    view, late = make_outdated_view()
    work = test_view.make_work()
    assert view.get_shortage(work, late) == exclusions.OLD_WEIGHTS
    assert view.start_limits.estimate_new_weights(work, late) == 1.3
    view.loading.put({'t0': 0.5, 't1': 0.0}, late)
    left_s = view.start_limits.estimate_new_weights(work, late)
    assert left_s == pytest.approx(loading_targets.USUAL_LOAD_S)
    # One that takes longer than usual may end at any time.
    assert view.start_limits.estimate_new_weights(work, late + 2.0) == 1.3


def test_one_target_with_new_weights_is_no_lack_of_new_weights():
    view, late = make_outdated_view()
    test_view.put(view, 't1', 2)
    shortage = view.get_shortage(test_view.make_work(), late)
    assert shortage != exclusions.OLD_WEIGHTS


def test_targets_that_leave_are_no_lack_of_new_weights():
    view, late = make_outdated_view()
    view.exclusions.leaving.holds = lambda name: True
    shortage = view.get_shortage(test_view.make_work(), late)
    assert shortage == exclusions.LEAVING
