"""The load tool: open-loop arrivals against the running processes.

``python -m bench.load --deployment herbarium --seconds 20`` starts the
fleet, sends the load, prints a table and writes the figures as JSON; with
``--against FILE`` it prints an earlier run's beside them.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import sys
import typing

from bench import caller
from bench import fleet
from bench import report
from bench import workload
from landingspool.decisions import identity

DRAIN_S = 12.0
DEADLINE_S = 8.0


class Deployment(typing.NamedTuple):
    """What is started and what load it gets at its usual time."""

    shape: fleet.Shape
    main: workload.Class
    other: workload.Class
    rate: float


DEPLOYMENTS = {
    'herbarium': Deployment(
        fleet.HERBARIUM, workload.LABELS, workload.NAMES, 9.0
    ),
    'donation': Deployment(
        fleet.DONATION, workload.LETTERS, workload.RECEIPTS, 9.0
    ),
}

# The runners of the load runs: caches hold far less than the prompts.
ENGINE = {'slots': 4, 'prefill': 16_000.0, 'step': 0.01, 'cache': 48}
STORE = {'memory': 8 * 2**20, 'disk': 8 * 2**20, 'bandwidth': 8 * 2**20}


class Result(typing.NamedTuple):
    """One arrival with its answer."""

    arrival: workload.Arrival
    answer: caller.Answer


class Plan(typing.NamedTuple):
    """One run.

    `disturb` is a coroutine function that gets the fleet and runs beside
    the load; `policy` and `options` change the deployment's settings.
    """

    deployment: str
    seconds: float
    seed: int
    tenants: tuple
    peaks: tuple = ()
    policy: dict = {}
    options: dict = {}
    disturb: typing.Callable | None = None
    deadline_s: float = DEADLINE_S


def make_plan(deployment, seconds=20.0, seed=1, factor=1.0, **fields):
    """Give the usual plan of a deployment, its rate times `factor`."""
    setup = DEPLOYMENTS[deployment]
    tenants = workload.make_tenants(
        setup.main, setup.other, setup.rate * factor
    )
    return Plan(deployment, seconds, seed, tenants, **fields)


async def run(plan):
    """Run a plan; returns the figures as a dict."""
    setup = DEPLOYMENTS[plan.deployment]
    options = {
        'engine': {**ENGINE, **plan.options.get('engine', {})},
        'store': {**STORE, **plan.options.get('store', {})},
    }
    policy = {**setup.shape.policy, **plan.policy}
    shape = setup.shape._replace(policy=policy, options=options)
    running = fleet.Fleet(shape)
    try:
        await running.start()
        rows = [make_row(tenant) for tenant in plan.tenants]
        published = await running.publish(rows)
        await running.wait_in_force(published['offset'])
        # Schedulers hear their targets and stores before the load.
        await asyncio.sleep(2.5)
        results = await send_all(running, plan)
        return await measure(running, plan, results)
    finally:
        await running.stop()


def make_row(tenant):
    """Give the row of the table for a workspace under load."""
    return {
        'workspace': tenant.name,
        'weight': tenant.weight,
        'share': tenant.share,
        'limit': tenant.limit,
        'priority': tenant.priority,
        'key_hash': identity.hash_key(f'key-{tenant.name}'),
    }


async def send_all(running, plan):
    """Send every arrival at its time, whatever became of those before."""
    arrivals = workload.generate(
        plan.tenants, plan.seconds, plan.seed, plan.peaks
    )
    loop = asyncio.get_running_loop()
    start = loop.time()
    disturb = None
    if plan.disturb is not None:
        disturb = asyncio.ensure_future(plan.disturb(running))
    tasks = []
    for arrival in arrivals:
        await asyncio.sleep(max(0.0, start + arrival.at - loop.time()))
        tasks.append(asyncio.ensure_future(send(running, plan, arrival)))
    done, late = await asyncio.wait(tasks, timeout=DRAIN_S)
    for task in late:
        task.cancel()
    if disturb is not None:
        await disturb
    return [task.result() for task in tasks if task in done]


async def send(running, plan, arrival):
    """Send one arrival to a living box, as the balancer would."""
    boxes = [
        name
        for name in sorted(running.boxes)
        if running.processes[name].handle.returncode is None
    ]
    box = boxes[arrival.box % len(boxes)]
    body = {
        'model': arrival.model,
        'prompt': workload.write_prompt(arrival),
        'max_tokens': arrival.tokens,
        'stream': True,
    }
    answer = await caller.complete(
        running.client,
        running.boxes[box].callers,
        f'key-{arrival.tenant}',
        body,
        x_deadline_s=plan.deadline_s,
        x_request_id=arrival.name,
    )
    return Result(arrival, answer)


async def measure(running, plan, results):
    """Give the figures of a run."""
    whole = [r for r in results if r.answer.whole]
    p50, p95, p99 = report.measure_quantiles([r.answer.first for r in whole])
    rejected = collections.Counter(
        r.answer.error.get('type', 'unknown')
        for r in results
        if not r.answer.whole
    )
    links = await report.read_links(running)
    retries = await report.read_retries(running)
    return {
        'deployment': plan.deployment,
        'seed': plan.seed,
        'sent': len(results),
        'whole': len(whole),
        'p50_s': round(p50, 3),
        'p95_s': round(p95, 3),
        'p99_s': round(p99, 3),
        'recomputed': round(
            report.measure_recomputed([r.answer for r in whole]), 3
        ),
        'link_mb': round(sum(links.values()) / 1e6, 2),
        'rejected': dict(rejected),
        'jain': round(report.measure_fairness(plan.tenants, results), 3),
        'retries': round(retries / max(len(results), 1), 4),
        'tenants': report.measure_tenants(results),
        'goodput': report.measure_goodput(results),
        'most_running': await report.read_most_running(running),
    }


def main():
    """Run the tool."""
    parser = argparse.ArgumentParser(prog='bench.load')
    parser.add_argument(
        '--deployment', choices=DEPLOYMENTS, default='herbarium'
    )
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--factor', type=float, default=1.0)
    parser.add_argument('--routing', default='earliest')
    parser.add_argument('--out', default='build/load.json')
    parser.add_argument('--against', help='figures of an earlier run')
    options = parser.parse_args()
    plan = make_plan(
        options.deployment,
        options.seconds,
        options.seed,
        options.factor,
        policy={'routing': options.routing},
    )
    figures = asyncio.run(run(plan))
    path = pathlib.Path(options.out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(figures, indent=2))
    columns = {'this run': figures}
    if options.against:
        earlier = pathlib.Path(options.against)
        columns['against'] = json.loads(earlier.read_text())
    report.print_side_by_side(columns)
    return 0


if __name__ == '__main__':
    sys.exit(main())
