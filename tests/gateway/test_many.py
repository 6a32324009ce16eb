"""What callers get where hundreds of boxes share the targets.

The decisions alone are played, without a network (bench/many.py): 195 boxes
and 50 engines, each box knows the others from digests.
"""

from bench import many


def test_boxes_use_the_connections_that_they_have():
    """0.85 connections a request before, 0.26 since, as many in time."""
    got = many.Play(many.Size(seconds=6.0), 1).run()
    assert got.connections < 0.4
    assert got.in_aim > 0.99
    assert got.refused < 0.001


def test_new_weights_do_not_pile_up_requests():
    """Two versions named four seconds apart, while all context is cold.

    Before, in the worst second 0.69 of the requests began in time, and 0.939
    of all; since, 0.86 and 0.979.
    """
    size = many.Size(seconds=14.0, named_at=(2.0, 6.0))
    got = many.Play(size, 1).run()
    assert got.in_aim > 0.96
    assert min(got.by_second) > 0.75
    assert got.refused < 0.005


def test_a_quarter_of_the_targets_dark():
    """0.963 of the requests in time before, 0.97 since.

    Boxes made 8,857 probes in five seconds before, 6,622 since.
    """
    got = many.Play(many.Size(seconds=8.0, dark=13), 1).run()
    assert got.in_aim > 0.95
    assert min(got.by_kind.values()) > 0.9
    assert got.probes < 7500
    assert got.refused < 0.005
