"""Tests the quarantine of a part of prompts under which targets crash.

Each request with the part differs from all others: its body and the last part
of its prompt are its own.  The other parts are those of sound requests.
"""

import asyncio
import itertools
import random

from landingspool.decisions.gateway import crashes as crashes_module
from landingspool.decisions.gateway import fingerprints
from landingspool.decisions.gateway import missing_answers
from tests.gateway import crashing
from tests.gateway import site
from tests.gateway import test_admission_gate as gates
from tests.gateway import test_endings

BOXES = 3
ENGINES = 4
ARRIVALS = 14
# Seconds between two arrivals with the part.
PAUSE_S = 0.15
# Crashes allowed by the requirements before boxes have to know the part.
MAX_CRASHES = 5
COMMON, FATAL, OTHER_FATAL, RARE = 'c0', 'f0', 'f1', 'a0'
FATAL_KEY = fingerprints.compute_part_key(FATAL)
COMMON_KEY = fingerprints.compute_part_key(COMMON)
RARE_KEY = fingerprints.compute_part_key(RARE)
NUMBERS = itertools.count(1)
# Boxes of the largest deployment, and seconds in which each has to know a
# part after the last of the crashes that bar it.
MANY = 195
KNOWN_S = 3.0


def describe_prompt(*shared):
    """Return the headers of a prompt whose last part is its own."""
    own = f'b{next(NUMBERS)}'
    parts = ','.join(f'{name}:100' for name in (*shared, own))
    return (
        ('x-landingspool-model-name', 'm'),
        ('x-landingspool-token-usage', f'{100 * len(shared) + 100},10'),
        ('x-landingspool-prefix-hash', parts),
    )


async def ask(hub, *shared, path='/resumed/a'):
    """Send a request like no other, with some shared parts."""
    body = f'body {next(NUMBERS)}'.encode()
    return await site.ask(hub, path, body, describe_prompt(*shared))


def make_fatal(runner):
    """Let a target crash under two parts."""
    runner.fatal_parts = frozenset((FATAL, OTHER_FATAL))


def run(check, engines=ENGINES):
    """Run a test against a site whose engines crash under the parts."""
    crashing.run(check, make_fatal, engines)


async def ask_in_turn(hubs, parts, arrivals=ARRIVALS):
    """Send requests with parts of a list in turn to the boxes in turn."""
    for number in range(arrivals):
        hub = hubs[number % len(hubs)]
        await ask(hub, COMMON, parts[number % len(parts)])
        await asyncio.sleep(PAUSE_S)


def test_different_requests_with_a_fatal_part_crash_no_more_targets():
    async def check(deployment, engines):
        hubs = await site.start_boxes(deployment, BOXES)
        await ask_in_turn(hubs, [FATAL])
        assert engines.count_ends() <= MAX_CRASHES

    run(check)


def test_two_fatal_parts_at_the_same_time_crash_no_more_targets():
    async def check(deployment, engines):
        hubs = await site.start_boxes(deployment, BOXES)
        await ask_in_turn(hubs, [FATAL, OTHER_FATAL], 2 * ARRIVALS)
        assert engines.count_ends() <= 2 * MAX_CRASHES

    run(check, engines=2 * ENGINES)


def test_sound_requests_are_served_beside_those_with_a_fatal_part():
    async def check(deployment, engines):
        hubs = await site.start_boxes(deployment, BOXES)
        await ask_in_turn(hubs, [FATAL], MAX_CRASHES)
        work = asyncio.ensure_future(ask_in_turn(hubs, [FATAL]))
        got = []
        for number in range(30):
            got.append(await ask(hubs[number % BOXES], COMMON, RARE))
            await asyncio.sleep(0.05)
        work.cancel()
        served = sum(answer.status == 200 and answer.whole for answer in got)
        assert served >= 28

    run(check)


def test_box_that_starts_alone_knows_the_fatal_part():
    async def check(deployment, engines):
        (hub,) = await site.start_boxes(deployment, 1)
        await ask_in_turn([hub], [FATAL])
        await site.wait_until(lambda: not hub.crash_records.list_due())
        deployment.hubs.remove(hub)
        await hub.peering.close()
        await site.wait_until(lambda: len(deployment.engines) == ENGINES)
        later = await deployment.start_box('later')
        await site.wait_until(lambda: later._is_ready())
        ends = engines.count_ends()
        got = await ask(later, COMMON, FATAL)
        assert (got.status, engines.count_ends()) == (503, ends)

    run(check)


def test_other_routes_and_paths_do_not_hide_a_fatal_part():
    async def check(deployment, engines):
        hubs = await site.start_boxes(deployment, BOXES)
        for number in range(ARRIVALS):
            path = ('/resumed/a', '/stream/b', '/resumed/c')[number % 3]
            await ask(hubs[number % BOXES], COMMON, FATAL, path=path)
            await asyncio.sleep(PAUSE_S)
        assert engines.count_ends() <= MAX_CRASHES

    run(check)


def test_reset_connections_bar_no_part():
    async def check(deployment, engines):
        hubs = await site.start_boxes(deployment, BOXES)
        works = []
        for number in range(40):
            hub = hubs[number % BOXES]
            works.append(asyncio.ensure_future(ask(hub, COMMON, RARE)))
            if number % 5 == 4:
                break_connections(deployment)
            await asyncio.sleep(0.02)
        await asyncio.gather(*works)
        assert not any(list_barred(hub) for hub in hubs)

    run(check)


def test_crashes_that_no_part_explains_bar_no_part():
    async def check(deployment, engines):
        hubs = await site.start_boxes(deployment, BOXES)
        await ask(hubs[0], COMMON, RARE)
        works = []
        for number in range(60):
            hub = hubs[number % BOXES]
            works.append(asyncio.ensure_future(ask(hub, COMMON, RARE)))
            if number % 6 == 5:
                deployment.engines[0].end()
            await asyncio.sleep(0.05)
        await asyncio.gather(*works)
        assert engines.count_ends() >= 8
        assert not any(list_barred(hub) for hub in hubs)

    run(check, engines=2 * ENGINES)


def break_connections(deployment):
    """Reset all connections to the engines, which serve on."""
    for runner in deployment.engines:
        for writer in list(runner._writers):
            writer.transport.abort()


def list_barred(hub):
    """List the keys of parts that a box has barred."""
    keys = hub.view.crashes.list_quarantined(hub.clock())
    return [key for key in keys if fingerprints.is_part(key)]


def test_each_of_many_boxes_knows_a_fatal_part_in_time():
    rng = random.Random(7)
    boxes = [crashes_module.Crashes() for _ in range(MANY)]
    for number, name in enumerate(('a', 'b', 'c')):
        box = boxes[number * 60]
        for other in range(60):
            parts = (COMMON_KEY, b'part:a%d' % (other % 10))
            box.record_broken((b'%d' % other, *parts), name, -0.1, 0.0)
        box.record_broken((b'f%d' % number, FATAL_KEY), name, -0.1, 0.0)
        box.record_incarnation_end(name, 0.0)
    for number in range(int(KNOWN_S / 0.2) - 1):
        test_endings.exchange_digests(boxes, 0.2 * number, rng)
    assert all(box.is_barred((FATAL_KEY,)) for box in boxes)


def record_crash(crashes, name, now, *keys):
    """Record a crash of a target that had requests with some keys."""
    crashes.record_broken(keys, name, now - 0.1, now)
    crashes.record_incarnation_end(name, now)


def test_part_that_was_at_fatal_ones_by_chance_is_not_barred_with_them():
    crashes = crashes_module.Crashes()
    record_crash(crashes, 'a', 1.0, FATAL_KEY, RARE_KEY)
    record_crash(crashes, 'b', 1.3, FATAL_KEY, RARE_KEY)
    record_crash(crashes, 'c', 1.6, FATAL_KEY)
    record_crash(crashes, 'd', 1.9, FATAL_KEY, RARE_KEY)
    assert crashes.list_quarantined(2.0) == [FATAL_KEY]
    assert crashes.may_repeat((RARE_KEY,))


def test_part_with_an_answer_before_the_crashes_is_not_barred_first():
    crashes = crashes_module.Crashes()
    crashes.record_served(COMMON_KEY, 0.5)
    for number in range(5):
        record_crash(crashes, str(number), 1.0, COMMON_KEY, FATAL_KEY)
    assert crashes.list_quarantined(2.0) == [FATAL_KEY]


def test_sound_part_that_begins_to_crash_targets_is_barred():
    crashes = crashes_module.Crashes()
    crashes.record_served(COMMON_KEY, 0.5)
    for number in range(5):
        record_crash(crashes, str(number), 1.0 + number, COMMON_KEY)
    assert crashes.list_quarantined(6.0) == [COMMON_KEY]


def test_single_answer_does_not_excuse_a_part_for_good():
    crashes = crashes_module.Crashes()
    crashes.record_served(FATAL_KEY, 0.5)
    for number in range(8):
        record_crash(crashes, str(number), 1.0 + number, FATAL_KEY)
        if number == 2:
            crashes.record_served(FATAL_KEY, 3.5)
    assert crashes.list_quarantined(9.0) == [FATAL_KEY]


def test_answers_of_another_box_speak_for_a_part():
    first, second = crashes_module.Crashes(), crashes_module.Crashes()
    second.record_served(COMMON_KEY, 0.5)
    for number in range(3):
        record_crash(first, str(number), 1.0, COMMON_KEY)
    assert first.list_quarantined(1.0) == [COMMON_KEY]
    for notice in first.list_due_notices(1.2):
        second.take(notice, 1.2)
    for notice in second.list_due_notices(1.4):
        first.take(notice, 1.4)
    assert first.list_quarantined(1.4) == []


def test_request_with_some_of_the_tied_parts_is_tried_soon():
    crashes = crashes_module.Crashes()
    for name in ('a', 'b', 'c'):
        record_crash(crashes, name, 1.0, COMMON_KEY, FATAL_KEY)
    assert crashes.is_barred((COMMON_KEY,))
    both = (b'f', COMMON_KEY, FATAL_KEY)
    assert crashes.find_quarantine(both, 2.0) is not None
    assert crashes.find_quarantine((b's', COMMON_KEY), 2.0) is None
    crashes.record_served(COMMON_KEY, 2.1)
    assert crashes.list_quarantined(2.2) == [FATAL_KEY]


def test_trials_of_a_fatal_part_are_few_over_all_boxes():
    names = [f'box{number}' for number in range(BOXES)]
    boxes = [crashes_module.Crashes() for _ in names]
    for name, box in zip(names, boxes, strict=True):
        box.bars.set_members(name, names)
        for number in range(MAX_CRASHES):
            record_crash(box, str(number), 1.0, FATAL_KEY)
    tried = 0
    for now in range(1, 24 * 3600):
        box = boxes[now % BOXES]
        if box.find_quarantine((FATAL_KEY,), now) is None:
            tried += 1
            for other in boxes:
                record_crash(other, f'trial {now}', now, FATAL_KEY)
    # Three later than the fifth crash are allowed.
    assert 1 <= tried <= 3


def test_request_that_waits_with_a_part_goes_on_as_it_is_barred():
    async def check(box):
        (state, first), (_, second) = await gates.begin_all(box, 'ab')
        state.keys = (*state.keys, FATAL_KEY)
        for name in ('a', 'b', 'c'):
            record_crash(box.view.crashes, name, 1.0, FATAL_KEY)
        box.gate.release_barred()
        # It makes another attempt, which is refused.
        assert await first == gates.REPLAN
        assert not second.done()
        second.cancel()

    gates.run(check)


def test_bar_that_is_lifted_by_hand_is_no_answer():
    crashes = crashes_module.Crashes()
    for name in ('a', 'b', 'c'):
        record_crash(crashes, name, 1.0, FATAL_KEY)
    crashes.lift(FATAL_KEY, 2.0)
    assert crashes.list_quarantined(2.0) == []
    for name in ('d', 'e', 'f'):
        record_crash(crashes, name, 3.0, FATAL_KEY)
    assert crashes.list_quarantined(3.0) == [FATAL_KEY]


def test_better_explanation_does_not_erase_evidence_in_the_store():
    async def check(deployment):
        hub = await deployment.start_box()
        crashes, now = hub.view.crashes, hub.clock()
        for name in ('a', 'b', 'c'):
            record_crash(crashes, name, now, RARE_KEY, FATAL_KEY)
        hub.crash_records.check()
        record_crash(crashes, 'd', now, FATAL_KEY)
        hub.crash_records.check()
        await site.wait_until(lambda: not hub.crash_records.list_due())
        deployment.hubs.remove(hub)
        await hub.peering.close()
        later = await deployment.start_box('later')
        await site.wait_until(lambda: later._is_ready())
        assert later.view.crashes.count(RARE_KEY, later.clock()) == 3

    site.run(check)


def test_answer_missing_long_before_a_crash_is_not_due_to_it():
    missing = missing_answers.MissingAnswers()
    missing.put(FATAL_KEY, 7, 1.0)
    missing.put(RARE_KEY, 7, 4.0)
    assert missing.take(7, 5.0) == {RARE_KEY: 4.0}
    assert missing.find(RARE_KEY) == {}
