"""Time for which a machine is suspended counts for proofs and timers.

The monotonic clock stops during a suspension, so that the product uses the
boot-time clock.  The tests make that one jump.
"""

import asyncio
import time

import pytest

from landingspool import boot_clock
from tests.gateway import site

# Length of the suspension: longer than the bound for keys, five seconds.
SUSPENDED_S = 9.0


def test_no_request_is_sent_on_by_what_was_known_before(suspend):
    async def check(deployment):
        hub = await deployment.start_box()
        assert (await site.ask(hub, '/safe/a')).status == 200
        ran = sum(len(runner.ran) for runner in deployment.plain)
        deployment.store.mode = 'silent'
        suspend(SUSPENDED_S)
        got = await site.ask(hub, '/safe/a')
        assert got.status == 503
        assert sum(len(runner.ran) for runner in deployment.plain) == ran
        deployment.store.mode = ''
        await site.wait_until(lambda: hub.view.proof.is_fresh(hub.clock()))
        assert (await site.ask(hub, '/safe/a')).status == 200

    site.run(check)


def test_timers_that_were_due_meanwhile_are_due_at_once(suspend):
    async def check():
        began = time.monotonic()
        async with asyncio.timeout(SUSPENDED_S):
            beat = asyncio.ensure_future(asyncio.sleep(0.1))
            suspend(SUSPENDED_S)
            await beat
            await asyncio.sleep(60)
        return time.monotonic() - began

    async def measure():
        began = time.monotonic()
        with pytest.raises(TimeoutError):
            await check()
        return time.monotonic() - began

    assert boot_clock.run(measure()) < SUSPENDED_S / 2
