"""What a target may send without end, as behaviours of the stand-in."""

import asyncio

from standins import behaviours

# What has no end, by the name of a behaviour: whether the request is run, the
# lines of a head with which it begins, and the part that is repeated.
OWN = '{id}x-landingspool-response-stamp: s\r\n'
LENGTH = 'content-length: 9999999999\r\n\r\n'
CHUNKED = 'transfer-encoding: chunked\r\n\r\n'
NOT_RUN = 'x-landingspool-not-executed: 1\r\n'
OTHER = 'x-landingspool-request-id: another\r\n'
ENDLESS = {
    'interim heads': (True, '', 'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'head': (True, 'HTTP/1.1 200 OK\r\nx: ', 'x'),
    'header rows': (True, 'HTTP/1.1 200 OK\r\n', 'x: y\r\n'),
    'junk': (True, '', 'what is this '),
    'failure': (True, f'HTTP/1.1 500 X\r\n{OWN}{LENGTH}', 'x'),
    'failure in chunks': (
        True,
        f'HTTP/1.1 500 X\r\n{OWN}{CHUNKED}',
        '1\r\nx\r\n',
    ),
    'unframed failure': (True, f'HTTP/1.1 500 X\r\n{OWN}\r\n', 'x'),
    'client error': (True, f'HTTP/1.1 400 X\r\n{OWN}{LENGTH}', 'x'),
    'rejection': (False, f'HTTP/1.1 503 X\r\n{OWN}{NOT_RUN}{LENGTH}', 'x'),
    'other answer': (True, f'HTTP/1.1 200 OK\r\n{OTHER}{LENGTH}', 'x'),
    'other answers': (
        True,
        '',
        f'HTTP/1.1 200 OK\r\n{OTHER}content-length: 0\r\n\r\n',
    ),
    'trailers': (
        True,
        f'HTTP/1.1 200 OK\r\n{OWN}{CHUNKED}0\r\n',
        'x: y\r\n',
    ),
    'chunk extension': (
        True,
        f'HTTP/1.1 200 OK\r\n{OWN}{CHUNKED}1;x=',
        'x',
    ),
    'chunk extensions': (
        True,
        f'HTTP/1.1 200 OK\r\n{OWN}{CHUNKED}',
        f'1;x={"x" * 999}\r\nx\r\n',
    ),
    'event': (
        True,
        f'HTTP/1.1 200 OK\r\n{OWN}{CHUNKED}',
        '1\r\nx\r\n',
    ),
    'comments': (
        True,
        f'HTTP/1.1 200 OK\r\n{OWN}{CHUNKED}',
        '4\r\n: k\n\r\n',
    ),
    'success': (True, f'HTTP/1.1 200 OK\r\n{OWN}{LENGTH}', 'x'),
}
# Seconds between the parts of an answer that is sent slowly.
SLOW_PART_S = 0.05
# Bytes written at once.
PART_BYTES = 64 * 1024


def register(name, is_run, start, part, pause_s):
    """Register an answer of which a part is repeated without end."""

    async def answer(runner, head, body, reader, writer):
        if is_run:
            runner.run(head, body)
        own = behaviours.write_id(head).decode()
        writer.write(start.format(id=own).encode())
        try:
            while True:
                writer.write(part)
                runner.endless_bytes += len(part)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except ConnectionError:
            runner.cancelled += 1
        return True

    behaviours.behaviour(name)(answer)


def register_all():
    """Register each row of ENDLESS, at full speed and slowly."""
    for name, (is_run, start, text) in ENDLESS.items():
        part = text.encode()
        parts = part * (PART_BYTES // len(part))
        register(f'{name} without end', is_run, start, parts, 0)
        register(f'{name} slowly', is_run, start, part, SLOW_PART_S)


register_all()
