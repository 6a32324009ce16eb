"""How long a box uses tables, keys and targets that it has read."""

import asyncio
import json

import msgspec

from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import tail
from landingspool.gateway import following
from landingspool.platform import names
from landingspool.platform import store
from tests.gateway import site


def test_a_newer_table_holds_at_once_and_an_older_one_never():
    async def check(deployment):
        hub = await deployment.start_box()
        deployment.publish(site.make_table(5, keys=('other',)))
        await site.wait_until(lambda: hub.view.table.version == 5, 0.5)
        assert (await site.ask(hub, '/safe/a')).status == 401
        assert (await site.ask(hub, '/safe/a', key='other')).status == 200
        deployment.publish(site.make_table(3))
        deployment.publish(b'not json')
        await asyncio.sleep(0.1)
        assert (await site.ask(hub, '/safe/a')).status == 401

    site.run(check)


def test_a_log_that_was_cut_is_read_anew():
    async def check(deployment):
        hub = await deployment.start_box()
        topic = deployment.store.topic('keyed.op')
        deployment.store.put('keyed.op', 'config', site.make_table(7))
        topic.forget()
        await site.wait_until(lambda: hub.view.table.version == 7, 3.0)

    site.run(check)


def test_keys_are_not_served_on_an_old_proof():
    async def check(deployment):
        hub = await deployment.start_box(key_s=1.0)
        deployment.store.mode = 'busy'
        await asyncio.sleep(1.1)
        got = await site.ask(hub, '/safe/a')
        assert got.status == 503
        assert not any(r.ran for r in deployment.plain)
        deployment.store.mode = ''
        await site.wait_until(lambda: hub.view.proof.is_fresh(hub.clock()))
        assert (await site.ask(hub, '/safe/a')).status == 200

    site.run(check)


def test_keys_are_served_on_an_old_proof_where_the_deployment_says_so():
    async def check(deployment):
        hub = await deployment.start_box(key_s=1.0, keys_fail_closed=False)
        deployment.store.mode = 'busy'
        await asyncio.sleep(1.1)
        assert (await site.ask(hub, '/safe/a')).status == 200
        assert (await site.ask(hub, '/safe/a', key='other')).status == 401

    site.run(check)


def test_a_box_without_the_store_lives_on_its_neighbour():
    async def check(deployment):
        first = await deployment.start_box('box1')
        second = await deployment.start_box('box2')
        await site.wait_until(lambda: 'box2' in first.peering.peers)
        away = second.store
        second.store = Away()
        # Reads that the store holds now must end before the new table.
        await asyncio.sleep(following.Targets.hold_s + 0.2)
        deployment.publish(site.make_table(9))
        await site.wait_until(lambda: second.view.table.version == 9, 5.0)
        assert second.view.proof.age(second.clock()) < 3.0
        # Targets in a peer's state are logged like those from the store.
        deployment.announce(deployment.plain[0], 'plain', state='draining')
        await site.wait_until(
            lambda: 'p0' not in second.view.fleet.entries, 6.0
        )
        logged = second.recorder.select(target='p0')
        assert [event.name for event in logged][-1] == 'leaving'
        second.store = away

    site.run(check)


class Away:
    """A store that is unreachable."""

    async def read(self, topic, start, hold_s):
        """Fail."""
        await asyncio.sleep(0.05)
        return site.hub_module.store.Unavailable('away', False)

    async def read_newest(self, topic):
        """Fail."""
        return await self.read(topic, 0, 0)

    async def append(self, topic, key, value, at=None):
        """Fail."""
        return await self.read(topic, 0, 0)


def test_a_target_that_leaves_gets_nothing_new():
    async def check(deployment):
        hub = await deployment.start_box()
        deployment.announce(deployment.plain[0], 'plain', state='draining')
        await site.wait_until(lambda: 'p0' not in hub.view.fleet.entries)
        deployment.announce(deployment.plain[0], 'plain')
        await asyncio.sleep(0.05)
        for _ in range(6):
            assert (await site.ask(hub, '/safe/a')).status == 200
        assert not deployment.plain[0].ran

    site.run(check)


def make_entry(name='t', state=fleet.READY, **versions):
    """Return an entry of a target."""
    return fleet.Entry(name, 's', ('a', 1), 'd', state, 1, versions)


def test_a_leaving_mark_is_for_ever_and_a_lapse_is_not():
    targets = fleet.Fleet()
    targets.put(make_entry())
    targets.drop('t', 10.0, unconfirmed=True)
    assert targets.list_service('s')
    assert targets.tick(10.0 + fleet.GRACE_S) == ['t']
    assert not targets.list_service('s')
    assert targets.put(make_entry()) == fleet.READY
    assert targets.put(make_entry(state='draining')) == fleet.DRAINING
    assert targets.put(make_entry()) == fleet.DRAINING
    assert not targets.list_service('s')


def test_lapsed_targets_are_the_last_choice():
    targets = fleet.Fleet()
    targets.put(make_entry('t'))
    targets.put(make_entry('u'))
    targets.drop('t', 10.0, unconfirmed=True)
    assert [e.name for e in targets.list_service('s')] == ['u']


def test_versions_of_a_target_only_rise():
    targets = fleet.Fleet()
    targets.put(make_entry(m=3))
    targets.record_version('t', 'm', 2)
    targets.put(make_entry(m=1))
    assert targets.get_version('t', 'm') == 3


def test_a_list_of_targets_older_than_the_own_one_is_not_taken():
    async def check(deployment):
        hub = await deployment.start_box()
        await site.wait_until(lambda: 'p0' in hub.view.fleet.entries)
        older = hub.state.get_snapshot()
        older = msgspec.structs.replace(older, targets=dict(older.targets))
        deployment.store.put('keyed.servers', 'p0', b'')
        await site.wait_until(lambda: 'p0' not in hub.view.fleet.entries)
        hub.state.take(older, hub.clock())
        assert 'p0' not in hub.view.fleet.entries

    site.run(check)


def test_records_older_than_the_list_of_another_box_are_passed_over():
    async def check(deployment):
        hub = await deployment.start_box()
        follower = following.Targets(hub)
        hub.state.targets_end = 9
        row = json.dumps(deployment.plain[0].entry('plain')).encode()
        old = tail.Record('late', row, 7)
        new = tail.Record('next', row, 9)
        follower._apply_page(store.Page((old, new), 10, hub.clock()))
        assert 'late' not in hub.view.fleet.entries
        assert 'next' in hub.view.fleet.entries
        assert hub.state.targets_end == 10

    site.run(check)


def test_an_answer_that_was_cut_by_its_size_proves_nothing():
    async def check(deployment):
        large = 'x' * 400 * 1024
        for number in range(4):
            deployment.store.put('keyed.op', f'other/{number}', large)
        hub = await deployment.start_box()
        page = await hub.store.read('keyed.op', 0, 0.0)
        assert not page.whole
        assert len(page.records) < deployment.store.topic('keyed.op').end
        follower = tail.Tail()
        follower.reset((), 0, 1.0)
        follower.extend(page)
        assert (follower.proved, follower.end) == (1.0, len(page.records))
        while not page.whole:
            page = await hub.store.read('keyed.op', page.end, 0.0)
        follower.extend(page)
        assert follower.proved == page.sent

    site.run(check)


def make_page(*records):
    """Return a page of consecutive records."""
    return store.Page(records, records[-1].offset + 1, 2.0)


def test_of_a_key_of_tables_only_the_newest_record_is_handed_on():
    rows = [tail.Record('config', bytes([n]), n) for n in range(5, 9)]
    other = tail.Record('version/m', b'1', 9)
    for newest_only, handed_on in ((True, rows[-1:]), (False, rows)):
        kept = tail.Tail(newest_only)
        kept.reset((), 5, 1.0)
        for record in (*rows, other):
            kept.extend(make_page(record))
        assert kept.read(5).records == (*handed_on, other)
        assert kept.read(9).records == (other,)
        assert kept.read(10).records == ()


def test_a_tail_that_is_full_says_where_it_begins():
    kept = tail.Tail(most=2)
    kept.reset((), 0, 1.0)
    rows = [tail.Record(f'k{n}', b'x', n) for n in range(4)]
    kept.extend(make_page(*rows))
    assert kept.read(1) is None
    assert kept.read(2).records == tuple(rows[2:])
    assert [row.key for row in kept.read_newest()] == ['k0', 'k1', 'k2', 'k3']


def test_the_last_record_of_a_tail_is_below_its_end():
    # A read that begins there would miss what lies between.
    kept = tail.Tail()
    rows = [tail.Record(f'k{n}', b'x', n) for n in (2, 4, 7)]
    kept.reset(rows, 5, 1.0)
    assert kept.last == rows[1]
    assert kept.read(4).records == (rows[1],)
    kept.reset(rows, 7, 1.0)
    assert kept.last == rows[1]
    assert kept.read(6) is None


def test_the_published_tables_are_handed_on_newest_only():
    async def check(deployment):
        hub = await deployment.start_box()
        start = deployment.store.topic('keyed.op').end
        for version in (5, 6, 7):
            deployment.publish(site.make_table(version))
        await site.wait_until(lambda: hub.view.table.version == 7)
        span = hub.record_server._tails['keyed.op'].read(start)
        (record,) = span.records
        assert json.loads(record.value)['version'] == 7

    site.run(check)


def test_only_tables_are_asked_for_while_the_store_is_away():
    """Guard against retries of each topic while the store is unreachable.

    If each of the three topics retried, a box would make four calls for each
    in four seconds.
    """

    async def check(deployment):
        hub = await deployment.start_box()
        deployment.store.mode = 'busy'
        await asyncio.sleep(0.5)
        before = dict(hub.store.calls)
        await asyncio.sleep(4.0)
        made = {
            kind: count - before.get(kind, 0)
            for kind, count in hub.store.calls.items()
        }
        assert made[f'read {names.PUBLISHED_TOPIC}'] >= 4
        assert made.get(f'read {names.TARGETS_TOPIC}', 0) <= 2
        assert made.get(f'read {names.CLAIMS_TOPIC}', 0) <= 2
        deployment.store.mode = ''
        deployment.announce(deployment.plain[0], 'plain', state='draining')
        # The topic is read again once the read of tables is answered.
        await site.wait_until(lambda: 'p0' not in hub.view.fleet.entries, 1.2)

    site.run(check)
