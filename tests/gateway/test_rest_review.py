"""Requests between boxes beside the close of a connection at rest."""

import asyncio

import pytest

from landingspool.gateway import heads
from tests.gateway import site
from tests.gateway import test_forwarder


@pytest.mark.parametrize('count', [1, 2])
@pytest.mark.parametrize('path', ['/unsafe/a', '/safe/a'])
def test_a_forwarded_request_that_crosses_a_close_is_not_lost(
    monkeypatch, path, count
):
    async def check(deployment):
        hub, others = await test_forwarder.start_cut_box(deployment, count)
        wait = heads.wait_for_request
        crossed = []

        async def wait_or_cross(connection, get_limit_s):
            for other in others:
                served = other.forward_listener._uses.get(
                    asyncio.current_task()
                )
                if served is not None and served.served and not crossed:
                    crossed.append(await connection.read())
                    return False
            return await wait(connection, get_limit_s)

        monkeypatch.setattr(heads, 'wait_for_request', wait_or_cross)
        first = await site.ask(hub, path)
        assert first.status == 200
        second = await site.ask(hub, path)
        assert crossed
        assert second.status == (200 if count > 1 else 503)

    site.run(check)


@pytest.mark.parametrize('count', [1, 2])
@pytest.mark.parametrize('path', ['/unsafe/a', '/safe/a'])
def test_a_request_forwarded_to_a_box_without_a_place_is_not_lost(path, count):
    async def check(deployment):
        hub, others = await test_forwarder.start_cut_box(deployment, count)
        others[0].forward_listener._max_connections = 0
        answers = [await site.ask(hub, path) for _ in range(6)]
        status = 200 if count > 1 else 503
        assert {answer.status for answer in answers} == {status}

    site.run(check)
