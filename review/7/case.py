"""A key is taken away; its requests go on running on an open route."""

import asyncio
import collections
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
SERVICE = 'kafi81c'
KEPT, REVOKED = 'jnbanfqasnmgkcuyj8pj', 'bvk9m68k7b2ex5wa5xwy'
# Bound of the rules from the acknowledgement of a configuration that removes
# a key, seconds.
REVOKE_S = 5.0
PERIOD_S = 0.2
# Seconds for which clients send before and after the change.
BEFORE_S, AFTER_S = 2.0, 9.0
SERVICES = [
    {
        'name': SERVICE,
        'health_path': '/healthz',
        'max_connections': 96,
        'protocol': 'h1',
        'tls': False,
    }
]


def make_route(name, is_open):
    """Return a route; an open one needs no key."""
    return {
        'name': f'r-{name}',
        'host': scene_module.HOST,
        'path_prefix': f'/{name}/',
        'kind': 'unsafe',
        'timeout_ms': 1200,
        'target_latency_ms': 150,
        'priority': 2,
        'service': SERVICE,
        'max_attempts': 1,
        'allow_anonymous': is_open,
        'session_affinity': False,
        'resumable': False,
    }


ROUTES = [make_route('closed', False), make_route('open', True)]


def list_tenants(keys):
    """Return the tenants of a configuration."""
    return [{'name': 'bozi300', 'api_keys': keys, 'priority': 1}]


async def send_on(scene, box, route, sent):
    """Send one request after another with the key that is taken away."""
    client = client_module.Client(box.front)
    number = 0
    while True:
        number += 1
        name = f'{route}-{box.name}-{number}'
        sent[name] = route, scene.monotonic()
        answer = await client.ask(f'/{route}/2f', name, REVOKED, b'x')
        scene.note(f'client: {name} with the key: {answer.status}')
        await asyncio.sleep(PERIOD_S)


async def play(scene):
    """Play the case; returns whether the rule was broken."""
    await scene.open()
    for number, zone in enumerate(scene.zones):
        runner = runner_module.Runner(
            scene, SERVICE, zone, f'i-7f3a91c{number}'
        )
        await scene.add_runner(runner)
    scene.publish(ROUTES, SERVICES, list_tenants([KEPT, REVOKED]))
    await scene.start_boxes()
    sent, removed = {}, None
    works = [
        asyncio.ensure_future(send_on(scene, box, route, sent))
        for box in scene.boxes
        for route in ('closed', 'open')
    ]
    await asyncio.sleep(BEFORE_S)
    if IS_TROUBLED:
        scene.publish(ROUTES, SERVICES, list_tenants([KEPT]))
        removed = scene.monotonic()
        scene.note('operator: the key is taken away')
    await asyncio.sleep(AFTER_S)
    for work in works:
        work.cancel()
    await asyncio.gather(*works, return_exceptions=True)
    late = collections.Counter()
    for runner in scene.runners:
        for run in runner.runs:
            route, at = sent[run.id]
            if removed is not None and at > removed + REVOKE_S:
                late[route] += 1
                scene.note(
                    f'{runner.name} ran {run.id}, sent '
                    f'{at - removed:.2f} s after the key was taken away'
                )
    scene.note(f'runs of requests sent too late, by route: {dict(late)}')
    return bool(late)


scene_module.run_case(lambda: scene_module.Scene(FOLDER / 'record.txt'), play)
