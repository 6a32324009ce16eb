"""Who is sent, refused and told to return where callers compete for room."""

from landingspool.decisions.gateway import allowances
from landingspool.decisions.gateway import capacity
from landingspool.decisions.gateway import contention
from landingspool.decisions.gateway import demand as demand_module
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import returns
from landingspool.decisions.gateway import room
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import shortages
from tests.gateway import test_view

URGENT = test_view.ROUTE._replace(
    name='urgent',
    priority=0,
    target_latency_s=0.5,
    shares=(routes.Share('s', 1),),
)
FREQUENT = URGENT._replace(name='frequent', priority=2, target_latency_s=1.5)
LARGE = prompts.Prompt('m', 12_000, 30, (prompts.Part('own', 12_000),))
SMALL = prompts.Prompt('m', 2_400, 2, (prompts.Part('own', 2_400),))
TABLE = routes.make_table(
    1, [URGENT, FREQUENT], [routes.Service('s')], {}, routes.Limits(), False
)


def make_contention():
    """Return a Contention of a box that knows no target."""
    view = test_view.make_view()
    return contention.Contention(
        capacity.FreeCapacity(view.fleet, view.exclusions)
    )


def is_admitted(
    route, prompt, wait_s, pressure=0.0, table=TABLE, spread=1.0, **fields
):
    """Return whether a request is sent to a target with that wait."""
    work = test_view.make_work(prompt=prompt)._replace(route=route)
    plan = test_view.make_view().plan(work, (), 10.0)
    plan = plan._replace(
        wait_s=wait_s, pressure=pressure, read_tokens=prompt.tokens_in
    )
    asked = demand_module.make_demand(work, 9.0, False, 0.5)._replace(**fields)
    return make_contention().is_admitted(
        plan, work, asked, table, lambda refused: refused * spread
    )


def test_large_urgent_requests_may_wait_as_long_as_small_ones():
    assert is_admitted(URGENT, LARGE, 0.55)
    assert not is_admitted(URGENT, LARGE, 0.65)
    # What is less urgent leaves the engines to them sooner.
    assert is_admitted(FREQUENT, SMALL, 0.4)
    assert not is_admitted(FREQUENT, SMALL, 0.5)
    assert not is_admitted(FREQUENT, LARGE, 0.42)


def test_as_places_fill_up_the_least_urgent_are_refused_first():
    assert is_admitted(URGENT, LARGE, 0.1, pressure=1.05)
    assert not is_admitted(FREQUENT, SMALL, 0.1, pressure=0.96)
    assert is_admitted(FREQUENT, SMALL, 0.1, pressure=0.96, returns=True)
    assert is_admitted(FREQUENT, SMALL, 0.1, pressure=0.9)
    # What is refused is spread over workspaces.
    assert not is_admitted(FREQUENT, SMALL, 0.1, pressure=0.9, spread=2.0)


def test_the_priority_of_a_workspace_goes_before_that_of_a_route():
    waits = {'wait_s': 0.55, 'pressure': 0.9}
    tenancies = [routes.Tenancy(name, 1) for name in 'ab']
    tenancies.append(routes.Tenancy('urgent', 0))
    keys = {tenancy.name: tenancy for tenancy in tenancies}
    table = TABLE._replace(keys=keys)
    assert is_admitted(URGENT, LARGE, priority=1, table=table, **waits)
    assert not is_admitted(FREQUENT, SMALL, priority=1, table=table, **waits)
    assert is_admitted(FREQUENT, SMALL, priority=0, table=table, **waits)
    orders = [(0, 2), (1, 0), (1, 2)]
    ranks = [
        demand_module.rank(demand_module.Demand(*order), 1.0)
        for order in orders
    ]
    assert ranks == sorted(ranks)


def test_the_most_urgent_route_of_each_table_counts():
    urgency = allowances.Urgency()
    assert urgency.find(TABLE, 's') == allowances.Urgent(0, 0.5)
    assert urgency.find(TABLE, 't') is None
    table = TABLE._replace(hosts={'h': (FREQUENT,)})
    assert urgency.find(table, 's') == allowances.Urgent(2, 1.5)


def test_callers_refused_together_return_one_after_the_other():
    refusing, work = make_contention(), test_view.make_work()
    for number in range(40):
        refusing.record_end('s', 9.0 + number / 40)
    asked = demand_module.make_demand(work, 3.0, False, 0.5)
    plan = test_view.make_view().plan(work, (), 10.0)
    told = [
        refusing.compute_retry_after(plan, work, asked, 10.0)
        for _ in range(100)
    ]
    assert told == sorted(told)
    pace_s = 1 / room.ServedRates().find('t', 10.0)
    assert 0 < told[1] - told[0] < pace_s / 10
    # Callers wait for no more than a third of the time that they have left.
    assert told[-1] == 1.0


def make_returns():
    """Return Returns to which first callers have stated 2.1 to 2.5 s."""
    known = returns.Returns()
    for number in range(60):
        left_s = 2.1 + number % 5 / 10
        assert not known.take('r', left_s, b'%d' % number, False, 10.0)
    return known


def test_callers_refused_by_another_box_are_known_by_their_time_left():
    known = make_returns()
    assert known.take('r', 1.8, b'x', True, 10.0)
    assert not known.take('r', 2.2, b'y', True, 10.0)
    assert not known.take('r', 0.3, b'z', True, 10.0)
    assert not known.take('other', 1.8, b'x', True, 10.0)
    # What callers that return state does not become usual.
    for _ in range(90):
        assert known.take('r', 1.7, b'x', True, 10.0)
    # While nothing is refused nobody returns.
    assert not known.take('r', 1.8, b'x', False, 10.0)


def test_callers_that_come_back_too_early_go_before_nobody():
    known = make_returns()
    known.record_refused(b'x', 0.5, 10.0)
    assert not known.take('r', 1.9, b'x', True, 10.1)
    assert known.take('r', 2.2, b'x', True, 10.5)


def test_a_shortage_lasts_until_nobody_is_refused_any_more():
    known = shortages.Shortages()
    assert known.record('s', 1.0)
    assert not known.record('s', 2.0)
    assert known.is_short('s', 1.9 + shortages.OVER_S)
    assert not known.is_short('t', 2.0)
    assert known.take_over(2.0 + shortages.OVER_S)['s'].refused == 2
    assert not known.is_short('s', 2.0)
