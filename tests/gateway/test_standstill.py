"""A box serves again at once after a stall of some seconds.

Boxes, store and targets are in one process here, on the boot-time clock: a
jump of the clock is a stall of all of them.
"""

import asyncio
import time

import pytest

from landingspool import boot_clock
from standins import clock
from tests.gateway import site

# Longer than the bound for keys (5 s), so that no proof is valid after it.
STALL_S = 6.0
# Longer than a caller's connection may be idle.
IDLE_S = 600.0
REQUEST = (
    f'POST /safe/a HTTP/1.1\r\nhost: {site.HOST}\r\n'
    'x-landingspool-request-id: kept\r\n'
    'x-landingspool-deadline-ms: 2500\r\n'
    f'authorization: Bearer {site.KEY}\r\ncontent-length: 1\r\n\r\nx'
).encode()


run = site.run_on_boot_clock


def count_ran(deployment):
    """Return the number of requests that targets have executed."""
    runners = deployment.plain + deployment.engines
    return sum(len(runner.ran) for runner in runners)


@pytest.mark.parametrize('seconds', [1.0, 4.0, 4.5, 5.0, 20.0])
def test_callers_are_served_at_once_after_a_standstill(suspend, seconds):
    # Guards against refusals because the proof has aged during the stall.
    async def check(deployment):
        hub = await deployment.start_box()
        for path in ('/safe/a', '/unsafe/a'):
            suspend(seconds)
            asked = [site.ask(hub, path) for _ in range(20)]
            answers = await asyncio.gather(*asked)
            wrong = [a.body for a in answers if a.status != 200]
            assert not wrong

    run(check)


@pytest.mark.parametrize('pause_s', [0.25, 0.3, 0.45])
def test_callers_are_served_if_the_process_pauses_again_after_a_standstill(
    suspend, pause_s
):
    # Guards against refusals while the store's answer waits to be read.
    async def check(deployment):
        hub = await deployment.start_box()
        wait_for_proof = hub.resumption.wait_for_proof
        loop = asyncio.get_running_loop()
        pauses = [pause_s]

        def wait(objective_s):
            if pauses:
                loop.call_soon(time.sleep, pauses.pop())
            return wait_for_proof(objective_s)

        hub.resumption.wait_for_proof = wait
        # The requests arrive before the proof is renewed.
        deployment.store.delay_s = 0.02
        suspend(STALL_S)
        asked = [site.ask(hub, '/unsafe/a') for _ in range(20)]
        answers = await asyncio.gather(*asked)
        wrong = [a.body for a in answers if a.status != 200]
        assert not wrong
        assert not pauses

    run(check)


@pytest.mark.parametrize('path', ['/safe/a', '/unsafe/a', '/resumed/a'])
def test_answers_that_came_meanwhile_are_delivered(suspend, path):
    # Guards against time-outs for targets that have answered in the stall.
    async def check(deployment):
        hub = await deployment.start_box()
        for runner in deployment.plain:
            runner.usual = 'slow'
        for runner in deployment.engines:
            runner.usual = 'stream'
        works = [asyncio.ensure_future(site.ask(hub, path)) for _ in range(4)]
        await site.wait_until(lambda: count_ran(deployment) == 4)
        suspend(STALL_S)
        answers = await asyncio.gather(*works)
        assert [a.status for a in answers] == [200] * 4
        assert count_ran(deployment) == 4
        for entry in hub.view.fleet.entries.values():
            health = hub.view.get_health(entry.name)
            assert (health.failures, health.failing) == (0, 0.0)
        assert not hub.view.reachability.list_failed()

    run(check)


def test_a_kept_connection_is_served_after_a_standstill(suspend):
    # Guards against an idle time-out while the next request is in the socket.
    async def check(deployment):
        hub = await deployment.start_box()
        async with site.connect(hub) as (reader, writer):
            for _ in range(2):
                writer.write(REQUEST)
                suspend(IDLE_S)
                async with asyncio.timeout(2.0):
                    assert b'200' in await reader.readline()
                    await reader.readuntil(b'done')

    run(check)


def test_without_the_store_nothing_is_served_on_the_old_proof(suspend):
    async def check(deployment):
        hub = await deployment.start_box()
        deployment.store.mode = 'busy'
        suspend(STALL_S)
        answers = await asyncio.gather(
            *(site.ask(hub, '/unsafe/a') for _ in range(5))
        )
        assert {a.status for a in answers} == {503}
        assert count_ran(deployment) == 0
        assert {float(a.headers['retry-after']) < 1.0 for a in answers} == {
            True
        }

    run(check)


def test_a_box_without_a_table_yet_goes_on(suspend):
    # Guards against the exit of a box that stalls while it starts.
    async def check(deployment):
        hub = await deployment.start_box()
        hub.view.table = None
        suspend(STALL_S)
        await asyncio.sleep(0.2)
        deployment.publish(site.make_table(2))
        await site.wait_until(lambda: hub.view.table is not None)
        assert (await site.ask(hub, '/safe/a')).status == 200

    run(check)


def test_the_time_is_not_counted_against_targets_or_boxes(suspend):
    # Guards against targets that count as slow because of a stall of the box,
    # and callers that are refused for that.
    async def check(deployment):
        hub, _ = await site.start_boxes(deployment, 2)
        for runner in deployment.plain:
            runner.usual = 'slow'
        for runner in deployment.engines:
            runner.usual = 'stream'
        paths = ['/safe/a', '/unsafe/a', '/stream/a'] * 2
        works = [asyncio.ensure_future(site.ask(hub, p)) for p in paths]
        await site.wait_until(lambda: count_ran(deployment) == len(works))
        suspend(STALL_S)
        hub.timer.now()
        assert hub.view.peer_digests.list_fresh_peers(hub.clock()) == ['box1']
        answers = await asyncio.gather(*works)
        assert [a.status for a in answers] == [200] * len(works)
        for entry in hub.view.fleet.entries.values():
            assert hub.view.get_health(entry.name).wait_s < STALL_S / 2
        assert hub.view.latency.measure('engine', hub.clock()) < 1.0

    run(check)


# More readings of the clock than a box makes while it serves one request.
READINGS = 12


@pytest.mark.parametrize('path', ['/safe/a', '/unsafe/a', '/stream/a'])
def test_stall_at_any_reading_of_the_clock_refuses_no_request(path):
    # Guards against decisions at a time after a stall that isn't noticed.
    routes = {
        name: {**row, 'timeout_ms': 30_000, 'target_latency_ms': 2_000}
        for name, row in site.ROUTES.items()
    }

    async def check(deployment):
        deployment.publish(site.make_table(2, routes=routes))
        stalling = clock.StallingClock(boot_clock.read)
        hub = await deployment.start_box(clock=stalling)
        for runner in deployment.engines:
            runner.usual = 'stream'
        wrong = {}
        for reading in range(READINGS):
            stalling.stall_at(reading, STALL_S)
            deadline = ('x-landingspool-deadline-ms', '25000')
            got = await site.ask(hub, path, headers=[deadline])
            if got.status != 200:
                wrong[reading] = got.body
        assert wrong == {}

    run(check)
