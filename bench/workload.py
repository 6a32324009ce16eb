"""Generates load from a seed: who asks what, and when.

Nothing here looks at a clock or at the system, so the same seed gives the
same arrivals whatever policy is measured.  Gaps of minutes to days are
compressed: one second of a run stands for COMPRESSION seconds.
"""

import functools
import math
import random
import typing

from landingspool.decisions import identity

COMPRESSION = 600
PIECE = identity.PIECE_BYTES


class Class(typing.NamedTuple):
    """A class of prompts of a workspace.

    Attributes
    ----------
    model : str
    shared, own : int
        Pieces that all its conversations share, and pieces of each.
    turns : float
        Mean number of turns of a conversation.
    gap : float
        Median gap before a turn, in seconds as the users see it.
    spread : float
        Sigma of the gap's logarithm.
    tokens : int
        Mean length of an answer.
    """

    model: str
    shared: int
    own: int
    turns: float
    gap: float
    spread: float
    tokens: int


class Tenant(typing.NamedTuple):
    """A workspace under load; `rate` is its conversations a second."""

    name: str
    weight: float
    share: float
    limit: int
    priority: int
    rate: float
    kind: Class


class Arrival(typing.NamedTuple):
    """One request to be sent at `at` seconds from the start."""

    at: float
    tenant: str
    model: str
    pieces: tuple
    tokens: int
    box: int
    name: str
    turn: int


class Peak(typing.NamedTuple):
    """A time in which the rate of all is multiplied."""

    start: float
    end: float
    factor: float


LABELS = Class('transcription', 2, 2, 3.0, 1800.0, 0.8, 12)
NAMES = Class('catalogue', 3, 1, 2.0, 3600.0, 1.0, 8)
LETTERS = Class('letters', 4, 1, 3.0, 5400.0, 1.2, 16)
RECEIPTS = Class('receipts', 2, 1, 2.0, 2400.0, 0.8, 6)


def make_tenants(main, other, rate):
    """Give ten workspaces, three of them large.

    Parameters
    ----------
    main, other : Class
    rate : float
        Conversations a second of all together.
    """
    sizes = (8, 5, 4, 1, 1, 1, 1, 1, 1, 1)
    kinds = (main, main, other, main, other, main, other, main, other, main)
    total = sum(sizes)
    return tuple(
        Tenant(
            name=f'w{index}',
            weight=float(1 + size // 3),
            share=round(0.9 * size / total, 3),
            limit=64,
            priority=2 if index == 0 else 1,
            rate=rate * size / total,
            kind=kind,
        )
        for index, (size, kind) in enumerate(zip(sizes, kinds))
    )


def generate(tenants, seconds, seed, peaks=()):
    """List all arrivals of a run, in order.

    Parameters
    ----------
    tenants : sequence of Tenant
    seconds : float
        Length of the run; what would come later is left out.
    seed : int
    peaks : sequence of Peak

    Returns
    -------
    list of Arrival
    """
    arrivals = []
    for tenant in tenants:
        rng = random.Random(f'{seed}/{tenant.name}')
        for number, start in enumerate(
            list_starts(rng, tenant.rate, seconds, peaks)
        ):
            arrivals += converse(rng, tenant, number, start, seconds)
    return sorted(arrivals)


def list_starts(rng, rate, seconds, peaks):
    """Give the times at which new conversations begin (Poisson)."""
    starts, now = [], 0.0
    top = rate * max([1.0, *(peak.factor for peak in peaks)])
    while True:
        now += rng.expovariate(top)
        if now >= seconds:
            return starts
        if rng.random() * top < rate * get_factor(now, peaks):
            starts.append(now)


def get_factor(now, peaks):
    """Give by how much the rate is multiplied at a time."""
    factors = [p.factor for p in peaks if p.start <= now < p.end]
    return max(factors, default=1.0)


def converse(rng, tenant, number, start, seconds):
    """List the turns of one conversation."""
    kind = tenant.kind
    pieces = [f'{tenant.name}/shared/{i}' for i in range(kind.shared)]
    pieces += [f'{tenant.name}/{number}/{i}' for i in range(kind.own)]
    turns = 1 + min(int(rng.expovariate(1 / (kind.turns - 1))), 8)
    at, arrivals = start, []
    for turn in range(turns):
        tokens = 1 + min(int(rng.expovariate(1 / kind.tokens)), 64)
        arrivals.append(
            Arrival(
                at,
                tenant.name,
                kind.model,
                tuple(pieces),
                tokens,
                rng.randrange(1_000_000),
                f'{tenant.name}.{number}.{turn}',
                turn,
            )
        )
        pieces.append(f'{tenant.name}/{number}/turn{turn}')
        gap = rng.lognormvariate(math.log(kind.gap), kind.spread)
        at += gap / COMPRESSION
        if at >= seconds:
            break
    return arrivals


@functools.lru_cache(maxsize=4096)
def write_piece(name):
    """Give the text of a piece, the same for the same name."""
    unit = f'{name} lorem '
    return (unit * (PIECE // len(unit) + 1))[:PIECE]


def write_prompt(arrival):
    """Give the prompt of an arrival."""
    return ''.join(write_piece(name) for name in arrival.pieces)
