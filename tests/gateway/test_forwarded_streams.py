"""Streams that a box without a way to the targets has forwarded."""

import json

import pytest

from landingspool.platform import tables
from tests.gateway import site
from tests.gateway import test_forwarder
from tests.gateway import test_relay
from tests.gateway import test_stream_software as streams


async def start_cut(deployment):
    """Start four boxes, of which the last reaches no target."""
    hubs = await streams.start(deployment, 4)
    names = [hub.deployment.box for hub in hubs[:3]]
    test_forwarder.cut(deployment, hubs[3], names)
    return hubs


def test_a_forwarded_stream_is_not_continued_by_other_software():
    async def check(deployment):
        hubs = await start_cut(deployment)
        for number in range(streams.STREAMS):
            name = f's{number}'
            script = ['broken stream', 'stream']
            for runner in deployment.engines:
                runner.script = script
            got = await site.ask(
                hubs[3],
                '/resumed/a',
                name.encode(),
                test_relay.PROMPT,
                name=name,
            )
            assert streams.list_events(got) == [1, 2, 3, 4]
            assert not any('-box-' in header for header in got.headers)
            first, second = streams.list_software(deployment, name)
            assert first == second

    site.run(check, engines=4)


@pytest.mark.parametrize(('begun', 'taken'), [(0, 3), (3, 1), (3, 3)])
def test_a_stream_is_not_forwarded_to_other_software(begun, taken):
    async def check(deployment):
        hubs = await start_cut(deployment)
        for number in range(streams.STREAMS):
            first, second = f'a{number}', f'b{number}'
            await streams.begin(deployment, hubs[begun], first)
            got = await streams.take_up(hubs[taken], second, first)
            assert streams.list_events(got) == [3, 4]
            began, went_on = streams.list_software(deployment, first, second)
            assert began == went_on

    site.run(check, engines=4)


def test_a_stream_is_not_forwarded_to_a_box_that_ignores_its_software(
    monkeypatch,
):
    async def check(deployment):
        hubs = await start_cut(deployment)
        await streams.begin(deployment, hubs[3], 'a')
        monkeypatch.setattr(
            hubs[3].peering,
            'peers',
            {
                name: peer._replace(owns_streams=False)
                for name, peer in hubs[3].peering.peers.items()
            },
        )
        got = await streams.take_up(hubs[3], 'b', 'a')
        assert got.status == 503
        assert not streams.list_software(deployment, 'b')

    site.run(check, engines=4)


def test_a_forwarded_stream_of_a_service_that_its_route_has_left_is_refused():
    async def check(deployment):
        hubs = await start_cut(deployment)
        await streams.begin(deployment, hubs[3], 'a')
        routes = {'taken': {**streams.ROUTES['taken'], 'service': 'plain'}}
        table = tables.read_table(
            json.dumps(site.make_table(3, routes=routes)).encode()
        )
        for hub in hubs[:3]:
            # The box that forwards doesn't know this table yet.
            hub.view.put_table(table)
        got = await streams.take_up(hubs[3], 'b', 'a')
        assert got.status == 503
        assert not any(
            head['x-landingspool-request-id'] == 'b'
            for runner in deployment.plain + deployment.engines
            for head in runner.ran
        )

    site.run(check, engines=4)
