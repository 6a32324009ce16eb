"""Parsing and validation of callers' requests."""

import typing

import msgspec

from landingspool.decisions import claims
from landingspool.decisions import decoding
from landingspool.decisions import identity

MAX_TOKENS = 32_768
DEFAULT_TOKENS = 64
MAX_KEY_CHARS = 200
BOOLEANS = {'true': True, 'false': False, '1': True, '0': False}


class Body(msgspec.Struct):
    """Body of a request in the format of the completions API.

    Unknown fields are ignored, as clients of that API expect.
    """

    model: str
    prompt: str
    max_tokens: int = DEFAULT_TOKENS
    stream: bool = False
    adapter: str = ''


BODY_DECODER = msgspec.json.Decoder(Body)


class Key(typing.NamedTuple):
    """A caller's idempotency key.

    Attributes
    ----------
    text : str
        The whole key.
    minted : float or None
        Wall-clock time in seconds that the key contains; None if a box
        created the key.
    box : str
        Box that created the key, with its incarnation; otherwise empty.
    """

    text: str
    minted: float | None
    box: str


class ParsedRequest(typing.NamedTuple):
    """A validated completions request."""

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
    """HTTP status and message of a request that is refused."""

    status: int
    text: str


def read_bearer(headers):
    """Return the bearer token of a request, or ``''``.

    >>> read_bearer({'authorization': 'Bearer abc'})
    'abc'
    """
    kind, _, key = headers.get('authorization', '').partition(' ')
    return key.strip() if kind.lower() == 'bearer' else ''


def read_key(text):
    """Parse an idempotency key; return None if it is malformed.

    A key starts with the Unix time of its creation, or names the box that
    created it.

    >>> read_key('1700000000-abc').minted
    1700000000.0
    >>> read_key('box:b1.i1:7').box
    'b1.i1'
    >>> read_key('abc') is None
    True
    """
    if not text.isprintable() or len(text) > MAX_KEY_CHARS:
        return None
    if text.startswith('box:') and text.count(':') == 2:
        return Key(text, None, text.split(':')[1])
    seconds, dash, suffix = text.partition('-')
    if not (seconds.isascii() and seconds.isdigit() and dash and suffix):
        return None
    if len(seconds) > 12:
        return None
    return Key(text, float(seconds), '')


def parse_request(request, name, settings, plain_models):
    """Parse and validate a request.

    Parameters
    ----------
    request : http.Request
    name : str
        Request identity to use if the caller gives none.
    settings : settings.Callers
    plain_models : set of str
        Services whose requests are not repeatable unless the caller says so.

    Returns
    -------
    tuple of (ParsedRequest or None, Fault or None)
    """
    try:
        body = decoding.decode('body', BODY_DECODER.decode, request.body)
    except decoding.Malformed as error:
        return None, Fault(400, str(error))
    if not 1 <= body.max_tokens <= MAX_TOKENS:
        text = f'max_tokens {body.max_tokens}: expected 1 to {MAX_TOKENS}'
        return None, Fault(400, text)
    if not body.prompt:
        return None, Fault(400, 'prompt: expected a text that is not empty')
    headers, fault = read_headers(request.headers, settings)
    if fault is not None:
        return None, fault
    repeatable = headers.repeatable
    if repeatable is None:
        repeatable = body.model not in plain_models
    parsed = ParsedRequest(
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
    return parsed, None


class Headers(typing.NamedTuple):
    """Values parsed from the headers of a request.

    `request` is empty, and `repeatable` and `key` are None, if the caller
    does not give them.
    """

    request: str
    deadline_s: float
    repeatable: bool | None
    key: Key | None


def read_headers(headers, settings):
    """Parse the headers; return (Headers or None, Fault or None)."""
    request = headers.get('x-request-id', '')
    if request and not (request.isprintable() and len(request) <= 64):
        return None, Fault(400, 'x-request-id: expected 1 to 64 characters')
    deadline_s, fault = read_deadline(headers, settings)
    if fault is not None:
        return None, fault
    repeatable = headers.get('x-repeatable', '').lower()
    if repeatable and repeatable not in BOOLEANS:
        return None, Fault(400, 'x-repeatable: expected true or false')
    text = headers.get('idempotency-key', '')
    key = read_key(text) if text else None
    if text and key is None:
        hint = 'expected SECONDS-TEXT, with the Unix time of its making'
        return None, Fault(400, f'idempotency-key: {hint}')
    return Headers(request, deadline_s, BOOLEANS.get(repeatable), key), None


def read_deadline(headers, settings):
    """Parse the deadline in seconds; return (float or None, Fault or None)."""
    text = headers.get('x-deadline-s')
    if text is None:
        return settings.default_deadline_s, None
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= settings.max_deadline_s:
        max_s = settings.max_deadline_s
        return None, Fault(400, f'x-deadline-s: expected 0 to {max_s}')
    return seconds, None


def make_claim_key(workspace, key):
    """Return the key of a claim, which differs between workspaces."""
    return identity.hash_key(f'{workspace}\0{key.text}')[:32]


def check_key(key, now, window):
    """Return the Fault of a key that is too old or too new, or None.

    `now` is wall-clock time and `window` the claim window, both in seconds.
    """
    if key.minted is None or claims.check_age(key.minted, now, window):
        return None
    half = window / 2
    text = f'idempotency-key: its time is more than {half:g} s from now'
    return Fault(409, text)
