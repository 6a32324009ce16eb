"""Decodes the head of a caller's request.

Only the fields that decide about the request are decoded; the others are
relayed as sent.  A malformed description of the prompt is left for the target
to reject.
"""

import math
import typing

from landingspool.decisions.gateway import prompts
from landingspool.platform import names

BEARER = 'bearer'
# Seconds that a caller is assumed to wait if its head states no time.
DEFAULT_TIME_LEFT_S = 30.0
# Longest time that a caller is taken to wait, seconds.
MAX_TIME_LEFT_S = 24 * 3600.0
# Most tokens that a prompt may state, far above what any target holds.
MAX_TOKENS = 10**7


class Call(typing.NamedTuple):
    """Decoded head of a caller's request.

    Attributes
    ----------
    name : str
        The caller's id of this attempt.
    target : str
        Path and query as sent.
    headers : list of tuple of bytes
        As sent.
    key : str or None
        None if the caller presents no credentials; empty if they are no key.
    left_s : float
        Seconds that the caller waits, counted from when it sent the head.
    prompt : prompts.Prompt or None
    after_event : str
        Id of the last event that the caller has; empty if none.
    resumes : str
        Id of the attempt that brought the first event of the stream which
        this request continues; empty if not stated.
    """

    name: str
    method: str
    target: str
    host: str
    headers: list
    key: str | None
    left_s: float
    prompt: prompts.Prompt | None
    after_event: str
    resumes: str = ''


def read_call(method, target, headers):
    """Decode the head of a request.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names in lower case.

    Returns
    -------
    Call
    """
    found = {k.decode('latin-1'): v.decode('latin-1') for k, v in headers}
    return Call(
        name=found.get(names.REQUEST_ID, ''),
        method=method,
        target=target,
        host=found.get('host', ''),
        headers=headers,
        key=read_key(headers),
        left_s=read_time_left(found.get(names.TIME_LEFT)),
        prompt=read_prompt(found),
        after_event=found.get(names.LAST_EVENT, ''),
        resumes=found.get(names.RESUMES, ''),
    )


def read_key(headers):
    """Return the key of a request; None if it presents no credentials.

    Credentials that are no key, or come twice, are an empty text.

    >>> read_key([(b'authorization', b'Bearer k1')]), read_key([])
    ('k1', None)
    >>> read_key([(b'authorization', b'Basic azE=')])
    ''
    """
    name = names.AUTHORIZATION.encode()
    rows = [value.decode('latin-1') for n, value in headers if n == name]
    if not rows:
        return None
    scheme, _, text = rows[0].partition(' ')
    is_key = len(rows) == 1 and scheme.lower() == BEARER
    return text.strip() if is_key else ''


def read_name(headers):
    """Return the caller's id of a request, or an empty text.

    >>> read_name([(b'host', b'a'), (b'x-landingspool-request-id', b'r1')])
    'r1'
    """
    found = dict(headers)
    return found.get(names.REQUEST_ID.encode(), b'').decode('latin-1')


def read_time_left(text):
    """Return the seconds in a header of milliseconds, or the default.

    >>> read_time_left('1500'), read_time_left(None), read_time_left('nan')
    (1.5, 30.0, 30.0)
    >>> read_time_left('1e300') == MAX_TIME_LEFT_S
    True
    """
    try:
        seconds = float(text) / 1000
    except (TypeError, ValueError):
        return DEFAULT_TIME_LEFT_S
    if not math.isfinite(seconds):
        return DEFAULT_TIME_LEFT_S
    return min(max(seconds, 0.0), MAX_TIME_LEFT_S)


def read_prompt(found):
    """Decode the description of the prompt; None if there is none."""
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
        return prompts.Prompt(
            model, read_size(tokens_in), read_size(tokens_out), parts
        )
    except (KeyError, ValueError):
        # A malformed size is left for the target to reject.
        return prompts.Prompt(model, 0, 0)


def read_part(text):
    """Decode one part of a prompt.

    >>> read_part('ab:12')
    Part(name='ab', tokens=12)
    """
    name, _, tokens = text.strip().partition(':')
    return prompts.Part(name, read_size(tokens))


def read_size(text):
    """Decode a number of tokens.

    Raises
    ------
    ValueError
        If it is none that a target can hold.
    """
    size = int(text)
    if not 0 <= size <= MAX_TOKENS:
        raise ValueError('not a number of tokens')
    return size
