"""The measured decisions: one named experiment each, printing its table.

``python -m bench.experiments routing`` and so on; the tables in
docs/design.md are the output of these commands.
"""

import argparse
import asyncio
import json
import pathlib
import sys

from bench import load
from bench import recovery
from bench import report
from bench import workload

EXPERIMENTS = {}
SECONDS = 14.0
USUAL = 1.2
PEAK = 3.0
OVER = 2.6
FLOOD_BASE = 0.9
FLOOD = 30.0
BACKLOGS = (0.0, 1.0, 0.4)
LATE_S = (0.8, 0.4)
POLICIES = (
    'round_robin',
    'least_loaded',
    'two_choices',
    'affinity',
    'earliest',
)


def experiment(name):
    """Register an experiment: an async function of the options."""

    def add(function):
        EXPERIMENTS[name] = function
        return function

    return add


async def run_all(plans, together):
    """Run named plans, `together` at a time; gives figures by name."""
    gate = asyncio.Semaphore(together)

    async def run_one(plan):
        async with gate:
            return await load.run(plan)

    results = await asyncio.gather(*(run_one(p) for p in plans.values()))
    return dict(zip(plans, results))


async def slow_runner(running):
    """Let one runner get five times slower without dying."""
    await asyncio.sleep(3.0)
    first = running.shape.engines[0][0]
    await running.switch(f'{first}-1', slowness=5.0)


async def lose_domain(running):
    """Kill all boxes and runners of one domain."""
    await asyncio.sleep(5.0)
    domain = running.shape.domains[-1]
    for name, member in running.members.items():
        if member['domain'] == domain and member['kind'] != 'store':
            running.kill(name)


def enlarge(tenants):
    """Give half of all load to the first workspace."""
    total = sum(tenant.rate for tenant in tenants)
    rest = total - tenants[0].rate
    scaled = [t._replace(rate=t.rate * total / 2 / rest) for t in tenants[1:]]
    return (tenants[0]._replace(rate=total / 2), *scaled)


def list_conditions(deployment):
    """Give the conditions under which routing is measured."""
    usual = load.make_plan(deployment, SECONDS, factor=USUAL)
    return {
        'steady': usual,
        'large': usual._replace(tenants=enlarge(usual.tenants)),
        'slow': usual._replace(disturb=slow_runner),
        'lag': usual._replace(options={'engine': {'lag': 2.0}}),
        'domain': usual._replace(disturb=lose_domain),
        'peak': usual._replace(peaks=(workload.Peak(4.0, 9.0, PEAK),)),
    }


@experiment('routing')
async def measure_routing(options):
    """All routing policies under all conditions, on the same load."""
    plans = {
        f'{condition}/{policy}': plan._replace(
            policy={**plan.policy, 'routing': policy}
        )
        for condition, plan in list_conditions(options.deployment).items()
        for policy in POLICIES
        if not options.only or options.only in f'{condition}/{policy}'
    }
    return await run_all(plans, options.together)


@experiment('backlog')
async def measure_backlog(options):
    """How much may wait inside a target before it waits in our queue."""
    plans = {}
    for condition in ('steady', 'peak', 'slow'):
        plan = list_conditions(options.deployment)[condition]
        for seconds in BACKLOGS:
            name = f'{condition}/{seconds or "any"}'
            if not options.only or options.only in name:
                plans[name] = plan._replace(policy={'backlog_s': seconds})
    return await run_all(plans, options.together)


@experiment('overload')
async def measure_overload(options):
    """Twice the capacity for a while and back, by admission policy."""
    usual = load.make_plan(options.deployment, 26.0, factor=USUAL)
    peak = usual._replace(peaks=(workload.Peak(5.0, 15.0, OVER),))
    plans = {
        'no peak': usual,
        'peak/all': peak._replace(policy={'admission': 'all'}),
        'peak/estimate': peak._replace(policy={'admission': 'estimate'}),
    }
    figures = await run_all(plans, options.together)
    for name, row in figures.items():
        print(f'{name}: whole answers a second {row["goodput"]}')
    return figures


@experiment('brownout')
async def measure_brownout(options):
    """One runner breaks every stream for a while: retries stay few."""
    usual = load.make_plan(options.deployment, SECONDS, factor=USUAL)
    return await run_all(
        {'healthy': usual, 'brownout': usual._replace(disturb=break_runner)},
        options.together,
    )


async def break_runner(running):
    """Let one runner break its streams, then be well again."""
    await asyncio.sleep(3.0)
    first = running.shape.engines[0][0]
    await running.switch(f'{first}-1', mode='broken')
    await asyncio.sleep(6.0)
    await running.switch(f'{first}-1', mode='up')


@experiment('fairness')
async def measure_fairness(options):
    """A flood by one small workspace, by the way of charging."""
    usual = load.make_plan(options.deployment, 20.0, factor=FLOOD_BASE)
    flooded = (
        *usual.tenants[:-1],
        usual.tenants[-1]._replace(rate=usual.tenants[-1].rate * FLOOD),
    )
    plans = {}
    for charge in ('end', 'reserve'):
        calm = usual._replace(policy={'charge': charge})
        plans[f'{charge}/calm'] = calm
        plans[f'{charge}/flood'] = calm._replace(tenants=flooded)
    for seconds in LATE_S:
        calm = usual._replace(
            policy={'charge': 'reserve', 'backlog_s': seconds}
        )
        plans[f'late {seconds} s/calm'] = calm
        plans[f'late {seconds} s/flood'] = calm._replace(tenants=flooded)
    plans = {n: p for n, p in plans.items() if options.only in n}
    figures = await run_all(plans, options.together)
    for name, row in figures.items():
        rest = {n: t['p95_s'] for n, t in row['tenants'].items()}
        print(f'{name}: p95 by workspace {rest}')
    return figures


@experiment('retention')
async def measure_retention(options):
    """LRU against value for space, with small stores and caches."""
    usual = load.make_plan(options.deployment, 30.0, factor=1.0)
    tight = {
        'engine': {'cache': 12},
        'store': {'memory': 3 * 2**20, 'disk': 0},
    }
    plans = {
        policy: usual._replace(policy={'retention': policy}, options=tight)
        for policy in ('lru', 'value')
    }
    conditions = {'dead store': kill_store, 'slow link': slow_links}
    for name, disturb in conditions.items():
        plans[f'value/{name}'] = plans['value']._replace(disturb=disturb)
    no_store = {**tight, 'store': {'memory': 0, 'disk': 0}}
    plans['value/full stores'] = plans['value']._replace(options=no_store)
    return await run_all(plans, options.together)


async def kill_store(running):
    """Kill one store."""
    await asyncio.sleep(8.0)
    running.kill('store-1')


async def slow_links(running):
    """Let the links of the stores carry a twentieth."""
    await asyncio.sleep(8.0)
    for index in range(running.shape.stores):
        bandwidth = load.STORE['bandwidth'] // 20
        await running.switch(f'store-{index + 1}', bandwidth=bandwidth)


@experiment('recovery')
async def measure_recovery(options):
    """A scheduler's box killed, frozen; a domain's boxes replaced."""
    usual = load.make_plan(options.deployment, 20.0, factor=USUAL)
    plans = {'nothing': usual}
    for name, disturb in (
        ('killed', recovery.kill_owner),
        ('frozen', recovery.freeze_owner),
        ('replaced', recovery.replace_domain),
    ):
        plans[name] = usual._replace(disturb=disturb)
    figures = await run_all(plans, options.together)
    for line in recovery.NOTES:
        print(line)
    return figures


def main():
    """Run one experiment, print its table, write its figures."""
    parser = argparse.ArgumentParser(prog='bench.experiments')
    parser.add_argument('name', choices=EXPERIMENTS)
    parser.add_argument(
        '--deployment', choices=load.DEPLOYMENTS, default='herbarium'
    )
    parser.add_argument('--together', type=int, default=1)
    parser.add_argument('--only', default='')
    options = parser.parse_args()
    figures = asyncio.run(EXPERIMENTS[options.name](options))
    path = pathlib.Path(f'build/{options.name}-{options.deployment}.json')
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(figures, indent=2))
    report.print_side_by_side(figures)
    return 0


if __name__ == '__main__':
    sys.exit(main())
