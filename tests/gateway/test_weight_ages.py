"""Tests for how long boxes that start use targets on old weights."""

import asyncio
import io
import json

from loguru import logger
import pytest

from standins import runner as runner_module
from tests.gateway import site

# Bound from a naming to the last beginning on old weights: with the margin
# for waits at the target, a box sends for five seconds of it.
BOUND_S = 8.0
SENT_S = 5.0
# Seconds from the naming to the start of a box, and to its requests.
START_S = 3.0
ASK_S = 5.6


@pytest.fixture
def refuse_orders(monkeypatch):
    """Let all targets refuse to load weights."""
    calls = {**runner_module.CALLS, '/api/order': lambda *call: (409, {})}
    monkeypatch.setattr(runner_module, 'CALLS', calls)


def name_version(deployment, version):
    """Publish new weights."""
    named = {'model': 'm', 'version': version}
    deployment.store.put('keyed.op', 'version/m', named)


async def count_on_old_weights(deployment, hub, count=6):
    """Ask a box for streams; return how many targets ran them."""
    before = [len(engine.ran) for engine in deployment.engines]
    rows = [
        ('x-landingspool-model-name', 'm'),
        ('x-landingspool-token-usage', '150,4'),
        ('x-landingspool-prefix-hash', 'a:100,b:50'),
    ]
    for number in range(count):
        await site.ask(hub, f'/stream/{number}', headers=rows)
    after = [len(engine.ran) for engine in deployment.engines]
    return sum(after) - sum(before)


async def check_start(deployment, stop_others):
    """Start a box in a rollout that stands still, and ask it late."""
    first = await deployment.start_box('box1', version_s=BOUND_S)
    seeds = [first.deployment.links]
    name_version(deployment, 2)
    await site.wait_until(
        lambda: first.view.weights.is_replaced('m', 1), seconds=1.0
    )
    assert await count_on_old_weights(deployment, first) == 6
    await asyncio.sleep(START_S)
    if stop_others:
        first.stop()
    started = await deployment.start_box('box2', seeds, version_s=BOUND_S)
    await asyncio.sleep(ASK_S - START_S)
    assert await count_on_old_weights(deployment, started) == 0


def test_box_that_starts_in_a_rollout_uses_old_weights_for_longer(
    refuse_orders,
):
    site.run(lambda deployment: check_start(deployment, False))


def test_only_box_that_starts_in_a_rollout_uses_old_weights_for_longer(
    refuse_orders,
):
    site.run(lambda deployment: check_start(deployment, True))


def test_log_tells_the_age_of_a_version_and_its_source():
    lines = io.StringIO()
    handler = logger.add(lines, format='{message}', level='INFO')

    async def check(deployment):
        await deployment.start_box()
        name_version(deployment, 2)
        await site.wait_until(lambda: lines.getvalue().count('_named') == 2)

    try:
        site.run(check)
    finally:
        logger.remove(handler)
    rows = [json.loads(row) for row in lines.getvalue().splitlines()]
    _, named = [row for row in rows if row['event'] == 'version_named']
    assert named['source'] == 'store'
    assert named['age_s'] < 0.5
    assert named['proof_s'] < 3.0
