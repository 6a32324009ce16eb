"""Control calls to targets and to stores of cached context.

A target may send an answer once more, in the place of the next one, and these
answers do not say to which call they belong.  What a call reads is told by its
fields, and by a position or a number of its own.  A call that changes
something has a connection of its own, where no answer to another call comes.
"""

import dataclasses
import json

from landingspool.decisions.gateway import context_index
from landingspool.decisions.gateway import fleet
from landingspool import http
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import notices

# Seconds for an answer.  A report takes a few milliseconds; a held call gets
# its hold time in addition.
ANSWER_S = 1.0
# The same for an order: if its answer is late, reports tell of the load.
ORDER_ANSWER_S = 0.5
# Bound of a report, which lists the models of a target.
REPORT_MAX_BYTES = 256 * 1024
# The same for an order or a free, of which only the status is used.
CONFIRMATION_MAX_BYTES = 64 * 1024
# The same for the cached parts of a target or a store: 100,000 rows of 80
# bytes.
CACHE_MAX_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Report:
    """State that a target reports, some hundred milliseconds old.

    `orders` is the number of orders that the target has taken, and `born` the
    start of its incarnation in Unix milliseconds; 0 if not stated.
    """

    versions: dict
    busy: bool
    orders: int
    waiting: int
    running: int
    born: int = 0

    def is_other_incarnation(self, incarnation):
        """Return whether it is from another incarnation than `incarnation`."""
        return bool(
            self.born and incarnation.born and self.born != incarnation.born
        )


@dataclasses.dataclass(frozen=True)
class Taken:
    """An order was accepted; `done`: it had been carried out before."""

    done: bool


@dataclasses.dataclass(frozen=True)
class Refused:
    """An order was refused; `fenced`: the target has seen a higher fence."""

    status: int
    fenced: bool


@dataclasses.dataclass(frozen=True)
class Unanswered:
    """No usable answer; `sent`: the call may have arrived.

    `refused`: nothing listens at the address.
    """

    reason: str
    sent: bool
    refused: bool = False


class Runners:
    """Client of the control interface of targets and stores.

    Parameters
    ----------
    client : httpclient.Client
    observer
        Receives the notices in the answers.  Has ``begin_call(address)``,
        and ``take_answer(called, notices)``, which gets the result of the
        former.
    """

    def __init__(self, client, observer):
        self._client = client
        self._observer = observer

    async def report(self, address):
        """Fetch the state of a target; a Report or Unanswered."""
        reply = await self._call(
            address, 'GET', names.REPORT_PATH, max_bytes=REPORT_MAX_BYTES
        )
        if isinstance(reply, Unanswered):
            return reply
        try:
            row = reply.json()
            return Report(
                versions=catalogue.read_versions(row),
                busy=bool(row['busy']),
                orders=int(row['sequence']),
                waiting=int(row.get('queue_depth', 0)),
                running=int(row.get('active_requests', 0)),
                born=int(row.get('born') or 0),
            )
        except (ValueError, KeyError, TypeError) as error:
            return Unanswered(f'report: {error!r}', True)

    async def order(self, address, order, taken, holder, fence):
        """Order a target to load a version; running requests continue.

        Parameters
        ----------
        order : rollouts.Order
        taken : int
            Number of orders that the target has taken so far; it refuses this
            one if it has taken another since.

        Returns
        -------
        Taken, Refused or Unanswered
        """
        body = {
            'op': 'version',
            'model': order.model,
            'version': order.version,
            # Running requests keep their memory and use the new weights.
            'manner': 'retain',
            'holder': holder,
            'fence': fence,
            'expected': taken,
        }
        headers = [
            ('content-type', 'application/json'),
            (names.ONLY_TARGET, fleet.parse_incarnation(order.target).target),
        ]
        data = json.dumps(body).encode()
        reply = await self._call(
            address,
            'POST',
            names.ORDER_PATH,
            data,
            headers,
            ORDER_ANSWER_S,
            fresh=True,
        )
        if isinstance(reply, Unanswered):
            return reply
        if reply.status in (200, 202):
            return Taken(reply.status == 200)
        return Refused(reply.status, reply.status == 412)

    async def read_events(self, address, since, hold_s):
        """Read the cache events after `since`; a CacheUpdate or Unanswered."""
        headers = [(names.WAIT, str(int(hold_s * 1000)))]
        path = f'{names.EVENTS_PATH}?since={since}'
        reply = await self._call(
            address,
            'GET',
            path,
            headers=headers,
            timeout=hold_s + ANSWER_S,
            max_bytes=CACHE_MAX_BYTES,
        )
        return read_cache_update(reply, read_event, 'events')

    async def read_list(self, address):
        """Read the list of cached parts; a CacheUpdate or Unanswered."""
        reply = await self._call(
            address, 'GET', names.LIST_PATH, max_bytes=CACHE_MAX_BYTES
        )
        return read_cache_update(reply, read_listed, 'held')

    async def free(self, address, epoch, parts, until_ms):
        """Free parts of a store; True if the store confirms it.

        Parameters
        ----------
        parts : sequence of tuple of str
            (namespace, part name) each.
        until_ms : float or None
            Milliseconds on the targets' clock; the store ignores a call that
            arrives later.
        """
        body = {'parts': [list(part) for part in parts], 'epoch': epoch}
        if until_ms is not None:
            body['until_ms'] = int(until_ms)
        headers = [('content-type', 'application/json')]
        data = json.dumps(body).encode()
        reply = await self._call(
            address, 'POST', names.FREE_PATH, data, headers, fresh=True
        )
        return not isinstance(reply, Unanswered) and reply.status == 200

    async def _call(
        self,
        address,
        method,
        path,
        body=b'',
        headers=(),
        timeout=ANSWER_S,
        fresh=False,
        max_bytes=CONFIRMATION_MAX_BYTES,
    ):
        called = self._observer.begin_call(address)
        try:
            reply = await self._client.fetch(
                address,
                method,
                path,
                body,
                headers,
                timeout,
                fresh,
                max_bytes,
            )
        except http.Unreachable as error:
            return Unanswered(str(error), error.sent, error.refused)
        notices_found = notices.read_folded_notices(
            reply.status, reply.headers
        )
        self._observer.take_answer(called, notices_found)
        return reply


def read_cache_update(reply, read_row, field):
    """Decode an answer with cache events or a list of cached parts."""
    if isinstance(reply, Unanswered):
        return reply
    if reply.status != 200:
        return Unanswered(f'status {reply.status}', True)
    try:
        row = reply.json()
        return context_index.CacheUpdate(
            epoch=row['epoch'],
            # Position of the next call; a count of events, in spite of the
            # name of the field.
            next=int(row['next_token']),
            lost=bool(row.get('lost')),
            changes=tuple(read_row(change) for change in row[field]),
            whole=field == 'held',
            clock_ms=row.get('clock_ms'),
            incomplete=tuple(map(read_incomplete, row.get('partial') or ())),
        )
    except (ValueError, KeyError, TypeError, IndexError) as error:
        return Unanswered(f'{field}: {error!r}', True)


def read_event(row):
    """Decode one cache event.

    >>> read_event([119, '+', 's1', '5c', 800, 'm'])
    Change(space='s1', part='5c', tokens=800)
    """
    return context_index.Change(row[2], row[3], int(row[4]))


def read_listed(row):
    """Decode one row of a list of cached parts."""
    return context_index.Change(row[0], row[1], int(row[2]))


def read_incomplete(row):
    """Decode one row of the incomplete parts in a list.

    >>> read_incomplete(['s1', '5c', 100, 800])
    IncompletePart(space='s1', part='5c', tokens=100, room=800)
    """
    return context_index.IncompletePart(
        row[0], row[1], int(row[2]), int(row[3])
    )
