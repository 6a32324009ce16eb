"""Links between boxes before peers that send bytes without end."""

import asyncio
import base64
import hashlib
import time

import pytest

from landingspool.boxes import link
from landingspool.decisions import messages
from landingspool import events
from landingspool import metrics
from tests import endless

# Beyond the time limit of the handshake.
MAX_LATE_S = 2.0
# What a peer sends before it counts as too slow to say hello.
MAX_SENT_BYTES = 128 * 1024 * 1024
FINAL, BINARY, PING, CONTINUED = 0x80, 2, 9, 0
GUID = b'258EAFA5-E914-47DA-95CA-C5AB0DC85B11'
UPGRADE = (
    b'GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: %b\r\n\r\n' % base64.b64encode(b'a' * 16)
)
UPGRADED = (
    b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Accept: %b\r\n\r\n'
)


def make_frame(first, size, masked):
    """Return a frame of `size` bytes; a client's frames are masked."""
    mask = 0x80 if masked else 0
    head = bytes([first, mask | 127]) + size.to_bytes(8, 'big')
    if size < 126:
        head = bytes([first, mask | size])
    return head + (b'\0' * 4 if masked else b'') + b'a' * size


def list_kinds(masked):
    """Return how a peer's frames begin and what it repeats, by kind."""
    return {
        'frames': (b'', make_frame(FINAL | BINARY, 3_000_000, masked)),
        'fragments': (
            make_frame(BINARY, 1, masked),
            make_frame(CONTINUED, 100, masked),
        ),
        'pings': (b'', make_frame(FINAL | PING, 100, masked)),
    }


class UpgradingPeer(endless.EndlessPeer):
    """Accepts a websocket, and then sends frames without end."""

    def _read_request(self, connection):
        request = connection.recv(endless.BLOCK_BYTES)
        _, rest = request.split(b'Sec-WebSocket-Key: ')
        key, _ = rest.split(b'\r\n', 1)
        accept = base64.b64encode(hashlib.sha1(key + GUID).digest())
        connection.sendall(UPGRADED % accept)


def run_links(work, address=None):
    """Run ``work(links, recorder)`` with the links of one box."""

    async def run():
        recorder = events.Recorder('one')
        links = link.Links(
            link.Identity('one', 'd', 'i1', 'secret'),
            lambda box: address,
            lambda sender, message: None,
            recorder,
            metrics.Metrics(),
            16,
        )
        try:
            return await work(links, recorder)
        finally:
            await links.close()

    return asyncio.run(run())


@pytest.mark.parametrize('kind', [*list_kinds(True), 'header rows'])
def test_a_peer_that_says_no_hello_is_left_in_time(kind):
    upgraded = {
        name: (UPGRADE + start, frame)
        for name, (start, frame) in list_kinds(True).items()
    }
    kinds = endless.REQUESTS | upgraded

    async def accept(links, recorder):
        address = await links.start('127.0.0.1', 0)
        start = time.monotonic()
        caller = endless.EndlessCaller(tuple(address), *kinds[kind])
        await endless.wait_closed(caller, 15.0)
        closed_at, sent = caller.closed_at, caller.sent
        caller.close()
        return closed_at and closed_at - start, sent, recorder.counts

    closed_s, sent, counts = run_links(accept)
    assert closed_s is not None
    assert closed_s < link.HANDSHAKE_S + MAX_LATE_S
    if kind in upgraded:
        assert counts['link_refused'] == 1
        assert sent < MAX_SENT_BYTES


@pytest.mark.parametrize('kind', list_kinds(False))
def test_a_peer_that_answers_no_hello_is_left_in_time(kind):
    peer = UpgradingPeer(*list_kinds(False)[kind])

    async def connect(links, recorder):
        start = time.monotonic()
        links.send('other', messages.Refuse('r1', 'full', 2.0))
        await endless.wait_closed(peer, 15.0)
        peer.close()
        return peer.closed_at and peer.closed_at - start

    closed_s = run_links(connect, peer.address)
    assert closed_s is not None
    assert closed_s < link.HANDSHAKE_S + MAX_LATE_S
