"""Chooses the target of a request by the expected time to its first byte.

Each box decides by itself, from its own requests and from what other boxes
report.  For engines the expected time is that of reading the part of the
prompt that is not cached there, plus the wait behind other requests.  If no
target has the prompt cached, rendezvous hashing gives all boxes the same
preferred target, so that requests that share the prompt meet there without
coordination.
"""

import typing

from landingspool.decisions.gateway import health as health_module
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import service_figures
from landingspool.decisions import ownership

# Penalty for each rank of a target in the hash order of a shared part, as a
# share of the time of reading the shared parts that no store holds: later
# requests then find a part where it is being read.  Parts in a store can be
# fetched by any target and need no preferred one.
AFFINITY_SHARE = 0.03
# Engines that are candidates for a request, beside those with an idle
# connection: the first ones in the hash order of its prompt.  Reports of other
# boxes are some tenths of a second old, so all boxes see the same idle engine
# and would send to it.  A small set that differs from prompt to prompt avoids
# that.
MAX_PREFERRED = 6
# Share of an engine's memory that running requests may take; the remainder
# caches context for later requests.  Above it, or above the number of slots,
# waits grow with the time of a run.
MEMORY_SHARE = 0.75
# Seconds of penalty for a target all of whose requests fail; proportionally
# less for a lower share of failures.
FAILING_S = 1.5
# Share of requests that go to a failing or slow target regardless of its rank,
# to detect its recovery.
TRIAL_SHARE = 0.03
# Penalty for a target that is slow after its start, as a share of the time for
# which it stays slow.
COLD_SHARE = 0.1
# Penalty in seconds for a target in another failure domain: two trips of 0.9
# ms, and the cost of bytes between domains; small against reading a prompt.
CROSS_DOMAIN_S = 0.015
# Penalty in seconds for an engine without an idle connection.  A new
# connection takes 10 ms and one of those that the engine accepts, and is
# expensive: with many boxes and many engines each box would open one for most
# requests.
CONNECT_S = 0.04
# The same for a plain target, which answers sooner: less than the time to run
# the requests that fill its slots.
PLAIN_CONNECT_S = 0.02


class Load(typing.NamedTuple):
    """Requests at one target, of this box and of its peers.

    Attributes
    ----------
    waiting : int
        Requests without a first byte.
    running : int
        Requests whose answer has begun.
    waiting_tokens : int
        Prompt tokens to be read for the waiting requests.
    oldest : float or None
        When the request that waits longest was sent.
    last_byte : float
        When the target last sent a byte of any answer.
    held_tokens : int
        Tokens of all these requests, generated ones included.
    peer_tokens, peer_running, peer_held, peer_waiting : float
        The same for the requests of other boxes.
    """

    waiting: int = 0
    running: int = 0
    waiting_tokens: int = 0
    oldest: float | None = None
    last_byte: float = 0.0
    peer_tokens: float = 0.0
    peer_running: float = 0.0
    held_tokens: int = 0
    peer_held: float = 0.0
    peer_waiting: float = 0.0


class Candidate(typing.NamedTuple):
    """One target as the choice sees it.

    `cached` is the number of prompt tokens cached at the target, `stored` the
    number held by stores, `fetch_s` the seconds to fetch the latter.
    `penalty_s` is added to its expected time; `capacity` is its memory in
    tokens, 0 if not known; `cold_s` is how much longer it is slow after its
    start.  `weight` is the share of the wait for memory that applies to the
    request; `limited` is whether the target advertises a limit.  `profile` is
    what the target is assumed to do.
    """

    entry: typing.Any
    load: Load
    health: health_module.Health
    cached: int = 0
    stored: int = 0
    fetch_s: float = 0.0
    penalty_s: float = 0.0
    capacity: int = 0
    ready: bool = False
    cold_s: float = 0.0
    weight: float = 1.0
    limited: bool = False
    profile: service_figures.Profile = service_figures.PRIOR


class HeldMemory(typing.NamedTuple):
    """Memory held by requests: share of all, and mean tokens of a request."""

    share: float
    mean: float


class Chosen(typing.NamedTuple):
    """The chosen target and the values that decided it, for the log.

    `wait_s` is the expected wait behind other requests.
    """

    entry: typing.Any
    expected_s: float
    cached: int
    candidates: int
    wait_s: float = 0.0


class Comparison(typing.NamedTuple):
    """What the candidates are compared by.

    Attributes
    ----------
    peers : health.Peers
        Of all usable targets, also of those that are no candidates.
    ranks : dict of str to int
        As returned by rank_targets.
    """

    peers: health_module.Peers
    ranks: dict


def choose(candidates, prompt, domain, comparison, rng):
    """Choose a target.

    Parameters
    ----------
    candidates : sequence of Candidate
        At least one.
    prompt : prompts.Prompt or None
        None for plain services.
    domain : str
        Failure domain of this box.
    comparison : Comparison
    rng : random.Random

    Returns
    -------
    Chosen
    """
    scored = []
    for candidate in candidates:
        seconds = estimate_first_byte(
            candidate, prompt, domain, comparison.peers
        )
        rank = comparison.ranks.get(candidate.entry.name, 0)
        seconds += rank * compute_rank_penalty(candidate, prompt)
        scored.append((seconds, rng.random(), candidate))
    if rng.random() < TRIAL_SHARE:
        best = pick_trial(scored) or min(scored)
    else:
        best = min(scored)
    seconds, _, candidate = best
    wait = estimate_wait(candidate)
    return Chosen(
        candidate.entry, seconds, candidate.cached, len(candidates), wait
    )


def list_usable(candidates, now, silence_timeout_s):
    """Return the candidates that are not avoided, or else all that answer.

    If every target is avoided, requests are still sent to those that are not
    silent: the worst outcome is the failure that a refusal makes certain.
    """
    sound = list_sound(candidates, now, silence_timeout_s)
    if sound:
        return sound
    return [
        c for c in candidates if not is_silent(c.load, now, silence_timeout_s)
    ]


def list_sound(candidates, now, silence_timeout_s):
    """Return the candidates that are not avoided."""
    return [
        c
        for c in candidates
        if not health_module.is_avoided(c.health, now)
        and not is_silent(c.load, now, silence_timeout_s)
        and not (health_module.is_on_trial(c.health, now) and c.load.waiting)
    ]


def is_silent(load, now, silence_timeout_s):
    """Return whether a target with a waiting request sent no byte for long.

    >>> is_silent(Load(waiting=1, oldest=1.0, last_byte=0.5), 3.0, 1.0)
    True
    >>> is_silent(Load(waiting=1, oldest=1.0, last_byte=2.9), 3.0, 1.0)
    False
    """
    if load.oldest is None:
        return False
    return now - max(load.oldest, load.last_byte) > silence_timeout_s


def estimate_first_byte(candidate, prompt, domain, peers):
    """Return the expected seconds to the first byte, penalties included."""
    load, health = candidate.load, candidate.health
    profile = candidate.profile
    slow = health_module.compute_slowness(health, peers)
    if prompt is None:
        slots = max(candidate.entry.slots, 1)
        busy = load.waiting + load.running + load.peer_running
        busy /= slots
        seconds = profile.work_s * (1.0 + busy)
    else:
        cached = max(candidate.cached, candidate.stored)
        read = prompts.count_read(prompt, cached)
        seconds = read / profile.read_tokens_s + candidate.fetch_s
        # The base of a typical target is common to all, and changes nothing.
        seconds += profile.excess_s
        seconds += estimate_wait(candidate)
    # Some routes have failures of their own, so only failures above the lowest
    # share among peers count.
    failing = health.failing - peers.failing
    seconds = seconds * slow + failing * FAILING_S
    seconds += candidate.cold_s * COLD_SHARE + candidate.penalty_s
    if not candidate.ready:
        seconds += PLAIN_CONNECT_S if prompt is None else CONNECT_S
    return seconds + (
        0 if candidate.entry.domain == domain else CROSS_DOMAIN_S
    )


def estimate_wait(candidate):
    """Return the expected seconds of a request behind others at an engine."""
    load, profile = candidate.load, candidate.profile
    waiting = load.waiting_tokens + load.peer_tokens
    seconds = waiting / profile.read_tokens_s
    running = load.running + load.peer_running
    seconds += running * profile.running_s
    slots = max(candidate.entry.slots, 1)
    queued = load.waiting + load.peer_waiting
    # With all slots taken, a new request waits until runs finish and free
    # their slots or memory.
    if running + queued >= slots:
        seconds += (running + queued - slots + 1) / slots * profile.run_s
    return seconds + candidate.weight * estimate_memory_wait(candidate)


def estimate_memory_wait(candidate):
    """Return the expected seconds that a request waits for memory."""
    load, capacity = candidate.load, candidate.capacity
    over = load.held_tokens + load.peer_held - capacity * MEMORY_SHARE
    if not capacity or over <= 0:
        return 0.0
    return over / capacity * candidate.profile.run_s


def measure_memory(candidates):
    """Return the memory that requests hold at all candidates.

    Returns
    -------
    HeldMemory
    """
    tokens = sum(c.load.held_tokens + c.load.peer_held for c in candidates)
    taken, _ = count_occupancy(candidates)
    capacity = sum(c.capacity for c in candidates)
    if not capacity or not taken:
        return HeldMemory(0.0, 0.0)
    return HeldMemory(tokens / capacity, tokens / taken)


def compute_memory_weight(tokens, held):
    """Return the share of the wait for memory that applies to a request.

    A small request fits in where a large one waits, and frees little when it
    finishes.  With 64 slots an engine, half of them taken, requests of under
    6,000 tokens with an expected wait of 0.3 to 0.5 s waited as long as those
    with 0.02 s: 0.03 s in the median, and 0.26 s in the slowest tenth of 3,200
    requests.

    Parameters
    ----------
    tokens : int
        Tokens of memory that the request holds when it finishes.
    held : HeldMemory

    >>> compute_memory_weight(900, HeldMemory(0.9, 4500.0))
    0.04
    >>> compute_memory_weight(9e3, HeldMemory(1, 4.5e3))
    1.0
    """
    if not held.mean:
        return 1.0
    return round(min((tokens / held.mean) ** 2, 1.0), 3)


def measure_pressure(candidates):
    """Return the requests at all candidates, divided by their slots.

    >>> import collections
    >>> entry = collections.namedtuple('Entry', 'slots')(4)
    >>> load = Load(running=2, peer_waiting=1.0)
    >>> measure_pressure([Candidate(entry, load, None)] * 2)
    0.75
    """
    taken, slots = count_occupancy(candidates)
    return taken / slots if slots else 0.0


def count_occupancy(candidates):
    """Return the requests at all candidates, and their slots.

    Targets that advertise limits are excluded while there are others: their
    slots can't be filled, and would make the others look half empty.
    """
    taken = slots = 0
    unlimited = [c for c in candidates if not c.limited]
    for candidate in unlimited or candidates:
        load = candidate.load
        taken += load.waiting + load.running
        taken += load.peer_waiting + load.peer_running
        slots += max(candidate.entry.slots, 1)
    return taken, slots


def limit_to_preferred(candidates, ranks):
    """Return a prompt's preferred targets, and those with idle connections.

    Parameters
    ----------
    candidates : sequence of Candidate
    ranks : dict of str to int
        As returned by rank_targets; empty if all are candidates.
    """
    return [
        c
        for c in candidates
        if c.ready or ranks.get(c.entry.name, 0) < MAX_PREFERRED
    ]


def compute_rank_penalty(candidate, prompt):
    """Return the seconds of penalty for each rank in a prompt's hash order.

    >>> parts = prompts.Part('a', 11_200), prompts.Part('own', 50)
    >>> prompt = prompts.Prompt('m', 11_250, 5, parts)
    >>> round(compute_rank_penalty(Candidate(None, None, None), prompt), 4)
    0.003
    >>> stored = Candidate(None, None, None, stored=11_200)
    >>> compute_rank_penalty(stored, prompt)
    0.0
    """
    if prompt is None:
        return 0.0
    shared = sum(part.tokens for part in prompts.list_shared(prompt))
    unsaved = max(shared - candidate.stored, 0)
    return unsaved / candidate.profile.read_tokens_s * AFFINITY_SHARE


def rank_targets(prompt, candidates):
    """Return the rank of each target in the hash order of the prompt."""
    if prompt is None or len(prompt.parts) < 2:
        return {}
    subject = prompt.parts[-2].name
    names = tuple(sorted(c.entry.name for c in candidates))
    ranked = ownership.rank(subject, names)
    return {name: rank for rank, name in enumerate(ranked)}


def pick_trial(scored):
    """Return the best target that was failing or slow, as a trial of it."""
    doubtful = [
        row
        for row in scored
        if row[2].health.failing > 0.2 or row[2].health.avoid_s > 0
    ]
    return min(doubtful) if doubtful else None
