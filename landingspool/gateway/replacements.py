"""Find another target for a request whose target is silent.

A target that is silent may be sound, so a request leaves it only for a target
that can take it: it may be repeated, the retry budget allows it, there is
room, and a connection is open.  Otherwise the request stays where it is.
"""

import typing

from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import routes
from landingspool.gateway import attempts
from landingspool.gateway import upstream


class Replacement(typing.NamedTuple):
    """A planned target with an open connection."""

    plan: plans.Plan
    planned_at: float
    exchange: upstream.Exchange


class Replacements:
    """Prepare the next attempt of one request while the present one waits.

    Parameters
    ----------
    hub
        The box's parts: `view`, `upstream`, `prober`, `clock`, `metrics`.
    state : request_state.RequestState
    """

    def __init__(self, hub, state):
        self._hub = hub
        self._view = hub.view
        self._state = state
        self._prepared = None

    async def prepare(self, plan, has_answer):
        """Prepare an attempt at another target, if that is possible.

        Parameters
        ----------
        plan : plans.Plan
            The plan of the present attempt.
        has_answer : callable
            Returns whether its target has answered in the meantime.

        Returns
        -------
        bool
            Whether the present attempt is to be given up.
        """
        now = self._hub.clock()
        service = self._state.work.service
        if not self._may_leave(now):
            return False
        replacement = self._plan(plan, now)
        if replacement is None or replacement.room.is_full():
            return False
        try:
            exchange = await attempts.open_exchange(
                self._hub, self._state.work, replacement.entry
            )
        except upstream.ExchangeError:
            return False
        if has_answer() or not self._view.may_repeat(
            service, self._hub.clock()
        ):
            exchange.cancel()
            return False
        self._prepared = Replacement(replacement, now, exchange)
        return True

    @property
    def is_prepared(self):
        """Whether an attempt at another target is prepared."""
        return self._prepared is not None

    def take(self):
        """Return the Replacement that was prepared, or None."""
        prepared, self._prepared = self._prepared, None
        return prepared

    def close(self):
        """Return the connection of a replacement that is not used."""
        prepared = self.take()
        if prepared is not None:
            prepared.exchange.cancel()

    def _may_leave(self, now):
        state = self._state
        crashes = self._view.crashes
        return (
            state.may_send_again()
            and not state.is_expired(now)
            and self._view.has_repeat(state.work.service, now)
            and crashes.get_quarantine(state.fingerprint, now) is None
        )

    def _plan(self, plan, now):
        state = self._state
        return self._view.plan(
            state.work,
            (*state.tried_targets, plan.entry.name),
            now,
            self._hub.upstream.list_ready(routes.may_repeat(state.work.route)),
        )
