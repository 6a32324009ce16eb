"""Requests with a part in their prompts under which targets crash.

No two of them are alike: the part that crashes targets stands between one that
all prompts begin with and one of their own.
"""

import asyncio

from soak import callers
from soak import fleet as fleet_module
from standins import runner as runner_module

FIRST = 'aa'
# Requests with such a part in one run, and the seconds between two of them.
ARRIVALS = 12, 30
PAUSE_S = 0.1, 0.6
# Seconds within which they begin.
WITHIN_S = 2.0


async def send_fatal(fleet, rng):
    """Send requests with one or two such parts, to any boxes."""
    await asyncio.sleep(rng.uniform(0, WITHIN_S))
    fatal = fleet_module.FATAL_PARTS
    chosen = rng.sample(fatal, rng.randint(1, len(fatal)))
    asker = callers.Caller('fatal', fleet, rng)
    for number in range(rng.randint(*ARRIVALS)):
        box, part = rng.choice(fleet.boxes), rng.choice(chosen)
        # The box stands in the name of the request: the auditor asks for it.
        name = f'part{number} {box.name}'
        prompt = f'{FIRST}:100,{part}:100,own{number}:100'
        path = '/resumed/part'
        key = fleet.find_key()
        await asker.ask(box, path, name, key, name.encode(), prompt=prompt)
        await fleet.replace_ended()
        await asyncio.sleep(rng.uniform(*PAUSE_S))


def list_runs(fleet, part):
    """List the runs of requests with a part."""
    return [
        head
        for runner in fleet.runners
        for head in runner.ran
        if part in runner_module.list_parts(head)
    ]
