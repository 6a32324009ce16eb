"""Reads the platform's settings file into a Deployment."""

import os
import tomllib

from landingspool.gateway import deployment
from landingspool import http
from landingspool.platform import names
from landingspool import settings

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
    reader = Reader(table, path)
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


class Reader:
    """Reads checked values from nested tables and collects the errors."""

    def __init__(self, table, path):
        self._table = table
        self._path = path
        self.errors = []

    def find(self, key):
        """Return the value under a dotted key, or None."""
        value = self._table
        for name in key.split('.'):
            if not isinstance(value, dict) or name not in value:
                return None
            value = value[name]
        return value

    def text(self, key):
        """Return a required text."""
        value = self.find(key)
        if isinstance(value, str) and value:
            return value
        return self._add_error(key, value, 'expected a text', '')

    def texts(self, key):
        """Return an optional table of texts; empty if absent."""
        value = self.find(key)
        if value is None:
            return {}
        if isinstance(value, dict) and all(
            isinstance(text, str) for text in value.values()
        ):
            return value
        return self._add_error(key, value, 'expected a table of texts', {})

    def names(self, key):
        """Return an optional list of texts; empty if absent."""
        value = self.find(key)
        if value is None:
            return []
        if isinstance(value, list) and all(
            isinstance(text, str) for text in value
        ):
            return value
        return self._add_error(key, value, 'expected a list of texts', [])

    def ports(self, key):
        """Return an optional range of ports; empty if absent.

        The range is a list or a text of its first and last port.  Without
        it a box serves as well, so that another form is not an error.
        """
        value = self.find(key)
        parts = value.split('-') if isinstance(value, str) else value
        try:
            first, last = (int(part) for part in parts)
        except (TypeError, ValueError):
            return range(0)
        return range(first, last + 1)

    def number(self, key, default):
        """Return a number of 0 or more; `default` if absent."""
        value = self.find(key)
        if value is None:
            return default
        number = isinstance(value, int | float) and not isinstance(value, bool)
        # Times, sizes and shares can't be negative.
        if number and value >= 0:
            return value
        return self._add_error(
            key, value, 'expected a number of 0 or more', default
        )

    def flag(self, key, default):
        """Return a boolean; `default` if absent."""
        value = self.find(key)
        if value is None:
            return default
        if isinstance(value, bool):
            return value
        return self._add_error(key, value, 'expected true or false', default)

    def address(self, key):
        """Return a required address."""
        return self.parse(key, self.find(key))

    def parse(self, key, value):
        """Return the address in a text IP:PORT; record an error otherwise."""
        address = parse_address(value)
        if address is None:
            self._add_error(key, value, 'expected IP:PORT', None)
        return address

    def _add_error(self, key, value, text, default):
        self.errors.append(settings.Error(self._path, key, value, text))
        return default


def parse_address(text):
    """Return the Address in a text IP:PORT, or None.

    >>> parse_address('10.0.0.1:80')
    Address(host='10.0.0.1', port=80)
    >>> parse_address('10.0.0.1') is None
    True
    """
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit():
        return None
    return http.Address(host, int(port))
