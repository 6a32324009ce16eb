"""The work and the sizes of deployments that bench/many.py plays.

What callers send, how fast engines are, and what happens when.
"""

import typing

from bench import engine


class Kind(typing.NamedTuple):
    """A kind of request: how often, how large, how urgent."""

    name: str
    share: float
    shared: int
    own: int
    tokens_out: int
    things: int
    aim_s: float
    priority: int
    repeatable: bool


class Mix(typing.NamedTuple):
    """The work of a deployment: its kinds of request and its engines."""

    kinds: tuple
    speed: engine.Speed


# Shapes of the largest deployment's prompts.  Its longest runs take 1.3 s in
# the median and 2.3 s for one in ten, the others 0.8 and 2.1 s, and 0 and
# 0.15 s (one day of 18 boxes).
MANY_RUNS = Mix(
    (
        Kind('sheet', 0.25, 9122, 2870, 380, 2462, 0.5, 2, False),
        Kind('label', 0.22, 650, 177, 290, 2126, 0.3, 1, True),
        Kind('check', 0.53, 1861, 507, 22, 5213, 0.3, 0, False),
    ),
    engine.Speed(112_000.0, 0.05, 0.0038),
)
# Half of the requests are short questions, and places are many.  Fitted to
# 5,400 requests of one day of 71 boxes without trouble, at engines on which
# little waited: 0.06 s and 11 ms for each thousand tokens to the first token,
# runs of 2.0 s in the mean for the questions and 2.9 s for long prompts.
SHORT_QUESTIONS = Mix(
    (
        Kind('sheet', 0.187, 9122, 2870, 42, 1997, 0.645, 2, False),
        Kind('label', 0.5, 650, 177, 32, 3067, 0.419, 1, True),
        Kind('check', 0.313, 1861, 507, 3, 3323, 0.422, 0, False),
    ),
    engine.Speed(88_000.0, 0.055, 0.062),
)
# Long prompts that are the most urgent ones, and many short ones that are not.
LONG_FIRST = Mix(
    (
        Kind('describe', 0.075, 9122, 2870, 29, 1244, 0.545, 0, True),
        Kind('classify', 0.925, 1861, 507, 2, 6209, 1.522, 2, False),
    ),
    engine.Speed(140_000.0, 0.03, 0.0135),
)
# Short prompts that are the most urgent ones, on engines of two speeds.
UNEVEN = Mix(
    (
        Kind('explain', 0.167, 9122, 2870, 64, 12440, 1.045, 1, True),
        Kind('label', 0.833, 1861, 507, 4, 62090, 0.522, 0, False),
    ),
    engine.Speed(64_200.0, 0.035, 0.026),
)
# Spread of the sizes of prompts and answers around these: the standard
# deviation of their logarithm.
SPREAD = 0.6


class Size(typing.NamedTuple):
    """How much is played."""

    boxes: int = 195
    engines: int = 50
    domains: int = 5
    slots: int = 12
    capacity: int = 99_974
    per_s: float = 490.0
    seconds: float = 15.0
    # When new weights are named, and how many engines go dark, when.
    named_at: tuple = ()
    # Seconds for which old weights may be used.
    version_s: float = 15.0
    # Share of the orders for new weights that have no answer and are carried
    # out late, and the shortest and longest delay in seconds.
    late: float = 0.0
    late_s: tuple = (2.0, 12.0)
    dark: int = 0
    dark_at: float = 3.0
    # How many engines name a limit, which, and from when on.
    limited: int = 0
    limit_per_s: float = 2.0
    limited_at: float = 3.0
    mix: Mix = MANY_RUNS
    # How much slower a third of the engines is, and by which share demand
    # swings in each domain, out of step.
    slow: float = 1.0
    swing: float = 0.0
    # How far apart the swings of two domains are, as a share of their period,
    # and how many clients each domain has, who keep to one box; 0: very many.
    step: float = 0.08
    clients: int = 0
    # Seconds for which an engine keeps a connection at rest.
    idle_s: float = 9.5


# 71 boxes and 30 engines: where places are many, and questions short.
SHORT = Size(
    boxes=71,
    engines=30,
    domains=3,
    slots=64,
    capacity=149_281,
    per_s=400.0,
    seconds=9.0,
    mix=SHORT_QUESTIONS,
)
# 60 boxes and 24 engines, a third of them slower: mostly short prompts, and
# engines that read less than is assumed without any answers.
THIRD_SLOWER = Size(
    boxes=60,
    engines=24,
    domains=3,
    slots=48,
    capacity=84_144,
    per_s=230.0,
    seconds=24.0,
    slow=1.3,
    mix=Mix(
        (
            Kind('sheet', 0.17, 9122, 2870, 64, 1000, 1.0, 1, False),
            Kind('check', 0.83, 1861, 507, 4, 2000, 0.5, 0, False),
        ),
        engine.Speed(64_200.0, 0.03, 0.006),
    ),
)
# 62 boxes and 36 engines of 24 slots.
CORES = Size(
    boxes=62,
    engines=36,
    domains=3,
    slots=24,
    capacity=80_061,
    per_s=680.0,
    seconds=9.0,
    mix=LONG_FIRST,
    idle_s=1.4,
    clients=60,
)
# 129 boxes and 45 uneven engines of 48 slots, demand by waves.
WAVES = Size(
    boxes=129,
    engines=45,
    domains=3,
    slots=48,
    capacity=84_144,
    per_s=330.0,
    seconds=13.0,
    mix=UNEVEN,
    slow=1.3,
    idle_s=1.4,
    swing=0.5,
    clients=76,
)
CASES = {
    'cores': CORES,
    'cores, twice': CORES._replace(per_s=1360.0),
    'cores, a quarter dark': CORES._replace(dark=9),
    'cores, new weights': CORES._replace(seconds=14.0, named_at=(2.0, 6.0)),
    'waves': WAVES,
    'waves, twice': WAVES._replace(per_s=660.0),
    'waves, a quarter dark': WAVES._replace(dark=11),
    'waves, new weights': WAVES._replace(seconds=14.0, named_at=(2.0, 6.0)),
    'calm': Size(seconds=9.0),
    'a quarter dark': Size(seconds=12.0, dark=13),
    'a quarter limited': Size(seconds=15.0, limited=13),
    'new weights': Size(seconds=18.0, named_at=(4.0, 8.0)),
    'short questions': SHORT,
    'the same, a third more': SHORT._replace(per_s=520.0),
    'the same, new weights': SHORT._replace(seconds=14.0, named_at=(2.0, 6.0)),
    'the same, a quarter dark': SHORT._replace(per_s=500.0, dark=8),
    'a third slower': THIRD_SLOWER,
}
