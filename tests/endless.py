"""A peer that answers every request with bytes that have no end.

It runs in a thread of its own, so that it does not depend on the turns of the
event loop under test.
"""

import asyncio
import contextlib
import socket
import threading
import time

from landingspool import http

BLOCK_BYTES = 64 * 1024
# Of the socket, so that few bytes are sent that nobody reads.
SEND_BUFFER_BYTES = 64 * 1024
# Bytes that are under way in both kernels' buffers when a reader gives up.
IN_FLIGHT_BYTES = 8 * 1024 * 1024
# Processor time of this thread between two turns of another task, seconds.
MAX_TURN_S = 0.1

OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'transfer-encoding: chunked\r\n\r\n'
# By kind: how the answer begins, and what it repeats.
KINDS = {
    'interim heads': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'header rows': (OK, b'x-row: 1\r\n'),
    'status line': (b'HTTP/1.1 200 ', b'a'),
    'blank lines': (b'', b'\r\n'),
    'junk': (b'', b'\0'),
    'body with a length': (OK + b'content-length: %d\r\n\r\n' % 10**15, b'a'),
    'body without a length': (OK + b'\r\n', b'a'),
    'body of a failure': (b'HTTP/1.1 500 Failed\r\n\r\n', b'a'),
    'events that are no text': (OK + b'\r\n', b'data: \xff\n\n'),
    'events': (OK + b'\r\n', b'data: {"index": 0, "text": "a"}\n\n'),
    'large chunks': (CHUNKED, b'4000\r\n%b\r\n' % (b'a' * 0x4000)),
    'small chunks': (CHUNKED, b'1\r\na\r\n'),
    'chunk extension': (CHUNKED + b'1;', b'a'),
    'chunks with extensions': (CHUNKED, b'1;%b\r\na\r\n' % (b'a' * 4096)),
    'trailers': (CHUNKED + b'0\r\n', b'x-row: 1\r\n'),
}


class EndlessPeer:
    """Sends bytes of one kind to each connection until it is closed.

    Parameters
    ----------
    start, repeated : bytes
        A value of KINDS.

    Attributes
    ----------
    address : http.Address
    sent : int
        Bytes that the kernel has taken, of all connections.
    closed_at : float or None
        When the last connection was closed by its peer, monotonic seconds.
    """

    def __init__(self, start, repeated):
        self._start = start
        self._block = repeated * max(BLOCK_BYTES // len(repeated), 1)
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = http.Address(*self._listener.getsockname())
        self.sent = 0
        self.closed_at = None
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Accept no more connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        with connection, contextlib.suppress(OSError):
            self._read_request(connection)
            self.sent += connection.send(self._start) if self._start else 0
            while True:
                self.sent += self._send_block(connection)
        self.closed_at = time.monotonic()

    def _read_request(self, connection):
        connection.recv(BLOCK_BYTES)

    def _send_block(self, connection):
        connection.sendall(self._block)
        return len(self._block)


REQUEST = b'POST /x HTTP/1.1\r\nHost: h\r\n'
CHUNKED_REQUEST = REQUEST + b'Transfer-Encoding: chunked\r\n\r\n'
# By kind: how a request begins, and what it repeats.
REQUESTS = {
    'header rows': (REQUEST, b'x-row: 1\r\n'),
    'request line': (b'POST /', b'a'),
    'blank lines': (b'', b'\r\n'),
    'body with a length': (
        REQUEST + b'Content-Length: %d\r\n\r\n' % 10**15,
        b'a',
    ),
    'large chunks': (CHUNKED_REQUEST, b'4000\r\n%b\r\n' % (b'a' * 0x4000)),
    'small chunks': (CHUNKED_REQUEST, b'1\r\na\r\n'),
    'chunk extension': (CHUNKED_REQUEST + b'1;', b'a'),
    'chunks with extensions': (
        CHUNKED_REQUEST,
        b'1;%b\r\na\r\n' % (b'a' * 60),
    ),
    'trailers': (CHUNKED_REQUEST + b'0\r\n', b'x-row: 1\r\n'),
    'requests': (b'', b'GET /y HTTP/1.1\r\nHost: h\r\n\r\n'),
}


class EndlessCaller:
    """Sends bytes of one kind on one connection until that is closed.

    Parameters
    ----------
    address : tuple
    start, repeated : bytes
        A value of REQUESTS.

    Attributes
    ----------
    sent : int
        Bytes that the kernel has taken.
    closed_at : float or None
        When the connection was closed by its peer, monotonic seconds.
    """

    def __init__(self, address, start, repeated):
        self._start = start
        self._block = repeated * max(BLOCK_BYTES // len(repeated), 1)
        self._socket = socket.create_connection(address)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        self.sent = 0
        self.closed_at = None
        self._thread = threading.Thread(target=self._send)
        self._thread.start()

    def close(self):
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._socket.close()

    def _send(self):
        with contextlib.suppress(OSError):
            self._socket.sendall(self._start)
            while True:
                self._socket.sendall(self._block)
                self.sent += len(self._block)
        self.closed_at = time.monotonic()


async def watch_turns(turns):
    """Note how long this thread worked between the turns of this task."""
    before = time.thread_time()
    while True:
        await asyncio.sleep(0)
        now = time.thread_time()
        turns.append(now - before)
        before = now


async def wait_closed(peer, seconds=1.0):
    """Wait until the connection to a peer is closed, or for some seconds."""
    deadline = time.monotonic() + seconds
    while peer.closed_at is None and time.monotonic() < deadline:
        await asyncio.sleep(0.01)
