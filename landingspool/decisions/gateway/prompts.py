"""Prompts as chains of named parts.

Parts are shared between requests; the last one belongs to the request or its
session.
"""

import typing

# Maximum number of parts of one prompt that a log line names.
MAX_LOGGED_PARTS = 8


class Part(typing.NamedTuple):
    """One part of a prompt."""

    name: str
    tokens: int


class Prompt(typing.NamedTuple):
    """What a request reports of its prompt.

    Attributes
    ----------
    model : str
    tokens_in, tokens_out : int
        `tokens_out` is the highest number that it may generate.
    parts : tuple of Part
        In order; the last one is not shared.
    """

    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple = ()


def list_shared(prompt):
    """Return the parts that other requests may read again."""
    return prompt.parts[:-1]


def list_logged(prompt):
    """Return the names of the leading shared parts, for the log.

    >>> list_logged(Prompt('m', 30, 5, (Part('a', 10), Part('b', 20))))
    ('a',)
    >>> list_logged(None)
    ()
    """
    if prompt is None:
        return ()
    return tuple(part.name for part in list_shared(prompt)[:MAX_LOGGED_PARTS])


def count_kept(prompt, space, cached):
    """Return the number of leading tokens that `cached` covers.

    A part helps only if every part before it is complete.

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
    """Return the number of tokens that a target still has to read."""
    return max(prompt.tokens_in - kept_tokens, 0)
