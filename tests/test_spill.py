"""Tests of the spill of requests to another failure domain."""

from landingspool.decisions import messages
from landingspool.decisions import placement
from landingspool.decisions import spill
from tests import examples

IDLE = messages.Room('m', 4, 0.0, 10_000.0, 1)


def ask(owned, work, now=0.0):
    """Ask a scheduler; return its messages other than Queued."""
    sends = owned.ask(work, examples.SHARE, now)
    rows = [s.message for s in sends]
    return [m for m in rows if not isinstance(m, messages.Queued)]


def make_busy(now=0.0, backlog=30_000):
    """Return a scheduler whose only target has a backlog."""
    owned = examples.make_scheduler(targets=('t1',), now=now)
    report = examples.make_report('t1', queued_tokens=backlog, running=1)
    owned.report(report, now + 0.01)
    return owned


def test_work_goes_where_its_first_token_comes_earlier():
    owned = make_busy()
    owned.record_room('south', IDLE, 0.0)
    (message,) = ask(owned, examples.make_work('r1'))
    assert message == messages.Spill('r1', 'south')


def test_work_stays_where_its_context_is_worth_more_than_a_short_wait():
    owned = make_busy(backlog=1500)
    work = examples.make_work('r1', pieces=8)
    keys = placement.compute_keys(work.pieces, 'v1')
    owned.directory.record_cached('t1', keys)
    owned.record_room('south', IDLE, 0.0)
    (message,) = ask(owned, work)
    assert isinstance(message, messages.Grant)


def test_what_was_sent_is_added_to_the_summary():
    owned = make_busy(backlog=9000)
    owned.record_room('south', IDLE, 0.0)
    kinds = []
    for index in range(4):
        (message,) = ask(owned, examples.make_work(f'r{index}'))
        kinds.append(type(message))
    assert kinds[0] is messages.Spill
    assert messages.Grant in kinds


def test_old_summary_counts_for_nothing():
    owned = make_busy()
    owned.record_room('south', IDLE, -spill.MAX_SUMMARY_AGE_S - 1)
    (message,) = ask(owned, examples.make_work('r1'))
    assert isinstance(message, messages.Grant)


def test_work_is_sent_on_once_only():
    owned = make_busy()
    owned.record_room('south', IDLE, 0.0)
    (message,) = ask(owned, examples.make_work('r1', hops=1))
    assert isinstance(message, messages.Grant)


def test_domain_without_a_target_sends_all_on():
    owned = examples.make_scheduler(targets=(), now=-5.0)
    owned.record_room('south', IDLE, 0.0)
    (message,) = ask(owned, examples.make_work('r1'))
    assert message == messages.Spill('r1', 'south')
