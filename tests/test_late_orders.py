"""Orders that a stand-in target carries out late, and what a load refuses."""

import asyncio
import json

import pytest

from landingspool import http
from landingspool import httpclient
from standins import runner as runner_module

LATE_S = 0.3
LOAD_S = 0.3
MODEL = [
    ('x-landingspool-request-id', 'a'),
    ('x-landingspool-model-name', 'm'),
]


async def start_target(**settings):
    """Start a target with some of its settings changed."""
    runner = runner_module.Runner('e0')
    for name, value in settings.items():
        setattr(runner, name, value)
    await runner.start()
    return runner


async def order(runner, version, expected, fence=1):
    """Order a version; returns the status, or None without an answer."""
    row = {'version': version, 'expected': expected, 'fence': fence}
    body = json.dumps(row).encode()
    client = httpclient.Client()
    address = http.Address(*runner.address)
    try:
        reply = await client.fetch(
            address, 'POST', '/api/order', body, [], LATE_S / 3
        )
    except http.Unreachable:
        return None
    return reply.status


async def ask(runner, headers=MODEL):
    """Send a request; returns the reply."""
    address = http.Address(*runner.address)
    return await httpclient.Client().fetch(
        address, 'POST', '/a', b'x', headers, 1.0
    )


@pytest.mark.parametrize(
    ('second', 'version'),
    [((3, 0, 1), 2), ((3, 1, 1), 3), ((3, 1, 0), 2)],
    ids=['taken another since', 'next in turn', 'lower fence'],
)
def test_late_orders_are_checked_when_they_are_carried_out(second, version):
    async def main():
        runner = await start_target(late_s=LATE_S)
        assert await order(runner, 2, 0) is None
        assert await order(runner, *second) is None
        assert (runner.version, runner.orders) == (1, [])
        await asyncio.sleep(2 * LATE_S)
        assert runner.version == version
        await runner.close()

    asyncio.run(main())


def test_a_load_refuses_what_needs_the_model_and_keeps_the_old_version():
    async def main():
        told = []
        runner = await start_target(load_s=LOAD_S)
        runner.on_load = lambda: told.append(runner.version)
        assert await order(runner, 2, 0) == 202
        assert await order(runner, 3, 1) == 409
        refused = await ask(runner)
        assert refused.status == 503
        assert 'x-landingspool-not-executed' in refused.headers
        assert refused.headers['versions'] == '1'
        assert (await ask(runner, MODEL[:1])).status == 200
        assert (runner.version, runner.busy, told) == (1, True, [])
        await asyncio.sleep(2 * LOAD_S)
        assert (await ask(runner)).headers['versions'] == '2'
        assert (runner.busy, told) == (False, [2])
        assert [head['version'] for head in runner.ran] == [1, 2]
        await runner.close()

    asyncio.run(main())
