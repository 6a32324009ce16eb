"""Keep streams at the software version that began them.

The binding of a stream is recorded as its first event is forwarded, with the
version that the target had then.  A caller that continues a stream names the
attempt that began it, at any box.  So unless the service has had a single
version for as long as a stream may last, this box tells the owners of the
stream at once, and the box that is asked to continue it asks them.

What follows from a single version rests on a list of targets that is read
while the request waits: by this box, or by an owner if it can't.
"""

import asyncio
import typing

import cbor2
import msgspec

from landingspool.decisions import decoding
from landingspool.decisions.gateway import continuations
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import stream_bindings
from landingspool.decisions.gateway import stream_owners
from landingspool.decisions.gateway import stream_records
from landingspool.gateway import boxcalls
from landingspool.gateway import current_list
from landingspool.gateway import registry
from landingspool import timeouts

STREAMS_PATH = '/streams'
SWEEP_PERIOD_S = 5.0
# Period of the check whether owners have to be told, seconds.
CHECK_PERIOD_S = 0.2
# Streams of which a stopping box tells, the newest: some tens of milliseconds
# of work.
MAX_HANDED_OVER = 512
# Seconds in which owners answer: several trips between failure domains, and a
# new connection.
ASK_TIMEOUT_S = 0.15
# The same if they read the list of targets before.
ASK_LIST_TIMEOUT_S = ASK_TIMEOUT_S + current_list.RENEWAL_TIMEOUT_S
# Bound of what an owner answers: the services and software of one route.
REPLY_MAX_BYTES = 256 * 1024


class Untold(typing.NamedTuple):
    """The streams of a route that no owner was told of, by their keys."""

    route: routes.Route
    keys: set


class Inquiry(typing.NamedTuple):
    """A stream of a route that was asked for at some time."""

    key: bytes
    route: routes.Route
    asked_at: float


class Continuity:
    """Records the bindings of streams, and looks them up.

    Parameters
    ----------
    hub
        The box's parts: `deployment`, `view`, `peering`, `sources`,
        `current_list`, `client`, `timer`, `recorder`, `metrics`,
        `supervisor`, `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._view = hub.view
        # The streams of this box that no owner was told of, by their route's
        # host and prefix.
        self._untold = {}

    def start(self):
        """Begin the periodic checks."""
        self._hub.timer.subscribe(SWEEP_PERIOD_S, self._sweep)
        self._hub.timer.subscribe(CHECK_PERIOD_S, self._check)

    def record_begun(self, state):
        """Record the binding of a stream whose first event is forwarded.

        Parameters
        ----------
        state : request_state.RequestState
        """
        if not state.call.name:
            # No caller can name it.
            return
        now, work = self._hub.clock(), state.work
        key = make_key(work, state.call.name)
        binding = stream_bindings.Binding(work.service, work.software)
        until = state.started + state.call.left_s
        self._view.stream_bindings.put(key, binding, now, until)
        if self._is_implied(work.route, now):
            self._put_untold(work.route, key)
        else:
            self._tell([key], now)

    def hand_over(self):
        """Tell the owners of all streams, since this box stops."""
        now = self._hub.clock()
        live = self._view.stream_bindings.list_live(now)
        self._tell([key for key, _ in live[-MAX_HANDED_OVER:]], now)

    def take(self, message):
        """Record what another box tells of its streams.

        Parameters
        ----------
        message : stream_records.StreamRecords
        """
        now = self._hub.clock()
        for record in message.records:
            known = stream_records.read_record(record, now)
            self._view.stream_bindings.put(record.key, *known)

    async def find(self, state):
        """Find the binding of the stream that a caller continues.

        Parameters
        ----------
        state : request_state.RequestState

        Returns
        -------
        continuations.Found
        """
        work, call = state.work, state.call
        key = make_key(work, call.resumes)
        # What this box was told before the request counts.
        self._hub.peering.read_arrived()
        asked_at = self._hub.clock()
        own = self._collect(key, work.route, asked_at)
        found = continuations.decide(own, (), 0)
        if own.known is None:
            inquiry = Inquiry(key, work.route, asked_at)
            left_s = state.get_time_left(asked_at)
            found = await self._inquire_in_time(inquiry, left_s)
        found = continuations.check_route(found, work.route)
        self._log(state, found, own)
        return found

    async def answer(self, request, exchange):
        """Answer a box that asks for a stream."""
        # What was told before the question counts.
        self._hub.peering.read_arrived()
        asked_at = self._hub.clock()
        try:
            query = boxcalls.read(stream_records.StreamQuery, request.body)
        except decoding.Malformed as error:
            self._hub.recorder.record('bad_message', reason=str(error))
            await exchange.send_json(400, {'error': 'not understood'})
            return
        table = self._view.table
        route = None
        if table is not None:
            route = routes.match_route(table, query.host, query.prefix)
        evidence = self._collect(query.key, route, asked_at)
        if query.wants_list and evidence.known is None and evidence.only:
            await self._hub.current_list.renew()
            evidence = self._collect(query.key, route, asked_at)
        reply = stream_records.make_reply(
            query.key, evidence, self._hub.clock()
        )
        await boxcalls.answer(
            exchange, msgspec.to_builtins(reply, builtin_types=[bytes])
        )

    def _collect(self, key, route, asked_at):
        """Return the continuations.Evidence that this box has of a stream.

        Parameters
        ----------
        asked_at : float
            When the stream was asked for: a list read later is current.
        """
        now = self._hub.clock()
        known = self._view.stream_bindings.find(key, now)
        box = self._hub.deployment.box
        if route is None:
            return continuations.Evidence(known, None, frozenset(), box)
        history = self._view.software_history
        _, list_s = history.get_ages(now)
        return continuations.Evidence(
            known,
            history.find_only(route, now),
            frozenset(history.list_bindings(route, now)),
            box,
            list_s,
            history.is_proved_since(asked_at),
        )

    async def _inquire_in_time(self, inquiry, left_s):
        """Inquire for as long as the caller waits."""
        try:
            async with timeouts.Timeout(left_s):
                return await self._inquire(inquiry)
        except TimeoutError:
            # Whoever was asked might have known more.
            return continuations.decide(self._collect(*inquiry), (), 1)

    async def _inquire(self, inquiry):
        """Return what follows from this box and the owners of a stream.

        Owners read the list of targets only if this box can't: each read is
        a call to the store.
        """
        peers = self._pick_owners([inquiry.key])[inquiry.key]
        own = self._collect(*inquiry)
        is_unable = own.only is None or self._hub.current_list.is_failing
        wants_list = own.may_imply and is_unable
        found = await self._gather(inquiry, peers, wants_list)
        if wants_list or found.source != continuations.Source.UNPROVED:
            return found
        answered = {row.box for row in found.evidence}
        able = [peer for peer in peers if peer.name in answered]
        if not able:
            return found
        last = await self._gather(inquiry, able, True)
        return last._replace(unanswered=last.unanswered + found.unanswered)

    async def _gather(self, inquiry, peers, wants_list):
        """Read the list of targets and ask owners, until that decides."""
        pending = self._ask_all(inquiry, peers, wants_list)
        if self._collect(*inquiry).only is not None:
            renewal = self._hub.current_list.renew()
            pending.add(self._hub.supervisor.spawn('owners', renewal))
        tasks, answers = set(pending), []
        try:
            while True:
                own = self._collect(*inquiry)
                found = continuations.decide(own, answers, len(peers))
                if not pending or continuations.is_certain(
                    found, own, answers
                ):
                    return found
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                answers += [task.result() for task in done if task.result()]
        finally:
            for task in tasks:
                task.cancel()

    def _ask_all(self, inquiry, peers, wants_list):
        """Return the tasks that ask the owners of a stream."""
        key, route, _ = inquiry
        query = stream_records.StreamQuery(
            key, route.host, route.prefix, wants_list
        )
        body = cbor2.dumps(msgspec.to_builtins(query, builtin_types=[bytes]))
        timeout = ASK_LIST_TIMEOUT_S if wants_list else ASK_TIMEOUT_S
        return {
            self._hub.supervisor.spawn(
                'owners', self._try_ask(peer, body, timeout)
            )
            for peer in peers
        }

    async def _try_ask(self, peer, body, timeout=ASK_TIMEOUT_S):
        """Ask a box; an error counts as no answer of it."""
        return await self._hub.supervisor.attempt(
            'owners', self._ask(peer, body, timeout)
        )

    async def _ask(self, peer, body, timeout):
        """Return the Evidence of another box, or None if it doesn't answer."""
        try:
            reply = await boxcalls.fetch(
                self._hub.client,
                peer.address,
                stream_records.StreamReply,
                ('POST', STREAMS_PATH),
                body,
                timeout=timeout,
                max_bytes=REPLY_MAX_BYTES,
            )
        except boxcalls.NoAnswer as error:
            self._hub.recorder.record(
                'owner_silent', peer=peer.name, reason=str(error)
            )
            return None
        return stream_records.read_reply(reply, peer.name, self._hub.clock())

    def _pick_owners(self, keys):
        """Return the registry.Peer of each owner of some streams, by key."""
        peers = registry.list_stream_owners(self._hub.peering.peers)
        domains = {name: peer.domain for name, peer in peers.items()}
        domain = self._hub.deployment.domain
        return {
            key: [
                peers[name]
                for name in stream_owners.pick_owners(key, domain, domains)
            ]
            for key in keys
        }

    def _tell(self, keys, now):
        """Tell the owners of streams of this box."""
        records = {}
        for key, owners in self._pick_owners(keys).items():
            known = self._view.stream_bindings.find(key, now)
            if known is None:
                continue
            record = stream_records.make_record(key, known, now)
            for peer in owners:
                records.setdefault(peer.address, []).append(record)
        box = self._hub.deployment.box
        for address, rows in records.items():
            self._hub.metrics.stream_records.inc(len(rows))
            for message in stream_records.split_records(box, rows):
                self._hub.peering.send(message, address)

    def _check(self, tick):
        self.check(tick.now)

    def check(self, now):
        """Tell owners of the streams whose binding is no longer implied."""
        for place, untold in list(self._untold.items()):
            if not self._is_implied(untold.route, now):
                del self._untold[place]
                self._tell(untold.keys, now)

    def _is_implied(self, route, now):
        """Return whether other boxes can tell the binding of new streams.

        They can't while the list of targets can't be read.
        """
        history = self._view.software_history
        failed_at = self._hub.sources.failed_at
        if failed_at is not None and not history.is_proved_since(failed_at):
            return False
        if self._hub.current_list.is_failing:
            return False
        return history.find_only(route, now) is not None

    def _put_untold(self, route, key):
        place = route.host, route.prefix
        if place not in self._untold:
            self._untold[place] = Untold(route, set())
        self._untold[place].keys.add(key)

    def _sweep(self, tick):
        """Forget the streams whose callers have given up."""
        now = tick.now
        known = self._view.stream_bindings
        known.drop_expired(now)
        for place, untold in list(self._untold.items()):
            live = {key for key in untold.keys if known.find(key, now)}
            self._untold[place] = untold._replace(keys=live)

    def _log(self, state, found, own):
        self._hub.metrics.continuations.labels(found.source).inc()
        now, age_s = self._hub.clock(), None
        watched_s, list_s = self._view.software_history.get_ages(now)
        if found.known is not None:
            age_s = round(now - found.known.since, 3)
        self._hub.recorder.record(
            'continued' if found.binding else 'not_continued',
            request=state.call.name,
            resumes=state.call.resumes,
            after=state.call.after_event,
            software=found.binding.software if found.binding else '',
            source=found.source,
            age_s=age_s,
            serving=sorted(binding.software for binding in own.recent),
            unanswered=found.unanswered,
            evidence=[row.describe() for row in found.evidence],
            watched_s=watched_s,
            list_s=list_s,
        )


def make_key(work, attempt):
    """Return the key of the stream that an attempt of a workspace began.

    Parameters
    ----------
    work : plans.Work
    attempt : str
        The caller's id of the attempt.
    """
    return stream_bindings.make_key(work.workspace, work.route, attempt)
