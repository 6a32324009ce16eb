"""The main job: start everything, publish a table, serve, print, stop.

Prompts of several workspaces are sent with long shared beginnings; their
follow-ups return after a gap in which the engines' caches were reused by
others, so that kept context has to come from the stores.
"""

import asyncio
import os
import random
import sys
import time
import typing

from bench import caller
from bench import fleet
from bench import report
from landingspool.decisions import identity

SEED = 7
GAP_S = 3.0
PIECE = identity.PIECE_BYTES
WORDS = ('sheet', 'label', 'genus', 'collector', 'locality', 'date', 'note')


class Group(typing.NamedTuple):
    """A workspace of the demo and what it sends."""

    name: str
    model: str
    weight: float
    share: float
    limit: int
    priority: int
    prompts: int


GROUPS = (
    Group('reading-room', 'transcription', 4.0, 0.4, 12, 2, 5),
    Group('botany-network', 'catalogue', 2.0, 0.3, 8, 1, 4),
    Group('loan-desk', 'catalogue', 1.0, 0.2, 8, 1, 4),
)


class Rest(typing.NamedTuple):
    """What is left of a caller: its answers."""

    group: Group
    answers: list


def make_prompt(rng, pieces):
    """Make a prompt of so many whole pieces."""
    words = []
    size = 0
    while size < pieces * PIECE:
        word = f'{rng.choice(WORDS)}{rng.randrange(10_000)} '
        words.append(word)
        size += len(word)
    return ''.join(words)[: pieces * PIECE]


def make_row(group):
    """Give the row of the table for a group."""
    return {
        'workspace': group.name,
        'weight': group.weight,
        'share': group.share,
        'limit': group.limit,
        'priority': group.priority,
        'key_hash': identity.hash_key(f'key-{group.name}'),
    }


async def publish_with_tool(running, folder):
    """Publish the table with the command-line tool, as operators do."""
    environment = {
        **os.environ,
        'PYTHONPATH': str(fleet.ROOT),
        'LANDINGSPOOL_KEY': fleet.OPERATOR_KEY,
        'LANDINGSPOOL_BOXES': ','.join(
            f'{ports.operators.host}:{ports.operators.port}'
            for ports in running.boxes.values()
        ),
    }
    path = folder / 'table.csv'
    lines = ['workspace,weight,share,limit,priority,key_hash']
    for group in GROUPS:
        lines.append(','.join(str(v) for v in make_row(group).values()))
    path.write_text('\n'.join(lines) + '\n')
    for command in (('table', 'publish', str(path)), ('status',)):
        print('$ landingspool', command[0], *command[1:2])
        sys.stdout.flush()
        tool = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'landingspool.command.tool',
            *command,
            env=environment,
        )
        status = await tool.wait()
        if status:
            raise SystemExit(f'the tool ended with status {status}')


async def send(running, group, prompt, answers, rng):
    """Send one prompt to a box that the balancer might have chosen."""
    box = rng.choice(sorted(running.boxes))
    body = {
        'model': group.model,
        'prompt': prompt,
        'max_tokens': 24,
        'stream': True,
    }
    address = running.boxes[box].callers
    answer = await caller.complete(
        running.client, address, f'key-{group.name}', body
    )
    answers.append(answer)


async def serve_group(running, group, rng):
    """Send a group's prompts, and after a gap their follow-ups."""
    shared = make_prompt(rng, 3)
    prompts = [shared + make_prompt(rng, 2) for _ in range(group.prompts)]
    answers = []
    for turn in range(3):
        await asyncio.gather(
            *(send(running, group, p, answers, rng) for p in prompts)
        )
        prompts = [prompt + make_prompt(rng, 1) for prompt in prompts]
        if turn < 2:
            await asyncio.sleep(GAP_S)
    return Rest(group, answers)


async def call_service(running):
    """Call the plain service once, with a key, and repeat the call."""
    key = f'{int(time.time())}-demo'
    body = {'model': running.shape.plain, 'prompt': 'annotate sheet 12'}
    statuses = []
    for box in sorted(running.boxes)[:2]:
        answer = await caller.complete(
            running.client,
            running.boxes[box].callers,
            'key-reading-room',
            body,
            idempotency_key=key,
        )
        statuses.append(answer.status)
    audit = await running.audit(f'{running.shape.plain}-1')
    print(f'one key sent twice: answers {statuses}, runs {len(audit["runs"])}')
    return len(audit['runs']) == 1


async def run():
    """Run the demo; returns whether all of it was right."""
    running = fleet.Fleet(fleet.HERBARIUM)
    try:
        await running.start()
        names = ', '.join(sorted(running.boxes))
        print(f'{len(running.processes)} processes serve; boxes: {names}')
        await publish_with_tool(running, running.folder)
        rngs = [random.Random(f'{SEED}/{group.name}') for group in GROUPS]
        rests = await asyncio.gather(
            *(serve_group(running, g, r) for g, r in zip(GROUPS, rngs))
        )
        once = await call_service(running)
        links = await report.read_links(running)
        memory = max([await running.read_memory(b) for b in running.boxes])
        report.print_groups(rests, links)
        print(f'resident memory of the largest daemon: {memory:.1f} MB')
        whole = all(a.whole for rest in rests for a in rest.answers)
        print(f'all answers whole: {whole}')
        return whole and once
    finally:
        await running.stop()
        print('everything is stopped')


if __name__ == '__main__':
    sys.exit(0 if asyncio.run(run()) else 1)
