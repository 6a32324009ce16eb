"""A surplus rejection is taken for the answer to the next request.

See claim.txt.  Exit status: 1 if the rule was broken, 0 if it held, 2 if the
case could not run.
"""

import asyncio
import os
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import boxes as boxes_module  # noqa: E402
from lib import client as client_module  # noqa: E402
from lib import plain  # noqa: E402
from lib import record as record_module  # noqa: E402
from lib import store as store_module  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RECORD = pathlib.Path(__file__).with_name('record.txt')
BOXES = 6
RUNNERS = 3
CLIENTS_PER_BOX = 10
SERVICE = 'kafi81c'
PATH = '/bobo563/lo7/2f'
# All clients send at the same moment, this often and this many times.
WAVE_S = 0.7
WAVES = 25
# Share of the answers that two of the three runners send twice: twice the
# dose of `garble` with how `extra late` in the site file.
SURPLUS_SHARE = 0.06


def make_config():
    """Return the configuration, like that of a small deployment."""
    route = {
        'name': 'r-js2eek2',
        'host': client_module.HOST,
        'path_prefix': '/bobo563/lo7/',
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
    service = {
        'name': SERVICE,
        'health_path': '/healthz',
        'max_connections': 96,
        'protocol': 'h1',
        'tls': False,
    }
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    }
    tenant = {'name': 'bozi300', 'api_keys': [client_module.KEY]}
    return {
        'version': 7,
        'routes': [route],
        'services': [service],
        'limits': limits,
        'tenants': [{**tenant, 'priority': 1}],
    }


async def play(record, folder):
    """Play the case; return what was sent and what was run."""
    store, runs, sent = store_module.Store(), [], []
    await store.start()
    store.put('keyed.op', 'config', make_config())
    runners = [
        plain.Plain(
            f'i-{number}',
            boxes_module.ZONES[number],
            SERVICE,
            store,
            runs,
            record.add,
        )
        for number in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    boxes = await boxes_module.start_boxes(BOXES, store.address, folder)
    try:
        record.add(f'{BOXES} boxes are ready before {RUNNERS} runners')
        await asyncio.sleep(2.0)
        if TROUBLE:
            for runner in runners[:2]:
                runner.surplus_share = SURPLUS_SHARE
            record.add('i-0 and i-1 send some answers twice, late')
        clients = [
            client_module.Client(box, sent)
            for box in boxes
            for _ in range(CLIENTS_PER_BOX)
        ]
        work = []
        for _ in range(WAVES):
            work += [asyncio.ensure_future(c.send(PATH)) for c in clients]
            await asyncio.sleep(WAVE_S)
        await asyncio.gather(*work)
    finally:
        for box in boxes:
            box.close()
        for runner in runners:
            await runner.close()
        await store.close()
    return sent, runs


def judge(record, sent, runs):
    """Write what breaks the rule; return the exit status."""
    ran = {}
    for run in runs:
        ran.setdefault(run.name, []).append(run)
        record.add(f'{run.runner} runs {run.name}', run.at)
    refused = []
    for row in sent:
        record.add(f'client sends {row.name} to {row.box}', row.at)
        record.add(f'client gets {row.status} for {row.name}', row.end)
        if row.status in client_module.PROMISES and row.name in ran:
            refused.append(row)
    for row in refused:
        run = ran[row.name][0]
        record.add(
            f'REFUSED: {row.name} got {row.status} from {row.box} '
            f'({row.body.decode()}) and was run by {run.runner}, '
            f'{run.at - row.at:.3f} s after it was sent'
        )
    twice = [name for name, rows in ran.items() if len(rows) > 1]
    promises = [r for r in sent if r.status in client_module.PROMISES]
    record.add(
        f'{len(sent)} requests sent, {len(runs)} runs, {len(promises)} '
        f'promised not to run; of these run: {len(refused)}; run twice: '
        f'{len(twice)}'
    )
    return 1 if refused else 0


def run(record):
    """Play and judge the case; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        sent, runs = asyncio.run(play(record, pathlib.Path(folder)))
    status = judge(record, sent, runs)
    record.add('broken' if status else 'held')
    return status


def main():
    """Run the case; return the exit status."""
    record = record_module.Record(RECORD)
    record.add(f'TROUBLE={int(TROUBLE)}')
    try:
        status = run(record)
    except Exception as error:
        record.add(f'the case could not run: {error!r}')
        status = 2
    record.write()
    return status


if __name__ == '__main__':
    sys.exit(main())
