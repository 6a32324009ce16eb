"""The response reader bounds what a peer sends and lets other tasks run."""

import asyncio
import itertools

import h11
import pytest

from landingspool import response_reader

INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'
# Parts of a response that are repeated without end: its beginning, the part.
ENDLESS = {
    'interim heads': (b'', INTERIM),
    'long interim heads': (
        b'',
        b'HTTP/1.1 103 X\r\nx: ' + b'x' * 9000 + b'\r\n\r\n',
    ),
    'head': (b'HTTP/1.1 200 OK\r\nx: ', b'x'),
    'header rows': (b'HTTP/1.1 200 OK\r\n', b'x: y\r\n'),
    'junk': (b'', b'\x00\x01'),
    'blank lines': (b'', b'\r\n'),
    'trailers': (CHUNKED + b'0\r\n', b'x: y\r\n'),
    'chunk extension': (CHUNKED + b'1;x=', b'x'),
    'chunk extensions': (CHUNKED, b'1;x=' + b'x' * 9000 + b'\r\nx\r\n'),
    'chunk size': (CHUNKED, b'0'),
}


class Endless:
    """Stands in for a connection that always has bytes to be read."""

    def __init__(self, start, part, read_bytes=256 * 1024):
        self._start = start
        self._piece = part * (read_bytes // len(part) + 1)
        self.read_bytes = 0

    def write(self, data):
        """Drop what is sent."""

    async def read(self):
        """Return many bytes at once, without waiting."""
        data, self._start = self._start + self._piece, b''
        self.read_bytes += len(data)
        return data


class Fixed(Endless):
    """Stands in for a connection that has some bytes and then ends."""

    def __init__(self, data):
        super().__init__(data, b'x')
        self._piece = b''


def open_reader(connection):
    """Return a ResponseReader that has sent a request."""
    reader = response_reader.ResponseReader(connection)
    reader.send('POST', '/a', [('host', 'h'), ('content-length', '0')], b'')
    return reader


async def count_turns(work):
    """Return the turns that another task had until some work ended."""
    task = asyncio.ensure_future(work)
    for turns in itertools.count():
        await asyncio.sleep(0)
        if task.done():
            await task
            return turns


async def read_all(reader, max_bytes=1 << 40):
    """Read a response, however long its body."""
    await reader.read_head()
    return await response_reader.read_body(reader, max_bytes)


@pytest.mark.parametrize('name', ENDLESS)
def test_a_part_without_end_is_given_up(name):
    connection = Endless(*ENDLESS[name])
    reader = open_reader(connection)
    with pytest.raises((response_reader.ResponseError, h11.ProtocolError)):
        asyncio.run(read_all(reader))
    assert connection.read_bytes < 1024 * 1024


@pytest.mark.parametrize('name', ['interim heads', 'head', 'header rows'])
def test_what_comes_before_a_head_is_bounded_by_a_type_of_error(name):
    reader = open_reader(Endless(*ENDLESS[name], read_bytes=100))
    with pytest.raises(response_reader.ResponseTooLong):
        asyncio.run(reader.read_head())


def test_heads_are_bounded_together():
    # Each one is within the bound.
    interim = b'HTTP/1.1 103 X\r\nx: ' + b'x' * 9000 + b'\r\n\r\n'
    data = interim * 4 + b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
    with pytest.raises(response_reader.ResponseTooLong):
        asyncio.run(open_reader(Fixed(data)).read_head())
    kept = data.removeprefix(interim * 2)
    head = asyncio.run(open_reader(Fixed(kept)).read_head())
    assert head.status_code == 200


@pytest.mark.parametrize(
    ('start', 'part'),
    [(CHUNKED, b'1\r\nx\r\n'), (UNFRAMED, b'x' * 9000)],
    ids=['chunks', 'unframed'],
)
def test_other_tasks_run_while_bytes_wait(start, part):
    async def check():
        connection = Endless(start, part)
        reader = open_reader(connection)
        await reader.read_head()
        seen = 0

        async def read():
            nonlocal seen
            while seen < 1024 * 1024:
                seen += len(await reader.read_data())
                if connection.read_bytes > 8 * 1024 * 1024:
                    return

        turns = await count_turns(read())
        steps = connection.read_bytes / response_reader.PIECE_BYTES
        assert turns > steps / response_reader.STEPS_PER_TURN

    asyncio.run(check())


def test_small_chunks_are_read_however_many():
    count = 300_000
    data = CHUNKED + b'1\r\nx\r\n' * count + b'0\r\n\r\n'
    body = asyncio.run(read_all(open_reader(Fixed(data))))
    assert body == b'x' * count


def test_a_body_beyond_the_limit_is_given_up():
    async def check():
        connection = Endless(UNFRAMED, b'x')
        with pytest.raises(response_reader.ResponseTooLong):
            await read_all(open_reader(connection), 100_000)
        assert connection.read_bytes < 600_000

    asyncio.run(check())


def test_a_body_of_the_limit_is_read():
    data = UNFRAMED + b'x' * 100_000
    body = asyncio.run(read_all(open_reader(Fixed(data)), 100_000))
    assert len(body) == 100_000


def test_a_body_that_is_cut_off_is_no_body():
    data = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nx'
    with pytest.raises((response_reader.ResponseError, h11.ProtocolError)):
        asyncio.run(read_all(open_reader(Fixed(data))))


def test_a_connection_takes_another_request():
    async def check():
        answer = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx'
        reader = open_reader(Fixed(INTERIM * 9 + answer))
        assert await read_all(reader) == b'x'
        assert reader.is_complete
        assert not reader.has_unread
        reader.start_next_cycle()
        reader._connection._start = INTERIM * 9 + answer + b'z'
        reader.send('GET', '/a', [('host', 'h')], b'')
        assert await read_all(reader) == b'x'
        assert reader.has_unread

    asyncio.run(check())


def test_another_response_to_the_request_is_read_from_what_is_left():
    async def check():
        answer = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n'
        reader = open_reader(Fixed(answer + b'x' + answer + b'y'))
        assert await read_all(reader) == b'x'
        reader.expect_another()
        assert await read_all(reader) == b'y'
        assert not reader.has_unread

    asyncio.run(check())
