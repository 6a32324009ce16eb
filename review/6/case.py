"""A tenant becomes isolated; another one then uses what it had made."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib_2'))

import client as client_module  # noqa: E402
import runner as runner_module  # noqa: E402
import scene as scene_module  # noqa: E402

# Whether the script plays its disruption.
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
SERVICE = 'huvo11a'
MODEL = 'daka510000'
# Name and key of each tenant.
TENANTS = {'bozi300': 'jnbanfqasnmgkcuyj8pj', 'veli200': 'bvk9m68k7b2ex5wa5xw'}
WALLED = 'bozi300'
# The parts that prompts of both tenants begin with, by subject.
SUBJECTS = [f'5c1e07a{n}:800,91bd3f0{n}:410' for n in range(6)]
# Bound of the rules for a configuration, seconds, and a second beyond it.
CONFIG_S = 2.0
WAIT_S = CONFIG_S + 1.0
ROUTES = [
    {
        'name': 'r-2xp4zhp',
        'host': scene_module.HOST,
        'path_prefix': '/puxa400/',
        'kind': 'streaming',
        'timeout_ms': 12000,
        'target_latency_ms': 400,
        'priority': 1,
        'service': SERVICE,
        'max_attempts': 2,
        'allow_anonymous': False,
        'session_affinity': True,
        'resumable': True,
        'gap_aim_ms': 300,
    }
]
SERVICES = [
    {
        'name': SERVICE,
        'health_path': '/healthz',
        'max_connections': 610,
        'protocol': 'h1',
        'tls': False,
        'engine': {
            'slots': 128,
            'kv_capacity': 179305,
            'token_kv_bytes': 35136,
            'link_mbps': 1100000.0,
            'stride': 6,
            'max_in_flight': 12,
            'pin_ms': 4000.0,
            'hold_ms': 2000.0,
            'handle_s': 5.0,
            'models': [{'name': MODEL}],
        },
    }
]


def list_tenants(is_walled):
    """Return the tenants of a configuration."""
    return [
        {
            'name': name,
            'api_keys': [key],
            'priority': 1,
            'isolated': is_walled and name == WALLED,
        }
        for name, key in TENANTS.items()
    ]


async def send_all(scene, tenant, word):
    """Send one prompt for each subject, as a tenant, to box after box."""
    for number, parts in enumerate(SUBJECTS):
        box = scene.boxes[number % len(scene.boxes)]
        client = client_module.Client(box.front)
        name = f'{tenant}-{word}-{number}'
        answer = await client.ask(
            '/puxa400/2f',
            name,
            TENANTS[tenant],
            b'prompt',
            12000,
            (
                f'X-Landingspool-Model-Name: {MODEL}',
                'X-Landingspool-Token-Usage: 1460,80',
                f'X-Landingspool-Prefix-Hash: {parts},{number:08x}{word}:250',
            ),
        )
        client.close()
        scene.note(f'client: {name} at {box.name}: {answer.status}')


def find_broken(scene, since):
    """Note and count the runs on memory of another tenant, since a time."""
    tenants = {}
    for runner in scene.runners:
        for run in runner.runs:
            tenants[run.id] = run.head['x-landingspool-tenant-id']
    broken = 0
    for runner in scene.runners:
        for run in runner.runs:
            own = tenants[run.id]
            foreign = [
                (part, tenants[maker])
                for part, maker in run.made_by
                if tenants[maker] != own
            ]
            salt = run.head.get('cache-salt', '')
            scene.note(
                f'{runner.name} ran {run.id} of {own} under salt {salt!r}, '
                f'with memory made by others: {foreign}'
            )
            is_walled = WALLED in (own, *(tenant for _, tenant in foreign))
            broken += bool(foreign and is_walled and run.at >= since)
    return broken


async def play(scene):
    """Play the case; returns whether the rule was broken."""
    await scene.open()
    for number, zone in enumerate(scene.zones):
        runner = runner_module.Runner(
            scene, SERVICE, zone, f'i-7f3a91c{number}', MODEL, 128
        )
        await scene.add_runner(runner)
    named = {'model': MODEL, 'version': 1}
    scene.store.put('keyed.op', f'version/{MODEL}', named)
    # Without the disruption the tenant is isolated from the start.
    scene.publish(ROUTES, SERVICES, list_tenants(not IS_TROUBLED))
    await scene.start_boxes()
    await asyncio.sleep(1.0)
    await send_all(scene, WALLED, 'first')
    if IS_TROUBLED:
        scene.publish(ROUTES, SERVICES, list_tenants(True))
        scene.note(f'operator: {WALLED} is isolated from now on')
    await asyncio.sleep(WAIT_S)
    since = scene.monotonic()
    await send_all(scene, 'veli200', 'later')
    broken = find_broken(scene, since)
    scene.note(f'runs on memory made behind the wall: {broken}')
    return broken > 0


scene_module.run_case(lambda: scene_module.Scene(FOLDER / 'record.txt'), play)
