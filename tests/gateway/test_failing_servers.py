"""Each server of a box answers a request whose handling failed."""

import asyncio

import pytest

from landingspool.gateway import heads
from landingspool import httpclient
from tests.gateway import site
from tests.gateway.test_supervision import fail
from tests.gateway.test_supervision import list_faults
from tests.gateway.test_supervision import stop_box

# What raises: the part of the box and its method; where and for which path,
# and the task in the log line.
SIDE_REQUESTS = (
    ('', '_is_ready', 'readiness', '/api/readyz', 'side_requests'),
    ('state', 'get_snapshot', 'links', '/state', 'peer_requests'),
    ('record_server', '_is_cut', 'links', '/records', 'peer_requests'),
    ('record_server', '_is_cut', 'links', '/newest', 'peer_requests'),
    ('peering', 'read_arrived', 'links', '/streams', 'peer_requests'),
)


async def fetch(address, path):
    """Return the answer to a call without a body."""
    client = httpclient.Client()
    try:
        return await client.fetch(address, 'GET', path)
    finally:
        client.close()


@pytest.mark.parametrize(
    ('part', 'method', 'place', 'path', 'task'), SIDE_REQUESTS
)
def test_a_call_whose_handling_failed_is_answered(
    part, method, place, path, task, monkeypatch
):
    async def check(deployment):
        hub = await deployment.start_box()
        address = getattr(hub.deployment, place)
        with monkeypatch.context() as broken:
            broken.setattr(getattr(hub, part, hub), method, fail)
            got = await fetch(address, path)
        assert got.status == 500
        assert got.headers['connection'] == 'close'
        assert got.headers['x-verdict'] == 'may_have_run'
        assert list_faults(hub, task)
        assert (await site.ask(hub, '/safe/a')).status == 200

    site.run(check)


def test_a_request_that_can_not_be_read_is_answered(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        with monkeypatch.context() as broken:
            broken.setattr(heads, 'parse_head', fail)
            got = await asyncio.wait_for(site.ask(hub, '/safe/a'), 2.0)
        assert got.status == 500
        assert got.headers['connection'] == 'close'
        assert list_faults(hub, 'connections')
        assert not any(target.ran for target in deployment.plain)
        assert (await site.ask(hub, '/safe/a')).status == 200

    site.run(check)


def test_a_stop_ends_open_requests_though_one_of_its_steps_fails(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box(grace_s=3.0)
        monkeypatch.setattr(hub.gate, 'stop', fail)
        monkeypatch.setattr(hub.continuity, 'hand_over', fail)
        for target in deployment.plain:
            target.script = ['slow']
        work = asyncio.ensure_future(site.ask(hub, '/unsafe/a'))
        await site.wait_until(lambda: any(t.ran for t in deployment.plain))
        await stop_box(deployment, hub)
        got = await work
        assert got.status == 200
        assert got.whole

    site.run(check)
