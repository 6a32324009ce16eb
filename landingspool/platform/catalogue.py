"""Decodes the records of operators and targets in the platform's store."""

import ipaddress
import json
import typing

import msgspec

from landingspool.decisions.gateway import cold_targets
from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import order_claims
from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import rollouts
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import software_history
from landingspool import http
from landingspool.platform import names

# Kinds of routes whose name on the wire differs from the internal one.
ROUTE_KINDS = {'streaming': routes.STREAM}
DEFAULT_TIMEOUT_MS = 30_000
# Bounds for the record of a target; a record beyond them was not written by a
# target.  Slots and version numbers of this size are far above those of any
# deployment; times end with the year 2100.
MAX_NUMBER = 1_000_000
MAX_COLD_MS = 3_600_000
MAX_BORN_MS = 4_102_444_800_000
MAX_TEXT_CHARS = 256
# Milliseconds by which the times of day of two boxes usually differ at most.
MAX_CLOCK_ERROR_MS = 1000
# Milliseconds that count as passed if the time of day of a record can't be
# right: more than any bound.
UNKNOWN_SINCE_MS = 24 * 3600 * 1000
# Exceptions that decoding an arbitrary record may raise.
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)

Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Text = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_CHARS)
]

MAX_PAIRS = 1000
Pairs = typing.Annotated[
    list[tuple[str, str]], msgspec.Meta(max_length=MAX_PAIRS)
]


class Malformed(Exception):
    """A record can't be decoded; the text names key and field."""


def read_table(value):
    """Decode a published configuration table.

    Returns
    -------
    routes.Table

    Raises
    ------
    Malformed
    """
    try:
        table = json.loads(value)
        tenants = table.get('tenants') or ()
        return routes.make_table(
            version=int(table['version']),
            routes=[read_route(row) for row in table.get('routes') or ()],
            services=[
                read_service(row) for row in table.get('services') or ()
            ],
            keys={
                key: read_tenancy(row)
                for row in tenants
                for key in row.get('api_keys') or ()
            },
            limits=read_limits(table.get('limits') or {}),
            keyed='tenants' in table,
        )
    except DECODE_ERRORS as error:
        raise Malformed(f'{names.TABLE_KEY}: {error!r}') from error


def read_route(row):
    """Decode one route."""
    split = row.get('traffic_split') or ()
    shares = tuple(
        routes.Share(part['service'], float(part['weight'])) for part in split
    )
    if not shares:
        shares = (routes.Share(row['service'], 1.0),)
    timeout_ms = row.get('timeout_ms') or DEFAULT_TIMEOUT_MS
    return routes.Route(
        name=row['name'],
        host=row['host'].lower(),
        prefix=row['path_prefix'],
        kind=ROUTE_KINDS.get(row['kind'], row['kind']),
        timeout_s=timeout_ms / 1000,
        target_latency_s=row.get('target_latency_ms', timeout_ms) / 1000,
        priority=int(row.get('priority', 5)),
        shares=shares,
        max_attempts=int(row.get('max_attempts', 1)),
        anonymous=bool(row.get('allow_anonymous')),
        sticky=bool(row.get('session_affinity')),
        resumable=bool(row.get('resumable')),
        regions=frozenset(row.get('allowed_regions') or ()),
    )


def read_service(row):
    """Decode one service."""
    return routes.Service(
        name=row['name'],
        health_path=row.get('health_path', ''),
        max_connections=int(row.get('max_connections', 64)),
        engine=read_engine(row.get('engine')),
        context_store=read_context_store(row),
        cold=cold_targets.Bound(
            float(row.get('cold_start_s') or 0),
            float(row.get('cold_per_s') or 0),
        ),
    )


def read_engine(row):
    """Decode the engine properties of a service; None for plain services."""
    if not row:
        return None
    return routes.Engine(
        slots=int(row.get('slots', 1)),
        capacity_tokens=int(row.get('kv_capacity', 0)),
        token_bytes=int(row.get('token_kv_bytes', 0)),
        link_mbps=float(row.get('link_mbps', 0)),
        event_calls=int(row.get('max_in_flight', 1)),
        managed=bool(row.get('managed')),
    )


def read_context_store(row):
    """Decode a store of cached context; None for other services."""
    if not row.get('kv_store_addr'):
        return None
    return routes.ContextStore(
        address=row['kv_store_addr'],
        domain=row.get('zone', ''),
        capacity_tokens=int(row.get('kv_capacity', 0)),
        link_mbps=float(row.get('link_mbps', 0)),
        event_calls=int(row.get('max_in_flight', 1)),
        managed=bool(row.get('managed')),
        first_s=float(row.get('first_ms', 0)) / 1000,
    )


def read_tenancy(row):
    """Decode a workspace."""
    priority = row.get('priority')
    weight = float(row.get('weight') or 0.0)
    return routes.Tenancy(
        name=row['name'],
        priority=None if priority is None else int(priority),
        isolated=bool(row.get('isolated')),
        regions=frozenset(row.get('allowed_regions') or ()),
        weight=weight if weight > 0 else 1.0,
    )


def read_limits(row):
    """Decode the limits on requests of callers."""
    defaults = routes.Limits()
    return routes.Limits(
        header_bytes=int(row.get('max_header_bytes', defaults.header_bytes)),
        body_bytes=int(row.get('max_body_bytes', defaults.body_bytes)),
        header_s=row.get('header_timeout_ms', defaults.header_s * 1000) / 1000,
        idle_s=row.get('idle_timeout_ms', defaults.idle_s * 1000) / 1000,
    )


def read_version(value):
    """Decode a published version of weights as (model, version)."""
    try:
        row = json.loads(value)
        return row['model'], int(row['version'])
    except DECODE_ERRORS as error:
        raise Malformed(f'{names.VERSION_KEY}: {error!r}') from error


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
    born: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)] = 0
    version: typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)] = (
        ''
    )
    models: list[ModelRecord] = []


class SoftwareRecord(msgspec.Struct):
    """Record of the software versions that boxes have seen lately."""

    versions: Pairs
    moved: Pairs = []


TARGET_DECODER = msgspec.json.Decoder(TargetRecord)
SOFTWARE_DECODER = msgspec.json.Decoder(SoftwareRecord)


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
    Malformed
        If the bytes are not a valid record.
    """
    try:
        row = TARGET_DECODER.decode(value)
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
    except DECODE_ERRORS as error:
        raise Malformed(
            f'target {target[:MAX_TEXT_CHARS]}: {error!r}'
        ) from error


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
    address = http.parse_address(text)
    if address is None or not 0 < address.port < 65536:
        raise ValueError(f'not an address: {text!r}')
    ipaddress.IPv4Address(address.host)
    return address


def read_versions(row):
    """Decode the versions of the weights in a report, by model."""
    return {
        model['name']: int(model.get('version', 0))
        for model in row.get('models') or ()
    }


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
    Malformed
    """
    try:
        fingerprint = bytes.fromhex(key)
        return [
            peer_digests.CrashNotice(
                fingerprint,
                int(incarnation),
                max(int(wall_s * 1000) - int(at), 0),
            )
            for incarnation, at in json.loads(value)
        ]
    except DECODE_ERRORS as error:
        raise Malformed(f'endings: {error!r}') from error


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
    Malformed
    """
    try:
        row = SOFTWARE_DECODER.decode(value)
    except DECODE_ERRORS as error:
        raise Malformed(f'{names.SOFTWARE_KEY}: {error!r}') from error
    return software_history.Summary(
        frozenset(row.versions), frozenset(row.moved)
    )


def write_claim(holder, loading, versions=(), wall_s=0.0, given=()):
    """Encode a claim to the right to send orders.

    Parameters
    ----------
    versions : iterable of peer_digests.VersionNotice
    wall_s : float
        Unix time in seconds, from which readers compute the ages.
    given : iterable of rollouts.Given
    """
    newest = sorted(given, key=lambda order: order.age_ms)
    row = {
        'holder': holder,
        'loading': loading,
        'versions': [list(notice) for notice in versions],
        'at_ms': int(wall_s * 1000),
        'orders': [list(order) for order in newest[: rollouts.MAX_GIVEN]],
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
    """Decode a claim; its offset in the log is the fence of its orders.

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
    """
    try:
        row = json.loads(value)
        at_ms = int(row.get('at_ms', 0))
        since_ms = measure_since_ms(at_ms, wall_s)
        versions = tuple(
            peer_digests.VersionNotice(
                str(model),
                int(version),
                max(int(age_ms), 0) + since_ms,
                bool(witnessed),
            )
            for model, version, age_ms, witnessed in row.get('versions', ())
        )
        return order_claims.Claim(
            row['holder'],
            offset,
            dict(row['loading']),
            versions,
            # An earlier build does not tell when it wrote.
            since_ms / 1000 if at_ms else 0.0,
            read_given(row),
        )
    except DECODE_ERRORS as error:
        raise Malformed(f'claim: {error!r}') from error


def read_given(row):
    """Decode the orders in a claim; an earlier build names none.

    >>> read_given({'orders': [['t', 'm', 2, 500]]})
    (Given(target='t', model='m', version=2, age_ms=500),)
    """
    return tuple(
        rollouts.Given(
            str(target), str(model), int(version), max(int(age_ms), 0)
        )
        for target, model, version, age_ms in row.get('orders', ())
    )[: rollouts.MAX_GIVEN]
