"""Tests what boxes do that have forgotten what they did before a restart."""

import asyncio

from landingspool.decisions.gateway import retry_budget
from tests.gateway import site
from tests.gateway import test_rest
from tests.gateway import test_stream_software as streams

# Bound of the repeats of all boxes in any window, and the boxes.
SLACK = 50.0
WINDOW_S = 10.0
BOXES = 8
# A target that names a limit a second, what may arrive there in a window of
# the rule, the seconds for which callers ask a box that has just started, and
# the requests that wait for its start.
PER_S = 0.5
ALLOWED = 1.5 * PER_S * 4.0 + 5.0
ASKED_S = 2.0
BURST = 30


def use_up(now):
    """Let all boxes, just started, repeat all that they may; count it."""
    repeats = 0
    for _ in range(BOXES):
        budget = retry_budget.RetryBudget(0.2, SLACK, WINDOW_S)
        while budget.take(now, BOXES):
            repeats += 1
    return repeats


def test_boxes_that_all_restart_have_no_second_slack_of_repeats():
    assert use_up(0.0) + use_up(WINDOW_S / 2) <= SLACK


def test_a_restarted_box_keeps_to_the_rest_that_a_target_asked_of_it():
    async def check(deployment):
        hub = await deployment.start_box()
        (overloaded,) = deployment.plain
        overloaded.script, overloaded.rest = ['shed'], str(test_rest.REST_S)
        await site.ask(hub, '/unsafe/a')
        streams.kill(hub)
        later = await deployment.start_box()
        await test_rest.ask_steadily(later, '/unsafe/a')
        assert test_rest.count_within(overloaded) <= test_rest.MAX_REQUESTS

    site.run(check, plain=1, engines=1)


def test_a_started_box_learns_a_limit_before_it_exceeds_it():
    async def check(deployment):
        first = await deployment.start_box('box0')
        (runner,) = deployment.plain
        runner.limit = str(PER_S)
        await site.ask(first, '/safe/a')
        second = await deployment.start_box('box1', [first.deployment.links])
        known = len(runner.heads)
        asked = []
        for _ in range(int(ASKED_S * test_rest.ASKED_PER_S)):
            asked.append(asyncio.ensure_future(site.ask(second, '/safe/a')))
            await asyncio.sleep(1 / test_rest.ASKED_PER_S)
        await asyncio.gather(*asked)
        assert known + len(runner.heads) <= ALLOWED

    site.run(check, plain=1, engines=1)


def test_a_started_box_sends_no_burst_beyond_a_limit_that_peers_know():
    async def check(deployment):
        first = await deployment.start_box('box0')
        (runner,) = deployment.plain
        runner.limit, runner.usual = str(PER_S), 'slow echo'
        await site.ask(first, '/safe/a')
        second = await deployment.start_box('box1', [first.deployment.links])
        asked = (site.ask(second, '/safe/a') for _ in range(BURST))
        await asyncio.gather(*asked)
        assert len(runner.heads) <= ALLOWED

    site.run(check, plain=1, engines=1)
