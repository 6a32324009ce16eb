"""Time-outs of the HTTP client during a stall of the process.

After a stall a time-out is due at once: without an extension the client would
give up a peer whose answer has already arrived.
"""

import asyncio
import socket
import threading
import time

import pytest

from landingspool import http
from landingspool import httpclient

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
ANSWERED_AFTER_S = 0.2
TIMEOUT_S = 0.4
# Seconds for which a peer keeps a connection, as it announces.
KEPT_S = 1.0
# Seconds after which a peer closes a connection without a word.
RESTED_S = 0.1


class Peer:
    """Peer in a separate thread that answers one request, or never does."""

    def __init__(self, answers):
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._answers = answers
        self.address = http.Address(*self._listener.getsockname())
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self):
        connection, _ = self._listener.accept()
        with connection:
            connection.recv(4096)
            time.sleep(ANSWERED_AFTER_S)
            if self._answers:
                connection.sendall(ANSWER)
            # Wait until the client closes the connection.
            connection.recv(4096)

    def close(self):
        """Wait for the end of the thread."""
        self._thread.join()
        self._listener.close()


async def fetch_beside_stall(address):
    """Fetch while the loop is stalled across the answer and the time-out."""
    client = httpclient.Client()
    task = asyncio.ensure_future(
        client.fetch(address, 'GET', '/', timeout=TIMEOUT_S)
    )
    await asyncio.sleep(0.05)
    time.sleep(TIMEOUT_S + 0.3)
    try:
        return await task
    finally:
        client.close()


def test_an_answer_that_came_while_the_process_stood_still_is_taken():
    peer = Peer(answers=True)
    try:
        reply = asyncio.run(fetch_beside_stall(peer.address))
    finally:
        peer.close()
    assert (reply.status, reply.body) == (200, b'ok')


def test_silence_ends_soon_after_the_process_stood_still():
    peer = Peer(answers=False)
    start = time.monotonic()
    try:
        with pytest.raises(http.Unreachable, match='no answer in time'):
            asyncio.run(fetch_beside_stall(peer.address))
    finally:
        peer.close()
    assert time.monotonic() - start < 2 * TIMEOUT_S + 0.5


async def answer_once(reader, writer):
    """Answer one request, announce a second of rest, and close at its end."""
    await reader.readuntil(b'\r\n\r\n')
    writer.write(ANSWER.replace(b'\r\n', b'\r\nkeep-alive: timeout=1\r\n', 1))
    await asyncio.sleep(KEPT_S)
    writer.transport.abort()


def test_no_call_crosses_the_announced_close_of_its_connection():
    async def check():
        server = await asyncio.start_server(answer_once, '127.0.0.1', 0)
        address = http.Address(*server.sockets[0].getsockname())
        client = httpclient.Client()
        for _ in range(2):
            reply = await client.fetch(address, 'GET', '/', timeout=TIMEOUT_S)
            assert reply.status == 200
            await asyncio.sleep(KEPT_S - 0.1)
        client.close()
        server.close()

    asyncio.run(check())


def test_no_call_is_sent_on_a_connection_that_ended_in_a_stall():
    def serve(server):
        for _ in range(2):
            connection, _ = server.accept()
            with connection:
                connection.recv(4096)
                connection.sendall(ANSWER)
                time.sleep(RESTED_S)

    async def check(address):
        client = httpclient.Client()
        for _ in range(2):
            reply = await client.fetch(address, 'GET', '/')
            assert reply.status == 200
            # The end of the connection waits in the kernel.
            time.sleep(2 * RESTED_S)
        client.close()

    with socket.create_server(('127.0.0.1', 0)) as server:
        server.settimeout(2.0)
        thread = threading.Thread(target=serve, args=(server,))
        thread.start()
        try:
            asyncio.run(check(http.Address(*server.getsockname())))
        finally:
            thread.join()
