"""Settings of one gateway box: addresses, peers, resources and bounds."""

import typing

from landingspool import http


class Bounds(typing.NamedTuple):
    """Bounds that the deployment sets; times are in seconds.

    Attributes
    ----------
    drain_s : float
        From the moment a target leaves until nothing new may reach it.
    grace_s : float
        From a planned stop until the process is killed.
    table_s : float
        From the publication of a table until every box uses it.
    key_s : float
        From the revocation of a key until no request with it may run.
    keys_fail_closed : bool
        Whether keys are refused while their validity can't be confirmed.
    lease_s : float
        Validity of the lease for sending orders to targets.
    version_s : float
        From the publication of new weights until no request may begin on
        older ones.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget of all boxes together: in a window of `retry_window_s`
        they may send again `retry_ratio` of the requests and `retry_slack`
        more.
    cold_over, cold_slack : float
        Requests a second that all boxes together may send a cold target:
        `cold_over` times its capacity while cold, and `cold_slack` more.
    fair_shares : bool
        Whether scarce capacity is divided fairly among the workspaces.
    contended : bool
        Whether callers compete for room at times.  They are then admitted by
        what each asks for, and wait for room or return in order.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    table_s: float = 2.0
    key_s: float = 5.0
    keys_fail_closed: bool = True
    lease_s: float = 3.0
    version_s: float = 12.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    cold_over: float = 1.5
    cold_slack: float = 5.0
    fair_shares: bool = False
    contended: bool = False


class Deployment(typing.NamedTuple):
    """Settings of one box.

    Attributes
    ----------
    box : str
        Name of the box.
    domain : str
        Its failure domain.
    callers, readiness, links : http.Address
        Addresses for callers, the balancer and the peers; `links` may be
        None: the box has no peers.
    seeds : tuple of http.Address
        The `links` of some peers, possibly stale.
    store : http.Address
        The platform's store.
    bounds : Bounds
    memory_bytes : int
        Memory that the process may use.
    caller_bytes : int or None
        What callers can make the process hold; None: a part of its memory.
    descriptors : int
        File descriptors that the process may use.
    link_mbps : float
        Bandwidth of the box's network link, Mbit/s; 0 if unknown.
    first_start : bool
        Whether the whole system starts for the first time, so that no peer
        can be known yet.
    regions : dict of str to str
        The region of each failure domain.
    forwarding : http.Address or None
        Address for requests that peers forward; None: none are taken.
    """

    box: str
    domain: str
    callers: http.Address
    readiness: http.Address
    links: http.Address | None
    seeds: tuple
    store: http.Address
    bounds: Bounds = Bounds()
    memory_bytes: int = 256 * 1024 * 1024
    descriptors: int = 1024
    link_mbps: float = 0.0
    first_start: bool = False
    regions: dict = {}
    forwarding: http.Address | None = None
    caller_bytes: int | None = None
