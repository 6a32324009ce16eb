"""Settings of a deployment for the schedulers of its pools."""

import typing


class Policy(typing.NamedTuple):
    """Scheduler settings of a deployment.

    Attributes
    ----------
    routing : str
        Name of a policy in `routing`.
    charge : str
        Name of a way of charging in `fairness`.
    link_price_s : float
        Seconds added to the expected fetch time of each block, to account
        for the load on the link.
    grant_lease_s : float
        Seconds after which a grant that is not renewed is taken back.
    decision_age_s : float
        Seconds after a grant within which it may be used.
    seed : int
        Seed of the random choices.
    admission : str
        Name of a policy in `admission`.
    backlog_s : float
        Maximum seconds of prefill that may wait at a target; 0 for no bound.
    """

    routing: str = 'earliest'
    charge: str = 'reserve'
    link_price_s: float = 0.0
    grant_lease_s: float = 15.0
    decision_age_s: float = 1.0
    seed: int = 1
    admission: str = 'estimate'
    backlog_s: float = 0.0
