"""Probe unreachable and silent targets so that no request has to try them.

A connection that is established stays open for the next request to its
target.
"""

from landingspool.gateway import upstream
from landingspool import supervisor

# Period at which targets are checked for a due probe, seconds.
CHECK_PERIOD_S = 0.1


class Prober:
    """Probe the unreachable targets whose next probe is due.

    Parameters
    ----------
    hub
        The box's parts: `view`, `upstream`, `recorder`, `crash_records`,
        `supervisor`, `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._probing = {}
        self._is_partitioned = False

    def record_error(self, name, error):
        """Record that a connection could not be opened.

        A target whose host refuses connections has crashed or stopped.

        Parameters
        ----------
        error : upstream.ExchangeError
        """
        if error.refused:
            crashes, now = self._hub.view.crashes, self._hub.clock()
            crashes.record_incarnation_end(name, now)
            self._hub.crash_records.check()
        self.record_failed(name, str(error), error.silent)

    def confirm_crash(self, name):
        """Find out whether a target that broke off a request has crashed."""
        if name in self._probing or name not in self._hub.view.fleet.entries:
            return
        if self._may_probe(name, self._hub.clock()):
            self._start_probe(name)

    def record_failed(self, name, reason, silent=False):
        """Record that a connection failed, or that its path is dead.

        Parameters
        ----------
        silent : bool
            Whether the target answered nothing, instead of refusing.
        """
        view = self._hub.view
        if name not in view.reachability.list_failed():
            self._hub.recorder.record('unreached', target=name, reason=reason)
        now = self._hub.clock()
        view.record_unreached(name, now)
        for sample in view.list_samples(now):
            if sample not in self._probing:
                self._start_probe(sample)
        if self._record_partition() and silent:
            # The idle connections would lose the requests sent on them.
            for entry in view.fleet.entries.values():
                self._hub.upstream.drop(entry.address)

    def _record_partition(self):
        """Log a partition that begins or ends; return whether it begins."""
        was_on, is_on = self._is_partitioned, self._hub.view.partition.is_on
        self._is_partitioned = is_on
        if is_on != was_on:
            name = 'partitioned' if is_on else 'partition_over'
            self._hub.recorder.record(name)
        return is_on and not was_on

    def check(self, tick):
        """Start a probe of each target that is due."""
        view = self._hub.view
        silent = view.list_silent(tick.now)
        for name in silent:
            self._hub.recorder.record('target_silent', target=name)
        for name in (*view.list_due_probes(tick.now), *silent):
            if name not in self._probing and self._may_probe(name, tick.now):
                self._start_probe(name)

    def _may_probe(self, name, now):
        view = self._hub.view
        # The probe of a target that is gone discards the state of its path.
        return name not in view.fleet.entries or view.may_call(name, now)

    def _start_probe(self, name):
        work = self._hub.supervisor.spawn('probe', self._try_probe(name))
        self._probing[name] = work
        work.add_done_callback(lambda done: self._probing.pop(name))

    async def _try_probe(self, name):
        """Probe a target; an error counts as a probe that failed."""
        try:
            await self._probe(name)
        except Exception as error:
            self._hub.supervisor.report('probe', error, target=name)
            self.record_failed(name, supervisor.describe(error))

    async def _probe(self, name):
        view = self._hub.view
        entry = view.fleet.entries.get(name)
        if entry is None:
            view.reachability.forget(name)
            return
        was_failed = name in view.reachability.list_failed()
        try:
            await self._hub.upstream.probe(
                entry.address, view.get_connection_limit(entry.service)
            )
        except upstream.ExchangeError as error:
            if error.silent:
                # The idle connections use the same silent path.
                self._hub.upstream.drop(entry.address)
            if name in view.fleet.entries:
                self.record_error(name, error)
            return
        view.record_connected(self._hub.clock())
        self._record_partition()
        if was_failed:
            view.record_reconnected(name, self._hub.clock())
            self._hub.recorder.record('reached', target=name)
        else:
            view.reachability.record_reached(name, self._hub.clock())
