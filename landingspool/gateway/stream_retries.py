"""Try a stream that has begun again where another request would be refused.

A stream that has begun can't be refused any more.  If it may be resumed, it
waits for what it lacks: a proved table, a repeat, a target or a way to one.
It is broken off only if that takes longer than callers wait for an event.

A request without an answer that left a silent target is tried again as well,
but once and without a wait: its caller can send it again.

Once its sends are used up, it returns only to targets that were not at fault.
"""

import asyncio

from landingspool.decisions.gateway import routes

# Longest wait without a further event, seconds.  Callers give up after two
# seconds or more, and the pause of the target has taken a part of them.
MAX_WAIT_S = 2.0
# The first wait before a further attempt, seconds; it doubles each time up to
# the longest one.
FIRST_DELAY_S = 0.05
MAX_DELAY_S = 0.4


class StreamRetries:
    """Decides whether the stream of one request is tried again.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `clock`.
    state : request_state.RequestState
    """

    def __init__(self, hub, state):
        self._hub = hub
        self._view = hub.view
        self._state = state
        self._until = None
        self._delay_s = FIRST_DELAY_S
        self._last_event_id = None
        self._has_returned = False

    async def wait(self, reason):
        """Wait until the stream may be tried again.

        Parameters
        ----------
        reason : str
            Why it can't go on at once, for the log.

        Returns
        -------
        bool
            False if it is to be broken off.
        """
        if not self._may_continue_stream():
            return False
        self._note_progress()
        self._hub.recorder.record(
            'stream_waits',
            request=self._state.call.name,
            reason=reason,
            after=self._state.last_event_id,
            sends=self._state.sends,
        )
        while True:
            await asyncio.sleep(self._delay_s)
            self._delay_s = min(self._delay_s * 2, MAX_DELAY_S)
            if not self._may_continue_stream():
                return False
            if self._hub.clock() >= self._until:
                return False
            if self._is_possible():
                self._state.begin_round()
                return True

    def return_once(self):
        """Let a request that left a silent target be tried once more.

        Returns
        -------
        bool
            False if it is to be answered with an error.
        """
        state = self._state
        if self._has_returned or not state.has_left:
            return False
        if not (routes.may_repeat(state.work.route) and self._may_continue()):
            return False
        self._has_returned = self._is_possible()
        if self._has_returned:
            state.begin_round()
        return self._has_returned

    def list_avoided(self):
        """List the targets that must not get the request now."""
        state = self._state
        is_returning = self._has_returned and not state.reply.started
        if self._has_progress() and not is_returning:
            return state.tried_targets
        if state.has_sends_left():
            return ()
        service = self._view.fleet.list_service(state.work.service)
        return [
            entry.name
            for entry in service
            if entry.name not in state.sound_targets
        ]

    def _may_continue_stream(self):
        route = self._state.work.route
        return routes.is_resumable(route) and self._may_continue()

    def _may_continue(self):
        state, now = self._state, self._hub.clock()
        return (
            state.origin is None
            and not state.is_expired(now)
            and state.may_end(self._hub, now)
            and (state.has_sends_left() or bool(state.sound_targets))
        )

    def _note_progress(self):
        """Begin the wait anew if events have come since the last one."""
        if self._has_progress():
            self._last_event_id = self._state.last_event_id
            self._until = self._hub.clock() + MAX_WAIT_S
            self._delay_s = FIRST_DELAY_S

    def _has_progress(self):
        """Return whether events have come since the last wait, if any."""
        last = self._state.last_event_id
        return self._until is None or last != self._last_event_id

    def _is_possible(self):
        state, now = self._state, self._hub.clock()
        if not self._view.may_serve(state.work, now):
            return False
        # An answer of the target may still show that it has not crashed.
        if not self._view.crashes.may_repeat(state.keys):
            return False
        if state.has_repeat():
            return True
        return state.take_repeat(self._view, now)
