"""A back end that falls silent and goes on loses nothing that it runs."""

import pytest

from bench import caller
from tests.virtual import stories

# A process that is dropped leaves coroutines that nobody will ever await.
pytestmark = pytest.mark.filterwarnings('ignore:coroutine .* never awaited')

ENGINES = ('e00', 'e01', 'e10', 'e11')
DEADLINE_S = 40
START_S = 0.5
# Prompt tokens a second of an engine that is not slowed, and of a piece.
PREFILL = 40_000
PIECE_TOKENS = 2000


def freeze(world, seconds):
    """Let all engines stand still."""
    for name in ENGINES:
        world.freeze(name, seconds)


def cut(world, seconds):
    """Let nothing pass between boxes and engines."""
    for box in world.list_boxes():
        for name in ENGINES:
            world.cut(box, name, seconds)


def leave(world, seconds):
    """Cut the engines off, and let the platform no longer list them."""
    cut(world, seconds)
    for name in ENGINES:
        del world.members[name]
    world.announce()


def kill(world, seconds):
    """End the processes of the engines."""
    for name in ENGINES:
        world.kill(name)


def ask_once(disturb, seconds, tokens=30, slowness=1.0):
    """Return the answer to a request that must not be repeated."""
    world = stories.build(1)
    for name in ENGINES:
        world.processes[name].thing.slowness = slowness
    body = {'model': 'm', 'prompt': stories.PIECE, 'max_tokens': tokens}
    headers = {'x_deadline_s': DEADLINE_S, 'x_repeatable': 'false'}
    address = world.get_address('north-0')
    call = caller.complete(world.client, address, 'key-a', body, **headers)
    answer = world.spawn(call)
    world.run(world.now + START_S)
    disturb(world, seconds)
    world.finish(2 * DEADLINE_S)
    return answer.result()


@pytest.mark.parametrize('disturb', (freeze, cut))
@pytest.mark.parametrize('seconds', (1.3, 14.0))
def test_run_of_a_silent_engine_is_not_given_up(disturb, seconds):
    answer = ask_once(disturb, seconds)
    assert (answer.status, answer.whole) == (200, True), answer.error


def test_run_of_a_slow_engine_is_not_given_up():
    slowness = 14.0 * PREFILL / PIECE_TOKENS
    answer = ask_once(lambda *_: None, 0.0, tokens=1, slowness=slowness)
    assert (answer.status, answer.whole) == (200, True), answer.error


@pytest.mark.parametrize(
    'disturb, reason, most_s',
    (
        (cut, 'deadline', DEADLINE_S + 1),
        (leave, 'broken', 15),
        (kill, 'broken', 2),
    ),
)
def test_engine_that_is_gone_holds_nobody_beyond_the_deadline(
    disturb, reason, most_s
):
    answer = ask_once(disturb, 2 * DEADLINE_S)
    assert answer.error['type'] == reason
    assert answer.error['verdict'] == 'may_have_run'
    assert answer.total < most_s


@pytest.mark.parametrize('side', ('target', 'store'))
def test_block_that_was_not_read_for_a_silence_stays_offered(side):
    tried = []

    def fall_silent(world, step):
        if step.name == 'import' and not tried:
            value = step.subject.request.json()
            tried.append(value['write'])
            silent = step.peer if side == 'target' else stores[value['port']]
            world.freeze(silent, 3.0)

    world = stories.build(1, fall_silent, cache=3)
    stores = {world.get_address(name).port: name for name in ('s0', 's1')}
    stories.keep(world)
    (write,) = tried
    assert any(write in world.processes[s].thing.writes for s in ('s0', 's1'))
    assert write in list_offered(world)


def list_offered(world):
    """Return the writes that any scheduler offers."""
    return {
        stored.block.write
        for box in world.list_boxes()
        for owned in world.processes[box].thing.node.pools.schedulers.values()
        for stored in owned.directory._stored.values()
    }
