"""A server of ours takes so many connections and bytes, and no more."""

import asyncio

import pytest

from landingspool import http_server

BODY_BYTES = 100_000


def run(check, **limits):
    """Run a check at a server that waits before it answers."""

    async def main():
        release = asyncio.Event()

        async def handle(request, exchange):
            if request.path == '/wait':
                await release.wait()
            await exchange.send_json(200, {})

        server = http_server.Server(handle, **limits)
        address = await server.start('127.0.0.1', 0)
        try:
            async with asyncio.timeout(5):
                await check(server, address, release)
        finally:
            await server.close()

    asyncio.run(main())


async def send(address, path, body=b''):
    """Send a request on a new connection; return its two ends."""
    reader, writer = await asyncio.open_connection(*address)
    head = f'POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}'
    writer.write(head.encode() + b'\r\n\r\n' + body)
    return reader, writer


async def read_head(reader):
    """Read the head of an answer."""
    return await reader.readuntil(b'\r\n\r\n')


@pytest.mark.parametrize('begun', [b'', b'POST / HTTP/1.1\r\n'])
def test_the_oldest_connection_without_a_request_gives_way(begun):
    async def check(server, address, release):
        busy, writer = await send(address, '/wait')
        oldest, other = await asyncio.open_connection(*address)
        other.write(begun)
        await asyncio.sleep(0.1)
        late, last = await send(address, '/')
        assert (await read_head(late)).startswith(b'HTTP/1.1 200')
        assert not await oldest.read()
        release.set()
        assert (await read_head(busy)).startswith(b'HTTP/1.1 200')
        for end in (writer, other, last):
            end.close()

    run(check, max_connections=2)


def test_a_connection_beyond_those_with_requests_is_closed():
    async def check(server, address, release):
        busy, writer = await send(address, '/wait')
        await asyncio.sleep(0.1)
        late, last = await asyncio.open_connection(*address)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await late.readexactly(1)
        release.set()
        assert (await read_head(busy)).startswith(b'HTTP/1.1 200')
        writer.close()
        last.close()

    run(check, max_connections=1)


def test_a_body_beyond_what_all_may_hold_is_refused_as_not_run():
    async def check(server, address, release):
        body = bytes(BODY_BYTES)
        busy, writer = await send(address, '/wait', body)
        await asyncio.sleep(0.1)
        late, last = await send(address, '/', body)
        refusal = await read_head(late)
        assert refusal.startswith(b'HTTP/1.1 503')
        assert b'x-verdict: not_run' in refusal
        assert b'retry-after: ' in refusal
        release.set()
        assert (await read_head(busy)).startswith(b'HTTP/1.1 200')
        again, third = await send(address, '/', body)
        assert (await read_head(again)).startswith(b'HTTP/1.1 200')
        for end in (writer, last, third):
            end.close()
        while server._tasks:
            await asyncio.sleep(0.01)
        assert not server._held

    run(check, max_held=BODY_BYTES * 3 // 2)
