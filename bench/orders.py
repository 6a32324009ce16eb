"""Plays the orders for new weights, of which some are carried out late.

An order that is carried out late has no answer.  The holder sees by the
target's reports whether it loads.
"""

import typing

from landingspool.decisions.gateway import rollouts
from landingspool.platform import runners

# Periods in seconds at which the holder plans orders, and reads reports.
CHECK_PERIOD_S = 0.1
REPORT_PERIOD_S = 0.2
# Age in seconds of the state that a report gives.
REPORT_AGE_S = 0.2
# Seconds that a load takes, and share of the engines that may load without
# slowing each other.
LOAD_S = 1.4
FREE_SHARE = 0.4


class Load(typing.NamedTuple):
    """One load of an engine, from `since` to `until`."""

    since: float
    until: float


class Orders:
    """The orders of a rollout to one version.

    Parameters
    ----------
    play : many.Play
    """

    def __init__(self, play, size, engines, rng):
        self._play = play
        self._size = size
        self._engines = engines
        self._rng = rng
        self._rollout = rollouts.Rollout()
        self._loads = {}
        self._closed = ()

    def check(self, now, version):
        """Plan orders, and go on until all engines have the version."""
        view = self._play.views[0]
        targets = {
            entry.name: view.fleet.get_version(entry.name, 'm')
            for entry in view.fleet.list_service('engine')
        }
        if not rollouts.is_needed(version, targets):
            self._tell_loading(now, {})
            return
        left = {
            name: view.get_time_left(name, 'm', now)
            for name, has in targets.items()
            if has < version
        }
        orders = self._rollout.plan_by_deadline(
            'm', version, targets, left, now
        )
        for order in orders:
            self._rollout.prepare(order, now)
            closing_s = 0.0
            if self._rollout.needs_closing(order.target, left[order.target]):
                closing_s = rollouts.CLOSING_S
            self._play.at(now + closing_s, self._send, order)
        self._tell_loading(now, self._rollout.list_loading(now))
        self._play.at(now + CHECK_PERIOD_S, self.check, version)

    def _tell_loading(self, now, loading):
        if tuple(loading) == self._closed:
            return
        self._closed = tuple(loading)
        for view in self._play.views:
            view.loading.put(loading, now)

    def _send(self, now, order):
        if self._rng.random() < self._size.late:
            late_s = self._rng.uniform(*self._size.late_s)
            self._play.at(now + late_s, self._load, order)
            self._play.at(
                now + runners.ORDER_ANSWER_S, self._leave_unanswered, order
            )
            return
        self._load(now, order)
        self._rollout.record(order, now, rollouts.ACCEPTED)

    def _leave_unanswered(self, now, order):
        self._rollout.record(order, now, rollouts.UNANSWERED)
        self._play.at(now + REPORT_PERIOD_S, self._read_report, order)

    def _read_report(self, now, order):
        if self._play.get_version(order.target) >= order.version:
            return
        load = self._loads.get(order.target, Load(0.0, 0.0))
        is_busy = load.since <= now - REPORT_AGE_S < load.until
        self._rollout.take_report(order.target, is_busy, now)
        self._play.at(now + REPORT_PERIOD_S, self._read_report, order)

    def _load(self, now, order):
        """Load, unless an earlier order was carried out first."""
        if order.target in self._loads:
            return
        loading = sum(load.until > now for load in self._loads.values()) + 1
        free = max(int(self._size.engines * FREE_SHARE), 1)
        seconds = LOAD_S * max(loading / free, 1.0)
        self._loads[order.target] = Load(now, now + seconds)
        self._engines[int(order.target[1:])].load(now, seconds)
        self._play.at(now + seconds, self._end, order)

    def _end(self, now, order):
        self._play.end_loads(now, [order.target], order.version)
