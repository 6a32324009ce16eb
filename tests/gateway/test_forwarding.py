"""Which box serves the requests of one that reaches no target."""

import collections

import pytest

from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import forwarding
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import view as view_module
from landingspool.gateway import deployment

TARGETS = {'a': 'plain', 'b': 'plain', 'e': 'engine'}


@pytest.fixture
def view():
    """Return the view of a box of domain d1 with three targets."""
    made = view_module.View('d1', deployment.Bounds(), 1)
    for name, service in TARGETS.items():
        made.put_entry(
            fleet.Entry(name, service, (name, 1), 'd1', fleet.READY, 4, {}),
            0.0,
        )
    return made


def report(view, box, now, domain='d1', **fields):
    """Deliver the digest of a peer."""
    digest = peer_digests.Digest(box, domain, int(now * 1000), {}, **fields)
    view.take_digest(digest, now)


def lose(view, names, now):
    """Let connections to targets fail."""
    for name in names:
        view.record_unreached(name, now)


def pick(view, count, now, tried=()):
    """Forward some requests that don't end; return how many each box got."""
    picked = collections.Counter()
    for _ in range(count):
        peer = view.forwarding.pick_peer('plain', tried, now)
        picked[peer] += 1
        if peer is not None:
            view.forwarding.record_sent(peer, now)
    return picked


def test_only_a_service_without_a_reachable_target_is_cut_off(view):
    report(view, 'near', 10.0)
    lose(view, 'a', 10.0)
    assert not view.forwarding.is_cut_off('plain', 10.0)
    lose(view, 'b', 10.0)
    assert view.forwarding.is_cut_off('plain', 10.0)
    assert not view.forwarding.is_cut_off('engine', 10.0)
    view.record_reconnected('b', 10.2)
    assert not view.forwarding.is_cut_off('plain', 10.2)


@pytest.mark.parametrize(
    'fields', [{'unreached': ('a', 'b')}, {'partitioned': True}]
)
def test_a_peer_that_reaches_nothing_either_is_not_chosen(view, fields):
    lose(view, 'ab', 10.0)
    assert not view.forwarding.is_unreachable('plain', 10.0)
    report(view, 'near', 10.0, **fields)
    assert view.forwarding.is_unreachable('plain', 10.0)
    assert view.forwarding.pick_peer('plain', (), 10.0) is None
    report(view, 'far', 10.0, 'd2', unreached=('a',))
    assert view.forwarding.pick_peer('plain', (), 10.0) == 'far'
    assert not view.forwarding.is_unreachable('plain', 10.0)


def test_a_peer_without_a_fresh_digest_is_not_chosen(view):
    report(view, 'near', 10.0)
    lose(view, 'ab', 12.0)
    assert not view.forwarding.is_cut_off('plain', 12.0)
    assert view.forwarding.pick_peer('plain', (), 12.0) is None


def test_requests_are_spread_over_the_peers_of_the_own_domain(view):
    for box in 'xyz':
        report(view, box, 10.0)
    report(view, 'far', 10.0, 'd2')
    assert pick(view, 30, 10.0) == {'x': 10, 'y': 10, 'z': 10}


def test_a_faster_link_takes_more(view):
    report(view, 'x', 10.0, link_mbps=30.0)
    report(view, 'y', 10.0, link_mbps=10.0)
    assert pick(view, 40, 10.0) == {'x': 30, 'y': 10}


def test_other_domains_help_where_most_of_the_domain_is_cut(view):
    report(view, 'x', 10.0)
    for box in 'yz':
        report(view, box, 10.0, partitioned=True)
    for box in 'uvw':
        report(view, box, 10.0, 'd2')
    assert pick(view, 40, 10.0) == dict.fromkeys('xuvw', 10)
    report(view, 'x', 10.1, partitioned=True)
    assert set(pick(view, 9, 10.1)) == set('uvw')


def test_a_peer_that_failed_is_avoided_for_a_while(view):
    report(view, 'x', 10.0)
    report(view, 'y', 10.0)
    view.forwarding.record_failed('x', 10.0)
    assert set(pick(view, 4, 10.0)) == {'y'}
    assert set(pick(view, 4, 10.0, tried=('y',))) == {None}
    later = 10.0 + forwarding.AVOID_S
    assert set(pick(view, 4, later, tried=('y',))) == {'x'}


def test_requests_that_have_ended_no_longer_count(view):
    report(view, 'x', 10.0)
    report(view, 'y', 10.0)
    picked = pick(view, 10, 10.0)
    for _ in range(picked['x']):
        view.forwarding.record_end('x', 10.5)
    assert set(pick(view, 5, 10.5)) == {'x'}
