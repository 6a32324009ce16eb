"""Records of another writer among those of the boxes in the store."""

import asyncio
import json

import pytest

from landingspool.gateway import registry
from landingspool.platform import names
from tests.gateway import site
from tests.gateway import test_odd_entries
from tests import odd_values

DEEP = odd_values.DEEP.encode()
LONG = test_odd_entries.LONG
INFINITE = test_odd_entries.INFINITE
PEER = {
    'address': '127.0.0.1:7',
    'domain': 'd',
    'link_mbps': 5.0,
    'streams': True,
    'forwarding': '127.0.0.1:8',
}


def make_box(**fields):
    """Return the record of a box with changed fields."""
    row = {
        'address': '127.0.0.1:9',
        'domain': 'd1',
        'link_mbps': 1.0,
        'streams': True,
        **fields,
    }
    return json.dumps(row).encode()


BOXES = {
    'box_deep': DEEP,
    'box_null': b'null',
    'box_list': b'[]',
    'box_long_link': make_box(link_mbps=LONG),
    'box_infinite_link': make_box(link_mbps=0.5).replace(b'0.5', INFINITE),
    'box_list_domain': make_box(domain=['d1']),
    'box_port': make_box(address='127.0.0.1:65536'),
    'box_long_port': make_box(address='127.0.0.1:99999999999'),
    'box_no_port': make_box(address='127.0.0.1:0'),
    'box_other_digits': make_box(address='127.0.0.1:\u0663'),
    'box_host_name': make_box(address='a.example:80'),
    'box_forwarding_port': make_box(forwarding='127.0.0.1:99999999999'),
}


def test_a_sound_record_is_decoded():
    peer = registry.read_peer('b', json.dumps(PEER).encode())
    assert peer == registry.Peer(
        'b', ('127.0.0.1', 7), 'd', 5.0, ('127.0.0.1', 8), True, False, False
    )


def test_an_odd_record_is_refused_or_bounded():
    decode = odd_values.make_async(lambda v: registry.read_peer('b', v))
    assert not asyncio.run(odd_values.list_failures(PEER, decode))


@pytest.mark.parametrize('name', BOXES)
def test_boxes_serve_on_as_an_odd_box_is_listed(name):
    async def check(deployment):
        hubs = await site.start_boxes(deployment, 2)
        deployment.store.put(names.BOXES_TOPIC, 'odd', BOXES[name])
        later = make_box(address='127.0.0.1:11', domain='d2')
        deployment.store.put(names.BOXES_TOPIC, 'later', later)
        for hub in hubs:
            hub.peering._registry.read_soon()
            await site.wait_until(lambda hub=hub: 'later' in hub.peering.peers)
            assert 'odd' not in hub.peering.peers
            assert test_odd_entries.has_logged(hub, 'odd')
        await test_odd_entries.check_serves(deployment, hubs)

    site.run(check)


@pytest.mark.parametrize('name', BOXES)
def test_boxes_start_beside_an_odd_box(name):
    async def check(deployment):
        deployment.store.put(names.BOXES_TOPIC, 'odd', BOXES[name])
        hubs = await site.start_boxes(deployment, 2)
        for hub in hubs:
            await site.wait_until(
                lambda hub=hub: test_odd_entries.has_logged(hub, 'odd')
            )
            assert set(hub.peering.peers) <= {'box0', 'box1'}
        await test_odd_entries.check_serves(deployment, hubs)

    site.run(check)
