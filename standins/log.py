"""Stand-in for the platform's log: offsets, a rate limit, bad days.

Modes: ``up``; ``down`` refuses everything; ``slow`` answers after a while;
``lose`` takes an append and drops its answer.
"""

import asyncio
import base64
import collections

from standins import service

APPENDS_A_SECOND = 100
SLOW_S = 1.5


class Log(service.Standin):
    """Streams of records with offsets."""

    def __init__(self, options):
        super().__init__(options)
        self.mode = 'up'
        self.loses = 0
        self.streams = collections.defaultdict(list)
        self.firsts = collections.Counter()
        self.tokens = float(options.rate)
        self.filled = None
        self.appends = 0

    async def check_mode(self, exchange):
        """Apply the mode; returns whether the request may go on."""
        if self.mode == 'down':
            exchange.abort()
            return False
        if self.mode == 'slow':
            await asyncio.sleep(SLOW_S)
        return True

    def take_token(self):
        """Apply the rate limit for appends."""
        now = service.now()
        rate = self.options.rate
        since = now if self.filled is None else self.filled
        self.tokens += (now - since) * rate
        self.tokens = min(self.tokens, float(rate))
        self.filled = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    @service.route('Log', 'POST', '/append')
    async def append(self, request, exchange):
        """Append one record to a stream."""
        if not await self.check_mode(exchange):
            return
        if not self.take_token():
            await exchange.send_json(429, {'error': 'too many appends'})
            return
        value = request.json()
        rows = self.streams[value['stream']]
        offset = self.firsts[value['stream']] + len(rows)
        rows.append(value['data'])
        self.appends += 1
        self.trim(value['stream'])
        if self.mode == 'lose' or self.loses > 0:
            self.loses -= 1
            exchange.abort()
            return
        await exchange.send_json(200, {'offset': offset})

    def trim(self, stream):
        """Drop the oldest records over the retention."""
        over = len(self.streams[stream]) - self.options.retain
        if over > 0:
            del self.streams[stream][:over]
            self.firsts[stream] += over

    @service.route('Log', 'GET', '/read')
    async def read(self, request, exchange):
        """Give the records of a stream after an offset."""
        if not await self.check_mode(exchange):
            return
        stream = request.query['stream']
        first = self.firsts[stream]
        start = max(int(request.query['after']) + 1, first)
        rows = self.streams[stream][start - first :]
        rows = rows[: int(request.query.get('most', 500))]
        reply = {
            'first': first,
            'next': first + len(self.streams[stream]),
            'start': start,
            'records': rows,
        }
        await exchange.send_json(200, reply)

    @service.route('Log', 'POST', '/switch')
    async def switch(self, request, exchange):
        """Set the mode, or lose the next `loses` answers."""
        value = request.json()
        self.mode = value.get('mode', self.mode)
        self.loses = value.get('loses', 0)
        self.options.retain = value.get('retain', self.options.retain)
        await exchange.send_json(200, {'mode': self.mode})

    @service.route('Log', 'GET', '/audit')
    async def audit(self, request, exchange):
        """Give every record that is held, decoded."""
        reply = {
            name: [base64.b64decode(row).decode() for row in rows]
            for name, rows in self.streams.items()
        }
        reply = {'streams': reply, 'appends': self.appends}
        await exchange.send_json(200, reply)


if __name__ == '__main__':
    service.main(Log, ('rate', APPENDS_A_SECOND), ('retain', 100_000))
