"""Holds bodies of requests so that their memory returns to the system.

The allocator keeps the blocks of large bodies for later use, since smaller
ones lie between them.  A large body is held in segments instead, each of
which is a mapping of its own.
"""

import mmap

# Bytes up to which a body is held in one block of the heap.
INLINE_BYTES = 64 * 1024
SEGMENT_BYTES = 256 * 1024
# Bytes that are handed on at once.
PIECE_BYTES = 64 * 1024


class Taken(Exception):
    """A body was read again after it had been handed on for good."""


class Body:
    """The body of one request.

    Parameters
    ----------
    on_freed : callable, optional
        ``on_freed(size)`` is called for bytes that are no longer held.
    """

    def __init__(self, on_freed=None):
        self._on_freed = on_freed
        self._inline = bytearray()
        self._segments = []
        # Bytes of the last segment that are in use.
        self._filled = SEGMENT_BYTES
        self._size = 0
        self._is_taken = False

    def __len__(self):
        """Return the number of bytes, also after the body was handed on."""
        return self._size

    def append(self, data):
        """Add bytes at the end."""
        self._size += len(data)
        if self._size <= INLINE_BYTES:
            self._inline += data
            return
        if self._inline:
            inline, self._inline = self._inline, bytearray()
            self._fill(memoryview(inline))
        self._fill(memoryview(data))

    def read_pieces(self):
        """Yield the bytes in order, in pieces.

        Raises
        ------
        Taken
        """
        self._check()
        for segment, size in self._list_segments():
            yield from cut(segment, size)

    def take_pieces(self):
        """Yield the bytes in order, and free them as they are handed on.

        Raises
        ------
        Taken
        """
        self._check()
        self._is_taken = True
        segments = self._list_segments()
        self._segments.clear()
        self._inline = bytearray()
        segments.reverse()
        try:
            while segments:
                segment, size = segments.pop()
                try:
                    yield from cut(segment, size)
                finally:
                    del segment
                    self._free(size)
        finally:
            self._free(sum(size for _, size in segments))

    def close(self):
        """Free what is still held."""
        if self._is_taken:
            return
        self._is_taken = True
        held = self._size
        self._segments.clear()
        self._inline = bytearray()
        self._free(held)

    def _check(self):
        if self._is_taken:
            raise Taken('the body was handed on before')

    def _free(self, size):
        if size and self._on_freed is not None:
            self._on_freed(size)

    def _list_segments(self):
        """Return the blocks in order, each with its bytes in use."""
        if not self._segments:
            return [(self._inline, self._size)] if self._size else []
        rows = [(segment, SEGMENT_BYTES) for segment in self._segments]
        rows[-1] = rows[-1][0], self._filled
        return rows

    def _fill(self, data):
        while data:
            if self._filled == SEGMENT_BYTES:
                self._segments.append(map_segment())
                self._filled = 0
            size = min(len(data), SEGMENT_BYTES - self._filled)
            end = self._filled + size
            self._segments[-1][self._filled : end] = data[:size]
            self._filled = end
            data = data[size:]


def map_segment():
    """Return memory of SEGMENT_BYTES bytes that is the process's own."""
    return mmap.mmap(
        -1, SEGMENT_BYTES, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
    )


def cut(block, size):
    """Yield the first `size` bytes of a block in pieces."""
    view = memoryview(block)
    for start in range(0, size, PIECE_BYTES):
        yield view[start : min(start + PIECE_BYTES, size)]


def list_pieces(body, is_last=False):
    """Return an iterator of the pieces of a Body, or of bytes, in order.

    Parameters
    ----------
    is_last : bool, optional
        Whether the body is freed on the way.
    """
    if not isinstance(body, Body):
        return iter((body,))
    return body.take_pieces() if is_last else body.read_pieces()


def join(body):
    """Return a short body as bytes."""
    return b''.join(list_pieces(body))
