"""Where context is kept: a directory from cache events, lists and sends.

What targets tell comes late and with gaps, so the directory is a hint for
routing only.  For stores it must be more than that: a transfer from a part
that was not whole would corrupt a request.  A part of a store is offered
only when the store itself told that it is whole, in the life (epoch) that
was confirmed shortly before, and no longer than a lease after that; who
writes into a new life of a store waits out such leases first.

A store takes a write only while it has room, and loses it otherwise without
a word.  So its room is counted as it counts it: in whole blocks, with what
broke off while it was written (one that was believed to have a twentieth
left, and was full, lost a quarter of a day's writes).
"""

import typing

# Seconds for which a confirmation of a store's life may be used.
LEASE_S = 2.6
# Seconds of the lease that have to be left for an offer: the request has to
# reach its target, wait there and fetch, or the transfer is thrown away.
LEAST_LEFT_S = 0.6
# Seconds after a store's life is first seen before anything is written
# into it: leases from its former life, and transfers begun under them,
# have ended by then on every box whose clock runs.  A life in which parts
# are kept has been written into by a box that had waited.
SETTLE_S = 5.4
# Names that an index keeps at most: bounds memory where targets keep many
# small parts (10 MB a box at the sizes of the grown deployments).
MOST_NAMES = 60_000
# Batches of changes kept for the boxes that follow this one: a minute.
MOST_BATCHES = 100
# Tokens that a store gives room for at a time (the users' page of the
# system: memory goes by blocks of 16 tokens).
BLOCK_TOKENS = 16
# Incarnation and place told by a box that knows nothing of a store; no life has
# this number, so it is sent the whole list.
UNKNOWN = -1, -1


class Change(typing.NamedTuple):
    """One cache event: `tokens` of a part are kept from now on; 0: none."""

    space: str
    part: str
    tokens: int


class IncompletePart(typing.NamedTuple):
    """A part that is being written, or that broke off: `room` is taken."""

    space: str
    part: str
    tokens: int
    room: int


class CacheContents(typing.NamedTuple):
    """What one target or store keeps.

    Attributes
    ----------
    epoch : int or None
        Its life; None before it was heard.
    next : int
        Where the next call for events begins.
    cached : dict of tuple to int
        Tokens by (namespace, part name).
    confirmed : float
        When the newest answer was asked for, on this box's clock.
    first_seen : float
        When this epoch was first heard of.
    clock_ms : float or None
        The targets' clock in that answer.
    used : int
        Tokens of room that the kept parts take, as of the newest answer.
    batches : tuple of tuple
        The newest changes, each with the `next` that they led to.
    incomplete : tuple of IncompletePart
        Of the newest whole list.
    extra : int
        Tokens of room that were taken beside `used` at the last count.
    """

    epoch: int | None
    next: int
    cached: dict
    confirmed: float
    first_seen: float
    clock_ms: float | None = None
    used: int = 0
    batches: tuple = ()
    incomplete: tuple = ()
    extra: int = 0

    @property
    def taken(self):
        """Tokens of room that are taken, as far as is known."""
        return self.used + self.extra


class CacheUpdate(typing.NamedTuple):
    """An answer to a call for events, or a whole list (`whole`).

    `age_s` is how long ago the target or store was asked, where another box
    passes the news on.
    """

    epoch: int
    next: int
    lost: bool
    changes: tuple[Change, ...]
    whole: bool = False
    clock_ms: float | None = None
    age_s: float = 0.0
    incomplete: tuple[IncompletePart, ...] = ()


class ContextIndex:
    """The directory of one box."""

    def __init__(self):
        self._indexes = {}

    def get(self, name):
        """Give the CacheContents of a target or store, or None."""
        return self._indexes.get(name)

    def cached(self, name):
        """Give what a target is believed to keep, by (space, part)."""
        index = self._indexes.get(name)
        return index.cached if index is not None else {}

    def forget(self, name):
        """Forget a target or store that has gone."""
        self._indexes.pop(name, None)

    def take(self, name, news, sent, now):
        """Take in news; returns whether a whole list is needed.

        Parameters
        ----------
        sent : float
            When the call that brought the news was sent; what another box
            told is older by the age it gave.
        """
        index = self._indexes.get(name)
        fresh = index is None or index.epoch != news.epoch
        if not fresh and not news.lost and news.next < index.next:
            # Overtaken on its way: parts that it tells of may be gone.
            return False
        if fresh:
            index = CacheContents(news.epoch, news.next, {}, now, now)
        changes = find_missed(index, news) if news.whole else news.changes
        cached = index.cached
        for change in changes:
            apply_change(cached, change)
        trim(cached)
        self._indexes[name] = index._replace(
            next=news.next,
            confirmed=sent - news.age_s,
            # A list tells no clock, and what is offered needs one.
            clock_ms=news.clock_ms,
            used=sum(map(count_room, cached.values())),
            batches=add_batch(() if fresh else index.batches, news, changes),
            incomplete=news.incomplete if news.whole else index.incomplete,
            extra=count_unwhole(news) if news.whole else index.extra,
        )
        return not news.whole and (news.lost or fresh)

    def record_taken(self, name, epoch, taken):
        """Take in how much of a store's room was taken, as another box saw.

        Parameters
        ----------
        epoch : int
            The store's life then.
        taken : int
            Tokens, as CacheContents.taken.
        """
        index = self._indexes.get(name)
        if index is None or index.epoch != epoch:
            return
        extra = max(taken - index.used, 0)
        self._indexes[name] = index._replace(extra=extra)

    def forget_incomplete(self, name, parts):
        """Note that unwhole parts of a store were freed.

        Parameters
        ----------
        parts : collection of tuple of str
            (namespace, part name) each.
        """
        index = self._indexes[name]
        left = tuple(
            row
            for row in index.incomplete
            if (row.space, row.part) not in parts
        )
        extra = sum(row.room for row in left)
        self._indexes[name] = index._replace(incomplete=left, extra=extra)

    def get_position(self, name):
        """Give the life and the place up to which all is known here."""
        index = self._indexes.get(name)
        if index is None or index.epoch is None:
            return UNKNOWN
        return index.epoch, index.next

    def tell(self, name, epoch, since, now):
        """Give what another box needs that knows a life up to `since`.

        Returns
        -------
        CacheUpdate or None
            `lost` where the changes do not reach back so far: the list is
            then to be had from the store, whose link is wider than ours.
        """
        index = self._indexes.get(name)
        if index is None or index.epoch is None:
            return None
        changes = None
        if index.epoch == epoch:
            changes = find_changes(index, since)
        return CacheUpdate(
            epoch=index.epoch,
            next=index.next,
            lost=changes is None,
            changes=changes or (),
            clock_ms=index.clock_ms,
            age_s=now - index.confirmed,
        )

    def add_read(self, name, space, parts, now):
        """Note that a target has read parts for a request of ours."""
        index = self._indexes.get(name)
        if index is None:
            index = CacheContents(None, 0, {}, now, now)
            self._indexes[name] = index
        for part in parts:
            index.cached[(space, part.name)] = part.tokens

    def may_fetch(self, name, now):
        """Tell whether parts of a store may be offered at `now`."""
        index = self._indexes.get(name)
        if index is None or index.clock_ms is None:
            return False
        return now - index.confirmed < LEASE_S - LEAST_LEFT_S

    def may_save(self, name, now):
        """Tell whether parts may be written into a store at `now`."""
        index = self._indexes.get(name)
        if index is None or not self.may_fetch(name, now):
            return False
        return index.used > 0 or now - index.first_seen >= SETTLE_S


def count_room(tokens):
    """Give the tokens of room that a part takes in a store.

    >>> count_room(16), count_room(17)
    (16, 32)
    """
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def count_unwhole(news):
    """Give the tokens of room that unwhole parts of a list take."""
    return sum(row.room for row in news.incomplete)


def find_missed(index, news):
    """Give the changes that lead from what is known to a whole list.

    >>> index = CacheContents(1, 9, {('s', 'a'): 5, ('s', 'b'): 5}, 0, 0)
    >>> listed = Change('s', 'b', 5), Change('s', 'c', 7)
    >>> for change in find_missed(index, CacheUpdate(1, 9, False, listed, True)):
    ...     print(change)
    Change(space='s', part='a', tokens=0)
    Change(space='s', part='c', tokens=7)
    """
    listed = {(row.space, row.part): row.tokens for row in news.changes}
    gone = [Change(*key, 0) for key in index.cached if key not in listed]
    new = [
        row
        for row in news.changes
        if index.cached.get((row.space, row.part)) != row.tokens
    ]
    return (*gone, *new)


def add_batch(batches, news, changes):
    """Add the changes that news brought to those kept for other boxes."""
    if news.whole and not batches:
        # Nobody can go on from an earlier place: what came before is in
        # the list, in no order.
        return ((news.next, ()),)
    if not changes and batches:
        return batches
    return (*batches, (news.next, changes))[-MOST_BATCHES:]


def find_changes(index, since):
    """Give the changes after `since`; None where they are gone.

    >>> index = CacheContents(1, 9, {}, 0, 0, batches=((5, ()), (9, ('x',))))
    >>> find_changes(index, 5), find_changes(index, 9)
    (('x',), ())
    >>> find_changes(index, 4) is None
    True

    Who followed another box may stand within a batch, or ahead of this box.
    What it is told twice does no harm: each change tells what holds after
    it, and they come in order.

    >>> find_changes(index, 7), find_changes(index, 12)
    (('x',), ())
    """
    if not index.batches or since < index.batches[0][0]:
        return None
    after = [changes for end, changes in index.batches if end > since]
    return tuple(change for changes in after for change in changes)


def apply_change(cached, change):
    """Apply one event to the map of what is kept, in place."""
    key = change.space, change.part
    if change.tokens > 0:
        cached[key] = change.tokens
    else:
        cached.pop(key, None)


def trim(cached):
    """Drop the names that were noted first where there are too many."""
    while len(cached) > MOST_NAMES:
        cached.pop(next(iter(cached)))
