"""Records that describe a request to the decisions, and its planned target."""

import typing

from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import fleet as fleet_module
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import room as room_module
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import service_figures
from landingspool.decisions.gateway import transfers


class Work(typing.NamedTuple):
    """What the decisions need to know of one request.

    `software` is the only software version whose targets may get it, since
    they have begun its stream; None if any may.
    """

    name: str
    route: routes.Route
    service: str
    tenancy: routes.Tenancy | None
    prompt: prompts.Prompt | None
    software: str | None = None

    @property
    def workspace(self):
        """Name of the workspace; empty if the request has none."""
        return '' if self.tenancy is None else self.tenancy.name


class Plan(typing.NamedTuple):
    """The target of a request, with the values that decided it.

    Attributes
    ----------
    entry : fleet.Entry
    expected_s : float
        Rank of the target: the expected seconds to its first byte, with
        penalties.
    wait_s : float
        Seconds of these that are spent behind other requests.
    cached : int
        Tokens of the prompt that the target is assumed to have cached.
    read_tokens : int
        Prompt tokens that the target has to read.
    candidates : int
        Targets among which the choice was made.
    version : int or None
        Version of the weights that the request needs; None if any will do.
    space : str
        Namespace of its cached context; empty if it has no prompt.
    transfer : transfers.Transfer
    pressure : float
        The higher of two ratios: requests at all candidates to their slots,
        and the latency of answers to the objectives.
    all_limited : bool
        Whether all targets that the request might go to advertise limits.
    held : choice.HeldMemory
        Memory that requests hold at all candidates.
    planned_at : float
        When it was made.
    room : room.Room
        Room at all candidates; empty where no account is kept.
    profile : service_figures.Profile
        What a typical target of the service does.
    spill : str
        Why it goes to another group than that of the box; empty if not.
    """

    entry: fleet_module.Entry
    expected_s: float
    wait_s: float
    cached: int
    read_tokens: int
    candidates: int
    version: int | None
    space: str
    transfer: transfers.Transfer
    pressure: float = 0.0
    held: choice.HeldMemory = choice.HeldMemory(0.0, 0.0)
    all_limited: bool = False
    planned_at: float = 0.0
    room: room_module.Room = room_module.Room()
    profile: service_figures.Profile = service_figures.PRIOR
    spill: str = ''


def count_held(work):
    """Return the tokens of memory that a request takes when it finishes."""
    return work.prompt.tokens_in + work.prompt.tokens_out


def weigh_candidates(candidates, work, held):
    """Weight the wait for memory by the memory that a request needs."""
    if work.prompt is None:
        return candidates
    weight = choice.compute_memory_weight(count_held(work), held)
    return [c._replace(weight=weight) for c in candidates]


def describe_plan(plan, table, weights_left_s=None):
    """Return the values that decided the choice of a target, for the log.

    Parameters
    ----------
    weights_left_s : float, optional
        Seconds in which a request may begin at the target; None if it lacks
        no version of the weights.
    """
    values = {
        'target': plan.entry.name,
        'expected_s': round(plan.expected_s, 4),
        'kept': plan.cached,
        'fetched': plan.transfer.tokens,
        'read': plan.read_tokens,
        'declined': plan.transfer.declined,
        'saved': sum(1 for address in plan.transfer.save if address),
        'candidates': plan.candidates,
        'weights': plan.version,
        'software': plan.entry.software,
        'table': table.version,
    }
    if plan.space:
        values['space'] = plan.space
    if plan.transfer.until_ms is not None:
        values['until_ms'] = int(plan.transfer.until_ms)
    if weights_left_s is not None:
        values['weights_left_s'] = round(weights_left_s, 2)
    return values
