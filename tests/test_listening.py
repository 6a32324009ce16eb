"""What a socket of ours hands on to its connections."""

import asyncio
import socket

import pytest

from landingspool import connection
from landingspool import listening


async def accept_stream(**options):
    """Serve streams; returns the server and the sockets of connections."""
    accepted = []

    async def serve(reader, writer):
        accepted.append(writer.get_extra_info('socket'))

    return await asyncio.start_server(serve, **options), accepted


async def accept_protocol(**options):
    """Serve connections of ours; returns the same."""
    accepted = []
    loop = asyncio.get_running_loop()

    def take(made):
        accepted.append(made.get_socket())

    server = await loop.create_server(
        lambda: connection.Connection(take), **options
    )
    return server, accepted


@pytest.mark.parametrize('serve', [accept_stream, accept_protocol])
def test_small_writes_wait_for_acknowledgements(serve):
    async def check():
        found = []

        async def begin(**options):
            server, accepted = await serve(**options)
            found.append(accepted)
            return server

        sock = listening.open_socket('127.0.0.1', 0)
        address = sock.getsockname()
        server = await listening.listen(sock, begin)
        _, writer = await asyncio.open_connection(*address)
        (accepted,) = found
        async with asyncio.timeout(2):
            while not accepted:
                await asyncio.sleep(0.01)
        tcp, option = socket.IPPROTO_TCP, socket.TCP_NODELAY
        assert accepted[0].getsockopt(tcp, option) == 1
        # Both buffers are what was asked for, which Linux doubles.
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            size = accepted[0].getsockopt(socket.SOL_SOCKET, option)
            assert size == connection.FULL_BYTES
        writer.close()
        server.close()

    asyncio.run(check())
