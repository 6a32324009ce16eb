"""Targets that leave orders unanswered and carry them out late."""

import asyncio
import json

from standins import runner as runner_module
from tests.gateway import site


class LateRunner(runner_module.Runner):
    """Leaves orders unanswered and carries them out late.

    Attributes
    ----------
    asked : list of float
        When orders arrived.
    late_s, load_s : float
        Seconds until an order is carried out, and those that it takes then.
    """

    def __init__(self, name, late_s, load_s=0.6):
        super().__init__(name)
        self.asked = []
        self.late_s = late_s
        self.load_s = load_s
        self._is_busy = False

    def _answer_call(self, writer, head, body):
        if head['path'] == '/api/report':
            _, row = self._report(body)
            data = json.dumps({**row, 'busy': self._is_busy}).encode()
            head = b'HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n'
            writer.write(head % len(data) + data)
        elif head['path'] == '/api/order':
            loop = asyncio.get_running_loop()
            self.asked.append(loop.time())
            loop.call_later(self.late_s, self._begin, body)
        else:
            super()._answer_call(writer, head, body)

    def _begin(self, body):
        """Carry out an order, with what it expects checked only now."""
        if self._is_busy or json.loads(body)['expected'] != len(self.orders):
            return
        self._is_busy = True
        loop = asyncio.get_running_loop()
        loop.call_later(self.load_s, self._end, body)

    def _end(self, body):
        self._is_busy = False
        self._order(body)


def run(check, count, late_s):
    """Run an async test against targets that carry orders out late."""

    async def main():
        deployment = site.Site(engines=0)
        deployment.engines = [
            LateRunner(f'e{i}', late_s) for i in range(count)
        ]
        async with deployment:
            await check(deployment)

    asyncio.run(main())
