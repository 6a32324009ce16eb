"""Which target gets a request."""

from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import context_index
from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import planner
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import view as view_module
from landingspool.gateway import deployment

ROUTE = routes.Route('r', 'h', '/', routes.STREAM, 9.0, 0.4, 1, ())
ENGINE = routes.Engine(4, 100_000, 100, 1000.0, 4, True)
PROMPT = prompts.Prompt(
    'm', 3000, 50, (prompts.Part('a', 2500), prompts.Part('own', 500))
)


def make_view(count=4, engine=ENGINE):
    """Return a View with some targets of one service."""
    view = view_module.View('d', deployment.Bounds(), 1)
    service = routes.Service('s', engine=engine)
    view.put_table(
        routes.make_table(1, [ROUTE], [service], {}, routes.Limits(), False)
    )
    view.proof.record(10.0)
    for number in range(count):
        put(view, f't{number}', 1)
    return view


def put(view, name, version):
    """Announce a target."""
    entry = fleet.Entry(
        name, 's', ('a', 1), 'd', fleet.READY, 4, {'m': version}
    )
    view.fleet.put(entry)


def make_work(name='q', prompt=PROMPT):
    """Return one request."""
    return plans.Work(name, ROUTE, 's', None, prompt)


def begin_requests(view, count):
    """Send some requests, and let the answer to each begin."""
    for number in range(count):
        work = make_work(f'q{number}')
        plan = view.plan(work, (), 10.0)
        view.record_sent(plan, work, 10.0)
        view.record_first(plan, work, 10.1)


def pick(view, now=10.0, **fields):
    """Return the name of the chosen target, or None."""
    plan = view.plan(make_work(**fields), (), now)
    return plan and plan.entry.name


def test_all_boxes_choose_one_home_for_a_prompt():
    all_preferred = {pick(make_view()) for _ in range(9)}
    assert len(all_preferred) == 1


def test_a_busy_home_is_left():
    view = make_view()
    preferred = pick(view)
    for number in range(4):
        plan = view.plan(make_work(f'q{number}'), (), 10.0)
        view.record_sent(plan, make_work(f'q{number}'), 10.0)
    sent = set(view.loads.list_reported())
    assert preferred in sent
    assert len(sent) > 1


def test_a_silent_target_gets_no_more():
    view = make_view()
    preferred = pick(view)
    plan = view.plan(make_work('first'), (), 10.0)
    view.record_sent(plan, make_work('first'), 10.0)
    late = 10.0 + planner.ENGINE_SILENCE_S + 0.1
    assert all(pick(view, late, name=f'n{i}') != preferred for i in range(20))


def test_a_target_that_can_not_be_reached_is_avoided_for_a_time():
    view = make_view()
    preferred = pick(view)
    view.record_loss(preferred, 10.0, certain=True)
    # One request in thirty goes to a doubtful target, to detect its recovery.
    assert preferred not in {pick(view, 10.1) for _ in range(200)}
    assert preferred in {pick(view, 30.0) for _ in range(200)}


def test_the_only_target_is_tried_though_it_failed():
    view = make_view(1)
    view.record_loss('t0', 10.0, certain=True)
    assert pick(view, 10.1) == 't0'


def test_old_weights_are_left_in_the_end():
    view = make_view(2)
    view.weights.put_version('m', 1, 1.0)
    view.weights.put_version('m', 2, 10.0)
    put(view, 't1', 2)
    late = 10.0 + view.weights.max_lag_s
    assert {pick(view, late, name=f'n{i}') for i in range(9)} == {'t1'}


def test_all_on_old_weights_is_no_service_in_the_end():
    view = make_view(2)
    view.weights.put_version('m', 1, 1.0)
    view.weights.put_version('m', 2, 10.0)
    assert pick(view, 11.0) is not None
    assert pick(view, 10.0 + view.weights.max_lag_s) is None


def test_a_closing_target_still_gets_what_ends_in_time():
    view = make_view(2)
    view.loading.put({'t0': 1.6}, 10.0)
    short = prompts.Prompt('m', 100, 4, PROMPT.parts)
    long = prompts.Prompt('m', 100, 900, PROMPT.parts)
    assert not view.loading.excludes('t0', short, 10.0)
    assert view.loading.excludes('t0', long, 10.0)
    assert view.loading.excludes('t0', short, 11.6)
    assert not view.loading.excludes('t1', long, 11.6)


def test_requests_to_a_loading_target_carry_no_transfer():
    view = make_view(1)
    view.loading.put({'t0': 0.0}, 10.0)
    plan = view.plan(make_work(), (), 10.0)
    assert plan.version is None
    assert not plan.transfer.fetch
    # They don't share the context of a run on the other version, either.
    other = view.plan(make_work('other'), (), 10.0)
    assert len({plan.space, other.space, 'm.1'}) == 3


def test_a_full_memory_turns_requests_away():
    view = make_view(1)
    begin_requests(view, 40)
    work = make_work('next')
    plan = view.plan(work, (), 10.2)
    assert plan.wait_s > 0.4
    assert not view.is_admitted(plan, work)


def test_failures_count_only_against_peers():
    view = make_view(2, engine=None)
    entries = view.fleet.list_service('s')
    work = make_work(prompt=None)
    for entry in entries:
        for _ in range(20):
            plan = view.planner.make_plan(
                choice.Chosen(entry, 0.0, 0, 2), work, 1.0, {}
            )
            view.record_answer(plan, 0.01, True)
    plan = view.plan(work, (), 99.0)
    assert plan.expected_s < 0.1


def test_all_boxes_keep_half_of_what_a_target_accepts():
    view = make_view()
    service = routes.Service('s', max_connections=96)
    view.put_table(
        routes.make_table(2, [ROUTE], [service], {}, routes.Limits(), False)
    )
    view.boxes = 8
    assert view.get_connection_limit('s') * view.boxes <= 96 / 2
    view.boxes = 85
    assert view.get_connection_limit('s') == 1


def test_a_target_is_left_for_the_first_version_that_it_missed():
    view = make_view(2)
    view.weights.put_version('m', 1, 1.0)
    view.weights.put_version('m', 2, 10.0)
    put(view, 't1', 2)
    view.weights.put_version('m', 3, 14.0)
    late = 10.0 + view.weights.max_lag_s
    # t0 missed version 2 long ago, though version 3 is recent.
    chosen = {
        pick(
            view,
            late,
            prompt=prompts.Prompt(
                'm', 900, 5, (prompts.Part(f'p{i}', 800), PROMPT.parts[1])
            ),
        )
        for i in range(20)
    }
    assert chosen == {'t1'}


def test_the_least_urgent_make_room_as_the_places_fill_up():
    view = make_view(2)
    begin_requests(view, 8)
    work = make_work('next')
    plan = view.plan(work, (), 11.0)._replace(wait_s=0.0)
    assert plan.pressure == 1.0
    urgent = work._replace(route=work.route._replace(priority=0))
    least = work._replace(route=work.route._replace(priority=2))
    assert all(view.is_admitted(plan, urgent) for _ in range(50))
    assert not any(view.is_admitted(plan, least) for _ in range(50))


def test_nothing_is_saved_for_weights_that_are_being_replaced():
    view = make_view(2)
    context_store = routes.ContextStore(
        'k:1', 'd', 90_000, 1000.0, 4, True, 0.0
    )
    service = routes.Service('s', engine=ENGINE)
    store = routes.Service('k', context_store=context_store)
    view.put_table(
        routes.make_table(
            2, [ROUTE], [service, store], {}, routes.Limits(), False
        )
    )
    news = context_index.CacheUpdate(
        1, 0, False, (context_index.Change('m.1', 'z', 500),), True
    )
    view.context_index.take('k:1', news._replace(clock_ms=5000.0), 9.9, 10.0)
    view.weights.put_version('m', 1, 9.0)
    assert view.plan(make_work(), (), 10.0).transfer.save == ('k:1', '')
    view.weights.put_version('m', 2, 10.1)
    assert not any(view.plan(make_work(), (), 10.2).transfer.save)


def answer_late(view, count, seconds):
    """Let some requests be answered, each after so many seconds."""
    for number in range(count):
        work = make_work(f'late{number}')
        plan = view.plan(work, (), 10.0)
        view.record_sent(plan, work, 10.0)
        view.record_first(plan, work, 10.0 + seconds)
        view.loads.record_end(plan.entry.name, work.name)


def test_where_answers_come_late_requests_are_turned_away():
    view = make_view()
    answer_late(view, 30, 0.1)
    assert view.plan(make_work(), (), 10.2).pressure < 0.5
    answer_late(view, 60, 0.6)
    work = make_work()
    plan = view.plan(work, (), 10.6)
    # No request is known to wait anywhere.
    assert plan.wait_s < 0.05
    assert plan.pressure > 1.2
    assert not view.is_admitted(plan, work)
    # The refusals are temporary: some seconds later requests are admitted
    # again.
    assert view.plan(work, (), 14.0).pressure < 0.5


def test_engines_of_a_size_that_are_sick_do_not_hold_their_requests():
    """If a split ignores health, all 50 requests go to a failing engine."""
    view = make_view(5)
    for entry in list(view.fleet.entries.values()):
        view.fleet.put(entry._replace(slots=64))
    for read in (30_000, 9_000):
        view.engine_split.record(read, 10.0)
    view.engine_split.record(9_000 // 4, 10.0)
    entries = view.fleet.list_service('s')
    names = view.engine_split.pick(600, entries)
    assert 0 < len(names) < 5
    short = prompts.Prompt('m', 600, 5, (prompts.Part('own', 600),))
    for name in names:
        view.record_loss(name, 10.0, certain=True)
    chosen = [pick(view, 10.1, prompt=short) for _ in range(50)]
    assert None not in chosen
    assert sum(name in names for name in chosen) < 10
    for name in names:
        plan = view.plan(make_work('first'), (), 10.0)
        entry = view.fleet.entries[name]
        view.record_sent(plan._replace(entry=entry), make_work(name), 10.0)
    late = 10.0 + planner.ENGINE_SILENCE_S + 0.1
    assert pick(view, late, prompt=short) not in {None, *names}
