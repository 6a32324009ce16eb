"""Fences of orders: unique to their holder, and rising."""

import hypothesis
from hypothesis import strategies

import pytest

from landingspool.boxes import datagrams
from landingspool.decisions.gateway import ballots
from landingspool.decisions.gateway import order_claims
from landingspool.decisions.gateway import peer_digests
from landingspool.platform import catalogue

LEASE_S = 3.0
HOSTS = [f'10.0.0.{number}' for number in range(1, 6)]
# A step of some boxes: who picks a round, or who hears of whose.
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['claim', 'hear', 'refused']),
        strategies.integers(0, len(HOSTS) - 1),
        strategies.integers(0, len(HOSTS) - 1),
    ),
    max_size=60,
)


@hypothesis.given(STEPS)
def test_no_fence_is_given_out_twice_whoever_hears_of_whom(steps):
    boxes = [ballots.Rounds() for _ in HOSTS]
    numbers = [ballots.number_box(host) for host in HOSTS]
    given = [[] for _ in HOSTS]
    for now, (step, one, other) in enumerate(steps):
        if step == 'hear':
            boxes[one].hear(boxes[other].claimed, now)
        elif step == 'refused':
            boxes[one].record_refused()
        else:
            round_ = boxes[one].pick()
            boxes[one].record_claimed(round_, now)
            given[one].append(ballots.make_fence(round_, numbers[one]))
    fences = [fence for row in given for fence in row]
    assert len(set(fences)) == len(fences)
    assert all(row == sorted(row) for row in given)


def test_fence_is_above_all_that_the_box_has_heard_of():
    one, other = ballots.Rounds(), ballots.Rounds()
    one.record_claimed(one.pick(), 0.0)
    other.hear(one.claimed, 0.1)
    low, high = (ballots.number_box(HOSTS[at]) for at in (0, 4))
    before = ballots.make_fence(one.claimed, high)
    assert ballots.make_fence(other.pick(), low) > before


def test_round_that_no_claim_bears_is_not_told():
    # Guards against a wait for the claim of a box whose append failed.
    rounds = ballots.Rounds()
    rounds.pick()
    assert rounds.get_due(0.0) == 0


def test_last_round_is_followed_by_none():
    rounds = ballots.Rounds()
    rounds.hear(ballots.MAX_ROUND, 0.0)
    with pytest.raises(ballots.Exhausted):
        rounds.pick()


@pytest.mark.parametrize('host', ['::1', '0.0.0.0', 'h.example', ''])
def test_box_without_an_address_of_its_own_has_no_number(host):
    assert ballots.number_box(host) is None


def test_claim_carries_its_round_and_that_of_an_earlier_build_none():
    value = catalogue.write_claim('b', {}, round_=9)
    assert catalogue.read_claim(value, 7).round == 9
    assert catalogue.read_claim(b'{"holder":"b","loading":{}}', 7).round == 0


def test_digest_tells_the_round_and_an_earlier_build_understands_it():
    digest = peer_digests.Digest('b', 'd', 1, {}, round=4)
    assert datagrams.decode(datagrams.encode(digest)).round == 4
    short = digest._replace(round=0)
    assert len(datagrams.encode(short)) < len(datagrams.encode(digest))


def make_watch():
    """Return a watch that has read the claim of box 'b' in round 4 at 0 s."""
    watch = order_claims.ClaimWatch(LEASE_S, is_first_start=True)
    watch.confirm(0.0)
    watch.record(order_claims.Claim('b', 7, round=4), 0.0)
    return watch


WAIT_S = LEASE_S + order_claims.TAKEOVER_S
JUST_BEFORE, JUST_AFTER = WAIT_S - 0.1, WAIT_S + 0.1


def test_claim_that_only_another_box_has_heard_of_is_waited_for():
    watch, rounds = make_watch(), ballots.Rounds()
    rounds.hear(4, 0.0)
    assert watch.is_settled(rounds, 10.0)
    rounds.hear(5, 10.0)
    assert not watch.is_settled(rounds, 10.0 + JUST_BEFORE)
    assert watch.is_settled(rounds, 10.0 + JUST_AFTER)


def test_no_claim_is_made_before_the_leases_of_a_lost_log_are_over():
    watch, rounds = make_watch(), ballots.Rounds()
    watch.roll_back(10.0)
    assert watch.end is None
    assert not watch.is_settled(rounds, 10.0 + JUST_AFTER)
    watch.confirm(10.5)
    assert not watch.is_settled(rounds, 10.5 + JUST_BEFORE)
    assert watch.is_settled(rounds, 10.5 + JUST_AFTER)


def test_claim_at_a_lower_offset_counts_after_a_rollback():
    # Guards against a holder that is passed over for its lower offset.
    watch = make_watch()
    watch.roll_back(10.0)
    watch.record(order_claims.Claim('c', 2, round=5), 11.0)
    assert watch.claim.holder == 'c'
    assert not watch.may_claim('b', 11.0 + JUST_BEFORE)


@pytest.mark.parametrize('is_first_start', [True, False])
def test_started_box_waits_unless_all_start_for_the_first_time(is_first_start):
    watch = order_claims.ClaimWatch(LEASE_S, is_first_start)
    watch.confirm(5.0)
    assert watch.is_settled(ballots.Rounds(), 5.0) == is_first_start
    assert watch.is_settled(ballots.Rounds(), 5.0 + JUST_AFTER)
