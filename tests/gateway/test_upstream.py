"""Reuse of connections to targets, and its weight in the choice of one."""

import asyncio
import socket

from landingspool import connection
from landingspool.gateway import upstream
from tests.gateway import site


async def start_one(deployment):
    """Start a box and the one plain target, which keeps connections."""
    hub = await deployment.start_box()
    (target,) = deployment.plain
    target.usual = 'kept'
    assert (await site.ask(hub, '/unsafe/a')).status == 200
    return hub, target


def test_one_at_rest_for_a_while_is_used_for_what_must_not_be_repeated():
    async def check(deployment):
        hub, target = await start_one(deployment)
        await asyncio.sleep(0.6)
        assert (await site.ask(hub, '/unsafe/a')).status == 200
        assert target.connections == 1

    site.run(check, plain=1)


def test_one_at_rest_for_longer_is_only_used_for_what_may_be_repeated():
    # Guards against a refusal, too, if the process stalls during the wait.
    async def check(deployment):
        hub, target = await start_one(deployment)
        clock = site.PoolClock(hub)
        clock.advance(upstream.MAX_UNREPEATABLE_IDLE_S + 0.2)
        got = await site.ask(hub, '/safe/a')
        assert got.status == 200, got.body
        assert target.connections == 1
        clock.advance(upstream.MAX_UNREPEATABLE_IDLE_S + 0.2)
        got = await site.ask(hub, '/unsafe/a')
        assert got.status == 200, got.body
        assert target.connections == 2 + site.count_stale(hub)

    site.run(check, plain=1)


def test_the_target_with_a_connection_is_chosen_among_equals():
    async def check(deployment):
        hub = await deployment.start_box()
        for target in deployment.plain:
            target.usual = 'kept'
        for _ in range(12):
            assert (await site.ask(hub, '/unsafe/a')).status == 200
        assert sum(t.connections for t in deployment.plain) == 1

    site.run(check)


def test_the_kernel_asks_whether_a_silent_peer_is_there():
    async def check(deployment):
        hub, target = await start_one(deployment)
        (idle,) = hub.upstream._idle[target.address[:2]]
        sock = idle.connection.get_socket()
        tcp = socket.IPPROTO_TCP
        silent_s = sock.getsockopt(tcp, socket.TCP_KEEPIDLE)
        silent_s += sock.getsockopt(
            tcp, socket.TCP_KEEPINTVL
        ) * sock.getsockopt(tcp, socket.TCP_KEEPCNT)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert silent_s <= upstream.MAX_UNREPEATABLE_IDLE_S

    site.run(check, plain=1)


def test_a_dead_path_takes_the_target_out_and_drops_what_is_kept(monkeypatch):
    opened = []

    class RecordingConnection(connection.Connection):
        def connection_made(self, transport):
            super().connection_made(transport)
            opened.append((transport.get_extra_info('peername'), self))

    monkeypatch.setattr(connection, 'Connection', RecordingConnection)

    async def check(deployment):
        hub = await deployment.start_box()
        for target in deployment.plain:
            target.usual = 'kept'
        await site.ask(hub, '/safe/a')
        (used,) = [t for t in deployment.plain if t.connections]
        used.script = ['silent']
        work = asyncio.ensure_future(site.ask(hub, '/safe/a'))
        await site.wait_until(lambda: len(used.ran) == 2)
        for peer, made in opened:
            if peer == used.address:
                # As the kernel does if sent data stays unacknowledged.
                made.connection_lost(TimeoutError(110, 'timed out'))
        assert (await work).status == 200
        assert hub.view.reachability.list_failed() == [used.name]
        assert used.address not in hub.upstream.list_ready(True)

    site.run(check)


def test_cancelled_exchange_does_not_prolong_the_life_of_a_connection():
    async def check(deployment):
        hub = await deployment.start_box()
        (target,) = deployment.plain
        target.usual = 'kept'
        await site.ask(hub, '/unsafe/a')
        address = target.address[:2]
        (before,) = hub.upstream._idle[address]
        await asyncio.sleep(0.3)
        exchange = await hub.upstream.open(address, True)
        exchange.cancel()
        (after,) = hub.upstream._idle[address]
        assert after.since == before.since
        assert after.until == before.until

    site.run(check, plain=1)
