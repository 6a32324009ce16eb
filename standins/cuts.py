"""Answers that a target ends early: in the head, the framing or the body.

An answer is a list of pieces, and it may end after each of them.  The target
then closes the connection, in order or by a reset.
"""

import asyncio
import socket
import typing

from landingspool import connection
from standins import behaviours

# How an answer is framed: its version, the rows of its head in their order,
# and whether it has chunks.  The version 1.0 ends each connection.
FRAMINGS = {
    'length first': ('1.1', ('length', 'id', 'stamp')),
    'length last': ('1.1', ('id', 'stamp', 'length')),
    'chunks': ('1.1', ('chunked', 'id', 'stamp')),
    'no length': ('1.1', ('id', 'stamp')),
    '1.0, length': ('1.0', ('id', 'stamp', 'length')),
    '1.0, no length': ('1.0', ('id', 'stamp')),
}
# Framings whose body ends with the connection.
UNFRAMED = frozenset(('no length', '1.0, no length'))
ENDS = 'close', 'reset'
BODY = b'done'


class Piece(typing.NamedTuple):
    """A part of an answer.

    Attributes
    ----------
    place : str
        Where an answer ends of which it is the last piece.
    data : bytes
    body : bytes
        What of the body is in it.
    """

    place: str
    data: bytes
    body: bytes = b''


class Cut(typing.NamedTuple):
    """An answer that ends after one of its pieces."""

    framing: str
    pieces: tuple
    is_last: bool

    @property
    def place(self):
        """Where it ends."""
        return self.pieces[-1].place

    @property
    def data(self):
        """The bytes that are sent."""
        return b''.join(piece.data for piece in self.pieces)

    @property
    def body(self):
        """What of the body is sent."""
        return b''.join(piece.body for piece in self.pieces)

    def is_whole(self, end):
        """Return whether it is framed as whole.

        An answer without a length has no other end than an orderly close.
        """
        if self.framing not in UNFRAMED:
            return self.is_last
        has_head = any(piece.place == 'head' for piece in self.pieces)
        return has_head and end == 'close'


def list_cuts(framing, name, parts, extra=(), status=200):
    """List an answer with each of its ends, the last one whole.

    Parameters
    ----------
    framing : str
        Of FRAMINGS.
    name : str
        Id of the request.
    parts : sequence of bytes
        Parts of the body.
    extra : sequence of str, optional
        Further rows of the head.
    status : int, optional
    """
    version, kinds = FRAMINGS[framing]
    rows = {
        'id': f'x-landingspool-request-id: {name}',
        'stamp': 'x-landingspool-response-stamp: stamp',
        'length': f'content-length: {sum(map(len, parts))}',
        'chunked': 'transfer-encoding: chunked',
    }
    lines = (*extra, *(rows[kind] for kind in kinds))
    pieces = split_head(f'HTTP/{version} {status}', lines)
    if 'chunked' in kinds:
        pieces += split_chunks(parts)
    else:
        pieces += [Piece('body', part, part) for part in parts]
    return [
        Cut(framing, tuple(pieces[:end]), end == len(pieces))
        for end in range(len(pieces) + 1)
        if end
    ]


def split_head(start, rows):
    """Split a head into pieces; `start` is its version and status."""
    pieces = [
        Piece('status line', start[:-2].encode()),
        Piece('end of the status line', f'{start[-2:]} OK'.encode()),
        Piece('no row', b'\r\n'),
    ]
    for row in rows:
        name, _, value = row.partition(': ')
        pieces += [
            Piece('name of a row', name[:-2].encode()),
            Piece('value of a row', f'{name[-2:]}: {value[:-1]}'.encode()),
            Piece('end of a row', value[-1:].encode()),
            Piece('rows', b'\r\n'),
        ]
    return [*pieces, Piece('empty line', b'\r'), Piece('head', b'\n')]


def split_chunks(parts):
    """Split a body in chunks, and its trailers, into pieces."""
    pieces = []
    for part in parts:
        pieces += [
            Piece('size of a chunk', f'0{len(part):x}'.encode()),
            Piece('size line of a chunk', b'\r\n'),
            Piece('data of a chunk', part[:1], part[:1]),
            Piece('end of a chunk', part[1:], part[1:]),
            Piece('chunks', b'\r\n'),
        ]
    return [
        *pieces,
        Piece('size of the last chunk', b'0'),
        Piece('last chunk', b'\r\n'),
        Piece('trailers', b'x-trailer: 1'),
        Piece('end of the trailers', b'\r\n'),
        Piece('last line', b'\r'),
        Piece('whole', b'\n'),
    ]


def split_events(runner):
    """Split a stream of four events into parts, some of which end in one."""
    first, *others = (behaviours.make_event(runner, n) for n in range(1, 5))
    last = others.pop()
    return [first[:9], first[9:-1], first[-1:], *others, last[:-1], last[-1:]]


async def end_connection(writer, end):
    """Close a connection in order, or reset it, after what was written."""
    await writer.drain()
    if end == 'reset':
        # What was written has reached the peer's kernel by then.
        await asyncio.sleep(0)
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, connection.NO_LINGER
        )
    writer.close()


def register(name, data, end):
    """Register a behaviour that runs the request and sends some bytes."""

    async def answer(runner, head, body, reader, writer):
        runner.run(head, body)
        writer.write(data)
        await end_connection(writer, end)
        return True

    behaviours.behaviour(name)(answer)
