"""Who may use a route, by what the caller presents and what the table says."""

import asyncio

import h11
import pytest

from landingspool.decisions.gateway import routes
from landingspool import http
from landingspool.platform import ingress
from tests.gateway import site
from tests.gateway import test_cut_boxes

GONE = 'key-that-was-taken-away'
KINDS = 'safe', 'unsafe', 'stream', 'resumed'
# Bound in seconds on the age of the proof for requests with a key.
KEY_S = 1.2
ODD_ROWS = {
    'unknown': [('authorization', 'Bearer never-known')],
    'gone': [('authorization', f'Bearer {GONE}')],
    'empty': [('authorization', '')],
    'empty key': [('authorization', 'Bearer')],
    'other scheme': [('authorization', f'Basic {site.KEY}')],
    'no scheme': [('authorization', site.KEY)],
    'two rows': [('authorization', f'Bearer {site.KEY}')] * 2,
}


def make_table(version=1, keys=(site.KEY,)):
    """Return a configuration in which each kind of route is also open."""
    rows = {
        **{kind: site.ROUTES[kind] for kind in KINDS},
        **{
            f'open-{kind}': {**site.ROUTES[kind], 'allow_anonymous': True}
            for kind in KINDS
        },
    }
    return site.make_table(version, keys=keys, routes=rows)


async def start_box(deployment, name='box1', **bounds):
    """Start a box at which a key was known and was taken away."""
    for engine in deployment.engines:
        engine.usual = 'stream'
    deployment.publish(make_table(2, (site.KEY, GONE)))
    hub = await deployment.start_box(name, **bounds)
    await site.wait_until(lambda: GONE in hub.view.table.keys)
    deployment.publish(make_table(3))
    await site.wait_until(lambda: GONE not in hub.view.table.keys)
    return hub


def list_runs(deployment):
    """List the heads of what the targets ran."""
    targets = deployment.plain + deployment.engines
    return [head for target in targets for head in target.ran]


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('name', ODD_ROWS)
def test_an_open_route_serves_nobody_with_a_key_that_nobody_holds(name, kind):
    # Guards against CONFIG and ROUTE: the key counted as none.
    async def check(deployment):
        hub = await start_box(deployment)
        for path in (f'/open-{kind}/a', f'/{kind}/a'):
            got = await site.ask(hub, path, headers=ODD_ROWS[name], key='')
            assert got.status == 401, path
        assert not list_runs(deployment)

    site.run(check)


@pytest.mark.parametrize('kind', KINDS)
def test_an_open_route_serves_callers_without_a_key_as_nobody(kind):
    # Guards against DENIED, and UNASKED by a workspace that it does not have.
    async def check(deployment):
        hub = await start_box(deployment)
        assert (await site.ask(hub, f'/open-{kind}/a', key='')).status == 200
        assert (await site.ask(hub, f'/{kind}/a', key='')).status == 401
        assert (await site.ask(hub, f'/open-{kind}/a')).status == 200
        found = [
            h.get('x-landingspool-tenant-id') for h in list_runs(deployment)
        ]
        assert found == [None, 'w1']

    site.run(check)


@pytest.mark.parametrize('kind', KINDS)
def test_a_table_without_workspaces_asks_for_no_key(kind):
    # Guards against DENIED: callers may present a key that nobody asks for.
    async def check(deployment):
        table = make_table(2)
        del table['tenants']
        for engine in deployment.engines:
            engine.usual = 'stream'
        deployment.publish(table)
        hub = await deployment.start_box()
        for key in ('', 'any'):
            got = await site.ask(hub, f'/{kind}/a', key=key)
            assert got.status == 200

    site.run(check)


def test_a_caller_without_a_key_depends_on_no_proof():
    # Guards against 503 for open routes while the store is away.
    async def check(deployment):
        hub = await start_box(deployment, key_s=KEY_S)
        deployment.store.mode = 'silent'
        await site.wait_until(
            lambda: not hub.view.proof.is_fresh(hub.clock()), 3 * KEY_S
        )
        for kind in KINDS:
            got = await site.ask(hub, f'/open-{kind}/a', key='')
            assert got.status == 200, kind
        runs = len(list_runs(deployment))
        for path in ('/open-safe/a', '/safe/a', '/open-stream/a'):
            for key in (site.KEY, GONE, 'never-known'):
                got = await site.ask(hub, path, key=key)
                assert got.status == 503, (path, key)
        assert (await site.ask(hub, '/safe/a', key='')).status == 401
        assert len(list_runs(deployment)) == runs

    site.run(check)


def test_a_box_asked_by_another_one_looks_at_the_key_itself():
    # Guards against CONFIG over the hop, by a first box with an older table.
    async def check(deployment):
        first = await start_box(deployment)
        second = await deployment.start_box('box2')
        await site.wait_until(lambda: 'box2' in first.peering.peers)
        first.peering._registry.read_soon()
        await site.wait_until(
            lambda: first.peering.peers['box2'].forwarding is not None, 8.0
        )
        test_cut_boxes.Cut(
            first, deployment.plain + deployment.engines, 'refused'
        )
        first.view.table.keys[GONE] = routes.Tenancy('w1')
        for path in ('/open-safe/a', '/safe/a'):
            got = await site.ask(first, path, key=GONE)
            assert got.status in (401, 503)
        assert not list_runs(deployment)
        assert (await site.ask(first, '/open-safe/a', key='')).status == 200
        assert second.metrics.served_peer_counts

    site.run(check)


@pytest.mark.parametrize('key', [GONE, 'never-known', ''])
def test_a_large_body_is_refused_by_the_key_in_its_head(key):
    # Guards against room for bodies of callers that are refused anyway.
    value = f'Bearer {key}'.strip()
    rows = [('host', site.HOST), ('authorization', value)]
    request = h11.Request(method='POST', target='/open-safe/a', headers=rows)

    async def check(deployment):
        hub = await start_box(deployment, key_s=KEY_S)
        with pytest.raises(http.BadRequest) as caught:
            hub.room._judge(request)
        assert caught.value.status == 401
        deployment.store.mode = 'silent'
        await asyncio.sleep(KEY_S)
        # The key may have been added since: the relay judges it once more.
        assert hub.room._judge(request) == ''

    site.run(check)


def test_credentials_that_are_no_key_are_told_from_none():
    # Guards against odd credentials that count as no key.
    def read(name):
        rows = [(k.encode(), v.encode()) for k, v in ODD_ROWS[name]]
        return ingress.read_key(rows)

    assert read('gone') == GONE
    odd = ODD_ROWS.keys() - {'gone', 'unknown'}
    assert {read(name) for name in odd} == {''}
    assert ingress.read_key([(b'host', b'h')]) is None


def test_an_empty_key_in_the_table_is_nobodys():
    # Guards against ROUTE: an operator's empty field lets everybody in.
    table = routes.make_table(
        1, [], [], {'': routes.Tenancy('w')}, routes.Limits(), True
    )
    route = routes.Route('r', 'h', '/', routes.SAFE, 1.0, 1.0, 0, ())
    for is_open in (False, True):
        found = routes.judge(table, route._replace(anonymous=is_open), '')
        assert not found.passes
