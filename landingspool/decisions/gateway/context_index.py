"""Indexes the context (KV cache) that each target and store has cached.

The index is built from cache events, from full lists and from the requests of
this box.  Events of targets arrive late and with gaps, so for targets the
index is only a hint for routing.  For stores it must be exact: fetching a part
that is not complete would corrupt a request.  A part of a store is offered
only if the store itself reported it as complete, in the epoch that was
confirmed shortly before, and no longer than a lease after that; a box that
writes into a new epoch of a store first waits until such leases have ended.

A store accepts a write only while it has free memory, and silently drops it
otherwise.  So used memory is counted as the store counts it: in whole blocks,
with incomplete parts.  A store that was assumed to have a twentieth free, and
was full, lost a quarter of all writes.
"""

import typing

from landingspool.decisions import decoding

# Seconds for which a confirmation of a store's epoch may be used.
LEASE_S = 2.6
# Seconds of the lease that have to be left for an offer: the request has to
# reach its target, wait there and fetch, or the transfer is discarded.
MIN_LEFT_S = 0.6
# Seconds after a store's epoch is first seen before anything is written into
# it: leases of its former epoch, and transfers begun under them, have ended by
# then on every box whose clock runs.  If the store already holds parts of the
# epoch, another box has waited before it wrote them, and this one need not.
SETTLE_S = 5.4
# Names that the index of one target holds at most: bounds memory where targets
# hold many small parts (10 MB a box in the largest deployments).
MAX_NAMES = 60_000
# Batches of changes kept for the boxes that follow this one: those of about a
# minute.
MAX_BATCHES = 100
# Block size of a store in tokens: it allocates memory in blocks of 16 tokens,
# as operators state.
BLOCK_TOKENS = 16
# Epoch and position reported by a box that knows nothing of a store; no epoch
# has this number, so the box is sent the full list.
UNKNOWN = -1, -1


class Change(typing.NamedTuple):
    """One cache event: `tokens` of a part are cached from now on; 0: none."""

    space: str
    part: str
    tokens: decoding.Whole


class IncompletePart(typing.NamedTuple):
    """A part that is being written, or whose write was cut off.

    `room` is the memory that it takes, in tokens.
    """

    space: str
    part: str
    tokens: decoding.Whole
    room: decoding.Whole


class CacheContents(typing.NamedTuple):
    """Contents of one target's or store's cache.

    Attributes
    ----------
    epoch : int or None
        Number of its incarnation; None before it was received.
    next : int
        Position at which the next call for events begins.
    cached : dict of tuple to int
        Tokens by (namespace, part name).
    confirmed : float
        When the newest answer was requested, on this box's clock.
    first_seen : float
        When this epoch was first received.
    clock_ms : float or None
        The targets' clock in that answer.
    used : int
        Tokens of memory that the complete parts take, as of the newest answer.
    batches : tuple of tuple
        The newest changes, each with the `next` that they led to.
    incomplete : tuple of IncompletePart
        Of the newest full list.
    extra : int
        Tokens of memory that were taken beside `used` at the last count.
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
        """Tokens of memory that are taken, as far as is known."""
        return self.used + self.extra


class CacheUpdate(typing.NamedTuple):
    """An answer to a call for events, or a full list (`whole`).

    `age_s` is how many seconds ago the target or store was asked, if another
    box forwards the answer.
    """

    epoch: decoding.Whole
    next: decoding.Whole
    lost: bool
    changes: tuple[Change, ...]
    whole: bool = False
    clock_ms: decoding.Figure | None = None
    age_s: decoding.Age = 0.0
    incomplete: tuple[IncompletePart, ...] = ()


class ContextIndex:
    """Hold the contents of all caches that one box knows."""

    def __init__(self):
        self._indexes = {}

    def get(self, name):
        """Return the contents of a target or store, or None."""
        return self._indexes.get(name)

    def cached(self, name):
        """Return what a target is assumed to have cached, by (space, part)."""
        index = self._indexes.get(name)
        return index.cached if index is not None else {}

    def forget(self, name):
        """Discard the contents of a target or store that is gone."""
        self._indexes.pop(name, None)

    def take(self, name, update, sent, now):
        """Apply an update; return whether a full list is needed.

        Parameters
        ----------
        sent : float
            When the call that returned the update was sent; an update that
            another box forwards is older by the age it states.
        """
        index = self._indexes.get(name)
        is_new = index is None or index.epoch != update.epoch
        if not is_new and not update.lost and update.next < index.next:
            # Overtaken by a newer update: parts in it may be gone.
            return False
        if is_new:
            index = CacheContents(update.epoch, update.next, {}, now, now)
        changes = diff_list(index, update) if update.whole else update.changes
        cached = index.cached
        for change in changes:
            apply_change(cached, change)
        trim(cached)
        self._indexes[name] = index._replace(
            next=update.next,
            confirmed=sent - update.age_s,
            # A list carries no clock, and offers need one.
            clock_ms=update.clock_ms,
            used=sum(map(count_memory, cached.values())),
            batches=add_batch(
                () if is_new else index.batches, update, changes
            ),
            incomplete=update.incomplete if update.whole else index.incomplete,
            extra=count_incomplete(update) if update.whole else index.extra,
        )
        return not update.whole and (update.lost or is_new)

    def record_taken(self, name, epoch, taken):
        """Record how much of a store's memory another box counted as taken.

        Parameters
        ----------
        epoch : int
            The store's epoch then.
        taken : int
            Tokens of memory, as CacheContents.taken.
        """
        index = self._indexes.get(name)
        if index is None or index.epoch != epoch:
            return
        extra = max(taken - index.used, 0)
        self._indexes[name] = index._replace(extra=extra)

    def forget_parts(self, name, epoch, parts):
        """Record that complete parts of a store were freed.

        One in a hundred events is lost, so that some would stay in the index
        until the next list.

        Parameters
        ----------
        epoch : int
            The store's epoch when it freed them.
        parts : collection of tuple of str
            (namespace, part name) each.
        """
        index = self._indexes.get(name)
        if index is None or index.epoch != epoch:
            return
        for key in parts:
            index.cached.pop(key, None)

    def forget_incomplete(self, name, parts):
        """Record that incomplete parts of a store were freed.

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

    def withdraw(self, name):
        """Stop offering parts of a store until it answers again.

        Returns
        -------
        bool
            Whether parts were offered.
        """
        index = self._indexes.get(name)
        if index is None or index.clock_ms is None:
            return False
        self._indexes[name] = index._replace(clock_ms=None)
        return True

    def get_position(self, name):
        """Return the epoch and position up to which changes are known here."""
        index = self._indexes.get(name)
        if index is None or index.epoch is None:
            return UNKNOWN
        return index.epoch, index.next

    def make_update(self, name, epoch, since, now):
        """Return the update for another box that knows an epoch up to `since`.

        Returns
        -------
        CacheUpdate or None
            `lost` is set if the changes do not reach back so far: the box then
            gets the list from the store, whose link is wider than that between
            boxes.
        """
        index = self._indexes.get(name)
        if index is None or index.epoch is None:
            return None
        changes = None
        if index.epoch == epoch:
            changes = list_changes(index, since)
        return CacheUpdate(
            epoch=index.epoch,
            next=index.next,
            lost=changes is None,
            changes=changes or (),
            clock_ms=index.clock_ms,
            age_s=now - index.confirmed,
        )

    def add_read(self, name, space, parts, now):
        """Record that a target has read parts for a request of this box."""
        index = self._indexes.get(name)
        if index is None:
            index = CacheContents(None, 0, {}, now, now)
            self._indexes[name] = index
        for part in parts:
            index.cached[(space, part.name)] = part.tokens

    def may_fetch(self, name, now):
        """Return whether parts of a store may be offered at `now`."""
        index = self._indexes.get(name)
        if index is None or index.clock_ms is None:
            return False
        return now - index.confirmed < LEASE_S - MIN_LEFT_S

    def may_save(self, name, now):
        """Return whether parts may be written into a store at `now`."""
        index = self._indexes.get(name)
        if index is None or not self.may_fetch(name, now):
            return False
        return index.used > 0 or now - index.first_seen >= SETTLE_S


def count_memory(tokens):
    """Return the tokens of memory that a part takes in a store.

    >>> count_memory(16), count_memory(17)
    (16, 32)
    """
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def count_incomplete(update):
    """Return the tokens of memory that incomplete parts of a list take."""
    return sum(row.room for row in update.incomplete)


def diff_list(index, update):
    """Return the changes from the known contents to those of a full list.

    >>> index = CacheContents(1, 9, {('s', 'a'): 5, ('s', 'b'): 5}, 0, 0)
    >>> listed = Change('s', 'b', 5), Change('s', 'c', 7)
    >>> for change in diff_list(index, CacheUpdate(1, 9, False, listed, True)):
    ...     print(change)
    Change(space='s', part='a', tokens=0)
    Change(space='s', part='c', tokens=7)
    """
    listed = {(row.space, row.part): row.tokens for row in update.changes}
    gone = [Change(*key, 0) for key in index.cached if key not in listed]
    new = [
        row
        for row in update.changes
        if index.cached.get((row.space, row.part)) != row.tokens
    ]
    return (*gone, *new)


def add_batch(batches, update, changes):
    """Return the batches for other boxes, with the changes of an update."""
    if update.whole and not batches:
        # No box can continue from an earlier position: earlier changes are in
        # the list, without their order.
        return ((update.next, ()),)
    if not changes and batches:
        return batches
    return (*batches, (update.next, changes))[-MAX_BATCHES:]


def list_changes(index, since):
    """Return the changes after `since`; None if they are no longer kept.

    >>> index = CacheContents(1, 9, {}, 0, 0, batches=((5, ()), (9, ('x',))))
    >>> list_changes(index, 5), list_changes(index, 9)
    (('x',), ())
    >>> list_changes(index, 4) is None
    True

    A box that followed another one may be within a batch, or ahead of this
    box. Receiving a change twice is harmless: each states the tokens that are
    cached after it, and changes are in order.

    >>> list_changes(index, 7), list_changes(index, 12)
    (('x',), ())
    """
    if not index.batches or since < index.batches[0][0]:
        return None
    after = [changes for end, changes in index.batches if end > since]
    return tuple(change for changes in after for change in changes)


def apply_change(cached, change):
    """Apply one event to the map of cached parts, in place."""
    key = change.space, change.part
    if change.tokens > 0:
        cached[key] = change.tokens
    else:
        cached.pop(key, None)


def trim(cached):
    """Drop the names that were added first if there are too many."""
    while len(cached) > MAX_NAMES:
        cached.pop(next(iter(cached)))
