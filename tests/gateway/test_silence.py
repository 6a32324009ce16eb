"""A sound target that falls silent for a second loses no request."""

import asyncio
import socket

import pytest

from landingspool.decisions.gateway import routes
from landingspool.gateway import upstream
from landingspool.platform import ingress
from standins import behaviours
from tests.gateway import site
from tests.gateway import test_relay

# More than the kernel buffers for a target that reads nothing.
LARGE_BODY = b'x' * routes.Limits().body_bytes
NO_BUDGET = {'retry_ratio': 0.0, 'retry_slack': 0.0}


def test_unacknowledged_bytes_do_not_end_an_unrepeatable_request():
    async def check(deployment):
        hub = await deployment.start_box()
        (target,) = deployment.plain
        target.deaf_s = behaviours.SILENCE_S
        got = await site.ask(hub, '/unsafe/a', LARGE_BODY)
        assert got.status == 200, got.body
        assert len(target.ran) == 1

    site.run(check, plain=1)


@pytest.mark.parametrize('pooled', [False, True])
def test_no_kernel_timeout_ends_a_request_that_waits_for_its_answer(pooled):
    async def check(deployment):
        hub = await deployment.start_box()
        (target,) = deployment.plain
        target.usual = 'kept'
        if pooled:
            await site.ask(hub, '/unsafe/a')
        exchange = await hub.upstream.open(target.address[:2], False)
        assert target.connections == 1
        sock = exchange.connection.get_socket()
        tcp = socket.IPPROTO_TCP
        assert not sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
        silent_s = sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
        silent_s *= sock.getsockopt(tcp, socket.TCP_KEEPCNT)
        assert silent_s > 2 * ingress.DEFAULT_TIME_LEFT_S
        exchange.abort()

    site.run(check, plain=1)


def test_silent_path_is_left_by_new_requests_and_kept_by_the_running_one():
    async def check(deployment):
        hub = await deployment.start_box()
        test_relay.script(deployment.plain, 'late')

        async def fail(address, max_idle):
            raise upstream.ExchangeError('connect', False, silent=True)

        hub.upstream.probe = fail
        work = asyncio.ensure_future(site.ask(hub, '/unsafe/a'))
        await site.wait_until(hub.view.reachability.list_failed, 1.1)
        (name,) = hub.view.reachability.list_failed()
        for _ in range(5):
            assert (await site.ask(hub, '/unsafe/a')).status == 200
        (silent,) = [t for t in deployment.plain if t.name == name]
        assert len(silent.ran) == 1
        assert (await work).status == 200

    site.run(check)


@pytest.mark.parametrize('route', ['safe', 'unsafe'])
def test_late_answer_is_awaited_if_no_repeat_is_left(route):
    async def check(deployment):
        hub = await deployment.start_box(**NO_BUDGET)
        test_relay.script(deployment.plain, 'late')
        got = await site.ask(hub, f'/{route}/a')
        assert got.status == 200, got.body
        assert sum(len(r.ran) for r in deployment.plain) == 1

    site.run(check)


def test_late_answer_is_awaited_if_no_other_target_accepts():
    async def check(deployment):
        hub = await deployment.start_box()
        test_relay.script(deployment.plain, 'late')
        got = await site.ask(hub, '/safe/a')
        assert got.status == 200, got.body

    site.run(check, plain=1)


@pytest.mark.parametrize('route', ['stream', 'resumed'])
def test_paused_stream_is_not_broken_off_if_no_repeat_is_left(route):
    async def check(deployment):
        hub = await deployment.start_box(**NO_BUDGET)
        test_relay.script(deployment.engines, 'paused stream')
        got = await site.ask(hub, f'/{route}/a', headers=test_relay.PROMPT)
        assert got.whole
        assert got.body.count(b'id: ') == 4

    site.run(check)


def test_paused_stream_is_not_broken_off_if_no_other_target_accepts():
    async def check(deployment):
        hub = await deployment.start_box()
        for target in deployment.engines:
            target.script = ['paused stream']
        work = asyncio.ensure_future(
            site.ask(hub, '/resumed/a', headers=test_relay.PROMPT)
        )
        await site.wait_until(lambda: any(t.ran for t in deployment.engines))
        for target in deployment.engines:
            if not target.ran:
                await target.close()
        got = await work
        assert got.whole
        assert got.body.count(b'id: ') == 4

    site.run(check)


def test_aborted_exchange_sends_nothing_more():
    async def check(deployment):
        hub = await deployment.start_box()
        with socket.socket() as peer:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            peer.bind(('127.0.0.1', 0))
            peer.listen()
            exchange = await hub.upstream.open(peer.getsockname(), False)
            arrived, _ = peer.accept()
            rows = [('host', 'a'), ('content-length', '200000')]
            exchange.send('POST', '/', rows, b'x' * 200_000)
            await asyncio.sleep(0.05)
            exchange.abort()
            await asyncio.sleep(2.0)
            arrived.settimeout(0.5)
            received = 0
            try:
                while data := arrived.recv(65536):
                    received += len(data)
            except OSError:
                pass
            arrived.close()
            assert received < 100_000

    site.run(check)


def test_target_that_is_delisted_is_logged_as_silent_once():
    async def check(deployment):
        hub = await deployment.start_box()
        (target,) = deployment.plain
        target.script = ['silent']
        work = asyncio.ensure_future(site.ask(hub, '/unsafe/a'))
        await site.wait_until(lambda: target.ran)
        hub.view.fleet.drop(target.name, hub.clock(), False)
        await work
        assert hub.recorder.counts['target_silent'] <= 1

    site.run(check, plain=1)
