"""Heads of callers' requests whose fields can't be decoded."""

import pytest

from landingspool.decisions.gateway import prompts
from landingspool.platform import ingress

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
