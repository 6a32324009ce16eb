"""Tests of the weighted fair queue."""

import collections

from landingspool.decisions import fairness
from tests import examples

EVEN = fairness.Share(1.0, 1)


def fill(queue, workspace, count, share=EVEN):
    """Queue `count` requests of a workspace."""
    for index in range(count):
        work = examples.make_work(f'{workspace}{index}', workspace, 1)
        queue.push(work, share)


def serve(queue, count, output=10):
    """Serve `count` requests; return the number for each workspace."""
    got = collections.Counter()
    for _ in range(count):
        work = queue.pop()
        if work is None:
            break
        charged = queue.reserve(work.workspace, work.prompt_tokens)
        queue.settle(work.workspace, charged, work.prompt_tokens, output)
        got[work.workspace] += 1
    return got


def test_service_follows_the_weights():
    queue = fairness.FairQueue()
    fill(queue, 'a', 90, fairness.Share(3.0, 1))
    fill(queue, 'b', 90, fairness.Share(1.0, 1))
    assert serve(queue, 80) == {'a': 60, 'b': 20}


def test_flood_of_one_does_not_delay_another():
    queue = fairness.FairQueue()
    fill(queue, 'flood', 500)
    serve(queue, 100)
    fill(queue, 'small', 1)
    assert 'small' in serve(queue, 2)


def test_idle_workspace_saves_up_no_credit():
    queue = fairness.FairQueue()
    fill(queue, 'a', 200)
    serve(queue, 100)
    fill(queue, 'b', 100)
    got = serve(queue, 60)
    assert abs(got['a'] - got['b']) <= 2


def test_higher_class_goes_first_and_the_lower_one_still_moves():
    queue = fairness.FairQueue()
    fill(queue, 'low', 50, fairness.Share(1.0, 0))
    fill(queue, 'high', 200, fairness.Share(1.0, 5))
    got = serve(queue, 100)
    assert got == {'high': 90, 'low': 10}


def test_own_queue_is_what_a_workspace_waits_for():
    queue = fairness.FairQueue()
    fill(queue, 'flood', 100)
    assert queue.count_ahead('small', EVEN) == 0
    assert queue.count_ahead('flood', EVEN) == 100


def test_reservation_is_settled_to_what_was_used():
    queue = fairness.FairQueue('reserve')
    fill(queue, 'a', 1)
    work = queue.pop()
    charged = queue.reserve('a', work.prompt_tokens)
    queue.settle('a', charged, work.prompt_tokens, 10)
    used = fairness.compute_cost(work.prompt_tokens, 10)
    assert queue.get_served('a') == used


def test_changed_weight_counts_from_the_next_request():
    queue = fairness.FairQueue()
    fill(queue, 'a', 60)
    fill(queue, 'b', 60)
    serve(queue, 10)
    fill(queue, 'a', 1, fairness.Share(3.0, 1))
    got = serve(queue, 40)
    assert got['a'] > 2 * got['b']


def test_removed_request_is_not_served():
    queue = fairness.FairQueue()
    fill(queue, 'a', 2)
    queue.remove('a', 'a0')
    assert queue.pop().request == 'a1'
    assert queue.pop() is None
