"""Each text of a namespace stands for that namespace alone."""

import hypothesis
from hypothesis import strategies

from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import garbage
from landingspool.decisions.gateway import namespaces
from landingspool.decisions.gateway import routes
from tests.gateway import test_view

# Names in which whatever separates or quotes fields is frequent.
NAMES = strategies.one_of(
    strategies.text(strategies.sampled_from('m1.~%2E/ own'), max_size=6),
    strategies.text(max_size=6),
)
VERSIONS = strategies.integers(0, 12)
WORKSPACES = strategies.one_of(strategies.none(), NAMES)
WALLS = strategies.frozensets(NAMES, max_size=3)
SPACES = strategies.one_of(
    strategies.builds(namespaces.choose, NAMES, VERSIONS, WORKSPACES, WALLS),
    strategies.builds(
        lambda model, version, name: namespaces.choose(
            model, version, name, frozenset((name,))
        ),
        NAMES,
        VERSIONS,
        NAMES,
    ),
    strategies.builds(namespaces.PrivateSpaces('5c1e').make),
)


def write_former(model, version, workspace):
    """Return the text by which earlier builds named a namespace.

    Parameters
    ----------
    workspace : str or None
        An isolated one.
    """
    suffix = f'.{workspace}' if workspace is not None else ''
    return f'{model}.{version}{suffix}'


def is_former_stale(text, model, oldest):
    """Return whether earlier builds free the parts of a namespace."""
    head, _, rest = text.partition(f'{model}.')
    version = rest.split('.')[0]
    return not head and version.isdecimal() and int(version) < oldest


@hypothesis.given(SPACES)
def test_no_two_namespaces_have_one_text(space):
    # Guards against WALL and MIXED: names with a separator in them.
    assert namespaces.parse(namespaces.write(space)) == space


@hypothesis.given(strategies.text(strategies.sampled_from('m1.~%2E own0')))
def test_no_namespace_has_two_texts(text):
    # Guards against WALL: a text that is read as another one's namespace.
    space = namespaces.parse(text)
    assert space is None or namespaces.write(space) == text


@hypothesis.given(SPACES)
def test_every_namespace_can_stand_in_a_header(space):
    # Guards against a fault of the request whose model has an odd name.
    text = namespaces.write(space)
    assert text.isascii() and text.isprintable() and ' ' not in text


def plan_space(model, workspace=None):
    """Return the namespace of a request, at a target with weights 1.

    Parameters
    ----------
    workspace : str, optional
        An isolated one.
    """
    view = test_view.make_view(0)
    view.fleet.put(
        fleet.Entry('t', 's', ('a', 1), 'd', fleet.READY, 4, {model: 1})
    )
    table = view.table._replace(
        version=2, isolated=frozenset(() if workspace is None else [workspace])
    )
    view.put_table(table)
    tenancy = None if workspace is None else routes.Tenancy(workspace)
    prompt = test_view.PROMPT._replace(model=model)
    work = test_view.make_work(prompt=prompt)._replace(tenancy=tenancy)
    return view.plan(work, (), 10.0).space


def test_new_weights_of_a_model_leave_another_whose_name_goes_on_with_a_dot():
    # Guards against MIXED: parts of the other model freed while fetched.
    assert not garbage.is_stale(plan_space('m-5.1'), 'm-5', 2)
    assert garbage.is_stale(plan_space('m-5.1'), 'm-5.1', 2)


def test_an_isolated_workspace_shares_nothing_with_a_model_of_its_name():
    # Guards against WALL: weights 1 of m.1 lie where workspace 1 had its own.
    assert plan_space('m', '1') != plan_space('m.1')


@hypothesis.given(NAMES, VERSIONS, WORKSPACES, NAMES, VERSIONS)
def test_parts_of_an_earlier_build_are_freed_for_no_other_model(
    model, version, workspace, other, oldest
):
    # Guards against MIXED in a release: its texts may be read in two ways.
    text = write_former(model, version, workspace)
    if garbage.is_stale(text, other, oldest):
        assert namespaces.parse(text).version < oldest
        assert other == model or '%' in model


@hypothesis.given(SPACES, NAMES, VERSIONS)
def test_an_earlier_build_frees_no_parts_of_another_model(
    space, model, oldest
):
    # Guards against MIXED in a release, from the other side.
    if is_former_stale(namespaces.write(space), model, oldest):
        assert namespaces.quote(space.model) == model
        assert space.version is not None and space.version < oldest
