"""Requests that are too long, or have no end, until the connection closes."""

import asyncio
import time

import pytest

from landingspool import connection as connection_module
from landingspool.decisions.gateway import byte_budget
from landingspool.decisions.gateway import routes
from landingspool.gateway import heads
from landingspool.gateway import intake
from landingspool.gateway import metrics
from landingspool import http_server
from tests import endless
from tests.gateway import site

BODY_BYTES = 1024 * 1024
TIMEOUT_S = 1.0


class OwnServer:
    """The server of the own interface."""

    async def start(self):
        """Listen; return the address."""
        self._server = http_server.Server(self._handle, BODY_BYTES)
        return await self._server.start('127.0.0.1', 0)

    async def close(self):
        """Stop listening."""
        await self._server.close()

    async def _handle(self, request, exchange):
        await exchange.send_json(200, {})


class CallerReader:
    """Reads requests as the server for callers does."""

    async def start(self):
        """Listen; return the address."""
        loop = asyncio.get_running_loop()
        self._tasks = []
        self._server = await loop.create_server(
            lambda: connection_module.Connection(self._accept), '127.0.0.1', 0
        )
        return self._server.sockets[0].getsockname()

    async def close(self):
        """Stop listening."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def _accept(self, connection):
        self._tasks.append(asyncio.ensure_future(self._serve(connection)))

    async def _serve(self, connection):
        limits = routes.Limits(
            header_bytes=16 * 1024,
            body_bytes=BODY_BYTES,
            header_s=TIMEOUT_S,
            idle_s=TIMEOUT_S,
        )
        budget = byte_budget.BodyBudget(2 * BODY_BYTES)
        room = intake.Intake(budget, metrics.Metrics().out_of_room)
        try:
            while await heads.read_request(
                connection,
                limits,
                lambda request: room.open(connection, lambda: ''),
            ):
                pass
        finally:
            connection.reset()


def receive_endless(kind, make_server, seconds):
    """Let a server read an EndlessCaller for some seconds at most.

    Returns
    -------
    tuple
        The caller, the seconds until it was closed or was stopped, and the
        longest time between two turns of another task.
    """

    async def run():
        server, turns = make_server(), []
        address = await server.start()
        watching = asyncio.ensure_future(endless.watch_turns(turns))
        start = time.monotonic()
        caller = endless.EndlessCaller(address[:2], *endless.REQUESTS[kind])
        await endless.wait_closed(caller, seconds)
        watching.cancel()
        await server.close()
        closed_at, sent = caller.closed_at, caller.sent
        caller.close()
        return closed_at and closed_at - start, sent, max(turns)

    return asyncio.run(run())


BOUNDED = set(endless.REQUESTS) - {'small chunks', 'requests'}
SERVERS = (OwnServer, CallerReader)


@pytest.mark.parametrize('make_server', SERVERS)
@pytest.mark.parametrize('kind', sorted(BOUNDED))
def test_a_request_without_end_is_refused_at_its_bound(kind, make_server):
    closed_s, sent, turn_s = receive_endless(kind, make_server, TIMEOUT_S)
    assert closed_s is not None
    assert sent < BODY_BYTES + endless.IN_FLIGHT_BYTES
    assert turn_s < endless.MAX_TURN_S


@pytest.mark.parametrize('make_server', SERVERS)
@pytest.mark.parametrize('kind', ['small chunks', 'requests'])
def test_other_tasks_run_while_much_is_read(kind, make_server):
    _, _, turn_s = receive_endless(kind, make_server, TIMEOUT_S)
    assert turn_s < endless.MAX_TURN_S


def test_a_body_of_small_chunks_ends_at_the_time_out():
    closed_s, _, _ = receive_endless('small chunks', CallerReader, 6.0)
    assert closed_s is not None
    assert closed_s < TIMEOUT_S + 2.0


def test_what_comes_during_a_request_is_bounded():
    async def run():
        async def handle(request, exchange):
            await exchange.wait_gone()

        server = http_server.Server(handle)
        address = await server.start('127.0.0.1', 0)
        caller = endless.EndlessCaller(address, *endless.REQUESTS['requests'])
        await endless.wait_closed(caller, TIMEOUT_S)
        sent = caller.sent
        await server.close()
        caller.close()
        return sent

    sent = asyncio.run(run())
    assert sent < http_server.MAX_EARLY_BYTES + endless.IN_FLIGHT_BYTES


def test_a_caller_that_sends_early_and_is_gone_is_noticed():
    async def run():
        gone = asyncio.Event()

        async def handle(request, exchange):
            await exchange.wait_gone()
            gone.set()

        server = http_server.Server(handle)
        address = await server.start('127.0.0.1', 0)
        _, writer = await asyncio.open_connection(*address)
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n' * 100)
        writer.close()
        async with asyncio.timeout(2.0):
            await gone.wait()
        await server.close()

    asyncio.run(run())


@pytest.mark.parametrize('kind', ['small chunks', 'requests'])
def test_a_caller_that_sends_without_end_takes_no_turns_of_a_box(kind):
    async def run():
        async with site.Site() as deployment:
            hub = await deployment.start_box()
            async with site.connect(hub) as (_, writer):
                address = writer.get_extra_info('peername')
            turns = []
            watching = asyncio.ensure_future(endless.watch_turns(turns))
            caller = endless.EndlessCaller(
                address[:2], *endless.REQUESTS[kind]
            )
            await endless.wait_closed(caller, TIMEOUT_S)
            reply = await site.ask(hub, '/safe/a')
            watching.cancel()
            caller.close()
            return reply.status, max(turns)

    status, turn_s = asyncio.run(run())
    assert status == 200
    assert turn_s < endless.MAX_TURN_S
