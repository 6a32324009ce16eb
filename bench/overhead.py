"""What a box costs: time to first token, memory, processor, messages.

``python -m bench.overhead`` starts the herbarium's fleet and measures a
box against calling the stand-in directly, in one run; then what a box
uses when it is idle and for each request.
"""

import asyncio
import json
import os
import pathlib
import statistics
import sys
import time

from bench import caller
from bench import fleet
from bench import load
from landingspool.decisions import records
from landingspool import http
from landingspool.targets import client as targets

ROUNDS = 200
IDLE_S = 10.0
PROMPTS = (2, 4, 8, 16)
POLLS = 400
OPEN = (0, 50, 100, 200)
KEY = 'key-w0'
TICKS = os.sysconf('SC_CLK_TCK')


async def time_direct(running, prompt, number):
    """Time the first token of a call to a stand-in."""
    loop = asyncio.get_running_loop()
    member = running.members['transcription-1']
    address = http.Address(member['host'], member['port'])
    stream = targets.Stream(running.client, address)
    began = loop.time()
    await stream.connect()
    job = targets.Job(f'direct-{number}', 's', prompt, 1, 0, 'v1', ())
    await stream.start(job)
    first = 0.0
    async for event in stream.read():
        first = first or loop.time() - began
        if isinstance(event, targets.End):
            break
    stream.close()
    return first


async def time_box(running, prompt):
    """Time the first token of a request through a box."""
    body = {'model': 'transcription', 'prompt': prompt, 'max_tokens': 1}
    body['stream'] = True
    address = running.boxes['north-1'].callers
    answer = await caller.complete(running.client, address, KEY, body)
    return answer.first


def read_cpu(running, name):
    """Give the processor seconds that a process has used."""
    pid = running.processes[name].handle.pid
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS


async def read_bytes(running, name):
    """Give the bytes that a box sent to others, by message."""
    address = running.boxes[name].operators
    reply = await running.client.fetch(address, 'GET', '/metrics')
    sizes = {}
    for line in reply.body.decode().splitlines():
        if line.startswith('landingspool_link_bytes_total') and 'out' in line:
            message = line.split('message="')[1].split('"')[0]
            sizes[message] = float(line.split()[-1])
    return sizes


async def read_usage(running):
    """Give processor seconds and bytes of all boxes."""
    cpu = {name: read_cpu(running, name) for name in running.boxes}
    sizes = {name: await read_bytes(running, name) for name in running.boxes}
    return cpu, sizes


def compare_usage(before, after, per):
    """Give what was used between two readings, divided by `per`."""
    cpu = sum(after[0].values()) - sum(before[0].values())
    sizes = {}
    for name, rows in after[1].items():
        for message, size in rows.items():
            grown = size - before[1][name].get(message, 0.0)
            sizes[message] = sizes.get(message, 0.0) + grown
    return cpu / per, {k: round(v / per, 1) for k, v in sizes.items() if v}


async def measure_overhead(running):
    """Time direct and through a box in turn; medians in milliseconds."""
    direct, box = [], []
    for number in range(ROUNDS):
        prompt = f'label {number}'
        direct.append(await time_direct(running, prompt, number))
        box.append(await time_box(running, prompt + ' again'))
    return statistics.median(direct) * 1000, statistics.median(box) * 1000


async def measure_request_cost(running, pieces):
    """Give the processor time and bytes of one request, by its size."""
    before = await read_usage(running)
    for number in range(ROUNDS):
        prompt = f'{number:8d}' * 1000 * pieces
        await time_box(running, prompt)
    after = await read_usage(running)
    return compare_usage(before, after, ROUNDS)


async def measure_poll(running):
    """Give the processor milliseconds that one load report costs a box."""
    member = records.Member(
        **{
            key: value
            for key, value in running.members['transcription-1'].items()
            if key in records.Member._fields
        }
    )
    began = time.process_time()
    for _ in range(POLLS):
        await targets.fetch_load(running.client, member)
    return (time.process_time() - began) / POLLS * 1000


async def measure_open(running):
    """Give the resident memory of a box by its open requests, in MB."""
    sizes = {}
    tasks = []
    for count in OPEN:
        while len(tasks) < count:
            body = {'model': 'catalogue', 'prompt': f'p{len(tasks)}'}
            body.update(max_tokens=30_000, stream=True)
            call = caller.complete(
                running.client,
                running.boxes['north-1'].callers,
                KEY,
                body,
                x_deadline_s='500',
            )
            tasks.append(asyncio.ensure_future(call))

        async def is_open():
            status = await running.ask_operator(
                'north-1', 'GET', '/admin/status'
            )
            return status['open'] == len(tasks)

        await running.wait_for(is_open, 'open requests')
        await asyncio.sleep(2.0)
        sizes[count] = round(await running.read_memory('north-1'), 1)
    for task in tasks:
        task.cancel()
    return sizes


async def run():
    """Measure all; returns the figures."""
    fast = {'slots': 400, 'prefill': 4e6, 'step': 0.02}
    options = {'engine': {**load.ENGINE, **fast}}
    running = fleet.Fleet(fleet.HERBARIUM._replace(options=options))
    try:
        await running.start()
        plan = load.make_plan('herbarium')
        rows = [
            {**load.make_row(tenant), 'limit': 5000} for tenant in plan.tenants
        ]
        result = await running.publish(rows)
        await running.wait_in_force(result['offset'])
        await asyncio.sleep(3.0)
        memory = [await running.read_memory(name) for name in running.boxes]
        before = await read_usage(running)
        await asyncio.sleep(IDLE_S)
        idle = compare_usage(
            before, await read_usage(running), IDLE_S * len(running.boxes)
        )
        direct, box = await measure_overhead(running)
        costs = {}
        for pieces in PROMPTS:
            costs[pieces] = await measure_request_cost(running, pieces)
        poll = await measure_poll(running)
        opened = await measure_open(running)
        used = [await running.read_memory(name) for name in running.boxes]
        return {
            'idle_memory_mb': round(max(memory), 1),
            'used_memory_mb': round(max(used), 1),
            'memory_by_open_mb': opened,
            'poll_cpu_ms': round(poll, 3),
            'idle_cpu_percent': round(idle[0] * 100, 2),
            'idle_bytes_a_second': idle[1],
            'direct_ms': round(direct, 2),
            'box_ms': round(box, 2),
            'overhead_ms': round(box - direct, 2),
            'request_cpu_ms': {
                pieces: round(cpu * 1000, 2)
                for pieces, (cpu, _) in costs.items()
            },
            'request_bytes': {
                pieces: sizes for pieces, (_, sizes) in costs.items()
            },
        }
    finally:
        await running.stop()


def main():
    """Measure, print, write."""
    figures = asyncio.run(run())
    for name, value in figures.items():
        print(f'{name:<22} {value}')
    path = pathlib.Path('build/overhead.json')
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(figures, indent=2))
    return 0


if __name__ == '__main__':
    sys.exit(main())
