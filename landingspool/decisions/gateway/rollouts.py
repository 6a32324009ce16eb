"""Plans rollouts: which targets get an order to load a published version.

A target serves nobody while it loads, and orders may be left without an answer
and be carried out late.  So the plan follows the state of each order, and
limits how many targets are under way at once (`rollout_pace`).  Who may give
the orders is decided in `order_claims`.
"""

import collections
import itertools
import typing

from landingspool.decisions.gateway import rollout_pace

# Seconds before another attempt at an order without an answer, which may be
# carried out late; the target's own report allows one earlier.
UNANSWERED_S = 2.5
# Seconds for which an order counts as under way without a report of the
# target.
LOAD_S = 8.0
# Seconds between the announcement to all boxes and the order: requests under
# way arrive, waiting ones begin, short runs end.  Longer runs continue during
# the load, which costs a part of their value; waiting for them would exclude a
# fifth of all targets for seconds.
CLOSING_S = 0.5
# Pause in seconds after an order that was refused.
REFUSED_S = 0.6
# Seconds by which all loads are to end sooner if orders have no answer: some
# of these are carried out late.
LATE_ORDERS_MARGIN_S = 1.5
# Seconds for which a new holder waits for a report of a target that had an
# order of the former one, however long ago.
TAKE_OVER_REPORT_S = 1.0
# Maximum number of orders that a claim names: those given last.
MAX_GIVEN = 64


class Given(typing.NamedTuple):
    """An order in a claim that may be carried out, and its age."""

    target: str
    model: str
    version: int
    age_ms: int


class Order(typing.NamedTuple):
    """An order to load a version of a model's weights."""

    target: str
    model: str
    version: int


class Pending(typing.NamedTuple):
    """An order that was given, its time and state.

    `number` tells the orders to one target apart.
    """

    order: Order
    sent: float
    state: str
    number: int = 0


PREPARING = 'preparing'
# Another order is under way to a target that may carry out an earlier one.
REPEATING = 'repeating'
ACCEPTED = 'accepted'
UNANSWERED = 'unanswered'
# Unanswered, and the target's report says that it does not load yet.
NOT_BEGUN = 'not_begun'
# The target's report says that it loads.
BUSY = 'busy'
# The same before the order was given: it loads for another one.
OCCUPIED = 'occupied'
# Given by a former holder, whose claim named the target as loading, or did
# not; the target's report has not been read since.
TAKEN_OVER = 'taken_over'
TAKEN_OVER_IDLE = 'taken_over_idle'
REFUSED = 'refused'

# Seconds for which a state prevents another order to the target.
RETRY_DELAYS_S = {
    PREPARING: LOAD_S,
    REPEATING: LOAD_S,
    ACCEPTED: LOAD_S,
    UNANSWERED: UNANSWERED_S,
    NOT_BEGUN: UNANSWERED_S,
    BUSY: LOAD_S,
    OCCUPIED: LOAD_S,
    REFUSED: REFUSED_S,
    TAKEN_OVER: LOAD_S,
    TAKEN_OVER_IDLE: LOAD_S,
}
# States in which a target refuses requests, or will soon.
LOADING = (PREPARING, ACCEPTED, UNANSWERED, BUSY, OCCUPIED, TAKEN_OVER)
# States that count as under way: a repeated order may be carried out at once,
# but most aren't, and till then its target serves.
UNDER_WAY = (*LOADING, REPEATING, TAKEN_OVER_IDLE)
# States in which no order of this version may be carried out.
NOT_GIVEN = (OCCUPIED, REFUSED)
# The state after a report of the target, by the state before and by whether it
# says that the target is busy.
REPORTED = {
    (PREPARING, True): OCCUPIED,
    (OCCUPIED, False): REFUSED,
    (REPEATING, True): BUSY,
    (UNANSWERED, True): BUSY,
    (UNANSWERED, False): NOT_BEGUN,
    (NOT_BEGUN, True): BUSY,
    (BUSY, False): NOT_BEGUN,
    (TAKEN_OVER, True): BUSY,
    (TAKEN_OVER, False): NOT_BEGUN,
    (TAKEN_OVER_IDLE, True): BUSY,
    (TAKEN_OVER_IDLE, False): NOT_BEGUN,
}
# The state after a repeated order: an earlier one may still be carried out.
REPEATED = {UNANSWERED: NOT_BEGUN, REFUSED: NOT_BEGUN}


class Rollout:
    """Plan the orders for one model."""

    def __init__(self):
        self._version = 0
        self._pending = {}
        self._numbers = itertools.count(1)
        # Number of orders to each target for the version.
        self._given = collections.Counter()
        # Number of orders for the version by how they were taken.
        self._outcomes = collections.Counter()

    def record(self, order, now, state):
        """Record the state of an order."""
        self._outcomes[state] += 1
        number = self.get_number(order.target)
        if self.is_repeating(order.target):
            state = REPEATED.get(state, state)
        self._pending[order.target] = Pending(order, now, state, number)

    def prepare(self, order, now):
        """Record that an order is about to be given.

        >>> rollout, order = Rollout(), Order('a', 'm', 2)
        >>> rollout.prepare(order, 0.0)
        >>> rollout.record(order, 1.0, UNANSWERED)
        >>> rollout.take_report('a', False, 1.2)
        >>> rollout.prepare(order, 3.5)
        >>> rollout.is_repeating('a'), rollout.list_loading(3.5)
        (True, {})
        """
        known = self._pending.get(order.target)
        is_repeated = known is not None and known.state == NOT_BEGUN
        self._given[order.target] += 1
        self._pending[order.target] = Pending(
            order,
            now,
            REPEATING if is_repeated else PREPARING,
            next(self._numbers),
        )

    def is_repeating(self, target):
        """Return whether an order is repeated while the target serves."""
        known = self._pending.get(target)
        return known is not None and known.state == REPEATING

    def needs_closing(self, target, left_s):
        """Return whether a target has to be closed before its order.

        No box uses one with weights that are too old, and one that may carry
        out an earlier order at any time serves until it does.

        Parameters
        ----------
        left_s : float
            Seconds for which the target's weights remain usable.

        >>> rollout = Rollout()
        >>> rollout.needs_closing('a', 3.0), rollout.needs_closing('a', 0.0)
        (True, False)
        """
        return left_s > 0 and not self.is_repeating(target)

    def get_number(self, target):
        """Return the number of the last order to a target, or 0."""
        known = self._pending.get(target)
        return known.number if known is not None else 0

    def take_report(self, target, busy, now):
        """Record whether a target says that it is carrying out an order.

        An order without an answer may be carried out at any time after a
        report that the target is not busy.  Until then it needs no place.

        >>> rollout, order = Rollout(), Order('a', 'm', 2)
        >>> rollout.record(order, 1.0, UNANSWERED)
        >>> rollout.take_report('a', False, 1.2)
        >>> rollout.list_loading(1.2)
        {}
        >>> rollout.take_report('a', True, 5.0)
        >>> rollout.list_loading(5.0)
        {'a': 0.0}
        """
        known = self._pending.get(target)
        if known is None:
            return
        state = REPORTED.get((known.state, busy))
        if state is None:
            return
        # The order is repeated no later for a report that nothing began.
        sent = known.sent if state == NOT_BEGUN else now
        self._pending[target] = known._replace(sent=sent, state=state)

    def finish(self, target):
        """Record that nothing is under way at a target any more."""
        self._pending.pop(target, None)

    def withdraw(self, order):
        """Record that a planned order was not given."""
        self.finish(order.target)
        self._given[order.target] -= 1

    def is_open(self, target, number):
        """Return whether an order is the last one to its target and open."""
        known = self._pending.get(target)
        return (
            known is not None
            and known.number == number
            and known.state != REFUSED
        )

    def forget(self, targets, now):
        """Discard the orders that are done, are over, or had a target gone.

        Parameters
        ----------
        targets : dict of str to int
            As for `plan`.
        """
        for name, pending in list(self._pending.items()):
            done = targets.get(name, 0) >= pending.order.version
            # A load that has not begun may begin after any time.
            over = pending.state != NOT_BEGUN and is_over(pending, now)
            if name not in targets or done or over:
                del self._pending[name]
        for name in self._given.keys() - targets.keys():
            del self._given[name]

    def plan_by_deadline(self, model, version, targets, left, now):
        """Return the orders to give now, by the time that is left.

        Parameters
        ----------
        version, targets
            As for `plan`.
        left : dict of str to float
            For each target that is behind, the seconds for which it may still
            be used.

        >>> rollout, left = Rollout(), dict.fromkeys('abcde', 9.0)
        >>> targets = dict.fromkeys('abcde', 1)
        >>> [
        ...     order.target
        ...     for order in rollout.plan_by_deadline(
        ...         'm', 2, targets, left | {'c': -1.0}, 0.0
        ...     )
        ... ]
        ['a', 'c']
        """
        self._begin(version)
        expired = frozenset(name for name in left if left[name] <= 0)
        used = [seconds for seconds in left.values() if seconds > 0]
        if self._outcomes[UNANSWERED]:
            used = [seconds - LATE_ORDERS_MARGIN_S for seconds in used]
        concurrency = rollout_pace.compute_concurrency(len(targets), used)
        if not all(map(self._given.get, left)):
            concurrency = rollout_pace.compute_first_concurrency(
                len(targets),
                concurrency,
                self._outcomes[ACCEPTED],
                self._outcomes[UNANSWERED],
            )
        return self.plan(model, version, targets, concurrency, now, expired)

    def plan(
        self, model, version, targets, concurrency, now, expired=frozenset()
    ):
        """Return the orders to give now.

        Parameters
        ----------
        version : int
            The newest published one.
        targets : dict of str to int
            The version that each target of the model has.
        concurrency : int
            Targets that may be under way at once of those that are in use.
        expired : frozenset of str
            Targets whose weights are too old for any request.  They serve
            nobody, so only the loads that slow each other limit them.

        >>> rollout = Rollout()
        >>> orders = rollout.plan('m', 2, {'a': 1, 'b': 1, 'c': 2}, 1, 0.0)
        >>> orders
        [Order(target='a', model='m', version=2)]
        >>> rollout.record(orders[0], 0.0, ACCEPTED)
        >>> rollout.plan('m', 2, {'a': 1, 'b': 1, 'c': 2}, 1, 1.0)
        []
        """
        self._begin(version)
        self.forget(targets, now)
        # A target that refused its order does not load, and is not counted.
        loading = {
            name for name, p in self._pending.items() if p.state in UNDER_WAY
        }
        places = max(
            rollout_pace.compute_limit(len(targets)), concurrency
        ) - len(loading)
        places_in_use = concurrency - len(loading - expired)
        chosen = []
        for name in self._rank_behind(version, targets, now):
            is_in_use = name not in expired
            if places <= 0 or (is_in_use and places_in_use <= 0):
                continue
            places -= 1
            places_in_use -= is_in_use
            chosen.append(name)
        return [Order(name, model, version) for name in chosen]

    def _begin(self, version):
        if version != self._version:
            self._version = version
            self._given.clear()
            self._outcomes.clear()

    def _rank_behind(self, version, targets, now):
        """Return the targets that may get an order, the first one first.

        Those without any order precede the others.  Then the furthest behind
        is first: each version has a deadline of its own.
        """
        return sorted(
            (
                name
                for name, has in targets.items()
                if has < version and self._may_order(name, now)
            ),
            key=lambda name: (
                self._given[name] > 0,
                targets[name],
                self._given[name],
                name,
            ),
        )

    def _may_order(self, name, now):
        pending = self._pending.get(name)
        if pending is None:
            return True
        return pending.state == NOT_BEGUN and is_over(pending, now)

    def take_over(self, claim, model, version, targets, written, now):
        """Adopt the orders that another holder's claim names.

        What this box knows of a target since the claim is kept.

        Parameters
        ----------
        version, targets
            As for `plan`.
        written : float
            When the claim was written, in seconds of this box's clock.

        Returns
        -------
        list of Order

        >>> from landingspool.decisions.gateway import order_claims
        >>> rollout, given = Rollout(), (Given('a', 'm', 2, 500),)
        >>> claim = order_claims.Claim('b', 7, {'a': 0.0}, given=given)
        >>> rollout.take_over(claim, 'm', 2, {'a': 1, 'c': 1}, 1.0, 4.4)
        [Order(target='a', model='m', version=2)]
        >>> rollout.list_loading(4.4)
        {'a': 0.0}
        """
        self._begin(version)
        rows = list_taken_over(claim, model, version, written, now)
        adopted = []
        for row in rows:
            target = row.order.target
            known = self._pending.get(target)
            if target not in targets or (known and known.sent >= row.sent):
                continue
            self._pending[target] = row._replace(number=next(self._numbers))
            if row.order.version == version and row.state not in NOT_GIVEN:
                self._given[target] = max(self._given[target], 1)
            adopted.append(row.order)
        return adopted

    def list_given(self, now):
        """Return a Given of each order that may be carried out.

        >>> rollout, order = Rollout(), Order('a', 'm', 2)
        >>> rollout.record(order, 1.0, UNANSWERED)
        >>> rollout.list_given(1.5)
        [Given(target='a', model='m', version=2, age_ms=500)]
        """
        return [
            Given(*pending.order, int((now - pending.sent) * 1000))
            for pending in self._pending.values()
            if pending.state not in NOT_GIVEN
        ]

    def list_loading(self, now):
        """Return the targets that load or will, and in how many seconds."""
        return {
            name: compute_delay(pending, now)
            for name, pending in self._pending.items()
            if pending.state in LOADING
        }


def list_taken_over(claim, model, version, written, now):
    """Return the orders for a model in a former holder's claim as Pending.

    An earlier build's claim names only the targets that load.
    """
    # Each is known until its target's report can have been read.
    oldest = now - LOAD_S + TAKE_OVER_REPORT_S
    rows = [
        Pending(
            Order(given.target, given.model, given.version),
            max(written - given.age_ms / 1000, oldest),
            TAKEN_OVER if given.target in claim.loading else TAKEN_OVER_IDLE,
        )
        for given in claim.given
        if given.model == model
    ]
    named = {given.target for given in claim.given}
    return rows + [
        Pending(Order(name, model, version), written + delay, OCCUPIED)
        for name, delay in claim.loading.items()
        if name not in named
    ]


def is_over(pending, now):
    """Return whether another order may be given.

    >>> pending = Pending(None, 10.0, UNANSWERED)
    >>> is_over(pending, 12.4), is_over(pending, 12.5)
    (False, True)
    """
    return now - pending.sent >= RETRY_DELAYS_S[pending.state]


def compute_delay(pending, now):
    """Return in how many seconds a target loads.

    >>> compute_delay(Pending(None, 10.0, PREPARING), 10.1)
    0.4
    >>> compute_delay(Pending(None, 10.0, ACCEPTED), 10.5)
    0.0
    """
    if pending.state != PREPARING:
        return 0.0
    return round(max(pending.sent + CLOSING_S - now, 0.0), 2)


def is_needed(version, targets):
    """Return whether any target is behind the published version.

    >>> is_needed(2, {'a': 1, 'b': 2})
    True
    """
    return any(has < version for has in targets.values())
