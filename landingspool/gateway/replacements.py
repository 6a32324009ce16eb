"""Find another target for a request whose target is silent.

A target that is silent may be sound, so a request leaves it only for a target
that takes it: it may be repeated, the retry budget allows it, and the other
target has not rejected it.  Otherwise the request stays where it is.  The same
holds for another box that is to reach a target.  A new connection shows that
the other one can be reached, which a connection at rest does not.
"""

from landingspool.gateway import attempts
from landingspool.gateway import forwarder
from landingspool.gateway import upstream


class Replacements:
    """Prepare the next attempt of one request while the present one waits.

    Parameters
    ----------
    hub
        The box's parts, as of an attempt.
    state : request_state.RequestState
    paths : path_choice.PathChoice
    """

    def __init__(self, hub, state, paths):
        self._hub = hub
        self._view = hub.view
        self._state = state
        self._paths = paths
        self._prepared = None
        self._granted = False
        self._was_refused = False

    async def prepare(self, plan, look):
        """Begin an attempt at another target, if that is possible.

        Parameters
        ----------
        plan : plans.Plan
            The plan of the present attempt.
        look : callable
            Coroutine function that returns what its target has shown in the
            meantime, an upstream.Sign.

        Returns
        -------
        bool
            Whether the present attempt is to be given up.
        """
        now = self._hub.clock()
        if not self._may_leave(now):
            return False
        if not self._paths.may_send_directly(now):
            return await self._begin_forward(now, look)
        replacement = self._plan_other(plan, now)
        if replacement is None:
            return False
        try:
            exchange = await attempts.open_exchange(
                self._hub, self._state, replacement.entry, fresh=True
            )
        except upstream.ExchangeError:
            return False
        attempt = attempts.Attempt(
            self._hub, self._state, replacement, now, self, exchange
        )
        return await self._hand_over(
            attempt,
            exchange,
            look,
            (self._state.tried_targets, replacement.entry.name),
        )

    async def prepare_peer(self, look):
        """Have another box begin to serve a request, if that is possible.

        Parameters
        ----------
        look : callable
            The same for the silent box.

        Returns
        -------
        bool
            Whether the present attempt is to be given up.
        """
        now = self._hub.clock()
        if not self._may_leave(now):
            return False
        # The silent box counts it, if it has read it.
        self._state.is_counted = True
        return await self._begin_forward(now, look)

    def take_grant(self):
        """Return whether a repeat was taken for the next attempt, once."""
        granted, self._granted = self._granted, False
        return granted

    def take(self):
        """Return the Attempt that was begun, or None."""
        prepared, self._prepared = self._prepared, None
        return prepared

    def close(self):
        """End an attempt that was begun and isn't needed."""
        prepared = self.take()
        if prepared is not None:
            prepared.stop()

    async def _begin(self, attempt, look):
        """Return whether a target accepts the request before the other."""
        outcome = await attempt.begin(look)
        if outcome is not None:
            return False
        is_needed = False
        try:
            is_needed = await look() != upstream.Sign.SUCCESS
        finally:
            if not is_needed:
                attempt.stop()
        return is_needed

    async def _check_needed(self, attempt, exchange, look):
        """Return whether to begin an attempt; end its exchange otherwise."""
        is_needed = False
        try:
            is_needed = (
                not await look()
                and attempt.is_current()
                and self._take_repeat()
            )
        finally:
            if not is_needed:
                exchange.cancel()
        return is_needed

    async def _begin_forward(self, now, look):
        if self._state.origin is not None:
            return False
        peer = self._paths.pick_peer(now)
        if peer is None:
            return False
        try:
            exchange = await forwarder.open_exchange(
                self._hub, self._state, peer, fresh=True
            )
        except upstream.ExchangeError:
            return False
        forward = forwarder.Forward(
            self._hub, self._state, peer, now, self, exchange
        )
        return await self._hand_over(
            forward,
            exchange,
            look,
            (self._state.tried_peers, peer.name),
        )

    async def _hand_over(self, attempt, exchange, look, tried):
        """Begin an attempt; return whether the present one is given up.

        Parameters
        ----------
        attempt : attempts.Attempt
        exchange : upstream.Exchange
            That of the attempt, which has sent nothing yet.
        look : callable
            As in `prepare`.
        tried : tuple of (list of str, str)
            Where it is recorded that the request was refused, and by whom.
        """
        if not await self._check_needed(attempt, exchange, look):
            return False
        if await self._begin(attempt, look):
            self._prepared = attempt
            return True
        self._granted = False
        names, name = tried
        names.append(name)
        return False

    def _take_repeat(self):
        self._granted = self._state.take_repeat(self._view, self._hub.clock())
        return self._granted

    def _may_leave(self, now):
        state = self._state
        if not state.may_send_again() or state.is_expired(now):
            return False
        return self._has_repeat(now) and not self._view.crashes.is_barred(
            state.keys
        )

    def _has_repeat(self, now):
        if self._view.has_repeat(self._state.work.service, now):
            return True
        if not self._was_refused:
            self._was_refused = True
            self._hub.metrics.budget_refusals.inc()
        return False

    def _plan_other(self, plan, now):
        """Return the Plan for a reachable target with room, or None."""
        state, view = self._state, self._view
        other = view.plan(
            state.work,
            (*state.tried_targets, plan.entry.name),
            now,
            self._paths.list_ready(),
        )
        if other is None or other.room.is_full():
            return None
        return None if view.reachability.is_out(other.entry.name) else other
