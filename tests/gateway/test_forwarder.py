"""Requests that a box forwards, since it can't reach their targets itself."""

import asyncio
import contextlib
import types

import pytest

from landingspool.gateway import forwarded_rows
from landingspool.gateway import forwarder
from landingspool.gateway import path_choice
from landingspool.gateway import upstream
from landingspool import http
from tests.gateway import site
from tests.gateway import test_relay


class Cut:
    """What a box believes that is cut off, and the peers that it offers."""

    def __init__(self, peers, since=0):
        self.peers = peers
        self.failed = []
        self.under_way = []
        self.since = since

    def is_cut_off(self, service, now):
        return self.since <= 0

    def is_unreachable(self, service, now):
        return self.is_cut_off(service, now) and not self.peers

    def pick_peer(self, service, tried, now):
        return next((p for p in self.peers if p not in tried), None)

    def record_sent(self, peer, now):
        self.under_way.append(peer)

    def record_end(self, peer, now):
        self.under_way.remove(peer)

    def record_failed(self, peer, now):
        self.failed.append(peer)


async def start_cut_box(deployment, peers=2, since=0, **bounds):
    """Start boxes, the last of which can't connect to any target.

    Returns
    -------
    tuple of (hub.Hub, list of hub.Hub)
    """
    *others, hub = await site.start_boxes(deployment, peers + 1, **bounds)
    known = hub.peering.peers
    await hub.peering._registry._read_list()
    assert all(peer.forwarding for peer in known.values())
    cut(deployment, hub, [peer.deployment.box for peer in others], since)
    return hub, others


def cut(deployment, hub, peers, since=0):
    """Have a box fail to connect to all targets, and know it."""
    runners = deployment.plain + deployment.engines
    addresses = {tuple(runner.address) for runner in runners}
    real = hub.upstream._connect

    async def connect(address):
        if tuple(address) in addresses:
            hub.view.forwarding.since -= 1
            raise upstream.ExchangeError('connect: cut', False)
        return await real(address)

    hub.upstream.close()
    hub.upstream._connect = connect
    hub.view.forwarding = Cut(peers, since)


def count_runs(deployment):
    """Return the executions at all targets."""
    runners = deployment.plain + deployment.engines
    return sum(len(runner.ran) for runner in runners)


def count_firsts(hubs, service='plain'):
    """Return how often the boxes have counted a request."""
    return sum(
        len(hub.view._get_retry_budget(service)._firsts) for hub in hubs
    )


def get_forwarded(hub):
    """Return the attempts to forward a request, by outcome."""
    return dict(hub.metrics.forward_counts)


@contextlib.asynccontextmanager
async def fake_peer(hub, name, answer):
    """Replace the address of a peer by a server that reads and answers."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        await answer(reader, writer)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    address = http.Address(*server.sockets[0].getsockname())
    hub.peering.peers[name] = hub.peering.peers[name]._replace(
        forwarding=address
    )
    yield
    server.close()


@pytest.mark.parametrize(
    ('behaviour', 'route', 'status', 'runs'), test_relay.CASES
)
def test_a_cut_box_answers_as_the_targets_do(behaviour, route, status, runs):
    async def check(deployment):
        hub, others = await start_cut_box(deployment)
        test_relay.script(deployment.plain, behaviour)
        got = await site.ask(hub, f'/{route}/a', b'body')
        assert got.status == status
        assert got.whole
        assert got.body == b'done' or status != 200
        assert count_runs(deployment) == runs
        stamped = 'x-landingspool-response-stamp' in got.headers
        assert stamped == (status in (200, 500))
        if status == 503:
            assert float(got.headers['retry-after']) > 0
        assert not any('box' in name for name in got.headers)
        # Resends through another box are counted there as no new request.
        assert count_firsts([hub, *others]) == 1
        assert not hub.view.forwarding.under_way

    site.run(check)


@pytest.mark.parametrize(
    ('behaviour', 'route', 'whole', 'events', 'runs'), test_relay.STREAMS
)
def test_streams_through_a_peer(behaviour, route, whole, events, runs):
    async def check(deployment):
        hub, _ = await start_cut_box(deployment)
        shared = [behaviour, 'stream']
        for runner in deployment.engines:
            runner.script = shared
        got = await site.ask(hub, f'/{route}/a', headers=test_relay.PROMPT)
        assert got.status == 200
        assert got.whole == whole
        lines = got.body.decode().splitlines()
        numbers = [int(line[4:]) for line in lines if line.startswith('id: ')]
        assert numbers == list(range(1, events + 1))
        assert count_runs(deployment) == runs

    site.run(check)


def test_what_a_target_is_told_of_a_forwarded_request():
    async def check(deployment):
        hub, _ = await start_cut_box(deployment)
        sent = (('connection', 'x-hop'), ('x-hop', '1'), ('x-own', 'kept'))
        await site.ask(hub, '/unsafe/a?b=c', b'body', sent, method='PUT')
        (head,) = [h for r in deployment.plain for h in r.ran]
        assert head['method'] == 'PUT'
        assert head['path'] == '/unsafe/a?b=c'
        assert head['body'] == b'body'
        assert head['host'] == site.HOST
        assert head['x-landingspool-tenant-id'] == 'w1'
        assert head['x-own'] == 'kept'
        assert 2000 < int(head['x-landingspool-deadline-ms']) < 2470
        assert 'x-hop' not in head
        assert 'authorization' not in head
        assert not any('-box-' in name for name in head)

    site.run(check)


def test_a_request_that_was_tried_here_first_is_counted_here():
    async def check(deployment):
        hub, others = await start_cut_box(deployment, since=1)
        assert (await site.ask(hub, '/unsafe/a')).status == 200
        assert count_runs(deployment) == 1
        assert count_firsts([hub]) == 1
        assert count_firsts(others) == 0

    site.run(check)


@pytest.mark.parametrize('targets', (2, 5))
def test_connections_that_fail_before_the_cut_is_known(targets):
    async def check(deployment):
        hub, _ = await start_cut_box(deployment, since=100)
        assert (await site.ask(hub, '/unsafe/a')).status == 200
        assert count_runs(deployment) == 1

    site.run(check, plain=targets)


def test_a_caller_who_leaves_ends_the_work_over_both_hops():
    async def check(deployment):
        hub, others = await start_cut_box(deployment)
        for runner in deployment.plain:
            runner.script = ['silent']
        work = asyncio.ensure_future(site.ask(hub, '/unsafe/a'))
        await site.wait_until(lambda: count_runs(deployment))
        work.cancel()
        runners = deployment.plain
        await site.wait_until(lambda: sum(r.cancelled for r in runners), 0.5)
        assert not hub.view.forwarding.under_way
        assert not sum(peer.forward_listener.count_busy() for peer in others)

    site.run(check)


def test_two_boxes_that_are_cut_hand_nothing_to_each_other():
    async def check(deployment):
        hub, (other,) = await start_cut_box(deployment, 1)
        cut(deployment, other, [hub.deployment.box])
        began = hub.clock()
        got = await site.ask(hub, '/safe/a')
        assert got.status == 503
        assert float(got.headers['retry-after']) > 0
        assert hub.clock() - began < 0.2
        assert hub.view.forwarding.failed == [other.deployment.box]
        assert get_forwarded(other) == {}

    site.run(check)


def test_where_no_box_reaches_the_targets_a_request_is_refused_at_once():
    async def check(deployment):
        hub = await deployment.start_box()
        cut(deployment, hub, [])
        began = hub.clock()
        got = await site.ask(hub, '/safe/a')
        assert got.status == 503
        assert float(got.headers['retry-after']) > 0
        assert hub.clock() - began < 0.1
        # No connection was tried.
        assert hub.view.forwarding.since == 0

    site.run(check)


def test_a_peer_that_is_cut_too_is_left_for_another_one():
    async def check(deployment):
        hub, (first, _) = await start_cut_box(deployment)
        cut(deployment, first, [hub.deployment.box])
        # It does not know that it is cut off: only its targets are out.
        first.view.forwarding.since = 100
        for name in first.view.fleet.entries:
            first.view.reachability.record_failed(name, first.clock())
        assert (await site.ask(hub, '/unsafe/a')).status == 200
        assert count_runs(deployment) == 1
        assert hub.view.forwarding.failed == [first.deployment.box]

    site.run(check)


@pytest.mark.parametrize('difference', ('keys', 'hosts'))
def test_a_denial_by_another_table_never_reaches_the_caller(difference):
    async def check(deployment):
        hub, (first, second) = await start_cut_box(deployment)
        first.view.table = first.view.table._replace(**{difference: {}})
        assert (await site.ask(hub, '/unsafe/a')).status == 200
        second.view.table = second.view.table._replace(**{difference: {}})
        got = await site.ask(hub, '/unsafe/a')
        assert got.status == 503
        assert count_runs(deployment) == 1

    site.run(check)


async def reset(reader, writer):
    writer.transport.abort()


async def hang(reader, writer):
    await reader.read()


LOST = (
    # what the peer does -> status, executions
    (reset, 'unsafe', 502, 0),
    (reset, 'safe', 200, 1),
    (hang, 'unsafe', 504, 0),
    (hang, 'safe', 200, 1),
)


@pytest.mark.parametrize(('answer', 'route', 'status', 'runs'), LOST)
def test_a_peer_that_is_lost_midway(answer, route, status, runs):
    async def check(deployment):
        hub, (first, _) = await start_cut_box(deployment)
        async with fake_peer(hub, first.deployment.box, answer):
            began = hub.clock()
            got = await site.ask(hub, f'/{route}/a')
            assert got.status == status
            assert hub.clock() - began < (2.5 if route == 'unsafe' else 1.5)
            assert count_runs(deployment) == runs

    site.run(check)


@pytest.mark.parametrize('reason', sorted({'busy', *forwarder.TRY_ELSEWHERE}))
def test_a_peer_that_refuses_is_left_if_another_one_may_do_better(reason):
    async def refuse(reader, writer):
        writer.write(
            b'HTTP/1.1 503 X\r\ncontent-length: 0\r\nretry-after: 1.75\r\n'
            + forwarded_rows.REASON
            + b': %s\r\n\r\n' % reason.encode()
        )

    async def check(deployment):
        hub, (first, _) = await start_cut_box(deployment)
        name = first.deployment.box
        async with fake_peer(hub, name, refuse):
            got = await site.ask(hub, '/safe/a')
            assert count_runs(deployment) == (reason != 'busy')
        assert got.status == (503 if reason == 'busy' else 200)
        if reason == 'busy':
            assert got.headers['retry-after'] == '1.75'
        is_unable = reason in forwarder.UNABLE
        assert hub.view.forwarding.failed == ([name] if is_unable else [])

    site.run(check)


@pytest.mark.parametrize(
    ('since', 'limit'), ((0, path_choice.MAX_PEERS), (1, 1))
)
def test_a_request_is_forwarded_to_a_limited_number_of_peers(since, limit):
    names = [f'box{number}' for number in range(path_choice.MAX_PEERS + 2)]
    state = types.SimpleNamespace(
        tried_peers=[],
        work=types.SimpleNamespace(service='plain'),
        needs_permit=False,
    )
    hub = types.SimpleNamespace(
        view=types.SimpleNamespace(forwarding=Cut(names, since)),
        upstream=None,
        peering=types.SimpleNamespace(
            peers=dict(zip(names, names)), list_unfit=lambda work: []
        ),
    )
    paths = path_choice.PathChoice(hub, state)
    while (picked := paths.pick_peer(0.0)) is not None:
        state.tried_peers.append(picked)
    assert state.tried_peers == names[:limit]


def test_a_peer_without_the_address_gets_nothing():
    async def check(deployment):
        hub, (other,) = await start_cut_box(deployment, 1)
        peers, name = hub.peering.peers, other.deployment.box
        peers[name] = peers[name]._replace(forwarding=None)
        assert (await site.ask(hub, '/safe/a')).status == 503
        assert get_forwarded(hub) == {}

    site.run(check)


def test_where_a_new_peer_takes_requests_is_learnt_when_it_is_needed():
    async def check(deployment):
        hub, other = await site.start_boxes(deployment, 2)
        # It knows the other one by its digests.
        assert hub.peering.peers[other.deployment.box].forwarding is None
        cut(deployment, hub, [other.deployment.box])
        await site.ask(hub, '/safe/a')
        await site.wait_until(
            lambda: hub.peering.peers[other.deployment.box].forwarding
        )
        assert (await site.ask(hub, '/safe/a')).status == 200

    site.run(check)


def test_a_head_at_the_limit_is_taken_by_the_peer_too():
    async def check(deployment):
        hub, _ = await start_cut_box(deployment)
        for length in range(16_300, 15_000, -20):
            got = await site.ask(
                hub, '/safe/a', headers=[('x-long', 'x' * length)]
            )
            if got.status != 431:
                break
        assert got.status == 200

    site.run(check)


def test_callers_can_not_pass_for_a_box():
    async def check(deployment):
        hub, (other,) = await start_cut_box(deployment, 1)
        origin = forwarded_rows.Origin('box9', 'engine', True)
        forged = [
            (name.decode(), value.decode())
            for name, value in forwarded_rows.write_origin(origin)
        ]
        # One box forwards it all the same, the other serves it.
        for box in (hub, other):
            got = await site.ask(box, '/unsafe/a', headers=forged)
            assert got.status == 200
        assert count_firsts([hub, other]) == 2
        assert len(get_forwarded(hub)) == 1
        heads = [head for r in deployment.plain for head in r.ran]
        assert not any('-box-' in name for head in heads for name in head)

    site.run(check)


def test_what_is_no_request_of_a_box_is_refused_there():
    async def check(deployment):
        hub = await deployment.start_box()
        address = hub.deployment.forwarding
        hub.deployment = hub.deployment._replace(callers=address)
        assert (await site.ask(hub, '/safe/a')).status == 400
        assert count_runs(deployment) == 0

    site.run(check)


def test_a_peer_that_stops_finishes_what_it_serves_for_others():
    async def check(deployment):
        hub, (other,) = await start_cut_box(deployment, 1)
        for runner in deployment.plain:
            runner.script = ['slow']
        work = asyncio.ensure_future(site.ask(hub, '/unsafe/a'))
        await site.wait_until(lambda: count_runs(deployment))
        other.stop()
        assert (await work).status == 200

    site.run(check)


def test_a_peer_that_stops_is_left_for_another_one():
    async def check(deployment):
        hub, (first, _) = await start_cut_box(deployment)
        first.stop()
        assert (await site.ask(hub, '/unsafe/a')).status == 200
        assert hub.view.forwarding.failed == [first.deployment.box]

    site.run(check)
