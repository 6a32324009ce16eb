"""Follows the configuration in the log and keeps the table current.

Two boxes a domain read the log; the others ask these, so a domain that is
cut from the platform but not from its neighbours stays current, and the
log is read by few.  The table only moves forward in offset.
"""

import asyncio

from landingspool.decisions import configuration
from landingspool.decisions import messages
from landingspool.decisions import ownership
from landingspool.ledger import outcomes

READERS = 2
POLL_S = 0.3
DOWN_POLL_S = 1.0
SNAPSHOT_EVERY = 500
RESULTS_KEPT = 1024


class Follower:
    """Owns the table of this box.

    Parameters
    ----------
    log : log.Log
    core : core.Core
        Told of each newer table.
    """

    def __init__(self, log, core):
        self._log = log
        self._core = core
        self.table = configuration.Table()
        self.results = {}
        self.up = False
        self._changed = asyncio.Event()
        self._asked = 0

    async def run(self):
        """Follow until cancelled."""
        while True:
            if not self._is_reader():
                self._ask_peers()
                await asyncio.sleep(POLL_S)
                continue
            page = await self.read_once()
            down = isinstance(page, outcomes.Unavailable)
            if down:
                self._ask_peers()
            await asyncio.sleep(DOWN_POLL_S if down else POLL_S)

    async def read_once(self):
        """Read one page of the log and fold it; returns the page."""
        stream = configuration.STREAM
        page = await self._log.read(stream, self.table.offset)
        if isinstance(page, outcomes.Unavailable):
            self._record_state(False, page.reason)
            return page
        self._record_state(True, '')
        if page.first > self.table.offset + 1:
            await self._restore(page)
        else:
            self._fold(page.entries)
        return page

    async def wait_result(self, edit, timeout):
        """Wait until an edit was folded; returns its Result or None."""
        try:
            async with asyncio.timeout(timeout):
                while edit not in self.results:
                    changed = self._changed
                    await self.read_once()
                    if edit in self.results:
                        break
                    async with asyncio.timeout(POLL_S):
                        await changed.wait()
        except TimeoutError:
            if edit not in self.results:
                return None
        return self.results[edit]

    def answer(self, sender, message):
        """Answer a peer's Fetch with the table as one snapshot."""
        if message.after >= self.table.offset:
            return
        snapshot = configuration.take_snapshot(self.table)
        data = configuration.encode_snapshot(snapshot)
        entries = ((self.table.offset, data),)
        reply = messages.Records(message.stream, message.after, entries)
        self._core.links.send(sender, reply)

    def take(self, message):
        """Take in a peer's table, if it is newer than ours."""
        for _, data in message.entries:
            snapshot = configuration.read_snapshot(data)
            if snapshot is None or snapshot.applied <= self.table.offset:
                continue
            table = configuration.load_snapshot(snapshot)
            for edit, outcome in snapshot.edits:
                result = configuration.Result(table.offset, edit, outcome)
                self.results.setdefault(edit, result)
            self._put(table)
            self._trim()

    def _is_reader(self):
        node = self._core.node
        ranked = ownership.rank('log', node.roster.view(node.domain))
        return node.box in ranked[:READERS] or node.box not in ranked

    def _ask_peers(self):
        node = self._core.node
        ranked = ownership.rank('log', node.roster.view(node.domain))
        own = [box for box in ranked[:READERS] if box != node.box]
        far = [
            box
            for d in node.roster.list_domains()
            for box in node.roster.view(d)[:2]
        ]
        peers = [box for box in own or far if box != node.box]
        if not peers:
            return
        self._asked += 1
        ask = messages.Fetch(configuration.STREAM, self.table.offset)
        self._core.links.send(peers[self._asked % len(peers)], ask)

    async def _restore(self, page):
        # The log no longer holds the records after our offset.  Only a
        # snapshot that leaves no gap may put a table in force.
        entries = list(page.entries)
        while entries and entries[-1][0] + 1 < page.next:
            more = await self._log.read(configuration.STREAM, entries[-1][0])
            if isinstance(more, outcomes.Unavailable) or not more.entries:
                break
            entries += more.entries
        table, results = configuration.restore(page.first, entries)
        if table is None:
            self._core.recorder.record('log_gap', first=page.first)
            self._ask_peers()
            return
        for result in results:
            self._record_result(result)
        self._put(table)

    def _fold(self, entries):
        table = self.table
        for offset, data in entries:
            table, result = configuration.fold(table, offset, data)
            self._record_result(result)
        self._put(table)

    def _record_result(self, result):
        if result.edit and result.outcome != configuration.DUPLICATE:
            self.results[result.edit] = result
            self._trim()
        if result.outcome == configuration.ACCEPTED:
            self._core.recorder.record(
                'published', offset=result.offset, edit=result.edit
            )
        elif result.outcome == configuration.CONFLICT:
            names = ','.join(name for name, _, _ in result.conflicts)
            self._core.recorder.record(
                'conflicted', edit=result.edit, rows=names
            )

    def _trim(self):
        while len(self.results) > RESULTS_KEPT:
            self.results.pop(next(iter(self.results)))

    def _put(self, table):
        if table.offset <= self.table.offset:
            return
        before = self.table.offset
        self.table = table
        self._core.node.set_table(table)
        self._core.metrics.offset.set(table.offset)
        self._changed.set()
        self._changed = asyncio.Event()
        passed = table.offset // SNAPSHOT_EVERY > before // SNAPSHOT_EVERY
        if passed and before >= 0 and self._is_reader():
            self._core.spawn(self._append_snapshot(table))

    async def _append_snapshot(self, table):
        # Every reader may do this; a second copy changes nothing.
        snapshot = configuration.take_snapshot(table)
        data = configuration.encode_snapshot(snapshot)
        reply = await self._log.append(configuration.STREAM, data)
        kind = type(reply).__name__
        self._core.recorder.record(
            'snapshot', offset=table.offset, outcome=kind
        )

    def _record_state(self, up, reason):
        if up != self.up:
            name = 'log_up' if up else 'log_down'
            self._core.recorder.record(name, reason=reason)
        self.up = up
