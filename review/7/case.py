"""A runner answers 503 to requests that it has run; it reaches the callers.

The status promises to a client that its request has not run, so that it sends
the request again, and the work is done twice.
"""

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
# The share of its requests that one runner fails, and for how long, seconds.
FAILING = 0.4
FAILING_S = 6.5
BEFORE_S = 2.0
CLIENTS = 12
PERIOD_S = 0.3
# Statuses that promise that a request has not run.
PROMISES = 408, 421, 429, 503
# Times that a client sends a request again after such a promise.
RETRIES = 1
ROUTES = [
    {
        'name': 'r-1',
        'host': scene_module.HOST,
        'path_prefix': '/bobo563/',
        'kind': 'unsafe',
        'timeout_ms': 1200,
        'target_latency_ms': 150,
        'priority': 2,
        'service': SERVICE,
        'max_attempts': 1,
        'allow_anonymous': False,
        'session_affinity': False,
        'resumable': False,
    }
]
SERVICES = [
    {
        'name': SERVICE,
        'health_path': '/healthz',
        'max_connections': 96,
        'protocol': 'h1',
        'tls': False,
    }
]
TENANTS = [{'name': 'bozi300', 'api_keys': [scene_module.KEY], 'priority': 1}]


async def send_on(scene, number, answers):
    """Send one piece of work after another, as a client of the pages does."""
    box = scene.boxes[number % len(scene.boxes)]
    client = client_module.Client(box.front)
    count = 0
    while True:
        count += 1
        for attempt in range(RETRIES + 1):
            # Each attempt has an id of its own.
            name = f'c{number}-{count}-{attempt}'
            answer = await client.ask('/bobo563/2f', name, body=b'one entry')
            answers[name] = answer
            scene.note(f'client: {name} at {box.name}: {answer.status}')
            if answer.status not in PROMISES:
                break
            client.close()
        await asyncio.sleep(PERIOD_S)


async def play(scene):
    """Play the case; returns whether the rule was broken."""
    await scene.open()
    for number, zone in enumerate(scene.zones):
        runner = runner_module.Runner(
            scene, SERVICE, zone, f'i-7f3a91c{number}'
        )
        await scene.add_runner(runner)
    scene.publish(ROUTES, SERVICES, TENANTS)
    await scene.start_boxes()
    answers = {}
    works = [
        asyncio.ensure_future(send_on(scene, number, answers))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(BEFORE_S)
    if IS_TROUBLED:
        scene.runners[0].failing = FAILING
        scene.note(f'{scene.runners[0].name} fails {FAILING} of its requests')
    await asyncio.sleep(FAILING_S)
    scene.runners[0].failing = 0.0
    await asyncio.sleep(1.0)
    for work in works:
        work.cancel()
    await asyncio.gather(*works, return_exceptions=True)
    return is_broken(scene, answers)


def is_broken(scene, answers):
    """Return whether requests that have run were answered as not run."""
    ran = {run.id for runner in scene.runners for run in runner.runs}
    refused = [
        name
        for name, answer in answers.items()
        if answer.status in PROMISES and name in ran
    ]
    done = collections.Counter(name.rpartition('-')[0] for name in ran)
    twice = [name for name, runs in done.items() if runs > 1]
    scene.note(f'{len(refused)} had run and got a promise: {refused}')
    scene.note(f'work that was done twice: {twice}')
    return bool(refused)


scene_module.run_case(lambda: scene_module.Scene(FOLDER / 'record.txt'), play)
