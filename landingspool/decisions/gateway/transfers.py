"""Plans which parts of a prompt are fetched from stores or written to them.

A store frees nothing by itself and checks nothing: a part is offered only as
the index allows, and every offer ends at a time on the targets' clock.  A part
that takes longer to fetch from a slow store than to read is read.
"""

import typing

from landingspool.decisions.gateway import context_index as index_module
from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import service_figures
from landingspool.decisions import ownership

# Tokens below which a part is not worth a transfer: the wait before it (a miss
# costs a millisecond) is as long as reading the part.
MIN_TOKENS = 96
# Share of a store that is filled: simultaneous writes of other boxes have to
# fit in as well.
FILL_SHARE = 0.96
# Share of the fetches from a slow store that are planned all the same, to
# detect its recovery, and the tokens of the largest part used for that: it
# delays its request by at most the time to read one more piece of a prompt.
TRIAL_SHARE = 0.05
MAX_TRIAL_TOKENS = 2048
# Bits; links are published in megabits a second.
MEGABIT = 1e6


class Transfer(typing.NamedTuple):
    """What a request asks of stores.

    Attributes
    ----------
    fetch, save : tuple of str
        For each part of the prompt a store's address, or an empty text.
    until_ms : float or None
        End of the offer on the targets' clock.
    tokens : int
        Leading tokens that need not be read.
    seconds : float
        Duration of the transfer on idle links, and the delay at slow stores.
    delay_s : float
        The latter.
    store : str
        Address of the store that most tokens are fetched from; or empty.
    declined : int
        Parts that are read, since their store is slow.
    """

    fetch: tuple = ()
    save: tuple = ()
    until_ms: float | None = None
    tokens: int = 0
    seconds: float = 0.0
    delay_s: float = 0.0
    store: str = ''
    declined: int = 0


class Source(typing.NamedTuple):
    """A store to fetch a part from, and the expected seconds.

    `delay_s` of the `seconds` are due to the store being slow.
    """

    address: str
    seconds: float
    delay_s: float


class Delays(typing.NamedTuple):
    """Delays at slow stores.

    Attributes
    ----------
    get : callable
        ``get(address)`` returns the seconds of delay; 0 for most stores.
    rng : random.Random or None
        Draws the trials of slow stores; None: there are no trials.
    read_tokens_s : float
        Prompt tokens that targets read in a second.
    """

    get: typing.Callable
    rng: typing.Any = None
    read_tokens_s: float = service_figures.READ_TOKENS_S


NO_DELAYS = Delays(lambda address: 0.0)


def plan_transfer(
    prompt, space, stores, index, token_bytes, now, delays=NO_DELAYS
):
    """Return the transfers of one request.

    Parameters
    ----------
    stores : dict of str to routes.ContextStore
        By address.
    index : context_index.ContextIndex
    token_bytes : int
    delays : Delays
    """
    managed = {a: k for a, k in stores.items() if k.managed}
    readable = [a for a in managed if index.may_fetch(a, now)]
    writable = [a for a in managed if index.may_save(a, now)]
    if not readable:
        return Transfer()
    fetch, save = [], []
    declined = 0
    for part in prompts.list_shared(prompt):
        holding = list_holding(part, space, readable, index)
        source = choose_source(part, holding, managed, token_bytes, delays)
        is_fetched = source is not None and is_worth_fetching(
            part, source, delays
        )
        declined += source is not None and not is_fetched
        fetch.append(source if is_fetched else None)
        save.append(
            ''
            if holding
            else choose_destination(part, space, writable, managed, index)
        )
    return make_transfer(prompt, fetch, save, index, declined)


def make_transfer(prompt, sources, save, index, declined):
    """Return the Transfer that fetches shared parts from these sources.

    Parameters
    ----------
    sources : sequence of Source or None
        For each shared part.
    save : sequence of str
        The address that each shared part is written to, or ''.
    """
    used = {}
    leading, seconds, delay_s = 0, 0.0, 0.0
    pairs = zip(prompts.list_shared(prompt), sources, strict=True)
    for part, source in pairs:
        if source is None:
            continue
        used[source.address] = used.get(source.address, 0) + part.tokens
        seconds += source.seconds
        # Parts are fetched side by side: only the longest delay counts.
        delay_s = max(delay_s, source.delay_s)
    for part, source in zip(prompt.parts, sources, strict=False):
        if source is None:
            break
        leading += part.tokens
    # The last part is the request's own: it is not read again.
    return Transfer(
        (*(source.address if source else '' for source in sources), ''),
        (*save, ''),
        compute_offer_end(used, index),
        leading,
        seconds + delay_s,
        delay_s,
        max(used, key=used.get, default=''),
        declined,
    )


def list_holding(part, space, readable, index):
    """List the stores that hold the complete part."""
    if part.tokens < MIN_TOKENS:
        return []
    return [
        address
        for address in readable
        if index.cached(address).get((space, part.name), 0) >= part.tokens
    ]


def choose_source(part, holding, stores, token_bytes, delays):
    """Return the Source that a part is fetched from soonest, or None."""
    sources = [
        Source(
            address,
            estimate_seconds(part.tokens, stores[address], token_bytes),
            delays.get(address),
        )
        for address in holding
    ]
    return min(
        sources,
        key=lambda row: (row.seconds + row.delay_s, row.address),
        default=None,
    )


def is_worth_fetching(part, source, delays):
    """Return whether a part is fetched, and not read.

    Without a delay it is: reading takes the target's time from others as well.
    """
    if not source.delay_s:
        return True
    read_s = part.tokens / delays.read_tokens_s
    if source.seconds + source.delay_s < read_s:
        return True
    if delays.rng is None or part.tokens > MAX_TRIAL_TOKENS:
        return False
    return delays.rng.random() < TRIAL_SHARE


def choose_destination(part, space, writable, stores, index):
    """Return the store that a part is written to, or ''.

    All boxes order the stores for a part alike, so that a part is rarely
    written twice.
    """
    if part.tokens < MIN_TOKENS:
        return ''
    with_space = [
        address
        for address in writable
        if index.get(address).taken + index_module.count_memory(part.tokens)
        < stores[address].capacity_tokens * FILL_SHARE
    ]
    if not with_space:
        return ''
    return ownership.rank(f'{space}/{part.name}', tuple(sorted(with_space)))[0]


def compute_offer_end(addresses, index):
    """Return when offers of these stores end, in ms of the targets' clock."""
    clocks = [index.get(address).clock_ms for address in addresses]
    if not clocks:
        return None
    return min(clocks) + index_module.LEASE_S * 1000


def estimate_seconds(tokens, store, token_bytes):
    """Return the seconds that a transfer takes on an idle link.

    >>> from landingspool.decisions.gateway import routes
    >>> store = routes.ContextStore('a:1', 'd', 9000, 800.0, 1, True, 0.001)
    >>> estimate_seconds(1000, store, 100)
    0.002
    """
    bits = tokens * token_bytes * 8
    return store.first_s + bits / (store.link_mbps * MEGABIT)
