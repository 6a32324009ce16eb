"""The store goes away and comes back from a copy: it loses what it had taken.

A fault among the others, and a series of its own for some seeds, with new
weights around each return while boxes are killed, paused and cut off.
"""

import asyncio
import random
import time
import typing

from soak import faults
from soak import weights

# Age of a copy as the store goes, and for how long it is away, seconds.
COPY_AGE_S = 0.2, 4.0
AWAY_S = 0.1, 3.0
# Share of the returns that are followed by another one, after some seconds,
# and of these the share that come from the same copy.
AGAIN_SHARE = 0.5
AGAIN_S = 0.1, 2.0
SAME_COPY_SHARE = 0.5
# Share of the seeds with a series, its returns, and the failure domains of its
# boxes.
SHARE = 1 / 3
RETURNS = 1, 3
DOMAINS = 3
# Engines that come beside the others for a series.
ENGINES = 4
# Seconds from the copy, or from the return, until weights are named.
NAMED_S = 0.0, 1.5
# Disturbances of boxes at each return, and the seconds until each begins.
COUNT = 1, 4
AT_S = 0.0, 6.0
# Seconds for which a box is kept from the store, some beyond any lease.
CUT_S = 0.5, 9.0
# Seconds that a load takes, and after a return until the next one.
LOAD_S = 0.2, 1.3
REST_S = 1.0, 8.0
# Seconds after the last return in which targets get what was named.
AFTER_S = 12.0
LOOK_S = 0.1


class Return(typing.NamedTuple):
    """A return of the store: when it left, came back, and the copy's age."""

    left: float
    back: float
    age_s: float


class Copied(typing.NamedTuple):
    """What the store had at some time."""

    at: float
    copies: dict


def take_copy(fleet):
    """Return what the store has now."""
    return Copied(time.monotonic(), fleet.store.copy())


@faults.fault
async def return_from_copy(fleet, rng):
    """Let the store go, and come back with what it had; maybe twice."""
    async with fleet.returning:
        copied = take_copy(fleet)
        await asyncio.sleep(rng.uniform(*COPY_AGE_S))
        await go_and_return(fleet, copied, rng.uniform(*AWAY_S))
        if rng.random() < AGAIN_SHARE:
            await return_again(fleet, rng, copied)


async def return_again(fleet, rng, copied):
    """Let the store go once more, from the same copy or from a new one."""
    if rng.random() >= SAME_COPY_SHARE:
        copied = take_copy(fleet)
    await asyncio.sleep(rng.uniform(*AGAIN_S))
    await go_and_return(fleet, copied, rng.uniform(*AWAY_S))


async def go_and_return(fleet, copied, away_s):
    """Let the store be away for some seconds, and lose what came since."""
    with fleet.harm():
        left = time.monotonic()
        await fleet.store.leave()
        await asyncio.sleep(away_s)
        fleet.store.restore(copied.copies)
        await fleet.store.come_back()
    age_s = left - copied.at
    fleet.returns.append(Return(left, time.monotonic(), age_s))


def draw(seed):
    """Return the generator of a seed with a series; None: it has none."""
    rng = random.Random(f'returns {seed}')
    return rng if rng.random() < SHARE else None


async def play(fleet, rng):
    """Have the store come back from copies amid orders, some times."""
    for _ in range(ENGINES):
        await fleet.add_runner('engine')
    for runner in fleet.runners:
        runner.load_s = rng.uniform(*LOAD_S)
    works = []
    for _ in range(rng.randint(*RETURNS)):
        for _ in range(rng.randint(*COUNT)):
            work = disturb(fleet, rng, rng.uniform(*AT_S))
            works.append(asyncio.ensure_future(work))
        for name in rng.sample(NAMINGS, rng.randint(1, len(NAMINGS))):
            works.append(asyncio.ensure_future(name(fleet, rng)))
        await return_from_copy(fleet, rng)
        await asyncio.sleep(rng.uniform(*REST_S))
    await asyncio.gather(*works)
    await asyncio.sleep(AFTER_S)


async def name_before(fleet, rng):
    """Name weights before the store leaves, in most cases."""
    await asyncio.sleep(rng.uniform(*NAMED_S))
    fleet.name_weights()


async def name_during(fleet, rng):
    """Name weights while the store is away, or as it comes back."""
    known = len(fleet.returns)
    while fleet.store.is_open and len(fleet.returns) == known:
        await asyncio.sleep(LOOK_S)
    fleet.name_weights()


async def name_after(fleet, rng):
    """Name weights after the store has come back."""
    known = len(fleet.returns)
    while len(fleet.returns) == known:
        await asyncio.sleep(LOOK_S)
    await asyncio.sleep(rng.uniform(*NAMED_S))
    fleet.name_weights()


NAMINGS = name_before, name_during, name_after


async def disturb(fleet, rng, at_s):
    """Bring about one disturbance of boxes after some seconds."""
    await asyncio.sleep(at_s)
    await rng.choice(DISTURBANCES)(fleet, rng)


async def cut_off(fleet, rng):
    """Keep a box from the store, half of the time the one that ordered."""
    box = rng.choice(fleet.boxes)
    if rng.random() < 0.5:
        box = find_holder(fleet) or box
    with fleet.harm([box.name]):
        box.wire.mode = 'refuse'
        box.wire.reset()
        await asyncio.sleep(rng.uniform(*CUT_S))
        box.wire.mode = ''


async def kill_holder(fleet, rng):
    """Kill the box that ordered last; it starts again."""
    box = find_holder(fleet) or rng.choice(fleet.boxes)
    await faults.kill_box(box, rng)


def find_holder(fleet):
    """Return the box that gave the newest order; None: there is none."""
    rows = [row for runner in fleet.runners for row in runner.judged]
    if not rows:
        return None
    newest = max(rows, key=lambda row: row.arrived)
    return next(box for box in fleet.boxes if box.name == newest.holder)


DISTURBANCES = (
    faults.kill,
    kill_holder,
    faults.pause,
    faults.stop,
    cut_off,
    cut_off,
    weights.lose_power,
)
