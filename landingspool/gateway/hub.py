"""Create, connect, run and stop all parts of one gateway box."""

import asyncio
import time
import traceback
import uuid

from landingspool import boot_clock
from landingspool.decisions.gateway import lifetime as lifetime_module
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import stalls
from landingspool.decisions.gateway import view as view_module
from landingspool import events
from landingspool.gateway import admission_gate
from landingspool.gateway import cache_follower
from landingspool.gateway import caller_room
from landingspool.gateway import closings
from landingspool.gateway import continuity
from landingspool.gateway import crash_records
from landingspool.gateway import current_list
from landingspool.gateway import following
from landingspool.gateway import forwarded_rows
from landingspool.gateway import listener
from landingspool.gateway import metrics
from landingspool.gateway import ordering
from landingspool.gateway import peering
from landingspool.gateway import prober
from landingspool.gateway import record_server
from landingspool.gateway import refusals
from landingspool.gateway import relay
from landingspool.gateway import resumption
from landingspool.gateway import rollbacks
from landingspool.gateway import software_watch
from landingspool.gateway import sources
from landingspool.gateway import state
from landingspool.gateway import store_reports
from landingspool.gateway import sweeper
from landingspool.gateway import target_notices
from landingspool.gateway import upstream
from landingspool import http_server
from landingspool import httpclient
from landingspool.platform import ingress
from landingspool.platform import names
from landingspool.platform import runners
from landingspool.platform import store
from landingspool import supervisor as supervisor_module
from landingspool import timer as timer_module

# Period of the check for target entries whose grace has expired.
FLEET_CHECK_PERIOD_S = 0.1
SWEEP_PERIOD_S = 1.0
# Period of the `figures` log event.
METRICS_LOG_PERIOD_S = 10.0
# Log events kept in memory: those of some seconds, two megabytes.
RING_EVENTS = 1024
# Port and path of the metrics; the deploy file names the same port.
METRICS_PORT = 9464
METRICS_PATH = '/metrics'
# Seconds in which connections may end at least as the box stops.
MIN_CLOSE_S = 0.1
# File descriptors reserved for connections to targets, store and boxes, and
# the most of all that are reserved.
RESERVED_DESCRIPTORS = 1200
MAX_RESERVED_SHARE = 1 / 2
# Bytes by which the head of a forwarded request may exceed that of a caller's.
FORWARDED_HEADER_BYTES = 2048
# Innermost stack frames in the log line of a fault.
TRACE_FRAMES = 6
# Bytes of a body at the addresses for readiness and metrics, where none is
# needed, and their connections.
SIDE_BODY_BYTES = 4096
SIDE_CONNECTIONS = 32
# Limits for callers' requests before a table is known.
DEFAULT_LIMITS = routes.Limits()


class Hub:
    """One box of the gateway; its parts reach each other through it.

    Parameters
    ----------
    deployment : deployment.Deployment
    seed : int
        Seed of the random number generator.
    clock : callable, optional
        Returns the boot-time clock, seconds.
    wall : callable, optional
        Returns the time of day, seconds since 1970.
    """

    def __init__(
        self, deployment, seed, clock=boot_clock.read, wall=time.time
    ):
        self.deployment = deployment
        self.wall = wall
        self.recorder = events.Recorder(
            deployment.box, wall, RING_EVENTS, events.format_json
        )
        self.metrics = metrics.Metrics()
        self.supervisor = supervisor_module.Supervisor(
            self.recorder, self.metrics.task_failures
        )
        self.timer = timer_module.Timer(clock, on_error=self.supervisor.report)
        # Every reading of the time notices a stall before it is used.
        self.clock = self.timer.now
        self.view = view_module.View(
            deployment.domain,
            deployment.bounds,
            seed,
            deployment.regions,
            uuid.uuid4().hex,
        )
        self.lifetime = lifetime_module.Lifetime(deployment.bounds.grace_s)
        self.gate = admission_gate.AdmissionGate(self)
        self.client = httpclient.Client()
        self.store = store.Store(self.client, deployment.store, self.clock)
        self.target_notices = target_notices.TargetNotices(self)
        self.runners = runners.Runners(self.client, self.target_notices)
        self.room = caller_room.CallerRoom(self)
        self.upstream = upstream.Upstream(
            self.metrics, self.clock, self.room.buffers
        )
        max_connections = count_places(deployment.descriptors)
        tally = closings.Tally(self.recorder, self.metrics)
        self.listener = listener.Listener(
            self._handle,
            self._get_limits,
            max_connections,
            self._record_unanswered,
            tally.record,
            lambda: self.forward_listener.count_open(),
            deployment.bounds.table_s,
            self.supervisor.make_reporter('connections'),
            self.room.open_lease,
            self.room.buffers,
        )
        # For requests of peers that can't reach the targets.
        self.forward_listener = listener.Listener(
            self._handle_forwarded,
            self._get_forward_limits,
            max_connections,
            self._record_unanswered,
            tally.record,
            self.listener.count_open,
            deployment.bounds.table_s,
            self.supervisor.make_reporter('connections'),
            self.room.open_forwarded_lease,
            self.room.buffers,
        )
        self._takes_forwarded = False
        # Readiness for the balancer and metrics for engineers are at two
        # addresses.
        self._readiness_server = http_server.Server(
            self._answer_side_request,
            SIDE_BODY_BYTES,
            self.supervisor.make_reporter('side_requests'),
            SIDE_CONNECTIONS,
        )
        self._metrics_server = http_server.Server(
            self._answer_side_request,
            SIDE_BODY_BYTES,
            self.supervisor.make_reporter('side_requests'),
            SIDE_CONNECTIONS,
        )
        self.rollbacks = rollbacks.Rollbacks(self)
        self.state = state.State(self)
        self.sources = sources.Sources(self)
        self.record_server = record_server.RecordServer(
            lambda: self.peering.is_cut(), self.clock
        )
        self.cache_follower = cache_follower.CacheFollower(self)
        self.store_reports = store_reports.StoreReports(self)
        self.peering = peering.Peering(self)
        self.current_list = current_list.CurrentList(self)
        self.continuity = continuity.Continuity(self)
        self.software_watch = software_watch.SoftwareWatch(self)
        self.prober = prober.Prober(self)
        self.crash_records = crash_records.CrashRecords(self)
        self.resumption = resumption.Resumption(self)
        self.claims = None
        self._stop = asyncio.Event()

    async def run(self):
        """Serve until stopped; then finish open requests and exit."""
        await self._readiness_server.start(*self.deployment.readiness)
        await self._start_metrics()
        await self.listener.start(self.deployment.callers)
        await self._start_forward_listener()
        # Each is called even if another one fails.
        self.timer.subscribe_stall(self._record_stall)
        self.timer.subscribe_stall(self._exclude_stall)
        self.timer.subscribe_stall(self._void_admissions)
        self.timer.subscribe_stall(self.sources.exclude_stall)
        self.timer.subscribe_stall(self.resumption.begin)
        self.timer.subscribe(FLEET_CHECK_PERIOD_S, self._check_fleet)
        self.timer.subscribe(prober.CHECK_PERIOD_S, self.prober.check)
        self.timer.subscribe(SWEEP_PERIOD_S, self._sweep)
        self.continuity.start()
        self.software_watch.start()
        self.timer.subscribe(METRICS_LOG_PERIOD_S, self._log_metrics)
        self._keep_parts()
        if self.deployment.links is not None:
            await self.peering.start()
            self.supervisor.keep('boxes', self.peering.run)
        self.recorder.record('started', domain=self.deployment.domain)
        await self._stop.wait()
        await self._shut_down()

    def stop(self):
        """Begin a planned stop; the grace counts from the first call."""
        self.lifetime.begin_stop(self.clock())
        self._stop.set()

    def _keep_parts(self):
        orderer = ordering.Orderer(self)
        self.claims = following.Claims(self, orderer.watch)
        keep = self.supervisor.keep
        keep('tables', following.Published(self).run)
        keep('targets', following.Targets(self).run)
        keep('claims', self.claims.run)
        keep('crash_records', self.crash_records.run)
        keep('orders', orderer.run)
        keep('cache_events', self.cache_follower.run)
        keep('sweeper', sweeper.Sweeper(self).run)

    async def _handle(self, request, body, reply):
        await self._relay(request, body, reply, None)

    async def _handle_forwarded(self, request, body, reply):
        origin = forwarded_rows.read_origin(request.headers)
        if origin is None:
            await reply.send_error(400, 'not forwarded by a box')
            return
        if self._stop.is_set():
            # It would be lost if it came as the listener closes.
            rows = forwarded_rows.describe_unsent(
                request.headers, refusals.STOPPING
            )
            await reply.send_error(503, refusals.STOPPING, extra=rows)
            return
        await self._relay(request, body, reply, origin)

    async def _relay(self, request, body, reply, origin):
        if reply.is_gone:
            self.recorder.record(
                'caller_gone',
                request=ingress.read_name(request.headers),
                reason='closed before it was handled',
            )
            return
        try:
            call = forwarded_rows.read_call(request)
            await relay.Relay(self, call, body, reply, origin).run()
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            # A part of the box was cancelled, not this request.
            await self._answer_fault(request, reply)
        except Exception:
            # An unexpected error ends only this request: its caller gets an
            # answer at once, and the box continues to serve.
            await self._answer_fault(request, reply)

    async def _answer_fault(self, request, reply):
        """Log the error being handled, and answer its request."""
        self.metrics.faults.inc()
        self.recorder.record(
            'request_fault',
            request=ingress.read_name(request.headers),
            trace=traceback.format_exc(limit=-TRACE_FRAMES),
        )
        await reply.fail()

    def _record_unanswered(self, request, reason):
        self.metrics.unanswered.inc()
        self.recorder.record(
            'unanswered',
            request=ingress.read_name(request.headers),
            reason=reason,
        )

    def _get_limits(self):
        table = self.view.table
        return DEFAULT_LIMITS if table is None else table.limits

    def _get_forward_limits(self):
        limits = self._get_limits()
        header_bytes = limits.header_bytes + FORWARDED_HEADER_BYTES
        return limits._replace(header_bytes=header_bytes)

    def get_forwarding_address(self):
        """Return where peers may forward requests to, or None."""
        return self.deployment.forwarding if self._takes_forwarded else None

    def _record_stall(self, stall):
        self.recorder.record('frozen', seconds=round(stall.seconds, 2))

    def _exclude_stall(self, stall):
        """Correct the ages of what is known for a stall of this process."""
        stalls.exclude_stall(self.view, stall.seconds, stall.now)

    def _void_admissions(self, stall):
        self.gate.void()

    def _check_fleet(self, tick):
        self._guard(self._drop_lapsed, tick.now)
        self._guard(self.crash_records.check)
        self._guard(self.target_notices.check)

    def _guard(self, call, *args):
        """Call one of several functions of a tick; report its error."""
        self.supervisor.guard(call.__qualname__, call, *args)

    def _drop_lapsed(self, now):
        for name in self.view.fleet.tick(now):
            self.recorder.record('target_down', target=name, sure=True)
            self._guard(self.view.record_incarnation_end, name, now)

    def _sweep(self, tick):
        self._guard(self.upstream.sweep)
        self._guard(self.target_notices.sweep)
        self._guard(self.store_reports.check, tick.now)
        self._guard(self.gate.sweep)
        self._guard(self._record_gauges, tick)

    def _record_gauges(self, tick):
        exclusions = self.view.exclusions
        self.metrics.record_targets(
            len(exclusions.cold_targets.list_cold(tick.now)),
            exclusions.evacuation.describe(tick.now),
            self.view.engine_split.is_on,
        )
        self.room.report()
        self.metrics.record_workspaces(
            self.view.fair_admission.count_over(tick.now)
        )
        self.metrics.quarantined.set(
            len(self.view.crashes.list_quarantined(tick.now))
        )
        for change in self.view.profiles.take_changes():
            self.recorder.record('speed_changed', **change._asdict())

    def _log_metrics(self, tick):
        speeds = self.view.profiles.describe()
        self.metrics.record_speeds(speeds)
        groups = self.view.grouping.describe(tick.now)
        self.metrics.record_groups(
            groups, self.view.grouping.summaries.spilled
        )
        self.recorder.record(
            'figures',
            calls=dict(self.store.calls),
            boxes=len(self.peering.peers) + 1,
            reader=self.peering.get_reader_name(),
            relayed_kb=self.record_server.relayed_bytes // 1024,
            targets=len(self.view.fleet.entries),
            open=self.listener.count_busy(),
            displaced=self.listener.displaced,
            waiting=self.gate.count_waiting(),
            forwarded=dict(self.metrics.forward_counts),
            served_peers=dict(self.metrics.served_peer_counts),
            open_for_peers=self.forward_listener.count_busy(),
            proof_s=self.view.proof.age_to_log(tick.now),
            stores=self._describe_stores(tick.now),
            cold=len(self.view.exclusions.cold_targets.list_cold(tick.now)),
            evacuated=self.view.exclusions.evacuation.describe(tick.now),
            leaving=self.target_notices.list_leaving(tick.now),
            resting=self.view.exclusions.backoffs.list_backoffs(tick.now),
            speeds={name: list(known) for name, known in speeds.items()},
            groups=groups,
            spilled=self.view.grouping.summaries.describe_spilled(),
        )

    def _describe_stores(self, now):
        """Return each store's cached tokens and the age of its index."""
        table = self.view.table
        found = {}
        for address in table.context_stores if table is not None else ():
            index = self.view.context_index.get(address)
            if index is not None:
                age_s = round(now - index.confirmed, 2)
                found[address] = [index.used, age_s]
        return found

    async def _answer_side_request(self, request, exchange):
        if request.path == METRICS_PATH:
            await exchange.send_body(
                200, self.metrics.render(), 'text/plain; version=0.0.4'
            )
            return
        ready = request.path == names.READY_PATH and self._is_ready()
        await exchange.send_json(200 if ready else 503, {'ready': ready})

    def _is_ready(self):
        # A box isn't ready before it has tried to read which requests have
        # crashed targets.  Otherwise, when all boxes restart, each of them
        # would count the crashes of such a request from zero.
        known = self.claims is not None and self.claims.was_tried
        serves = self.view.table is not None and known
        return serves and not self._stop.is_set()

    async def _start_forward_listener(self):
        address = self.deployment.forwarding
        if self.deployment.links is None:
            return
        if address is None:
            self.recorder.record('no_forwarding', reason='no address')
            return
        try:
            await self.forward_listener.start(address)
        except OSError as error:
            # Peers need this only while they can't reach targets themselves.
            self.recorder.record('no_forwarding', reason=str(error))
            return
        self._takes_forwarded = True

    async def _start_metrics(self):
        try:
            await self._metrics_server.start(
                self.deployment.callers.host, METRICS_PORT
            )
        except OSError as error:
            # Metrics are for engineers only; requests are served without.
            self.recorder.record('no_metrics', reason=str(error))

    async def _shut_down(self):
        self.recorder.record('draining', open=self.listener.count_busy())
        self.listener.stop()
        self.forward_listener.stop()
        # An error in one step must not keep open requests from their end.
        self._guard(self.gate.stop)
        self._guard(self.continuity.hand_over)
        self.supervisor.spawn('leave', self.peering.leave())
        lifetime = self.lifetime
        await asyncio.sleep(max(lifetime.notice_ends - self.clock(), 0.0))
        left_s = max(lifetime.ends - self.clock(), MIN_CLOSE_S)
        await asyncio.gather(
            self.listener.close(left_s), self.forward_listener.close(left_s)
        )
        await self.supervisor.close()
        self.timer.close()
        await self.peering.close()
        self.upstream.close()
        self.client.close()
        self.recorder.record('stopped')


def count_places(descriptors):
    """Return the connections of callers that a box accepts.

    Parameters
    ----------
    descriptors : int
        File descriptors that the process may use.

    >>> [count_places(number) for number in (200, 1024, 3900)]
    [100, 512, 2700]
    """
    reserved = min(RESERVED_DESCRIPTORS, int(descriptors * MAX_RESERVED_SHARE))
    return descriptors - reserved
