"""Disturbs the boxes of a fleet and measures when its view is whole again."""

import asyncio

from landingspool.decisions import ownership
from landingspool import http

BEFORE_S = 5.0
FROZEN_S = 6.0
POLL_S = 0.05
LIMIT_S = 20.0
NOTES = []


def get_owner(running, model, domain):
    """Give the box that schedules a model's pool in a domain."""
    names = [n for n, p in running.boxes.items() if p.domain == domain]
    return ownership.get_owner(ownership.name_pool(model, domain), names)


async def kill_owner(running):
    """Kill the box that schedules the main pool of the first domain."""
    await asyncio.sleep(BEFORE_S)
    domain = running.shape.domains[0]
    model = running.shape.engines[0][0]
    owner = get_owner(running, model, domain)
    running.kill(owner)
    running.boxes.pop(owner)
    await record_recovery(running, 'killed', domain, model)


async def freeze_owner(running):
    """Freeze that box for a time."""
    await asyncio.sleep(BEFORE_S)
    domain = running.shape.domains[0]
    model = running.shape.engines[0][0]
    owner = get_owner(running, model, domain)
    running.freeze(owner)
    ports = running.boxes.pop(owner)
    await record_recovery(running, 'frozen', domain, model)
    await asyncio.sleep(FROZEN_S)
    running.thaw(owner)
    running.boxes[owner] = ports


async def replace_domain(running):
    """Replace all boxes of the first domain at once."""
    await asyncio.sleep(BEFORE_S)
    domain = running.shape.domains[0]
    model = running.shape.engines[0][0]
    for name in [n for n, p in running.boxes.items() if p.domain == domain]:
        running.kill(name)
        running.boxes.pop(name)
        running.members.pop(name)
    for index in range(running.shape.boxes):
        await running.start_box(f'{domain}-{index + 20}', domain)
    await running.announce(now=False)
    await record_recovery(running, 'replaced', domain, model)


async def record_recovery(running, name, domain, model):
    """Measure until a living box schedules the pool with all targets."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    pool = ownership.name_pool(model, domain)
    wanted = list_targets(running, model, domain)
    while loop.time() - began < LIMIT_S:
        if await is_whole(running, pool, domain, wanted):
            seconds = loop.time() - began
            NOTES.append(f'{name}: the view was whole after {seconds:.2f} s')
            return
        await asyncio.sleep(POLL_S)
    NOTES.append(f'{name}: the view was not whole after {LIMIT_S} s')


def list_targets(running, model, domain):
    """Give the names of a pool's targets."""
    return {
        name
        for name, member in running.members.items()
        if member.get('model') == model and member['domain'] == domain
    }


async def is_whole(running, pool, domain, wanted):
    """Tell whether a box schedules the pool and has heard its targets."""
    for name, ports in list(running.boxes.items()):
        if ports.domain != domain:
            continue
        try:
            status = await running.ask_operator(name, 'GET', '/admin/status')
        except http.Unreachable:
            continue
        heard = {
            row['target']
            for row in status['targets']
            if row['pool'] == pool and row['ready']
        }
        if heard == wanted:
            return True
    return False
