"""Translates the head of a relayed request, and of what is sent on."""

import typing

from landingspool.decisions.gateway import prompts
from landingspool.platform import names

BEARER = 'bearer '
DEFAULT_LEFT_S = 30.0
# Milliseconds taken off the time handed on: the answer has to travel back.
TRAVEL_MS = 5
# A target's rank for urgency goes from 0 to 9.
LEAST_URGENT = 9


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


class Instructions(typing.NamedTuple):
    """What the system tells the target that gets a request.

    Attributes
    ----------
    entry : str
        Id of the target that may run it.
    version : int or None
        Version of the weights that it must have.
    space : str
        Namespace of kept context; empty for plain services.
    fetch, save : tuple of str
        For each part of the prompt a store's address, or an empty text.
    until_ms : float or None
        When a transfer that has not ended is thrown away.
    after_event : str
    """

    entry: str
    left_s: float
    workspace: str = ''
    priority: int | None = None
    version: int | None = None
    space: str = ''
    fetch: tuple = ()
    save: tuple = ()
    until_ms: float | None = None
    after_event: str = ''


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


def write_head(call, instructions, body_length):
    """Give the headers that a target gets for a call.

    Returns
    -------
    list of tuple of bytes
    """
    named = list_connection_names(call.headers)
    kept = [
        (name, value)
        for name, value in call.headers
        if name.decode('latin-1') not in named
        and not is_dropped(name.decode('latin-1'), instructions)
    ]
    if has_body(call) or body_length:
        kept.append((b'content-length', str(body_length).encode()))
    return kept + write_instructions(call, instructions)


def is_dropped(name, instructions):
    """Tell whether a caller's header is not passed on."""
    if name in names.HOP_HEADERS or name in names.OWN_HEADERS:
        return True
    return name == names.LAST_EVENT and bool(instructions.after_event)


def has_body(call):
    """Tell whether the call has a body, even an empty one."""
    present = {name for name, _ in call.headers}
    return b'content-length' in present or b'transfer-encoding' in present


def list_connection_names(headers):
    """List the headers that the caller's `Connection` names."""
    named = set()
    for name, value in headers:
        if name == b'connection':
            parts = value.decode('latin-1').lower().split(',')
            named.update(part.strip() for part in parts)
    # An id or key can't be dropped by naming it.
    return named - {names.REQUEST_ID, 'host', names.MODEL, names.PARTS}


def write_instructions(call, told):
    """Give the headers that the system sets itself."""
    left_ms = max(int(told.left_s * 1000) - TRAVEL_MS, 1)
    rows = [(names.TIME_LEFT, str(left_ms)), (names.ONLY_TARGET, told.entry)]
    if told.workspace:
        rows.append((names.WORKSPACE, told.workspace))
    if told.after_event:
        rows.append((names.LAST_EVENT, told.after_event))
    if call.prompt is not None:
        rows += write_engine_rows(told)
    return [(name.encode(), value.encode('latin-1')) for name, value in rows]


def write_engine_rows(told):
    """Give the headers for model engines."""
    rows = []
    if told.priority is not None:
        urgency = min(max(told.priority, 0), LEAST_URGENT)
        rows.append((names.URGENCY, str(urgency)))
    if told.version is not None:
        rows.append((names.ONLY_VERSION, str(told.version)))
    if told.space:
        rows.append((names.SPACE, told.space))
    if any(told.fetch):
        rows.append((names.FETCH_FROM, write_addresses(told.fetch)))
        if told.until_ms is not None:
            rows.append((names.FETCH_UNTIL, str(int(told.until_ms))))
    if any(told.save):
        rows.append((names.SAVE_TO, write_addresses(told.save)))
    return rows


def write_addresses(addresses):
    """Join one address for each part of the prompt.

    >>> write_addresses(('a:1', '', 'b:2'))
    'a:1,-,b:2'
    """
    return ','.join(address or '-' for address in addresses)


class Head(typing.NamedTuple):
    """The head of a target's answer, decoded.

    Attributes
    ----------
    stamped : bool
        Whether the target signed it.
    not_run : bool
        Whether it says that the request has not run and won't.
    kept_s : float or None
        Whole seconds for which the target keeps the connection.
    """

    status: int
    headers: list
    name: str
    stamped: bool
    not_run: bool
    coded: bool
    closing: bool
    kept_s: float | None
    version: int | None
    target: str


def read_head(status, headers):
    """Decode the head of an answer.

    Parameters
    ----------
    headers : list of tuple of bytes
    """
    found = {k.decode('latin-1'): v.decode('latin-1') for k, v in headers}
    return Head(
        status=status,
        headers=headers,
        name=found.get(names.REQUEST_ID, ''),
        stamped=bool(found.get(names.STAMP)),
        # 421: the address belongs to another target, which ran nothing.
        not_run=names.NOT_RUN in found or status == 421,
        coded=found.get('content-encoding', 'identity') != 'identity',
        closing='close' in found.get('connection', '').lower(),
        kept_s=read_kept(found.get('keep-alive', '')),
        version=read_whole(found.get(names.VERSION)),
        target=found.get(names.TARGET_ID, ''),
    )


def read_kept(text):
    """Give the seconds in a Keep-Alive header, None where there are none.

    >>> read_kept('timeout=3, max=9'), read_kept('')
    (3.0, None)
    """
    for part in text.lower().split(','):
        name, _, value = part.strip().partition('=')
        if name == 'timeout' and value.strip().isdigit():
            return float(value)
    return None


def read_whole(text):
    """Give a whole number, None where the text holds none."""
    return int(text) if text and text.strip().isdigit() else None


def relay_headers(head):
    """Give the headers of an answer that go back to the caller."""
    return [
        (name, value)
        for name, value in head.headers
        if name.decode('latin-1') not in names.HOP_HEADERS
    ]


def find_event_version(event):
    """Give the version that an event of a stream tells, or None.

    >>> find_event_version(b'versions: 3\\nid: 7\\ndata: x')
    3
    """
    first, _, _ = event.partition(b'\n')
    name, _, value = first.partition(b':')
    if name.strip().lower() != names.VERSION.encode():
        return None
    return read_whole(value.decode('latin-1'))
