"""Short runs that reach every step of the matrix, one group of steps each."""

import asyncio
import typing

from bench import caller
from landingspool import http
from tests.virtual import steps
from tests.virtual import world as world_module

SETTLE_S = 3.0
TRIES = 4
PIECE = 'abcdefgh' * 1000


class Sent(typing.NamedTuple):
    """A request of a caller with all answers that it got."""

    name: str
    workspace: str
    prompt: str
    tokens: int
    repeatable: bool
    answers: list


class Edit(typing.NamedTuple):
    """A publish of an operator and the answer, or None."""

    edit: str
    answer: dict | None


def build(seed, plan=None, **options):
    """Build two domains of two boxes with their back ends, settled.

    The plan is armed only after a first table is in force everywhere.
    """
    world = world_module.World(seed)
    for name in world_module.PLATFORM:
        world.start_standin(name, name, 'platform')
    address = world.get_address('weights')
    weights = f'{address.host}:{address.port}'
    checks = options.get('checks', 1)
    for index, domain in enumerate(('north', 'south')):
        room = options.get('room', 2**22)
        world.start_standin('store', f's{index}', domain, memory=room, disk=0)
        for number in range(2):
            name = f'e{index}{number}'
            values = {'weights': weights, 'checks': checks, 'seed': number}
            values['cache'] = options.get('cache', 4)
            world.start_standin('target', name, domain, 'm', **values)
        world.start_standin('plain', f'p{index}', domain, 'p')
        for number in range(2):
            world.start_box(f'{domain}-{number}', domain)
    world.client = world.start_callers()
    world.announce()
    world.spawn(publish(world, 'north-0', 'first', ['a', 'b'], [0, 0]))
    boxes = world.list_boxes()

    def is_ready():
        return all(
            world.processes[b].thing.node.table.offset >= 0 for b in boxes
        )

    assert world.run_until(is_ready, 20.0), 'the fleet did not start'
    world.run(max(world.now, SETTLE_S))
    world.plan = plan
    return world


async def publish(world, box, edit, names, bases, versions=None, limit=20):
    """Publish rows at a box; returns the Edit."""
    draft = {
        'author': edit,
        'rows': [world_module.make_row(name, limit) for name in names],
        'removed': [],
        'bases': bases,
        'versions': versions or {},
        'edit': edit,
    }
    headers = [('authorization', f'Bearer {world_module.OPERATOR_KEY}')]
    address = world.get_address(box, 1)
    path = '/admin/publish'
    try:
        reply = await world.client.fetch(
            address, 'POST', path, draft, headers, timeout=15.0
        )
        answer = reply.json()
    except http.Unreachable:
        answer = None
    result = Edit(edit, answer)
    world.tables.append(result)
    return result


async def ask(world, name, workspace, prompt, model='m', **options):
    """Send a request, and again while it is not surely answered.

    A request that may not be repeated is sent again with its key, as its
    caller would, to another box each time.
    """
    tokens = options.get('tokens', 4)
    once = model == 'p'
    sent = Sent(name, workspace, prompt, tokens, not once, [])
    world.answers.append(sent)
    body = {'model': model, 'prompt': prompt, 'max_tokens': tokens}
    body['stream'] = not once
    headers = {'x_request_id': name, 'x_deadline_s': '20'}
    if once:
        minted = int(world_module.WALL + world.now)
        headers['idempotency_key'] = f'{minted}-{name}'
    first = options.get('box', 0)
    for number in range(TRIES):
        boxes = world.list_boxes()
        box = boxes[(first + number) % len(boxes)]
        try:
            async with asyncio.timeout(30.0):
                answer = await caller.complete(
                    world.client,
                    world.get_address(box),
                    f'key-{workspace}',
                    body,
                    **headers,
                )
        except TimeoutError:
            sent.answers.append(None)
            return sent
        sent.answers.append(answer)
        if answer.whole or not is_open(answer):
            return sent
        await asyncio.sleep(0.5)
    return sent


def is_open(answer):
    """Tell whether a caller would send the request again."""
    verdict = answer.error.get('verdict')
    return answer.status == 0 or verdict != 'ran'


def serve(world):
    """Send requests of both workspaces, plain calls among them."""
    for index in range(4):
        workspace = 'ab'[index % 2]
        prompt = f'{workspace}{index}' + PIECE
        call = ask(world, f'r{index}', workspace, prompt, box=index)
        world.spawn(call)
    for index in range(4):
        workspace = 'ab'[index % 2]
        call = ask(
            world, f'k{index}', workspace, f'call {index}', 'p', box=index
        )
        world.spawn(call)
    world.finish(40.0)


def keep(world):
    """Send prompts whose follow-ups need context from the stores.

    Each runner's cache holds four pieces, so other prompts push it out.
    """
    for turn in range(3):
        for index in range(8):
            # Two workspaces send the same text, and share none of it.
            workspace = 'ab'[index % 2]
            prompt = f'p{index // 2}' + PIECE * 3
            name = f't{turn}{index}'
            call = ask(world, name, workspace, prompt, box=0, tokens=2)
            world.spawn(call)
        world.run(world.now + 4.0)
    world.finish(40.0)


def get_rows(world):
    """Give the rows of the newest table among the boxes."""
    tables = [world.processes[n].thing.node.table for n in world.list_boxes()]
    return max(tables, key=lambda table: table.offset).rows


def configure(world):
    """Publish at two boxes, with a race on one row."""
    # One box starts late, cut from the log: it learns from the others.
    world.start_box('north-9', 'north')
    world.cut('north-9', 'log', 9.0)
    world.announce()
    world.run(world.now + 3.0)
    offset = get_rows(world)['a'].revision
    world.spawn(publish(world, 'north-1', 'edit-1', ['a'], [offset], None, 7))
    world.run(world.now + 2.0)
    base = get_rows(world)['b'].revision
    for box, edit, limit in (
        ('south-0', 'edit-2', 8),
        ('north-1', 'edit-3', 9),
    ):
        if box in world.processes:
            call = publish(world, box, edit, ['b'], [base], None, limit)
            world.spawn(call)
    world.finish(40.0)
    # What was sent late arrives before the end.
    world.run(world.now + 6.0)


def swap(world):
    """Publish a new weight version while requests run."""
    for index in range(3):
        prompt = f'a{index}' + PIECE * 2
        world.spawn(ask(world, f'r{index}', 'a', prompt, box=index, tokens=30))
    world.run(world.now + 0.5)
    box = world.list_boxes()[0]
    world.spawn(publish(world, box, 'edit-v', [], [], {'m': 'v2'}))
    for turn in range(6):
        world.run(world.now + 1.5)
        if turn == 3:
            box = world.list_boxes()[-1]
            world.spawn(publish(world, box, 'edit-w', [], [], {'m': 'v3'}))
        for index in range(3):
            prompt = f'a{index}' + PIECE * 2
            name = f's{turn}{index}'
            world.spawn(ask(world, name, 'a', prompt, box=index))
    world.finish(40.0)


def replace(world):
    """Let a target leave, drain a box and replace a box, under load."""

    async def send_all():
        for index in range(24):
            prompt = f'a{index}' + PIECE
            call = ask(world, f'r{index}', 'ab'[index % 2], prompt, box=index)
            world.spawn(call)
            if index % 4 == 0:
                name = f'k{index}'
                world.spawn(ask(world, name, 'a', name, 'p', box=index))
            await asyncio.sleep(0.25)

    world.spawn(send_all())
    world.run(world.now + 1.0)
    if 'e00' in world.processes:
        leave(world, 'e00')
    world.run(world.now + 2.0)
    if 'north-0' in world.processes:
        box = world.processes['north-0']
        box.loop.run(box.thing.drain)
        world.members['north-0']['leaving'] = True
        world.announce()
    world.run(world.now + 1.0)
    step = steps.Step('replace', 'south-1')
    if world.plan is not None:
        world.plan(world, step)
    world.kill('south-1')
    world.members.pop('south-1', None)
    world.start_box('south-7', 'south')
    world.announce()
    world.finish(40.0)


def leave_frozen(world):
    """Let a target leave while a box that holds a grant for it is frozen.

    The target itself does not know that it leaves, so only the box can
    keep new work away from it.
    """
    for index in range(8):
        prompt = f'a{index}' + PIECE
        world.spawn(ask(world, f'r{index}', 'a', prompt, box=0, tokens=2))

    def has_grant():
        box = world.processes['north-0'].thing
        cases = box.node.entry._tracked.values()
        return any(c.grant and c.grant.target == 'e00' for c in cases)

    assert world.run_until(has_grant, world.now + 5.0)
    step = steps.Step('leave soon', 'north-0')
    if world.plan is not None:
        world.plan(world, step)
    leave(world, 'e00')
    world.finish(40.0)


def order_unfenced(world):
    """Publish versions one after the other to targets without fences."""
    for name, process in world.processes.items():
        if name.startswith('e'):
            process.thing.options.checks = 0
            world.members[name]['checks_fences'] = False
    world.announce()
    world.run(world.now + 12.0)
    for number in range(3):
        box = world.list_boxes()[-1]
        versions = {'m': f'v{number + 2}'}
        world.spawn(publish(world, box, f'v-{number}', [], [], versions))
        world.run(world.now + 3.0)
    world.finish(40.0)
    world.run(world.now + 15.0)


def leave(world, name):
    """Mark a target as leaving on the live list and at itself."""
    world.members[name]['leaving'] = True
    world.announce()
    world.leaves[name] = world.now


# Small stores and caches, so that kept context has to be freed for new
# and is wanted from the stores.
OPTIONS = {'keep': {'room': 80_000, 'cache': 3}}

STORIES = {
    'configure': configure,
    'serve': serve,
    'keep': keep,
    'swap': swap,
    'replace': replace,
    'leaving': leave_frozen,
    'unfenced': order_unfenced,
}
