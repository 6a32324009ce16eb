"""HTTP interface for operators: table, state, timeline and metrics."""

import asyncio
import hmac
import uuid

import msgspec

from landingspool.decisions import configuration
from landingspool.decisions import decoding
from landingspool.decisions import messages
from landingspool import http
from landingspool.ledger import outcomes

PUBLISH_TIMEOUT_S = 10.0
APPEND_RETRY_DELAY_S = 0.3


class Row(msgspec.Struct, forbid_unknown_fields=True):
    """One row of a draft."""

    workspace: str
    weight: float
    share: float
    limit: decoding.Whole
    priority: decoding.Whole
    key_hash: str
    revision: decoding.Whole = 0


class Draft(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a publish request, as the command-line tool sends it."""

    author: str
    rows: list[Row]
    removed: list[str]
    bases: list[decoding.Whole]
    versions: dict[str, str] = {}
    edit: str = ''


DRAFT_DECODER = msgspec.json.Decoder(Draft)


class OperatorApi:
    """Handles the HTTP requests of operators.

    Parameters
    ----------
    core : core.Core
    follower : follower.Follower
    log : log.Log
    settings : settings.Operators
    drain : callable
        Starts a planned stop of this box.
    """

    def __init__(self, core, follower, log, settings, drain):
        self.core = core
        self.follower = follower
        self._log = log
        self._key = settings.key
        self._drain = drain
        core.message_handlers[messages.Fetch] = follower.answer
        core.message_handlers[messages.Records] = self._handle_records

    async def handle(self, request, exchange):
        """Answer one request of an operator or of a metrics scraper."""
        if (request.method, request.path) == ('GET', '/metrics'):
            body = self.core.metrics.render()
            await exchange.send_body(200, body, 'text/plain; version=0.0.4')
            return
        key = request.headers.get('authorization', '')
        if not hmac.compare_digest(
            key.encode(), f'Bearer {self._key}'.encode()
        ):
            await exchange.send_json(401, {'error': 'wrong operator key'})
            return
        handler = ROUTES.get((request.method, request.path))
        if handler is None:
            raise http.BadRequest(404, 'no such route')
        await handler(self, request, exchange)

    async def show_table(self, request, exchange):
        """Return the table in force at this box."""
        table = self.follower.table
        rows = [row._asdict() for row in table.rows.values()]
        reply = {
            'offset': table.offset,
            'rows': rows,
            'versions': table.versions,
        }
        await exchange.send_json(200, reply)

    async def publish(self, request, exchange):
        """Publish a draft and answer with its outcome."""
        try:
            draft = decoding.decode(
                'draft', DRAFT_DECODER.decode, request.body
            )
        except decoding.Malformed as error:
            raise http.BadRequest(400, str(error)) from error
        edit = draft.edit or uuid.uuid4().hex
        values = [msgspec.structs.astuple(row) for row in draft.rows]
        publish = configuration.Publish(
            edit=edit,
            author=draft.author,
            rows=tuple(configuration.records.Row(*v) for v in values),
            removed=tuple(draft.removed),
            bases=tuple(draft.bases),
            versions=tuple(sorted(draft.versions.items())),
        )
        result = await self._append(publish)
        await exchange.send_json(200, result)

    async def _append(self, publish):
        # An append may have succeeded although its answer was lost, so the
        # log is searched for the edit id before the append is retried.
        # Readers ignore a second record with the same edit id.
        edit = publish.edit
        problems = configuration.check_publish(self.follower.table, publish)
        if problems and not any(p.reason == 'conflict' for p in problems):
            return describe_problems(edit, problems)
        deadline = self.core.timer.now() + PUBLISH_TIMEOUT_S
        data = configuration.encode_publish(publish)
        may_be_published = False
        while self.core.timer.now() < deadline:
            reply = await self._log.append(configuration.STREAM, data)
            if isinstance(reply, outcomes.Refused):
                await asyncio.sleep(APPEND_RETRY_DELAY_S)
                continue
            may_be_published = True
            wait = min(2.0, deadline - self.core.timer.now())
            result = await self.follower.wait_result(edit, wait)
            if result is None:
                continue
            if isinstance(reply, outcomes.Lost):
                self.core.recorder.record('settled', edit=edit)
            return describe_result(result)
        outcome = 'unknown' if may_be_published else 'not_published'
        return {'edit': edit, 'outcome': outcome}

    async def find_edit(self, request, exchange):
        """Return the outcome of an edit, as far as this box has read."""
        edit = request.query.get('edit', '')
        result = self.follower.results.get(edit)
        if result is None:
            outcome = configuration.get_edit_outcome(self.follower.table, edit)
            reply = {'edit': edit, 'outcome': outcome or 'not_heard'}
        else:
            reply = describe_result(result)
        reply['offset_in_force'] = self.follower.table.offset
        await exchange.send_json(200, reply)

    async def show_status(self, request, exchange):
        """Return the state of this box as it sees it."""
        node = self.core.node
        await exchange.send_json(200, describe_node(node, self.core))

    async def list_events(self, request, exchange):
        """Return recorded events whose fields match those in the query."""
        query = dict(request.query)
        try:
            since = decoding.decode('since', float, query.pop('since', '0'))
        except decoding.Malformed as error:
            raise http.BadRequest(400, str(error)) from error
        rows = self.core.recorder.select(since, **query)
        reply = [event._asdict() for event in rows]
        await exchange.send_json(200, {'events': reply})

    async def drain(self, request, exchange):
        """Start a planned stop of this box."""
        await exchange.send_json(200, {'draining': self.core.node.box})
        self._drain()

    def _handle_records(self, sender, message):
        self.follower.take(message)


def describe_result(result):
    """Return the JSON form of a Result."""
    conflicts = [
        {
            'workspace': name,
            'base': base,
            'current': current._asdict() if current else None,
        }
        for name, base, current in result.conflicts
    ]
    return {
        'edit': result.edit,
        'outcome': result.outcome,
        'offset': result.offset,
        'conflicts': conflicts,
        'problems': [problem._asdict() for problem in result.problems],
    }


def describe_problems(edit, problems):
    """Return the JSON form of a draft that every reader would reject."""
    rows = [problem._asdict() for problem in problems]
    return {'edit': edit, 'outcome': 'invalid', 'problems': rows}


def describe_node(node, core):
    """Return the state of a box: view, targets, pools, open requests."""
    targets = []
    for name, owned in sorted(node.pools.schedulers.items()):
        for target in owned.targets.values():
            targets.append(describe_target(name, target))
    pools = {
        name: {
            'waiting': owned.count_waiting(),
            'granted': len(owned.active_grants),
        }
        for name, owned in sorted(node.pools.schedulers.items())
    }
    return {
        'box': node.box,
        'domain': node.domain,
        'incarnation': node.incarnation,
        'state': node.membership.get_state(node.box),
        'offset': node.table.offset,
        'versions': node.table.versions,
        'open': core.count_open(),
        'alive': list(node.roster.view(node.domain)),
        'domains': list(node.roster.list_domains()),
        'boxes': list_boxes(node),
        'pools': pools,
        'targets': targets,
        'seconds': core.timer.now(),
    }


def list_boxes(node):
    """List the boxes in the list of live members, with their addresses."""
    return [
        {
            'name': member.name,
            'domain': member.domain,
            'host': member.host,
            'operators_port': member.operators_port,
        }
        for member in sorted(node.members.values())
        if member.kind == 'entry'
    ]


def describe_target(pool, target):
    """Return the state of one target as its scheduler sees it."""
    report = target.report
    return {
        'pool': pool,
        'target': target.member.name,
        'version': report.version if report else '',
        'ready': bool(report and report.ready),
        'leaving': target.is_leaving(),
        'granted': len(target.active_grants),
        'slowness': round(target.slowness, 2),
        'breaker': target.breaker.state,
        'checks_fences': target.member.checks_fences,
    }


ROUTES = {
    ('GET', '/admin/table'): OperatorApi.show_table,
    ('POST', '/admin/publish'): OperatorApi.publish,
    ('GET', '/admin/edit'): OperatorApi.find_edit,
    ('GET', '/admin/status'): OperatorApi.show_status,
    ('GET', '/admin/events'): OperatorApi.list_events,
    ('POST', '/admin/drain'): OperatorApi.drain,
}
