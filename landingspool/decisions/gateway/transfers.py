"""Plans which parts of a prompt are fetched from stores or written to them.

A store frees nothing by itself and checks nothing: a part is offered only as
the index allows, and every offer ends at a time on the targets' clock.
"""

import typing

from landingspool.decisions.gateway import context_index as index_module
from landingspool.decisions.gateway import prompts
from landingspool.decisions import ownership

# Tokens below which a part is not worth a transfer: the wait before it (a miss
# costs a millisecond) is as long as reading the part.
MIN_TOKENS = 96
# Share of a store that is filled: simultaneous writes of other boxes have to
# fit in as well.
FILL_SHARE = 0.96
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
        Duration of the transfer on idle links.
    """

    fetch: tuple = ()
    save: tuple = ()
    until_ms: float | None = None
    tokens: int = 0
    seconds: float = 0.0


def plan_transfer(prompt, space, stores, index, token_bytes, now):
    """Return the transfers of one request.

    Parameters
    ----------
    stores : dict of str to routes.ContextStore
        By address.
    index : context_index.ContextIndex
    token_bytes : int
    """
    managed = {a: k for a, k in stores.items() if k.managed}
    readable = [a for a in managed if index.may_fetch(a, now)]
    writable = [a for a in managed if index.may_save(a, now)]
    if not readable:
        return Transfer()
    fetch, save, used = [], [], set()
    tokens, seconds, leading = 0, 0.0, True
    for part in prompts.list_shared(prompt):
        source = choose_source(part, space, readable, managed, index)
        destination = (
            ''
            if source
            else choose_destination(part, space, writable, managed, index)
        )
        fetch.append(source)
        save.append(destination)
        leading = leading and bool(source)
        if not source:
            continue
        used.add(source)
        if leading:
            tokens += part.tokens
        seconds += estimate_seconds(part.tokens, managed[source], token_bytes)
    # The last part is the request's own: it is not read again.
    fetch.append('')
    save.append('')
    return Transfer(
        tuple(fetch),
        tuple(save),
        compute_offer_end(used, index),
        tokens,
        seconds,
    )


def choose_source(part, space, readable, stores, index):
    """Return the fastest store that holds the complete part, or ''."""
    if part.tokens < MIN_TOKENS:
        return ''
    holding = [
        address
        for address in readable
        if index.cached(address).get((space, part.name), 0) >= part.tokens
    ]
    return max(holding, key=lambda a: (stores[a].link_mbps, a), default='')


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
