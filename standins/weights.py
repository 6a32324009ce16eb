"""Stand-in for the weight store: it feeds two loads at full speed."""

import asyncio

from standins import service

LOAD_S = 1.3
FULL_SPEED = 2


class Weights(service.Standin):
    """Gives the weights of a version after the time that a load takes."""

    def __init__(self, options):
        super().__init__(options)
        self.loading = 0
        self.most = 0

    @service.route('Weights', 'GET', '/load')
    async def load(self, request, exchange):
        """Answer when a load is through; longer when many load at once."""
        self.loading += 1
        self.most = max(self.most, self.loading)
        slower = max(1.0, self.loading / FULL_SPEED)
        await asyncio.sleep(self.options.seconds * slower)
        self.loading -= 1
        await exchange.send_json(200, {'version': request.query['version']})

    @service.route('Weights', 'GET', '/audit')
    async def audit(self, request, exchange):
        """Give the most loads that ran at once."""
        await exchange.send_json(200, {'most': self.most})


if __name__ == '__main__':
    service.main(Weights, ('seconds', LOAD_S))
