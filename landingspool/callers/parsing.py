"""Reads a caller's request into a typed order, or says what is wrong."""

import typing

import msgspec

from landingspool.decisions import claims
from landingspool.decisions import identity

MOST_TOKENS = 32_768
DEFAULT_TOKENS = 64
MOST_KEY_CHARS = 200
YES_NO = {'true': True, 'false': False, '1': True, '0': False}


class Body(msgspec.Struct):
    """The completions request that model clients speak.

    Fields that are not known here are ignored, as those clients expect.
    """

    model: str
    prompt: str
    max_tokens: int = DEFAULT_TOKENS
    stream: bool = False
    adapter: str = ''


class Key(typing.NamedTuple):
    """A caller's idempotency key.

    `minted` is the wall-clock time inside it, or None where a box made it;
    `box` is then that box with its incarnation.
    """

    text: str
    minted: float | None
    box: str


class Demand(typing.NamedTuple):
    """A request as it was understood."""

    request: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    stream: bool
    deadline_s: float
    repeatable: bool
    key: Key | None


class Fault(typing.NamedTuple):
    """Why a request can't be taken: status and text."""

    status: int
    text: str


def read_bearer(headers):
    """Give the bearer key of a request, or ``''``.

    >>> read_bearer({'authorization': 'Bearer abc'})
    'abc'
    """
    kind, _, key = headers.get('authorization', '').partition(' ')
    return key.strip() if kind.lower() == 'bearer' else ''


def read_key(text):
    """Read an idempotency key: it names its time or the box that made it.

    >>> read_key('1700000000-abc').minted
    1700000000.0
    >>> read_key('box:b1.i1:7').box
    'b1.i1'
    >>> read_key('abc') is None
    True
    """
    if not text.isprintable() or len(text) > MOST_KEY_CHARS:
        return None
    if text.startswith('box:') and text.count(':') == 2:
        return Key(text, None, text.split(':')[1])
    seconds, dash, rest = text.partition('-')
    if not (seconds.isascii() and seconds.isdigit() and dash and rest):
        return None
    if len(seconds) > 12:
        return None
    return Key(text, float(seconds), '')


def parse_request(request, name, settings, plain_models):
    """Read a request.

    Parameters
    ----------
    request : http.Request
    name : str
        Identity to use where the caller gives none.
    settings : settings.Callers
    plain_models : set of str
        Services whose calls may not be repeated unless the caller says so.

    Returns
    -------
    tuple of (Demand or None, Fault or None)
    """
    try:
        body = msgspec.json.decode(request.body, type=Body)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return None, Fault(400, f'body: {error}')
    if not 1 <= body.max_tokens <= MOST_TOKENS:
        text = f'max_tokens {body.max_tokens}: expected 1 to {MOST_TOKENS}'
        return None, Fault(400, text)
    if not body.prompt:
        return None, Fault(400, 'prompt: expected a text that is not empty')
    headers, fault = read_headers(request.headers, settings)
    if fault is not None:
        return None, fault
    repeatable = headers.repeatable
    if repeatable is None:
        repeatable = body.model not in plain_models
    demand = Demand(
        request=headers.request or name,
        model=body.model,
        adapter=body.adapter,
        prompt=body.prompt,
        max_tokens=body.max_tokens,
        stream=body.stream,
        deadline_s=headers.deadline_s,
        repeatable=repeatable,
        key=headers.key,
    )
    return demand, None


class Headers(typing.NamedTuple):
    """What the headers of a request say."""

    request: str
    deadline_s: float
    repeatable: bool | None
    key: Key | None


def read_headers(headers, settings):
    """Read the headers; returns (Headers or None, Fault or None)."""
    request = headers.get('x-request-id', '')
    if request and not (request.isprintable() and len(request) <= 64):
        return None, Fault(400, 'x-request-id: expected 1 to 64 characters')
    deadline_s, fault = read_deadline(headers, settings)
    if fault is not None:
        return None, fault
    said = headers.get('x-repeatable', '').lower()
    if said and said not in YES_NO:
        return None, Fault(400, 'x-repeatable: expected true or false')
    text = headers.get('idempotency-key', '')
    key = read_key(text) if text else None
    if text and key is None:
        hint = 'expected SECONDS-TEXT, with the Unix time of its making'
        return None, Fault(400, f'idempotency-key: {hint}')
    return Headers(request, deadline_s, YES_NO.get(said), key), None


def read_deadline(headers, settings):
    """Read the deadline in seconds; returns (float or None, Fault)."""
    text = headers.get('x-deadline-s')
    if text is None:
        return settings.default_deadline_s, None
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= settings.max_deadline_s:
        most = settings.max_deadline_s
        return None, Fault(400, f'x-deadline-s: expected 0 to {most}')
    return seconds, None


def make_claim_key(workspace, key):
    """Give the key of a claim: one workspace's never meets another's."""
    return identity.hash_key(f'{workspace}\0{key.text}')[:32]


def check_key(key, now, window):
    """Give the Fault of a key that is too old or too new, or None."""
    if key.minted is None or claims.check_age(key.minted, now, window):
        return None
    half = window / 2
    text = f'idempotency-key: its time is more than {half:g} s from now'
    return Fault(409, text)
