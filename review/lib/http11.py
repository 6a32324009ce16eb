"""A small HTTP/1.1 server and client over asyncio streams.

It is kept apart from the project's own code, so that a stand-in does not share
a fault with the program that it tests.
"""

import asyncio
import typing
from urllib import parse


class Request(typing.NamedTuple):
    """One request as it arrived; header names are in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self):
        """The path without the query."""
        return self.target.split('?', 1)[0]

    @property
    def query(self):
        """The fields of the query."""
        return dict(parse.parse_qsl(parse.urlsplit(self.target).query))


async def read_head(reader):
    """Read a start line and the headers; None at an orderly end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError('a head was cut off') from error
        return None
    first, *rows = data[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for row in rows:
        name, _, value = row.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Read a body that has a length or comes in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_request(reader):
    """Read one request; None if the peer has closed the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(' ')
    body = await read_body(reader, head[1])
    return Request(method, target, head[1], body)


def write_response(writer, status, body=b'', headers=()):
    """Write a whole answer with a length."""
    rows = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    rows += [f'{name}: {value}' for name, value in headers]
    writer.write('\r\n'.join(rows).encode() + b'\r\n\r\n' + body)


class Response(typing.NamedTuple):
    """One whole answer."""

    status: int
    headers: dict
    body: bytes


async def call(reader, writer, method, target, headers, body=b''):
    """Send one request on a connection and read the whole answer.

    Raises
    ------
    OSError, asyncio.IncompleteReadError
        If the connection ends before the answer is whole.
    """
    rows = [f'{method} {target} HTTP/1.1']
    rows += [f'{name}: {value}' for name, value in headers]
    if body or method != 'GET':
        rows.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join(rows).encode() + b'\r\n\r\n' + body)
    head = await read_head(reader)
    if head is None:
        raise ConnectionResetError('closed without an answer')
    status = int(head[0].split(' ')[1])
    return Response(status, head[1], await read_body(reader, head[1]))
