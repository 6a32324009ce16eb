"""Decodes the records of targets and boxes in the platform's store.

Among them are the versions of weights that operators publish.  Their
configuration has a module of its own.
"""

import ipaddress
import json
import typing

import msgspec

from landingspool.decisions import decoding
from landingspool.decisions.gateway import ballots
from landingspool.decisions.gateway import fingerprints
from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import order_claims
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import rollouts
from landingspool.decisions.gateway import software_history
from landingspool import http
from landingspool.platform import names

# Bounds for the record of a target; a record beyond them was not written by a
# target.  Slots and version numbers of this size are far above those of any
# deployment.
MAX_NUMBER = 1_000_000
MAX_COLD_MS = 3_600_000
MAX_TEXT_CHARS = 256
# Far above the time that a target has from a claim to its order, seconds.
MAX_DELAY_S = 60.0
# Milliseconds by which the times of day of two boxes usually differ at most.
MAX_CLOCK_ERROR_MS = 1000
# Milliseconds that count as passed if the time of day of a record can't be
# right: more than any bound.
UNKNOWN_SINCE_MS = 24 * 3600 * 1000

Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Text = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_CHARS)
]
# Name of a target's incarnation: its id, which may be as long as a key, and
# the start of the incarnation.
TargetName = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=2 * MAX_TEXT_CHARS)
]
# Seconds until a target loads that a claim announces.
Delay = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DELAY_S)]

MAX_PAIRS = 1000
Pairs = typing.Annotated[
    list[tuple[str, str]], msgspec.Meta(max_length=MAX_PAIRS)
]


class VersionRecord(msgspec.Struct):
    """A published version of the weights of a model."""

    model: Text
    version: Number


class ModelRecord(msgspec.Struct):
    """A model in the record of a target, with the version of its weights."""

    name: Text
    version: Number = 0


class TargetRecord(msgspec.Struct):
    """Record that a target writes about itself, with its bounds.

    The bounds reject records of other writers, which may hold anything.

    Attributes
    ----------
    born : int
        Start of the incarnation that writes, in Unix milliseconds; 0 if the
        target does not state it.
    version : str
        Version of its software; empty if the target does not state it.
    """

    service: Text
    address: Text
    zone: Text
    state: typing.Literal['ready', 'draining']
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
    cold_remaining_ms: typing.Annotated[
        float, msgspec.Meta(ge=0, le=MAX_COLD_MS)
    ] = 0.0
    sequence: typing.Annotated[int, msgspec.Meta(ge=0)] = 0
    born: decoding.TimeMs = 0
    version: typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)] = (
        ''
    )
    models: list[ModelRecord] = []


class SoftwareRecord(msgspec.Struct):
    """Record of the software versions that boxes have seen lately."""

    versions: Pairs
    moved: Pairs = []


class ClaimRecord(msgspec.Struct):
    """Claim of a box to the right to send orders.

    An earlier build names neither versions nor orders nor a ballot, and
    doesn't tell when it wrote.

    Attributes
    ----------
    loading : dict of str to float
        Seconds until each target begins to load.
    at_ms : int
        Unix time of the writing in milliseconds; 0 if not told.
    """

    holder: Text
    loading: dict[TargetName, Delay]
    versions: list[tuple[Text, Number, decoding.Milliseconds, bool]] = []
    at_ms: decoding.TimeMs = 0
    orders: list[tuple[TargetName, Text, Number, decoding.Milliseconds]] = []
    ballot: ballots.Ballot = 0


VERSION_DECODER = msgspec.json.Decoder(VersionRecord, strict=False)
TARGET_DECODER = msgspec.json.Decoder(TargetRecord)
SOFTWARE_DECODER = msgspec.json.Decoder(SoftwareRecord)
CLAIM_DECODER = msgspec.json.Decoder(ClaimRecord)
# Hash of the incarnation, and Unix time of the crash in milliseconds.
CRASHES_DECODER = msgspec.json.Decoder(
    list[tuple[decoding.Hash, decoding.TimeMs]]
)


def read_version(value):
    """Decode a published version of weights as (model, version).

    Raises
    ------
    decoding.Malformed
    """
    row = decoding.decode(names.VERSION_KEY, VERSION_DECODER.decode, value)
    return row.model, row.version


def read_entry(target, value):
    """Decode the record of a target.

    Parameters
    ----------
    target : str
        Id of the target, which is the key of the record.
    value : bytes

    Returns
    -------
    fleet.Entry

    Raises
    ------
    decoding.Malformed
        If the bytes are not a valid record.
    """
    return decoding.decode(
        f'target {decoding.shorten(target)}',
        lambda data: make_entry(target, TARGET_DECODER.decode(data)),
        value,
    )


def make_entry(target, row):
    """Return the fleet.Entry in the record of a target.

    Raises
    ------
    ValueError
        If the id or the address can't be those of a target.
    """
    return fleet.Entry(
        name=fleet.Incarnation(check_target_id(target), row.born).name,
        service=row.service,
        address=read_address(row.address),
        domain=row.zone,
        state=row.state,
        slots=row.slots,
        versions={model.name: model.version for model in row.models},
        cold_s=row.cold_remaining_ms / 1000,
        software=row.version,
    )


def check_target_id(target):
    """Return an id if it can be part of the name of an incarnation.

    Raises
    ------
    ValueError
    """
    if (
        not target
        or fleet.INCARNATION_SEPARATOR in target
        or not target.isascii()
    ):
        raise ValueError('not a valid id of a target')
    return target


def read_address(text):
    """Decode the address of a target: an IP number, no host name.

    >>> read_address('10.0.0.1:80')
    Address(host='10.0.0.1', port=80)

    Raises
    ------
    ValueError
    """
    address = http.read_address(text)
    ipaddress.IPv4Address(address.host)
    return address


def write_crashes(notices, wall_s):
    """Encode the crashes of targets under one request.

    Parameters
    ----------
    notices : list of peer_digests.CrashNotice
    wall_s : float
        Unix time in seconds, from which readers compute the ages.
    """
    rows = [
        [notice.incarnation, int(wall_s * 1000) - notice.age_ms]
        for notice in notices
    ]
    return json.dumps(rows).encode()


def read_crashes(key, value, wall_s):
    """Decode the crashes of targets under one request as CrashNotice.

    >>> notice = peer_digests.CrashNotice(b'f', 7, 500)
    >>> read_crashes('66', write_crashes([notice], 10.0), 12.0)
    [CrashNotice(fingerprint=b'f', incarnation=7, age_ms=2500)]

    Raises
    ------
    decoding.Malformed
    """
    fingerprint = read_fingerprint(key)
    rows = decoding.decode(
        f'{names.CRASHES_KEY}{key}', CRASHES_DECODER.decode, value
    )
    now_ms = int(wall_s * 1000)
    return [
        peer_digests.CrashNotice(fingerprint, incarnation, max(now_ms - at, 0))
        for incarnation, at in rows
    ]


def read_fingerprint(key):
    """Decode the fingerprint of a request in the key of its record.

    Raises
    ------
    decoding.Malformed
    """
    return decoding.decode(
        f'{names.CRASHES_KEY}{key}', decode_fingerprint, key
    )


def decode_fingerprint(key):
    """Decode the fingerprint of a request.

    Raises
    ------
    ValueError
    """
    fingerprint = bytes.fromhex(key)
    if not 0 < len(fingerprint) <= fingerprints.MAX_KEY_BYTES:
        raise ValueError(f'{len(fingerprint)} bytes: not a fingerprint')
    return fingerprint


def write_software(summary):
    """Encode a software_history.Summary."""
    rows = {name: sorted(rows) for name, rows in summary._asdict().items()}
    return json.dumps(rows).encode()


def read_software(value):
    """Decode a software_history.Summary.

    >>> summary = software_history.Summary(frozenset([('s', 'v1')]))
    >>> read_software(write_software(summary)) == summary
    True

    Raises
    ------
    decoding.Malformed
    """
    row = decoding.decode(names.SOFTWARE_KEY, SOFTWARE_DECODER.decode, value)
    return software_history.Summary(
        frozenset(row.versions), frozenset(row.moved)
    )


def write_claim(holder, loading, versions=(), wall_s=0.0, given=(), ballot=0):
    """Encode a claim to the right to send orders.

    Parameters
    ----------
    versions : iterable of peer_digests.VersionNotice
    wall_s : float
        Unix time in seconds, from which readers compute the ages.
    given : iterable of rollouts.Given
    ballot : int
        The fence of the holder's orders.
    """
    newest = sorted(given, key=lambda order: order.age_ms)
    row = {
        'holder': holder,
        'loading': loading,
        'versions': [list(notice) for notice in versions],
        'at_ms': int(wall_s * 1000),
        'orders': [list(order) for order in newest[: rollouts.MAX_GIVEN]],
        'ballot': ballot,
    }
    return json.dumps(row).encode()


def measure_since_ms(at_ms, wall_s):
    """Return the milliseconds since a time of day of another box.

    >>> [measure_since_ms(9000, at) for at in (9.5, 8.5, 5.0)]
    [500, 0, 86400000]
    """
    since_ms = int(wall_s * 1000) - at_ms
    if since_ms < -MAX_CLOCK_ERROR_MS:
        return UNKNOWN_SINCE_MS
    return max(since_ms, 0)


def read_claim(value, offset, wall_s=0.0):
    """Decode a claim.

    The ages in it are at least those of its writing, also if the time of day
    was set back since.  If it was by more than MAX_CLOCK_ERROR_MS, nothing is
    known of the ages, and they exceed any bound.

    >>> versions = [peer_digests.VersionNotice('m', 2, 500)]
    >>> value = write_claim('b', {}, versions, 10.0)
    >>> read_claim(value, 7, 12.0).versions
    (VersionNotice(model='m', version=2, age_ms=2500, is_witnessed=True),)
    >>> read_claim(value, 7, 9.0).versions[0].age_ms
    500
    >>> read_claim(value, 7, 12.0).age_s
    2.0
    >>> read_claim(value, 7, 5.0).versions[0].age_ms
    86400500

    Raises
    ------
    decoding.Malformed
    """
    row = decoding.decode('claim', CLAIM_DECODER.decode, value)
    since_ms = measure_since_ms(row.at_ms, wall_s)
    versions = tuple(
        peer_digests.VersionNotice(
            model, version, max(age_ms, 0) + since_ms, is_witnessed
        )
        for model, version, age_ms, is_witnessed in row.versions
    )
    return order_claims.Claim(
        row.holder,
        offset,
        row.loading,
        versions,
        # An earlier build does not tell when it wrote.
        since_ms / 1000 if row.at_ms else 0.0,
        make_given(row.orders),
        row.ballot,
    )


def make_given(rows):
    """Return the orders in a claim; an earlier build names none.

    >>> make_given([('t', 'm', 2, 500)])
    (Given(target='t', model='m', version=2, age_ms=500),)
    """
    return tuple(
        rollouts.Given(target, model, version, max(age_ms, 0))
        for target, model, version, age_ms in rows[: rollouts.MAX_GIVEN]
    )
