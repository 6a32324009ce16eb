"""Reads the head of a caller's request.

Only what decides about the request is decoded; all else goes on as sent,
and a head that tells its prompt badly is the target's to judge.
"""

import typing

from landingspool.decisions.gateway import prompts
from landingspool.platform import names

BEARER = 'bearer '
# Seconds that a caller is taken to wait where its head does not say.
DEFAULT_LEFT_S = 30.0


class Call(typing.NamedTuple):
    """The head of a caller's request, decoded.

    Attributes
    ----------
    name : str
        The caller's id of this try.
    target : str
        Path and query as sent.
    headers : list of tuple of bytes
        As sent.
    left_s : float
        Seconds that the caller will wait, from when it sent the head.
    prompt : prompts.Prompt or None
    after_event : str
        Id of the last event that the caller has; empty where none.
    """

    name: str
    method: str
    target: str
    host: str
    headers: list
    key: str
    left_s: float
    prompt: prompts.Prompt | None
    after_event: str


def read_call(method, target, headers):
    """Decode a head.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names in lower case.

    Returns
    -------
    Call
    """
    found = {k.decode('latin-1'): v.decode('latin-1') for k, v in headers}
    authorization = found.get(names.AUTHORIZATION, '')
    key = ''
    if authorization.lower().startswith(BEARER):
        key = authorization[len(BEARER) :].strip()
    return Call(
        name=found.get(names.REQUEST_ID, ''),
        method=method,
        target=target,
        host=found.get('host', ''),
        headers=headers,
        key=key,
        left_s=read_left(found.get(names.TIME_LEFT)),
        prompt=read_prompt(found),
        after_event=found.get(names.LAST_EVENT, ''),
    )


def read_left(text):
    """Give the seconds in a header of milliseconds.

    >>> read_left('1500'), read_left(None), read_left('x')
    (1.5, 30.0, 30.0)
    """
    try:
        return max(float(text) / 1000, 0.0)
    except (TypeError, ValueError):
        return DEFAULT_LEFT_S


def read_prompt(found):
    """Decode what a head tells of its prompt; None where it tells none."""
    model = found.get(names.MODEL)
    if not model:
        return None
    try:
        tokens_in, _, tokens_out = found[names.TOKENS].partition(',')
        parts = tuple(
            read_part(text)
            for text in found.get(names.PARTS, '').split(',')
            if text.strip()
        )
        return prompts.Prompt(model, int(tokens_in), int(tokens_out), parts)
    except (KeyError, ValueError):
        # A head that tells its size badly is still the target's to judge.
        return prompts.Prompt(model, 0, 0)


def read_part(text):
    """Decode one part of a prompt.

    >>> read_part('ab:12')
    Part(name='ab', tokens=12)
    """
    name, _, tokens = text.strip().partition(':')
    return prompts.Part(name, int(tokens))
