"""Valid settings files pass, and all errors of an invalid one are shown."""

import pathlib

import pytest

from landingspool import settings

EXAMPLES = sorted(pathlib.Path('examples').glob('*.toml'))
GOOD = EXAMPLES[0].read_text()

BAD = (
    ('host = "127.0.0.1"\nport = 8081', 'host = "boxname"\nport = 8081'),
    ('port = 8080', 'port = 99999'),
    ('port = 8080', 'port = "8080"'),
    ('name = "', 'name = "Not A Name'),
    ('key = "change-me-operators"', 'key = "short"'),
    ('decision_age_s = 1.0', 'decision_age_s = 0'),
    ('queue = 1024', 'queue = 1'),
    ('level = "INFO"', 'level = "LOUD"'),
    ('[policy]', '[policies]'),
    ('routing = "earliest"', 'rooting = "earliest"'),
    ('routing = "earliest"', 'routing = "best"'),
    ('retention = "value"', 'retention = "all"'),
    ('[platform]', '[links.platform]'),
)


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.name)
def test_examples_are_right(path):
    found, errors = settings.load(path)
    assert errors == []
    assert found.box.domain


@pytest.mark.parametrize('old, new', BAD)
def test_each_error_is_found(tmp_path, old, new):
    path = tmp_path / 'bad.toml'
    assert old in GOOD
    path.write_text(GOOD.replace(old, new, 1))
    found, errors = settings.load(path)
    assert found is None
    assert errors


def test_all_errors_are_shown_at_once(tmp_path):
    path = tmp_path / 'bad.toml'
    text = GOOD
    for old, new in (BAD[1], BAD[4], BAD[6], BAD[7]):
        text = text.replace(old, new, 1)
    path.write_text(text)
    _, errors = settings.load(path)
    keys = {error.key for error in errors}
    assert keys == {
        'callers.port',
        'operators.key',
        'links.queue',
        'logs.level',
    }


def test_what_is_not_toml_is_one_error(tmp_path):
    path = tmp_path / 'bad.toml'
    path.write_text('[box')
    _, errors = settings.load(path)
    assert len(errors) == 1


def test_missing_file_is_one_error():
    _, errors = settings.load('no/such/file.toml')
    assert 'No such file' in errors[0].text
