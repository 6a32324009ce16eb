"""Calls to targets beside the requests, whatever bytes come back."""

import asyncio

from landingspool import http
from landingspool import httpclient

HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n%s\r\n{}'


def fetch(rows):
    """Give the Response to a call whose answer has some further rows."""

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
    """A call ended by an error that no caller of it handles.

    A field of a head may hold any byte over 0x7f (RFC 9110, 5.5); it was read
    as UTF-8, and what follows a target or the store ended with the error.
    """
    response = fetch(b'x-note: caf\xe9\r\n')
    assert response.status == 200
    assert response.headers['x-note'] == 'caf\xe9'


def test_a_field_on_several_lines_is_read_whole():
    """The last line alone was kept; together they are a list (5.3)."""
    response = fetch(b'x-note: a\r\nx-note: b\r\n')
    assert response.headers['x-note'] == 'a, b'
