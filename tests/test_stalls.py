"""A box that stalls between two statements serves as if it had not."""

import pytest

from tests.virtual import stories

# Longer than reports of targets and summaries of other domains are used.
STALL_S = 6.0
# More readings of the clock than a box makes while it serves one request.
READINGS = 40

# A process that is dropped leaves coroutines that nobody will ever await.
pytestmark = pytest.mark.filterwarnings('ignore:coroutine .* never awaited')


@pytest.mark.parametrize('box', [0, 1])
def test_stall_at_any_reading_of_the_clock_refuses_no_request(box):
    """Guards against decisions at a time after a stall that isn't noticed."""
    refused = {}
    for reading in range(READINGS):
        world = stories.build(1)
        name = world.list_boxes()[box]
        world.clocks[name].stall_at(reading, STALL_S)
        prompt = 'a' + stories.PIECE
        call = stories.ask(world, f'r{reading}', 'a', prompt, box=box)
        world.spawn(call)
        world.finish(30.0)
        (sent,) = world.answers
        if not sent.answers[0].whole:
            refused[reading] = sent.answers[0].error
    assert refused == {}
