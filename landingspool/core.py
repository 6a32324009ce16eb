"""Execution of the decisions of one box: all input and output around them.

`Core` owns the `Node` of this box and is the only part that calls it.  It
carries out the actions that the node returns: it sends messages over the
links, passes decisions to the tasks of the requests, and sends orders and
transfers of blocks to targets and stores.
"""

import asyncio

from landingspool.decisions import kv_offload
from landingspool.decisions import outputs
from landingspool import http
from landingspool.stores import client as stores
from landingspool.targets import client as targets

TICK_PERIOD_S = 0.1
STORE_POLL_S = 2.0
EVENT_POLL_S = 0.5
# A target without active grants of this box is polled less often: no decision
# depends on its current load.
IDLE_REPORT_POLL_S = 1.0
IDLE_EVENT_POLL_S = 3.0


class Core:
    """Runs the decisions of one box and carries out their actions.

    Parameters
    ----------
    node : node.Node
    timer : timer.Timer
    recorder : events.Recorder
    metrics : metrics.Metrics
    client : httpclient.Client
    supervisor : supervisor.Supervisor
    """

    def __init__(self, node, timer, recorder, metrics, client, supervisor):
        self.node = node
        self.supervisor = supervisor
        self.timer = timer
        self.recorder = recorder
        self.metrics = metrics
        self.client = client
        self.links = None
        self.message_handlers = {}
        self._inboxes = {}
        self._event_numbers = {}

    def start(self, report_period):
        """Start the ticks and the polls.

        Parameters
        ----------
        report_period : float
            Seconds between two polls of the load of a busy target.
        """
        self.timer.subscribe_stall(self._resume)
        self.timer.subscribe(TICK_PERIOD_S, self._tick)
        keep = self.supervisor.keep
        keep('loads', lambda: self._poll_loads(report_period))
        keep('cache_events', self._poll_events)
        keep('stores', self._poll_stores)

    def deliver(self, sender, message):
        """Handle a message from another box."""
        now = self.timer.now()
        self.perform(self.node.handle(sender, message, now))

    def open_inbox(self, request):
        """Return the queue on which a request receives its decisions."""
        inbox = self._inboxes[request] = asyncio.Queue()
        self.metrics.open.set(len(self._inboxes))
        return inbox

    def close_inbox(self, request):
        """Remove the queue of a finished request and notify the node."""
        self._inboxes.pop(request, None)
        self.metrics.open.set(len(self._inboxes))
        now = self.timer.now()
        self.perform(self.node.end_request(request, now))

    def count_open(self):
        """Return the number of requests that this box owns."""
        return len(self._inboxes)

    def set_members(self, members):
        """Update the members from the live list of the platform."""
        self.perform(self.node.set_live(members, self.timer.now()))

    def get_address(self, name):
        """Return the Address of a member, or None if it is unknown."""
        member = self.node.members.get(name)
        return http.Address(member.host, member.port) if member else None

    def perform(self, actions):
        """Carry out actions that the node returned."""
        for action in actions:
            ACTION_HANDLERS[type(action)](self, action)

    def _resume(self, stall):
        """Update the node after a stall of this process."""
        seconds, now = stall
        self.recorder.record('frozen', seconds=round(seconds, 2))
        self.node.resume(seconds, now)
        self.supervisor.spawn('loads', self._poll_all_loads())

    def _tick(self, tick):
        self.perform(self.node.tick(tick.now))

    def _send(self, action):
        self.links.send(action.to, action.message)

    def _record(self, action):
        self.recorder.record(action.event, **action.fields)

    def _decide(self, action):
        inbox = self._inboxes.get(action.request)
        if inbox is not None:
            inbox.put_nowait((action.message, self.timer.now()))

    def _relay(self, action):
        call = self.message_handlers.get(type(action.message))
        if call is not None:
            call(action.sender, action.message)

    def _command(self, action):
        order = action.order
        self.recorder.record('planned', target=order.target, epoch=order.epoch)
        self.supervisor.spawn('order', self._order(action))

    async def _order(self, action):
        order = action.order
        status = await targets.send_order(
            self.client,
            action.member,
            order,
            lambda: self.node.may_order(action, self.timer.now()),
        )
        name = 'ordered' if status == 200 else 'order_refused'
        self.recorder.record(
            name,
            target=order.target,
            epoch=order.epoch,
            version=order.version,
            status=status,
        )

    def _export(self, action):
        self.supervisor.spawn('export', self._run_export(action))

    async def _run_export(self, export):
        node = self.node
        member = node.members.get(export.target)
        store = node.members.get(export.store)
        scheduler = node.pools.schedulers.get(export.pool)
        block = None
        if (
            member
            and store
            and scheduler
            and export.target in scheduler.targets
        ):
            report = scheduler.targets[export.target].report
            meta = {
                'key': export.key,
                'pool': export.pool,
                'workspace': export.workspace,
                'depth': export.depth,
                'cost_s': 2000 / report.prefill,
            }
            block = await self.supervisor.attempt(
                'export',
                targets.export_block(
                    self.client, member, store, export, report.version, meta
                ),
            )
        if block is None:
            self.recorder.record('store_down', store=export.store)
        else:
            self.recorder.record('kept', key=export.key, write=export.write)
            labels = export.workspace, 'export'
            self.metrics.store_bytes.labels(*labels).inc(block.length)
        now = self.timer.now()
        self.perform(node.end_export(export, block, now))

    def _free(self, action):
        self.supervisor.spawn('free', self._run_free(action))

    async def _run_free(self, action):
        store = self.node.members.get(action.store)
        if store is not None:
            await stores.free_write(self.client, store, action.write)
            self.recorder.record('freed', write=action.write)

    async def _poll_loads(self, period):
        due = {}
        while True:
            now = self.timer.now()
            members = self.node.pools.list_polled()
            calls = []
            for member in members:
                if due.get(member.name, 0.0) <= now:
                    busy = self.node.pools.is_busy(member.name)
                    wait = period if busy else IDLE_REPORT_POLL_S
                    due[member.name] = now + wait
                    calls.append(self._poll_load(member))
            await asyncio.gather(*calls)
            await asyncio.sleep(period)

    async def _poll_all_loads(self):
        members = self.node.pools.list_polled()
        await asyncio.gather(*map(self._poll_load, members))

    async def _poll_load(self, member):
        """Poll a target; its odd report must not stop the others' polls."""
        await self.supervisor.attempt('loads', self._take_load(member))

    async def _take_load(self, member):
        report = await targets.fetch_load(self.client, member)
        if report is not None:
            self.perform(self.node.report(report, self.timer.now()))

    async def _poll_events(self):
        due = {}
        while True:
            now = self.timer.now()
            for member in self.node.pools.list_polled():
                busy = self.node.pools.is_busy(member.name)
                if busy:
                    due[member.name] = now
                is_due = due.get(member.name, 0.0) <= now
                if member.kind == 'target' and is_due:
                    due[member.name] = now + IDLE_EVENT_POLL_S
                    await self.supervisor.attempt(
                        'cache_events', self._poll_cache(member)
                    )
            await asyncio.sleep(EVENT_POLL_S)

    async def _poll_cache(self, member):
        key = member.name, member.incarnation
        after = self._event_numbers.get(key, 0)
        events = await targets.fetch_events(self.client, member, after)
        if not events:
            return
        self._event_numbers[key] = events[-1].number
        gap = events[0].number != after + 1
        for scheduler in self.node.pools.schedulers.values():
            if member.name in scheduler.targets:
                scheduler.apply_cache_events(member.name, events, gap)

    async def _poll_stores(self):
        while True:
            await asyncio.sleep(STORE_POLL_S)
            members = self.node.members.values()
            store_members = [m for m in members if m.kind == 'store']
            contents = {}
            for member in store_members:
                listing = await self.supervisor.attempt(
                    'stores', stores.fetch_listing(self.client, member)
                )
                if listing is not None:
                    contents[member.name] = listing
            self.perform(self.node.set_stores(contents, self.timer.now()))


ACTION_HANDLERS = {
    outputs.Send: Core._send,
    outputs.TimelineEvent: Core._record,
    outputs.Decide: Core._decide,
    outputs.Relay: Core._relay,
    outputs.Command: Core._command,
    kv_offload.Export: Core._export,
    kv_offload.Free: Core._free,
}
