"""What the emulator of many boxes plays with: engines, stores and routes."""

import functools

from bench import engine
from bench import mixes
from landingspool.decisions.gateway import fleet
from landingspool.decisions.gateway import routes

STORE = '10.0.0.1:1'


def find_speed(size, place):
    """Give the speed of one engine: the last of each three may be slower."""
    speed = size.mix.speed
    if place // size.domains % 3 != 2:
        return speed
    return engine.Speed(
        speed.read_tokens_s / size.slow,
        speed.first_s * size.slow,
        speed.step_s * size.slow,
    )


def draw_size(rng, mean):
    """Draw a number of tokens around a mean."""
    spread = mixes.SPREAD
    return max(int(mean * rng.lognormvariate(-spread * spread / 2, spread)), 1)


def make_entry(place, size):
    """Give what one engine says of itself."""
    return fleet.Entry(
        f'e{place}',
        'engine',
        ('e', place),
        f'd{place % size.domains}',
        fleet.READY,
        size.slots,
        {'m': 1},
    )


def make_table(size):
    """Give the table of a service of engines with a store."""
    kind = routes.Engine(size.slots, size.capacity, 35_136, 1.1e6, 4, True)
    context_store = routes.ContextStore(
        STORE, 'd0', 10**9, 310_000.0, 4, True, 0.0005
    )
    services = [
        routes.Service('engine', max_connections=1300, engine=kind),
        routes.Service('store', context_store=context_store),
    ]
    return routes.make_table(
        1,
        [make_route(kind) for kind in size.mix.kinds],
        services,
        {},
        routes.Limits(),
        False,
    )


@functools.lru_cache
def make_route(kind):
    """Give the route of a kind of request."""
    return routes.Route(
        kind.name,
        'h',
        f'/{kind.name}/',
        routes.STREAM,
        9.0,
        kind.aim_s,
        kind.priority,
        (),
        resumable=kind.repeatable,
    )
