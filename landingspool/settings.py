"""Settings of the daemon, read from TOML and checked before it starts.

All errors of a file are reported together, each with the file, the key, the
value found and the value expected, so that an operator can correct them at
once.
"""

import ipaddress
import pathlib
import tomllib
import typing
from typing import Annotated

import msgspec

from landingspool.decisions import admission
from landingspool.decisions import fairness
from landingspool.decisions import retention
from landingspool.decisions import routing
from landingspool import http

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Routing = typing.Literal[tuple(routing.POLICIES)]
Charge = typing.Literal[tuple(fairness.CHARGES)]
Retention = typing.Literal[tuple(retention.POLICIES)]
Admission = typing.Literal[tuple(admission.POLICIES)]
Secret = Annotated[str, msgspec.Meta(min_length=16)]


class Error(typing.NamedTuple):
    """One error in a settings file."""

    file: str
    key: str
    value: object
    text: str


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address to listen on or to connect to; `host` is an IP address."""

    host: str
    port: Port


class Box(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity of this box."""

    name: Name
    domain: Name


class Callers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Server for callers and limits of their requests."""

    host: str
    port: Port
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 4 * 1024 * 1024
    default_deadline_s: Positive = 60.0
    max_deadline_s: Positive = 600.0


class Operators(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Server for operators."""

    host: str
    port: Port
    key: Secret


class Links(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Links between boxes; `queue` is in messages."""

    host: str
    port: Port
    secret: Secret
    queue: Annotated[int, msgspec.Meta(ge=16, le=65536)] = 1024


class Platform(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform's services."""

    log: Endpoint
    live: Endpoint
    weights: Endpoint


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Policies of scheduling, routing and retention, and their parameters."""

    routing: Routing = 'earliest'
    charge: Charge = 'reserve'
    retention: Retention = 'value'
    admission: Admission = 'estimate'
    backlog_s: Annotated[float, msgspec.Meta(ge=0)] = 0.8
    link_price_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    claim_window_s: Positive = 300.0
    decision_age_s: Positive = 1.0
    grant_lease_s: Positive = 15.0
    report_period_s: Positive = 0.25
    seed: int = 1


class Logs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Format and level of the log."""

    format: typing.Literal['text', 'json'] = 'text'
    level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one daemon."""

    box: Box
    callers: Callers
    operators: Operators
    links: Links
    platform: Platform
    policy: Policy = Policy()
    logs: Logs = Logs()


def load(path):
    """Read and check a settings file.

    Parameters
    ----------
    path : str or pathlib.Path

    Returns
    -------
    tuple of (Settings or None, list of Error)
        Settings are None if there is an error.
    """
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text())
    except OSError as error:
        return None, [Error(str(path), '-', None, error.strerror)]
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return None, [Error(str(path), '-', None, f'not TOML: {error}')]
    return check(raw, str(path))


def check(raw, file='-'):
    """Check a decoded settings file; see `load` for the result."""
    errors = list(check_section_names(raw, file))
    parts = {}
    for field in msgspec.structs.fields(Settings):
        section, found = check_section(field, raw, file)
        errors += found
        parts[field.name] = section
    if errors:
        return None, errors
    return Settings(**parts), []


def check_section_names(raw, file):
    """Yield an error for each unknown section."""
    known = {field.name for field in msgspec.structs.fields(Settings)}
    for name in raw:
        if name not in known:
            expected = ', '.join(sorted(known))
            yield Error(file, name, '...', f'expected one of {expected}')


def check_section(field, raw, file):
    """Check one section key by key, so that all its errors are found."""
    kind = field.type
    if field.name not in raw:
        if field.default is not msgspec.NODEFAULT:
            return field.default, []
        return None, [Error(file, field.name, None, 'section is missing')]
    section = raw[field.name]
    if not isinstance(section, dict):
        return None, [Error(file, field.name, section, 'expected a section')]
    errors = list(check_keys(kind, section, field.name, file))
    if errors:
        return None, errors
    return msgspec.convert(section, kind), []


def check_keys(kind, section, name, file):
    """Yield the errors of the keys of one section."""
    known = {field.name: field for field in msgspec.structs.fields(kind)}
    for key in section:
        if key not in known:
            expected = ', '.join(known)
            text = f'unknown key, expected one of {expected}'
            yield Error(file, f'{name}.{key}', section[key], text)
    for key, field in known.items():
        value = section.get(key)
        if key not in section:
            if field.required:
                yield Error(file, f'{name}.{key}', None, 'key is missing')
            continue
        try:
            found = msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            yield Error(file, f'{name}.{key}', value, str(error))
            continue
        yield from check_host(key, found, f'{name}.{key}', file)


def check_host(key, value, name, file):
    """Yield an error if a host is not an IP address."""
    host = value.host if isinstance(value, Endpoint) else value
    if key != 'host' and not isinstance(value, Endpoint):
        return
    try:
        ipaddress.ip_address(host)
    except ValueError:
        yield Error(file, name, host, 'expected an IP address')


def format_error(error):
    """Return one line of text for an error.

    >>> format_error(Error('a.toml', 'box.name', 'X', 'expected a name'))
    "a.toml: box.name = 'X': expected a name"
    """
    shown = '' if error.value is None else f' = {error.value!r}'
    return f'{error.file}: {error.key}{shown}: {error.text}'


def make_address(endpoint):
    """Return the Address of an Endpoint or section with host and port."""
    return http.Address(endpoint.host, endpoint.port)
