"""Targets that say in their answers that they leave.

What users saw: twelve seconds after an answer had told a box that an engine
leaves, the box sent it a request; the engine might have been gone.

Order of events: the platform's store is away.  A target leaves, writes so into
the store in vain, and says so in each of its answers.  Boxes pass these
answers on, and go on sending there until the store is back.

Cause: no box read the word.  Whether a target leaves was known from the
store's list alone, and nothing else could have told it apart from another one.

Evidence: the log tells of the leaving only when the store is back, twelve
seconds after the answer, and nothing brought the target back before; the
request came to the box 14 ms before it reached the target, for the first time;
with the word read and the store's list as it was these tests pass.
"""

import asyncio

from tests.gateway import site

# Requests at the same moment, and how often, after the first answer that says
# so.
AT_ONCE = 6
ROUNDS = 3


async def ask_at_once(hub, path):
    """Ask some times at the same moment; gives the statuses."""
    works = [site.ask(hub, path) for _ in range(AT_ONCE)]
    return {answer.status for answer in await asyncio.gather(*works)}


async def ask_in_rounds(hub, path):
    """Ask at once some times over; gives the statuses."""
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
