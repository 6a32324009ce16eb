"""Tests of the spill of requests to another failure domain."""

from landingspool.decisions import configuration
from landingspool.decisions import messages
from landingspool.decisions import node as node_module
from landingspool.decisions import outputs
from landingspool.decisions import ownership
from landingspool.decisions import placement
from landingspool.decisions import records
from landingspool.decisions import spill
from tests import examples

ROW = records.Row('a', 1.0, 0.1, 20, 1, '')
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


def make_node(domains=('south',), targets=(), others=()):
    """Return a node of north, just started, and a box of each other domain."""
    node = node_module.Node('box-1', 'north', 'i1')
    boxes = [('box-1', 'north'), *((f'box-{name}', name) for name in domains)]
    entries = [
        records.Member(name, 'entry', domain, '127.0.0.1', 2)
        for name, domain in boxes
    ]
    node.set_table(configuration.Table(0, {'a': ROW}))
    targets = map(examples.make_member, targets)
    node.set_live([*entries, *targets, *others], 0.0)
    # The scheduler of the own domain starts with the first request.
    node.open_request(examples.make_work('first'), 0.0)
    node.end_request('first', 0.0)
    return node


def make_busy_node(domains=('south',), targets=('t1',)):
    """Return a node with busy targets and summaries of other domains."""
    node = make_node(domains, targets)
    for name in targets:
        node.report(examples.make_report(name, queued_tokens=30_000), 2.0)
    for index, name in enumerate(domains):
        room = IDLE._replace(delay=index / 10)
        node.handle(f'box-{name}', messages.Summary(name, (room,)), 2.0)
    return node


def make_leaving_node(**other):
    """Return a node whose target leaves, and another domain with one."""
    south = examples.make_member('t2', domain='south', **other)
    node = make_node(targets=['t1'], others=[south])
    node.report(examples.make_report('t1', leaving=True), 0.1)
    return node


def list_sent(actions, kind=messages.Ask):
    """List the boxes that get a message of a kind."""
    sends = [a for a in actions if isinstance(a, outputs.Send)]
    return [send.to for send in sends if isinstance(send.message, kind)]


def list_decided(actions):
    """List the kinds of the decisions among some actions."""
    return [type(a.message) for a in actions if isinstance(a, outputs.Decide)]


def test_request_that_another_domain_can_not_serve_is_served_at_home():
    # Guards against refusals by a domain whose targets have left since its
    # last summary, although the own targets are sound.
    node = make_busy_node()
    actions = node.open_request(examples.make_work('r1'), 2.1)
    assert list_sent(actions) == ['box-south']
    refuse = messages.Refuse('r1', 'no_target', 2.0)
    actions = node.handle('box-south', refuse, 2.2)
    assert list_decided(actions) == [messages.Grant]


def test_request_that_another_domain_can_not_serve_goes_to_a_third():
    # Guards against the same where the own domain has no target.
    node = make_busy_node(domains=('south', 'west'), targets=())
    actions = node.open_request(examples.make_work('r1'), 2.1)
    assert list_sent(actions) == ['box-south']
    refuse = messages.Refuse('r1', 'no_target', 2.0)
    actions = node.handle('box-south', refuse, 2.2)
    assert list_sent(actions) == ['box-west']
    actions = node.handle('box-west', refuse, 2.3)
    assert list_decided(actions) == [messages.Refuse]


def test_request_waits_for_the_first_summary_of_a_listed_domain():
    # Guards against refusals after a start, before other domains are heard.
    node = make_leaving_node()
    actions = node.open_request(examples.make_work('r1'), 0.2)
    assert list_decided(actions) == []
    node.handle('box-south', messages.Summary('south', (IDLE,)), 0.4)
    assert list_sent(node.tick(0.5)) == ['box-south']


def test_request_does_not_wait_long_for_a_summary():
    # Guards against requests that are held for a domain that says nothing.
    node = make_leaving_node()
    node.open_request(examples.make_work('r1'), 0.2)
    decided = []
    for tick in range(3, 14):
        decided += list_decided(node.tick(tick / 10))
    assert decided == [messages.Refuse]


def test_request_that_no_listed_target_can_serve_is_refused_at_once():
    # Guards against requests that wait though all listed targets leave.
    node = make_leaving_node(leaving=True)
    actions = node.open_request(examples.make_work('r1'), 0.2)
    assert list_decided(actions) == [messages.Refuse]


def test_summary_reaches_the_successor_of_a_scheduler():
    # Guards against refusals by a box that has just taken over a pool, as it
    # would not have heard of any other domain.
    boxes = ('s0', 's1', 's2', 's3')
    south = [
        records.Member(name, 'entry', 'south', '127.0.0.1', 2)
        for name in boxes
    ]
    node = make_node((), ['t1'], south)
    node.report(examples.make_report('t1'), 0.1)
    sent = list_sent(node.tick(0.6), messages.Summary)
    assert sent == sorted(ownership.rank('m@south#0', boxes)[:2])
