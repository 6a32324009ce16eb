"""Calls to targets other than requests, for unusual bytes in the answers."""

import asyncio

import pytest

from landingspool.decisions.gateway import rollouts
from landingspool import http
from landingspool import httpclient
from landingspool.platform import runners
from standins import behaviours
from standins import runner as runner_module

HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n%s\r\n{}'


def fetch(rows):
    """Return the Response to a call whose answer has additional fields."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(HEAD % rows)
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = http.Address(*server.sockets[0].getsockname()[:2])
        client = httpclient.Client()
        try:
            return await client.fetch(address, 'GET', '/')
        finally:
            client.close()
            server.close()

    return asyncio.run(run())


def test_bytes_that_are_no_text_in_a_head_end_no_call():
    """Guard against a decoding error that no caller of `fetch` handles.

    A field of a head may hold any byte over 0x7f (RFC 9110, 5.5).  If it is
    read as UTF-8, the error ends the task that follows a target or the store.
    """
    response = fetch(b'x-note: caf\xe9\r\n')
    assert response.status == 200
    assert response.headers['x-note'] == 'caf\xe9'


def test_a_field_on_several_lines_is_read_whole():
    """Guard against losing all but the last line of a list (5.3)."""
    response = fetch(b'x-note: a\r\nx-note: b\r\n')
    assert response.headers['x-note'] == 'a, b'


class Observer:
    """Drops the notices in the answers."""

    def begin_call(self, address):
        """Return nothing to take up."""

    def take_answer(self, called, notices):
        """Drop the notices."""

    def record_malformed(self, address, subject, reason):
        """Drop what can't be decoded."""


def call_target(again, work):
    """Run calls to a target that sends its answers once more."""

    async def run():
        target = runner_module.Runner('t')
        await target.start()
        target.calls_again = again
        client = httpclient.Client()
        calls = runners.Runners(client, Observer())
        address = http.Address(*target.address[:2])
        try:
            await work(target, calls, address)
        finally:
            client.close()
            await target.close()

    asyncio.run(run())


def order(calls, address, taken=0):
    """Order a target to load new weights."""
    wanted = rollouts.Order('t#1', 'm', 2)
    return calls.order(address, wanted, taken, 'box', 7)


async def wait_for_surplus(again):
    """Wait until surplus bytes that come soon are there."""
    await asyncio.sleep(2 * runner_module.SOON_S if again == 'soon' else 0)


@pytest.mark.parametrize('again', behaviours.SURPLUS_TIMES)
def test_an_order_that_is_refused_is_not_answered_by_a_report(again):
    """Guard against a rollout that goes by the answer to another call."""

    async def check(target, calls, address):
        report = await calls.report(address)
        assert isinstance(report, runners.Report)
        await wait_for_surplus(again)
        target.busy = True
        assert await order(calls, address) == runners.Refused(409, False)
        assert not target.orders

    call_target(again, check)


@pytest.mark.parametrize('again', behaviours.SURPLUS_TIMES)
def test_an_order_is_not_answered_by_the_one_before(again):
    """Guard against a second order that counts as taken, but was not."""

    async def check(target, calls, address):
        assert await order(calls, address) == runners.Taken(False)
        await wait_for_surplus(again)
        target.busy = True
        assert await order(calls, address, 1) == runners.Refused(409, False)
        report = await calls.report(address)
        assert isinstance(report, runners.Unanswered) or report.busy

    call_target(again, check)


@pytest.mark.parametrize('again', behaviours.SURPLUS_TIMES)
def test_parts_that_are_not_freed_do_not_count_as_freed(again):
    """Guard against room that a store does not have."""

    async def check(target, calls, address):
        listed = await calls.read_list(address)
        assert listed.epoch == target.epoch
        await wait_for_surplus(again)
        assert not await calls.free(address, 1, [('m.1', 'a')], None)
        assert not target.freed

    call_target(again, check)


@pytest.mark.parametrize('again', ['at once', 'soon'])
def test_a_connection_with_unread_bytes_takes_no_call(again):
    """Guard against answers that are one call behind from then on."""

    async def check(target, calls, address):
        for wanted in (1, 2, 3):
            target.version = wanted
            report = await calls.report(address)
            assert report.versions == {'m': wanted}
            await wait_for_surplus(again)
        assert target.connections == 3

    call_target(again, check)
