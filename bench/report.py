"""Figures of a run: percentiles from a histogram library, and tables."""

import ddsketch

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
            links[name] = await stores.fetch_link_use(running.client, address)
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
