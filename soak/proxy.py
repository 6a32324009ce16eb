"""A loopback TCP proxy that misbehaves as it is told."""

import asyncio

BYTES = 65536
# How often a silenced connection looks whether it may go on, seconds.
LOOK_S = 0.02


class Proxy:
    """Passes connections on to one address.

    Attributes
    ----------
    mode : str
        '' passes on; 'silent' holds all bytes; 'up' and 'down' hold those
        of one way; 'refuse' closes new connections.
    delay_s : float
        Added to each piece of data.
    """

    def __init__(self, target):
        self.target = target
        self.mode = ''
        self.delay_s = 0.0
        self.address = None
        self._server = None
        self._writers = set()

    async def start(self, host='127.0.0.1'):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()

    def reset(self):
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Stop."""
        self._server.close()
        self.reset()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            if self.mode == 'refuse':
                writer.transport.abort()
                return
            there = await asyncio.open_connection(*self.target)
            self._writers.add(there[1])
            await asyncio.gather(
                self._pass(reader, there[1], 'up'),
                self._pass(there[0], writer, 'down'),
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            writer.close()
            self._writers.discard(writer)

    async def _pass(self, reader, writer, way):
        while data := await reader.read(BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.mode in ('silent', way):
                await asyncio.sleep(LOOK_S)
            writer.write(data)
            await writer.drain()
        writer.close()
