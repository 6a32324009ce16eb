"""One fleet for each test module, and a way to run coroutines on it."""

import asyncio
import time

import pytest

from bench import caller
from bench import fleet
from landingspool.decisions import identity

WORKSPACES = ('reading-room', 'loan-desk')
LIMIT = 16


class Bench:
    """A running fleet and the loop that its calls run on.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    running : fleet.Fleet
    """

    def __init__(self, loop, running):
        self.loop = loop
        self.fleet = running

    def run(self, coroutine):
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(coroutine)

    def get_address(self, box):
        """Give the callers' address of a box."""
        return self.fleet.boxes[box].callers

    async def send(self, box, workspace='reading-room', **options):
        """Send one request to a box; returns its caller.Answer."""
        body = {
            'model': options.pop('model', 'transcription'),
            'prompt': options.pop('prompt', 'a label'),
            'max_tokens': options.pop('max_tokens', 4),
            'stream': options.pop('stream', True),
        }
        return await caller.complete(
            self.fleet.client,
            self.get_address(box),
            f'key-{workspace}',
            body,
            **options,
        )

    def make_key(self, name):
        """Give an idempotency key of now."""
        return f'{int(time.time())}-{name}'

    async def list_runs(self, request):
        """Give what the targets say they ran of a caller's prompt or id."""
        runs = []
        for name, member in self.fleet.members.items():
            if member['kind'] in ('target', 'plain'):
                audit = await self.fleet.audit(name)
                runs += [r for r in audit['runs'] if request in r['request']]
        return runs


def make_rows(names=WORKSPACES, limit=LIMIT):
    """Give rows of a table with equal shares."""
    return [
        {
            'workspace': name,
            'weight': 1.0,
            'share': 0.4,
            'limit': limit,
            'priority': 1,
            'key_hash': identity.hash_key(f'key-{name}'),
        }
        for name in names
    ]


@pytest.fixture(scope='module')
def bench():
    """Start the herbarium's fleet with a published table."""
    loop = asyncio.new_event_loop()
    running = fleet.Fleet(fleet.HERBARIUM._replace(log_level='DEBUG'))
    try:
        loop.run_until_complete(running.start())
        result = loop.run_until_complete(running.publish(make_rows()))
        loop.run_until_complete(running.wait_in_force(result['offset']))
        yield Bench(loop, running)
    finally:
        loop.run_until_complete(running.stop())
        loop.close()
