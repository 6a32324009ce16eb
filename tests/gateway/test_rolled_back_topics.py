"""What boxes believe once the platform's store has come back from a copy.

A store that only loses records shows it by an end below a known one.  One to
which as much is written before anybody reads does not: the offsets that were
read stand for other records.  Each test does the second, which hides more.
"""

import asyncio
import json

import msgspec

from landingspool.decisions.gateway import histories
from landingspool.gateway import state
from landingspool.platform import names
from landingspool.platform import store
from tests.gateway import returning
from tests.gateway import site

# Seconds from the store's return until boxes know what it has.
KNOWN_S = 3.0


def add_entry(deployment, name, **fields):
    """Write the entry of a plain target of which only its entry exists."""
    like = deployment.plain[0]
    entry = like.entry('plain', **fields)
    deployment.store.put(returning.TARGETS, name, entry)


def drop_entry(deployment, name):
    """Write that a target is no longer listed."""
    deployment.store.put(returning.TARGETS, name, b'')


def is_listed(hub, name):
    """Return whether a box knows a target, and doesn't doubt that it runs."""
    fleet = hub.view.fleet
    return name in fleet.entries and name not in fleet.lapsed


async def wait_listed(hub, name, is_wanted=True, seconds=KNOWN_S):
    """Wait until a box lists a target, or doesn't."""
    await site.wait_until(
        lambda: (name in hub.view.fleet.entries) == is_wanted, seconds
    )


def test_a_target_at_an_offset_given_out_again_is_known():
    async def check(deployment):
        hub = await deployment.start_box()
        copies = deployment.store.copy()
        add_entry(deployment, 'lost')
        await wait_listed(hub, 'lost')
        await returning.return_from(
            deployment.store, copies, lambda: add_entry(deployment, 'new')
        )
        await wait_listed(hub, 'new')
        assert is_listed(hub, 'new')
        assert returning.list_rollbacks(hub, returning.TARGETS) == ['record']

    site.run(check)


def test_a_target_dropped_at_an_offset_given_out_again_leaves():
    async def check(deployment):
        hub = await deployment.start_box()
        copies = deployment.store.copy()
        add_entry(deployment, 'lost')
        await wait_listed(hub, 'lost')
        name = deployment.plain[0].name
        await returning.return_from(
            deployment.store, copies, lambda: drop_entry(deployment, name)
        )
        await site.wait_until(lambda: not is_listed(hub, name), KNOWN_S)

    site.run(check)


def test_a_target_that_is_not_listed_again_yet_is_only_doubted():
    async def check(deployment):
        hub = await deployment.start_box()
        copies = deployment.store.copy()
        add_entry(deployment, 'lost')
        await wait_listed(hub, 'lost')
        await returning.return_from(
            deployment.store, copies, lambda: add_entry(deployment, 'new')
        )
        await wait_listed(hub, 'new')
        # Its incarnation hasn't ended: it announces itself again.
        assert 'lost' in hub.view.fleet.lapsed
        add_entry(deployment, 'lost')
        await site.wait_until(lambda: is_listed(hub, 'lost'))

    site.run(check)


def test_a_table_at_an_offset_given_out_again_holds_and_none_goes_back():
    async def check(deployment):
        hub = await deployment.start_box()
        copies = deployment.store.copy()
        deployment.publish(site.make_table(5, keys=('new',)))
        await site.wait_until(lambda: hub.view.table.version == 5)
        await returning.return_from(
            deployment.store,
            copies,
            lambda: deployment.publish(site.make_table(4)),
        )
        await site.wait_until(
            lambda: returning.list_rollbacks(hub, returning.OPERATORS), KNOWN_S
        )
        await site.wait_until(lambda: hub.view.proof.is_fresh(hub.clock()))
        assert hub.view.table.version == 5
        assert (await site.ask(hub, '/safe/a')).status == 401
        assert (await site.ask(hub, '/safe/a', key='new')).status == 200
        deployment.publish(site.make_table(6))
        await site.wait_until(lambda: hub.view.table.version == 6)

    site.run(check)


def test_a_newer_table_at_an_offset_given_out_again_holds():
    async def check(deployment):
        hub = await deployment.start_box()
        copies = deployment.store.copy()
        deployment.store.put(
            returning.OPERATORS, f'{names.EVACUATION_KEY}d7', {}
        )
        await site.wait_until(
            lambda: 'd7' in hub.view.exclusions.evacuation.list_domains()
        )
        await returning.return_from(
            deployment.store,
            copies,
            lambda: deployment.publish(site.make_table(8)),
        )
        await site.wait_until(lambda: hub.view.table.version == 8, KNOWN_S)

    site.run(check)


def test_versions_of_weights_never_go_back():
    async def check(deployment):
        hub = await deployment.start_box()
        copies = deployment.store.copy()
        put = deployment.store.put
        put(returning.OPERATORS, 'version/n', {'model': 'n', 'version': 4})
        await site.wait_until(lambda: 'n' in hub.view.weights.named)

        def write():
            put(returning.OPERATORS, 'version/n', {'model': 'n', 'version': 3})

        await returning.return_from(deployment.store, copies, write)
        await site.wait_until(
            lambda: hub.recorder.counts['version_reverted'], KNOWN_S
        )
        assert hub.view.weights.named['n'].version == 4

    site.run(check)


def test_evacuations_are_those_of_the_newest_records():
    async def check(deployment):
        hub = await deployment.start_box()
        evacuation = hub.view.exclusions.evacuation
        copies = deployment.store.copy()
        put = deployment.store.put
        put(returning.OPERATORS, f'{names.EVACUATION_KEY}d7', {})
        await site.wait_until(lambda: 'd7' in evacuation.list_domains())
        await returning.return_from(
            deployment.store,
            copies,
            lambda: put(returning.OPERATORS, f'{names.EVACUATION_KEY}d8', {}),
        )
        await site.wait_until(
            lambda: list(evacuation.list_domains()) == ['d8'], KNOWN_S
        )

    site.run(check)


def test_a_lost_record_is_noticed_by_the_end_as_well():
    async def check(deployment):
        hub = await deployment.start_box()
        copies = deployment.store.copy()
        add_entry(deployment, 'lost')
        await wait_listed(hub, 'lost')
        await returning.return_from(deployment.store, copies)
        await site.wait_until(
            lambda: returning.list_rollbacks(hub, returning.TARGETS), KNOWN_S
        )
        add_entry(deployment, 'new')
        await wait_listed(hub, 'new')
        assert returning.list_rollbacks(hub, returning.TARGETS) == ['read']

    site.run(check)


def test_a_store_that_has_lost_nothing_is_read_on():
    async def check(deployment):
        hub = await deployment.start_box()
        newest = dict(hub.store.calls)
        await returning.return_from(deployment.store, {})
        add_entry(deployment, 'new')
        await wait_listed(hub, 'new')
        await asyncio.sleep(1.0)
        assert not hub.recorder.counts['log_rolled_back']
        for topic in (returning.TARGETS, returning.OPERATORS):
            call = f'newest {topic}'
            assert hub.store.calls[call] == newest[call]

    site.run(check)


def test_a_read_under_way_as_a_rollback_is_noticed_changes_nothing():
    async def check(deployment):
        hub = await deployment.start_box()
        copies = deployment.store.copy()
        add_entry(deployment, 'lost')
        await wait_listed(hub, 'lost')
        # The read that is sent next arrives late, and so does its answer.
        deployment.store.delay_s = 0.4
        add_entry(deployment, 'first')
        await wait_listed(hub, 'first')
        add_entry(deployment, 'later')
        await asyncio.sleep(0.6)
        deployment.store.delay_s = 0.0
        returning.lose(deployment.store, copies)
        hub.rollbacks.report(
            store.RolledBack(returning.TARGETS, 9, 5, store.APPEND)
        )
        await asyncio.sleep(0.8)
        assert not hub.recorder.select(target='later')

    site.run(check)


def make_snapshot(deployment, name, **fields):
    """Return a box's state that lists one target, as it is sent."""
    value = json.dumps(deployment.plain[0].entry('plain')).encode()
    row = {
        'proof_s': 0.1,
        'table': json.dumps(site.make_table()).encode(),
        'versions': {},
        'targets': {name: value},
        **fields,
    }
    return msgspec.convert(row, state.StateSnapshot)


def test_the_state_of_a_box_that_has_not_noticed_brings_nothing_back():
    async def check(deployment):
        hub = await deployment.start_box()
        deployment.store.mode = 'silent'
        known = len(hub.view.fleet.entries)
        hub.rollbacks.report(
            store.RolledBack(returning.TARGETS, 9, 4, store.APPEND)
        )
        for age in ({'targets_s': 1.0}, {}):
            late = make_snapshot(deployment, 'lost', targets_end=9, **age)
            hub.state.take(late, hub.clock())
            assert 'lost' not in hub.view.fleet.entries
            assert hub.state.targets_end == 0
        assert len(hub.view.fleet.entries) == known

    site.run(check)


def test_a_box_without_the_store_takes_the_state_of_the_new_history():
    async def check(deployment):
        hub = await deployment.start_box()
        await asyncio.sleep(2 * histories.SLACK_S)
        deployment.store.mode = 'silent'
        ages = {'targets_s': 0.1, 'targets_rolled': 0.2}
        for _ in range(2):
            newer = make_snapshot(deployment, 'new', targets_end=1, **ages)
            hub.state.take(newer, hub.clock())
        assert is_listed(hub, 'new')
        assert hub.state.targets_end == 1
        assert returning.list_rollbacks(hub, returning.TARGETS) == ['peer']

    site.run(check)


def test_two_returns_in_a_row_are_both_noticed():
    async def check(deployment):
        hub = await deployment.start_box()
        copies = deployment.store.copy()
        add_entry(deployment, 'lost')
        await wait_listed(hub, 'lost')
        for name in ('new', 'newer'):
            await returning.return_from(
                deployment.store,
                copies,
                lambda name=name: add_entry(deployment, name),
            )
            await wait_listed(hub, name)
        assert is_listed(hub, 'newer')
        assert not is_listed(hub, 'new')
        found = returning.list_rollbacks(hub, returning.TARGETS)
        assert found == ['record', 'record']

    site.run(check)
