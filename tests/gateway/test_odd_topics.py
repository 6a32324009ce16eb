"""Whatever one entry of another writer holds, a box goes on serving."""

import asyncio

import pytest

from tests.gateway import site
from tests.gateway.test_relay import PROMPT
from tests.gateway.test_supervision import stop_box

DEEP = b'[' * 5_000
LARGE = b'9' * 400
ODD = (
    b'',
    b'\xff\xfe',
    b'null',
    b'[]',
    b'"a"',
    DEEP,
    b'{"a":' * 5_000,
    LARGE,
    b'{"version":%s,"model":"m"}' % LARGE,
    b'{"version":1e400,"model":["m"]}',
    b'{"version":null,"model":{"m":1}}',
    b'{"holder":%s,"at":%s,"loading":{"e0":%s},"given":[[1]]}'
    % ((LARGE,) * 3),
    b'{"holder":["a"],"at":1e400,"loading":[1],"versions":[[1e400]]}',
    b'{"address":"10.0.0.1:99999","domain":["d"],"link_mbps":%s}' % LARGE,
    b'{"address":"10.0.0.1:1","domain":"d1","link_mbps":1e400}',
    b'{"address":[],"forwarding":"10.0.0.1:%s"}' % LARGE,
    b'{"routes":%s}' % DEEP,
    b'{"version":2,"routes":[{"priority":[1]}],"tenants":[{"api_keys":1}]}',
)
KEYS = {
    'keyed.op': ('config', 'version/m', 'version/odd', 'evacuate/', 'other'),
    'keyed.servers': ('odd', 'p0'),
    'keyed.claims': (
        'orders',
        'odd',
        'ended/00',
        'ended/zz',
        'software/recent',
    ),
    'keyed.boxes': ('odd',),
}


@pytest.mark.parametrize('at_start', [True, False])
@pytest.mark.parametrize('topic', KEYS)
def test_odd_entries_end_no_box(topic, at_start):
    async def check(deployment):
        if at_start:
            put_odd(deployment, topic)
            # The newest table is odd; a box that starts has none before.
            deployment.publish(site.make_table(2))
            deployment.announce(deployment.plain[0], 'plain')
        hub = await deployment.start_box(grace_s=1.0)
        for target in deployment.engines:
            target.usual = 'stream'
        if not at_start:
            put_odd(deployment, topic)
        hub.peering._registry.read_soon()
        await asyncio.sleep(1.0)
        assert not hub._stop.is_set()
        for path in ('/safe/a', '/unsafe/a', '/stream/a'):
            assert (await site.ask(hub, path, headers=PROMPT)).status == 200
        deployment.publish(site.make_table(9))
        await site.wait_until(lambda: hub.view.table.version == 9)
        await stop_box(deployment, hub)

    site.run(check)


def put_odd(deployment, topic):
    """Write each odd value under each key of a topic, and one like it."""
    for key in KEYS[topic]:
        for number, value in enumerate(ODD):
            # The newest record of a key is the only one that is read later.
            deployment.store.put(topic, f'{key}{number}', value)
            deployment.store.put(topic, key, value)
