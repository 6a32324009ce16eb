"""A request as the decisions see it, and where it is to go."""

import typing

from landingspool.decisions.gateway import choice
from landingspool.decisions.gateway import fleet as fleet_module
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import transfers


class Work(typing.NamedTuple):
    """One request as the decisions see it."""

    name: str
    route: routes.Route
    service: str
    tenancy: routes.Tenancy | None
    prompt: prompts.Prompt | None


class Plan(typing.NamedTuple):
    """Where a request goes, with what decided it.

    Attributes
    ----------
    entry : fleet.Entry
    expected_s : float
        Rank of the target: the expected seconds to its first byte.
    wait_s : float
        The part of it that is spent behind other requests.
    cached : int
        Tokens of the prompt believed to be kept there.
    read_tokens : int
        Prompt tokens that the target has to read.
    candidates : int
        Targets that might have been chosen.
    version : int or None
        Of the weights that the request needs; None: whichever is there.
    space : str
        Namespace of its kept context; empty where it has no prompt.
    transfer : transfers.Transfer
    pressure : float
        How short targets are: the requests at all candidates by the places
        that these have, or how late they answer, by what is aimed at.
    all_limited : bool
        Whether all targets that it might go to name limits.
    held : choice.Held
        Memory that requests hold at all candidates.
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
    held: choice.Held = choice.Held(0.0, 0.0)
    all_limited: bool = False


def count_held(work):
    """Count the tokens of memory that a request takes in the end."""
    return work.prompt.tokens_in + work.prompt.tokens_out


def weigh_candidates(candidates, work, held):
    """Let a request bear a wait for memory as far as it needs memory."""
    if work.prompt is None:
        return candidates
    weight = choice.weigh_memory(count_held(work), held)
    return [c._replace(weight=weight) for c in candidates]
