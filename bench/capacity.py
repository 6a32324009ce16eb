"""Works the capacity table out from the measured slopes.

``python -m bench.capacity`` reads build/micro.json and build/overhead.json,
fits the slopes, and prints the table that docs/CAPACITY.md holds.  It adds
up and extrapolates over nothing that has no measured slope of four sizes.
"""

import json
import pathlib
import statistics
import sys
import typing

NODES = 390
DOMAINS = 5
BOXES = NODES // DOMAINS
RUNNERS = 1300
MODELS = 22
WORKSPACES = 1900
REQUESTS = 2900.0
PROMPTS = 530_000
CHANGES_A_DAY = 1900
RUN_S = 18.0
PIECES = 10
KEYED_SHARE = 0.1
WINDOW_S = 300.0
TICKS_A_SECOND = 10
POLLS_A_SECOND = 4
SHARD_TARGETS = 16
GRANT_BYTES = 30
DAY_S = 86_400


class Role(typing.NamedTuple):
    """What one role costs a node, at the target size."""

    name: str
    cpu_percent: float
    bytes_a_second: float
    memory_mb: float
    mechanism: str


def fit(points):
    """Give (intercept, slope) of a line through size and value."""
    pairs = [(float(size), float(value)) for size, value in points.items()]
    slope, intercept = statistics.linear_regression(*zip(*pairs))
    return intercept, slope


def pick(rows, key):
    """Give one value of each row, by size."""
    return {size: row[key] for size, row in rows.items()}


def work_out(micro, overhead):
    """List the roles with their cost for a node.

    Returns
    -------
    list of Role
    """
    node_rate = REQUESTS / NODES
    shards = max(RUNNERS / SHARD_TARGETS, MODELS * DOMAINS) / NODES
    shard_rate = node_rate / shards
    decision = fit(pick(micro['decision_by_targets'], 0))
    decision_us = decision[0] + decision[1] * SHARD_TARGETS
    targets = RUNNERS / NODES
    sizes = micro['bytes_a_request']
    ask = fit(
        {n: rows['Ask'] for n, rows in overhead['request_bytes'].items()}
    )
    sent = ask[0] + ask[1] * PIECES + sizes['Done'] + sizes['Reserve']
    sent += sizes['Release']
    replies = sizes['Grant'] + sizes['Reserved']
    opened = node_rate * RUN_S
    memory = micro['memory_bytes']
    open_mb = fit(overhead['memory_by_open_mb'])[1]
    fold = fit(pick(micro['fold_by_workspaces'], 'fold_us'))
    fold_us = fold[0] + fold[1] * WORKSPACES
    members = fit(pick(micro['membership_by_boxes'], 'bytes_a_second'))
    member_tick = fit(pick(micro['membership_by_boxes'], 'tick_us'))
    member_us = member_tick[0] + member_tick[1] * BOXES
    tick_us = max(pick(micro['tick_by_boxes'], 'tick_us').values())
    claims = REQUESTS * KEYED_SHARE * 2 * WINDOW_S
    summaries = 2 * (DOMAINS - 1) * shards * 40
    return [
        Role(
            'entry box',
            0.0,
            node_rate * sent + opened * GRANT_BYTES * 2 / 5,
            opened * open_mb,
            'asks limiter and scheduler at once; renews every 5 s',
        ),
        Role(
            'scheduler',
            node_rate * decision_us / 1e4
            + targets * POLLS_A_SECOND * overhead['poll_cpu_ms'] / 10,
            node_rate * replies + summaries,
            PROMPTS / NODES * memory['kept_prompt'] / 1e6,
            "shards of 16 targets, rendezvous over a domain's boxes",
        ),
        Role(
            'limiter',
            node_rate
            * max(pick(micro['limiter_by_workspaces'], 'pair_us').values())
            / 1e4,
            0.0,
            0.1,
            'owner of a workspace in a domain; loans between domains',
        ),
        Role(
            'configuration',
            CHANGES_A_DAY / DAY_S * fold_us / 1e4,
            CHANGES_A_DAY / DAY_S * 600,
            WORKSPACES * memory['workspace'] / 1e6,
            'fold of the log; two readers a domain, the others ask them',
        ),
        Role(
            'claims',
            0.0,
            0.0,
            claims * memory['claim'] / 1e6,
            "every box holds the window's claims",
        ),
        Role(
            'membership',
            TICKS_A_SECOND * member_us / 1e4,
            members[0] + members[1] * BOXES,
            0.2,
            'one probe a round, marks ride along (SWIM)',
        ),
        Role(
            'tick and process',
            TICKS_A_SECOND * tick_us / 1e4,
            0.0,
            overhead['idle_memory_mb'],
            'one timer; indexes built when the live list changes',
        ),
    ], {
        'requests a node and second': node_rate,
        'open requests a node': opened,
        'shards a node': shards,
        'requests a shard and second': shard_rate,
        'decision at 16 targets (us)': decision_us,
        'bytes sent for a request': sent + replies,
        'claims in the window': claims,
    }


def print_table(roles, figures):
    """Print both tables as Markdown."""
    for name, value in figures.items():
        print(f'* {name}: {value:.4g}')
    print()
    print(
        '| role | CPU, % of a core | bytes/s sent | memory, MB | mechanism |'
    )
    print('| --- | --- | --- | --- | --- |')
    for role in roles:
        print(
            f'| {role.name} | {role.cpu_percent:.2f} | '
            f'{role.bytes_a_second:.0f} | {role.memory_mb:.1f} | '
            f'{role.mechanism} |'
        )
    cpu = sum(role.cpu_percent for role in roles)
    size = sum(role.bytes_a_second for role in roles)
    memory = sum(role.memory_mb for role in roles)
    print(f'| **sum** | {cpu:.2f} | {size:.0f} | {memory:.1f} | |')
    print('| **budget** | 1.60 | 4,096 | 64.0 | |')


def main():
    """Print the table."""
    micro = json.loads(pathlib.Path('build/micro.json').read_text())
    overhead = json.loads(pathlib.Path('build/overhead.json').read_text())
    print_table(*work_out(micro, overhead))
    return 0


if __name__ == '__main__':
    sys.exit(main())
