"""Routes, services and keys: the configuration published for relayed requests.

A `Table` is one published version, complete and immutable.  A box holds the
newest that it has read and never returns to an older one.
"""

import typing

from landingspool.decisions.gateway import cold_targets

SAFE = 'safe'
UNSAFE = 'unsafe'
STREAM = 'stream'


class Share(typing.NamedTuple):
    """The part of a route's requests that one service gets."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where requests for a host and path prefix go, and how.

    Attributes
    ----------
    kind : str
        SAFE may run twice, UNSAFE may not, STREAM answers with events.
    timeout_s : float
        Longest time for which a request is held, in seconds.
    target_latency_s : float
        Latency objective: seconds to the answer (streams: the first event).
    priority : int
        0 is the most urgent.
    max_attempts : int
        Targets to which one request may be sent.
    sticky : bool
        Whether requests name shared parts of their prompt.
    regions : frozenset of str
        Its allowed regions; empty if it may run anywhere.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    target_latency_s: float
    priority: int
    shares: tuple
    max_attempts: int = 1
    anonymous: bool = False
    sticky: bool = False
    resumable: bool = False
    regions: frozenset = frozenset()


class Engine(typing.NamedTuple):
    """Capacity of the targets of a service of model engines.

    Attributes
    ----------
    slots : int
        Requests that one target runs at once.
    capacity_tokens : int
        Memory of one target, in tokens.
    token_bytes : int
        Bytes of cached context for one token.
    link_mbps : float
    event_calls : int
        Calls for cache events that one target holds at once.
    managed : bool
        Whether there are stores beside it that boxes write to and free.
    """

    slots: int
    capacity_tokens: int
    token_bytes: int
    link_mbps: float
    event_calls: int
    managed: bool


class ContextStore(typing.NamedTuple):
    """A store of cached context.

    `first_s` is the wait in seconds before each transfer.
    """

    address: str
    domain: str
    capacity_tokens: int
    link_mbps: float
    event_calls: int
    managed: bool
    first_s: float


class Service(typing.NamedTuple):
    """A group of equivalent targets, which may be engines or a store.

    `engine` or `context_store` is set for those kinds.  `cold` bounds the load
    of its targets after a start.
    """

    name: str
    health_path: str = ''
    max_connections: int = 64
    engine: Engine | None = None
    context_store: ContextStore | None = None
    cold: cold_targets.Bound = cold_targets.Bound()


class Tenancy(typing.NamedTuple):
    """A workspace as the routes see it.

    If `priority` is None, the route's applies.  `regions` are its allowed
    regions; empty if its requests may run anywhere.  `weight` is that of its
    share of scarce capacity.
    """

    name: str
    priority: int | None = None
    regions: frozenset = frozenset()
    weight: float = 1.0


class Limits(typing.NamedTuple):
    """Limits on what a caller may send, in bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 5.0
    idle_s: float = 15.0


class Table(typing.NamedTuple):
    """One published version.

    Attributes
    ----------
    hosts : dict of str to tuple of Route
        The routes of a host, those with the longest prefix first.
    services : dict of str to Service
    keys : dict of str to Tenancy
        By API key; empty if no key is required.
    keyed : bool
        Whether requests need a key.
    context_stores : dict of str to ContextStore
        The stores of cached context by the address that targets use.
    isolated : frozenset of str
        Names of the workspaces, also of those without a key, that share no
        cached context with others.
    passed_over : tuple of str
        What of it could not be decoded and is left out, for the log.
    """

    version: int
    hosts: dict
    services: dict
    keys: dict
    limits: Limits = Limits()
    keyed: bool = False
    context_stores: dict = {}
    isolated: frozenset = frozenset()
    passed_over: tuple = ()


def make_table(
    version, routes, services, keys, limits, keyed, isolated=frozenset()
):
    """Return the Table of one published version.

    Parameters
    ----------
    routes : iterable of Route
    services : iterable of Service
    keys : dict of str to Tenancy
    limits : Limits
    keyed : bool
        Whether requests need a key.
    isolated : frozenset of str
        Names of the workspaces that share no cached context with others.
    """
    hosts = {}
    for route in sorted(routes, key=lambda r: -len(r.prefix)):
        hosts[route.host] = (*hosts.get(route.host, ()), route)
    named = {service.name: service for service in services}
    context_stores = {
        service.context_store.address: service.context_store
        for service in named.values()
        if service.context_store is not None
    }
    return Table(
        version, hosts, named, keys, limits, keyed, context_stores, isolated
    )


def match_route(table, host, path):
    """Return the Route with the longest matching prefix, or None.

    >>> route = Route('r', 'h', '/a/', SAFE, 1, 1, 0, (Share('s', 1),))
    >>> table = make_table(1, [route], [], {}, Limits(), False)
    >>> match_route(table, 'H:80', '/a/b?c').name
    'r'
    >>> match_route(table, 'h', '/ab') is None
    True
    """
    name = host.rsplit(':', 1)[0].lower()
    bare = path.split('?', 1)[0]
    for route in table.hosts.get(name, ()):
        if bare.startswith(route.prefix):
            return route
    return None


class Standing(typing.NamedTuple):
    """What a table says of a request with some key on a route.

    Attributes
    ----------
    passes : bool
        Whether it is authorized.
    needs_proof : bool
        Whether that rests on a key, of which a newer table may say otherwise.
    tenancy : Tenancy or None
        The workspace of the key.
    """

    passes: bool
    needs_proof: bool
    tenancy: Tenancy | None = None


# What a caller presents: no credentials, the key of a workspace, or anything
# else.  Whoever presents credentials expects to be known by them: served as
# nobody, its prompts would be shared with everybody.
NO_KEY, KNOWN_KEY, OTHER_KEY = 'no key', 'known key', 'other key'
# What is asked of callers: nothing, since there are no workspaces; a known key
# if any; a known key.
UNKEYED, OPEN, CLOSED = 'unkeyed', 'open', 'closed'
STANDINGS = {
    (NO_KEY, UNKEYED): Standing(passes=True, needs_proof=False),
    (NO_KEY, OPEN): Standing(passes=True, needs_proof=False),
    (NO_KEY, CLOSED): Standing(passes=False, needs_proof=False),
    (KNOWN_KEY, OPEN): Standing(passes=True, needs_proof=True),
    (KNOWN_KEY, CLOSED): Standing(passes=True, needs_proof=True),
    (OTHER_KEY, UNKEYED): Standing(passes=True, needs_proof=False),
    (OTHER_KEY, OPEN): Standing(passes=False, needs_proof=True),
    (OTHER_KEY, CLOSED): Standing(passes=False, needs_proof=True),
}


def judge(table, route, key):
    """Return the Standing of a request.

    Parameters
    ----------
    key : str or None
        None if the caller presents no credentials; empty if they are no key.

    >>> table = make_table(1, [], [], {'k': Tenancy('w')}, Limits(), True)
    >>> route = Route('r', 'h', '/a/', SAFE, 1, 1, 0, (), anonymous=True)
    >>> judge(table, route, 'k').tenancy.name
    'w'
    >>> judge(table, route, None).passes, judge(table, route, 'x').passes
    (True, False)
    """
    tenancy = table.keys.get(key) if table.keyed and key else None
    if tenancy is not None:
        caller = KNOWN_KEY
    else:
        caller = NO_KEY if key is None else OTHER_KEY
    asked = OPEN if route.anonymous else CLOSED
    found = STANDINGS[caller, asked if table.keyed else UNKEYED]
    return found._replace(tenancy=tenancy)


def is_same_workspace(tenancy, other):
    """Return whether two requests are of one workspace, or both of none."""
    if tenancy is None or other is None:
        return tenancy is other
    return tenancy.name == other.name


def pick_service(route, rng):
    """Return a random service for one request, by the weights of the route.

    Parameters
    ----------
    rng : random.Random
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return names[0]
    return rng.choices(names, weights)[0]


def is_resumable(route):
    """Return whether a stream of the route may go on at another target."""
    return route.kind == STREAM and route.resumable


def may_repeat(route):
    """Return whether a request of the route may run more than once."""
    return route.kind == SAFE or is_resumable(route)
