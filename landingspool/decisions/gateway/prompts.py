"""Prompts as chains of named parts, and the names under which they are kept.

Parts are shared between requests; the last one belongs to the request or
its session.  A target finds kept context only under the exact namespace
that a request names, so weights and walls are put into that name: context
of another version or of an isolated workspace can't be found.
"""

import typing

# Prompt tokens that a target is taken to read in a second.  Known engines read
# 48 and 112 in a millisecond; a rate learnt from their answers (47) chose no
# better: worth -0.008 +- 0.007 over eleven days of the slower ones.
READ_TOKENS_S = 112_000.0


class Part(typing.NamedTuple):
    """One part of a prompt."""

    name: str
    tokens: int


class Prompt(typing.NamedTuple):
    """What a request tells of its prompt.

    Attributes
    ----------
    model : str
    tokens_in, tokens_out : int
        `tokens_out` is the most that it may generate.
    parts : tuple of Part
        In order; the last one is its own.
    """

    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple = ()


def name_space(model, version, tenancy):
    """Give the namespace of kept context for one request.

    >>> name_space('m', 3, None)
    'm.3'
    """
    isolated = tenancy is not None and tenancy.isolated
    wall = f'.{tenancy.name}' if isolated else ''
    return f'{model}.{version}{wall}'


def list_shared(prompt):
    """List the parts that other requests may read again."""
    return prompt.parts[:-1]


def count_kept(prompt, space, cached):
    """Count the leading tokens that `cached` holds whole.

    A part helps only if every part before it is there too.

    Parameters
    ----------
    space : str
    cached : dict of tuple to int
        Tokens by (namespace, part name).

    >>> prompt = Prompt('m', 30, 5, (Part('a', 10), Part('b', 20)))
    >>> count_kept(prompt, 's', {('s', 'a'): 10, ('s', 'b'): 5})
    15
    >>> count_kept(prompt, 's', {('s', 'b'): 20})
    0
    """
    total = 0
    for part in prompt.parts:
        held = min(cached.get((space, part.name), 0), part.tokens)
        total += held
        if held < part.tokens:
            break
    return total


def count_read(prompt, kept_tokens):
    """Count the tokens that a target still has to read."""
    return max(prompt.tokens_in - kept_tokens, 0)
