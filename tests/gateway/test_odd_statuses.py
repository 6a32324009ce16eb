"""A status that HTTP doesn't know is no answer, on any path."""

import asyncio

import pytest

from landingspool import http
from landingspool import httpclient
from standins import behaviours
from tests.gateway import site
from tests.gateway import test_forwarder

# Outside of 100 to 599 (RFC 9110, 15), and no three digits.
ODD = '000', '001', '099', '600', '999', '20', '2000', 'abc'
# Known to no registry, but in a class that HTTP knows.
UNNAMED = 299, 499, 599


def register(status):
    """Register the behaviour of answering with a status; return its name."""
    name = f'status {status}'

    @behaviours.behaviour(name)
    async def answer(runner, head, body, reader, writer):
        runner.run(head, body)
        behaviours.write_answer(runner, head, writer, status, b'done')

    return name


NAMES = {status: register(status) for status in (*ODD, *UNNAMED)}


@pytest.mark.parametrize('route', list(site.ROUTES))
@pytest.mark.parametrize('status', ODD)
def test_odd_status_is_not_passed_on(status, route):
    async def check(deployment):
        hub = await deployment.start_box()
        for target in deployment.plain + deployment.engines:
            target.usual = NAMES[status]
        got = await site.ask(hub, f'/{route}/a')
        # It may have run.
        assert got.status == 502

    site.run(check)


@pytest.mark.parametrize('status', ODD)
def test_safe_request_with_an_odd_status_is_tried_at_a_sound_target(status):
    async def check(deployment):
        hub = await deployment.start_box()
        odd = None
        # Whichever is asked first.
        for target in deployment.plain:
            target.script = [NAMES[status]]
            got = await site.ask(hub, '/safe/a')
            assert got.status == 200
            odd = odd or not target.script
            target.script = []
        assert odd

    site.run(check)


@pytest.mark.parametrize('path', ['/unsafe/a', '/safe/a', '/stream/a'])
@pytest.mark.parametrize('status', ODD)
def test_odd_status_is_not_passed_on_by_a_box_that_forwards(status, path):
    async def check(deployment):
        hub, _ = await test_forwarder.start_cut_box(deployment)
        for target in deployment.plain + deployment.engines:
            target.usual = NAMES[status]
        assert (await site.ask(hub, path)).status == 502
        assert any(t.ran for t in deployment.plain + deployment.engines)

    site.run(check)


@pytest.mark.parametrize('status', UNNAMED)
def test_unnamed_status_of_a_known_class_is_passed_on(status):
    async def check(deployment):
        hub = await deployment.start_box()
        for target in deployment.plain:
            target.usual = NAMES[status]
        got = await site.ask(hub, '/unsafe/a')
        assert got.status == status
        assert got.body == b'done'

    site.run(check)


@pytest.mark.parametrize('status', ODD)
def test_odd_status_answers_no_call(status):
    # Stores, targets, other boxes and the store of the platform are called so.
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            f'HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n'.encode()
        )
        await writer.drain()
        writer.close()

    async def fetch():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = http.Address(*server.sockets[0].getsockname()[:2])
        client = httpclient.Client()
        try:
            with pytest.raises(http.Unreachable):
                await client.fetch(address, 'GET', '/')
        finally:
            client.close()
            server.close()

    asyncio.run(fetch())
