"""Slow, dead and restarted stores of cached context."""

import random

from landingspool.boxes import datagrams
from landingspool.decisions.gateway import context_index
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import store_health
from landingspool.decisions.gateway import transfers
from landingspool.gateway import store_reports
from tests.gateway import site
from tests.gateway import test_context
from tests.gateway import test_view

BOXES = 60
USUAL_S = 0.05


def make_health(seed=1):
    """Return a StoreHealth that knows what is usual, and its rng."""
    health, rng = store_health.StoreHealth(), random.Random(seed)
    for store in ('', 'a', 'b', 'c') * 5:
        record(health, store, rng, 0.0)
    return health, rng


def record(health, store, rng, delay_s, now=10.0, target=None):
    """Record one request that waited by chance, and for a store."""
    target = target or f't{rng.randrange(30)}'
    beyond_s = rng.expovariate(1 / USUAL_S) + delay_s
    health.record(store_health.Sample('s', target, store, beyond_s), now)


def test_a_store_whose_queue_grows_is_found_slow_within_a_few_fetches():
    health, rng = make_health()
    for number in range(4):
        record(health, 'slow', rng, 0.2 + 0.2 * number, 10.0 + number / 2)
        record(health, 'sound', rng, 0.0, 10.0 + number / 2)
    assert list(health.list_slow(BOXES, 11.5)) == ['slow']


def test_full_engines_condemn_no_store():
    health, rng = make_health()
    for number in range(400):
        wait_s = min(number / 100, 1.0)
        for store in ('', 'a', 'b'):
            record(health, store, rng, wait_s, 10.0 + number / 40)
        assert not health.list_slow(BOXES, 10.0 + number / 40), number


def test_one_slow_target_condemns_no_store():
    health, rng = make_health()
    for number in range(9):
        record(health, 'k', rng, 0.6, 10.0 + number / 9, 'slow target')
    assert not health.list_slow(BOXES, 11.0)


def test_a_store_that_recovers_is_used_again():
    health, rng = make_health()
    for _ in range(5):
        record(health, 'k', rng, 0.5)
    assert health.get_delay('k', BOXES, 10.0)
    # Without any fetch after some seconds, with quick ones sooner.
    assert not health.get_delay('k', BOXES, 19.0)
    for _ in range(6):
        record(health, 'k', rng, 0.0, 10.5)
    assert not health.get_delay('k', BOXES, 10.5)


def test_a_new_epoch_forgets_the_delay():
    health, rng = make_health()
    for _ in range(5):
        record(health, 'k', rng, 0.5)
    health.take_reports('b', {'k': 500}, 10.0)
    health.forget('k')
    assert not health.list_slow(BOXES, 10.0)


def test_reports_count_from_a_share_of_the_boxes_on_and_for_a_time():
    health, _ = make_health()
    now = 10.0
    for number in range(store_health.MAX_REPORTS):
        now += store_health.VERDICT_S
        assert not health.get_delay('k', BOXES, now)
        health.take_reports(f'b{number}', {'k': 300}, now)
        # One box that repeats its report remains one.
        health.take_reports('b0', {'k': 300}, now)
    now += store_health.VERDICT_S
    assert health.get_delay('k', BOXES, now) == 0.3
    assert not health.get_delay('k', BOXES, now + store_health.REPORT_S)


def test_reports_of_all_stores_alike_count_for_none():
    health, _ = make_health()
    for number in range(20):
        reports = dict.fromkeys(('a', 'b', 'c', 'k'), 300)
        health.take_reports(f'b{number}', reports, 10.0)
    assert not health.list_slow(BOXES, 10.0)


def plan(known, delays):
    """Plan the transfers of a prompt with one store slow."""
    return transfers.plan_transfer(
        test_context.PROMPT,
        'm.1',
        test_context.KEEPERS,
        known,
        100,
        10.5,
        delays,
    )


def test_parts_of_a_slow_store_are_read_or_fetched_elsewhere():
    known = context_index.ContextIndex()
    held = test_context.make_news(1, ('a', 500), ('b', 1000))
    known.take('k2', held, 9.9, 10.0)
    delays = transfers.Delays({'k1': 0.0, 'k2': 0.5}.get)
    read = plan(known, delays)
    # A part that is read is not written a second time.
    assert not any(read.fetch) and not any(read.save)
    assert (read.declined, read.tokens, read.seconds) == (2, 0, 0.0)
    known.take('k1', held, 9.9, 10.0)
    assert plan(known, delays).fetch == ('k1', 'k1', '')


def test_a_small_delay_is_worth_a_fetch_and_counted():
    known = context_index.ContextIndex()
    held = test_context.make_news(1, ('a', 500), ('b', 1000))
    known.take('k1', held, 9.9, 10.0)
    idle = plan(known, transfers.NO_DELAYS)
    found = plan(known, transfers.Delays(lambda address: 0.002))
    assert found.fetch == ('k1', 'k1', '') and found.store == 'k1'
    assert round(found.seconds - idle.seconds, 6) == found.delay_s == 0.002


def test_some_small_parts_try_a_slow_store():
    known = context_index.ContextIndex()
    known.take('k1', test_context.make_news(1, ('a', 500)), 9.9, 10.0)
    rng = random.Random(1)
    delays = transfers.Delays(lambda address: 0.5, rng)
    tried = sum(any(plan(known, delays).fetch) for _ in range(1000))
    assert 20 < tried < 100


def test_digests_of_other_releases_are_understood():
    plain = peer_digests.Digest('b', 'd', 1, {})
    assert datagrams.decode(datagrams.encode(plain)) == plain
    slow = plain._replace(slow_stores={'k': 300})
    assert datagrams.decode(datagrams.encode(slow)) == slow
    # Boxes of an earlier release know neither the field nor its place.
    assert len(datagrams.encode(plain)) < 20
    later = datagrams.cbor2.dumps(['tell', 'b', 1, 2, 0.5, 'unknown'])
    assert datagrams.decode(later).proof_s == 0.5


def test_nothing_of_a_store_that_died_is_offered():
    async def check(deployment):
        events = [['m.1', 'aa', 500, 'm']]
        context_store, address = await site.start_keeper(events)
        deployment.publish(site.make_store_table(2, address))
        hub = await deployment.start_box()

        def may_fetch():
            return hub.view.context_index.may_fetch(address, hub.clock())

        await site.wait_until(may_fetch)
        died = hub.clock()
        context_store.end()
        await site.wait_until(lambda: not may_fetch(), 2.0)
        # Sooner than the lease would end.
        assert hub.clock() - died < 1.2
        assert hub.view.context_index.cached(address)
        # Boxes that ask this one for updates offer nothing either.
        update = hub.view.context_index.make_update(address, 1, 0, hub.clock())
        assert update.clock_ms is None

    site.run(check)


def test_requests_teach_a_box_which_store_to_avoid():
    view = test_view.make_view(count=6)
    stores = [
        routes.Service(
            f's{name}', context_store=test_context.make_keeper(name)
        )
        for name in ('k1', 'k2', 'k3', 'k4')
    ]
    engines = routes.Service('s', engine=test_view.ENGINE)
    view.put_table(
        routes.make_table(
            2,
            [test_view.ROUTE],
            [engines, *stores],
            {},
            routes.Limits(),
            False,
        )
    )

    def answer(number, now):
        """Answer a request whose part one store holds; k1 is slow."""
        store = f'k{number % 4 + 1}'
        part = prompts.Part(f'p{store}', 2500)
        prompt = prompts.Prompt(
            'm', 3000, 50, (part, prompts.Part('own', 500))
        )
        work = test_view.make_work(f'q{number}', prompt)
        held = test_context.make_news(1, (part.name, 2500))
        view.context_index.take(store, held, now, now)
        plan = view.plan(work, (), now)
        view.record_sent(plan, work, now)
        slow = bool(plan.transfer.store) and store == 'k1'
        first = now + plan.expected_s + (0.6 if slow else 0.0)
        view.record_first(plan, work, first)
        view.loads.record_end(plan.entry.name, work.name)
        # Targets lose what they have read, so that it is fetched again.
        view.context_index.forget(plan.entry.name)
        return plan.transfer

    plans = [answer(number, 10.0 + number / 10) for number in range(40)]
    assert any(row.store == 'k1' for row in plans[:16])
    assert [row.declined for row in plans[-4:]] == [1, 0, 0, 0]
    assert list(view.list_slow_stores(14.0)) == ['k1']


def test_an_operator_is_told_once_when_a_store_turns_slow_and_recovers():
    events, gauges, slow = [], [], {}

    class Hub:
        class view:
            list_slow_stores = staticmethod(lambda now: dict(slow))

        class recorder:
            record = staticmethod(
                lambda name, **fields: events.append((name, fields['store']))
            )

        class metrics:
            record_store_delays = staticmethod(gauges.append)

    reports = store_reports.StoreReports(Hub)
    for now, known in enumerate(({}, {'k': 0.4}, {'k': 0.5}, {}, {})):
        slow.clear()
        slow.update(known)
        reports.check(float(now))
    assert events == [('store_slow', 'k'), ('store_recovered', 'k')]
    assert gauges == [{'k': 0.4}, {'k': 0.5}, {}]
