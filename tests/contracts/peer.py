"""Runs a peer that answers with exactly the bytes of a test case."""

import asyncio

from landingspool import http
from landingspool import httpclient

HEAD = 'HTTP/1.1 {} X\r\ncontent-type: {}\r\ncontent-length: {}\r\n\r\n'


def answer(status, body, kind='application/json'):
    """Return the bytes of a complete answer."""
    data = body.encode()
    return HEAD.format(status, kind, len(data)).encode() + data


def stream(*events):
    """Return the bytes of a stream of events with its end."""
    return open_stream(*events) + b'0\r\n\r\n'


def open_stream(*events):
    """Return the bytes of a stream of events without its end."""
    head = b'HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n'
    parts = []
    for event in events:
        data = f'data: {event}\n\n'.encode()
        parts.append(f'{len(data):x}\r\n'.encode() + data + b'\r\n')
    return head + b''.join(parts)


async def talk(reply, call, hang=False):
    """Run ``call(client, address)`` against a peer that sends `reply`.

    With `hang` the peer keeps the connection open afterwards.
    """
    released = asyncio.Event()

    async def serve(reader, writer):
        await reader.read(65536)
        writer.write(reply)
        await writer.drain()
        if hang:
            await released.wait()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    client = httpclient.Client()
    address = http.Address(*server.sockets[0].getsockname())
    try:
        return await call(client, address)
    finally:
        released.set()
        client.close()
        server.close()


async def talk_to_nobody(call):
    """Run a call against an address on which no server listens."""
    server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
    address = http.Address(*server.sockets[0].getsockname())
    server.close()
    await server.wait_closed()
    return await call(httpclient.Client(), address)
