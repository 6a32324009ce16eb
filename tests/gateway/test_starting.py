"""Requests that reach a box before its first table."""

import asyncio
import time

from landingspool.gateway import listener
from landingspool.gateway import relay
from landingspool.gateway import state
from tests.gateway import site


async def forget_table(hub):
    """Bring a box into the state before its first table; return the value."""
    value = hub.state.get_snapshot().table
    hub.view.table = None
    hub.state = state.State(hub)
    return value


def test_a_request_waits_for_the_first_table():
    async def check(deployment):
        hub = await deployment.start_box()
        value = await forget_table(hub)
        asked = asyncio.ensure_future(site.ask(hub, '/safe/a'))
        await asyncio.sleep(relay.START_WAIT_S / 4)
        assert not asked.done()
        hub.state.take_table(value)
        assert (await asked).status == 200

    site.run(check)


def test_it_is_refused_soon_if_none_comes():
    async def check(deployment):
        hub = await deployment.start_box()
        await forget_table(hub)
        began = time.monotonic()
        got = await site.ask(hub, '/safe/a')
        assert got.status == 503
        assert time.monotonic() - began < relay.START_WAIT_S * 2

    site.run(check)


def test_a_listener_that_has_not_started_can_be_closed():
    asyncio.run(listener.Listener(None, None, 1, None, None).close(0.1))
