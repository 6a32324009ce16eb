"""Reads requests strictly: one framing each, or none is served.

h11 accepts some heads that other servers read otherwise: bare line feeds,
folded lines, a length beside chunks.  A request that two servers may read
in two ways can smuggle another one past the first, so those are refused
before h11 sees them.
"""

import re

import h11

from landingspool import http
from landingspool import timeouts

END = b'\r\n\r\n'
# A line feed without a carriage return, or the reverse.
BARE = re.compile(rb'(?<!\r)\n|\r(?!\n)')
FOLDED = re.compile(rb'\r\n[ \t]')
DIGITS = re.compile(rb'[0-9]{1,18}')
LENGTHS = re.compile(rb'\r\ncontent-length[ \t]*:([^\r\n]*)', re.I)
CODINGS = re.compile(rb'\r\ntransfer-encoding[ \t]*:([^\r\n]*)', re.I)


async def read_head(wire, most):
    """Read the bytes of one head.

    Parameters
    ----------
    wire : wire.Wire
    most : int
        Bytes that it may have.

    Returns
    -------
    bytes or None
        None where the peer ended before it began one.

    Raises
    ------
    http.BadRequest
    """
    held = bytearray()
    while True:
        data = await wire.read()
        if not data:
            if held.strip():
                raise http.BadRequest(400, 'the head was cut off')
            return None
        held += data
        end = held.find(END)
        if end > most or (end < 0 and len(held) > most):
            raise http.BadRequest(431, f'head over {most} bytes')
        if end >= 0:
            wire.unread(bytes(held[end + len(END) :]))
            return bytes(held[: end + len(END)])


def parse_head(data):
    """Parse the bytes of one head.

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
    lines = data[: -len(END)]
    if BARE.search(lines):
        raise http.BadRequest(400, 'a bare line end')
    if FOLDED.search(data):
        raise http.BadRequest(400, 'a folded line')
    conn = h11.Connection(h11.SERVER, len(data) + 1)
    try:
        conn.receive_data(data)
        request = conn.next_event()
    except h11.RemoteProtocolError as error:
        raise http.BadRequest(400, str(error)) from error
    if not isinstance(request, h11.Request):
        raise http.BadRequest(400, 'no request')
    check_framing(data, request.http_version)
    return conn, request


def check_framing(data, version):
    """Refuse a head that doesn't say in exactly one way how it ends.

    It looks at the bytes, since h11 folds repeated lengths into one.
    """
    lengths = [value.strip() for value in LENGTHS.findall(data)]
    codings = [value.strip().lower() for value in CODINGS.findall(data)]
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        raise http.BadRequest(400, 'more than one framing')
    if lengths and not DIGITS.fullmatch(lengths[0]):
        raise http.BadRequest(400, 'a length that is no number')
    if codings and codings[0] != b'chunked':
        raise http.BadRequest(400, 'an unknown transfer coding')
    if codings and version != b'1.1':
        raise http.BadRequest(400, 'chunks before HTTP/1.1')


async def read_body(wire, conn, most):
    """Read the body that the head announced.

    Raises
    ------
    http.BadRequest
        With 413 for one over `most` bytes.
    """
    body = bytearray()
    if conn.they_are_waiting_for_100_continue:
        wire.write(
            conn.send(h11.InformationalResponse(status_code=100, headers=[]))
        )
    while True:
        try:
            event = conn.next_event()
        except h11.RemoteProtocolError as error:
            raise http.BadRequest(400, str(error)) from error
        if event is h11.NEED_DATA:
            conn.receive_data(await wire.read())
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > most:
                raise http.BadRequest(413, f'body over {most} bytes')
        elif isinstance(event, h11.EndOfMessage):
            wire.unread(conn.trailing_data[0])
            return bytes(body)
        else:
            raise http.BadRequest(400, 'the request ended too early')


async def read_request(wire, limits):
    """Read one whole request in the time that a caller has.

    The wait for its first byte is bound by the idle time, the rest by the
    time for a head, which the body gets once more.

    Returns
    -------
    tuple of (h11.Connection, h11.Request, bytes), or None at the end

    Raises
    ------
    http.BadRequest
    """
    try:
        async with timeouts.Timeout(limits.idle_s):
            first = await wire.read()
    except TimeoutError:
        return None
    if not first:
        return None
    wire.unread(first)
    try:
        async with timeouts.Timeout(limits.header_s):
            data = await read_head(wire, limits.header_bytes)
        if data is None:
            return None
        conn, request = parse_head(data)
        async with timeouts.Timeout(limits.header_s):
            body = await read_body(wire, conn, limits.body_bytes)
    except TimeoutError:
        raise http.BadRequest(408, 'the request took too long') from None
    return conn, request, body
