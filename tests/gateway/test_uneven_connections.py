"""Tests boxes of which one gets most of the new connections for a while."""

import asyncio
import itertools

from landingspool.decisions.gateway import permit_search
from tests.gateway import site

BOXES = 3
ENGINES = 3
# Requests a second that each engine takes, and that all callers send.
LIMIT_PER_S = 6
ASKED_PER_S = 16
# Seconds until all permits are open, until a change has to be coped with (the
# users' bound), and in which requests are counted.
OPEN_S = 9.0
CONTACT_S = 3.0
COUNTED_S = 4.0
# Of ten requests, those that go to one box.
MOST = 9
# Least share of what was served before (the users' bound).
LEAST_SHARE = 0.75
# What a target may get in any window beside the limit (the users' bound).
WINDOW_S, TIMES, SLACK = 4.0, 1.5, 5
NUMBERS = itertools.count(1)


async def send(boxes, seconds):
    """Send requests to boxes in turn; return the share that is served."""
    works = []
    for number in range(int(seconds * ASKED_PER_S)):
        hub, path = boxes[number % len(boxes)], f'/safe/{next(NUMBERS)}'
        works.append(asyncio.ensure_future(site.ask(hub, path)))
        await asyncio.sleep(1 / ASKED_PER_S)
    got = await asyncio.gather(*works)
    return sum(answer.status == 200 for answer in got) / len(got)


def test_one_box_with_most_connections_gets_the_permits_that_it_needs():
    async def check(deployment):
        for runner in deployment.plain:
            runner.limit = str(LIMIT_PER_S)
        hubs = await site.start_boxes(deployment, BOXES)
        await send(hubs, OPEN_S)
        before = await send(hubs, COUNTED_S)
        uneven = [hubs[0]] * MOST + [hubs[1]]
        await send(uneven, CONTACT_S)
        after = await send(uneven, COUNTED_S)
        assert after >= LEAST_SHARE * before, (before, after)
        for runner in deployment.plain:
            check_limit(runner)

    site.run(check, plain=ENGINES)


def check_limit(runner):
    """Check that a target never got more than its limit allows."""
    times = [head['at'] for head in runner.heads]
    # Until all boxes know of the limit they go by no quota.
    times = [at for at in times if at > times[0] + CONTACT_S]
    most = max(
        sum(end - WINDOW_S <= at <= end for at in times) for end in times
    )
    assert most <= TIMES * LIMIT_PER_S * WINDOW_S + SLACK


def test_few_requests_search_a_permit_while_no_box_has_one():
    search, searches = permit_search.PermitSearch(), 0
    for number in range(200):
        now = number * 0.05
        if search.may_search('s', now):
            searches += 1
            search.record_missing('s', now)
    assert searches <= 9
    search.record_found('s')
    assert search.may_search('s', 10.0)


def test_silent_connections_leave_room_for_new_ones():
    async def check(deployment):
        hub = await deployment.start_box()
        hub.listener._max_connections = 20
        silent = [
            await asyncio.open_connection(*hub.deployment.callers)
            for _ in range(40)
        ]
        await asyncio.sleep(0.2)
        got = [await site.ask(hub, f'/safe/{n}') for n in range(10)]
        assert [answer.status for answer in got] == [200] * 10
        for _, writer in silent:
            writer.close()

    site.run(check)


def test_connections_with_a_request_are_not_closed_for_new_ones():
    async def check(deployment):
        hub = await deployment.start_box()
        hub.listener._max_connections = 8
        for target in deployment.plain:
            target.usual = 'slow'
        works = [
            asyncio.ensure_future(site.ask(hub, f'/safe/{n}'))
            for n in range(8)
        ]
        await site.wait_until(lambda: hub.listener.count_busy() == 8)
        for _ in range(4):
            await asyncio.open_connection(*hub.deployment.callers)
        got = await asyncio.gather(*works)
        assert all(answer.whole for answer in got)

    site.run(check)
