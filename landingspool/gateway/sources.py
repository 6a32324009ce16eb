"""Read the platform's topics from its store or from another box.

In a large domain few boxes read the store, and the others ask these for the
same records by the same offsets.  A read ends as soon as its source has
failed, and the next source is asked at once.  A box that gets no answer from
the store says so in all its answers.  The answer of a box that is behind in a
topic is rejected.
"""

import asyncio
import collections
import contextlib
import dataclasses
import math
from urllib import parse

import msgspec

from landingspool.decisions import decoding
from landingspool.decisions.gateway import histories
from landingspool.decisions.gateway import readers
from landingspool.decisions.gateway import tail as tail_module
from landingspool.gateway import boxcalls
from landingspool.platform import store as store_module
from landingspool import supervisor

RECORDS_PATH = '/records'
NEWEST_PATH = '/newest'
# Time-out for an answer beyond the hold, seconds.  It is short, since boxes of
# one domain are near each other.
ANSWER_TIMEOUT_S = 0.4
# Why the records of another box are rejected.
VOIDED = 'its records may be of a former history of the topic'


class Relayed(msgspec.Struct):
    """Records as another box has read them.

    Attributes
    ----------
    records : list of tuple
        Key, value and offset of each record.
    end : int
        Offset after the last record.
    age : float
        Age of the proof of the box that answers, seconds.
    gone : bool
        Whether the requested records are no longer available.
    cut : bool
        Whether the store failed that box shortly before.
    rolled : float or None
        Seconds since the topic was last rolled back, as that box noticed.  One
        of an earlier version never tells.
    """

    records: list[tuple[str, bytes, decoding.Count]]
    end: decoding.Count
    age: decoding.Age
    gone: bool = False
    cut: bool = False
    rolled: decoding.Age | None = None


class Sources:
    """Read topics from the store, or from the peer that reads for this box.

    Parameters
    ----------
    hub
        The box's parts: `store`, `client`, `peering`, `supervisor`, `clock`,
        `deployment`.

    Attributes
    ----------
    failed_at : float or None
        When a source last failed this box, seconds of the clock.
    """

    def __init__(self, hub):
        self._hub = hub
        self._aborts = {}
        self._answered = asyncio.Event()
        self._subscribers = collections.defaultdict(list)
        self.failed_at = None

    def exclude_stall(self, stall):
        """Don't count the seconds of a timer.Stall of this process."""
        if self.failed_at is not None:
            self.failed_at += stall.seconds

    def subscribe_failure(self, topic, call):
        """Call ``call()`` each time a source of a topic fails this box."""
        self._subscribers[topic].append(call)

    def leave(self, name):
        """Abort the pending reads of a source that has failed.

        Otherwise a long hold would delay the updates that another source has.
        Here the name of this box stands for the store.
        """
        abort = self._aborts.pop(name, None)
        if abort is not None:
            abort.set_result(None)

    async def read(self, topic, start, hold_s, known=histories.NOTHING):
        """Read records with the outcomes of store.Store.read.

        Parameters
        ----------
        known : histories.Known, optional
            What this box knows of the topic.  If a source has failed since,
            the read begins with the last record, and compares it.
        """
        return await self._read_any(
            topic,
            lambda: self._read_log(topic, start, hold_s, known),
            lambda peer: self._read_box(peer, topic, start, hold_s, known),
        )

    async def read_newest(
        self, topic, min_end, known=histories.NOTHING, is_first=False
    ):
        """Read the newest record of each key, like store.Store.read_newest.

        Parameters
        ----------
        min_end : int
            End of the topic as far as this box knows.  The answer of another
            box whose end is lower is rejected, unless it is a later one.
        known : histories.Known, optional
            What this box knows of the topic.
        is_first : bool, optional
            Whether the store is asked first, whichever source is usual.
        """
        if is_first:
            reply = await self._read_store(self._hub.store.read_newest(topic))
            if not isinstance(reply, store_module.Unavailable):
                self._record_answered()
                return reply
        return await self._read_any(
            topic,
            lambda: self._hub.store.read_newest(topic),
            lambda peer: self._read_newest_of_box(peer, topic, min_end, known),
        )

    async def _read_log(self, topic, start, hold_s, known):
        """Read the store; compare the last record if it may have lost it."""
        if not histories.is_doubtful(known, self.failed_at):
            return await self._hub.store.read(topic, start, hold_s)
        reply = await self._hub.store.read(topic, known.last.offset, 0.0)
        return check_page(topic, start, known, reply)

    async def check_store(self, topic, known):
        """Read the store itself from where this box has read to, at once.

        Its last record is compared, if the store still has it.

        Returns
        -------
        store.Page, store.Forgotten, store.RolledBack or store.Unavailable
        """
        if known.last is not None:
            reply = await self._hub.store.read(topic, known.last.offset, 0.0)
            if not isinstance(reply, store_module.Forgotten):
                return check_page(topic, known.end, known, reply)
        return await self._hub.store.read(topic, known.end, 0.0)

    async def _read_any(self, topic, read_store, read_box):
        """Ask one source after the other, until one answers or none is left.

        A source that fails is not picked again for some time.
        """
        peering = self._hub.peering
        while True:
            peer = peering.pick_reader()
            if peer is not None:
                reply = await self._try_read_box(peer, read_box)
            else:
                reply = await self._read_store(read_store())
            if not isinstance(reply, store_module.Unavailable):
                self._record_answered()
                return reply
            self._record_failed(topic)
            if peer is None and peering.pick_reader() is None:
                return reply

    async def _try_read_box(self, peer, read_box):
        """Read a box; one whose answer raises an error is avoided."""
        try:
            return await read_box(peer)
        except Exception as error:
            self._hub.supervisor.report('sources', error, peer=peer.name)
            return self._reject(peer, supervisor.describe(error))

    async def wait_answered(self, most_s):
        """Wait until any read is answered, for `most_s` seconds at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(most_s):
                await self._answered.wait()

    def _record_failed(self, topic):
        self.failed_at = self._hub.clock()
        for call in self._subscribers[topic]:
            call()

    def _record_answered(self):
        self._answered.set()
        self._answered = asyncio.Event()

    async def _read_store(self, reading):
        """Read the store, unless another read finds it unreachable."""
        sent = self._hub.clock()
        reply = await self._wait(self._hub.deployment.box, reading)
        if reply is None:
            return store_module.Unavailable('the store: read aborted', False)
        failed = isinstance(reply, store_module.Unavailable)
        if failed and self._hub.timer.ran_since(sent):
            self._hub.peering.record_cut(reply.reason)
        return reply

    async def _read_box(self, peer, topic, start, hold_s, known):
        if histories.is_doubtful(known, self.failed_at):
            first, wait_s = known.last.offset, 0.0
        else:
            first, wait_s = start, hold_s
        query = {'topic': topic, 'from': first, 'hold': wait_s}
        if not math.isinf(known.began):
            query['age'] = max(self._hub.clock() - known.began, 0.0)
        reply = await self._fetch(peer, RECORDS_PATH, query, wait_s)
        if isinstance(reply, store_module.Unavailable):
            return reply
        answer, sent = reply
        rollback = self._find_rollback(topic, known, answer, sent)
        if rollback is not None:
            return rollback
        if answer.end < start:
            return self._reject(
                peer, f'its topic ends at {answer.end}, before {start}'
            )
        if answer.gone:
            return store_module.Forgotten()
        if histories.is_voided(known, sent - answer.age):
            return self._reject(peer, VOIDED)
        if readers.is_stale(answer.age, hold_s, self._hub.peering.ages.old_s):
            # This peer can't read the store, but its records are valid.
            self._avoid(peer, f'its proof is {answer.age:.2f} s old')
        rows = read_rows(answer)
        page = store_module.Page(rows, answer.end, sent - answer.age)
        if first == start:
            return page
        checked = check_page(topic, start, known, page)
        is_same = isinstance(checked, store_module.Page)
        if is_same or page.sent > known.got:
            return checked
        return self._reject(peer, f'another record at {first}')

    def _find_rollback(self, topic, known, answer, sent):
        """Return the store.RolledBack that a box's answer tells, or None."""
        rolled = None
        if answer.rolled is not None:
            rolled = self._hub.clock() - answer.rolled
        found = None if answer.gone else answer.end
        if histories.is_later(known, rolled):
            at = rolled - histories.SLACK_S
        elif not answer.gone and histories.is_proof(
            known, answer.end, sent - answer.age
        ):
            at = sent - answer.age
        else:
            return None
        return store_module.RolledBack(
            topic, known.end, found, store_module.PEER, at
        )

    async def _read_newest_of_box(self, peer, topic, min_end, known):
        reply = await self._fetch(peer, NEWEST_PATH, {'topic': topic}, 0.0)
        if isinstance(reply, store_module.Unavailable):
            return reply
        answer, sent = reply
        if answer.gone:
            return self._reject(peer, 'it has no records of the topic')
        if histories.is_voided(known, sent - answer.age):
            return self._reject(peer, VOIDED)
        is_later = self._find_rollback(topic, known, answer, sent)
        if answer.end < min_end and not is_later:
            return self._reject(peer, f'its topic ends at {answer.end}')
        rows = read_rows(answer)
        return store_module.Newest(rows, answer.end, sent - answer.age)

    def _reject(self, peer, reason):
        """Avoid a box whose answer is unusable."""
        self._avoid(peer, reason)
        return store_module.Unavailable(f'{peer.name}: {reason}', False)

    def _avoid(self, peer, reason):
        if not self._hub.peering.is_avoided(peer.name):
            self._hub.peering.avoid(peer.name, reason)

    async def _fetch(self, peer, path, query, hold_s):
        """Ask a box, until it answers or its reads are aborted.

        Returns
        -------
        tuple of (Relayed, float) or store.Unavailable
            The answer, and when the request was sent.
        """
        sent = self._hub.clock()
        asking = self._ask(peer, path, query, hold_s)
        try:
            answer = await self._wait(peer.name, asking)
        except boxcalls.NoAnswer as error:
            return store_module.Unavailable(f'{peer.name}: {error}', False)
        if answer is None:
            return store_module.Unavailable(
                f'{peer.name}: read aborted', False
            )
        if answer.cut:
            # The records are valid, but the next reads go to another source.
            self._record_failed(query['topic'])
            self._avoid(peer, 'the store does not answer it')
        return answer, sent

    async def _wait(self, name, asking):
        """Wait for an answer; return None if its source is left first."""
        call = asyncio.ensure_future(asking)
        try:
            await asyncio.wait(
                {call, self._get_abort(name)},
                return_when=asyncio.FIRST_COMPLETED,
            )
            return call.result() if call.done() else None
        finally:
            call.cancel()

    async def _ask(self, peer, path, query, hold_s):
        return await boxcalls.ask(
            self._hub,
            peer,
            Relayed,
            ('GET', f'{path}?{parse.urlencode(query)}'),
            timeout=hold_s + ANSWER_TIMEOUT_S,
        )

    def _get_abort(self, name):
        """Return the future that is done when a source is left."""
        abort = self._aborts.get(name)
        if abort is None:
            abort = asyncio.get_running_loop().create_future()
            self._aborts[name] = abort
        return abort


def check_page(topic, start, known, reply):
    """Return the records from `start` on of a page from the last record on.

    Parameters
    ----------
    topic : str
    start : int
    known : histories.Known
    reply : store.Page
        It begins with the last record that is known, unless the topic was
        rolled back; other outcomes are returned as they are.

    Returns
    -------
    store.Page, store.RolledBack, or `reply`
    """
    if isinstance(reply, store_module.RolledBack):
        return dataclasses.replace(reply, known=known.end)
    if not isinstance(reply, store_module.Page):
        return reply
    if not histories.is_continued(known, reply):
        is_lower = reply.end < known.end
        noticed = store_module.READ if is_lower else store_module.RECORD
        return store_module.RolledBack(
            topic, known.end, reply.end, noticed, reply.sent
        )
    newer = tuple(row for row in reply.records if row.offset >= start)
    return dataclasses.replace(reply, records=newer)


def read_rows(answer):
    """Return the tail.Records in an answer of another box."""
    return tuple(tail_module.Record(*row) for row in answer.records)
