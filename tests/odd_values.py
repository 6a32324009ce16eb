"""Values that another writer may have put where a record is expected."""

import json
import math
import typing

from landingspool.decisions import decoding
from landingspool import http

# Depth beyond what any decoder takes.
DEPTH = 100_000
DEEP = '[' * DEPTH + ']' * DEPTH
# JSON texts by name, to replace one field of a sound record.
FIELDS = {
    'deep': DEEP,
    'long': '9' * 400,
    'longer': '9' * 5000,
    'infinite': '1e999',
    'infinity': 'Infinity',
    'not_a_number': 'NaN',
    'negative': '-99999999999999999999',
    'null': 'null',
    'text': '"x"',
    'surrogate': '"\\udcff"',
    'empty': '""',
    'list': '[]',
    'row': '[1]',
    'object': '{}',
    'true': 'true',
}
# The same in the place of a whole record.
RECORDS = {
    'nothing': b'',
    'not_json': b'{',
    'not_utf8': b'\xff\xfe',
    'field_not_utf8': b'{"version": "\xff"}',
    **{name: text.encode() for name, text in FIELDS.items()},
}
MARK = '"the field"'
UNKNOWN = 'a field of a later release'
# Bound of the text of an error, which goes to the log.
MAX_REASON_CHARS = 600


class Peer:
    """Answers each call with the same bytes."""

    def __init__(self, body, status=200):
        self._reply = http.Response(status, {}, body)

    async def fetch(self, *args, **options):
        """Answer."""
        return self._reply

    def begin_call(self, address):
        """Take no notice."""

    def take_answer(self, called, notices):
        """Take no notice."""

    def record_malformed(self, address, subject, reason):
        """Take no notice."""


class Case(typing.NamedTuple):
    """An odd record, and what is odd in it."""

    name: str
    value: bytes


def list_cases(row):
    """List the odd records that a sound one gives, one odd field each.

    Parameters
    ----------
    row : object
        The sound record as JSON values.
    """
    cases = [Case(name, value) for name, value in RECORDS.items()]
    for path in list_paths(row):
        cases += list_replaced(row, path)
    if isinstance(row, dict):
        cases += list_replaced({**row, UNKNOWN: None}, (UNKNOWN,))
    return cases


def list_replaced(row, path):
    """List the records with an odd value in the place of one field."""
    place = '.'.join(map(str, path))
    text = json.dumps(replace(row, path, json.loads(MARK)))
    return [
        Case(f'{place} {name}', text.replace(MARK, odd).encode())
        for name, odd in FIELDS.items()
    ]


def list_paths(value):
    """List the paths of all values within one."""
    rows = []
    if isinstance(value, dict):
        rows = value.items()
    elif isinstance(value, list):
        rows = enumerate(value)
    found = []
    for key, inner in rows:
        found.append((key,))
        found += [(key, *path) for path in list_paths(inner)]
    return found


def replace(value, path, new):
    """Return a value with another one at a path within it."""
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace(copy[path[0]], path[1:], new)
    return copy


async def list_failures(row, decode):
    """List the odd records that are neither refused nor usable.

    Parameters
    ----------
    row : object
        The sound record as JSON values.
    decode : coroutine function
        Decodes bytes; raises decoding.Malformed or returns what it found.
    """
    failures = []
    for case in list_cases(row):
        try:
            found = await decode(case.value)
        except decoding.Malformed as error:
            if len(str(error)) > MAX_REASON_CHARS:
                failures.append((case.name, 'a long reason'))
            continue
        except Exception as error:
            failures.append((case.name, type(error).__name__))
            continue
        unbounded = find_unbounded(found)
        if unbounded is not None:
            failures.append((case.name, str(unbounded)[:20]))
    return failures


def make_async(call):
    """Return a coroutine function for a plain decoder."""

    async def decode(value):
        return call(value)

    return decode


def find_unbounded(value):
    """Return the first number of a decoded record that can't be used, or None.

    It can't be computed with unless it is finite and fits into 64 bits.
    """
    if isinstance(value, float):
        return None if math.isfinite(value) else value
    if isinstance(value, int):
        return None if -(2**63) <= value < 2**64 else value
    if isinstance(value, dict):
        inner = (*value, *value.values())
    elif isinstance(value, (tuple, list, set, frozenset)):
        inner = value
    else:
        inner = vars(value).values() if hasattr(value, '__dict__') else ()
    found = (find_unbounded(row) for row in inner)
    return next((row for row in found if row is not None), None)
