"""A request that arrives whole is answered beside changes of the table."""

import asyncio
import json
import re

import pytest

from tests.gateway import site
from tests.gateway import test_begun_streams
from tests.gateway import test_forwarder
from tests.gateway import test_relay
from tests.gateway import test_unanswered

# Seconds within which each request here is answered.
ANSWER_S = 4.0
# Seconds from a change to the next one, and to the rest of a request.
GAP_S = 0.15
BODY = 'x' * 3000
LIMITS = {
    'smaller heads': {'max_header_bytes': 50},
    'smaller bodies': {'max_body_bytes': 10},
    'shorter heads': {'header_timeout_ms': 50},
    'shorter rests': {'idle_timeout_ms': 50},
}
QUOTAS = {'name': 'w1', 'api_keys': [site.KEY], 'weight': 0.001}
CHANGES = {
    **{
        name: lambda table, row=row: table.update(limits=row)
        for name, row in LIMITS.items()
    },
    'smaller share': lambda table: table.update(tenants=[QUOTAS]),
    **test_begun_streams.TABLES,
}
# Where a request is cut in two: within its head and within its body.
CUTS = {'head': 30, 'body': -1000}


async def publish_changes(deployment, change, count, hubs):
    """Publish a change, and the former table and the change again."""
    version = max(hub.view.table.version for hub in hubs)
    for number in range(1, count + 1):
        table = site.make_table(version + number)
        if number % 2:
            CHANGES[change](table)
        deployment.publish(table)
        await asyncio.sleep(GAP_S)
    await site.wait_until(
        lambda: all(hub.view.table.version == version + count for hub in hubs)
    )


async def read_status(reader):
    """Return the status of the answer, or None if there is none."""
    received = b''
    async with asyncio.timeout(ANSWER_S):
        while data := await reader.read(65536):
            received += data
            if found := re.match(rb'HTTP/1\.1 (\d+)', received):
                return int(found.group(1))
    return None


@pytest.mark.parametrize('change', CHANGES)
@pytest.mark.parametrize('count', [1, 3])
def test_no_request_is_cut_off_whose_table_changes_as_it_arrives(
    change, count
):
    async def check(deployment):
        hub = await deployment.start_box()
        for cut in CUTS.values():
            async with site.connect(hub) as (reader, writer):
                data = test_unanswered.write_request('/safe/a', body=BODY)
                writer.write(data[:cut])
                await publish_changes(deployment, change, count, [hub])
                writer.write(data[cut:])
                assert await read_status(reader) is not None
        assert not hub.recorder.counts['unanswered']

    site.run(check)


@pytest.mark.parametrize('change', CHANGES)
def test_no_request_is_cut_off_whose_connection_rested_through_a_change(
    change,
):
    async def check(deployment):
        hub = await deployment.start_box()
        async with site.connect(hub) as (reader, writer):
            writer.write(test_unanswered.write_request('/safe/a'))
            assert await read_status(reader) == 200
            await publish_changes(deployment, change, 1, [hub])
            await asyncio.sleep(GAP_S)
            writer.write(test_unanswered.write_request('/unsafe/a'))
            assert await read_status(reader) is not None

    site.run(check)


@pytest.mark.parametrize('change', CHANGES)
@pytest.mark.parametrize('is_everywhere', [True, False])
def test_no_forwarded_request_is_cut_off_beside_a_change(
    change, is_everywhere
):
    async def check(deployment):
        hub, others = await test_forwarder.start_cut_box(deployment, 1)
        hubs = [hub, *others]
        for target in deployment.engines:
            target.usual = 'paused stream'
        test_relay.script(deployment.plain, 'late')
        works = [
            asyncio.ensure_future(test_begun_streams.ask(hub)),
            asyncio.ensure_future(site.ask(hub, '/unsafe/a')),
        ]
        await test_begun_streams.wait_for_arrivals(deployment)
        await site.wait_until(lambda: any(t.ran for t in deployment.plain))
        if is_everywhere:
            await publish_changes(deployment, change, 1, hubs)
        else:
            table = site.make_table(2)
            CHANGES[change](table)
            others[0].state.take_table(json.dumps(table).encode())
        stream, answer = await asyncio.gather(*works)
        test_begun_streams.check_whole(stream)
        assert (answer.status, answer.whole) == (200, True)
        assert sum(len(target.ran) for target in deployment.plain) == 1

    site.run(check)
