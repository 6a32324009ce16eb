"""What comes late in the grace of a stop is answered or has not run."""

import asyncio

import pytest

from landingspool.decisions.gateway import lifetime
from landingspool.gateway import forwarder
from landingspool.gateway import refusals
from tests.gateway import site

# Of a stop with this grace the notice ends after 2 s, and the process 3.2 s.
GRACE_S = 4.0
LATE_S = 2.2
ANSWER_S = 0.3
DEADLINE_MS = 30_000
# Ends before the process does, also for a request that is late.
SHORT_MS = 700
ONCE = '/unsafe/a', '/stream/a'
REPEATABLE = '/safe/a', '/resumed/a'
LARGE_BYTES = 1024 * 1024


async def start_box(deployment, behaviour, **bounds):
    """Start a box whose targets do the same with all requests."""
    for target in deployment.plain + deployment.engines:
        target.usual = behaviour
    return await deployment.start_box(grace_s=GRACE_S, **bounds)


def make_head(path, deadline_ms=DEADLINE_MS, length=4):
    """Return the head of a request whose body has this length."""
    rows = (
        f'POST {path} HTTP/1.1',
        f'host: {site.HOST}',
        f'authorization: Bearer {site.KEY}',
        f'x-landingspool-request-id: late{next(site.NUMBERS)}',
        f'x-landingspool-deadline-ms: {deadline_ms}',
        f'content-length: {length}',
    )
    return '\r\n'.join((*rows, '', '')).encode()


def list_runs(deployment):
    """List the heads of what the targets ran."""
    targets = deployment.plain + deployment.engines
    return [head for target in targets for head in target.ran]


async def read_answer(reader, seconds=ANSWER_S):
    """Return the head of an answer, which has to come in time."""
    async with asyncio.timeout(seconds):
        return await reader.readuntil(b'\r\n\r\n')


def check_refused(head):
    """Check that an answer sends its caller elsewhere, by a promise."""
    assert head.startswith(b'HTTP/1.1 503'), head
    assert b'connection: close' in head.lower()
    assert b'retry-after' in head.lower()


@pytest.mark.parametrize('path', [*ONCE, *REPEATABLE])
def test_a_body_that_ends_late_in_a_stop_is_not_run_for_nothing(path):
    # Guards against LOST: it was passed on, and cut as the process ended.
    async def check(deployment):
        hub = await start_box(deployment, 'silent')
        async with site.connect(hub) as (reader, writer):
            writer.write(make_head(path) + b'ab')
            await site.wait_until(lambda: hub.listener.count_busy())
            hub.stop()
            await asyncio.sleep(LATE_S)
            writer.write(b'cd')
            check_refused(await read_answer(reader))
        assert not list_runs(deployment)

    site.run(check)


@pytest.mark.parametrize('path', ['/unsafe/a', '/safe/a'])
def test_a_late_request_that_ends_in_time_is_served(path):
    # Guards against refusals of what its deadline ends before the process.
    async def check(deployment):
        hub = await start_box(deployment, 'whole')
        async with site.connect(hub) as (reader, writer):
            writer.write(make_head(path, SHORT_MS) + b'ab')
            await site.wait_until(lambda: hub.listener.count_busy())
            hub.stop()
            await asyncio.sleep(LATE_S)
            writer.write(b'cd')
            head = await read_answer(reader)
        assert head.startswith(b'HTTP/1.1 200')
        assert b'connection: close' in head.lower()

    site.run(check)


@pytest.mark.parametrize('objective_ms', [400, 4000])
@pytest.mark.parametrize('kind', ['safe', 'unsafe', 'stream', 'resumed'])
def test_a_request_that_usually_outlasts_the_stop_is_not_begun(
    kind, objective_ms
):
    # Guards against LOST, and against refusals of short ones in the notice.
    async def check(deployment):
        row = {'target_latency_ms': objective_ms, 'timeout_ms': 9000}
        routes = {kind: {**site.ROUTES[kind], **row}}
        is_stream = 'engine' == routes[kind]['service']
        deployment.publish(site.make_table(2, routes=routes))
        hub = await start_box(deployment, 'stream' if is_stream else 'whole')
        await site.wait_until(lambda: hub.view.table.version == 2)
        hub.stop()
        got = await site.ask(hub, f'/{kind}/a', deadline_ms=DEADLINE_MS)
        if objective_ms == 400:
            assert got.status == 200
            return
        assert got.status == 503
        assert float(got.headers['retry-after']) < ANSWER_S
        assert not list_runs(deployment)

    site.run(check)


def test_a_failed_request_is_not_begun_again_late_in_a_stop():
    # Guards against LOST by a second target that runs it for nothing.
    async def check(deployment):
        hub = await start_box(deployment, 'silent')
        work = asyncio.ensure_future(
            site.ask(hub, '/safe/a', deadline_ms=DEADLINE_MS)
        )
        hub.view.take_repeat = lambda service, now: True
        await site.wait_until(lambda: list_runs(deployment))
        hub.stop()
        await asyncio.sleep(LATE_S)
        runs = len(list_runs(deployment))
        for target in deployment.plain:
            if target.ran:
                target.end()
        got = await asyncio.wait_for(work, ANSWER_S)
        assert got.status == 502
        assert len(list_runs(deployment)) == runs

    site.run(check)


@pytest.mark.parametrize('deadline_ms', [DEADLINE_MS, SHORT_MS])
def test_a_large_body_is_not_read_late_in_a_stop_for_nothing(deadline_ms):
    # Guards against callers that send it all before they are refused.
    async def check(deployment):
        hub = await start_box(deployment, 'whole')
        async with site.connect(hub) as (reader, writer):
            head = make_head('/unsafe/a', deadline_ms, LARGE_BYTES)
            writer.write(head[:20])
            await site.wait_until(lambda: hub.listener.count_busy())
            hub.stop()
            await asyncio.sleep(LATE_S)
            writer.write(head[20:])
            if deadline_ms == DEADLINE_MS:
                check_refused(await read_answer(reader))
                return
            writer.write(bytes(LARGE_BYTES))
            answer = await read_answer(reader, 1.0)
        assert answer.startswith(b'HTTP/1.1 200')

    site.run(check)


def test_a_forwarded_request_late_in_a_stop_goes_to_a_third_box():
    # Guards against LOST over the hop: the first box can still send it on.
    async def check(deployment):
        hub = await start_box(deployment, 'silent')
        await site.wait_until(lambda: hub.get_forwarding_address())
        address = hub.get_forwarding_address()
        reader, writer = await asyncio.open_connection(*address)
        head = make_head('/unsafe/a')[:-2] + b'x-spool-box-name: b9\r\n\r\n'
        writer.write(head + b'ab')
        await site.wait_until(lambda: hub.forward_listener.count_busy())
        hub.stop()
        await asyncio.sleep(LATE_S)
        writer.write(b'cd')
        answer = await read_answer(reader)
        writer.close()
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'x-spool-box-reason: stopping' in answer
        assert b'x-spool-box-sends: 0' in answer
        assert not list_runs(deployment)

    site.run(check)
    assert refusals.STOPPING in forwarder.TRY_ELSEWHERE


def test_a_second_signal_prolongs_no_stop():
    # Guards against requests that are cut, since the platform counts on.
    async def check(deployment):
        hub = await start_box(deployment, 'whole')
        hub.stop()
        ends = hub.lifetime.ends
        await asyncio.sleep(0.1)
        hub.stop()
        assert hub.lifetime.ends == ends
        assert ends - hub.clock() < GRACE_S - lifetime.EXIT_MARGIN_S

    site.run(check)
