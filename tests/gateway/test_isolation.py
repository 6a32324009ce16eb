"""What isolated workspaces made is read by nobody else, and by them alone."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from landingspool.decisions.gateway import namespaces
from landingspool.decisions.gateway import plans
from landingspool.platform import tables
from tests.gateway import site
from tests.gateway import test_view

NOW = 10.0
NAMES = 'v', 'w', 'x'


def make_table(version, isolated, names=NAMES, keys_of=lambda name: [name]):
    """Return a table in which some workspaces are isolated.

    Parameters
    ----------
    isolated : collection of str
    keys_of : callable
        Returns the keys of a workspace.
    """
    table = site.make_table(version)
    table['routes'] = [{**row, 'service': 's'} for row in table['routes']]
    table['services'] = [{**table['services'][1], 'name': 's'}]
    table['tenants'] = [
        {'name': n, 'api_keys': keys_of(n), 'isolated': n in isolated}
        for n in names
    ]
    return tables.read_table(json.dumps(table).encode())


class Box:
    """The decisions of one box about the namespaces of its requests."""

    def __init__(self):
        self.view = test_view.make_view(1)
        self.view.weights.put_version('m', 1, 1.0)
        self.version = 1

    def publish(self, *isolated, **kinds):
        """Put a table in force in which some workspaces are isolated."""
        self.version += 1
        self.view.put_table(make_table(self.version, isolated, **kinds))

    def find_space(self, workspace, name='id1'):
        """Return the namespace of a request of a workspace."""
        tenancy = self.view.table.keys.get(workspace)
        return self.plan(tenancy, name).space

    def plan(self, tenancy, name='id1'):
        """Return the plan of a request."""
        work = plans.Work(
            name, test_view.ROUTE, 's', tenancy, test_view.PROMPT
        )
        return self.view.plan(work, (), NOW)


def test_no_request_id_reads_what_an_isolated_workspace_made():
    # Guards against WALL: a caller whose request's id names the workspace.
    box = Box()
    box.publish('w')
    own = box.find_space('w')
    box.view.loading.put({'t0': 0.0}, NOW)
    assert box.find_space('v', 'w') != own
    assert box.find_space('v', 'w') != box.find_space('x', 'w')


def test_names_of_models_that_callers_choose_are_not_kept():
    # Guards against LOST by memory: a name may be as long as a head.
    box = Box()
    box.publish()
    namespaces.write.cache_clear()
    for number in range(2 * namespaces.MAX_CACHED):
        prompt = test_view.PROMPT._replace(model=f'of-callers-{number}')
        work = plans.Work('id1', test_view.ROUTE, 's', None, prompt)
        assert 'of-callers' not in box.view.plan(work, (), NOW).space
    assert namespaces.write.cache_info().currsize <= namespaces.MAX_CACHED


def test_what_a_workspace_made_before_its_wall_is_read_by_no_other():
    # Guards against WALL: the operator isolates a workspace that was open.
    box = Box()
    box.publish()
    before = box.find_space('w')
    assert box.find_space('v') == before
    box.publish('w')
    assert box.find_space('v') == box.find_space('x') != before
    assert box.find_space('w') not in (before, box.find_space('v'))


@pytest.mark.parametrize(
    'walls',
    [
        [{'w'}, set(), {'w'}],
        [set(), {'w'}, {'v'}, {'w', 'v'}],
        [{'w'}, {'v'}, {'w'}],
        [{'w'}, set(), {'v'}, {'w'}],
        [{'w'}, {'w', 'v'}, {'v'}, {'w', 'v'}],
    ],
    ids=['again', 'two in turn', 'changed places', 'opened', 'second opened'],
)
@pytest.mark.parametrize('restarts', [False, True])
def test_a_wall_that_comes_again_hides_what_was_made_in_between(
    walls, restarts
):
    # Guards against WALL: a namespace that comes back, also after a restart.
    box, made = Box(), []
    for isolated in walls:
        if restarts:
            box = Box()
        box.publish(*isolated)
        spaces = {name: box.find_space(name) for name in NAMES}
        for maker, space in made:
            readers = {n for n in NAMES if spaces[n] == space} - {maker}
            assert not readers & isolated
            assert not readers or maker not in isolated
        made += spaces.items()


def test_a_change_of_keys_alone_leaves_the_common_context():
    # Guards against a cold cache, and WALL once the last key has gone.
    box = Box()
    box.publish('w')
    before = box.find_space('v')
    for keys in ([], ['w', 'w2']):
        box.publish('w', keys_of=lambda n, k=keys: k if n == 'w' else [n])
        assert box.find_space('v') == before


def test_a_request_admitted_before_the_wall_runs_behind_it():
    # Guards against WALL: it waited in a queue as its workspace was isolated.
    box = Box()
    box.publish()
    tenancy = box.view.table.keys['w']
    box.publish('w')
    assert box.plan(tenancy).space == box.find_space('w')
    assert box.plan(tenancy).space != box.find_space('v')


def test_a_request_without_a_workspace_reads_nothing_behind_a_wall():
    # Guards against WALL on a route that needs no key.
    box = Box()
    box.publish()
    before = box.find_space('w')
    box.publish('w')
    assert box.plan(None).space == box.find_space('v') != before


def test_requests_that_name_no_model_share_no_context():
    # Guards against WALL: without a namespace engines have one for all.
    async def check(deployment):
        hub = await deployment.start_box()
        for engine in deployment.engines:
            engine.usual = 'stream'
        for _ in range(3):
            row = ('x-landingspool-prefix-hash', 'aa:500,bb:90')
            assert (await site.ask(hub, '/stream/a', headers=[row])).whole
        ran = [head for engine in deployment.engines for head in engine.ran]
        assert len({head['cache-salt'] for head in ran}) == 3
        assert (await site.ask(hub, '/safe/a')).status == 200
        (plain,) = [head for target in deployment.plain for head in target.ran]
        assert 'cache-salt' not in plain

    site.run(check)


STEPS = strategies.lists(
    strategies.tuples(
        strategies.frozensets(strategies.sampled_from(NAMES)),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from((None, *NAMES)),
                strategies.integers(0, 3),
            ),
            max_size=8,
        ),
    ),
    max_size=8,
)


@hypothesis.given(STEPS)
def test_no_history_of_walls_lets_a_foreign_part_through(steps):
    # Guards against WALL: boxes have older tables for a time, and write.
    made = set()
    for number, (isolated, requests) in enumerate(steps):
        for workspace, lag in requests:
            known = steps[max(number - lag, 0)][0]
            space = namespaces.choose('m', 1, workspace, known)
            pairs = [{maker, workspace} for maker, at in made if at == space]
            if known == isolated:
                assert not any(len(p) > 1 and p & isolated for p in pairs)
            made.add((workspace, space))
