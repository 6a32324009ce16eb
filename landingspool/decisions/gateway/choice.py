"""Chooses the target of a request.

Each box decides alone, on what it has heard and on what it sent itself.
For engines the choice is the earliest expected first token: what the
target still has to read of the prompt, behind what already waits there.
Where nobody keeps a prompt all boxes agree on a first home for it by
rendezvous hashing, so its followers find it without a word between boxes.
"""

import typing

from landingspool.decisions.gateway import health as health_module
from landingspool.decisions.gateway import prompts
from landingspool.decisions import ownership

# Share of the time of reading shared parts that no store holds by which a
# target is put behind for each place that it is further down in their hash
# order: followers of a part then find it where it is being read.  What a
# store holds any target fetches, so that it needs no home.
HOME_SHARE = 0.03
# Engines that a request is weighed for, beside those with a connection at
# rest: the first ones in the hash order of its prompt.  What boxes know of
# each other's requests is some tenths of a second old, so that all of them
# see the same engine idle and send to it.  Among few that differ from prompt
# to prompt that does no harm.
HOMES = 6
# Seconds a request counts that waits for its first byte at a plain target.
PLAIN_WORK_S = 0.045
# Seconds one running request adds to the first token of the next: a step
# takes 3.2 ms, and each running request lengthens it by 0.05 ms.
RUNNING_S = 0.0006
# Share of an engine's memory that running requests may take; the rest keeps
# context for the next ones.  Over it, and over the places, waits grow with
# the time of a run: two seconds for the longest kind.
MEMORY_SHARE = 0.75
RUN_S = 2.0
# A failing target is put behind by so much at a failure share of one.
FAILING_S = 1.5
# A request sent to a target for other reasons than its rank, to learn
# whether it has recovered: one in so many.
TRIAL_SHARE = 0.03
# A target that is slow from its start is put behind by this share of the
# time that it stays slow.
COLD_SHARE = 0.1
# Seconds that another failure domain costs: two ways of 0.9 ms and the
# bytes between domains, which are dear; small against reading a prompt.
FAR_S = 0.015
# Seconds by which an engine without a connection at rest is put behind.  A
# new one takes 10 ms and a place among those that the engine accepts, and is
# dear: where many boxes meet many engines each would open one for most
# requests.
CONNECT_S = 0.04
# The same at a plain target, which answers sooner: less than it takes to run
# what fills its places.
PLAIN_CONNECT_S = 0.02


class Load(typing.NamedTuple):
    """What this box has at one target.

    Attributes
    ----------
    waiting : int
        Requests without a first byte.
    running : int
        Requests whose answer has begun.
    waiting_tokens : int
        Prompt tokens to be read for those waiting.
    oldest : float or None
        When the one that waits longest was sent.
    heard : float
        When the target last sent any byte on any request.
    held_tokens : int
        Tokens of all these requests, made ones included.
    others_tokens, others_running, others_held, others_waiting : float
        The same of other boxes.
    """

    waiting: int = 0
    running: int = 0
    waiting_tokens: int = 0
    oldest: float | None = None
    heard: float = 0.0
    others_tokens: float = 0.0
    others_running: float = 0.0
    held_tokens: int = 0
    others_held: float = 0.0
    others_waiting: float = 0.0


class Candidate(typing.NamedTuple):
    """One target as the choice sees it.

    `cached` are the tokens of the prompt that it need not read, `saved` those
    that stores hold, `fetched_s` the seconds that these take to come.
    `handicap_s` puts it behind the others; `capacity` is its memory in
    tokens, 0 where it is not known; `cold_s` is how much longer it is slow.
    `weight` is the share of a wait for memory that the request bears;
    `limited` tells whether it names a limit.
    """

    entry: typing.Any
    load: Load
    health: health_module.Health
    cached: int = 0
    saved: int = 0
    fetched_s: float = 0.0
    handicap_s: float = 0.0
    capacity: int = 0
    ready: bool = False
    cold_s: float = 0.0
    weight: float = 1.0
    limited: bool = False


class Held(typing.NamedTuple):
    """Memory that requests hold: a share of all, and tokens of one request."""

    share: float
    mean: float


class Chosen(typing.NamedTuple):
    """The target chosen, with what decided it, for the log.

    `wait_s` is the expected wait behind other requests.
    """

    entry: typing.Any
    expected_s: float
    cached: int
    candidates: int
    wait_s: float = 0.0


def choose(candidates, prompt, domain, now, rng, patience_s):
    """Choose a target, or None where none may be used.

    Parameters
    ----------
    candidates : sequence of Candidate
    prompt : prompts.Prompt or None
        None for plain services.
    domain : str
        Failure domain of this box.
    rng : random.Random
    patience_s : float
        A target is silent that had a request for longer without a byte.

    Returns
    -------
    Chosen or None
    """
    usable = list_usable(candidates, now, patience_s)
    if not usable:
        return None
    # Once for all of them: a large service has some sixty targets.
    peers = health_module.measure_peers([c.health for c in usable])
    homes = rank_homes(prompt, usable)
    usable = narrow(usable, homes)
    scored = []
    for candidate in usable:
        seconds = expect_first(candidate, prompt, domain, peers)
        place = homes.get(candidate.entry.name, 0)
        seconds += place * find_home_step(candidate, prompt)
        scored.append((seconds, rng.random(), candidate))
    if rng.random() < TRIAL_SHARE:
        best = pick_trial(scored) or min(scored)
    else:
        best = min(scored)
    seconds, _, candidate = best
    wait = expect_wait(candidate)
    return Chosen(
        candidate.entry, seconds, candidate.cached, len(usable), wait
    )


def list_usable(candidates, now, patience_s):
    """List those that are not avoided; all but the silent if none is left.

    A service with no sound target at all is still tried: the worst that
    can happen is what refusing would do for certain.
    """
    sound = [
        c
        for c in candidates
        if not health_module.is_avoided(c.health, now)
        and not is_silent(c.load, now, patience_s)
        and not (health_module.is_on_trial(c.health, now) and c.load.waiting)
    ]
    if sound:
        return sound
    return [c for c in candidates if not is_silent(c.load, now, patience_s)]


def is_silent(load, now, patience_s):
    """Tell whether a target has sent nothing while a request waited long.

    >>> is_silent(Load(waiting=1, oldest=1.0, heard=0.5), 3.0, 1.0)
    True
    >>> is_silent(Load(waiting=1, oldest=1.0, heard=2.9), 3.0, 1.0)
    False
    """
    if load.oldest is None:
        return False
    return now - max(load.oldest, load.heard) > patience_s


def expect_first(candidate, prompt, domain, peers):
    """Give the expected seconds to the first byte, as a rank."""
    load, health = candidate.load, candidate.health
    slow = health_module.weigh_slowness(health, peers)
    if prompt is None:
        slots = max(candidate.entry.slots, 1)
        busy = load.waiting + load.running + load.others_running
        busy /= slots
        seconds = PLAIN_WORK_S * (1.0 + busy)
    else:
        cached = max(candidate.cached, candidate.saved)
        read = prompts.count_read(prompt, cached)
        seconds = read / prompts.READ_TOKENS_S + candidate.fetched_s
        seconds += expect_wait(candidate)
    # Some routes fail by themselves; only what a target does worse counts.
    failing = health.failing - peers.failing
    seconds = seconds * slow + failing * FAILING_S
    seconds += candidate.cold_s * COLD_SHARE + candidate.handicap_s
    if not candidate.ready:
        seconds += PLAIN_CONNECT_S if prompt is None else CONNECT_S
    return seconds + (0 if candidate.entry.domain == domain else FAR_S)


def expect_wait(candidate):
    """Give the seconds that a request waits behind others at an engine."""
    load = candidate.load
    waiting = load.waiting_tokens + load.others_tokens
    seconds = waiting / prompts.READ_TOKENS_S
    running = load.running + load.others_running
    seconds += running * RUNNING_S
    slots = max(candidate.entry.slots, 1)
    queued = load.waiting + load.others_waiting
    # Whoever comes now waits until runs end and give back their places, or
    # their memory.
    if running + queued >= slots:
        seconds += (running + queued - slots + 1) / slots * RUN_S
    return seconds + candidate.weight * expect_memory(candidate)


def expect_memory(candidate):
    """Give the seconds that a request waits for memory, as expected."""
    load, capacity = candidate.load, candidate.capacity
    over = load.held_tokens + load.others_held - capacity * MEMORY_SHARE
    if not capacity or over <= 0:
        return 0.0
    return over / capacity * RUN_S


def measure_held(candidates):
    """Measure the memory that requests hold at all candidates.

    Returns
    -------
    Held
    """
    tokens = sum(c.load.held_tokens + c.load.others_held for c in candidates)
    taken, _ = count_taken(candidates)
    capacity = sum(c.capacity for c in candidates)
    if not capacity or not taken:
        return Held(0.0, 0.0)
    return Held(tokens / capacity, tokens / taken)


def weigh_memory(tokens, held):
    """Give the share of a wait for memory that a request bears.

    A small request finds room where a large one waits, and its own going
    gives little back.  With 64 places an engine, half of them taken, requests
    of under 6,000 tokens for which 0.3 to 0.5 s were expected waited as long
    as those for which 0.02 s was: 0.03 s in the median, and 0.26 s in the
    slowest tenth (3,200 requests of one day).

    Parameters
    ----------
    tokens : int
        That it holds in the end.
    held : Held

    >>> weigh_memory(900, Held(0.9, 4500.0)), weigh_memory(9e3, Held(1, 4.5e3))
    (0.04, 1.0)
    """
    if not held.mean:
        return 1.0
    return round(min((tokens / held.mean) ** 2, 1.0), 3)


def measure_pressure(candidates):
    """Give the requests at all candidates, by the places that they have.

    >>> import collections
    >>> entry = collections.namedtuple('Entry', 'slots')(4)
    >>> load = Load(running=2, others_waiting=1.0)
    >>> measure_pressure([Candidate(entry, load, None)] * 2)
    0.75
    """
    taken, places = count_taken(candidates)
    return taken / places if places else 0.0


def count_taken(candidates):
    """Count the requests at all candidates, and the places that they have.

    Those that name limits are left out while there are others: their places
    can't be filled, and would let these others look half empty.
    """
    taken = places = 0
    unlimited = [c for c in candidates if not c.limited]
    for candidate in unlimited or candidates:
        load = candidate.load
        taken += load.waiting + load.running
        taken += load.others_waiting + load.others_running
        places += max(candidate.entry.slots, 1)
    return taken, places


def narrow(candidates, homes):
    """Keep the first homes of a prompt, and those with a connection at rest.

    Parameters
    ----------
    candidates : sequence of Candidate
    homes : dict of str to int
        As rank_homes; empty where all are to be weighed.
    """
    return [
        c for c in candidates if c.ready or homes.get(c.entry.name, 0) < HOMES
    ]


def find_home_step(candidate, prompt):
    """Give the seconds that one place in the hash order of a prompt counts.

    >>> parts = prompts.Part('a', 11_200), prompts.Part('own', 50)
    >>> prompt = prompts.Prompt('m', 11_250, 5, parts)
    >>> round(find_home_step(Candidate(None, None, None), prompt), 4)
    0.003
    >>> stored = Candidate(None, None, None, saved=11_200)
    >>> find_home_step(stored, prompt)
    0.0
    """
    if prompt is None:
        return 0.0
    shared = sum(part.tokens for part in prompts.list_shared(prompt))
    unsaved = max(shared - candidate.saved, 0)
    return unsaved / prompts.READ_TOKENS_S * HOME_SHARE


def rank_homes(prompt, candidates):
    """Give the place of each target in the hash order of the prompt."""
    if prompt is None or len(prompt.parts) < 2:
        return {}
    subject = prompt.parts[-2].name
    names = tuple(sorted(c.entry.name for c in candidates))
    ranked = ownership.rank(subject, names)
    return {name: place for place, name in enumerate(ranked)}


def pick_trial(scored):
    """Pick a target that has been failing or slow, to learn of recovery."""
    doubtful = [
        row
        for row in scored
        if row[2].health.failing > 0.2 or row[2].health.avoid_s > 0
    ]
    return min(doubtful) if doubtful else None
