"""A planned stop breaks off no request; nothing is sent on stale state."""

import asyncio

from tests.gateway import site


def test_what_is_open_is_finished_and_new_requests_are_served():
    async def main():
        async with site.Site(plain=1) as deployment:
            hub = await deployment.start_box(grace_s=3.0)
            (runner,) = deployment.plain
            runner.script = ['slow']
            work = asyncio.ensure_future(site.ask(hub, '/unsafe/a'))
            await site.wait_until(lambda: runner.ran)
            hub.stop()
            await asyncio.sleep(0.05)
            assert not hub._is_ready()
            late = await site.ask(hub, '/unsafe/b')
            assert late.status == 200
            assert late.headers['connection'] == 'close'
            first = await work
            assert first.status == 200
            assert first.whole

    asyncio.run(main())


def test_a_box_without_a_table_is_not_ready_and_refuses():
    async def main():
        async with site.Site() as deployment:
            hub = await deployment.start_box()
            hub.view.table = None
            assert not hub._is_ready()
            got = await site.ask(hub, '/unsafe/a')
            assert got.status == 503
            assert 'retry-after' in got.headers

    asyncio.run(main())


def test_after_a_freeze_a_choice_is_made_anew(suspend):
    async def check(deployment):
        hub = await deployment.start_box()
        real = hub.upstream.open
        opened = []

        async def stall_and_open(*call):
            if not opened:
                suspend(1.0)
            opened.append(call)
            return await real(*call)

        hub.upstream.open = stall_and_open
        got = await site.ask(hub, '/unsafe/a')
        (runner,) = deployment.plain
        assert got.status == 200
        assert len(runner.ran) == 1
        assert len(opened) == 2

    site.run_on_boot_clock(check, plain=1)


def test_after_a_freeze_that_outlasts_the_proof_nothing_is_sent():
    async def main():
        async with site.Site(plain=1) as deployment:
            hub = await deployment.start_box()
            real = hub.view.proof.is_fresh
            answers = [True, False, False]
            hub.view.proof.is_fresh = lambda now: (
                answers.pop(0) if answers else real(now)
            )
            got = await site.ask(hub, '/unsafe/a')
            assert got.status == 503
            assert not deployment.plain[0].ran

    asyncio.run(main())
