"""Bytes that a target sends beyond its answers belong to no request."""

import asyncio
import random
import types

import h11
import hypothesis
from hypothesis import strategies
import pytest

from landingspool.gateway import answer_reader
from landingspool.gateway import delivery
from landingspool.gateway import forwarded_rows
from landingspool.gateway import forwarder
from landingspool.gateway import upstream
from landingspool.platform import answers
from standins import behaviours
from standins import runner as runner_module
from tests.gateway import site
from tests.gateway import test_view

PROMPT = [
    ('x-landingspool-model-name', 'm'),
    ('x-landingspool-token-usage', '90,10'),
    ('x-landingspool-prefix-hash', 'aa:60,bb:30'),
]
# Statuses that promise that a request was not run and will not be.
PROMISES = frozenset((408, 421, 429, 503))
OTHER = {'x-landingspool-request-id': 'another'}
# Lines by which a surplus answer names another request, or none.
OTHER_ID = b'x-landingspool-request-id: another'
NO_ID = b'x-landingspool-note: none'
NOT_RUN = 'x-landingspool-not-executed: 1'
# Surplus answers by name: status, further lines of the head.
SURPLUS = {
    'answer': (200,),
    'failure': (500,),
    'rejection': (503, NOT_RUN),
    'too many': (429, NOT_RUN),
    'other target': (421, 'x-landingspool-instance-id: elsewhere'),
    'rest': (503, NOT_RUN, 'retry-after: 30'),
    'leaving': (503, NOT_RUN, 'server-leaving: 1'),
    'limit': (200, 'server-limit: 0.5'),
    'weights': (200, 'versions: 9'),
}


def make_surplus(runner, name, id_line):
    """Return the bytes of a surplus answer.

    Parameters
    ----------
    name : str
        Key in SURPLUS.
    id_line : bytes
        OTHER_ID or NO_ID.
    """
    status, *rows = SURPLUS[name]
    data = behaviours.make_answer(runner, OTHER, status, b'', *rows)
    return data.replace(OTHER_ID, id_line)


@behaviours.behaviour('after surplus')
async def answer_after_surplus(runner, head, body, reader, writer):
    """Run, send the surplus bytes that the test sets, and then answer."""
    runner.run(head, body)
    writer.write(runner.surplus)
    await asyncio.sleep(0.01)
    if 'x-landingspool-model-name' in head:
        behaviours.start_stream(runner, head, writer)
        for event in behaviours.list_events(runner, head):
            behaviours.write_chunk(writer, event)
        writer.write(b'0\r\n\r\n')
        return
    writer.write(behaviours.make_echo(runner, head))


async def ask_after(
    deployment, hub, names, path='/unsafe/a', id_line=OTHER_ID, **fields
):
    """Return the answer to a request before which surplus answers come."""
    for target in deployment.plain + deployment.engines:
        target.surplus = b''.join(
            make_surplus(target, name, id_line) for name in names
        )
        target.usual = 'after surplus'
    return await site.ask(hub, path, **fields)


@pytest.mark.parametrize('id_line', [OTHER_ID, NO_ID])
@pytest.mark.parametrize('name', SURPLUS)
def test_an_answer_of_another_request_is_not_taken(name, id_line):
    # Guards against REFUSED: a rejection sent twice promised "not run".
    async def check(deployment):
        hub = await deployment.start_box()
        got = await ask_after(
            deployment, hub, [name], id_line=id_line, name='mine'
        )
        (target,) = deployment.plain
        assert got.status == 200
        assert got.body == b'mine'
        assert len(target.ran) == 1
        exclusions = hub.view.exclusions
        assert not exclusions.backoffs.list_backoffs(hub.clock())
        assert not hub.target_notices.list_leaving(hub.clock())
        assert not exclusions.limits.list_named(hub.view.fleet.entries)
        assert target.name in {
            entry.target for entry in hub.view.fleet.entries.values()
        }

    site.run(check, plain=1)


@pytest.mark.parametrize('name', SURPLUS)
def test_a_stream_begins_after_a_surplus_answer(name):
    # Guards against MIXED: a stream made of bytes of another request.
    async def check(deployment):
        hub = await deployment.start_box()
        got = await ask_after(
            deployment, hub, [name], '/stream/a', headers=PROMPT
        )
        assert got.status == 200
        assert got.whole
        assert got.body.count(b'data: piece') == 4
        (model,) = hub.view.weights.named
        versions = {
            hub.view.fleet.get_version(entry.name, model)
            for entry in hub.view.fleet.list_service('engine')
        }
        assert versions == {1}

    site.run(check, engines=1)


@pytest.mark.parametrize('again', behaviours.SURPLUS_TIMES)
@pytest.mark.parametrize('first', ['echo', 'shed'])
def test_what_is_sent_twice_reaches_no_other_request(first, again):
    # Guards against REFUSED: the copy is taken for the next answer.
    async def check(deployment):
        hub = await deployment.start_box()
        site.PoolClock(hub)
        (target,) = deployment.plain
        target.usual = 'echo'
        target.script = [f'{first}, again {again}']
        got = await site.ask(hub, '/unsafe/a', name='first')
        assert got.status == (200 if first == 'echo' else 503)
        if again == 'soon':
            await asyncio.sleep(2 * runner_module.SOON_S)
        for name in ('second', 'third'):
            got = await site.ask(hub, '/unsafe/b', name=name)
            assert (got.status, got.body) == (200, name.encode())
        # A connection with surplus bytes is not used again.
        assert target.connections == 2 + site.count_stale(hub)

    site.run(check, plain=1)


def test_a_surplus_answer_is_logged_with_the_request_that_it_names():
    # Guards against a log that does not tell a rejection from a copy of one.
    async def check(deployment):
        hub = await deployment.start_box()
        await ask_after(deployment, hub, ['rejection'], name='mine')
        # Written by attempt_log.
        lines = {
            event.name: event.fields
            for event in hub.recorder.select(request='mine')
        }
        line = lines['surplus_answer']
        assert line['belongs_to'] == 'another'
        assert (line['status'], line['not_run']) == (503, True)
        assert 'dispatched' in lines
        assert 'lost' not in lines
        assert b'surplus_answers_total 1.0' in hub.metrics.render()

    site.run(check, plain=1)


def test_many_surplus_answers_end_the_request_without_a_promise():
    # Guards against an endless read.
    async def check(deployment):
        hub = await deployment.start_box()
        names = ['rejection'] * (answer_reader.MAX_SURPLUS_ANSWERS + 1)
        got = await ask_after(deployment, hub, names)
        assert got.status == 502
        assert 'x-landingspool-response-stamp' not in got.headers
        got = await ask_after(deployment, hub, names[1:], name='mine')
        assert (got.status, got.body) == (200, b'mine')

    site.run(check, plain=1)


@behaviours.behaviour('unframed surplus')
async def answer_unframed_surplus(runner, head, body, reader, writer):
    """Run, send an answer to another request, and close."""
    runner.run(head, body)
    behaviours.write_unframed(OTHER, writer, b'not yours')
    await writer.drain()
    return True


def test_a_connection_that_ends_after_a_surplus_answer_promises_nothing():
    # Guards against REFUSED where the answer that is due never comes.
    async def check(deployment):
        hub = await deployment.start_box()
        (target,) = deployment.plain
        target.script = ['unframed surplus']
        got = await site.ask(hub, '/unsafe/a')
        assert got.status == 502
        assert len(target.ran) == 1

    site.run(check, plain=1)


def test_a_request_is_not_repeated_on_a_connection_that_had_it():
    # Guards against REFUSED: a copy of its own rejection has its id.
    async def check(deployment):
        hub = await deployment.start_box()
        pool = upstream.Upstream(hub.metrics)
        address = deployment.plain[0].address[:2]
        first = await pool.open(address, True)
        first.cancel()
        again = await pool.open(address, True)
        assert again.connection is first.connection
        again.cancel()
        other = await pool.open(address, True, used=[first.connection])
        assert other.connection is not first.connection
        other.cancel()
        # It still serves other requests.
        kept = [await pool.open(address, True) for _ in range(2)]
        assert first.connection in {row.connection for row in kept}
        pool.close()

    site.run(check, plain=1)


@pytest.mark.parametrize(
    ('name', 'request_id', 'is_own'),
    [
        ('', 'mine', True),
        ('', 'another', False),
        ('mine', None, True),
        ('another', None, False),
        # A box of an earlier build does not say whose its own answer is.
        ('', None, True),
    ],
)
def test_a_refusal_of_a_box_is_taken_by_its_own_request(
    name, request_id, is_own
):
    # Guards against REFUSED over a hop between boxes.
    report = forwarded_rows.Report('busy', 0, False, request_id)
    rows = forwarded_rows.write_report(report)
    if name:
        rows.append((b'x-landingspool-request-id', name.encode()))
    state = types.SimpleNamespace(call=types.SimpleNamespace(name='mine'))
    hub = types.SimpleNamespace(view=test_view.make_view(0))
    forward = forwarder.Forward(hub, state, None, 0.0, None)
    assert forward._is_own(answers.read_head(503, rows)) is is_own


CHAOS = [
    'whole',
    'shed',
    'failure',
    'reset',
    'closed',
    'nonsense',
    'unframed surplus',
    *(f'echo, again {again}' for again in behaviours.SURPLUS_TIMES),
    *(f'shed, again {again}' for again in behaviours.SURPLUS_TIMES),
]


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_promises_hold_whatever_targets_send_twice(seed):
    # Guards against REFUSED and TWICE under answers of all kinds at once.
    rng = random.Random(seed)

    async def ask(hub, number, outcomes):
        name = f'id{number}'
        path = rng.choice(['/unsafe/a', '/safe/a'])
        got = await site.ask(hub, path, name=name)
        outcomes[name] = path, got

    async def check(deployment):
        hub = await deployment.start_box()
        for target in deployment.plain:
            target.usual = 'echo'
            target.script = rng.choices(CHAOS, k=120)
        outcomes = {}
        for wave in range(20):
            await asyncio.gather(
                *(ask(hub, wave * 10 + n, outcomes) for n in range(10))
            )
        ran = [
            head['x-landingspool-request-id']
            for target in deployment.plain
            for head in target.ran
        ]
        for name, (path, got) in outcomes.items():
            if got.status in PROMISES:
                assert name not in ran, f'{name} promised, but it ran'
            if got.status == 200:
                assert got.body in (name.encode(), b'done')
            if path.startswith('/unsafe'):
                assert ran.count(name) <= 1
        assert sum(got.status == 200 for _, got in outcomes.values()) > 60

    site.run(check, plain=3)


class Wire:
    """Stands in for a connection whose bytes come in pieces."""

    def __init__(self, data, cuts):
        self._pieces = []
        for cut in sorted(cuts, reverse=True):
            data, piece = data[:cut], data[cut:]
            self._pieces.append(piece)
        self._pieces.append(data)

    def write(self, data):
        """Drop what is sent."""

    async def read(self):
        """Return the next bytes; b'' at the end."""
        while self._pieces:
            piece = self._pieces.pop()
            if piece:
                return piece
        return b''


def frame(name, status, body, framing):
    """Return the bytes of an answer to the request of this id."""
    head = f'HTTP/1.1 {status} X\r\nx-landingspool-request-id: {name}\r\n'
    if status in PROMISES:
        head += f'{NOT_RUN}\r\n'
    head += 'x-landingspool-response-stamp: s\r\n'
    if framing == 'chunked':
        size = f'{len(body):x}\r\n'.encode()
        chunk = size + body + b'\r\n' if body else b''
        return (
            (head + 'transfer-encoding: chunked\r\n\r\n').encode()
            + chunk
            + b'0\r\n\r\n'
        )
    return f'{head}content-length: {len(body)}\r\n\r\n'.encode() + body


ANSWERS = strategies.tuples(
    strategies.sampled_from(['mine', 'another', '']),
    strategies.sampled_from([200, 204, 400, 408, 421, 429, 500, 503]),
    strategies.binary(max_size=30),
    strategies.sampled_from(['length', 'chunked']),
)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(ANSWERS, max_size=4),
    strategies.lists(strategies.integers(0, 900), max_size=6),
    strategies.integers(0, 900),
)
def test_only_an_answer_that_names_the_request_is_read(rows, cuts, lost):
    # Guards against any answer, whole, cut or doubled, that names another.
    rows = [(n, s, b'' if s == 204 else b, f) for n, s, b, f in rows]
    rows = [(n, s, b, 'length' if s == 204 else f) for n, s, b, f in rows]
    data = b''.join(frame(*row) for row in rows)
    kept = data[: max(len(data) - lost, 0)]

    async def read():
        reader = open_reader(Wire(kept, cuts))
        head = await reader.read_head(is_mine)
        body = bytearray()
        while part := await reader.read_data():
            body += part
        return head, bytes(body)

    due = [row for row in rows if row[0] == 'mine']
    try:
        head, body = asyncio.run(read())
    except (answer_reader.AnswerError, h11.ProtocolError):
        assert not due or len(kept) < len(data)
        return
    assert head.name == 'mine'
    assert (head.status, body) == (due[0][1], due[0][2])


class SlowWire:
    """Stands in for a connection whose pieces come when the test puts them."""

    def __init__(self):
        self.pieces = asyncio.Queue()

    def write(self, data):
        """Drop what is sent."""

    async def read(self):
        """Return the next piece."""
        return await self.pieces.get()


def is_mine(head):
    """Return whether a head is that of the answer that is due."""
    return delivery.is_answer_to(head, 'mine')


def open_reader(wire):
    """Return an AnswerReader that has sent a request."""
    reader = answer_reader.AnswerReader(wire)
    reader.send('POST', '/a', [('host', 'h'), ('content-length', '0')], b'')
    return reader


def test_a_read_that_is_cancelled_goes_on_where_it_was():
    # Guards against a time-out within a surplus answer, whose rest would
    # then be read as the answer that is due.
    async def check():
        wire = SlowWire()
        reader = open_reader(wire)
        data = frame('another', 503, b'x' * 40, 'length')
        data += frame('mine', 200, b'yours', 'length')
        for cut in range(0, len(data), 30):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.01):
                    await reader.read_head(is_mine)
            if cut + 30 >= len(data):
                break
            wire.pieces.put_nowait(data[cut : cut + 30])
        wire.pieces.put_nowait(data[cut:])
        head = await reader.read_head(is_mine)
        assert (head.status, await reader.read_data()) == (200, b'yours')

    asyncio.run(check())


def test_a_surplus_answer_without_end_is_not_read_for_ever():
    # Guards against a target that keeps a box busy with what nobody wants.
    async def check():
        body = b'x' * (answer_reader.MAX_SURPLUS_BYTES + 1)
        data = frame('another', 200, body, 'length')
        reader = open_reader(
            Wire(data + frame('mine', 200, b'', 'length'), [])
        )
        with pytest.raises(answer_reader.AnswerError):
            await reader.read_head(is_mine)

    asyncio.run(check())
