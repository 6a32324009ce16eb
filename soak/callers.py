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
# How often a caller takes a stream up, and the seconds until it does.
TAKEN_UP = 3
RETURN_S = 0.0, 0.05, 0.5
# Parts of the prompt of a usual request.
PROMPT = 'aa:200,bb:100'
# Statuses that promise that a request has not run and will not.
PROMISES = (503, 429, 408, 421)


class Sent(typing.NamedTuple):
    """One request: what was sent, and what a caller got.

    `status` is 0 where no answer came; `whole` tells whether the answer had
    its proper end, and `took_s` the seconds until that or its loss.  A request
    that continues a stream names its `first` attempt and the events that its
    caller has.
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
    first: str = ''
    after: int = 0

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
            box, f'/{route}/a', name, key, name.encode()
        )
        answer = status, whole, body, stamped, time.monotonic() - at
        self.sent.append(Sent(name, box.name, route, key, at, *answer))
        if route in fleet_module.RESUMABLE:
            await self._continue(self.sent[-1])

    async def _continue(self, row):
        """Take a stream up that has broken off, at any box, for some times."""
        first, after = row.name, count_events(row.body)
        for number in range(TAKEN_UP):
            if row.whole or row.status not in (0, 200) or not after:
                return
            await asyncio.sleep(self._rng.choice(RETURN_S))
            box = self._rng.choice(self._fleet.boxes)
            name, at = f'{first}+{number}', time.monotonic()
            answer = await self.ask(
                box,
                f'/{row.route}/a',
                name,
                row.key,
                first.encode(),
                (first, after),
            )
            took_s = time.monotonic() - at
            row = Sent(
                name,
                box.name,
                row.route,
                row.key,
                at,
                *answer,
                took_s,
                first,
                after,
            )
            self.sent.append(row)
            after += count_events(row.body)

    async def ask(self, box, path, name, key, sent, begun=None, prompt=PROMPT):
        """Send one request; gives what came back.

        Parameters
        ----------
        begun : tuple of (str, int), optional
            The attempt that began the stream, and the last event received.
        prompt : str
            The parts of its prompt.
        """
        call = self._client.open(box.address)
        rows = [
            ('x-landingspool-request-id', name),
            ('x-landingspool-deadline-ms', str(int(LEFT_S * 1000))),
            ('authorization', f'Bearer {key}'),
            ('x-landingspool-model-name', 'm'),
            ('x-landingspool-token-usage', '300,10'),
            ('x-landingspool-prefix-hash', prompt),
        ]
        if begun is not None:
            rows += [('resumes', begun[0]), ('last-event-id', str(begun[1]))]
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


def count_events(body):
    """Count the whole events in a stream."""
    return body.count(b'\n\n')


def make_crowd(seed, fleet):
    """Return callers who compete for room, apart from the usual draws."""
    rng = random.Random(f'crowd {seed}')
    return [Caller(f'r{number}', fleet, rng) for number in range(CROWD)]
