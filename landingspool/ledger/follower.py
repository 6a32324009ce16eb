"""Follows the configuration in the log and keeps the table current.

In each domain two boxes read the log, and the others fetch the table from
them, which limits the load on the log.  A domain that can't reach the platform
but can reach other domains fetches the table from these and stays current.
The offset of the table only increases.
"""

import asyncio

from landingspool.decisions import configuration
from landingspool.decisions import messages
from landingspool.decisions import ownership
from landingspool.ledger import outcomes

# Boxes of a domain that read the log.
READERS = 2
POLL_S = 0.3
DOWN_POLL_S = 1.0
# Offsets between two snapshots.
SNAPSHOT_INTERVAL = 500
MAX_RESULTS = 1024


class Follower:
    """Owns the table of this box.

    Parameters
    ----------
    log : log.Log
    core : core.Core
        Its node receives each newer table.
    """

    def __init__(self, log, core):
        self._log = log
        self._core = core
        self.table = configuration.Table()
        self.results = {}
        self.up = False
        self._changed = asyncio.Event()
        self._fetch_count = 0

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
        """Read one page of the log, fold it and return the page."""
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
        """Wait until an edit has been folded; return its Result or None.

        Parameters
        ----------
        edit : str
            Identifier of the edit.
        timeout : float
            Longest wait, in seconds.
        """
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
        """Answer a peer's Fetch with a snapshot if the table is newer."""
        if message.after >= self.table.offset:
            return
        snapshot = configuration.take_snapshot(self.table)
        data = configuration.encode_snapshot(snapshot)
        entries = ((self.table.offset, data),)
        reply = messages.Records(message.stream, message.after, entries)
        self._core.links.send(sender, reply)

    def take(self, message):
        """Apply a peer's table if it is newer than the table of this box."""
        for _, data in message.entries:
            snapshot = configuration.read_snapshot(data)
            if snapshot is None or snapshot.applied <= self.table.offset:
                continue
            table = configuration.load_snapshot(snapshot)
            for edit, outcome in snapshot.edits:
                result = configuration.Result(table.offset, edit, outcome)
                self.results.setdefault(edit, result)
            self._set_table(table)
            self._trim_results()

    def _is_reader(self):
        node = self._core.node
        ranked = ownership.rank('log', node.roster.view(node.domain))
        return node.box in ranked[:READERS] or node.box not in ranked

    def _ask_peers(self):
        node = self._core.node
        ranked = ownership.rank('log', node.roster.view(node.domain))
        domain_readers = [box for box in ranked[:READERS] if box != node.box]
        remote_boxes = [
            box
            for domain in node.roster.list_domains()
            for box in node.roster.view(domain)[:2]
        ]
        peers = [
            box for box in domain_readers or remote_boxes if box != node.box
        ]
        if not peers:
            return
        self._fetch_count += 1
        fetch = messages.Fetch(configuration.STREAM, self.table.offset)
        self._core.links.send(peers[self._fetch_count % len(peers)], fetch)

    async def _restore(self, page):
        # The log has dropped the records right after our offset.  A table
        # takes effect only if a snapshot and the records leave no gap.
        entries = list(page.entries)
        while entries and entries[-1][0] + 1 < page.next:
            more = await self._log.read(configuration.STREAM, entries[-1][0])
            if isinstance(more, outcomes.Unavailable) or not more.entries:
                break
            entries += more.entries
        table, results = self._core.supervisor.guard(
            'configuration', configuration.restore, page.first, entries
        ) or (None, [])
        if table is None:
            self._core.recorder.record('log_gap', first=page.first)
            self._ask_peers()
            return
        for result in results:
            self._record_result(result)
        self._set_table(table)

    def _fold(self, entries):
        table = self.table
        for offset, data in entries:
            try:
                table, result = configuration.fold(table, offset, data)
            except Exception as error:
                # Every reader passes over it, as over an invalid record.
                self._pass_over(offset, error)
                table = table._replace(offset=offset)
                continue
            self._record_result(result)
        self._set_table(table)

    def _pass_over(self, offset, error):
        self._core.supervisor.report(
            'records',
            error,
            'record_passed_over',
            topic=configuration.STREAM,
            key='',
            offset=offset,
        )

    def _record_result(self, result):
        if result.edit and result.outcome != configuration.DUPLICATE:
            self.results[result.edit] = result
            self._trim_results()
        if result.outcome == configuration.ACCEPTED:
            self._core.recorder.record(
                'published', offset=result.offset, edit=result.edit
            )
        elif result.outcome == configuration.CONFLICT:
            names = ','.join(name for name, _, _ in result.conflicts)
            self._core.recorder.record(
                'conflicted', edit=result.edit, rows=names
            )

    def _trim_results(self):
        while len(self.results) > MAX_RESULTS:
            self.results.pop(next(iter(self.results)))

    def _set_table(self, table):
        if table.offset <= self.table.offset:
            return
        before = self.table.offset
        self.table = table
        self._core.node.set_table(table)
        self._core.metrics.offset.set(table.offset)
        self._changed.set()
        self._changed = asyncio.Event()
        is_due = (
            table.offset // SNAPSHOT_INTERVAL > before // SNAPSHOT_INTERVAL
        )
        if is_due and before >= 0 and self._is_reader():
            self._core.supervisor.spawn(
                'snapshot', self._append_snapshot(table)
            )

    async def _append_snapshot(self, table):
        # Every reader may append a snapshot; a duplicate has no effect.
        snapshot = configuration.take_snapshot(table)
        data = configuration.encode_snapshot(snapshot)
        reply = await self._log.append(configuration.STREAM, data)
        name = type(reply).__name__
        self._core.recorder.record(
            'snapshot', offset=table.offset, outcome=name
        )

    def _record_state(self, up, reason):
        if up != self.up:
            name = 'log_up' if up else 'log_down'
            self._core.recorder.record(name, reason=reason)
        self.up = up
