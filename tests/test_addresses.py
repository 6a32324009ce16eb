"""Addresses that other writers put into records and configurations."""

import pytest

from landingspool import http
from tests import odd_addresses

MAX_NAME_CHARS = 40


def name_address(text):
    """Return the name of a case."""
    return ascii(text)[:MAX_NAME_CHARS]


@pytest.mark.parametrize('text', odd_addresses.ADDRESSES, ids=name_address)
def test_an_odd_address_is_none(text):
    assert http.parse_address(text) is None


@pytest.mark.parametrize('value', (None, 5, [], {}, b'127.0.0.1:80'))
def test_what_is_no_text_is_no_address(value):
    assert http.parse_address(value) is None
