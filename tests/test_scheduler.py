"""The scheduler of a pool, in small examples."""

import collections

from landingspool.decisions import identity
from landingspool.decisions import messages
from landingspool.decisions import records
from tests import examples

Event = collections.namedtuple('Event', 'number kind piece')


def get_grant(sends):
    """Give the only grant among some messages."""
    (grant,) = [
        send.message
        for send in sends
        if isinstance(send.message, messages.Grant)
    ]
    return grant


def finish(owned, work, grant, now, **changes):
    """Give a grant back as a whole answer."""
    done = messages.Done(
        request=work.request,
        grant=grant.grant,
        outcome='ok',
        prompt_tokens=work.prompt_tokens,
        cached_tokens=0,
        output_tokens=8,
        pool=work.pool,
        held=0.4,
    )
    return owned.finish(done._replace(**changes), now)


def test_follow_up_goes_where_its_context_is():
    owned = examples.make_scheduler()
    work = examples.make_work('r1.1')
    first = get_grant(owned.ask(work, examples.SHARE, 0.0))
    finish(owned, work, first, 0.5)
    again = examples.make_work('r1.2')
    second = get_grant(owned.ask(again, examples.SHARE, 1.0))
    assert second.target == first.target
    assert second.cached == 2 * identity.PIECE_TOKENS


def test_evicted_context_is_not_counted_on():
    owned = examples.make_scheduler(targets=('t1',))
    work = examples.make_work('r1.1')
    grant = get_grant(owned.ask(work, examples.SHARE, 0.0))
    finish(owned, work, grant, 0.5)
    key = identity.add_version(work.pieces[1], 'v1')
    owned.apply_cache_events('t1', [Event(1, 'removed', key)], gap=False)
    again = examples.make_work('r1.2')
    second = get_grant(owned.ask(again, examples.SHARE, 1.0))
    assert second.cached == identity.PIECE_TOKENS


def test_gap_in_the_events_makes_all_doubtful():
    owned = examples.make_scheduler(targets=('t1',))
    work = examples.make_work('r1.1')
    grant = get_grant(owned.ask(work, examples.SHARE, 0.0))
    finish(owned, work, grant, 0.5)
    owned.apply_cache_events('t1', [], gap=True)
    again = examples.make_work('r1.2')
    assert get_grant(owned.ask(again, examples.SHARE, 1.0)).cached == 0


def test_stored_context_of_another_version_is_not_offered():
    owned = examples.make_scheduler(targets=('t1',))
    work = examples.make_work('r1.1')
    for piece in work.pieces:
        key = identity.add_version(piece, 'v0')
        block = records.Block(key, 's', 'w', 10, 'x')
        owned.directory.record_stored('a', block, identity.PIECE_TOKENS)
    assert get_grant(owned.ask(work, examples.SHARE, 0.0)).fetch == ()


def test_repeated_ask_gets_the_same_grant():
    owned = examples.make_scheduler()
    work = examples.make_work('r1')
    first = get_grant(owned.ask(work, examples.SHARE, 0.0))
    second = get_grant(owned.ask(work, examples.SHARE, 0.5))
    assert first == second
    assert len(owned.active_grants) == 1


def test_places_of_a_target_are_never_exceeded():
    owned = examples.make_scheduler(targets=('t1',))
    grants = []
    for index in range(9):
        work = examples.make_work(f'r{index}')
        grants += owned.ask(work, examples.SHARE, 0.0)
    granted = [s for s in grants if isinstance(s.message, messages.Grant)]
    assert len(granted) == 4
    assert owned.count_waiting() == 5


def test_grant_that_is_not_renewed_is_taken_back():
    owned = examples.make_scheduler(targets=('t1',), grant_lease_s=5.0)
    owned.ask(examples.make_work('r1'), examples.SHARE, 0.0)
    owned.report(examples.make_report('t1'), 6.0)
    _, notes = owned.tick(6.0)
    assert [record.event for record in notes] == ['lapsed']
    assert owned.active_grants == {}


def test_request_that_can_not_make_its_deadline_is_refused_at_once():
    owned = examples.make_scheduler(targets=('t1',))
    for index in range(40):
        owned.ask(examples.make_work(f'r{index}'), examples.SHARE, 0.0)
    late = examples.make_work('late', left=0.5)
    (send,) = owned.ask(late, examples.SHARE, 0.0)
    assert send.message.reason == 'overloaded'
    assert send.message.retry_after >= 1.0


def test_waiting_request_is_refused_when_its_deadline_can_not_be_met():
    owned = examples.make_scheduler(targets=('t1',))
    for index in range(5):
        work = examples.make_work(f'r{index}', left=3.0)
        owned.ask(work, examples.SHARE, 0.0)
    sends, _ = owned.tick(2.96)
    refused = [s.message for s in sends]
    assert [message.reason for message in refused] == ['deadline']


def test_failing_target_is_probed_with_one_request():
    owned = examples.make_scheduler(targets=('t1',))
    for index in range(3):
        work = examples.make_work(f'r{index}')
        grant = get_grant(owned.ask(work, examples.SHARE, 0.0))
        finish(owned, work, grant, 0.1, outcome='failed')
    sends = []
    for index in range(3, 6):
        work = examples.make_work(f'r{index}')
        sends += owned.ask(work, examples.SHARE, 0.2)
    assert not any(isinstance(s.message, messages.Grant) for s in sends)
    owned.report(examples.make_report('t1'), 2.2)
    sends, _ = owned.tick(2.2)
    assert len(sends) == 1


def test_slow_target_is_noticed_before_its_requests_end():
    owned = examples.make_scheduler(targets=('t1',))
    target = owned.targets['t1']
    for step in range(1, 12):
        # It should work off 10,000 tokens a second and does a tenth.
        report = examples.make_report(
            't1', queued_tokens=20_000 - 250 * step, running=3
        )
        owned.report(report, step * 0.25)
    assert target.slowness > 3.0


def test_target_at_its_usual_speed_is_not_called_slow():
    owned = examples.make_scheduler(targets=('t1',))
    target = owned.targets['t1']
    for step in range(1, 7):
        report = examples.make_report(
            't1', queued_tokens=20_000 - 2500 * step, running=3
        )
        owned.report(report, step * 0.25)
    assert 0.9 < target.slowness < 1.1


def test_slow_link_is_learnt_and_context_is_computed_instead():
    owned = examples.make_scheduler(targets=('t1',))
    work = examples.make_work('r1.1')
    for piece in work.pieces:
        key = identity.add_version(piece, 'v1')
        block = records.Block(key, 's', 'w', 10, 'x')
        owned.directory.record_stored('a', block, identity.PIECE_TOKENS)
    fetches = []
    for number in range(8):
        again = work._replace(request=f'r{number}')
        owned.directory.forget_target('t1')
        grant = get_grant(owned.ask(again, examples.SHARE, 0.0))
        fetches.append(len(grant.fetch))
        taken = dict(fetched=2, fetch_s=3.0)
        finish(owned, again, grant, 0.1, **taken)
    assert fetches[0] == 2
    assert fetches[-1] == 0


def test_scheduler_that_stood_still_waits_for_reports():
    # Guards against refusals because reports aged while it did not run.
    owned = examples.make_scheduler()
    owned.resume(6.0, 10.0)
    sends = owned.ask(examples.make_work('r1.1'), examples.SHARE, 10.0)
    assert [type(s.message) for s in sends] == [messages.Queued]
    owned.report(examples.make_report('t1'), 10.1)
    assert get_grant(owned.tick(10.1)[0]).target == 't1'


def test_nobody_waits_for_targets_until_the_deadline():
    # Guards against requests that are held although no target is left.
    owned = examples.make_scheduler()
    owned.resume(6.0, 10.0)
    owned.ask(examples.make_work('r1.1'), examples.SHARE, 10.0)
    sends = []
    for tick in range(1, 13):
        sends += owned.tick(10.0 + tick / 10)[0]
    (refuse,) = [send.message for send in sends]
    assert (refuse.request, refuse.reason) == ('r1.1', 'no_target')
    assert owned.count_waiting() == 0
