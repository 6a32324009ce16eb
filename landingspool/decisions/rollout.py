"""Rolling updates of weight versions, with fenced orders to targets.

The table names the version of each model.  A rollout updates the targets of
a pool a few at a time, so that enough capacity remains and no more targets
load at once than the weight store can serve.  An order carries an epoch, the
log offset of the table that it follows; a target that checks fences refuses
an older epoch.  A target that does not check them gets orders only from a
holder whose lease is valid by its own clock.  A successor waits until the
lease of its predecessor has expired and the orders in flight have arrived.
"""

import typing

MAX_LOADING_TARGETS = 2
LEASE_S = 5.0
MAX_ORDER_DELAY_S = 3.0
LOAD_TIMEOUT_S = 30.0
# An order without an answer may still be in flight for this long.
RESEND_AFTER_S = MAX_ORDER_DELAY_S


class Order(typing.NamedTuple):
    """An order to a target to load a version.

    `epoch` is the log offset that fences it.
    """

    target: str
    epoch: int
    version: str


class Holder(typing.NamedTuple):
    """Lease of the right to give orders, in seconds of the own clock."""

    since: float
    fresh_until: float


def take_over(now):
    """Start a lease; another box may have held one until `now`."""
    return Holder(now, now + LEASE_S)


def renew(holder, now):
    """Renew a lease; an expired one starts again, with its wait."""
    if now > holder.fresh_until:
        return take_over(now)
    return holder._replace(fresh_until=now + LEASE_S)


def may_order(holder, checks_fences, now):
    """Return whether an order may be sent now.

    A target that checks fences may always get orders, because it refuses
    outdated ones.  For any other target, the times of two holders must not
    overlap.

    >>> holder = take_over(100.0)
    >>> may_order(holder, True, 100.0), may_order(holder, False, 100.0)
    (True, False)
    >>> holder = renew(holder, 104.0)
    >>> may_order(holder, False, 108.5)
    True
    """
    if checks_fences:
        return True
    waited = now - holder.since >= LEASE_S + MAX_ORDER_DELAY_S
    return waited and now <= holder.fresh_until


class Rollout:
    """Updates the targets of one model to a version."""

    def __init__(self):
        self._sent_at = {}

    def plan(self, wanted, epoch, targets, holder, now):
        """List the orders to send now, and record them as sent.

        Parameters
        ----------
        wanted : str
            Version that the table names; empty if it names none.
        epoch : int
            Offset of the table.
        targets : sequence of pool.Target
        holder : Holder
        now : float

        Returns
        -------
        list of Order
        """
        reporting = [t for t in targets if t.report is not None]
        self._remove_finished(wanted, reporting, now)
        if not wanted:
            return []
        outdated = [t for t in reporting if t.report.version != wanted]
        loading = [t for t in reporting if not t.report.ready]
        busy = {t.member.name for t in loading} | set(self._sent_at)
        budget = min(
            MAX_LOADING_TARGETS, get_max_unavailable(reporting)
        ) - len(busy)
        orders = []
        for target in sorted(outdated, key=rank_target):
            name = target.member.name
            resend = now - self._sent_at.get(name, now) >= RESEND_AFTER_S
            if name in busy and not resend:
                continue
            if budget <= 0 and not resend:
                break
            if not may_order(holder, target.member.checks_fences, now):
                continue
            budget -= 0 if resend else 1
            self._sent_at[name] = now
            orders.append(Order(name, epoch, wanted))
        return orders

    def _remove_finished(self, wanted, reporting, now):
        current = {
            t.member.name
            for t in reporting
            if t.report.version == wanted and t.report.ready
        }
        for name, sent in list(self._sent_at.items()):
            if name in current or now - sent > LOAD_TIMEOUT_S:
                del self._sent_at[name]


def get_max_unavailable(targets):
    """Return how many targets may load at once: all but one, at least one.

    >>> [get_max_unavailable(range(count)) for count in (1, 2, 9)]
    [1, 1, 8]
    """
    return max(len(targets) - 1, 1)


def rank_target(target):
    """Return the sort key for an update: the least busy target first."""
    return target.report.running, target.member.name
