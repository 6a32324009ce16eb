"""Runs the soak: `python -m soak [--seeds N] [--first SEED] [--jobs N]`.

Each seed is a run of its own: real boxes, a few callers, and a series of
faults that overlap.  Its logs stay in a folder that is named at a failure.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import typing

from soak import auditor
from soak import callers
from soak import faults
from soak import fleet as fleet_module
from soak import late
from soak import misbehaving
from soak import orders
from soak import parts
from soak import returns
from soak import streams
from soak import weights

RUN_S = 9.0
SETTLE_S = 1.5
CALLERS = 6
# Every such seed has requests with a part that crashes targets.
PARTS_EVERY = 3
# Seeds that ever failed, kept as regression cases: seed, cause.
REGRESSIONS = {}
# Its lines begin with the name of a test or check, or of a check with a seed
# in brackets; these fail no run.
KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
# Checks that may stand there by these names: of the fleet and what was sent.
CHECKS = {
    'soak/auditor.py::check_keys': auditor.check_keys,
    'soak/auditor.py::check_leaving': auditor.check_leaving,
    'soak/late.py::check_late': late.check_late,
    'soak/misbehaving.py::check_incomplete': misbehaving.check_incomplete,
    'soak/misbehaving.py::check_memory': misbehaving.check_memory,
    'soak/orders.py::check_orders': orders.check_orders,
    'soak/weights.py::check_weights': weights.check_weights,
}


class Outcome(typing.NamedTuple):
    """How the run of one seed ended.

    Attributes
    ----------
    problems : list of str
        The promises that were broken, a line each.
    sent, served : int
        Requests.
    answers : dict of tuple to int
        Requests by the status and the reason of their answers.
    taken_up, went_on : int
        Streams that callers took up, and those that went on.
    orders, returns : int
        Orders that targets got, and the store's returns from copies.
    known_red : sequence of str
        What broke promises by a check in KNOWN-RED.txt, a line each.
    """

    problems: list
    sent: int
    served: int
    answers: dict
    taken_up: int = 0
    went_on: int = 0
    known_red: typing.Sequence[str] = ()
    orders: int = 0
    returns: int = 0


def is_known_red(check, seed):
    """Tell whether a check is listed as failing, for all seeds or this one."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.is_file() else []
    names = f'{check},', f'{check}[{seed}],'
    return any(line.startswith(names) for line in lines)


async def run_seed(seed, subnet, folder):
    """Run one seed; gives its Outcome."""
    rng = random.Random(seed)
    contended = bool(seed % 2)
    drawn_weights = weights.draw(seed)
    version_s = fleet_module.VERSION_S
    if drawn_weights is not None:
        version_s = weights.VERSION_S
    drawn_returns = returns.draw(seed)
    domains = returns.DOMAINS if drawn_returns is not None else 0
    fleet = fleet_module.Fleet(folder, subnet, contended, version_s, domains)
    people = [callers.Caller(i, fleet, rng) for i in range(CALLERS)]
    crowd = callers.make_crowd(seed, fleet) if contended else []
    try:
        await fleet.open(rng)
        await fleet_module.wait_ready(fleet)
        await asyncio.sleep(0.5)
        works = [asyncio.ensure_future(one.run()) for one in people]
        works += [asyncio.ensure_future(one.rush()) for one in crowd]
        works += map(
            asyncio.ensure_future, misbehaving.make_callers(seed, fleet)
        )
        works += map(asyncio.ensure_future, late.make_callers(seed, fleet))
        if seed % PARTS_EVERY == 0:
            drawn = random.Random(f'parts {seed}')
            works.append(asyncio.ensure_future(parts.send_fatal(fleet, drawn)))
        await faults.play(fleet, rng, RUN_S)
        if drawn_weights is not None:
            await weights.play(fleet, drawn_weights)
        if drawn_returns is not None:
            await returns.play(fleet, drawn_returns)
        await asyncio.sleep(SETTLE_S)
        for work in works:
            work.cancel()
        await asyncio.gather(*works, return_exceptions=True)
        sent = [row for one in people + crowd for row in one.sent]
        problems, known = run_checks(fleet, sent, seed)
        served = sum(1 for row in sent if row.status == 200 and row.whole)
        if not served:
            problems.append('nothing was served')
        taken = [row for row in sent if row.first]
        return Outcome(
            problems,
            len(sent),
            served,
            count_answers(sent),
            len(taken),
            sum(streams.has_events(row) for row in taken),
            known,
            len(orders.list_given(fleet)),
            len(fleet.returns),
        )
    finally:
        await fleet.close()


def run_checks(fleet, sent, seed):
    """List the broken promises, and apart those of checks that are known red.

    Returns
    -------
    tuple of (list of str, list of str)
    """
    problems, known = auditor.audit(fleet, sent), []
    for name, check in CHECKS.items():
        found = known if is_known_red(name, seed) else problems
        found += check(fleet, sent)
    return problems, known


def count_answers(sent):
    """Count the answers by status and reason, the most frequent first."""
    rows = collections.Counter((r.status, r.reason) for r in sent)
    return dict(rows.most_common())


async def run_all(seeds, jobs, first_subnet):
    """Run seeds, some at a time; gives how many failed."""
    free = asyncio.Queue()
    for subnet in range(jobs):
        free.put_nowait(subnet + first_subnet)
    failed = 0

    async def run_one(seed):
        nonlocal failed
        subnet = await free.get()
        folder = tempfile.mkdtemp(prefix=f'soak-{seed}-')
        try:
            found = await run_seed(seed, subnet, folder)
        except (OSError, TimeoutError) as error:
            found = Outcome([f'could not run: {error!r}'], 0, 0, {})
        free.put_nowait(subnet)
        print(
            f'seed {seed}: {found.sent} requests, {found.served} served, '
            f'{found.went_on} of {found.taken_up} streams went on, '
            f'{found.orders} orders, {found.returns} returns, ',
            end='',
        )
        failed += bool(found.problems)
        if found.problems or found.known_red:
            print(f'{len(found.problems)} broken; logs in {folder}')
        else:
            print('kept')
            shutil.rmtree(folder)
        for line in found.problems[:10]:
            print(f'  {line}')
        for line in found.known_red:
            print(f'  known red: {line}')
        for (status, reason), count in found.answers.items():
            print(f'    {status} {reason}: {count}')

    await asyncio.gather(*(run_one(seed) for seed in seeds))
    return failed


def main():
    """Run the soak; the status is 1 where a promise was broken."""
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seeds', type=int, default=8)
    parser.add_argument('--first', type=int, default=None)
    parser.add_argument('--jobs', type=int, default=4)
    # Two soaks on one machine need addresses of their own: 127.SUBNET.0.0 on.
    parser.add_argument('--subnet', type=int, default=10)
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    first = options.first
    if first is None:
        first = int(time.time())
    seeds = [*REGRESSIONS, *range(first, first + options.seeds)]
    failed = asyncio.run(run_all(seeds, options.jobs, options.subnet))
    print(f'{len(seeds) - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
