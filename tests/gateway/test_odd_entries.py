"""Records of another writer among those in the platform's store."""

import asyncio
import json

import pytest

from landingspool.gateway import ordering
from landingspool.platform import names
from tests.gateway import site
from tests import odd_values

FINGERPRINT = '66' * 16
CRASH_KEY = f'{names.CRASHES_KEY}{FINGERPRINT}'
LONG = int('9' * 400)
DEEP = odd_values.DEEP.encode()
INFINITE = b'1e999'


def make_claim(**fields):
    """Return a claim with changed fields."""
    row = {
        'holder': 'another',
        'loading': {},
        'versions': [],
        'at_ms': 1,
        'orders': [],
        **fields,
    }
    return json.dumps(row).encode()


def make_version(version, model='m'):
    """Return a published version of weights."""
    return json.dumps({'model': model, 'version': version}).encode()


def make_table(**fields):
    """Return a configuration with changed fields."""
    return json.dumps({**site.make_table(2), **fields}).encode()


ROUTE = site.make_table()['routes'][0]
# Topic, key and value by name.
ENTRIES = {
    'runner_deep': (names.TARGETS_TOPIC, 'odd', DEEP),
    'runner_port': (
        names.TARGETS_TOPIC,
        'odd',
        b'{"service": "plain", "address": "127.0.0.1:65536", "zone": "d1",'
        b' "state": "ready", "slots": 4}',
    ),
    'runner_long': (
        names.TARGETS_TOPIC,
        'odd',
        b'{"service": "plain", "address": "127.0.0.1:7", "zone": "d1",'
        b' "state": "ready", "slots": %s}' % str(LONG).encode(),
    ),
    'claim_deep': (names.CLAIMS_TOPIC, ordering.CLAIM_KEY, DEEP),
    'claim_null': (names.CLAIMS_TOPIC, ordering.CLAIM_KEY, b'null'),
    'claim_long_time': (
        names.CLAIMS_TOPIC,
        ordering.CLAIM_KEY,
        make_claim(at_ms=LONG),
    ),
    'claim_long_loading': (
        names.CLAIMS_TOPIC,
        ordering.CLAIM_KEY,
        make_claim(loading={'e0': LONG}),
    ),
    'claim_text_loading': (
        names.CLAIMS_TOPIC,
        ordering.CLAIM_KEY,
        make_claim(loading={'e0': 'soon'}),
    ),
    'claim_infinite_loading': (
        names.CLAIMS_TOPIC,
        ordering.CLAIM_KEY,
        make_claim(loading={'e0': 0.5}).replace(b'0.5', INFINITE),
    ),
    'claim_long_age': (
        names.CLAIMS_TOPIC,
        ordering.CLAIM_KEY,
        make_claim(versions=[['m', 1, LONG, True]]),
    ),
    'claim_long_version': (
        names.CLAIMS_TOPIC,
        ordering.CLAIM_KEY,
        make_claim(versions=[['m', LONG, 5, True]]),
    ),
    'claim_long_order': (
        names.CLAIMS_TOPIC,
        ordering.CLAIM_KEY,
        make_claim(orders=[['e0', 'm', LONG, LONG]]),
    ),
    'claim_list_holder': (
        names.CLAIMS_TOPIC,
        ordering.CLAIM_KEY,
        make_claim(holder=[1]),
    ),
    'claim_unknown_key': (names.CLAIMS_TOPIC, 'another', DEEP),
    'crash_deep': (names.CLAIMS_TOPIC, CRASH_KEY, DEEP),
    'crash_long': (
        names.CLAIMS_TOPIC,
        CRASH_KEY,
        json.dumps([[LONG, -LONG]] * 3).encode(),
    ),
    'crash_infinite': (names.CLAIMS_TOPIC, CRASH_KEY, b'[[5, 1e999]]'),
    'crash_odd_key': (names.CLAIMS_TOPIC, f'{names.CRASHES_KEY}zz', b'[]'),
    'crash_odd_key_lifted': (
        names.CLAIMS_TOPIC,
        f'{names.CRASHES_KEY}zz',
        b'',
    ),
    'software_deep': (names.CLAIMS_TOPIC, names.SOFTWARE_KEY, DEEP),
    'software_types': (
        names.CLAIMS_TOPIC,
        names.SOFTWARE_KEY,
        b'{"versions": [[1, []]]}',
    ),
    'version_long': (
        names.PUBLISHED_TOPIC,
        f'{names.VERSION_KEY}odd',
        make_version(LONG),
    ),
    'version_list_model': (
        names.PUBLISHED_TOPIC,
        f'{names.VERSION_KEY}odd',
        make_version(3, ['m']),
    ),
    'version_infinite': (
        names.PUBLISHED_TOPIC,
        f'{names.VERSION_KEY}odd',
        b'{"model": "m", "version": 1e999}',
    ),
    'version_deep': (
        names.PUBLISHED_TOPIC,
        f'{names.VERSION_KEY}odd',
        DEEP,
    ),
    'config_deep': (names.PUBLISHED_TOPIC, names.TABLE_KEY, DEEP),
    'config_long_version': (
        names.PUBLISHED_TOPIC,
        names.TABLE_KEY,
        make_table(version=LONG),
    ),
    'config_list_kind': (
        names.PUBLISHED_TOPIC,
        names.TABLE_KEY,
        make_table(routes=[{**ROUTE, 'path_prefix': []}]),
    ),
    'config_long_timeout': (
        names.PUBLISHED_TOPIC,
        names.TABLE_KEY,
        make_table(routes=[{**ROUTE, 'timeout_ms': LONG}]),
    ),
    'config_infinite_limit': (
        names.PUBLISHED_TOPIC,
        names.TABLE_KEY,
        make_table(limits={'idle_timeout_ms': 0.5}).replace(b'0.5', INFINITE),
    ),
    'config_text_keys': (
        names.PUBLISHED_TOPIC,
        names.TABLE_KEY,
        make_table(tenants=[{'name': 'w', 'api_keys': 'abc'}]),
    ),
}
# Entries whose values are not decoded, or that name nothing.
UNKNOWN = {
    'evacuation_deep': (
        names.PUBLISHED_TOPIC,
        f'{names.EVACUATION_KEY}another',
        DEEP,
    ),
    'unknown_key': (names.PUBLISHED_TOPIC, 'another', DEEP),
}


def has_logged(hub, key):
    """Return whether a box has logged that it passed over a key."""
    return bool(hub.recorder.select(key=key))


async def check_serves(deployment, hubs):
    """Check that boxes run, follow each topic and serve callers."""
    model = 'later'
    deployment.publish(site.make_table(9))
    deployment.announce(deployment.plain[0], 'plain', slots=7)
    deployment.store.put(
        names.PUBLISHED_TOPIC,
        f'{names.VERSION_KEY}{model}',
        {'model': model, 'version': 3},
    )
    claim = make_claim(holder='later')
    deployment.store.put(names.CLAIMS_TOPIC, ordering.CLAIM_KEY, claim)
    for hub in hubs:
        await site.wait_until(lambda hub=hub: hub.view.table.version == 9)
        await site.wait_until(lambda hub=hub: model in hub.view.weights.named)
        await site.wait_until(
            lambda hub=hub: hub.view.fleet.entries['p0'].slots == 7
        )
        await site.wait_until(lambda hub=hub: has_read_claim(hub, 'later'))
        for path in ('/safe/a', '/unsafe/a'):
            assert (await site.ask(hub, path)).status == 200
        assert not hub._stop.is_set()
        assert not hub.recorder.counts['fault']
        assert not hub.recorder.counts['request_fault']


def has_read_claim(hub, holder):
    """Return whether a box has read the claim of a holder."""
    claim = hub.claims._watch.claim
    return claim is not None and claim.holder == holder


@pytest.mark.parametrize('name', (*ENTRIES, *UNKNOWN))
def test_boxes_serve_on_as_an_odd_entry_is_written(name):
    topic, key, value = {**ENTRIES, **UNKNOWN}[name]

    async def check(deployment):
        hubs = await site.start_boxes(deployment, 2)
        deployment.store.put(topic, key, value)
        for hub in hubs:
            if name in ENTRIES:
                await site.wait_until(lambda hub=hub: has_logged(hub, key))
        await check_serves(deployment, hubs)

    site.run(check)


# A box that starts has no configuration but the newest one.
STARTED = {
    name: entry
    for name, entry in {**ENTRIES, **UNKNOWN}.items()
    if entry[1] != names.TABLE_KEY
}


@pytest.mark.parametrize('name', STARTED)
def test_boxes_start_beside_an_odd_entry(name):
    topic, key, value = STARTED[name]

    async def check(deployment):
        deployment.store.put(topic, key, value)
        hubs = await site.start_boxes(deployment, 2)
        for hub in hubs:
            # A key without a value is not among the newest ones.
            if name in ENTRIES and value:
                await site.wait_until(lambda hub=hub: has_logged(hub, key))
        await check_serves(deployment, hubs)

    site.run(check)


@pytest.mark.parametrize('text', ('127.0.0.1:65536', '127.0.0.1:\u0663'))
def test_a_table_holds_without_a_store_at_an_odd_address(text):
    async def check(deployment):
        hubs = await site.start_boxes(deployment, 2)
        deployment.publish(site.make_store_table(5, text))
        for hub in hubs:
            await site.wait_until(lambda hub=hub: hub.view.table.version == 5)
            await site.wait_until(
                lambda hub=hub: has_logged(hub, names.TABLE_KEY)
            )
            assert not hub.view.table.context_stores
        await check_serves(deployment, hubs)

    site.run(check)


def test_an_odd_configuration_alone_keeps_a_box_from_being_ready():
    async def check(deployment):
        deployment.publish(DEEP)
        starting = asyncio.ensure_future(deployment.start_box())
        await site.wait_until(lambda: deployment.hubs)
        (hub,) = deployment.hubs
        await site.wait_until(lambda: has_logged(hub, names.TABLE_KEY))
        assert not hub._is_ready()
        deployment.publish(site.make_table(4))
        await starting
        await site.wait_until(hub._is_ready)
        await check_serves(deployment, [hub])

    site.run(check)


def test_a_crash_record_that_is_odd_counts_as_not_written():
    async def check(deployment):
        hub = await deployment.start_box()
        deployment.store.put(names.CLAIMS_TOPIC, CRASH_KEY, DEEP)
        await site.wait_until(lambda: has_logged(hub, CRASH_KEY))
        assert not hub.crash_records._is_written(FINGERPRINT, b'[]')

    site.run(check)
