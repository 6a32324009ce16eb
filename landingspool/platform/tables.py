"""Decodes the configuration that operators write to the platform's store."""

import typing

import msgspec

from landingspool.decisions import decoding
from landingspool.decisions.gateway import cold_targets
from landingspool.decisions.gateway import routes
from landingspool import http
from landingspool.platform import catalogue
from landingspool.platform import names

# Kinds of routes whose name on the wire differs from the internal one.
ROUTE_KINDS = {'streaming': routes.STREAM}
DEFAULT_TIMEOUT_MS = 30_000

# Milliseconds of a time-out.
Timeout = typing.Annotated[
    float, msgspec.Meta(ge=0, le=decoding.MAX_MILLISECONDS)
]


class ShareRow(msgspec.Struct):
    """A service's part of the requests of a route."""

    service: str
    weight: decoding.Figure


class RouteRow(msgspec.Struct):
    """A route as operators write it."""

    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    traffic_split: list[ShareRow] | None = None
    timeout_ms: Timeout | None = None
    target_latency_ms: Timeout | None = None
    priority: catalogue.Number | None = None
    max_attempts: catalogue.Number | None = None
    allow_anonymous: bool | None = None
    session_affinity: bool | None = None
    resumable: bool | None = None
    allowed_regions: list[str] | None = None


class EngineRow(msgspec.Struct):
    """The properties of an engine as operators write them."""

    slots: catalogue.Number | None = None
    kv_capacity: decoding.Count | None = None
    token_kv_bytes: decoding.Count | None = None
    link_mbps: decoding.Figure | None = None
    max_in_flight: catalogue.Number | None = None
    managed: bool | None = None


class ServiceRow(msgspec.Struct):
    """A service as operators write it.

    The address of a store is checked on its own: a service at an odd address
    must not keep a configuration from being put in force.
    """

    name: str
    health_path: str | None = None
    max_connections: catalogue.Number | None = None
    cold_start_s: decoding.Figure | None = None
    cold_per_s: decoding.Figure | None = None
    engine: dict[str, typing.Any] | None = None
    kv_store_addr: typing.Any = None
    zone: str | None = None
    kv_capacity: decoding.Count | None = None
    link_mbps: decoding.Figure | None = None
    max_in_flight: catalogue.Number | None = None
    managed: bool | None = None
    first_ms: Timeout | None = None


class TenancyRow(msgspec.Struct):
    """A workspace as operators write it."""

    name: str
    api_keys: list[str] | None = None
    priority: catalogue.Number | None = None
    isolated: bool | None = None
    allowed_regions: list[str] | None = None
    weight: (
        typing.Annotated[
            float,
            msgspec.Meta(ge=-decoding.MAX_FIGURE, le=decoding.MAX_FIGURE),
        ]
        | None
    ) = None


class LimitsRow(msgspec.Struct):
    """The limits on requests of callers as operators write them."""

    max_header_bytes: decoding.Count | None = None
    max_body_bytes: decoding.Count | None = None
    header_timeout_ms: Timeout | None = None
    idle_timeout_ms: Timeout | None = None


class TableRecord(msgspec.Struct):
    """A configuration as operators write it; unknown fields are ignored.

    A field that is null counts as absent, except that `tenants` then say that
    requests need a key.
    """

    version: decoding.Count
    routes: list[RouteRow] | None = None
    services: list[ServiceRow] | None = None
    tenants: list[TenancyRow] | None | msgspec.UnsetType = msgspec.UNSET
    limits: LimitsRow | None = None


# catalogue.Numbers and flags may be written as texts.
TABLE_DECODER = msgspec.json.Decoder(TableRecord, strict=False)


def read_table(value):
    """Decode a published configuration table.

    A store of cached context at an odd address is left out, and named in
    `passed_over`: the callers of all services need the routes and the keys,
    while engines without the store compute what it would have held.

    Returns
    -------
    routes.Table

    Raises
    ------
    decoding.Malformed
    """
    return decoding.decode(names.TABLE_KEY, decode_table, value)


def decode_table(value):
    """Decode a published configuration table."""
    record = TABLE_DECODER.decode(value)
    services = record.services or []
    tenants = record.tenants or []
    table = routes.make_table(
        version=record.version,
        routes=[make_route(row) for row in record.routes or ()],
        services=[make_service(row) for row in services],
        keys={
            key: make_tenancy(row)
            for row in tenants
            for key in row.api_keys or ()
        },
        limits=make_limits(record.limits or LimitsRow()),
        keyed=record.tenants is not msgspec.UNSET,
        isolated=frozenset(row.name for row in tenants if row.isolated),
    )
    return table._replace(passed_over=list_odd_stores(services))


def list_odd_stores(rows):
    """List the services whose store has an odd address, for the log."""
    return tuple(
        f'service {decoding.shorten(row.name)}: no address of a store'
        for row in rows
        if row.kv_store_addr and http.parse_address(row.kv_store_addr) is None
    )


def get_given(value, default):
    """Return a value that may be absent."""
    return default if value is None else value


def make_route(row):
    """Return one route."""
    shares = tuple(
        routes.Share(part.service, part.weight)
        for part in row.traffic_split or ()
    )
    if not shares:
        shares = (make_only_share(row),)
    timeout_ms = row.timeout_ms or DEFAULT_TIMEOUT_MS
    return routes.Route(
        name=row.name,
        host=row.host.lower(),
        prefix=row.path_prefix,
        kind=ROUTE_KINDS.get(row.kind, row.kind),
        timeout_s=timeout_ms / 1000,
        target_latency_s=get_given(row.target_latency_ms, timeout_ms) / 1000,
        priority=get_given(row.priority, 5),
        shares=shares,
        max_attempts=get_given(row.max_attempts, 1),
        anonymous=bool(row.allow_anonymous),
        sticky=bool(row.session_affinity),
        resumable=bool(row.resumable),
        regions=frozenset(row.allowed_regions or ()),
    )


def make_only_share(row):
    """Return the share of a route's only service.

    Raises
    ------
    ValueError
        If the route names none.
    """
    if row.service is None:
        raise ValueError(f'route {row.name!r} names no service')
    return routes.Share(row.service, 1.0)


def make_service(row):
    """Return one service."""
    return routes.Service(
        name=row.name,
        health_path=get_given(row.health_path, ''),
        max_connections=get_given(row.max_connections, 64),
        engine=make_engine(row.engine),
        context_store=make_context_store(row),
        cold=cold_targets.Bound(
            row.cold_start_s or 0.0, row.cold_per_s or 0.0
        ),
    )


def make_engine(fields):
    """Return the engine properties of a service; None for plain services."""
    if not fields:
        return None
    row = msgspec.convert(fields, EngineRow, strict=False)
    return routes.Engine(
        slots=get_given(row.slots, 1),
        capacity_tokens=row.kv_capacity or 0,
        token_bytes=row.token_kv_bytes or 0,
        link_mbps=row.link_mbps or 0.0,
        event_calls=get_given(row.max_in_flight, 1),
        managed=bool(row.managed),
    )


def make_context_store(row):
    """Return a store of cached context; None for other services."""
    if http.parse_address(row.kv_store_addr) is None:
        return None
    return routes.ContextStore(
        address=row.kv_store_addr,
        domain=row.zone or '',
        capacity_tokens=row.kv_capacity or 0,
        link_mbps=row.link_mbps or 0.0,
        event_calls=get_given(row.max_in_flight, 1),
        managed=bool(row.managed),
        first_s=(row.first_ms or 0.0) / 1000,
    )


def make_tenancy(row):
    """Return a workspace."""
    weight = row.weight or 0.0
    return routes.Tenancy(
        name=row.name,
        priority=row.priority,
        regions=frozenset(row.allowed_regions or ()),
        weight=weight if weight > 0 else 1.0,
    )


def make_limits(row):
    """Return the limits on requests of callers."""
    defaults = routes.Limits()
    header_ms = get_given(row.header_timeout_ms, defaults.header_s * 1000)
    idle_ms = get_given(row.idle_timeout_ms, defaults.idle_s * 1000)
    return routes.Limits(
        header_bytes=get_given(row.max_header_bytes, defaults.header_bytes),
        body_bytes=get_given(row.max_body_bytes, defaults.body_bytes),
        header_s=header_ms / 1000,
        idle_s=idle_ms / 1000,
    )
