"""All parts of one gateway box, put together."""

import asyncio
import contextlib
import time
import traceback

from landingspool.decisions.gateway import stalls
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import view as view_module
from landingspool.decisions import timing
from landingspool import events
from landingspool.gateway import cachewatch
from landingspool.gateway import figures
from landingspool.gateway import following
from landingspool.gateway import hearing
from landingspool.gateway import listener
from landingspool.gateway import marks
from landingspool.gateway import ordering
from landingspool.gateway import peering
from landingspool.gateway import prober
from landingspool.gateway import relay
from landingspool.gateway import resumption
from landingspool.gateway import sources
from landingspool.gateway import state
from landingspool.gateway import sweeper
from landingspool.gateway import upstream
from landingspool import http
from landingspool import httpclient
from landingspool.platform import ingress
from landingspool.platform import names
from landingspool.platform import runners
from landingspool.platform import store
from landingspool import timer as timer_module
from landingspool import boot_clock

# Period of the beat by which a freeze is noticed, seconds.
BEAT_S = 0.1
SWEEP_S = 1.0
# Period of the line with this box's own figures, seconds.
FIGURES_S = 10.0
# Events kept in memory: some seconds of one box, two megabytes.
RING_EVENTS = 1024
# Address of the metrics: the deploy file names the same port.
METRICS_PORT = 9464
METRICS_PATH = '/metrics'
# Seconds for which a stopping box takes new connections: the balancer asks
# each second and takes a box out after two misses.
LEAVE_S = 2.6
# Seconds before the platform kills the process at which it ends by itself.
END_MARGIN_S = 0.8
# Descriptors kept for the connections to targets, store and boxes.
OWN_DESCRIPTORS = 1200
LEAST_CONNECTIONS = 256
# Innermost frames that a fault's log line holds.
TRACE_FRAMES = 6
# What callers may send before a table is known.
DEFAULT_LIMITS = routes.Limits()


class Hub:
    """One box of the gateway.

    Parameters
    ----------
    place : deployment.Deployment
    seed : int
        Of the choices that are left to chance.
    """

    def __init__(self, place, seed, clock=boot_clock.read, wall=time.time):
        self.place = place
        self.clock = clock
        self.wall = wall
        self.timer = timer_module.Timer(clock)
        self.recorder = events.Recorder(
            place.box, wall, RING_EVENTS, events.format_json
        )
        self.metrics = figures.Figures()
        self.view = view_module.View(
            place.domain, place.bounds, seed, place.regions
        )
        self.heartbeat = timing.Heartbeat()
        self.client = httpclient.Client()
        self.store = store.Store(self.client, place.store, clock)
        self.hearing = hearing.Hearing(self)
        self.runners = runners.Runners(self.client, self.hearing)
        self.upstream = upstream.Upstream(self.metrics, clock)
        most = max(place.descriptors - OWN_DESCRIPTORS, LEAST_CONNECTIONS)
        self.listener = listener.Listener(self._handle, self._limits, most)
        # One for the balancer and one for engineers, at two addresses.
        self._readiness_server = http.Server(self._answer_side)
        self._metrics_server = http.Server(self._answer_side)
        self.state = state.State(self)
        self.sources = sources.Sources(self)
        self.offer = sources.Offer(lambda: self.peering.is_cut(), clock)
        self.cachewatch = cachewatch.Cachewatch(self)
        self.peering = peering.Peering(self)
        self.prober = prober.Prober(self)
        self.marks = marks.Marks(self)
        self.resumption = resumption.Resumption(self)
        self._claims = None
        self._tasks = []
        self._stop = asyncio.Event()

    async def run(self):
        """Serve until told to stop, then stop without cutting off."""
        await self._readiness_server.start(*self.place.readiness)
        await self._start_metrics()
        await self.listener.start(self.place.callers)
        self.timer.subscribe_stall(self._resume)
        self.timer.subscribe(BEAT_S, self._on_beat)
        self.timer.subscribe(prober.LOOK_S, self.prober.look)
        self.timer.subscribe(SWEEP_S, self._sweep)
        self.timer.subscribe(FIGURES_S, self._record_figures)
        self._keep(following.Published(self).run())
        self._keep(following.Targets(self).run())
        orderer = ordering.Orderer(self)
        self._claims = following.Claims(self, orderer.watch)
        self._keep(self._claims.run())
        self._keep(self.marks.run())
        self._keep(orderer.run())
        self._keep(self.cachewatch.run())
        self._keep(sweeper.Sweeper(self).run())
        if self.place.links is not None:
            await self.peering.start()
            self._keep(self.peering.run())
        self.recorder.record('started', domain=self.place.domain)
        await self._stop.wait()
        await self._leave()

    def stop(self):
        """Begin a planned stop."""
        self._stop.set()

    def _keep(self, work):
        task = asyncio.ensure_future(work)
        task.add_done_callback(self._record_end)
        self._tasks.append(task)

    def _record_end(self, task):
        if task.cancelled() or task.exception() is None:
            return
        self.recorder.record('fault', reason=repr(task.exception()))
        # A box that no longer follows is worse than one that starts anew.
        self.stop()

    async def _handle(self, request, body, reply):
        call = ingress.read_call(
            request.method.decode('latin-1'),
            request.target.decode('latin-1'),
            list(request.headers),
        )
        try:
            await relay.Relay(self, call, body, reply).run()
        except Exception:
            # Whatever it is, its caller must not wait for nothing, and the
            # box serves the others.
            self.metrics.faults.inc()
            self.recorder.record(
                'request_fault',
                request=call.name,
                trace=traceback.format_exc(limit=-TRACE_FRAMES),
            )
            await reply.fail()

    def _limits(self):
        table = self.view.table
        return DEFAULT_LIMITS if table is None else table.limits

    def _resume(self, stall):
        """Go on after a time in which this process did not run."""
        self.recorder.record('frozen', seconds=round(stall.seconds, 2))
        self.heartbeat.record(stall.now)
        stalls.exclude_stall(self.view, stall.seconds, stall.now)
        self.sources.exclude_stall(stall.seconds)
        self.resumption.begin(stall)

    def _on_beat(self, tick):
        self.heartbeat.record(tick.now)
        for name in self.view.fleet.tick(tick.now):
            self.recorder.record('target_down', target=name, sure=True)
            self.view.record_over(name, tick.now)
        self.marks.look()
        self.hearing.look()

    def _sweep(self, tick):
        self.upstream.sweep()
        self.hearing.sweep()
        bars = self.view.bars
        self.metrics.record_targets(
            len(bars.cold_targets.list_cold(tick.now)),
            bars.evacuation.describe(tick.now),
            self.view.engine_split.is_on,
        )
        self.metrics.barred.set(
            len(self.view.endings.list_quarantined(tick.now))
        )

    def _record_figures(self, tick):
        self.recorder.record(
            'figures',
            calls=dict(self.store.calls),
            boxes=len(self.peering.peers) + 1,
            reader=self.peering.name_reader(),
            relayed_kb=self.offer.relayed_bytes // 1024,
            targets=len(self.view.fleet.entries),
            open=self.listener.count_busy(),
            proof_s=self.view.proof.age_to_log(tick.now),
            stores=self._describe_stores(tick.now),
            cold=len(self.view.bars.cold_targets.list_cold(tick.now)),
            evacuated=self.view.bars.evacuation.describe(tick.now),
            leaving=self.hearing.list_leaving(tick.now),
            resting=self.view.bars.backoffs.list_backoffs(tick.now),
        )

    def _describe_stores(self, now):
        """Give the tokens and the age of what is known of each store."""
        table = self.view.table
        found = {}
        for address in table.context_stores if table is not None else ():
            index = self.view.context_index.get(address)
            if index is not None:
                age_s = round(now - index.confirmed, 2)
                found[address] = [index.used, age_s]
        return found

    async def _answer_side(self, request, exchange):
        if request.path == METRICS_PATH:
            await exchange.send_body(
                200, self.metrics.render(), 'text/plain; version=0.0.4'
            )
            return
        ready = request.path == names.READY_PATH and self._is_ready()
        await exchange.send_json(200 if ready else 503, {'ready': ready})

    def _is_ready(self):
        # Not before it knows under which requests targets ended, where that
        # can be read: with all boxes anew, each would begin to count again.
        known = self._claims is not None and self._claims.was_tried
        serves = self.view.table is not None and known
        return serves and not self._stop.is_set()

    async def _start_metrics(self):
        try:
            await self._metrics_server.start(
                self.place.callers.host, METRICS_PORT
            )
        except OSError as error:
            # The figures are for engineers; requests go on without them.
            self.recorder.record('no_metrics', reason=str(error))

    async def _leave(self):
        self.recorder.record('draining', open=self.listener.count_busy())
        began = self.clock()
        ends = began + self.place.bounds.grace_s - END_MARGIN_S
        self.listener.stop()
        self._keep(self.peering.leave())
        await asyncio.sleep(min(LEAVE_S, self.place.bounds.grace_s / 2))
        await self.listener.close(max(ends - self.clock(), 0.1))
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self._tasks, return_exceptions=True)
        self.timer.close()
        await self.peering.close()
        self.upstream.close()
        self.client.close()
        self.recorder.record('stopped')
