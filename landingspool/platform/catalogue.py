"""Decodes what operators and targets keep in the platform's store."""

import json

from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import rollouts
from landingspool.decisions.gateway import routes
from landingspool.platform import boot
from landingspool.platform import names

# The wire's word for a stream of events; the others are the product's own.
KINDS = {'streaming': routes.STREAM}
DEFAULT_TIMEOUT_MS = 30_000


class Malformed(Exception):
    """A record that can't be read; the text names key and field."""


def read_table(value):
    """Decode a published configuration.

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
    except (ValueError, KeyError, TypeError, AttributeError) as error:
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
        kind=KINDS.get(row['kind'], row['kind']),
        timeout_s=timeout_ms / 1000,
        target_latency_s=row.get('target_latency_ms', timeout_ms) / 1000,
        priority=int(row.get('priority', 5)),
        shares=shares,
        max_attempts=int(row.get('max_attempts', 1)),
        anonymous=bool(row.get('allow_anonymous')),
        sticky=bool(row.get('session_affinity')),
        resumable=bool(row.get('resumable')),
    )


def read_service(row):
    """Decode one service."""
    return routes.Service(
        name=row['name'],
        health_path=row.get('health_path', ''),
        max_connections=int(row.get('max_connections', 64)),
        engine=read_engine(row.get('engine')),
        keeper=read_keeper(row),
    )


def read_engine(row):
    """Decode what the engines of a service can do; None for plain ones."""
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


def read_keeper(row):
    """Decode a store of kept context; None for other services."""
    if not row.get('kv_store_addr'):
        return None
    return routes.Keeper(
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
    return routes.Tenancy(
        name=row['name'],
        priority=None if priority is None else int(priority),
        isolated=bool(row.get('isolated')),
    )


def read_limits(row):
    """Decode what callers may send."""
    usual = routes.Limits()
    return routes.Limits(
        header_bytes=int(row.get('max_header_bytes', usual.header_bytes)),
        body_bytes=int(row.get('max_body_bytes', usual.body_bytes)),
        header_s=row.get('header_timeout_ms', usual.header_s * 1000) / 1000,
        idle_s=row.get('idle_timeout_ms', usual.idle_s * 1000) / 1000,
    )


def read_version(value):
    """Decode a named version of weights; returns (model, version)."""
    try:
        row = json.loads(value)
        return row['model'], int(row['version'])
    except (ValueError, KeyError, TypeError) as error:
        raise Malformed(f'{names.VERSION_KEY}: {error!r}') from error


def read_entry(name, value):
    """Decode what a target says of itself.

    Returns
    -------
    fleet.Entry
    """
    try:
        row = json.loads(value)
        return fleet.Entry(
            name=name,
            service=row['service'],
            address=tuple(boot.parse_address(row['address'])),
            domain=row.get('zone', ''),
            state=row['state'],
            slots=int(row.get('slots', 1)),
            versions=read_versions(row),
            cold_s=row.get('cold_remaining_ms', 0) / 1000,
        )
    except (ValueError, KeyError, TypeError) as error:
        raise Malformed(f'target {name}: {error!r}') from error


def read_versions(row):
    """Decode the versions of the weights that a target has, by model."""
    return {
        model['name']: int(model.get('version', 0))
        for model in row.get('models') or ()
    }


def write_claim(holder, loading):
    """Encode a claim to give orders."""
    return json.dumps({'holder': holder, 'loading': loading}).encode()


def read_claim(value, offset):
    """Decode a claim; its offset is the fence of its orders."""
    try:
        row = json.loads(value)
        return rollouts.Claim(row['holder'], offset, dict(row['loading']))
    except (ValueError, KeyError, TypeError) as error:
        raise Malformed(f'claim: {error!r}') from error
