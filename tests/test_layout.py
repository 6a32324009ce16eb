"""What holds of the code as a whole: imports point one way, the catalogue
is complete, and the documents say what the code says."""

import ast
import gc
import pathlib

import pytest

from landingspool import event_kinds
from landingspool import target_event_kinds

CORE = sorted(pathlib.Path('landingspool/decisions').rglob('*.py'))
FORBIDDEN = {
    'asyncio',
    'socket',
    'ssl',
    'threading',
    'subprocess',
    'os',
    'time',
    'datetime',
    'secrets',
    'uuid',
    'h11',
    'websockets',
    'loguru',
    'prometheus_client',
}
ALLOWED_OWN = ('landingspool.decisions', 'landingspool.verdict')


def list_imports(path):
    """List the full names of what a module imports."""
    names = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names += [f'{node.module}.{alias.name}' for alias in node.names]
    return names


@pytest.fixture(autouse=True)
def pause_collection():
    """Run no finalizer within `ast.parse`: CPython 3.11 isn't reentrant."""
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize('path', CORE, ids=str)
def test_core_imports_no_peer_and_nothing_impure(path):
    for name in list_imports(path):
        assert name.split('.')[0] not in FORBIDDEN, name
        if name.startswith('landingspool.'):
            assert name.startswith(ALLOWED_OWN), name


def list_recorded(path):
    """List the event names that a module records."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        called = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
        first = node.args[0]
        if called in ('record', '_record', 'TimelineEvent'):
            if isinstance(first, ast.Constant):
                yield first.value


def test_every_recorded_event_is_in_the_catalogue():
    for path in pathlib.Path('landingspool').rglob('*.py'):
        for name in list_recorded(path):
            assert name in event_kinds.CATALOGUE, f'{path}: {name}'


def test_numbers_of_the_catalogue_are_unique():
    numbers = [kind.number for kind in event_kinds.CATALOGUE.values()]
    assert len(set(numbers)) == len(numbers)


def test_events_of_targets_are_in_the_catalogue_once():
    kinds = [event_kinds.Kind(*row) for row in target_event_kinds.KINDS]
    assert len({kind.number for kind in kinds}) == len(kinds)
    assert all(event_kinds.CATALOGUE[kind.name] == kind for kind in kinds)


def test_event_document_is_what_the_catalogue_says():
    text = pathlib.Path('docs/events.md').read_text()
    assert event_kinds.describe_catalogue() in text
