"""Writes the head of a request that goes on to a target.

What the system says itself never mixes with what the caller sent: a
caller's own values of such headers would steer memory, rank or identity.
"""

import typing

from landingspool.platform import names

# Milliseconds taken off the time handed on: the answer has to travel back.
TRAVEL_MS = 5
# A target's rank for urgency goes from 0 to 9.
LEAST_URGENT = 9


class Instructions(typing.NamedTuple):
    """What the system tells the target that gets a request.

    Attributes
    ----------
    target : str
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

    target: str
    left_s: float
    workspace: str = ''
    priority: int | None = None
    version: int | None = None
    space: str = ''
    fetch: tuple = ()
    save: tuple = ()
    until_ms: float | None = None
    after_event: str = ''


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
    rows = [(names.TIME_LEFT, str(left_ms)), (names.ONLY_TARGET, told.target)]
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
