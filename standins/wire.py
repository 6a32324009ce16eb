"""Stand-in for a network path: it carries TCP to one address, or cuts it.

Modes: ``up``; ``cut`` holds back everything both ways and takes no new
connection; ``back`` carries what goes there and holds back the answers.
"""

import asyncio

from landingspool import http
from standins import service

READ_BYTES = 65536


class Wire(service.Standin):
    """Forwards one port."""

    def __init__(self, options):
        super().__init__(options)
        self.mode = 'up'
        self.healed = asyncio.Event()
        self.address = None

    async def run(self):
        """Carry connections until the process ends."""
        server = await asyncio.start_server(self.carry, '127.0.0.1', 0)
        self.address = http.Address(*server.sockets[0].getsockname())
        await server.serve_forever()

    async def carry(self, reader, writer):
        """Carry one connection."""
        await self.wait_open(('up', 'back'))
        host, _, port = self.options.to.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self.pump(reader, far_writer, ('up', 'back')),
            self.pump(far_reader, writer, ('up',)),
            return_exceptions=True,
        )

    async def pump(self, reader, writer, modes):
        """Carry one direction, in the modes in which it is open."""
        try:
            while data := await reader.read(READ_BYTES):
                await self.wait_open(modes)
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()

    async def wait_open(self, modes):
        """Wait until the mode is one of some."""
        while self.mode not in modes:
            await self.healed.wait()

    @service.route('Wire', 'GET', '/address')
    async def tell(self, request, exchange):
        """Give the address that is carried."""
        await exchange.send_json(200, {'address': list(self.address)})

    @service.route('Wire', 'POST', '/switch')
    async def switch(self, request, exchange):
        """Set the mode."""
        self.mode = request.json()['mode']
        self.healed.set()
        self.healed = asyncio.Event()
        await exchange.send_json(200, {'mode': self.mode})


if __name__ == '__main__':
    service.main(Wire, ('to', ''))
