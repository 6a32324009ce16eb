"""Which parts of a prompt come from stores, and which are written there.

A store frees nothing by itself and checks nothing: a part is offered only
as `context_index` allows, and every offer ends with a time on the targets' clock.
"""

import typing

from landingspool.decisions.gateway import prompts
from landingspool.decisions.gateway import context_index as index_module
from landingspool.decisions import ownership

# Tokens under which a part is not worth a transfer: its wait (a miss costs
# a millisecond) is as long as reading it.
LEAST_TOKENS = 96
# Share of a store that is filled: what others write at the same moment has
# to fit in beside ours.
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
        How long the transfer takes on idle links.
    """

    fetch: tuple = ()
    save: tuple = ()
    until_ms: float | None = None
    tokens: int = 0
    seconds: float = 0.0


def plan_transfer(
    prompt, space, context_stores, context_index, token_bytes, now
):
    """Plan the transfers of one request.

    Parameters
    ----------
    context_stores : dict of str to routes.ContextStore
        By address.
    context_index : warmth.ContextIndex
    token_bytes : int
    """
    managed = {a: k for a, k in context_stores.items() if k.managed}
    readable = [a for a in managed if context_index.may_fetch(a, now)]
    writable = [a for a in managed if context_index.may_save(a, now)]
    if not readable:
        return Transfer()
    fetch, save, used = [], [], set()
    tokens, seconds, leading = 0, 0.0, True
    for part in prompts.list_shared(prompt):
        source = find_source(part, space, readable, managed, context_index)
        target = (
            ''
            if source
            else find_room(part, space, writable, managed, context_index)
        )
        fetch.append(source)
        save.append(target)
        leading = leading and bool(source)
        if not source:
            continue
        used.add(source)
        if leading:
            tokens += part.tokens
        seconds += find_seconds(part.tokens, managed[source], token_bytes)
    # The last part is the request's own: nobody reads it again.
    fetch.append('')
    save.append('')
    return Transfer(
        tuple(fetch),
        tuple(save),
        find_end(used, context_index),
        tokens,
        seconds,
    )


def find_source(part, space, readable, context_stores, context_index):
    """Give the fastest store that holds the whole part, or an empty text."""
    if part.tokens < LEAST_TOKENS:
        return ''
    holding = [
        address
        for address in readable
        if context_index.cached(address).get((space, part.name), 0)
        >= part.tokens
    ]
    return max(
        holding, key=lambda a: (context_stores[a].link_mbps, a), default=''
    )


def find_room(part, space, writable, context_stores, context_index):
    """Give the store that a part is written to, or an empty text.

    All boxes agree on the order of stores for a part, so that one part is
    seldom written twice.
    """
    if part.tokens < LEAST_TOKENS:
        return ''
    roomy = [
        address
        for address in writable
        if context_index.get(address).taken
        + index_module.count_room(part.tokens)
        < context_stores[address].capacity_tokens * FILL_SHARE
    ]
    if not roomy:
        return ''
    return ownership.rank(f'{space}/{part.name}', tuple(sorted(roomy)))[0]


def find_end(addresses, context_index):
    """Give when offers from these stores end, on the targets' clock."""
    clocks = [context_index.get(address).clock_ms for address in addresses]
    if not clocks:
        return None
    return min(clocks) + index_module.LEASE_S * 1000


def find_seconds(tokens, context_store, token_bytes):
    """Give the seconds that a transfer takes on an idle link.

    >>> from landingspool.decisions.gateway import routes
    >>> context_store = routes.ContextStore('a:1', 'd', 9000, 800.0, 1, True, 0.001)
    >>> find_seconds(1000, context_store, 100)
    0.002
    """
    bits = tokens * token_bytes * 8
    return context_store.first_s + bits / (context_store.link_mbps * MEGABIT)
