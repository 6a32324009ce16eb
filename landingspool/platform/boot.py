"""Reads the platform's settings file into a Deployment."""

import os
import tomllib

from landingspool.gateway import deployment
from landingspool import http
from landingspool.platform import names
from landingspool import settings
from landingspool import settings_reader

MEGABYTE = 1024 * 1024
# File descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200


def find_path(environ=os.environ):
    """Return the path of the settings file; empty if none is set."""
    return environ.get(names.SETTINGS_VARIABLE, '')


def load(path):
    """Read a settings file.

    Returns
    -------
    tuple of (deployment.Deployment or None, list of settings.Error)
    """
    try:
        with open(path, 'rb') as file:
            table = tomllib.load(file)
    except (OSError, ValueError) as error:
        return None, [settings.Error(path, '', '', str(error))]
    return read(table, path)


def read(table, path):
    """Check the decoded settings and report all errors at once.

    Returns
    -------
    tuple of (deployment.Deployment or None, list of settings.Error)
    """
    reader = settings_reader.Reader(table, path)
    bounds = deployment.Bounds(
        drain_s=reader.number('bounds.drain_ms', 2000) / 1000,
        grace_s=reader.number('bounds.grace_s', 8),
        table_s=reader.number('bounds.config_ms', 2000) / 1000,
        key_s=reader.number('bounds.revoke_ms', 5000) / 1000,
        keys_fail_closed=reader.flag('bounds.revoke_fail_closed', True),
        lease_s=reader.number('bounds.lease_ms', 3000) / 1000,
        version_s=reader.number('bounds.version_ms', 12_000) / 1000,
        retry_ratio=reader.number('bounds.retry_budget_ratio', 0.2),
        retry_slack=reader.number('bounds.budget_slack', 50),
        retry_window_s=reader.number('bounds.budget_window_s', 10),
        cold_over=reader.number('bounds.cold_over', 1.5),
        cold_slack=reader.number('bounds.cold_slack', 5),
        fair_shares=names.COMPETITION in reader.names('contracts'),
        contended=names.COMPETITION in reader.names('contracts'),
    )
    links = None
    if reader.find('listen.control') is not None:
        links = reader.address('listen.control')
    caller_bytes = None
    if reader.find('limits.caller_mb') is not None:
        caller_bytes = int(reader.number('limits.caller_mb', 0) * MEGABYTE)
    seeds = reader.find('seeds') or ()
    loaded = deployment.Deployment(
        box=reader.text('node'),
        domain=reader.text('zone'),
        callers=reader.address('listen.front'),
        readiness=reader.address('listen.ready'),
        links=links,
        seeds=tuple(reader.parse('seeds', seed) for seed in seeds),
        store=reader.address('platform.address'),
        bounds=bounds,
        memory_bytes=int(reader.number('limits.memory_mb', 256) * MEGABYTE),
        descriptors=int(reader.number('limits.max_fds', 1224))
        - FILE_DESCRIPTORS,
        link_mbps=reader.number('limits.link_mbps', 0.0),
        first_start=reader.flag('bootstrap', False),
        regions=reader.texts('zones'),
        forwarding=find_forwarding_address(reader),
        caller_bytes=caller_bytes,
    )
    return (None if reader.errors else loaded), reader.errors


def find_forwarding_address(reader):
    """Return the address for forwarded requests, or None if there is none.

    It is the second of the ports that the machine may use internally, unless
    that one is used for something else.
    """
    ports = reader.ports('internal_ports')
    host = reader.find('ip')
    if len(ports) < 2 or not isinstance(host, str):
        return None
    address = http.Address(host, ports[1])
    used = (reader.find('listen') or {}).values()
    return None if f'{host}:{ports[1]}' in used else address
