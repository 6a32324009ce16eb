"""Engines of a site that crash under some requests, and are replaced."""

import asyncio
import itertools

from standins import runner as runner_module
from tests.gateway import site

# Seconds until a crashed engine is replaced.
REPLACED_S = 0.2


class Engines:
    """Engines of a site that crash, and their replacements.

    Parameters
    ----------
    deployment : site.Site
    make_fatal : callable
        ``make_fatal(runner)`` makes a target crash under some requests.
    """

    def __init__(self, deployment, make_fatal):
        self._deployment = deployment
        self._make_fatal = make_fatal
        self._numbers = itertools.count(100)
        self.ended = []

    async def start(self):
        """Make the engines crash; return the task that replaces them."""
        for runner in self._deployment.engines:
            self._prepare(runner)
        return asyncio.ensure_future(self._replace_all())

    def count_ends(self):
        """Count the engines that have crashed so far."""
        now = [r for r in self._deployment.engines if r.ended]
        return len(self.ended) + len(now)

    def list_ran(self):
        """List the heads of all requests that engines have run."""
        runners = (*self.ended, *self._deployment.engines)
        return [head for runner in runners for head in runner.ran]

    def _prepare(self, runner):
        self._make_fatal(runner)
        runner.usual = 'stream'

    async def _replace_all(self):
        while True:
            await asyncio.sleep(0.01)
            for runner in list(self._deployment.engines):
                if runner.ended:
                    await self._replace(runner)

    async def _replace(self, runner):
        deployment = self._deployment
        deployment.engines.remove(runner)
        self.ended.append(runner)
        follower = runner_module.Runner(f'e{next(self._numbers)}')
        self._prepare(follower)
        await asyncio.sleep(REPLACED_S)
        await follower.start()
        deployment.engines.append(follower)
        deployment.announce(follower, 'engine', model='m')
        deployment.store.put('keyed.servers', runner.name, b'')


def run(check, make_fatal, engines):
    """Run a test against a site whose engines crash under some requests.

    Parameters
    ----------
    check : callable
        ``async check(deployment, engines)``.
    make_fatal : callable
        As of Engines.
    engines : int
        Number of engines.
    """

    async def start(deployment):
        found = Engines(deployment, make_fatal)
        work = await found.start()
        try:
            await check(deployment, found)
        finally:
            work.cancel()

    site.run(start, engines=engines)
