"""The head of each attempt is written anew by attempt_heads."""

import asyncio

from tests.gateway import site


def test_a_further_attempt_is_given_the_time_that_is_left():
    async def check(deployment):
        hub = await deployment.start_box()
        for target in deployment.plain:
            target.script = ['silent']
            target.usual = 'whole'
        work = asyncio.ensure_future(site.ask(hub, '/safe/a'))
        await site.wait_until(lambda: any(t.heads for t in deployment.plain))
        for target in deployment.plain:
            target.script = []
        assert (await work).status == 200
        heads = sorted(
            (head for t in deployment.plain for head in t.heads),
            key=lambda head: head['at'],
        )
        first, second = (
            int(head['x-landingspool-deadline-ms']) / 1000 for head in heads
        )
        passed_s = heads[1]['at'] - heads[0]['at']
        assert abs(first - second - passed_s) < 0.1

    site.run(check, plain=2)
