"""Calls to targets and stores of kept context beside the requests."""

import dataclasses
import json

from landingspool.decisions.gateway import context_index
from landingspool.decisions.gateway import fleet
from landingspool import http
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import notices

# Seconds for an answer; a report takes some ms, a held call its hold more.
ANSWER_S = 1.0


@dataclasses.dataclass(frozen=True)
class Report:
    """A target's own figures, some hundred ms old."""

    versions: dict
    busy: bool
    orders: int
    waiting: int
    running: int
    born: int = 0

    def is_other_life(self, life):
        """Tell whether it is not of this fleet.Incarnation."""
        return bool(self.born and life.born and self.born != life.born)


@dataclasses.dataclass(frozen=True)
class Taken:
    """An order was accepted or had been carried out before."""

    done: bool


@dataclasses.dataclass(frozen=True)
class Refused:
    """An order was refused; `fenced`: a higher fence was seen there."""

    status: int
    fenced: bool


@dataclasses.dataclass(frozen=True)
class Unanswered:
    """No usable answer; `sent` tells if the call may have arrived."""

    reason: str
    sent: bool


class Runners:
    """Calls to any target.

    Parameters
    ----------
    client : httpclient.Client
    observer
        Told of what answers say of their targets: anything with
        ``begin_call(address)``, and ``take_answer(called, words)`` for what
        that gave.
    """

    def __init__(self, client, observer):
        self._client = client
        self._observer = observer

    async def report(self, address):
        """Ask a target for its figures; a Report or Unanswered."""
        reply = await self._call(address, 'GET', names.REPORT_PATH)
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
        """Order a target to load a version; its runs go on across that.

        Parameters
        ----------
        order : rollouts.Order
        taken : int
            Orders that the target has taken; it refuses after another.

        Returns
        -------
        Taken, Refused or Unanswered
        """
        body = {
            'op': 'version',
            'model': order.model,
            'version': order.version,
            # Runs keep their own memory and go on under the new weights.
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
            address, 'POST', names.ORDER_PATH, data, headers
        )
        if isinstance(reply, Unanswered):
            return reply
        if reply.status in (200, 202):
            return Taken(reply.status == 200)
        return Refused(reply.status, reply.status == 412)

    async def read_events(self, address, since, hold_s):
        """Read the cache events after `since`; a warmth.CacheUpdate or Unanswered."""
        headers = [(names.WAIT, str(int(hold_s * 1000)))]
        path = f'{names.EVENTS_PATH}?since={since}'
        reply = await self._call(
            address, 'GET', path, b'', headers, hold_s + ANSWER_S
        )
        return read_news(reply, read_event, 'events')

    async def read_list(self, address):
        """Read all that is kept; a warmth.CacheUpdate or Unanswered."""
        reply = await self._call(address, 'GET', names.LIST_PATH)
        return read_news(reply, read_held, 'held')

    async def free(self, address, epoch, parts, until_ms):
        """Free parts of a store; True when it was done.

        Parameters
        ----------
        parts : sequence of tuple of str
            (namespace, part name) each.
        until_ms : float or None
            On the targets' clock; a later arrival does nothing.
        """
        body = {'parts': [list(part) for part in parts], 'epoch': epoch}
        if until_ms is not None:
            body['until_ms'] = int(until_ms)
        headers = [('content-type', 'application/json')]
        data = json.dumps(body).encode()
        reply = await self._call(
            address, 'POST', names.FREE_PATH, data, headers
        )
        return not isinstance(reply, Unanswered) and reply.status == 200

    async def _call(
        self, address, method, path, body=b'', headers=(), timeout=ANSWER_S
    ):
        called = self._observer.begin_call(address)
        try:
            reply = await self._client.fetch(
                address, method, path, body, headers, timeout
            )
        except http.Unreachable as error:
            return Unanswered(str(error), error.sent)
        said = notices.read_folded_notices(reply.status, reply.headers)
        self._observer.take_answer(called, said)
        return reply


def read_news(reply, read_row, field):
    """Decode an answer with events or a list."""
    if isinstance(reply, Unanswered):
        return reply
    if reply.status != 200:
        return Unanswered(f'status {reply.status}', True)
    try:
        row = reply.json()
        return context_index.CacheUpdate(
            epoch=row['epoch'],
            # Where the next call begins; the name says token, it counts
            # events.
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


def read_held(row):
    """Decode one row of a list."""
    return context_index.Change(row[0], row[1], int(row[2]))


def read_incomplete(row):
    """Decode one row of the parts in a list that are not whole.

    >>> read_incomplete(['s1', '5c', 100, 800])
    IncompletePart(space='s1', part='5c', tokens=100, room=800)
    """
    return context_index.IncompletePart(
        row[0], row[1], int(row[2]), int(row[3])
    )
