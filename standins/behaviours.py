"""How a stand-in for a target answers: one function for each behaviour.

Each gets the target, the request's head and body and the two ends of its
connection, and tells whether the connection has ended by it.
"""

import asyncio

BEHAVIOURS = {}
# An event that does not end is made of so many parts of so many bytes.
ENDLESS_PARTS = 40
ENDLESS_BYTES = 64 * 1024
# Seconds for which a request that ends its target is run.
FATAL_S = 0.05
# Seconds for which a target that is sound falls silent.
SILENCE_S = 1.3
# Seconds after which a late behaviour is shown, longer than attempts.ACCEPT_S.
LATE_S = 0.4
# Size of an answer that is forwarded before its end has come, and of the part
# that comes.
LONG_BYTES = 600 * 1024
PART_BYTES = 400 * 1024


def behaviour(name):
    """Register how a request is answered."""

    def add(function):
        BEHAVIOURS[name] = function
        return function

    return add


def get_id(head):
    """Give the caller's id of a request."""
    return head['x-landingspool-request-id']


def write_id(head):
    """Give the line of a head that echoes the caller's id of a request."""
    return f'x-landingspool-request-id: {get_id(head)}\r\n'.encode()


def write_answer(runner, head, writer, status, body, *rows, stamp=True):
    """Write a whole framed answer."""
    writer.write(make_answer(runner, head, status, body, *rows, stamp=stamp))


def make_answer(runner, head, status, body, *rows, stamp=True):
    """Give the bytes of a whole framed answer."""
    lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}', *rows]
    lines.append(f'x-landingspool-request-id: {get_id(head)}')
    if stamp:
        lines.append(f'x-landingspool-response-stamp: stamp-{runner.name}')
    rows = '\r\n'.join(lines).encode() + b'\r\n' + runner.say(head)
    return rows + b'\r\n' + body


def make_shed(runner, head):
    """Give the bytes of a refusal without a run."""
    return (
        b'HTTP/1.1 503 X\r\nx-landingspool-not-executed: 1\r\n'
        b'content-length: 0\r\n'
        + write_id(head)
        + runner.say(head)
        + runner.ask_rest(head)
        + b'\r\n'
    )


def write_unframed(head, writer, body):
    """Write an answer that only the end of the connection ends."""
    writer.write(
        b'HTTP/1.1 200 OK\r\nx-landingspool-response-stamp: s\r\n'
        + f'x-landingspool-request-id: {get_id(head)}'.encode()
        + b'\r\n\r\n'
        + body
    )


def write_chunk(writer, data):
    """Write one chunk."""
    writer.write(f'{len(data):x}\r\n'.encode() + data + b'\r\n')


def start_stream(runner, head, writer):
    """Write the head of a stream of events."""
    writer.write(
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n'
        b'content-type: text/event-stream\r\n'
        + f'x-landingspool-request-id: {get_id(head)}\r\n'
        f'x-landingspool-response-stamp: stamp-{runner.name}\r\n'
        f'versions: {runner.version}\r\n'.encode()
        + runner.say(head)
        + b'\r\n'
    )


def list_events(runner, head):
    """List the events of a stream that a caller does not have yet."""
    events = [make_event(runner, number) for number in range(1, 5)]
    return events[int(head.get('last-event-id', 0)) :]


def make_event(runner, number):
    """Give one event of a stream, which names the software that made it."""
    text = f'id: {number}\ndata: piece {number}\n: by {runner.software}\n\n'
    return text.encode()


@behaviour('whole')
async def answer_whole(runner, head, body, reader, writer):
    """Run, and answer whole."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, b'done')


@behaviour('kept')
async def answer_kept(runner, head, body, reader, writer):
    """Run, answer whole, and keep the connection for long."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, b'done', 'keep-alive: timeout=9')


@behaviour('failure')
async def answer_failure(runner, head, body, reader, writer):
    """Run, and answer with a failure."""
    runner.run(head, body)
    write_answer(runner, head, writer, 500, b'oops')


@behaviour('shed')
async def answer_shed(runner, head, body, reader, writer):
    """Refuse without running."""
    writer.write(make_shed(runner, head))


@behaviour('loading')
async def answer_loading(runner, head, body, reader, writer):
    """Refuse without running, while new weights are loaded."""
    writer.write(
        b'HTTP/1.1 503 X\r\nx-landingspool-not-executed: 1\r\n'
        b'content-length: 0\r\n' + write_id(head) + runner.say(head) + b'\r\n'
    )


@behaviour('overrun')
async def answer_overrun(runner, head, body, reader, writer):
    """Run, fail for want of room, and ask for rest."""
    runner.run(head, body)
    write_answer(runner, head, writer, 503, b'', f'retry-after: {runner.rest}')


@behaviour('misdirected')
async def answer_misdirected(runner, head, body, reader, writer):
    """Refuse what is meant for another target."""
    writer.write(
        b'HTTP/1.1 421 X\r\ncontent-length: 0\r\n'
        + write_id(head)
        + f'x-landingspool-instance-id: {runner.name}\r\n\r\n'.encode()
    )


@behaviour('unstamped')
async def answer_unstamped(runner, head, body, reader, writer):
    """Answer without the proof that the target made it."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, b'done', stamp=False)


@behaviour('coded')
async def answer_coded(runner, head, body, reader, writer):
    """Answer with another body than the target's own."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, b'zz', 'content-encoding: gzip')


@behaviour('foreign')
async def answer_foreign(runner, head, body, reader, writer):
    """Answer with what belongs to another request."""
    runner.run(head, body)
    other = {**head, 'x-landingspool-request-id': 'another'}
    write_answer(runner, other, writer, 200, b'not yours')


@behaviour('surplus')
async def answer_surplus(runner, head, body, reader, writer):
    """Answer twice."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, b'done')
    write_answer(runner, head, writer, 200, b'done')


@behaviour('nonsense')
async def answer_nonsense(runner, head, body, reader, writer):
    """Send what is no answer."""
    runner.run(head, body)
    writer.write(b'what is this\r\n\r\n')
    return True


@behaviour('unframed')
async def answer_unframed(runner, head, body, reader, writer):
    """Answer without a length, ended by an orderly close."""
    runner.run(head, body)
    write_unframed(head, writer, b'done')
    await writer.drain()
    return True


@behaviour('reset')
async def answer_reset(runner, head, body, reader, writer):
    """Run, and reset the connection within the answer."""
    runner.run(head, body)
    writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n')
    writer.write(
        f'x-landingspool-request-id: {get_id(head)}\r\n'
        'x-landingspool-response-stamp: s\r\n\r\npart'.encode()
    )
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()
    return True


@behaviour('closed')
async def answer_closed(runner, head, body, reader, writer):
    """Run, and close without an answer."""
    runner.run(head, body)
    return True


@behaviour('silent')
async def answer_silent(runner, head, body, reader, writer):
    """Run, and say nothing until the caller leaves."""
    runner.run(head, body)
    try:
        if not await reader.read(1):
            runner.cancelled += 1
    except ConnectionResetError:
        runner.cancelled += 1
    return True


@behaviour('stream')
async def answer_stream(runner, head, body, reader, writer):
    """Stream four events, from after the last one that the caller has."""
    runner.run(head, body)
    start_stream(runner, head, writer)
    for event in list_events(runner, head):
        write_chunk(writer, event)
        await asyncio.sleep(0.01)
    writer.write(b'0\r\n\r\n')


@behaviour('queued stream')
async def answer_queued(runner, head, body, reader, writer):
    """Stream after a wait, unless the caller has left before the run."""
    try:
        async with asyncio.timeout(runner.queue_s):
            await reader.read(1)
    except TimeoutError:
        return await answer_stream(runner, head, body, reader, writer)
    except ConnectionResetError:
        pass
    runner.cancelled += 1
    return True


@behaviour('broken stream')
async def answer_broken(runner, head, body, reader, writer):
    """Stream two events and half of the next, then reset."""
    runner.run(head, body)
    start_stream(runner, head, writer)
    events = list_events(runner, head)
    for event in events[:2]:
        write_chunk(writer, event)
    for event in events[2:3]:
        write_chunk(writer, event[:9])
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()
    return True


@behaviour('endless event')
async def answer_endless(runner, head, body, reader, writer):
    """Stream one event, and then one that does not end."""
    runner.run(head, body)
    start_stream(runner, head, writer)
    write_chunk(writer, make_event(runner, 1))
    for _ in range(ENDLESS_PARTS):
        write_chunk(writer, b'x' * ENDLESS_BYTES)
        await writer.drain()


@behaviour('fatal')
async def answer_fatal(runner, head, body, reader, writer):
    """Begin to run, and end the whole target by it."""
    runner.run(head, body)
    await asyncio.sleep(FATAL_S)
    runner.end()
    return True


@behaviour('half event')
async def answer_half(runner, head, body, reader, writer):
    """Stream one event and a half, and end in order."""
    runner.run(head, body)
    start_stream(runner, head, writer)
    events = list_events(runner, head)
    for event in events[:1]:
        write_chunk(writer, event)
    for event in events[1:2]:
        write_chunk(writer, event[:9])
    writer.write(b'0\r\n\r\n')


@behaviour('unframed stream')
async def answer_unframed_stream(runner, head, body, reader, writer):
    """Stream four events that only the end of the connection ends."""
    runner.run(head, body)
    write_unframed(head, writer, b''.join(list_events(runner, head)))
    await writer.drain()
    return True


@behaviour('unframed half event')
async def answer_unframed_half(runner, head, body, reader, writer):
    """Stream one event and a half, and close in order."""
    runner.run(head, body)
    events = list_events(runner, head)
    data = b''.join(events[:1]) + b''.join(events[1:2])[:9]
    write_unframed(head, writer, data)
    await writer.drain()
    return True


@behaviour('slow')
async def answer_slow(runner, head, body, reader, writer):
    """Run, and answer whole after a while."""
    runner.run(head, body)
    await asyncio.sleep(0.6)
    write_answer(runner, head, writer, 200, b'done')


@behaviour('late')
async def answer_late(runner, head, body, reader, writer):
    """Run, fall silent, and answer whole."""
    runner.run(head, body)
    await asyncio.sleep(SILENCE_S)
    write_answer(runner, head, writer, 200, b'done')


@behaviour('slow stream')
async def answer_slow_stream(runner, head, body, reader, writer):
    """Stream four events after a while."""
    runner.run(head, body)
    await asyncio.sleep(0.6)
    start_stream(runner, head, writer)
    for event in list_events(runner, head):
        write_chunk(writer, event)
    writer.write(b'0\r\n\r\n')


@behaviour('paused stream')
async def answer_paused(runner, head, body, reader, writer):
    """Stream four events, and fall silent after the second."""
    runner.run(head, body)
    start_stream(runner, head, writer)
    events = list_events(runner, head)
    for event in events[:2]:
        write_chunk(writer, event)
    await asyncio.sleep(SILENCE_S)
    for event in events[2:]:
        write_chunk(writer, event)
    writer.write(b'0\r\n\r\n')


@behaviour('echo')
async def answer_echo(runner, head, body, reader, writer):
    """Run, and answer with the caller's id."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, get_id(head).encode())


@behaviour('slow echo')
async def answer_slow_echo(runner, head, body, reader, writer):
    """Run, and answer with the caller's id after a while."""
    runner.run(head, body)
    await asyncio.sleep(0.4)
    write_answer(runner, head, writer, 200, get_id(head).encode())


@behaviour('unframed echo')
async def answer_unframed_echo(runner, head, body, reader, writer):
    """Answer with the caller's id, ended by an orderly close."""
    runner.run(head, body)
    write_unframed(head, writer, get_id(head).encode())
    await writer.drain()
    return True


@behaviour('surplus echo')
async def answer_surplus_echo(runner, head, body, reader, writer):
    """Answer twice with the caller's id."""
    runner.run(head, body)
    write_answer(runner, head, writer, 200, get_id(head).encode())
    write_answer(runner, head, writer, 200, get_id(head).encode())


def register_surplus(name, make, is_run):
    """Register an answer that is sent twice, the second time at each time.

    Parameters
    ----------
    make : callable
        ``make(runner, head)`` gives the bytes of the answer.
    is_run : bool
        Whether the request is run.
    """
    for when in SURPLUS_TIMES:

        async def answer(runner, head, body, reader, writer, when=when):
            if is_run:
                runner.run(head, body)
            data = make(runner, head)
            writer.write(data)
            runner.send_surplus(writer, data, when)

        behaviour(f'{name}, again {when}')(answer)


def make_echo(runner, head):
    """Give the bytes of an answer with the caller's id."""
    return make_answer(runner, head, 200, get_id(head).encode())


# When a target sends an answer once more: in the same piece, shortly after it,
# and in the place of the next one on the connection.
SURPLUS_TIMES = 'at once', 'soon', 'late'
register_surplus('echo', make_echo, True)
register_surplus('shed', make_shed, False)


@behaviour('long answer broken off')
async def answer_long_broken(runner, head, body, reader, writer):
    """Run, and close within an answer that is forwarded as it comes."""
    runner.run(head, body)
    whole = make_answer(runner, head, 200, b'x' * LONG_BYTES)
    writer.write(whole[:PART_BYTES])
    await writer.drain()
    await asyncio.sleep(0.2)
    writer.transport.abort()
    return True


def register_late(prefix, name, seconds):
    """Register a behaviour that is shown after some seconds."""

    @behaviour(f'{prefix} {name}')
    async def answer(runner, head, body, reader, writer):
        await asyncio.sleep(seconds)
        return await BEHAVIOURS[name](runner, head, body, reader, writer)


for late in ('shed', 'failure', 'closed', 'stream', 'nonsense'):
    register_late('late', late, LATE_S)
for late in ('shed', 'failure', 'closed'):
    register_late('silent and', late, SILENCE_S)
