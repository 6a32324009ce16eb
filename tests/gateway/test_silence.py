"""A sound target that falls silent for a second loses no request."""

import socket

import pytest

from landingspool.decisions.gateway import routes
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


def test_no_kernel_timeout_ends_a_request_that_waits_for_its_answer():
    async def check(deployment):
        hub = await deployment.start_box()
        address = deployment.plain[0].address
        exchange = await hub.upstream.open(address, False)
        sock = exchange._connection._transport.get_extra_info('socket')
        tcp = socket.IPPROTO_TCP
        assert not sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
        assert not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        exchange.abort()

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
        work = site.asyncio.ensure_future(
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
