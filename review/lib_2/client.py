"""A client, as the pages describe it: HTTP/1.1 on kept connections."""

import asyncio
import time
import typing

import scene as scene_module

PIECE_BYTES = 64 * 1024


class Answer(typing.NamedTuple):
    """What a client got for a request.

    `status` is 0 where the connection ended without an answer, or the answer
    is not whole; `is_begun` tells whether any of it came.
    """

    status: int
    body: bytes
    stamp: str
    seconds: float
    is_begun: bool = True


class Client:
    """One client with one kept connection to a box."""

    def __init__(self, address):
        self.address = address
        self._streams = None
        self._is_begun = False

    async def connect(self):
        """Open the connection, if there is none."""
        if self._streams is None:
            async with asyncio.timeout(1.0):
                self._streams = await asyncio.open_connection(*self.address)

    async def ask(
        self,
        path,
        name,
        key=scene_module.KEY,
        body=b'',
        deadline_ms=2500,
        rows=(),
        method='POST',
        bytes_s=None,
    ):
        """Send one request and read its answer.

        Parameters
        ----------
        bytes_s : float, optional
            Most bytes of the body that are sent in a second.
        """
        began, self._is_begun = time.monotonic(), False
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self.connect()
                reader, writer = self._streams
                head = [
                    f'{method} {path} HTTP/1.1',
                    f'Host: {scene_module.HOST}',
                    f'X-Landingspool-Request-Id: {name}',
                    f'X-Landingspool-Deadline-Ms: {deadline_ms}',
                    f'Content-Length: {len(body)}',
                    *([f'Authorization: Bearer {key}'] if key else []),
                    *rows,
                ]
                writer.write('\r\n'.join(head).encode() + b'\r\n\r\n')
                await send_body(writer, body, bytes_s)
                answer = await self._read(reader)
        except (OSError, EOFError, TimeoutError):
            self.close()
            answer = 0, b'', ''
        return Answer(*answer, time.monotonic() - began, self._is_begun)

    @property
    def is_open(self):
        """Whether the connection is kept."""
        return self._streams is not None

    def close(self):
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _read(self, reader):
        first = await reader.readexactly(1)
        self._is_begun = True
        data = first + await reader.readuntil(b'\r\n\r\n')
        lines = data.decode('latin-1').split('\r\n')
        status = int(lines[0].split(' ')[1])
        head = {}
        for line in lines[1:]:
            field, _, value = line.partition(':')
            head[field.strip().lower()] = value.strip()
        body = b''
        if 'content-length' in head:
            body = await reader.readexactly(int(head['content-length']))
        elif head.get('transfer-encoding') == 'chunked':
            while size := await read_size(reader):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        if 'close' in head.get('connection', '').lower():
            self.close()
        return status, body, head.get('x-landingspool-response-stamp', '')


async def read_size(reader):
    """Read the line with the size of a chunk.

    Raises
    ------
    EOFError
        If the answer ends before it.
    """
    line = await reader.readuntil(b'\r\n')
    return int(line, 16)


async def send_body(writer, body, bytes_s=None):
    """Send a body, no faster than a rate."""
    began = time.monotonic()
    for start in range(0, len(body), PIECE_BYTES):
        writer.write(body[start : start + PIECE_BYTES])
        await writer.drain()
        if bytes_s is not None:
            ahead_s = began + start / bytes_s - time.monotonic()
            await asyncio.sleep(max(ahead_s, 0.0))
