"""Read requests of callers strictly, against request smuggling.

h11 accepts some heads that other servers interpret differently: bare line
feeds, folded lines, a length beside chunks.  A request that two servers
interpret in two ways can carry a second one past the first server.  Such
requests are refused before h11 reads them.
"""

import asyncio
import contextlib
import re

import h11

from landingspool import bodies
from landingspool import framing
from landingspool.gateway import intake
from landingspool import http
from landingspool import timeouts

HEAD_END = b'\r\n\r\n'
# A line feed without a carriage return, or the reverse.
BARE_LINE_END = re.compile(rb'(?<!\r)\n|\r(?!\n)')
FOLDED_LINE = re.compile(rb'\r\n[ \t]')
# Bytes taken from the connection at once.
PIECE_BYTES = 64 * 1024
DIGITS = re.compile(rb'[0-9]{1,18}')
CONTENT_LENGTHS = re.compile(rb'\r\ncontent-length[ \t]*:([^\r\n]*)', re.I)
TRANSFER_CODINGS = re.compile(rb'\r\ntransfer-encoding[ \t]*:([^\r\n]*)', re.I)


async def read_head(connection, max_bytes):
    """Read the bytes of one request head.

    Parameters
    ----------
    connection : connection.Connection
    max_bytes : int
        Size limit of the head.

    Returns
    -------
    bytes or None
        None if the peer closed the connection before a head began.

    Raises
    ------
    http.BadRequest
        With 400 for a head that was cut off, 431 for one that is too large.
    """
    received = bytearray()
    while True:
        data = await connection.read(PIECE_BYTES)
        if not data:
            if received.strip():
                raise http.BadRequest(400, 'the head was cut off')
            return None
        received += data
        end = received.find(HEAD_END)
        if end > max_bytes or (end < 0 and len(received) > max_bytes):
            raise http.BadRequest(431, f'head over {max_bytes} bytes')
        if end >= 0:
            connection.push_back(bytes(received[end + len(HEAD_END) :]))
            return bytes(received[: end + len(HEAD_END)])


def parse_head(data):
    """Parse the bytes of one request head.

    Returns
    -------
    tuple of (h11.Connection, h11.Request)

    Raises
    ------
    http.BadRequest

    >>> parse_head(b'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n')[1].target
    b'/'
    >>> parse_head(b'GET / HTTP/1.1\\nHost: a\\r\\n\\r\\n')
    Traceback (most recent call last):
    landingspool.http.BadRequest: a bare line end
    """
    lines = data[: -len(HEAD_END)]
    if BARE_LINE_END.search(lines):
        raise http.BadRequest(400, 'a bare line end')
    if FOLDED_LINE.search(data):
        raise http.BadRequest(400, 'a folded line')
    codec = h11.Connection(h11.SERVER, len(data) + 1)
    try:
        codec.receive_data(data)
        request = codec.next_event()
    except h11.RemoteProtocolError as error:
        raise http.BadRequest(400, str(error)) from error
    if not isinstance(request, h11.Request):
        raise http.BadRequest(400, 'no request')
    check_framing(data, request.http_version)
    return codec, request


def check_framing(data, version):
    """Refuse a head that doesn't frame its body in exactly one way.

    The bytes are checked, since h11 merges repeated Content-Length headers.

    Raises
    ------
    http.BadRequest
        With 400.
    """
    lengths = [value.strip() for value in CONTENT_LENGTHS.findall(data)]
    codings = [
        value.strip().lower() for value in TRANSFER_CODINGS.findall(data)
    ]
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        raise http.BadRequest(400, 'more than one framing')
    if lengths and not DIGITS.fullmatch(lengths[0]):
        raise http.BadRequest(400, 'a length that is no number')
    if codings and codings[0] != b'chunked':
        raise http.BadRequest(400, 'an unknown transfer coding')
    if codings and version != b'1.1':
        raise http.BadRequest(400, 'chunks before HTTP/1.1')


def find_length(request):
    """Return the length that a head announces for its body.

    Parameters
    ----------
    request : h11.Request

    Returns
    -------
    int or None
        None for a body in chunks.
    """
    found = dict(request.headers)
    if b'transfer-encoding' in found:
        return None
    return int(found.get(b'content-length', 0))


async def read_body(connection, codec, length, max_bytes, lease, body):
    """Read the body that the head announced.

    Parameters
    ----------
    connection : connection.Connection
    codec : h11.Connection
    length : int or None
        Announced length.
    max_bytes : int
        Size limit of the body.
    lease : intake.Lease
        From which room is taken before the body is read.
    body : bodies.Body
        To which it is appended.

    Raises
    ------
    http.BadRequest
        With 413 for a body of more than `max_bytes` bytes, 400 for one that
        can't be read or has too much framing, and as by intake.Lease.take.
    """
    if length is not None and length > max_bytes:
        raise http.BadRequest(413, f'body over {max_bytes} bytes')
    await lease.take(intake.GRAIN_BYTES if length is None else length)
    if codec.they_are_waiting_for_100_continue:
        connection.write(
            codec.send(h11.InformationalResponse(status_code=100, headers=[]))
        )
    meter = framing.Meter()
    while True:
        try:
            event = codec.next_event()
            await meter.count_event(event)
        except (h11.RemoteProtocolError, framing.FramingTooLong) as error:
            raise http.BadRequest(400, str(error)) from error
        if event is h11.NEED_DATA:
            data = await connection.read(PIECE_BYTES)
            meter.count_received(data)
            codec.receive_data(data)
        elif isinstance(event, h11.Data):
            size = len(event.data)
            if len(body) + size > max_bytes:
                raise http.BadRequest(413, f'body over {max_bytes} bytes')
            if len(body) + size > lease.held:
                await lease.take(max(size, intake.GRAIN_BYTES))
            body.append(event.data)
            lease.receive(size)
        elif isinstance(event, h11.EndOfMessage):
            connection.push_back(codec.trailing_data[0])
            lease.settle(len(body))
            return
        else:
            raise http.BadRequest(400, 'the request ended too early')


async def wait_for_request(connection, get_limit_s):
    """Wait for the first byte of a request, up to the idle time-out.

    Parameters
    ----------
    connection : connection.Connection
    get_limit_s : callable
        Returns the time-out in force, seconds from the beginning of the wait.

    Returns
    -------
    bool
        Whether it has come, before the end of the connection or the time-out.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    left_s = get_limit_s()
    # A byte may arrive between the time-out and its effect on this task.
    while left_s > 0 or not connection.is_at_rest:
        with contextlib.suppress(TimeoutError):
            async with timeouts.Timeout(left_s):
                first = await connection.read()
            connection.push_back(first)
            return bool(first)
        left_s = began + get_limit_s() - loop.time()
    return False


async def read_request(connection, limits, open_lease):
    """Read one complete request within the time limits for callers.

    The head and the body are limited by the header time-out, each by itself.

    Parameters
    ----------
    connection : connection.Connection
    limits : routes.Limits
    open_lease : callable
        ``open_lease(request)`` returns the intake.Lease of a request.

    Returns
    -------
    tuple of (h11.Connection, h11.Request, bodies.Body) or None
        None if the connection was closed before a head began.

    Raises
    ------
    http.BadRequest
    """
    # A caller may send requests without waiting for the answers.
    await asyncio.sleep(0)
    try:
        async with timeouts.Timeout(limits.header_s):
            data = await read_head(connection, limits.header_bytes)
        if data is None:
            return None
        codec, request = parse_head(data)
        lease = open_lease(request)
        body = bodies.Body(lease.free)
        try:
            async with timeouts.Timeout(limits.header_s):
                await read_body(
                    connection,
                    codec,
                    find_length(request),
                    limits.body_bytes,
                    lease,
                    body,
                )
        except BaseException as error:
            body.close()
            lease.close()
            # What the caller still sends can be read and dropped.
            connection.interrupt(None)
            if isinstance(error, http.BadRequest) and error.status == 503:
                error.headers = lease.describe_refusal(error.text)
            raise
    except TimeoutError:
        raise http.BadRequest(408, 'the request took too long') from None
    return codec, request, body
