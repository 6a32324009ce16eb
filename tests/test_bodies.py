"""Bodies come out as they went in, and are counted as they are freed."""

import pytest

from landingspool import bodies

SIZES = (
    0,
    1,
    bodies.INLINE_BYTES,
    bodies.INLINE_BYTES + 1,
    bodies.SEGMENT_BYTES,
    3 * bodies.SEGMENT_BYTES + 7,
)


def fill(size, part=50_000):
    """Return a Body, its bytes, and the list of what it frees."""
    freed = []
    data = bytes(number % 251 for number in range(size))
    body = bodies.Body(freed.append)
    for start in range(0, size, part):
        body.append(data[start : start + part])
    return body, data, freed


@pytest.mark.parametrize('size', SIZES)
def test_a_body_can_be_read_again_until_it_is_taken(size):
    body, data, freed = fill(size)
    assert len(body) == size
    assert bodies.join(body) == bodies.join(body) == data
    assert not freed
    assert b''.join(body.take_pieces()) == data
    assert sum(freed) == size
    assert len(body) == size
    body.close()
    assert sum(freed) == size
    with pytest.raises(bodies.Taken):
        bodies.join(body)


@pytest.mark.parametrize('size', SIZES)
def test_closing_a_body_frees_it_once(size):
    body, _, freed = fill(size)
    body.close()
    body.close()
    assert sum(freed) == size


def test_a_body_that_is_taken_in_part_is_freed_whole():
    body, _, freed = fill(SIZES[-1])
    pieces = body.take_pieces()
    next(pieces)
    assert not freed
    pieces.close()
    body.close()
    assert sum(freed) == SIZES[-1]
