"""Tests that targets that announce in answers that they leave get no requests.

The failure: the platform's store is unavailable.  A target that leaves can't
write so into the store, and announces it in each of its answers.  Twelve
seconds after such an answer the box still sent it a request, when the engine
might have been gone.

The cause: no box read the announcement.  Whether a target leaves was known
from the store's list alone, which showed it only when the store was back.  The
request was not a retry: it had come to the box for the first time, 14 ms
before it reached the target.
"""

import asyncio

from tests.gateway import site

# Number of concurrent requests, and of rounds of them, after the first answer
# with the announcement.
AT_ONCE = 6
ROUNDS = 3


async def ask_at_once(hub, path):
    """Send concurrent requests and return the set of statuses."""
    works = [site.ask(hub, path) for _ in range(AT_ONCE)]
    return {answer.status for answer in await asyncio.gather(*works)}


async def ask_in_rounds(hub, path):
    """Send rounds of concurrent requests and return the set of statuses."""
    got = [await ask_at_once(hub, path) for _ in range(ROUNDS)]
    return set().union(*got)


def test_what_says_that_it_leaves_gets_nothing_more():
    async def check(deployment):
        hub = await deployment.start_box()
        leaving, _ = deployment.plain
        leaving.leaving = True
        assert await ask_at_once(hub, '/safe/a') == {200}
        known = len(leaving.heads)
        assert known
        assert await ask_in_rounds(hub, '/safe/a') == {200}
        assert len(leaving.heads) == known

    site.run(check, engines=1)


def test_it_gets_nothing_more_where_no_other_target_is_left():
    async def check(deployment):
        hub = await deployment.start_box()
        (leaving,) = deployment.plain
        leaving.leaving = True
        assert await ask_at_once(hub, '/safe/a') == {200}
        known = len(leaving.heads)
        got = await ask_in_rounds(hub, '/unsafe/a')
        assert len(leaving.heads) == known
        assert got == {503}

    site.run(check, plain=1, engines=1)
