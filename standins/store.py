"""Stand-in for a store box: memory and disk tiers behind a limited link.

A write is begun, filled in parts, then sealed.  The disk tier is slower.
Its audit says what was read of which write and whether that was whole.
"""

import asyncio
import base64
import hashlib

from standins import service

DISK_SLOWER = 4


class Write:
    """One write: its parts and its state."""

    def __init__(self, meta):
        self.meta = meta
        self.data = bytearray()
        self.sealed = False
        self.checksum = ''
        self.begun = service.now()
        self.tier = 'memory'


class Store(service.Standin):
    """Holds writes until they are freed."""

    def __init__(self, options):
        super().__init__(options)
        self.writes = {}
        self.freed = set()
        self.reads = []
        self.link_free = 0.0
        self.link_bytes = 0
        self.mode = 'up'

    async def use_link(self, size, tier='memory'):
        """Wait for the link, which carries one transfer after another."""
        now = service.now()
        took = size / self.options.bandwidth
        took *= DISK_SLOWER if tier == 'disk' else 1
        self.link_free = max(self.link_free, now) + took
        self.link_bytes += size
        await asyncio.sleep(self.link_free - now)

    def count_bytes(self, tier=None):
        """Give the bytes held, of one tier or of both."""
        return sum(
            len(write.data)
            for write in self.writes.values()
            if tier in (None, write.tier)
        )

    @service.route('Store', 'POST', '/begin')
    async def begin(self, request, exchange):
        """Begin a write under an identity that was never used."""
        value = request.json()
        if self.mode != 'up':
            exchange.abort()
            return
        if value['write'] in self.writes or value['write'] in self.freed:
            await exchange.send_json(409, {'error': 'write id was used'})
            return
        self.writes[value['write']] = Write(value['meta'])
        await exchange.send_json(200, {})

    @service.route('Store', 'POST', '/part')
    async def part(self, request, exchange):
        """Add bytes to a write that is not sealed."""
        write = self.writes.get(request.query['write'])
        if write is None or write.sealed:
            await exchange.send_json(409, {'error': 'not open for writing'})
            return
        size = len(request.body)
        if self.count_bytes() + size > self.options.memory + self.options.disk:
            await exchange.send_json(507, {'error': 'full'})
            return
        await self.use_link(size)
        write.data += request.body
        if self.count_bytes('memory') > self.options.memory:
            write.tier = 'disk'
        await exchange.send_json(200, {})

    @service.route('Store', 'POST', '/seal')
    async def seal(self, request, exchange):
        """Seal a write: nothing of it changes any more."""
        write = self.writes.get(request.query['write'])
        if write is None:
            await exchange.send_json(409, {'error': 'no such write'})
            return
        write.sealed = True
        write.checksum = digest(write.data)
        await exchange.send_json(200, describe(write))

    @service.route('Store', 'GET', '/read')
    async def read(self, request, exchange):
        """Read a write; says at the end whether it is sealed now."""
        name = request.query['write']
        write = self.writes.get(name)
        if self.mode != 'up':
            exchange.abort()
            return
        if write is None:
            await exchange.send_json(404, {'error': 'no such write'})
            return
        data = bytes(write.data)
        await self.use_link(len(data), write.tier)
        sealed = name in self.writes and write.sealed
        self.reads.append({'write': name, 'sealed': sealed})
        reply = {
            'key': write.meta['key'],
            'write': name,
            'sealed': sealed,
            'data': base64.b64encode(data).decode(),
        }
        await exchange.send_json(200, reply)

    @service.route('Store', 'POST', '/free')
    async def free(self, request, exchange):
        """Free a write; its identity stays used."""
        name = request.json()['write']
        self.freed.add(name)
        self.writes.pop(name, None)
        await exchange.send_json(200, {})

    @service.route('Store', 'GET', '/list')
    async def list_writes(self, request, exchange):
        """Give all writes with their state, and the room."""
        if self.mode != 'up':
            exchange.abort()
            return
        now = service.now()
        rows = [
            {**describe(w), 'write': n, 'age': now - w.begun}
            for n, w in self.writes.items()
        ]
        reply = {
            'writes': rows,
            'room': self.options.memory + self.options.disk,
            'link_bytes': self.link_bytes,
            'link_wait': max(0.0, self.link_free - now),
        }
        await exchange.send_json(200, reply)

    @service.route('Store', 'GET', '/audit')
    async def audit(self, request, exchange):
        """Give what was read."""
        reply = {'reads': self.reads, 'link_bytes': self.link_bytes}
        await exchange.send_json(200, reply)

    @service.route('Store', 'POST', '/switch')
    async def switch(self, request, exchange):
        """Set the mode or the link, or change the bytes of a write."""
        value = request.json()
        self.mode = value.get('mode', self.mode)
        options = self.options
        options.bandwidth = value.get('bandwidth', options.bandwidth)
        options.memory = value.get('memory', options.memory)
        options.disk = value.get('disk', options.disk)
        for write in self.writes.values():
            if value.get('corrupt') and write.data:
                write.data[0] ^= 0xFF
            if value.get('unseal'):
                write.sealed = False
        await exchange.send_json(200, {})


def digest(data):
    """Give the checksum of some bytes."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def describe(write):
    """Give what a seal confirms; the checksum is the one of that time."""
    return {
        'length': len(write.data),
        'checksum': write.checksum,
        'sealed': write.sealed,
        'meta': write.meta,
        'tier': write.tier,
    }


if __name__ == '__main__':
    service.main(
        Store,
        ('memory', 32 * 1024 * 1024),
        ('disk', 64 * 1024 * 1024),
        ('bandwidth', 8 * 1024 * 1024),
    )
