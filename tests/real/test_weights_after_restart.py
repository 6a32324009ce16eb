"""Boxes that are killed during a rollout whose orders are carried out late.

What counts is which weights the targets began each request on, and when.
"""

import asyncio
import os
import random
import typing

import pytest

from soak import callers
from soak import fleet as fleet_module
from standins import behaviours

VERSION_S = 8.0
# Longer than a run: no target has the new weights before its end.
LATE_S = 60.0
# Seconds after its start from which on a box is bound.
CONTACT_S = 3.0
CALLERS = 6
# Seconds of requests before the new version is named, and after the bound.
BEFORE_S = 0.5
AFTER_S = 2.0
# Seconds until a box that was killed is started again.
DOWN_S = 0.3
SOME, ALL = slice(1, None), slice(None)
# A draw of it gives three boxes, each in a failure domain of its own.
SHAPE_SEED = 2


class Kill(typing.NamedTuple):
    """Boxes that are killed together, `at_s` seconds after the naming."""

    at_s: float
    boxes: slice


class Case(typing.NamedTuple):
    """What happens in a run; `second_at_s`: when another version is named."""

    kills: list
    second_at_s: float | None = None


# Boxes stop using targets on old weights some seconds before the bound; what
# starts shortly before that would go on past the bound if it began anew.
CASES = {
    'some': Case([Kill(4.5, SOME)]),
    'in-turn': Case(
        [
            Kill(4.5, slice(0, 1)),
            Kill(5.2, slice(1, 2)),
            Kill(5.9, slice(2, 3)),
        ]
    ),
    'all-at-once': Case([Kill(4.5, ALL)]),
    'some-after-a-second-version': Case([Kill(4.5, SOME)], 3.5),
}


@pytest.mark.parametrize('case', CASES.values(), ids=CASES)
def test_restarted_boxes_use_old_weights_past_the_bound(case, tmp_path):
    fleet, sent = asyncio.run(play(case, tmp_path))
    ends = fleet.named[2] + VERSION_S
    killed = {box.name for box in fleet.boxes if len(box.starts) > 1}
    asked = {row.box for row in sent if row.at > ends}
    engines = [r for r in fleet.runners if r.service == 'engine']
    assert killed <= asked, 'not all were asked after the bound'
    assert {runner.version for runner in engines} == {1}
    assert any(head['at'] < ends for r in engines for head in r.ran)
    late = list_late(fleet, engines, sent, ends)
    assert not late, describe_late(late)


async def play(case, folder):
    """Name versions and kill boxes; returns the fleet and what was sent."""
    # Test processes that run side by side have addresses of their own.
    subnet = 100 + os.getpid() % 100
    fleet = fleet_module.Fleet(folder, subnet, version_s=VERSION_S)
    rng = random.Random(SHAPE_SEED)
    people = [callers.Caller(i, fleet, rng) for i in range(CALLERS)]
    try:
        await fleet.open(rng)
        await fleet_module.wait_ready(fleet)
        works = [asyncio.ensure_future(one.run()) for one in people]
        await asyncio.sleep(BEFORE_S)
        for runner in fleet.runners:
            runner.late_s = LATE_S
        fleet.name_weights()
        works += [asyncio.ensure_future(name_second(fleet, case.second_at_s))]
        await asyncio.gather(*(kill(fleet, *row) for row in case.kills))
        await wait_until(fleet.named[2] + VERSION_S + AFTER_S)
        for work in works:
            work.cancel()
        await asyncio.gather(*works, return_exceptions=True)
    finally:
        await fleet.close()
    return fleet, [row for one in people for row in one.sent]


async def wait_until(at):
    """Wait until a time of the loop in seconds."""
    await asyncio.sleep(at - asyncio.get_running_loop().time())


async def name_second(fleet, at_s):
    """Name another version at a time after the first naming, if any."""
    if at_s is not None:
        await wait_until(fleet.named[2] + at_s)
        fleet.name_weights()


async def kill(fleet, at_s, boxes):
    """Kill boxes at a time after the naming, and start them again."""
    await wait_until(fleet.named[2] + at_s)
    for box in fleet.boxes[boxes]:
        box.process.kill()
        box.process.wait()
    await asyncio.sleep(DOWN_S)
    for box in fleet.boxes[boxes]:
        box.start()


def list_late(fleet, engines, sent, ends):
    """List when, after the bound, requests began on version 1, and by whom.

    Those count that were sent by boxes which had run for long enough.
    """
    boxes = {row.name: row.box for row in sent}
    late = []
    for head in (head for runner in engines for head in runner.ran):
        box, at = boxes.get(behaviours.get_id(head)), head['at']
        if head['version'] > 1 or at <= ends or box is None:
            continue
        if not fleet.has_started(box, at - CONTACT_S, at):
            late.append((at - ends, box))
    return late


def describe_late(late):
    """Tell how many requests were late, until when, and who sent them."""
    last_s = VERSION_S + max(late, default=(0.0, ''))[0]
    boxes = sorted({box for _, box in late})
    return f'{len(late)} late by {boxes}, the last {last_s:.2f} s after naming'
