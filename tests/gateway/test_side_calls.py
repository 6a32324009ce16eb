"""Calls to targets other than requests, for unusual bytes in the answers."""

import asyncio

from landingspool import http
from landingspool import httpclient

HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n%s\r\n{}'


def fetch(rows):
    """Return the Response to a call whose answer has additional fields."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(HEAD % rows)
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = http.Address(*server.sockets[0].getsockname()[:2])
        client = httpclient.Client()
        try:
            return await client.fetch(address, 'GET', '/')
        finally:
            client.close()
            server.close()

    return asyncio.run(run())


def test_bytes_that_are_no_text_in_a_head_end_no_call():
    """Guard against a decoding error that no caller of `fetch` handles.

    A field of a head may hold any byte over 0x7f (RFC 9110, 5.5).  If it is
    read as UTF-8, the error ends the task that follows a target or the store.
    """
    response = fetch(b'x-note: caf\xe9\r\n')
    assert response.status == 200
    assert response.headers['x-note'] == 'caf\xe9'


def test_a_field_on_several_lines_is_read_whole():
    """Guard against losing all but the last line of a list (5.3)."""
    response = fetch(b'x-note: a\r\nx-note: b\r\n')
    assert response.headers['x-note'] == 'a, b'
