"""One TCP connection, to a caller or a target, owned by one task at a time.

It tells apart how a connection ends: an orderly end may complete an answer
without a length, a reset never does.  It also tells at once when the other
side has gone, while nobody reads.
"""

import asyncio

# Bytes that are held unread before the peer is made to wait.
MOST_UNREAD = 256 * 1024


class PeerSilent(ConnectionResetError):
    """The kernel gave a connection up since its peer answered nothing."""


class Wire(asyncio.Protocol):
    """Buffers what arrives and wakes the one task that reads.

    Parameters
    ----------
    on_made : callable, optional
        Called with the Wire once it is connected.
    """

    def __init__(self, on_made=None):
        self._on_made = on_made
        self._transport = None
        self._buffer = bytearray()
        self._wake = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._error = None
        self.ended = False
        self.on_end = None

    def connection_made(self, transport):
        """Keep the transport (asyncio)."""
        self._transport = transport
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data):
        """Buffer bytes (asyncio)."""
        self._buffer += data
        if len(self._buffer) > MOST_UNREAD:
            self._transport.pause_reading()
        self._wake.set()

    def eof_received(self):
        """Note the orderly end of what the peer sends (asyncio)."""
        self._end(None)
        # True would keep the connection half open: no side needs that.
        return False

    def connection_lost(self, error):
        """Note the end of the connection (asyncio)."""
        self._end(error)
        self._writable.set()

    def pause_writing(self):
        """Make writers wait (asyncio)."""
        self._writable.clear()

    def resume_writing(self):
        """Let writers go on (asyncio)."""
        self._writable.set()

    @property
    def is_quiet(self):
        """Whether the connection is open and holds nothing unread."""
        return not self.ended and not self._buffer

    @property
    def is_flushed(self):
        """Whether all that was written has left this process."""
        return self._transport.get_write_buffer_size() == 0

    async def read(self):
        """Give what has arrived; b'' at an orderly end.

        Raises
        ------
        ConnectionError
            When the connection was reset.
        """
        while not self._buffer and not self.ended:
            self._wake.clear()
            await self._wake.wait()
        if self._buffer:
            return self._take()
        if isinstance(self._error, TimeoutError):
            raise PeerSilent(str(self._error))
        if self._error is not None:
            raise ConnectionResetError(str(self._error))
        return b''

    def unread(self, data):
        """Put bytes back in front of what is unread."""
        self._buffer[:0] = data

    def write(self, data):
        """Send bytes; what can't be sent any more is dropped."""
        if not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self):
        """Wait until the peer takes what was written."""
        if not self._writable.is_set():
            await self._writable.wait()

    def close(self):
        """End the connection after what was written."""
        self._transport.close()

    def abort(self):
        """Reset the connection."""
        self._transport.abort()

    def _take(self):
        data = bytes(self._buffer)
        self._buffer.clear()
        if not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    def _end(self, error):
        if not self.ended:
            self._error = error
        self.ended = True
        self._wake.set()
        if self.on_end is not None:
            call, self.on_end = self.on_end, None
            call()
