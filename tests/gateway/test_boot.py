"""Tests how a box reads the platform's settings file."""

import copy

import pytest

from landingspool import http
from landingspool.platform import boot
from landingspool import settings_reader

SETTINGS = {
    'node': 'box1',
    'zone': 'd1',
    'listen': {
        'front': '10.0.0.1:80',
        'ready': '10.0.0.1:81',
        'control': '10.0.0.1:82',
    },
    'platform': {'address': '10.0.0.9:7'},
    'bounds': {
        'revoke_ms': 4000,
        'revoke_fail_closed': False,
        'lease_ms': 2000,
        'version_ms': 9000,
    },
}


def test_bounds_are_taken_from_the_settings():
    place, errors = boot.read(SETTINGS, 'f')
    assert not errors
    assert place.bounds.key_s == 4.0
    assert place.bounds.keys_fail_closed is False
    assert place.bounds.lease_s == 2.0
    assert place.bounds.version_s == 9.0
    assert not place.bounds.contended
    assert place.caller_bytes is None


@pytest.mark.parametrize(
    ('value', 'size', 'wrong'),
    [(2, 2 << 20, 0), (0.5, 1 << 19, 0), (-1, 0, 1), ('all', 0, 1)],
)
def test_settings_may_say_what_callers_make_a_box_hold(value, size, wrong):
    table = {**SETTINGS, 'limits': {'caller_mb': value}}
    place, errors = boot.read(table, 'f')
    assert len(errors) == wrong
    if not wrong:
        assert place.caller_bytes == size


def test_callers_compete_for_room_where_the_contracts_say_so():
    place, errors = boot.read({**SETTINGS, 'contracts': ['pressure']}, 'f')
    assert not errors
    assert place.bounds.contended


def test_keys_fail_closed_where_nothing_is_said():
    table = copy.deepcopy(SETTINGS)
    del table['bounds']['revoke_fail_closed']
    place, _ = boot.read(table, 'f')
    assert place.bounds.keys_fail_closed is True


PORTS = (
    ([90, 99], http.Address('10.0.0.1', 91)),
    ('90-99', http.Address('10.0.0.1', 91)),
    # The second one is that of the other boxes.
    ([81, 99], None),
    ([90, 90], None),
    ('90', None),
    (None, None),
)


@pytest.mark.parametrize(('ports', 'address'), PORTS)
def test_forwarded_requests_have_an_internal_port(ports, address):
    table = {**SETTINGS, 'ip': '10.0.0.1', 'internal_ports': ports}
    place, errors = boot.read(table, 'f')
    assert not errors
    assert place.forwarding == address


def test_ports_that_are_no_range_are_none_and_no_error():
    table = {'a': {'reversed': [9, 5], 'long': [1, 2, 3], 'text': 'x-y'}}
    reader = settings_reader.Reader(table, 'f')
    assert not any(reader.ports(f'a.{key}') for key in (*table['a'], 'none'))
    assert not reader.errors


def test_all_wrong_settings_are_named_at_once():
    table = copy.deepcopy(SETTINGS)
    del table['node']
    table['bounds']['lease_ms'] = -5
    table['bounds']['version_ms'] = 'soon'
    table['bounds']['revoke_fail_closed'] = 'no'
    table['contracts'] = 'pressure'
    place, errors = boot.read(table, 'f')
    assert place is None
    found = {(error.key, error.value) for error in errors}
    assert found == {
        ('node', None),
        ('bounds.lease_ms', -5),
        ('bounds.version_ms', 'soon'),
        ('bounds.revoke_fail_closed', 'no'),
        ('contracts', 'pressure'),
    }
    assert all(error.file == 'f' and error.text for error in errors)
