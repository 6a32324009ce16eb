"""Targets that restart under their id, and malformed records of targets."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from landingspool.decisions import decoding
from landingspool.decisions.gateway import context_index
from landingspool.decisions.gateway import fleet
from landingspool.platform import catalogue
from landingspool.platform import store as store_module
from landingspool.platform import tables
from tests.gateway import site
from tests.gateway import test_view

BORN = 1_700_000_000_000
GOOD = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'd',
    'state': 'ready',
    'slots': 4,
    'cold_remaining_ms': 0,
    'sequence': 1,
    'born': BORN,
    'models': [{'name': 'm', 'version': 1}],
}
# Field values that no target writes.
WRONG = (
    ('service', 3),
    ('service', ''),
    ('address', '10.0.0.1:99999'),
    ('address', 'a-name:80'),
    ('zone', ['d']),
    ('state', 'gone'),
    ('state', ['ready']),
    ('slots', -1),
    ('slots', True),
    ('slots', '4'),
    ('slots', 10**400),
    ('cold_remaining_ms', -1),
    ('cold_remaining_ms', 1e300),
    ('born', 1.5),
    ('born', True),
    ('born', str(BORN)),
    ('born', 10**16),
    ('models', {'m': 1}),
)


def read(target='t', **fields):
    """Decode an entry with some fields replaced."""
    value = json.dumps({**GOOD, **fields}).encode()
    return catalogue.read_entry(target, value)


def test_a_new_life_begins_with_nothing_believed():
    view = test_view.make_view(0)
    view.put_entry(read(state='draining'), 1.0)
    view.put_entry(read(born=BORN + 5, models=[]), 2.0)
    (entry,) = view.fleet.list_service('s')
    assert entry.target == 't'
    assert view.fleet.get_version(entry.name, 'm') is None


def test_restarted_on_older_weights_it_has_these():
    view = test_view.make_view(0)
    view.put_entry(read(models=[{'name': 'm', 'version': 3}]), 1.0)
    view.put_entry(read(born=BORN + 5), 2.0)
    name = view.fleet.get_incarnation('t')
    assert view.fleet.get_version(name, 'm') == 1


def test_a_word_of_an_older_life_changes_nothing():
    both, second = test_view.make_view(0), test_view.make_view(0)
    both.put_entry(read(), 1.0)
    plan = both.plan(test_view.make_work(), (), 1.0)
    both.record_sent(plan, test_view.make_work(), 1.0)
    for view in (both, second):
        view.put_entry(read(born=BORN + 5), 2.0)
    assert both.put_entry(read(state='draining'), 3.0) == fleet.SUPERSEDED
    both.record_first(plan, test_view.make_work(), 3.0)
    both.record_loss(plan.entry.name, 3.0, certain=True)
    both.fleet.record_version(plan.entry.name, 'm', 9)
    news = context_index.CacheUpdate(
        7, 3, False, (context_index.Change('m.1', 'a', 2500),)
    )
    both.context_index.take(plan.entry.name, news, 3.0, 3.0)
    one, other = (
        view.plan(test_view.make_work('next'), (), 4.0)
        for view in (both, second)
    )
    assert one == other
    assert one.cached == 0


def test_a_reborn_target_serves_again_and_old_connections_are_not_used():
    async def check(deployment):
        hub = await deployment.start_box()
        first, other = deployment.plain
        deployment.announce(other, 'plain', state='draining')
        deployment.announce(first, 'plain', born=BORN)
        await site.wait_until(
            lambda: hub.view.fleet.list_targets().count('p1') == 0
        )
        assert (await site.ask(hub, '/safe/a')).status == 200
        deployment.announce(first, 'plain', state='draining', born=BORN)
        await site.wait_until(lambda: 'p0' not in targets(hub))
        assert (await site.ask(hub, '/safe/a')).status == 503
        made = first.connections
        deployment.announce(first, 'plain', born=BORN + 9)
        await site.wait_until(lambda: 'p0' in targets(hub))
        got = await site.ask(hub, '/safe/a')
        assert got.status == 200
        assert first.connections > made

    site.run(check)


def targets(hub):
    """Return the ids of the targets that a box may use."""
    return hub.view.fleet.list_targets()


@pytest.mark.parametrize(('field', 'value'), WRONG, ids=str)
def test_what_no_target_writes_names_none(field, value):
    with pytest.raises(decoding.Malformed):
        read(**{field: value})


@pytest.mark.parametrize(
    'value',
    [b'', b'\xff\xfe', b'null', b'[' * 100_000, b'{"a":' * 100_000],
    ids=range(5),
)
def test_bytes_that_are_no_entry_are_malformed_and_nothing_else(value):
    with pytest.raises(decoding.Malformed):
        catalogue.read_entry('t', value)
    with pytest.raises(decoding.Malformed):
        tables.read_table(value)
    with pytest.raises(decoding.Malformed):
        catalogue.read_version(value)


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=9),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.sampled_from(list(GOOD)), inner)
    ),
    max_leaves=6,
)


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    strategies.text(max_size=9),
    strategies.dictionaries(strategies.sampled_from(list(GOOD)), JSON),
)
def test_any_record_gives_an_entry_or_malformed(target, fields):
    value = json.dumps({**GOOD, **fields}).encode()
    try:
        entry = catalogue.read_entry(target, value)
    except decoding.Malformed:
        return
    assert entry.target == target
    assert entry.slots > 0


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(strategies.lists(strategies.binary(max_size=40)))
def test_any_records_give_a_page_of_as_many(records):
    framed = b''.join(
        store_module.LENGTH.pack(len(record)) + record for record in records
    )
    assert len(store_module.split_records(framed)) == len(records)


def test_a_malformed_neighbour_takes_nothing_from_the_others():
    async def check(deployment):
        hub = await deployment.start_box()
        topic = deployment.store.topic('keyed.servers')
        for number, value in enumerate((b'{"slots":1e999}', b'[' * 99_999)):
            topic.append(f'x{number}', value)
        topic.append('p0', b'\xff')
        deployment.announce(deployment.plain[1], 'plain', state='draining')
        await site.wait_until(lambda: 'p1' not in targets(hub))
        assert targets(hub) == ['e0', 'e1']
        # The target itself writes again a second later.
        deployment.announce(deployment.plain[0], 'plain')
        deployment.announce(deployment.plain[1], 'plain', born=BORN)
        await site.wait_until(lambda: {'p0', 'p1'} <= set(targets(hub)))
        later = await deployment.start_box('box2')
        assert sorted(targets(later)) == ['e0', 'e1', 'p0', 'p1']

    site.run(check, plain=2)
