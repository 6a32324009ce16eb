"""Tests from when on boxes count the loads that a claim announces."""

import asyncio
import json
import math

import pytest

from landingspool.decisions.gateway import loading_targets
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import rollouts
from landingspool.platform import catalogue
from landingspool.platform import names
from standins import runner as runner_module
from tests.gateway import site

PROMPT = prompts.Prompt('m', 100, 4, ())
LONG_PROMPT = prompts.Prompt('m', 100, 900, ())
# How long ago a claim was written, and the delay of a load in it, seconds.
AGO_S = 600.0
DELAY_S = 0.4


def make_loading(delay, now):
    """Return LoadingTargets with one announced load."""
    loading = loading_targets.LoadingTargets()
    loading.put({'e0': delay}, now)
    return loading


def write_claim(deployment, loading, wall_s):
    """Write a claim of a box that is gone."""
    value = catalogue.write_claim('gone', loading, wall_s=wall_s)
    deployment.store.put(names.CLAIMS_TOPIC, 'orders', json.loads(value))


def is_read(hub):
    """Return whether a box has read the newest claim."""
    return hub.claims._watch.end is not None


def test_load_announced_long_before_a_start_is_over():
    # Guards against targets left out because a box starts.
    async def check(deployment):
        first = await deployment.start_box('box1')
        write_claim(deployment, {'e0': DELAY_S}, first.wall() - AGO_S)
        hub = await deployment.start_box('box2')
        await site.wait_until(lambda: is_read(hub))
        assert not hub.view.loading.excludes('e0', LONG_PROMPT, hub.clock())

    site.run(check)


def test_load_announced_shortly_before_a_start_counts_from_then():
    async def check(deployment):
        first = await deployment.start_box('box1')
        write_claim(deployment, {'e0': DELAY_S}, first.wall() - 2.0)
        hub = await deployment.start_box('box2')
        await site.wait_until(lambda: is_read(hub))
        loading, now = hub.view.loading, hub.clock()
        assert loading.excludes('e0', LONG_PROMPT, now)
        began = now - loading.get_start('e0', now)
        assert 2.0 - DELAY_S <= began < 4.0 - DELAY_S

    site.run(check)


@pytest.mark.parametrize('shift_s', [-AGO_S, AGO_S])
def test_load_in_a_claim_read_as_it_comes_counts_from_its_reading(shift_s):
    # Guards against a time of day that hides the loads of other boxes.
    async def check(deployment):
        hub = await deployment.start_box()
        await site.wait_until(lambda: is_read(hub))
        write_claim(deployment, {'e0': DELAY_S}, hub.wall() + shift_s)
        loading = hub.view.loading
        await site.wait_until(
            lambda: loading.excludes('e0', PROMPT, hub.clock())
        )
        left = loading.get_start('e0', hub.clock()) - hub.clock()
        assert -0.5 < left <= DELAY_S

    site.run(check)


def test_claim_that_does_not_tell_its_time_counts_from_its_reading():
    value = json.dumps({'holder': 'b', 'loading': {'e0': 1.5}}).encode()
    claim = catalogue.read_claim(value, 7, 5.0)
    assert (claim.loading, claim.age_s) == ({'e0': 1.5}, 0.0)


def test_age_of_a_claim_is_not_negative():
    value = catalogue.write_claim('b', {'e0': 1.5}, wall_s=10.0)
    assert catalogue.read_claim(value, 7, 9.0).age_s == 0.0


def test_another_load_of_a_target_that_stays_listed_counts_as_a_new_one():
    # Guards against requests to a target whose second load is hidden.
    loading = make_loading(DELAY_S, 0.0)
    loading.put({'e0': DELAY_S}, 7.5)
    assert loading.excludes('e0', LONG_PROMPT, 7.6)
    assert loading.get_start('e0', 7.6) == 7.5 + DELAY_S
    assert loading.excludes('e0', PROMPT, 8.0)


def test_a_claim_that_is_renewed_keeps_the_time_of_a_load():
    loading = make_loading(DELAY_S, 0.0)
    loading.put({'e0': DELAY_S - 0.1}, 0.2)
    assert loading.get_start('e0', 0.2) == DELAY_S
    loading.put({'e0': 0.0}, 1.4)
    assert loading.get_start('e0', 1.4) == DELAY_S
    late = math.nextafter(DELAY_S + loading_targets.LOADING_S, math.inf)
    assert not loading.excludes('e0', PROMPT, late)


class IdleRunner(runner_module.Runner):
    """Accepts orders and never begins to load."""

    def _answer_call(self, writer, head, body):
        if head['path'] == '/api/order':
            self.asked.append(asyncio.get_running_loop().time())
            writer.write(b'HTTP/1.1 202 X\r\ncontent-length: 2\r\n\r\n{}')
        else:
            super()._answer_call(writer, head, body)


def test_order_given_anew_is_announced_before_it(monkeypatch):
    # Guards against an order that no claim tells, as its target stays listed.
    monkeypatch.setitem(rollouts.RETRY_DELAYS_S, rollouts.ACCEPTED, 0.7)

    async def main():
        deployment = site.Site(engines=0)
        deployment.engines = [IdleRunner('e0')]
        async with deployment:
            hub = await deployment.start_box()
            named = {'model': 'm', 'version': 2}
            deployment.store.put('keyed.op', 'version/m', named)
            (engine,) = deployment.engines
            for number in range(1, 4):
                await site.wait_until(
                    lambda count=number: len(engine.asked) == count
                )
                now = hub.clock()
                began = now - hub.view.loading.get_start('e0', now)
                assert began < rollouts.CLOSING_S / 2

    asyncio.run(main())
