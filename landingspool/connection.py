"""One buffered TCP connection to a caller or a target, read by one task.

An end of file (FIN) is told apart from a reset: the first may complete an
answer that has no length, the second never does.  A close by the peer is
reported at once through a callback, also while nobody reads.
"""

import array
import asyncio
import fcntl
import math
import select
import socket
import struct
import termios

from landingspool import buffers as buffers_module

# Value of SO_LINGER: on, with no time to send what is left.
NO_LINGER = struct.pack('ii', 1, 0)
# Unread bytes in the buffer above which reading from the socket pauses.
MAX_UNREAD_BYTES = 32 * 1024
# Bytes that are read from a socket at once.  All connections share the buffer:
# what was read is copied before another one reads.
RECEIVE_BUFFER = memoryview(bytearray(32 * 1024))
# Bytes that the kernel is asked to hold in each direction of a connection.
KERNEL_BYTES = 64 * 1024
# Bytes that it holds by then: Linux doubles the size that it is asked for.
FULL_BYTES = 2 * KERNEL_BYTES


class PeerSilent(ConnectionResetError):
    """The kernel dropped the connection, since its peer stayed silent."""


class Connection(asyncio.BufferedProtocol):
    """Buffers received bytes and wakes the one task that reads them.

    Parameters
    ----------
    on_connected : callable, optional
        Called with this Connection once it is connected.
    buffers : buffers.Buffers, optional
        Counts the bytes that the connection holds.
    is_callers : bool, optional
        Whether the connection may be closed for what it holds.

    Attributes
    ----------
    closed : bool
        Whether the peer has closed or reset it, or it was closed here.
    on_close : callable or None
        Called once, when `closed` becomes true.
    """

    def __init__(self, on_connected=None, buffers=None, is_callers=False):
        self._on_connected = on_connected
        self._buffers = buffers
        self._is_callers = is_callers
        self._held = 0
        self._is_paused = False
        self._received_at = -math.inf
        self._transport = None
        self._buffer = bytearray()
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._error = None
        # Raised by the next read.
        self._interruption = None
        # What is still to be written.
        self._outgoing = None
        self.closed = False
        self.on_close = None

    def connection_made(self, transport):
        """Store the transport (asyncio)."""
        self._transport = transport
        if self._on_connected is not None:
            self._on_connected(self)

    def get_buffer(self, size_hint):
        """Return where received bytes are written to (asyncio)."""
        return RECEIVE_BUFFER

    def buffer_updated(self, size):
        """Take over the received bytes (asyncio)."""
        self.data_received(RECEIVE_BUFFER[:size])

    def data_received(self, data):
        """Buffer received bytes."""
        self._received_at = asyncio.get_running_loop().time()
        self._buffer += data
        if len(self._buffer) > MAX_UNREAD_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
            self._set_wait(buffers_module.SENT_AHEAD, True)
        self.count_held()
        self._readable.set()

    def eof_received(self):
        """Record the end of file sent by the peer (asyncio)."""
        self._mark_closed(None)
        # True would keep the connection half open, which no side needs.
        return False

    def connection_lost(self, error):
        """Record the end of the connection (asyncio)."""
        self._drop_outgoing()
        self._mark_closed(error)
        self._writable.set()

    def pause_writing(self):
        """Block writers in `drain` (asyncio)."""
        self._writable.clear()
        self._set_wait(buffers_module.UNREAD, True)

    def resume_writing(self):
        """Unblock writers (asyncio)."""
        self._writable.set()
        self._set_wait(buffers_module.UNREAD, False)
        self.count_held()
        self._write_outgoing()

    @property
    def is_idle(self):
        """Whether the connection is open and has no unread bytes."""
        return not self.closed and not self._buffer

    @property
    def is_flushed(self):
        """Whether the kernel has taken all bytes that are to be sent."""
        if self._outgoing is not None:
            return False
        return self._transport.get_write_buffer_size() == 0

    @property
    def peer(self):
        """The peer's address, HOST:PORT; empty if it is not known."""
        address = self._transport.get_extra_info('peername')
        if not isinstance(address, tuple):
            return ''
        return f'{address[0]}:{address[1]}'

    def get_socket(self):
        """Return the socket, for its options."""
        return self._transport.get_extra_info('socket')

    async def read(self, max_bytes=None):
        """Return the bytes received, at least one; b'' at the end of file.

        With `max_bytes` no more than these are returned; the others stay.

        Raises
        ------
        ConnectionError
            If the connection was reset; PeerSilent if the peer timed out.
        Exception
            That of `interrupt`.
        """
        while not (self._buffer or self.closed or self._interruption):
            self._readable.clear()
            await self._readable.wait()
        if self._interruption is not None:
            error, self._interruption = self._interruption, None
            raise error
        if self._buffer:
            return self._take_buffer(max_bytes)
        if isinstance(self._error, TimeoutError):
            raise PeerSilent(str(self._error))
        if self._error is not None:
            raise ConnectionResetError(str(self._error))
        return b''

    def interrupt(self, error):
        """Have the task that reads raise an error."""
        self._interruption = error
        self._readable.set()

    def count_unread(self):
        """Return the number of bytes received and not read.

        Returns
        -------
        int or None
            With those that are still in the kernel; None if the connection
            has been closed.
        """
        pending = array.array('i', [0])
        try:
            fcntl.ioctl(self.get_socket(), termios.FIONREAD, pending)
        except (OSError, ValueError):
            return None
        return len(self._buffer) + pending[0]

    @property
    def is_at_rest(self):
        """Whether it is idle and the kernel holds no bytes and no end, either.

        The event loop reads a socket once in each turn: what has arrived
        since then is lost if the connection is closed.
        """
        if not self.is_idle:
            return False
        poll = select.poll()
        try:
            poll.register(self.get_socket().fileno(), select.POLLIN)
        except (OSError, ValueError):
            # It has been closed here.
            return False
        return not poll.poll(0)

    def has_stopped(self, since):
        """Return whether it is at rest, and has received nothing since then.

        Parameters
        ----------
        since : float
            Seconds of the event loop's clock.
        """
        return self._received_at <= since and self.is_at_rest

    def push_back(self, data):
        """Put bytes back in front of the unread ones."""
        self._buffer[:0] = data
        self.count_held()

    def write(self, data):
        """Send bytes; they are dropped if the connection is closing."""
        if not self._transport.is_closing():
            self._transport.write(data)
            self.count_held()

    def write_pieces(self, pieces):
        """Send pieces, no faster than the peer takes them.

        What is not sent by the end of the connection is dropped.

        Parameters
        ----------
        pieces : iterator of bytes-like
        """
        self._outgoing = pieces
        self._write_outgoing()

    async def drain(self):
        """Wait until the send buffer has space again."""
        if not self._writable.is_set():
            await self._writable.wait()

    def close(self):
        """Close the connection after the written bytes are sent."""
        self._outgoing = None
        self._transport.close()

    def end_sending(self):
        """Send the end of file after the written bytes, and read on."""
        if not self._transport.is_closing():
            self._transport.write_eof()

    def abort(self):
        """Close the connection without waiting for the written bytes."""
        self._drop_outgoing()
        self._transport.abort()

    def reset(self):
        """Reset the connection; the kernel discards what it has not sent."""
        if not self.closed:
            self.get_socket().setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
        self.abort()

    def count_held(self):
        """Count the bytes that the connection holds by now."""
        if self._buffers is None or self.closed:
            return
        held = len(self._buffer) + self._transport.get_write_buffer_size()
        # The kernel's buffer is full, too, or about to be.
        held += FULL_BYTES * self._is_paused
        held += FULL_BYTES * (not self._writable.is_set())
        self._set_held(held)

    def _set_held(self, held):
        if self._buffers is None or held == self._held:
            return
        if not (held and self._held):
            self._buffers.set_holder(self, bool(held))
        change, self._held = held - self._held, held
        self._buffers.change(change)

    def _set_wait(self, reason, waits):
        if self._buffers is None or not self._is_callers:
            return
        if waits:
            self._buffers.begin_wait(reason, self)
        else:
            self._buffers.end_wait(reason, self)

    def _drop_outgoing(self):
        """Hold nothing more that is to be sent."""
        self._outgoing = None
        self._set_wait(buffers_module.UNREAD, False)
        self._set_wait(buffers_module.SENT_AHEAD, False)
        self._set_held(0)

    def _write_outgoing(self):
        while self._outgoing is not None and self._writable.is_set():
            piece = next(self._outgoing, None)
            if piece is None:
                self._outgoing = None
            else:
                self.write(piece)

    def _take_buffer(self, max_bytes):
        data = bytes(self._buffer[:max_bytes])
        del self._buffer[: len(data)]
        if self._is_paused and len(self._buffer) <= MAX_UNREAD_BYTES:
            self._is_paused = False
            self._set_wait(buffers_module.SENT_AHEAD, False)
            if not self._transport.is_closing():
                self._transport.resume_reading()
        self.count_held()
        return data

    def _mark_closed(self, error):
        if not self.closed:
            self._error = error
        self.closed = True
        self._readable.set()
        if self.on_close is not None:
            call, self.on_close = self.on_close, None
            call()


def limit_buffers(sock):
    """Bound what the kernel holds for a socket in each direction.

    Without this the kernel lets the buffers grow to some megabytes.
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, KERNEL_BYTES)
