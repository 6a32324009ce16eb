"""Keep the streams of this box at the software version that began them.

The binding of a stream is recorded as its first event is forwarded, with the
version that the target had then.  A caller that continues a stream names the
attempt that began it.
"""

from landingspool.decisions.gateway import continuations
from landingspool.decisions.gateway import stream_bindings

# Period of the records of the versions that are listed, seconds.
OBSERVE_PERIOD_S = 5.0


class Continuity:
    """Records and looks up the bindings of streams.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `metrics`, `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._view = hub.view

    def start(self):
        """Begin the periodic checks."""
        self._hub.timer.subscribe(OBSERVE_PERIOD_S, self._observe)

    def record_begun(self, state):
        """Record the binding of a stream whose first event is forwarded.

        Parameters
        ----------
        state : request_state.RequestState
        """
        now, work = self._hub.clock(), state.work
        key = make_key(work, state.call.name)
        binding = stream_bindings.Binding(work.service, work.software)
        until = state.started + state.call.left_s
        self._view.stream_bindings.put(key, binding, now, until)

    def find(self, state):
        """Find the binding of the stream that a caller continues.

        Parameters
        ----------
        state : request_state.RequestState

        Returns
        -------
        continuations.Found
        """
        work, call = state.work, state.call
        own = self.collect(make_key(work, call.resumes), work.route)
        found = continuations.check_route(
            continuations.decide(own, ()), work.route
        )
        self._log(state, found, own)
        return found

    def collect(self, key, route):
        """Return the continuations.Evidence that this box has of a stream."""
        now = self._hub.clock()
        history = self._view.software_history
        return continuations.Evidence(
            self._view.stream_bindings.find(key, now),
            history.find_only(route, now),
            frozenset(history.list_bindings(route, now)),
        )

    def _log(self, state, found, own):
        self._hub.metrics.continuations.labels(found.source).inc()
        age_s = None
        if found.known is not None:
            age_s = round(self._hub.clock() - found.known.since, 3)
        self._hub.recorder.record(
            'continued' if found.binding else 'not_continued',
            request=state.call.name,
            resumes=state.call.resumes,
            after=state.call.after_event,
            software=found.binding.software if found.binding else '',
            source=found.source,
            age_s=age_s,
            serving=sorted(binding.software for binding in own.recent),
        )

    def _observe(self, tick):
        entries = self._view.fleet.entries.values()
        self._view.software_history.observe(entries, tick.now)
        self._view.stream_bindings.drop_expired(tick.now)


def make_key(work, attempt):
    """Return the key of the stream that an attempt of a workspace began.

    Parameters
    ----------
    work : plans.Work
    attempt : str
        The caller's id of the attempt.
    """
    workspace = work.tenancy.name if work.tenancy else ''
    return stream_bindings.make_key(workspace, work.route, attempt)
