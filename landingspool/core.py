"""Carries out what the pure core decides.

It owns the `Node` of this box and is the only part that calls it.  Each
action of the node is done here: messages go to the links, decisions to the
tasks of the requests, orders and moves to the targets and stores.
"""

import asyncio
import traceback

from landingspool.decisions import kv_offload
from landingspool.decisions import outputs
from landingspool import http
from landingspool.stores import client as stores
from landingspool.targets import client as targets

TICK_S = 0.1
FAULT_REST_S = 1.0
STORES_S = 2.0
EVENTS_S = 0.5
# A target that has nothing of ours is asked less often: nothing that we
# decide depends on it from one moment to the next.
IDLE_REPORT_S = 1.0
IDLE_EVENTS_S = 3.0


class Core:
    """The shell around the decisions of one box.

    Parameters
    ----------
    node : node.Node
    timer : timer.Timer
    recorder : events.Recorder
    metrics : metrics.Metrics
    client : httpclient.Client
    """

    def __init__(self, node, timer, recorder, metrics, client):
        self.node = node
        self.timer = timer
        self.recorder = recorder
        self.metrics = metrics
        self.client = client
        self.links = None
        self.message_handlers = {}
        self._inboxes = {}
        self._tasks = set()
        self._event_numbers = {}

    def start(self, report_period):
        """Begin to tick and to poll; returns nothing."""
        self.timer.subscribe_stall(self._resume)
        self.timer.subscribe(TICK_S, self._tick)
        self.keep(lambda: self._poll_loads(report_period))
        self.keep(self._poll_events)
        self.keep(self._poll_stores)

    def spawn(self, coroutine):
        """Run a task; what ends it wrongly goes to the log."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def keep(self, call):
        """Run a task for as long as the process lives.

        One that ends by an error that nothing handled is logged and begins
        anew: a box that stops following the platform would be worse.
        """
        return self.spawn(self._keep_running(call))

    async def _keep_running(self, call):
        while True:
            try:
                await call()
                return
            except Exception as error:
                text = traceback.format_exc(limit=-3)
                self.recorder.record('fault', error=repr(error), at=text)
            await asyncio.sleep(FAULT_REST_S)

    async def close(self):
        """End all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def deliver(self, sender, message):
        """Take in a message from another box."""
        now = self.timer.look()
        self.perform(self.node.handle(sender, message, now))

    def open_inbox(self, request):
        """Give the queue on which a request gets its decisions."""
        self.timer.look()
        inbox = self._inboxes[request] = asyncio.Queue()
        self.metrics.open.set(len(self._inboxes))
        return inbox

    def close_inbox(self, request):
        """End a request."""
        self._inboxes.pop(request, None)
        self.metrics.open.set(len(self._inboxes))
        now = self.timer.now()
        self.perform(self.node.end_request(request, now))

    def count_open(self):
        """Give the number of requests that this box owns."""
        return len(self._inboxes)

    def set_members(self, members):
        """Take in the live list."""
        self.perform(self.node.set_live(members, self.timer.now()))

    def get_address(self, name):
        """Give the Address of a member, or None."""
        member = self.node.members.get(name)
        return http.Address(member.host, member.port) if member else None

    def perform(self, actions):
        """Carry out the actions of the node."""
        for action in actions:
            PERFORMERS[type(action)](self, action)

    def _resume(self, stall):
        """Go on after a time in which this process did not run."""
        seconds, now = stall
        self.recorder.record('frozen', seconds=round(seconds, 2))
        self.node.resume(seconds, now)
        self.spawn(self._poll_all_loads())

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
        self.spawn(self._order(action))

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
        self.spawn(self._run_export(action))

    async def _run_export(self, export):
        node = self.node
        member = node.members.get(export.target)
        store = node.members.get(export.store)
        owned = node.pools.schedulers.get(export.pool)
        block = None
        if member and store and owned and export.target in owned.targets:
            report = owned.targets[export.target].report
            meta = {
                'key': export.key,
                'pool': export.pool,
                'workspace': export.workspace,
                'depth': export.depth,
                'cost_s': 2000 / report.prefill,
            }
            block = await targets.export_block(
                self.client, member, store, export, report.version, meta
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
        self.spawn(self._run_free(action))

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
                    wait = period if busy else IDLE_REPORT_S
                    due[member.name] = now + wait
                    calls.append(self._poll_load(member))
            await asyncio.gather(*calls)
            await asyncio.sleep(period)

    async def _poll_all_loads(self):
        members = self.node.pools.list_polled()
        await asyncio.gather(*map(self._poll_load, members))

    async def _poll_load(self, member):
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
                late = due.get(member.name, 0.0) <= now
                if member.kind == 'target' and late:
                    due[member.name] = now + IDLE_EVENTS_S
                    await self._poll_cache(member)
            await asyncio.sleep(EVENTS_S)

    async def _poll_cache(self, member):
        key = member.name, member.incarnation
        after = self._event_numbers.get(key, 0)
        events = await targets.fetch_events(self.client, member, after)
        if not events:
            return
        self._event_numbers[key] = events[-1].number
        gap = events[0].number != after + 1
        for owned in self.node.pools.schedulers.values():
            if member.name in owned.targets:
                owned.apply_cache_events(member.name, events, gap)

    async def _poll_stores(self):
        while True:
            await asyncio.sleep(STORES_S)
            members = self.node.members.values()
            found = [m for m in members if m.kind == 'store']
            contents = {}
            for member in found:
                got = await stores.fetch_listing(self.client, member)
                if got is not None:
                    contents[member.name] = got
            self.perform(self.node.set_stores(contents, self.timer.now()))

    def _end_task(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self.recorder.record('fault', error=repr(error))


PERFORMERS = {
    outputs.Send: Core._send,
    outputs.TimelineEvent: Core._record,
    outputs.Decide: Core._decide,
    outputs.Relay: Core._relay,
    outputs.Command: Core._command,
    kv_offload.Export: Core._export,
    kv_offload.Free: Core._free,
}
