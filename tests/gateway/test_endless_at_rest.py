"""What comes without end on a connection at rest is held in small part."""

import asyncio
import time

from landingspool import boot_clock
from landingspool import connection as connection_module
from landingspool.gateway import metrics
from landingspool.gateway import upstream
from landingspool import httpclient
from tests import endless

JUNK = b'what is this '
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
REST_S = 0.2
# Unread bytes of a connection: reading stops at the first ones above it.
MAX_HELD_BYTES = connection_module.MAX_UNREAD_BYTES + 256 * 1024


class UnaskedPeer(endless.EndlessPeer):
    """Sends before any request has come."""

    def _read_request(self, connection):
        pass


class LatePeer(endless.EndlessPeer):
    """Answers one request, and sends on a while later."""

    def _read_request(self, connection):
        super()._read_request(connection)
        self.sent += connection.send(ANSWER)
        time.sleep(REST_S)


def check_held(connection, peer):
    """Check that little of what a peer sends is held."""
    assert peer.sent < endless.IN_FLIGHT_BYTES
    assert 0 < connection.count_unread() < MAX_HELD_BYTES
    assert not connection.is_at_rest


def test_a_target_that_sends_before_a_request_fills_no_memory():
    # Guards against LOST by memory: nobody reads a connection in the pool.
    async def run():
        peer = UnaskedPeer(b'', JUNK)
        pool = upstream.Upstream(metrics.Metrics(), boot_clock.read)
        await pool.probe(peer.address, 4)
        (row,) = pool._idle[peer.address]
        await asyncio.sleep(1.0)
        check_held(row.connection, peer)
        pool.sweep()
        await endless.wait_closed(peer)
        assert peer.closed_at is not None
        peer.close()

    asyncio.run(run())


def test_a_peer_that_sends_on_after_its_answer_fills_no_memory():
    # Guards against LOST by memory: stores, boxes and engines are called so.
    async def run():
        peer = LatePeer(b'', JUNK)
        client = httpclient.Client()
        assert (await client.fetch(peer.address, 'GET', '/')).status == 200
        (row,) = client._idle[peer.address]
        await asyncio.sleep(REST_S + 1.0)
        check_held(row.stream.connection, peer)
        assert client.acquire(peer.address) is None
        await endless.wait_closed(peer)
        assert peer.closed_at is not None
        peer.close()

    asyncio.run(run())
