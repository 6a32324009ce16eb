"""Writes the head of a request that is relayed to a target.

Headers that the system sets are never taken from the caller: the caller's
values would control memory, priority or identity.
"""

import typing

from landingspool.platform import names

# Milliseconds taken off the time left, since the answer has to travel back.
RETURN_MARGIN_MS = 5
# Headers of a caller that a target doesn't receive.
DROPPED_HEADERS = names.HOP_HEADERS | names.OWN_HEADERS
# Priorities at a target go from 0, the most urgent, to 9.
LEAST_URGENT = 9


class Instructions(typing.NamedTuple):
    """Instructions of the system to the target that receives a request.

    Attributes
    ----------
    target : str
        Id of the target that may execute the request.
    left_s : float
        Seconds that are left for the request.
    workspace : str
        Empty if the request has none.
    priority : int or None
    version : int or None
        Version of the weights that the target must have.
    space : str
        Namespace of the cached context; empty for plain services.
    fetch, save : tuple of str
        Address of a store for each part of the prompt, or an empty text.
    until_ms : float or None
        Time on the targets' clock at which an unfinished transfer is
        discarded.
    after_event : str
        Id of the last event that the caller has; empty if none.
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
    """Return the headers that a target receives for a call.

    Returns
    -------
    list of tuple of bytes
    """
    kept = keep_headers(call, instructions.after_event, DROPPED_HEADERS)
    kept += write_length(call, body_length)
    return kept + write_instructions(call, instructions)


def write_forwarded_head(call, left_s, after_event, body_length):
    """Return the headers with which a call is forwarded to another box.

    That box checks the caller's key and sets the headers for the target.

    Parameters
    ----------
    left_s : float
        Seconds in which the other box is to answer.
    after_event : str
        Id of the last event that the caller has; empty if none.

    Returns
    -------
    list of tuple of bytes
    """
    kept = keep_headers(
        call, after_event, DROPPED_HEADERS - {names.AUTHORIZATION}
    )
    rows = [(names.TIME_LEFT, write_time_left(left_s))]
    if after_event:
        rows.append((names.LAST_EVENT, after_event))
    return kept + write_length(call, body_length) + encode_rows(rows)


def keep_headers(call, after_event, dropped):
    """Return the headers of a caller that are relayed.

    Parameters
    ----------
    after_event : str
        Id of an event that replaces the one that the caller named, if any.
    dropped : frozenset of str
        Names of headers that are not relayed.
    """
    named = list_connection_names(call.headers) | dropped
    if after_event:
        named.add(names.LAST_EVENT)
    return [
        (name, value)
        for name, value in call.headers
        if name.decode('latin-1') not in named
    ]


def write_length(call, body_length):
    """Return the header of the body's length, if there is a body."""
    if has_body(call) or body_length:
        return [(b'content-length', str(body_length).encode())]
    return []


def has_body(call):
    """Return whether the call has a body, even an empty one."""
    present = {name for name, _ in call.headers}
    return b'content-length' in present or b'transfer-encoding' in present


def list_connection_names(headers):
    """List the droppable headers that the caller's `Connection` names."""
    named = set()
    for name, value in headers:
        if name == b'connection':
            parts = value.decode('latin-1').lower().split(',')
            named.update(part.strip() for part in parts)
    # Naming them in `Connection` must not drop these headers.
    return named - {names.REQUEST_ID, 'host', names.MODEL, names.PARTS}


def write_instructions(call, instructions):
    """Return the headers that the system sets."""
    rows = [
        (names.TIME_LEFT, write_time_left(instructions.left_s)),
        (names.ONLY_TARGET, instructions.target),
    ]
    if instructions.workspace:
        rows.append((names.WORKSPACE, instructions.workspace))
    if instructions.after_event:
        rows.append((names.LAST_EVENT, instructions.after_event))
    if instructions.space:
        rows.append((names.SPACE, instructions.space))
    if call.prompt is not None:
        rows += write_engine_rows(instructions)
    return encode_rows(rows)


def write_time_left(left_s):
    """Return the header value for the seconds left, less the way back.

    >>> write_time_left(1.5), write_time_left(0.0)
    ('1495', '1')
    """
    return str(max(int(left_s * 1000) - RETURN_MARGIN_MS, 1))


def encode_rows(rows):
    """Return headers of texts as headers of bytes."""
    return [(name.encode(), value.encode('latin-1')) for name, value in rows]


def write_engine_rows(instructions):
    """Return the headers for model engines."""
    rows = []
    if instructions.priority is not None:
        urgency = min(max(instructions.priority, 0), LEAST_URGENT)
        rows.append((names.URGENCY, str(urgency)))
    if instructions.version is not None:
        rows.append((names.ONLY_VERSION, str(instructions.version)))
    if any(instructions.fetch):
        rows.append((names.FETCH_FROM, write_addresses(instructions.fetch)))
        if instructions.until_ms is not None:
            rows.append((names.FETCH_UNTIL, str(int(instructions.until_ms))))
    if any(instructions.save):
        rows.append((names.SAVE_TO, write_addresses(instructions.save)))
    return rows


def write_addresses(addresses):
    """Join the addresses, one for each part of the prompt.

    >>> write_addresses(('a:1', '', 'b:2'))
    'a:1,-,b:2'
    """
    return ','.join(address or '-' for address in addresses)
