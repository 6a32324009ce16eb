"""A client that keeps its connection and behaves as PROTOCOL.md says."""

import asyncio
import time
import uuid

from lib import http11

HOST = 'pule25.example'
KEY = 'jnbanfqasnmgkcuyj8pj'
# Answers that promise that a request has not run and never will.
PROMISES = 408, 421, 429, 503


class Sent:
    """A request that a client sent, and what came back."""

    def __init__(self, box, name, key):
        self.box = box
        self.name = name
        self.key = key
        self.at = time.monotonic()
        self.status = None
        self.headers = {}
        self.body = b''
        self.end = None


class Client:
    """Sends one request after another to one box.

    Parameters
    ----------
    box : boxes.Box
    sent : list of Sent
        Receives what is sent.
    key : str, optional
        The API key.
    """

    def __init__(self, box, sent, key=KEY):
        self._box = box
        self._sent = sent
        self._key = key
        self._stream = None
        self._lock = asyncio.Lock()

    async def send(self, path, deadline_ms=2500):
        """Send a request, and once more if it is promised not to run.

        Nothing is sent while an earlier request is still under way.
        """
        if self._lock.locked():
            return
        async with self._lock:
            await self._send(path, deadline_ms)

    async def _send(self, path, deadline_ms):
        sent = await self.post(path, deadline_ms)
        if sent.status not in PROMISES:
            return
        wait_s = float(sent.headers.get('retry-after', 0.1))
        await asyncio.sleep(min(wait_s, deadline_ms / 3000))
        # A repeat goes out on a new connection.
        self.close()
        await self.post(path, deadline_ms)

    async def post(self, path, deadline_ms):
        """Send one request with an id of its own; return the Sent."""
        sent = Sent(self._box.name, uuid.uuid4().hex[:16], self._key)
        self._sent.append(sent)
        rows = [
            ('Host', HOST),
            ('X-Landingspool-Request-Id', sent.name),
            ('X-Landingspool-Deadline-Ms', deadline_ms),
            ('Authorization', f'Bearer {self._key}'),
        ]
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._stream is None:
                    self._stream = await asyncio.open_connection(
                        *self._box.front
                    )
                answer = await http11.call(
                    *self._stream, 'POST', path, rows, b'a pledge'
                )
            sent.status, sent.headers, sent.body = answer
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        sent.end = time.monotonic()
        if sent.headers.get('connection', '').lower() == 'close':
            self.close()
        return sent

    def close(self):
        """Close the connection."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None
