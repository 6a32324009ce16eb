"""The decision logic of a complete box, driven through its interface."""

from landingspool.decisions import configuration
from landingspool.decisions import messages
from landingspool.decisions import node as node_module
from landingspool.decisions import outputs
from landingspool.decisions import ownership
from landingspool.decisions import records
from landingspool.decisions import rollout
from tests import examples

POOL = 'm@north#0'


def make_box(name, domain='north'):
    """Return a member of the live list that is an entry box."""
    return records.Member(name, 'entry', domain, '127.0.0.1', 2)


def make_node(box, members, versions=None):
    """Return a node with a live list and a table."""
    node = node_module.Node(box, 'north', 'i1')
    table = configuration.Table(offset=5, versions=versions or {})
    node.set_table(table)
    node.set_live(members, 0.0)
    return node


def list_commands(actions):
    """List the orders among some actions."""
    return [a for a in actions if isinstance(a, outputs.Command)]


def test_successor_waits_before_it_orders_a_target_without_fences():
    names = ('box-1', 'box-2')
    owner = ownership.get_owner(POOL, names)
    (other,) = set(names) - {owner}
    target = examples.make_member('t1', checks_fences=False)
    members = [*map(make_box, names), target]
    node = make_node(other, members, {'m': 'v2'})
    # This box schedules for 10 s without being responsible.
    work = examples.make_work('r1', entry=owner)
    node.handle(owner, messages.Ask(work), 0.0)
    for step in range(200):
        now = step * 0.05
        alive = messages.Mark(owner, 'i1', 'alive', step)
        node.handle(owner, messages.Probe(step, (alive,)), now)
        actions = node.tick(now)
        assert not list_commands(actions)
    node.report(examples.make_report('t1'), 10.0)
    node.set_live([make_box(other), target], 10.0)
    sent = []
    for step in range(240):
        now = 10.0 + step * 0.05
        node.report(examples.make_report('t1'), now)
        if list_commands(node.tick(now)):
            sent.append(now)
    assert sent[0] >= 10.0 + rollout.LEASE_S + rollout.MAX_ORDER_DELAY_S


def test_older_table_changes_nothing():
    node = make_node('box-1', [make_box('box-1')])
    node.set_table(configuration.Table(offset=4, versions={'m': 'v9'}))
    assert node.table.offset == 5


def test_mark_of_a_leaving_target_goes_to_the_other_boxes():
    boxes = [make_box('box-1'), make_box('box-2')]
    target = examples.make_member('t1')
    node = make_node('box-1', [*boxes, target])
    leaving = target._replace(leaving=True)
    actions = node.set_live([*boxes, leaving], 1.0)
    message = messages.Leaving('t1', 't1-1')
    assert outputs.Send('box-2', message) in actions
    # A box that is informed already does not forward the mark again.
    assert node.handle('box-2', message, 2.0) == []


def test_grant_for_a_leaving_target_may_not_be_dispatched():
    target = examples.make_member('t1')
    node = make_node('box-1', [make_box('box-1'), target])
    grant = messages.Grant('r', 'g', 't1', 't1-1', 'v1', 1.0, 9.0, (), 0, 5)
    assert node.may_dispatch(grant) == ''
    node.handle('box-2', messages.Leaving('t1', 't1-1'), 1.0)
    assert node.may_dispatch(grant) == 'leaving'
    restarted = grant._replace(incarnation='t1-2')
    assert node.may_dispatch(restarted) == ''


def test_mark_outlives_a_list_that_lags_behind_it():
    target = examples.make_member('t1')
    node = make_node('box-1', [make_box('box-1'), target])
    node.report(examples.make_report('t1', leaving=True), 1.0)
    node.set_live([make_box('box-1'), target._replace(port=3)], 2.0)
    grant = messages.Grant('r', 'g', 't1', 't1-1', 'v1', 1.0, 9.0, (), 0, 5)
    assert node.may_dispatch(grant) == 'leaving'
