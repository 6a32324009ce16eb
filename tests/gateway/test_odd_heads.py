"""Heads of callers' requests whose fields can't be decoded."""

import pytest

from landingspool.boxes import datagrams
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import stream_bindings
from landingspool.decisions.gateway import stream_records
from landingspool.platform import ingress
from landingspool.platform import limits

ODD_SIZES = ('9' * 400, '9' * 5000, '-5', 'x', '\u0663x', '')


@pytest.mark.parametrize('size', ODD_SIZES, ids=lambda size: size[:9])
def test_an_odd_size_of_a_prompt_is_left_to_the_target(size):
    rows = {
        'x-landingspool-model-name': 'm',
        'x-landingspool-token-usage': f'{size},{size}',
        'x-landingspool-prefix-hash': f'ab:{size}',
    }
    found = ingress.read_prompt(rows)
    assert found == prompts.Prompt('m', 0, 0)


LONG_TIMES = ('1e300', '1.7e308', '9' * 300)


@pytest.mark.parametrize('text', LONG_TIMES)
def test_a_box_can_tell_of_a_stream_however_long_its_caller_waits(text):
    binding = stream_bindings.Binding('s', 'v')
    left_s = ingress.read_time_left(text)
    known = stream_bindings.Known(binding, 5.0, 5.0 + left_s)
    key = b'k' * stream_bindings.KEY_BYTES
    record = stream_records.make_record(key, known, 5.0)
    message = stream_records.StreamRecords('b', (record,))
    assert datagrams.decode(datagrams.encode(message)) == message


@pytest.mark.parametrize('text', ('9' * 300, '1' + '0' * 308))
def test_a_box_can_tell_of_a_limit_however_high_it_is(text):
    limit = limits.read_limit([text])
    notice = peer_digests.LimitNotice(7, limit.per_s, 1, 1)
    digest = peer_digests.Digest('b', 'd', 1, {}, limits=(notice,))
    assert datagrams.decode(datagrams.encode(digest)) == digest


def test_a_box_can_tell_of_its_load_however_large_prompts_are():
    loads = peer_digests.hash_loads({'t': [10.0**12, 3, 10**400, 0]})
    digest = peer_digests.Digest('b', 'd', 1, loads)
    assert datagrams.decode(datagrams.encode(digest)) is not None
