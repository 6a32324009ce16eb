"""New weights whose orders are carried out late, while boxes are killed.

Drawn for some seeds, by a generator of its own, and played after the other
faults, which would excuse most of what is late.
"""

import asyncio
import random
import signal
import time

from soak import faults
from soak import streams
from soak import words
from standins import behaviours

# Share of the seeds with it, and their bound for new weights in seconds: long
# enough for a box that starts to be bound before targets are left again.
SHARE = 1 / 3
VERSION_S = 8.0
# Versions that are named, and the seconds between two of them.
VERSIONS = 1, 2
BETWEEN_S = 1.0, 4.0
# Share of the targets that carry orders out late, and by how many seconds.
LATE_SHARE = 0.7
LATE_S = 2.0, 14.0
LOAD_S = 1.3
# Disturbances of boxes, and the seconds after the first naming for each.
COUNT = 2, 5
AT_S = 0.5, 7.5
DOWN_S = 0.1, 1.0
# Seconds for which the run goes on after the last bound.
AFTER_S = 1.5
# Seconds for which a box must have been sound before a request.
CONTACT_S = 3.0
# Seconds within which a sound box hears of a version.
TURN_S = 0.5


def draw(seed):
    """Return the generator of a seed with new weights; None: it has none."""
    rng = random.Random(f'weights {seed}')
    return rng if rng.random() < SHARE else None


async def play(fleet, rng):
    """Name versions and disturb boxes until the last bound is over."""
    await asyncio.sleep(CONTACT_S)
    works = [asyncio.ensure_future(disturb(fleet, rng, rng.uniform(*AT_S)))]
    for _ in range(rng.randint(*COUNT) - 1):
        work = disturb(fleet, rng, rng.uniform(*AT_S))
        works.append(asyncio.ensure_future(work))
    for number in range(rng.randint(*VERSIONS)):
        await asyncio.sleep(rng.uniform(*BETWEEN_S) if number else 0.0)
        make_late(fleet, rng)
        fleet.name_weights()
    await asyncio.sleep(fleet.version_s + AFTER_S)
    await asyncio.gather(*works)


def make_late(fleet, rng):
    """Draw which targets carry orders out late."""
    for runner in fleet.runners:
        is_late = rng.random() < LATE_SHARE
        runner.late_s = rng.uniform(*LATE_S) if is_late else None
        runner.load_s = LOAD_S


async def disturb(fleet, rng, at_s):
    """Bring about one disturbance of boxes after some seconds."""
    await asyncio.sleep(at_s)
    await rng.choice(DISTURBANCES)(fleet, rng)


async def lose_power(fleet, rng):
    """Kill all boxes at once; they start again."""
    processes = [box.process for box in fleet.boxes]
    for box in fleet.boxes:
        box.send(signal.SIGKILL)
    await asyncio.sleep(rng.uniform(*DOWN_S))
    for process in processes:
        await faults.wait_end(process)
    for box in fleet.boxes:
        box.start()


DISTURBANCES = (faults.kill,) * 3 + (faults.stop, faults.pause, lose_power)


def check_weights(fleet, sent):
    """List the targets that began requests on old weights past the bound."""
    known = {row.name: row for row in sent}
    engines = [r for r in fleet.runners if r.service == 'engine']
    return [p for r in engines for p in check_target(fleet, r, known)]


def check_target(fleet, runner, known):
    """Yield that a target began requests on old weights too late, if so."""
    late = []
    for head in runner.ran:
        box = words.find_box(behaviours.get_id(head), known)
        missed = [at for v, at in fleet.named.items() if v > head['version']]
        if box not in fleet.list_boxes() or not missed:
            continue
        heard = find_heard(fleet, min(missed), box)
        bound = heard + fleet.version_s
        if head['at'] > bound and is_in_touch(fleet, runner, box, head['at']):
            late.append((head['at'] - min(missed), box))
    if late:
        boxes = sorted({box for _, box in late})
        yield (
            f'{runner.name}: {len(late)} requests of {boxes} on old weights, '
            f'the last {max(late)[0]:.2f} s after the naming'
        )


def find_heard(fleet, named, box):
    """Give from when a box could know a version: sound, and after a while."""
    heard = named
    for start, end, boxes in fleet.harms:
        if boxes and box not in boxes or start > heard + TURN_S:
            continue
        if end is None or end + CONTACT_S >= heard:
            heard = max(heard, (end or time.monotonic()) + CONTACT_S)
    return heard


def is_in_touch(fleet, runner, box, at):
    """Tell whether a box was sound, and its way to the target, of late."""
    is_held = fleet.was_held(runner.name, at - CONTACT_S, at)
    return streams.is_sound(fleet, box, at) and not is_held
