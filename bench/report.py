"""Figures of a run: percentiles from a histogram library, and tables."""

import collections
import sys

import ddsketch

from landingspool import http

from landingspool.stores import client as stores

QUANTILES = (0.5, 0.95, 0.99)
ACCURACY = 0.005


def measure_quantiles(values):
    """Give p50, p95 and p99 of some seconds.

    >>> [round(v, 1) for v in measure_quantiles([1.0] * 100)]
    [1.0, 1.0, 1.0]
    """
    sketch = ddsketch.DDSketch(ACCURACY)
    for value in values:
        sketch.add(value)
    return [sketch.get_quantile_value(q) or 0.0 for q in QUANTILES]


def measure_recomputed(answers):
    """Give the share of prompt context that was computed, 0 to 1."""
    prompt = sum(a.usage.get('prompt_tokens', 0) for a in answers)
    cached = sum(a.usage.get('cached_tokens', 0) for a in answers)
    return 1 - cached / prompt if prompt else 0.0


async def read_links(running):
    """Give the bytes over each store's link."""
    links = {}
    for name, member in running.members.items():
        if member['kind'] == 'store':
            address = running.processes[name].address
            links[name] = await stores.fetch_link_bytes(
                running.client, address
            )
    return links


def print_groups(rests, links):
    """Print one line a workspace, then the links."""
    print(
        f'{"workspace":<16}{"answers":>8}{"p50 s":>8}{"p95 s":>8}{"comp":>7}'
    )
    for rest in rests:
        firsts = [a.first for a in rest.answers if a.first >= 0]
        p50, p95, _ = measure_quantiles(firsts)
        share = measure_recomputed(rest.answers)
        print(
            f'{rest.group.name:<16}{len(rest.answers):>8}'
            f'{p50:>8.3f}{p95:>8.3f}{share:>7.2f}'
        )
    for name, size in links.items():
        print(f'link of {name}: {size / 1e6:.1f} MB')


async def read_retries(running):
    """Give the retries that the living boxes count."""
    total = 0.0
    for name, ports in running.boxes.items():
        if running.processes[name].handle.returncode is not None:
            continue
        try:
            reply = await running.client.fetch(
                ports.operators, 'GET', '/metrics', timeout=2.0
            )
        except http.Unreachable:
            continue
        for line in reply.body.decode().splitlines():
            if line.startswith('landingspool_retries_total'):
                total += float(line.split()[-1])
    return total


async def read_most_running(running):
    """Give the most requests that a living runner had at once."""
    most = 0
    for name, member in running.members.items():
        alive = running.processes[name].handle.returncode is None
        if member['kind'] == 'target' and alive:
            audit = await running.audit(name)
            most = max(most, audit['most_running'])
    return most


def measure_fairness(tenants, results):
    """Give Jain's index of the service a workspace got over its claim.

    The claim is what it asked for, or its weighted part of all service if
    it asked for more than that.

    Source: Jain, Chiu and Hawe, "A quantitative measure of fairness and
    discrimination", 1984.
    """
    asked, got = collections.Counter(), collections.Counter()
    for result in results:
        size = len(result.arrival.pieces) * 2000 + 2 * result.arrival.tokens
        asked[result.arrival.tenant] += size
        if result.answer.whole:
            got[result.arrival.tenant] += size
    weights = {tenant.name: tenant.weight for tenant in tenants}
    total = sum(got.values())
    active = [name for name in asked if asked[name]]
    weight = sum(weights[name] for name in active)
    ratios = [
        got[name] / min(asked[name], total * weights[name] / weight)
        for name in active
        if total
    ]
    ratios = [min(ratio, 1.0) for ratio in ratios]
    if not ratios or not any(ratios):
        return 0.0
    squares = sum(ratio * ratio for ratio in ratios)
    return sum(ratios) ** 2 / (len(ratios) * squares)


def measure_tenants(results):
    """Give for each workspace what it sent, got, and its p95."""
    rows = {}
    for name in sorted({r.arrival.tenant for r in results}):
        mine = [r for r in results if r.arrival.tenant == name]
        firsts = [r.answer.first for r in mine if r.answer.whole]
        p50, p95, _ = measure_quantiles(firsts)
        rows[name] = {
            'sent': len(mine),
            'whole': len(firsts),
            'p50_s': round(p50, 3),
            'p95_s': round(p95, 3),
        }
    return rows


def measure_goodput(results):
    """Give the whole answers that ended in each second of the run."""
    seconds = collections.Counter()
    for result in results:
        if result.answer.whole:
            end = result.arrival.at + result.answer.total
            seconds[int(end)] += 1
    last = max(seconds, default=0)
    return [seconds[second] for second in range(last + 1)]


SIDE_KEYS = (
    'sent',
    'whole',
    'p50_s',
    'p95_s',
    'p99_s',
    'recomputed',
    'link_mb',
    'jain',
    'retries',
    'rejected',
)


def print_side_by_side(columns, keys=SIDE_KEYS):
    """Print the figures of runs, one run a row."""
    width = max(len(name) for name in columns) + 2
    print(' ' * width + ''.join(f'{key:>11}' for key in keys))
    for name, figures in columns.items():
        cells = []
        for key in keys:
            value = figures.get(key, '')
            if isinstance(value, dict):
                value = ' '.join(f'{k}:{v}' for k, v in value.items()) or '-'
                cells.append(f'  {value}')
            else:
                cells.append(f'{value:>11}')
        print(f'{name:<{width}}' + ''.join(cells))
    sys.stdout.flush()
