"""Callers who note what they sent and what came back."""

import asyncio
import json
import random
import time
import typing

from landingspool import http
from landingspool import httpclient
from soak import fleet as fleet_module

LEFT_S = 2.5
PAUSE_S = 0.02
# Callers who come at once, for how long each sends without a pause, and the
# seconds within which all begin.
CROWD = 24
RUSH_S = 1.5
RUSH_WITHIN_S = 4.0
# Statuses that promise that a request has not run and will not.
PROMISES = (503, 429, 408, 421)


class Sent(typing.NamedTuple):
    """One request: what was sent, and what a caller got.

    `status` is 0 where no answer came; `whole` tells whether the answer had
    its proper end, and `took_s` the seconds until that or its loss.
    """

    name: str
    box: str
    route: str
    key: str
    at: float
    status: int
    whole: bool
    body: bytes
    stamped: bool
    took_s: float

    @property
    def reason(self):
        """The reason in an answer of a box's own; empty: it has none."""
        try:
            return json.loads(self.body)['error']
        except (ValueError, KeyError, TypeError):
            return '' if self.whole else 'not whole'


class Caller:
    """Sends one request after another, on kept connections."""

    def __init__(self, number, fleet, rng):
        self._number = number
        self._fleet = fleet
        self._rng = rng
        self._client = httpclient.Client()
        self._count = 0
        self.sent = []

    async def run(self):
        """Send until cancelled."""
        while True:
            await self._send_one()
            await asyncio.sleep(self._rng.uniform(0, 2 * PAUSE_S))

    async def rush(self):
        """Send for a time that is drawn, and no more."""
        await asyncio.sleep(self._rng.uniform(0, RUSH_WITHIN_S))
        ends = time.monotonic() + RUSH_S
        while time.monotonic() < ends:
            await self._send_one()

    async def _send_one(self):
        self._count += 1
        name = f'c{self._number}-{self._count}'
        route = self._rng.choice(list(fleet_module.ROUTES))
        # Keys are used for a while after they were taken away.
        key = self._rng.choice(list(self._fleet.keys))
        box = self._rng.choice(self._fleet.boxes)
        at = time.monotonic()
        status, whole, body, stamped = await self.ask(
            box, f'/{route}/a', name, key, b'x'
        )
        answer = status, whole, body, stamped, time.monotonic() - at
        self.sent.append(Sent(name, box.name, route, key, at, *answer))

    async def ask(self, box, path, name, key, sent):
        """Send one request; gives what came back."""
        call = self._client.open(box.address)
        rows = [
            ('x-landingspool-request-id', name),
            ('x-landingspool-deadline-ms', str(int(LEFT_S * 1000))),
            ('authorization', f'Bearer {key}'),
            ('x-landingspool-model-name', 'm'),
            ('x-landingspool-token-usage', '300,10'),
            ('x-landingspool-prefix-hash', 'aa:200,bb:100'),
        ]
        body = bytearray()
        try:
            async with asyncio.timeout(LEFT_S):
                await call.connect()
                await call.send('POST', path, sent, rows, fleet_module.HOST)
                async for data in call.read():
                    body += data
            whole = True
        except (http.Unreachable, TimeoutError):
            whole = False
        finally:
            call.close()
        stamped = 'x-landingspool-response-stamp' in call.headers
        return call.status, whole, bytes(body), stamped


def make_crowd(seed, fleet):
    """Return callers who compete for room, apart from the usual draws."""
    rng = random.Random(f'crowd {seed}')
    return [Caller(f'r{number}', fleet, rng) for number in range(CROWD)]
