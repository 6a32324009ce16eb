"""Streams that break off while targets of two software versions serve."""

import pytest

from tests.gateway import site
from tests.gateway import test_relay

STREAMS = 12
# The first route lets the box continue a stream, the second only the caller.
ROUTES = {
    name: {
        'kind': 'streaming',
        'max_attempts': attempts,
        'resumable': True,
        'service': 'engine',
    }
    for name, attempts in (('resumed', 2), ('taken', 1))
}


async def start(deployment, count, software=('v1', 'v1', 'v2', 'v2')):
    """Start boxes before engines of the versions given; return the boxes."""
    deployment.publish(site.make_table(2, routes=ROUTES))
    for runner, version in zip(deployment.engines, software, strict=True):
        runner.software = version
        deployment.announce(runner, 'engine', model='m')
    hubs = await site.start_boxes(deployment, count, retry_slack=1000.0)
    for hub in hubs:
        await hub.peering._registry._read_list()
    return hubs


def usually(deployment, behaviour):
    """Have all engines answer in one way."""
    for runner in deployment.engines:
        runner.usual = behaviour


async def begin(deployment, hub, name):
    """Have a caller get two events of a stream that breaks off."""
    usually(deployment, 'broken stream')
    got = await site.ask(hub, '/taken/a', headers=test_relay.PROMPT, name=name)
    assert list_events(got) == [1, 2]
    usually(deployment, 'stream')


async def take_up(hub, name, first, key=site.KEY, after=2):
    """Have a caller continue a stream that attempt `first` began."""
    rows = ('last-event-id', str(after)), ('resumes', first)
    headers = (*test_relay.PROMPT, *rows)
    return await site.ask(hub, '/taken/a', headers=headers, key=key, name=name)


def list_events(got):
    """Return the numbers of the events that a caller received."""
    rows = got.body.decode().splitlines()
    return [int(row[4:]) for row in rows if row.startswith('id: ')]


def list_software(deployment, *names):
    """Return the versions that ran attempts of these ids, in order."""
    ran = [
        (head['at'], runner.software)
        for runner in deployment.engines
        for head in runner.ran
        if head['x-landingspool-request-id'] in names
    ]
    return [software for _, software in sorted(ran)]


def test_a_stream_is_not_continued_by_other_software_within_one_answer():
    async def check(deployment):
        (hub,) = await start(deployment, 1)
        for number in range(STREAMS):
            script = ['broken stream', 'stream']
            for runner in deployment.engines:
                runner.script = script
            got = await site.ask(
                hub,
                '/resumed/a',
                headers=test_relay.PROMPT,
                name=f's{number}',
            )
            assert list_events(got) == [1, 2, 3, 4]
            first, second = list_software(deployment, f's{number}')
            assert first == second

    site.run(check, engines=4)


@pytest.mark.parametrize(('boxes', 'box'), [(1, 0), (3, 1)])
def test_a_stream_is_not_taken_up_at_other_software(boxes, box):
    async def check(deployment):
        hubs = await start(deployment, boxes)
        for number in range(STREAMS):
            first, second = f'a{number}', f'b{number}'
            await begin(deployment, hubs[0], first)
            got = await take_up(hubs[box], second, first)
            assert list_events(got) == [3, 4]
            began, went_on = list_software(deployment, first, second)
            assert began == went_on

    site.run(check, engines=4)
