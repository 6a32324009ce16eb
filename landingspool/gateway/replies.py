"""Answers of a box to callers, of which each request gets exactly one."""

import contextlib
import json

import h11

from landingspool import bodies
from landingspool import timeouts

# Seconds for which the rest of a request that is refused is read and dropped.
DISCARD_S = 1.0
# Sent before a connection at rest is closed, or one that gets no place.  A
# request that crosses the close has not run, and this is its answer (RFC 9110,
# 15.5.9).
REST_OVER = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'content-length: 0\r\nconnection: close\r\n\r\n'
)
REASONS = {
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class Reply:
    """The answer to one request; exactly one is sent.

    Parameters
    ----------
    codec : h11.Connection
        In the state after the request was read.
    connection : connection.Connection
    is_closing : callable
        Returns whether the answer should have ``Connection: close``.
    method : bytes
        Of the request: the answer to HEAD has no body.
    kept : tuple of bytes, optional
        Header row that says for how long the connection is kept; without it
        nothing is announced.

    Attributes
    ----------
    started : bool
        Whether any byte of the answer was sent.
    broken : bool
        Whether the answer was broken off.
    """

    def __init__(self, codec, connection, is_closing, method=b'', kept=None):
        self._codec = codec
        self._connection = connection
        self._is_closing = is_closing
        self._method = method
        self._kept = kept
        self.started = False
        self.broken = False

    async def send_complete(self, status, headers, body):
        """Send a complete answer with a length."""
        framed = [*headers, (b'content-length', str(len(body)).encode())]
        data = self._begin(status, framed)
        if self._method != b'HEAD':
            # A caller that doesn't read keeps only a piece in the buffers.
            for piece in bodies.cut(body, len(body)):
                data += self._codec.send(h11.Data(data=piece))
                await self._write(data)
                data = b''
        data += self._codec.send(h11.EndOfMessage())
        if data:
            await self._write(data)

    async def send_error(self, status, reason, retry_after=None, extra=()):
        """Send an error of this box as JSON.

        Parameters
        ----------
        status : int
        reason : str
        retry_after : float, optional
            Seconds for the Retry-After header.
        extra : iterable of tuple of bytes, optional
            Further headers.
        """
        rows = [(b'content-type', b'application/json'), *extra]
        if retry_after is not None:
            rows.append((b'retry-after', f'{retry_after:.2f}'.encode()))
        body = json.dumps({'error': reason}).encode()
        await self.send_complete(status, rows, body)

    async def start(self, status, headers, data):
        """Begin an answer of unknown length with its first bytes."""
        head = self._begin(status, headers)
        await self._write(head + self._codec.send(h11.Data(data=data)))

    async def send_data(self, data):
        """Send the next bytes of an answer."""
        await self._write(self._codec.send(h11.Data(data=data)))

    async def finish(self):
        """End a complete answer."""
        await self._write(self._codec.send(h11.EndOfMessage()))

    def abort(self):
        """Close the connection, so that the answer doesn't look complete.

        Without a length or chunks, as for HTTP/1.0, a close in order would be
        the end of the answer, and only a reset tells that it is broken off.
        """
        self.broken = True
        version = self._codec.their_http_version
        if version is not None and version < b'1.1':
            self._connection.reset()
        else:
            self._connection.abort()

    async def fail(self):
        """Send 500, or break off an answer that has been started."""
        if self.started:
            self.abort()
            return
        # The codec refuses all further events after one that it can't send.
        self._codec = h11.Connection(h11.SERVER)
        self._is_closing = lambda: True
        if self._method == b'HEAD':
            # The new codec doesn't know that the answer has no body.
            await self.send_complete(500, (), b'')
            return
        await self.send_error(500, 'fault')

    @property
    def is_gone(self):
        """Whether the caller has closed the connection.

        One that has only shut down its sending side counts as gone, too: it
        sends the same end of file, and most that send one have left.
        """
        return self._connection.closed

    @property
    def is_reusable(self):
        """Whether the connection can take another request."""
        return not self.broken and self._codec.our_state is h11.DONE

    async def _write(self, data):
        self.started = True
        self._connection.write(data)
        await self._connection.drain()

    def _begin(self, status, headers):
        rows = list(headers)
        if self._is_closing():
            rows.append((b'connection', b'close'))
        elif self._kept and self._codec.their_state is not h11.MUST_CLOSE:
            rows.append(self._kept)
        reason = REASONS.get(status, b'')
        return self._codec.send(
            h11.Response(status_code=status, headers=rows, reason=reason)
        )


async def refuse(connection, error):
    """Answer a request that could not be read; its connection is closed."""
    codec = h11.Connection(h11.SERVER)
    reply = Reply(codec, connection, lambda: True)
    await reply.send_error(
        error.status, error.text, error.retry_after, error.headers
    )
    await discard_rest(connection)


async def discard_rest(connection):
    """Read what the caller still sends, for a limited time.

    A close with unread bytes is a reset, at which the caller may drop the
    answer before it has read it (RFC 9112, 9.6).
    """
    connection.end_sending()
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with timeouts.Timeout(DISCARD_S):
            while await connection.read():
                pass
