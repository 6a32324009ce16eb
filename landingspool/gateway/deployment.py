"""Where a box runs: its addresses, its peers, the bounds it has to keep."""

import typing

from landingspool import http


class Bounds(typing.NamedTuple):
    """Times in seconds and shares that the deployment sets.

    Attributes
    ----------
    drain_s : float
        From a target's leaving until nothing new may reach it.
    grace_s : float
        From a planned stop until the process is killed.
    table_s : float
        From publishing a table until every box goes by it.
    key_s : float
        From taking a key away until no request with it may run.
    keys_fail_closed : bool
        Whether keys stop working while nobody can tell if they still hold.
    lease_s : float
        For which the right to give orders is good.
    version_s : float
        From naming new weights until no request may begin on older ones.
    retry_ratio, retry_slack, retry_window_s : float
        Repeats that all boxes together may send in a window.
    cold_over, cold_slack : float
        All boxes together may send a cold target so many times the requests
        a second that it bears, and so many more.
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


class Deployment(typing.NamedTuple):
    """One box's place.

    Attributes
    ----------
    callers, readiness, links : http.Address
        Where callers, the balancer and the other boxes reach this box.
    seeds : tuple of http.Address
        Some boxes' `links`, perhaps stale.
    store : http.Address
        The platform's store.
    memory_bytes, descriptors : int
    link_mbps : float
        Width of the box's link; 0 where nothing is said.
    regions : dict of str to str
        The region of each failure domain.
    first_start : bool
        Whether the whole system starts for the first time, so that no box
        can be known yet.
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
