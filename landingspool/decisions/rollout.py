"""Weight versions and fenced orders to targets.

The table names the version of each model.  A rollout moves the targets of
a pool to it a few at a time, so that capacity stays and not more runners
load at once than the weight store can feed.  An order carries an epoch,
the log offset of the table that it follows; a target that checks refuses
an older one.  A target that does not check gets orders only from a holder
whose lease is fresh on its own clock, and a successor waits until the
lease of the one before has ended and its orders in flight have arrived.
"""

import typing

MOST_LOADING = 2
LEASE_S = 5.0
FLIGHT_S = 3.0
LOAD_TIMEOUT_S = 30.0
# An order that was not answered may still be on its way for as long.
REORDER_S = FLIGHT_S


class Order(typing.NamedTuple):
    """An order to a target.

    `epoch` is the log offset that fences it, `version` what to load.
    """

    target: str
    epoch: int
    version: str


class Holder(typing.NamedTuple):
    """The right of one box to give orders, on its own monotonic clock."""

    since: float
    fresh_until: float


def take_over(now):
    """Begin to be responsible: others may have been until just now."""
    return Holder(now, now + LEASE_S)


def renew(holder, now):
    """Renew a lease; one that has lapsed begins anew with its wait."""
    if now > holder.fresh_until:
        return take_over(now)
    return holder._replace(fresh_until=now + LEASE_S)


def may_order(holder, checks_fences, now):
    """Tell whether an order may be sent now.

    A target that checks fences may always be ordered: it refuses what is
    old.  For one that does not, time has to keep two holders apart.

    >>> holder = take_over(100.0)
    >>> may_order(holder, True, 100.0), may_order(holder, False, 100.0)
    (True, False)
    >>> holder = renew(holder, 104.0)
    >>> may_order(holder, False, 108.5)
    True
    """
    if checks_fences:
        return True
    waited = now - holder.since >= LEASE_S + FLIGHT_S
    return waited and now <= holder.fresh_until


class Rollout:
    """Moves the targets of one model to a version."""

    def __init__(self):
        self._ordered = {}

    def plan(self, wanted, epoch, targets, holder, now):
        """List the orders to send now.

        Parameters
        ----------
        wanted : str
            Version that the table names; empty where it names none.
        epoch : int
            Offset of the table.
        targets : sequence of pool.Target
        holder : Holder
        now : float

        Returns
        -------
        list of Order
        """
        heard = [t for t in targets if t.report is not None]
        self._forget_done(wanted, heard, now)
        if not wanted:
            return []
        behind = [t for t in heard if t.report.version != wanted]
        loading = [t for t in heard if not t.report.ready]
        busy = {t.member.name for t in loading} | set(self._ordered)
        room = min(MOST_LOADING, count_spare(heard)) - len(busy)
        orders = []
        for target in sorted(behind, key=rank_target):
            name = target.member.name
            again = now - self._ordered.get(name, now) >= REORDER_S
            if name in busy and not again:
                continue
            if room <= 0 and not again:
                break
            if not may_order(holder, target.member.checks_fences, now):
                continue
            room -= 0 if again else 1
            self._ordered[name] = now
            orders.append(Order(name, epoch, wanted))
        return orders

    def _forget_done(self, wanted, heard, now):
        current = {
            t.member.name
            for t in heard
            if t.report.version == wanted and t.report.ready
        }
        for name, sent in list(self._ordered.items()):
            if name in current or now - sent > LOAD_TIMEOUT_S:
                del self._ordered[name]


def count_spare(targets):
    """Give how many targets may be away at once: always keep one.

    >>> count_spare([1]), count_spare([1, 2]), count_spare(list(range(9)))
    (1, 1, 8)
    """
    return max(len(targets) - 1, 1)


def rank_target(target):
    """Order the targets for a swap: the least busy first."""
    return target.report.running, target.member.name
