"""An unhandled error in one part of a box takes nothing else with it."""

import asyncio

import pytest

from landingspool.gateway import cache_follower
from landingspool.gateway import crash_records
from landingspool.gateway import following
from landingspool.gateway import ordering
from landingspool.gateway import registry
from landingspool.gateway import sweeper
from tests.gateway import site
from tests.gateway.test_relay import PROMPT

ALWAYS = 10**6
# Longer than the longest pause of any part between two rounds, seconds.
RETURN_S = 6.0
# The kept tasks of a box, and what is called in each of their rounds.
PARTS = {
    'tables': (following.Published, '_follow'),
    'targets': (following.Targets, '_follow'),
    'claims': (following.Claims, '_follow'),
    'crash_records': (crash_records.CrashRecords, '_drop_written'),
    'orders': (ordering.Orderer, '_list_behind'),
    'cache_events': (cache_follower.CacheFollower, '_list_followed'),
    'sweeper': (sweeper.Sweeper, 'check'),
    'boxes': (registry.Registry, '_get_period'),
}


def fail(*args, **kwargs):
    """Raise an unexpected error."""
    raise ZeroDivisionError('made by the test')


def fail_first(monkeypatch, owner, method, times):
    """Have a method fail `times` times; return the list of its calls."""
    real, calls = getattr(owner, method), []

    def call(*args, **kwargs):
        calls.append(args)
        if len(calls) <= times:
            fail()
        return real(*args, **kwargs)

    monkeypatch.setattr(owner, method, call)
    return calls


def list_faults(hub, task):
    """List the fields of the log lines of one task's errors."""
    events = hub.recorder.select(task=task)
    return [event.fields for event in events if event.name == 'fault']


async def stop_box(deployment, hub):
    """Stop a box by plan, and wait until it has ended."""
    (work,) = deployment._works
    hub.stop()
    await asyncio.wait_for(work, hub.deployment.bounds.grace_s + 1.0)


@pytest.mark.parametrize('times', [1, ALWAYS], ids=['once', 'always'])
@pytest.mark.parametrize('task', PARTS)
def test_a_failing_part_ends_no_box(task, times, monkeypatch):
    async def check(deployment):
        calls = fail_first(monkeypatch, *PARTS[task], times)
        hub = await deployment.start_box(grace_s=1.0)
        for target in deployment.engines:
            target.usual = 'stream'
        hub.crash_records._put(b'content', b'')
        hub.crash_records._written[b'content'.hex()] = b'x'
        await site.wait_until(lambda: len(calls) > min(times, 2), RETURN_S)
        for path in ('/safe/a', '/unsafe/a', '/stream/a'):
            assert (await site.ask(hub, path, headers=PROMPT)).status == 200
        assert not hub._stop.is_set()
        first = list_faults(hub, task)[0]
        assert 'made by the test' in first['reason']
        assert any('fail' in row for row in first['trace'])
        assert first['pause_s'] > 0
        metrics = hub.metrics.render().decode()
        assert f'task_failures_total{{task="{task}"}}' in metrics
        await stop_box(deployment, hub)
        count = len(calls)
        await asyncio.sleep(0.3)
        assert len(calls) == count

    site.run(check)


def test_pauses_of_a_part_that_always_fails_grow(monkeypatch):
    async def check(deployment):
        calls = fail_first(monkeypatch, ordering.Orderer, '_list_behind', 4)
        hub = await deployment.start_box()
        await site.wait_until(lambda: len(calls) > 4, RETURN_S)
        pauses = [row['pause_s'] for row in list_faults(hub, 'orders')]
        assert pauses == sorted(set(pauses))
        assert len(pauses) == 4

    site.run(check)
