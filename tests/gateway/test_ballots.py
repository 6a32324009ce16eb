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
    boxes = [ballots.Ballots() for _ in HOSTS]
    numbers = [ballots.number_box(host) for host in HOSTS]
    given = [[] for _ in HOSTS]
    for now, (step, one, other) in enumerate(steps):
        if step == 'hear':
            boxes[one].hear(boxes[other].claimed, now)
        elif step == 'refused':
            boxes[one].record_refused(max(given[one], default=0))
        else:
            ballot = boxes[one].pick(numbers[one])
            boxes[one].record_claimed(ballot, now)
            given[one].append(ballot)
    fences = [fence for row in given for fence in row]
    assert len(set(fences)) == len(fences)
    assert all(row == sorted(row) for row in given)


def test_fence_is_above_all_that_the_box_has_heard_of():
    one, other = ballots.Ballots(), ballots.Ballots()
    low, high = (ballots.number_box(HOSTS[at]) for at in (0, 4))
    one.record_claimed(one.pick(high), 0.0)
    other.hear(one.claimed, 0.1)
    assert other.pick(low) > one.claimed


def test_ballot_that_no_claim_bears_is_not_told():
    # Guards against a wait for the claim of a box whose append failed.
    told = ballots.Ballots()
    told.pick(7)
    assert told.get_due(0.0) == 0


def test_last_round_is_followed_by_none():
    told = ballots.Ballots()
    told.hear(ballots.make_ballot(ballots.MAX_ROUND, 7), 0.0)
    with pytest.raises(ballots.Exhausted):
        told.pick(7)


def test_refusals_of_one_fence_count_as_one():
    # Guards against rounds that a batch of refused orders uses up.
    told = ballots.Ballots()
    ballot = told.pick(7)
    for _ in range(50):
        told.record_refused(ballot)
    assert ballots.get_round(told.pick(7)) == 3


def test_refusals_without_end_use_up_no_more_than_a_step_each():
    told = ballots.Ballots()
    for _ in range(100):
        told.record_refused(told.pick(7))
    assert ballots.get_round(told.pick(7)) < 101 * (ballots.MAX_STEP + 1)


@pytest.mark.parametrize('host', ['::1', '0.0.0.0', 'h.example', ''])
def test_box_without_an_address_of_its_own_has_no_number(host):
    assert ballots.number_box(host) is None


def test_claim_carries_its_ballot_and_that_of_an_earlier_build_none():
    value = catalogue.write_claim('b', {}, ballot=9)
    assert catalogue.read_claim(value, 7).ballot == 9
    assert catalogue.read_claim(b'{"holder":"b","loading":{}}', 7).ballot == 0


def test_digest_tells_the_ballot_and_an_earlier_build_understands_it():
    digest = peer_digests.Digest('b', 'd', 1, {}, ballot=4)
    assert datagrams.decode(datagrams.encode(digest)).ballot == 4
    short = digest._replace(ballot=0)
    assert len(datagrams.encode(short)) < len(datagrams.encode(digest))


def make_watch():
    """Return a watch that has read the claim of box 'b', ballot 4, at 0 s."""
    watch = order_claims.ClaimWatch(LEASE_S, is_first_start=True)
    watch.record(order_claims.Claim('b', 7, ballot=4), 0.0)
    return watch


WAIT_S = LEASE_S + order_claims.TAKEOVER_S
JUST_BEFORE, JUST_AFTER = WAIT_S - 0.1, WAIT_S + 0.1


def test_claim_that_only_another_box_has_heard_of_is_waited_for():
    watch, told = make_watch(), ballots.Ballots()
    told.hear(4, 0.0)
    assert watch.is_settled(told, 10.0)
    told.hear(5, 10.0)
    assert not watch.is_settled(told, 10.0 + JUST_BEFORE)
    assert watch.is_settled(told, 10.0 + JUST_AFTER)


def test_no_claim_is_made_before_the_leases_of_a_lost_log_are_over():
    watch, told = make_watch(), ballots.Ballots()
    watch.roll_back(10.0)
    assert watch.end is None
    assert not watch.is_settled(told, 10.0 + JUST_AFTER)
    watch.resume(10.5, 10.4)
    assert not watch.is_settled(told, 10.5 + JUST_BEFORE)
    assert watch.is_settled(told, 10.5 + JUST_AFTER)


def test_claim_at_a_lower_offset_counts_after_a_rollback():
    # Guards against a holder that is passed over for its lower offset.
    watch = make_watch()
    watch.roll_back(10.0)
    watch.record(order_claims.Claim('c', 2, ballot=5), 11.0)
    assert watch.claim.holder == 'c'
    assert not watch.may_claim('b', 11.0 + JUST_BEFORE)


@pytest.mark.parametrize('is_first_start', [True, False])
def test_started_box_waits_unless_all_start_for_the_first_time(is_first_start):
    watch = order_claims.ClaimWatch(LEASE_S, is_first_start)
    watch.resume(5.0, 4.9)
    assert watch.is_settled(ballots.Ballots(), 5.0) == is_first_start
    assert watch.is_settled(ballots.Ballots(), 5.0 + JUST_AFTER)


def test_claim_that_was_appended_late_hides_no_newer_one():
    # Guards against a claim of this box over another one's valid claim.
    watch = make_watch()
    watch.record(order_claims.Claim('a', 8, ballot=3), 9.0)
    assert watch.is_last_holder('b')
    watch.record(order_claims.Claim('b', 9, ballot=4), 9.5)
    assert not watch.may_claim('a', 9.5 + JUST_BEFORE)


def test_renewed_claim_that_only_another_box_knows_is_waited_for():
    watch, told = make_watch(), ballots.Ballots()
    told.hear(5, 1.0)
    assert watch.is_settled(told, 10.0)
    told.hear(5, 10.0, is_renewed=True)
    assert not watch.is_settled(told, 10.0 + JUST_BEFORE)


def test_interruption_is_not_over_by_what_was_read_before():
    # Guards against the word of a box that is without the store, too.
    watch, told = make_watch(), ballots.Ballots()
    watch.interrupt(10.0)
    watch.resume(11.0, 9.9)
    assert not watch.is_settled(told, 30.0, are_all_heard=True)
    watch.resume(12.0, 10.1)
    assert watch.is_settled(told, 12.0, are_all_heard=True)


@pytest.mark.parametrize('ballot', [0, 5])
def test_holder_gives_way_to_a_claim_after_its_own(ballot):
    lease = order_claims.Lease(4, 0.0, LEASE_S, 7)
    watch = make_watch()
    assert not watch.is_overtaken('b', lease)
    watch.record(order_claims.Claim('c', 8, ballot=ballot), 1.0)
    assert watch.is_overtaken('b', lease)
